// Workers that are slow or whose tasks stand still.
//
// Each report tells how far a task has come. What it came by, against what its estimate promises for the time
// and pace, gives the speed of its worker; estimates are rough, so only the mean over the worker's tasks
// counts. A task on a slow worker is moved when it is expected to end far sooner elsewhere, with what its
// last checkpoint saved. Nothing new is placed there while others have room; without tasks to tell, a worker
// is soon tried again. Answers the load of workers that are healthy by their own word and do no work, or do
// it many times as slowly.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {
    constexpr ms minMeasureMs = 400; // The least time over which a speed is measured.
    constexpr double maxSpeed = 2; // A faster one is an estimate that was too long.
    constexpr double speedWeight
        = 0.15; // Weight of one task's figure in the speeds of its worker and its step.
    constexpr double attemptSpeedWeight = 0.5; // In its own.
    constexpr double minSpeed = 0.05;
    constexpr double minStepSpeed = 0.25; // A step that is slower by its estimate stands for slow workers.
    constexpr ms reviewIntervalMs = 500;
    constexpr double slowBelow = 0.4; // Under this a worker is slow,
    constexpr double recoveredAbove = 0.7; // and over this no more.
    constexpr double speedRecoveryRate = 0.08; // Of what a worker lacks, when nothing is measured.
    constexpr ms startupMs = 300; // A start takes its time before it shows progress.
    constexpr ms minRunMs = 1000; // A task is not moved sooner.
    constexpr ms moveCostMs = 600; // A stop, a record and a start.
    constexpr double minMoveGain = 2; // The rest must take so many times as long here as elsewhere.
    constexpr int minMeasuredPace = 50; // A task that is held back shows little of its worker.
} // namespace

void cell_model::updateSpeed(worker_state& worker, step_run& step, task_attempt& attempt, int percent)
{
    const step_spec& spec = *step.spec;
    if (spec.lasting || spec.gang || spec.estimateMs <= 0 || attempt.phase != attempt_phase::running)
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

// Whether the rest of the task would end far sooner on another worker.
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
            task_attempt* attempt = placement.step->spec->lasting || placement.step->spec->gang
                ? nullptr
                : findAttempt(placement);
            bool movable = attempt && attempt->phase == attempt_phase::running && attempt->measuredAt != 0
                && now - attempt->startAnsweredAt > minRunMs && attempt->pace >= minMeasuredPace;
            if (movable && endsSoonerElsewhere(*placement.step, *attempt)) {
                placement.step->tasks[static_cast<size_t>(placement.index)].failedOn = &worker;
                stopAttempt(*placement.step, placement.index, *attempt, "slow_worker");
            }
        }
    }
}

} // namespace camphorwell
