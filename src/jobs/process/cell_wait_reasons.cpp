// Why the task that has waited longest is not placed, for the log.
//
// Each worker of the service is counted under the first condition of placement that it fails.
#include "jobs/process/cell_model.h"

namespace camphorwell {

namespace {

    constexpr ms logIntervalMs = 5000;
    constexpr ms minWaitMs = 3000; // Waits below this are not logged.

    // Number of workers by the condition that they fail.
    struct refusals {
        int64_t unusable = 0;
        int64_t ineligible = 0;
        int64_t capacity = 0;
        int64_t processors = 0;
        int64_t overTarget = 0;
        int64_t pace = 0;
        int64_t none = 0;
    };

} // namespace

void cell_model::logLongestWait()
{
    if (!begun || now - longestWaitLoggedAt < logIntervalMs)
        return;
    longestWaitLoggedAt = now;
    step_run* longest = nullptr;
    int longestIndex = 0;
    ms longestWaitMs = minWaitMs;
    for (const auto& [key, step] : readySteps) {
        if (step->waiting.empty())
            continue;
        int index = step->waiting.front(); // Tasks are listed in the order in which they began to wait.
        ms waited = now - step->tasks[static_cast<size_t>(index)].waitingSince;
        if (waited >= longestWaitMs) {
            longestWaitMs = waited;
            longest = step;
            longestIndex = index;
        }
    }
    const queue_policy* policy = longest ? policyOf(*longest->job) : nullptr;
    if (!policy)
        return;
    const step_spec& spec = *longest->spec;
    const task_run& task = longest->tasks[static_cast<size_t>(longestIndex)];
    refusals count;
    int64_t clearWorkers = 0;
    for (const worker_state* worker : workers.all()) {
        if (worker->info.service != policy->service)
            continue;
        clearWorkers += worker->hasReported && worker->latencyCriticalTasks == 0;
        if (!usableFor(*worker, *longest, task))
            count.unusable++;
        else if (!eligible(*longest, *policy, *worker, 0))
            count.ineligible++;
        else if (!reservationOf(spec).fits(worker->freeCapacity()))
            count.capacity++;
        else if (spec.isBestEffort && !hasCpuLeft(*worker, spec))
            count.processors++;
        else if (spec.isBestEffort && overTargetFromBestEffort(*worker))
            count.overTarget++;
        else if (spec.isBestEffort && !bestEffortFits(*worker, *longest, longestWaitMs))
            count.pace++;
        else
            count.none++;
    }
    log(log_line("longest_wait")
            .add("task", longest->ref(longestIndex).str())
            .add("waited_ms", longestWaitMs)
            .add("image", spec.image)
            .add("unusable", count.unusable)
            .add("not_allowed", count.ineligible)
            .add("room", count.capacity)
            .add("processors", count.processors)
            .add("over_target", count.overTarget)
            .add("pace", count.pace)
            .add("fits", count.none)
            .add("clear", clearWorkers));
}

} // namespace camphorwell
