// Room for quick work: what each service has, and which lasting tasks are held back (see quick_room.h).
#include "jobs/process/cell_model.h"

namespace camphorwell {

namespace {
    constexpr ms maxHoldMs = 5000; // Of the 9 s that a lasting task may wait where there is room.
    constexpr ms holdLogIntervalMs = 1000; // Between lines about lasting work that is held back.
} // namespace

// Sums up what quick work uses and waits for, and what it could still have.
void cell_model::updateServicePools()
{
    for (auto& [service, pool] : servicePools)
        pool.clear();
    for (const worker_state* worker : workers.all()) {
        service_pool& pool = servicePools[worker->info.service];
        pool.shortTaskCpuUsed += worker->shortTaskCpu;
        pool.shortTasks += worker->shortTasks;
        if (!usable(*worker))
            continue;
        pool.capacityCpu += worker->info.capacity.cpuMilli;
        pool.shortTaskCpuFree += pool.reserve.usable(worker->freeCapacity().cpuMilli);
    }
    for (const auto& [key, step] : readySteps) {
        const queue_policy* policy = policyOf(*step->job);
        bool inTime = policy && key.rank <= policy->priority;
        if (!inTime || !step->spec->quick())
            continue;
        service_pool& pool = servicePools[policy->service];
        auto tasks = static_cast<int64_t>(step->waiting.size());
        pool.shortTaskCpuWaiting += tasks * step->spec->cpuMilli;
        pool.shortTasks += tasks;
    }
    for (auto& [service, pool] : servicePools) {
        int64_t wanted = pool.shortTaskCpuUsed + pool.shortTaskCpuWaiting;
        int64_t size = pool.shortTasks > 0 ? wanted / pool.shortTasks : 0;
        pool.reserve.observe(pool.shortTaskCpuUsed, wanted, size, pool.capacityCpu, now);
    }
}

bool cell_model::mayTakeCapacity(const step_run& step, const task_run& task, const queue_policy& policy)
{
    bool firstStart = step.spec->lasting && !step.spec->filler && task.lastAttempt == 0;
    if (!firstStart || now - task.waitingSince >= maxHoldMs)
        return true;
    service_pool& pool = servicePools[policy.service];
    if (pool.shortTaskCpuFree - step.spec->cpuMilli >= pool.reserve.kept())
        return true;
    if (now - pool.loggedAt >= holdLogIntervalMs) {
        pool.loggedAt = now;
        log(log_line("room_kept")
                .add("service", policy.service)
                .add("job", step.job->id)
                .add("wanted", step.spec->cpuMilli)
                .add("spare", pool.shortTaskCpuFree)
                .add("kept", pool.reserve.kept())
                .add("waited_ms", now - task.waitingSince));
    }
    return false;
}

} // namespace camphorwell
