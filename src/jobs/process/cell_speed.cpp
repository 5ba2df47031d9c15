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
    constexpr ms measureMs = 400; // The least time over which a speed is measured.
    constexpr double mostSpeed = 2; // A faster one is an estimate that was too long.
    constexpr double speedRate
        = 0.15; // Weight of one task's figure in the speeds of its worker and its step.
    constexpr double ownSpeedRate = 0.5; // In its own.
    constexpr double leastSpeed = 0.05;
    constexpr double leastStepSpeed = 0.25; // A step that is slower by its estimate stands for slow workers.
    constexpr ms reviewEveryMs = 500;
    constexpr double slowSpeed = 0.4; // Under this a worker is slow,
    constexpr double soundSpeed = 0.7; // and over this no more.
    constexpr double forgivenAtReview = 0.08; // Of what a worker lacks, when nothing is measured.
    constexpr ms startingMs = 300; // A start takes its time before it shows progress.
    constexpr ms settledMs = 1000; // A task is not moved sooner.
    constexpr ms movingMs = 600; // A stop, a record and a start.
    constexpr double worthMoving = 2; // The rest must take so many times as long here as elsewhere.
    constexpr int leastPace = 50; // A task that is held back shows little of its worker.
} // namespace

void cell_model::noteProgress(worker_state& worker, step_run& step, task_copy& copy, int percent)
{
    const step_spec& spec = *step.spec;
    if (spec.isService || spec.gang || spec.estimateMs <= 0 || copy.phase != copy_phase::running)
        return;
    bool comparable = copy.measuredAt != 0 && copy.measuredPace == copy.pace && copy.pace >= leastPace;
    ms passed = now - copy.measuredAt;
    if (comparable && passed < measureMs)
        return;
    if (comparable && copy.measuredAt - copy.answeredAt >= startingMs) {
        double promised = static_cast<double>(passed) * copy.pace / static_cast<double>(spec.estimateMs);
        double speed = std::clamp((percent - copy.measuredPercent) / promised, 0.0, mostSpeed);
        step.speed += speedRate * (speed - step.speed);
        double relative = std::min(mostSpeed, speed / std::max(step.speed, leastStepSpeed));
        worker.speed += speedRate * (relative - worker.speed);
        copy.speed += ownSpeedRate * (speed - copy.speed);
    }
    copy.measuredAt = now;
    copy.measuredPace = copy.pace;
    copy.measuredPercent = percent;
}

// Whether the rest of the task would end far sooner on another worker.
bool cell_model::endsSoonerElsewhere(const step_run& step, const task_copy& copy) const
{
    const step_spec& spec = *step.spec;
    auto estimate = static_cast<double>(spec.estimateMs);
    double rest = (100.0 - copy.percent) / 100;
    double here = rest * estimate / std::max(copy.speed, leastSpeed);
    double elsewhere
        = (spec.checkpoints ? rest : 1) * estimate / std::max(step.speed, leastStepSpeed) + movingMs;
    return here > worthMoving * elsewhere;
}

void cell_model::reviewSpeeds()
{
    if (now - speedsReviewedAt < reviewEveryMs)
        return;
    speedsReviewedAt = now;
    for (worker_state* held : workers.all()) {
        worker_state& worker = *held;
        bool slow = worker.speed < (worker.slow ? soundSpeed : slowSpeed);
        if (slow != worker.slow) {
            worker.slow = slow;
            log(log_line("worker_speed")
                    .add("worker", worker.info.id)
                    .add("slow", slow ? 1 : 0)
                    .add("speed_percent", static_cast<int64_t>(100 * worker.speed))
                    .add("tasks", static_cast<int64_t>(worker.placed.size())));
        }
        worker.speed += forgivenAtReview * std::max(0.0, 1 - worker.speed);
        if (!slow)
            continue;
        for (const placement& each : worker.placed) {
            task_copy* copy = each.step->spec->isService || each.step->spec->gang ? nullptr : findCopy(each);
            bool settled = copy && copy->phase == copy_phase::running && copy->measuredAt != 0
                && now - copy->answeredAt > settledMs && copy->pace >= leastPace;
            if (settled && endsSoonerElsewhere(*each.step, *copy)) {
                each.step->tasks[static_cast<size_t>(each.index)].failedOn = &worker;
                doom(*each.step, each.index, *copy, "slow_worker");
            }
        }
    }
}

} // namespace camphorwell
