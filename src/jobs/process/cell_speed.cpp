// Detection of slow and stalled workers.
//
// Each report contains the progress of every task. The progress since the last measurement, divided by the
// progress that the estimate predicts for the time and pace, gives the speed of the task. Estimates are
// rough, so a worker is judged by the mean over its tasks. A task on a slow worker is moved, with its last
// checkpoint, if it is expected to end far sooner elsewhere. A slow worker gets new tasks only if no other
// worker has capacity. Its speed is raised at each review, so that it is tried again soon when no tasks
// remain to measure. This handles workers that report to be healthy but make no progress or are many times
// slower.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {
    constexpr ms minMeasureMs = 400; // Minimum time over which a speed is measured.
    constexpr double maxSpeed = 2; // A higher speed means that the estimate was too long.
    constexpr double speedWeight = 0.15; // Weight of a measurement in the speeds of the worker and the step.
    constexpr double attemptSpeedWeight = 0.5; // Weight of a measurement in the speed of the attempt.
    constexpr double minSpeed = 0.05;
    // A step that seems slower than this is taken for a sign of slow workers.
    constexpr double minStepSpeed = 0.25;
    constexpr ms reviewIntervalMs = 500;
    constexpr double slowBelow = 0.4; // Speed below which a worker becomes slow.
    constexpr double recoveredAbove = 0.7; // Speed from which a slow worker is no longer slow.
    // Part of the missing speed that a worker is credited with at each review.
    constexpr double speedRecoveryRate = 0.08;
    constexpr ms startupMs = 300; // Time after a start before which progress is not measured.
    constexpr ms minRunTimeMs = 1000; // Minimum run time before a task is moved.
    constexpr ms moveCostMs = 600; // Time for a stop, a record and a start.
    constexpr double minMoveGain = 2; // Minimum ratio of the remaining time here to that elsewhere.
    constexpr int minMeasuredPace = 50; // Below this pace progress says little about the worker.
} // namespace

void cell_model::updateSpeed(worker_state& worker, step_run& step, task_attempt& attempt, int percent)
{
    const step_spec& spec = *step.spec;
    if (spec.isService || spec.gang || spec.estimateMs <= 0 || attempt.phase != attempt_phase::running)
        return;
    bool comparable
        = attempt.measuredAt != 0 && attempt.measuredPace == attempt.pace && attempt.pace >= minMeasuredPace;
    ms elapsedMs = now - attempt.measuredAt;
    if (comparable && elapsedMs < minMeasureMs)
        return;
    if (comparable && attempt.measuredAt - attempt.startAnsweredAt >= startupMs) {
        double expected
            = static_cast<double>(elapsedMs) * attempt.pace / static_cast<double>(spec.estimateMs);
        double speed = std::clamp((percent - attempt.measuredPercent) / expected, 0.0, maxSpeed);
        step.speed += speedWeight * (speed - step.speed);
        double relative = std::min(maxSpeed, speed / std::max(step.speed, minStepSpeed));
        worker.speed += speedWeight * (relative - worker.speed);
        attempt.speed += attemptSpeedWeight * (speed - attempt.speed);
    }
    attempt.measuredAt = now;
    attempt.measuredPace = attempt.pace;
    attempt.measuredPercent = percent;
}

// Whether the task is expected to end far sooner on another worker.
bool cell_model::endsSoonerElsewhere(const step_run& step, const task_attempt& attempt) const
{
    const step_spec& spec = *step.spec;
    auto estimate = static_cast<double>(spec.estimateMs);
    double remaining = (100.0 - attempt.percent) / 100;
    double hereMs = remaining * estimate / std::max(attempt.speed, minSpeed);
    double elsewhereMs
        = (spec.checkpoints ? remaining : 1) * estimate / std::max(step.speed, minStepSpeed) + moveCostMs;
    return hereMs > minMoveGain * elsewhereMs;
}

void cell_model::reviewSpeeds()
{
    if (now - speedsReviewedAt < reviewIntervalMs)
        return;
    speedsReviewedAt = now;
    for (worker_state* entry : workers.all()) {
        worker_state& worker = *entry;
        bool slow = worker.speed < (worker.slow ? recoveredAbove : slowBelow);
        if (slow != worker.slow) {
            worker.slow = slow;
            log(log_line("worker_speed")
                    .add("worker", worker.info.id)
                    .add("slow", slow ? 1 : 0)
                    .add("speed_percent", static_cast<int64_t>(100 * worker.speed))
                    .add("tasks", static_cast<int64_t>(worker.placements.size())));
        }
        worker.speed += speedRecoveryRate * std::max(0.0, 1 - worker.speed);
        if (!slow)
            continue;
        for (const task_placement& placement : worker.placements) {
            task_attempt* attempt = placement.step->spec->isService || placement.step->spec->gang
                ? nullptr
                : findAttempt(placement);
            bool movable = attempt && attempt->phase == attempt_phase::running && attempt->measuredAt != 0
                && now - attempt->startAnsweredAt > minRunTimeMs && attempt->pace >= minMeasuredPace;
            if (movable && endsSoonerElsewhere(*placement.step, *attempt)) {
                placement.step->tasks[static_cast<size_t>(placement.index)].failedOn = &worker;
                stopAttempt(*placement.step, placement.index, *attempt, "slow_worker");
            }
        }
    }
}

} // namespace camphorwell
