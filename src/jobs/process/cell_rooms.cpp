// Room for quick work: what each service has, and which lasting tasks are held back (see
// short_task_reserve.h).
#include "jobs/process/cell_model.h"

namespace camphorwell {

namespace {
    constexpr ms heldBackMs = 5000; // Of the 9 s that a lasting task may wait where there is room.
    constexpr ms roomToldEveryMs = 1000; // Between lines about lasting work that is held back.
} // namespace

// Sums up what quick work uses and waits for, and what it could still have.
void cell_model::weighRooms()
{
    for (auto& [service, room] : rooms)
        room.clear();
    for (const worker_state* worker : workers.all()) {
        service_room& room = rooms[worker->info.service];
        room.quickUsed += worker->quickCpu;
        room.quickTasks += worker->quickTasks;
        if (!usable(*worker))
            continue;
        room.capacity += worker->info.capacity.cpuMilli;
        room.spare += room.quick.usableCpu(worker->room().cpuMilli);
    }
    for (const auto& [order, step] : ready) {
        const queue_policy* policy = policyOf(*step->job);
        bool inTime = policy && order.rank <= policy->priority;
        if (!inTime || !step->spec->isShort())
            continue;
        service_room& room = rooms[policy->service];
        auto tasks = static_cast<int64_t>(step->waiting.size());
        room.quickWaiting += tasks * step->spec->cpuMilli;
        room.quickTasks += tasks;
    }
    for (auto& [service, room] : rooms) {
        int64_t wanted = room.quickUsed + room.quickWaiting;
        int64_t size = room.quickTasks > 0 ? wanted / room.quickTasks : 0;
        room.quick.observe(room.quickUsed, wanted, size, room.capacity, now);
    }
}

bool cell_model::mayTakeRoom(const step_run& step, const task_run& task, const queue_policy& policy)
{
    bool comesAnew = step.spec->isService && !step.spec->isBestEffort && task.lastRun == 0;
    if (!comesAnew || now - task.waitingSince >= heldBackMs)
        return true;
    service_room& room = rooms[policy.service];
    if (room.spare - step.spec->cpuMilli >= room.quick.reservedCpu())
        return true;
    if (now - room.toldAt >= roomToldEveryMs) {
        room.toldAt = now;
        log(log_line("room_kept")
                .add("service", policy.service)
                .add("job", step.job->id)
                .add("wanted", step.spec->cpuMilli)
                .add("spare", room.spare)
                .add("kept", room.quick.reservedCpu())
                .add("waited_ms", now - task.waitingSince));
    }
    return false;
}

} // namespace camphorwell
