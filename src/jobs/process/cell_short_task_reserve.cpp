// Short-task reserve: the demand of short tasks in each service, and the service tasks that are held back for
// it.
#include "jobs/process/cell_model.h"

namespace camphorwell {

namespace {
    // Maximum time for which a service task is held back, since it must run within 9 s while there is
    // capacity.
    constexpr ms maxHoldMs = 5000;
    constexpr ms holdLogIntervalMs = 1000; // Interval between log lines for one service.
} // namespace

// Sums up the processors that short tasks use, wait for, and could still get.
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
        pool.reservedCpu += worker->reserved.cpuMilli;
        pool.shortTaskCpuFree += pool.reserve.usableCpu(worker->freeCapacity().cpuMilli);
    }
    for (const auto& [key, step] : readySteps) {
        const queue_policy* policy = policyOf(*step->job);
        bool inTime = policy && key.rank <= policy->priority;
        if (!inTime || !step->spec->isShort())
            continue;
        service_pool& pool = servicePools[policy->service];
        auto tasks = static_cast<int64_t>(step->waiting.size());
        pool.shortTaskCpuWaiting += tasks * step->spec->cpuMilli;
        pool.shortTasks += tasks;
    }
    for (auto& [service, pool] : servicePools) {
        int64_t demandCpu = pool.shortTaskCpuUsed + pool.shortTaskCpuWaiting;
        int64_t meanTaskCpu = pool.shortTasks > 0 ? demandCpu / pool.shortTasks : 0;
        pool.reserve.observe(pool.shortTaskCpuUsed, demandCpu, meanTaskCpu, pool.capacityCpu, now);
    }
}

bool cell_model::mayTakeCapacity(const step_run& step, const task_run& task, const queue_policy& policy)
{
    bool firstStart = step.spec->isService && !step.spec->isBestEffort && task.lastAttempt == 0;
    if (!firstStart || now - task.waitingSince >= maxHoldMs)
        return true;
    service_pool& pool = servicePools[policy.service];
    if (pool.shortTaskCpuFree - step.spec->cpuMilli >= pool.reserve.reservedCpu())
        return true;
    if (now - pool.loggedAt >= holdLogIntervalMs) {
        pool.loggedAt = now;
        log(log_line("room_kept")
                .add("service", policy.service)
                .add("job", step.job->id)
                .add("wanted", step.spec->cpuMilli)
                .add("spare", pool.shortTaskCpuFree)
                .add("kept", pool.reserve.reservedCpu())
                .add("waited_ms", now - task.waitingSince));
    }
    return false;
}

} // namespace camphorwell
