// Consolidation of latency-critical tasks.
//
// A worker without latency-critical tasks runs all best-effort tasks at full pace, while one that hosts a
// single sensitive task can run hardly any task that interferes. When latency-critical jobs end, those that
// remain are spread thinly over all workers, and best-effort tasks wait although most processors are idle.
// While they wait, the workers with the least latency-critical work are therefore cleared: their
// latency-critical tasks are stopped, one of each step at a time, and placed again on workers that host such
// tasks already. Placement avoids a cleared worker for latency-critical tasks as long as best-effort tasks
// use it.
//
// A moved task waits behind the tasks of lost workers, which have been away for longer. So tasks that wait to
// run again, and those on workers that may be lost, get their capacity first, and nothing is moved if there
// is not enough for them.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr ms consolidationIntervalMs = 250;
    // Wait after which a best-effort task counts as held back. Tasks whose worker is only busy wait less.
    constexpr ms heldBackAfterMs = 1000;
    // Minimum time that a latency-critical task has been at work on a worker before it is moved. A restart
    // takes it away for about a second.
    constexpr ms minStayMs = 3000;
    constexpr ms releaseAfterMs = 5000; // A cleared worker without best-effort tasks is released after this.
    // Maximum age of the last renewal. In an outage of the store a task that was stopped could not be started
    // again.
    constexpr ms maxRenewalAgeMs = 1500;
    // Tasks are moved at the same time at most one for this many workers, and at least `minMoves`.
    constexpr size_t workersPerMove = 8;
    constexpr size_t minMoves = 6;
    // A worker is cleared for held-back work of this share of its processors.
    constexpr double minHeldBackShare = 0.5;
    // Candidates for clearing that are examined in each pass, least latency-critical work first.
    constexpr size_t maxCandidates = 8;

} // namespace

// Best-effort tasks that wait and have the same conditions for workers.
struct cell_model::held_back_tasks {
    const step_spec* spec = nullptr; // Of the step that needs least memory.
    int64_t cpu = 0;
};

// Workers of a service that host latency-critical tasks, and the best-effort work that waits there.
struct cell_model::consolidation_pool {
    std::vector<std::pair<worker_state*, resources>> targets; // With their free capacity.
    std::vector<worker_state*> candidates; // Workers that may be cleared.
    std::map<std::pair<std::string, int64_t>, held_back_tasks>
        heldBack; // By required label and accelerators.
    int64_t leftCpu = 0; // Processors that cleared workers have left.

    // Best-effort work that the worker could run without its latency-critical tasks, less what cleared
    // workers have left.
    int64_t heldBackCpuFor(const worker_state& worker) const
    {
        resources free = worker.freeCapacity();
        for (const task_placement& placement : worker.placements) {
            const step_spec& spec = *placement.step->spec;
            if (spec.isLatencyCritical())
                free = free + resources { spec.cpuMilli, spec.memoryMb, spec.accelerators, 0 };
        }
        int64_t cpu = -leftCpu;
        for (const auto& [key, tasks] : heldBack) {
            if (worker.hasLabel(tasks.spec->requiredLabel) && tasks.spec->memoryMb <= free.memoryMb
                && tasks.spec->accelerators <= free.accelerators)
                cpu += tasks.cpu;
        }
        return cpu;
    }
};

// Whether every task of the step is at work and has been for a while, on a worker that answers. The members
// of a gang end together, so none of them is moved.
bool cell_model::isSettled(const step_run& step) const
{
    if (hasFault(cell_fault::move_without_waiting))
        return !step.spec->gang;
    return !step.spec->gang
        && std::all_of(step.tasks.begin(), step.tasks.end(), [this](const task_run& task) {
               return task.attempts.size() == 1 && task.attempts.front().phase == attempt_phase::running
                   && usable(*task.attempts.front().worker) && task.attempts.front().percent >= 100
                   && now - task.attempts.front().percentChangedAt >= minStayMs;
           });
}

// Forgets the moves whose task is at work again or over.
void cell_model::forgetEndedMoves()
{
    std::erase_if(moves, [this](const task_ref& ref) {
        step_run* step = findStep(ref);
        if (!step || step->job->isOver())
            return true;
        const task_run& task = step->tasks[static_cast<size_t>(ref.index)];
        return !task.moving && !task.attempts.empty() && task.attempts.front().percent >= 100;
    });
}

// Whether a latency-critical task on the worker may be moved now, and none is a member of a gang.
bool cell_model::hasMovableTask(const worker_state& worker) const
{
    bool movable = false;
    for (const task_placement& placement : worker.placements) {
        if (!placement.step->spec->isLatencyCritical())
            continue;
        if (placement.step->spec->gang)
            return false;
        movable = movable || isSettled(*placement.step);
    }
    return movable;
}

// Whether enough best-effort work is held back to clear the worker for it.
bool cell_model::isNeeded(const worker_state& worker, const consolidation_pool& pool)
{
    return static_cast<double>(pool.heldBackCpuFor(worker))
        >= minHeldBackShare * static_cast<double>(worker.info.capacity.cpuMilli);
}

std::map<std::string, cell_model::consolidation_pool> cell_model::consolidationPools()
{
    std::map<std::string, consolidation_pool> out;
    for (const auto& [key, step] : readySteps) {
        const queue_policy* policy = policyOf(*step->job);
        if (!policy || !step->spec->isBestEffort)
            continue;
        for (int index : step->waiting) {
            const task_run& task = step->tasks[static_cast<size_t>(index)];
            if (now - task.waitingSince < heldBackAfterMs)
                break; // The others began to wait later.
            if (task.notBefore > now)
                continue;
            const step_spec& spec = *step->spec;
            held_back_tasks& tasks = out[policy->service].heldBack[{ spec.requiredLabel, spec.accelerators }];
            if (!tasks.spec || spec.memoryMb < tasks.spec->memoryMb)
                tasks.spec = &spec;
            tasks.cpu += spec.cpuMilli;
        }
    }
    for (worker_state* worker : workers.all()) {
        auto found = out.find(worker->info.service);
        if (found == out.end() || !usable(*worker) || worker->quarantinedUntil > now || worker->slow)
            continue;
        consolidation_pool& pool = found->second;
        if (worker->keptClear) {
            // What its remaining latency-critical tasks reserve will be left as well.
            pool.leftCpu += std::max<int64_t>(0, cpuLeftForBestEffort(*worker) + worker->serviceCpu);
        } else if (worker->latencyCriticalTasks > 0) {
            pool.targets.emplace_back(worker, worker->freeCapacity());
            pool.candidates.push_back(worker);
        }
    }
    auto least = [](const worker_state* a, const worker_state* b) {
        return std::tie(a->serviceCpu, a->position) < std::tie(b->serviceCpu, b->position);
    };
    for (auto& [service, pool] : out) {
        std::sort(pool.candidates.begin(), pool.candidates.end(), least);
        std::vector<worker_state*> clearable;
        for (worker_state* worker : pool.candidates) {
            if (clearable.size() == maxCandidates)
                break;
            if (isNeeded(*worker, pool) && hasMovableTask(*worker))
                clearable.push_back(worker);
        }
        pool.candidates = std::move(clearable);
    }
    return out;
}

// Whether the worker is a last choice of placement for the task.
bool cell_model::isLastChoice(const step_run& step, const task_run& task, const worker_state& worker)
{
    const std::string& rack = step.spec->preferredRack;
    return (!rack.empty() && rack != worker.info.rack) || task.failedOn == &worker;
}

// Takes capacity for the task from a worker other than `from`. Returns the target's remaining capacity, or
// null if there was none. Placement would return the task to `from` rather than give it a last choice.
resources* cell_model::takeTargetCapacity(
    const step_run& step, const task_run& task, const worker_state* from, consolidation_pool& pool) const
{
    const queue_policy* policy = policyOf(*step.job);
    resources need = reservationOf(*step.spec);
    bool avoidsLastChoice = from && !isLastChoice(step, task, *from);
    resources* bestFree = nullptr;
    for (auto& [worker, free] : pool.targets) {
        if (worker == from || !need.fits(free) || (bestFree && bestFree->cpuMilli <= free.cpuMilli))
            continue;
        if (policy && eligible(step, *policy, *worker, 0)
            && !(avoidsLastChoice && isLastChoice(step, task, *worker)))
            bestFree = &free;
    }
    if (bestFree)
        *bestFree = *bestFree - need;
    return bestFree;
}

// Takes capacity for all latency-critical tasks of the worker from others. Without enough it takes none.
bool cell_model::takeTargetCapacityForAll(const worker_state& worker, consolidation_pool& pool) const
{
    struct taken_capacity {
        resources* target;
        resources amount;
    };
    std::vector<taken_capacity> taken;
    for (const task_placement& placement : worker.placements) {
        const task_attempt* attempt
            = placement.step->spec->isLatencyCritical() ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase == attempt_phase::stopping)
            continue;
        const step_run& step = *placement.step;
        const task_run& task = step.tasks[static_cast<size_t>(placement.index)];
        resources* target = step.spec->gang ? nullptr : takeTargetCapacity(step, task, &worker, pool);
        if (!target) {
            for (const taken_capacity& part : taken)
                *part.target = *part.target + part.amount;
            return false;
        }
        taken.push_back({ target, reservationOf(*step.spec) });
    }
    return true;
}

// Whether the worker's tasks may soon have to run elsewhere.
bool cell_model::mayBeLost(const worker_state& worker) const
{
    return !worker.listed || !worker.hasReported || worker.info.draining || worker.failedPolls > 0
        || pollOverdue(worker);
}

// The service tasks that need capacity elsewhere, now or soon, without those that are being moved.
std::vector<std::pair<const step_run*, int>> cell_model::displacedTasks(const std::string& service) const
{
    std::vector<std::pair<const step_run*, int>> out;
    auto add = [&](const step_run& step, int index) {
        const task_run& task = step.tasks[static_cast<size_t>(index)];
        const queue_policy* policy = policyOf(*step.job);
        if (step.spec->isService && task.lastAttempt > 0 && !task.moving && policy
            && policy->service == service)
            out.emplace_back(&step, index);
    };
    for (const auto& [key, step] : readySteps) {
        for (int index : step->waiting)
            add(*step, index);
    }
    for (const worker_state* worker : workers.all()) {
        if (!mayBeLost(*worker))
            continue;
        for (const task_placement& placement : worker->placements)
            add(*placement.step, placement.index);
    }
    return out;
}

// Takes capacity for the displaced tasks of the service. Returns whether there was enough.
bool cell_model::takeTargetCapacityForDisplaced(const std::string& service, consolidation_pool& pool) const
{
    auto displaced = displacedTasks(service);
    int64_t freeCpu = 0;
    for (const auto& [worker, free] : pool.targets)
        freeCpu += std::max<int64_t>(0, free.cpuMilli);
    for (const auto& [step, index] : displaced)
        freeCpu -= reservationOf(*step->spec).cpuMilli;
    return freeCpu >= 0 && std::all_of(displaced.begin(), displaced.end(), [&](const auto& entry) {
        const auto& [step, index] = entry;
        return takeTargetCapacity(*step, step->tasks[static_cast<size_t>(index)], nullptr, pool) != nullptr;
    });
}

// Stops the latency-critical tasks on the worker that may be moved now.
void cell_model::moveLatencyCriticalTasks(worker_state& worker, size_t maxMoves)
{
    for (const task_placement& placement : worker.placements) {
        step_run& step = *placement.step;
        task_attempt* attempt = step.spec->isLatencyCritical() ? findAttempt(placement) : nullptr;
        if (!attempt || moves.size() >= maxMoves || !isSettled(step))
            continue;
        step.tasks[static_cast<size_t>(placement.index)].moving = true;
        moves.push_back(step.ref(placement.index));
        stopAttempt(step, placement.index, *attempt, "consolidated");
    }
}

// The first candidate that the held-back work needs and whose tasks fit elsewhere; null if there is none.
worker_state* cell_model::chooseWorkerToClear(consolidation_pool& pool) const
{
    for (worker_state* worker : pool.candidates) {
        if (!worker->keptClear && hasMovableTask(*worker) && isNeeded(*worker, pool)
            && takeTargetCapacityForAll(*worker, pool))
            return worker;
    }
    return nullptr;
}

// Releases cleared workers that best-effort tasks do not use.
void cell_model::releaseUnusedWorkers()
{
    for (worker_state* worker : workers.all()) {
        ms unusedSince = std::max(worker->clearedAt, worker->bestEffortChangedAt);
        if (worker->bestEffortCpu == 0 && now - unusedSince >= releaseAfterMs)
            worker->keptClear = false;
    }
}

// Goes on with the workers that are being cleared. Those whose tasks no longer fit elsewhere are given up.
void cell_model::continueClearing(const std::string& service, consolidation_pool& pool, size_t maxMoves)
{
    for (worker_state* worker : workers.all()) {
        if (!worker->keptClear || worker->latencyCriticalTasks == 0 || worker->info.service != service)
            continue;
        worker->keptClear = takeTargetCapacityForAll(*worker, pool);
        if (worker->keptClear)
            moveLatencyCriticalTasks(*worker, maxMoves);
    }
}

void cell_model::clearMoreWorkers(const std::string& service, consolidation_pool& pool, size_t maxMoves)
{
    while (moves.size() < maxMoves) {
        worker_state* worker = chooseWorkerToClear(pool);
        if (!worker)
            return;
        worker->keptClear = true;
        worker->clearedAt = now;
        std::erase_if(pool.targets, [&](const auto& target) { return target.first == worker; });
        log(log_line("worker_cleared")
                .add("worker", worker->info.id)
                .add("service", service)
                .add("tasks", worker->latencyCriticalTasks)
                .add("cpu", worker->serviceCpu)
                .add("held_back_cpu", pool.heldBackCpuFor(*worker)));
        pool.leftCpu += worker->info.capacity.cpuMilli;
        moveLatencyCriticalTasks(*worker, maxMoves);
    }
}

void cell_model::consolidate()
{
    if (!begun || !mayStartTasks() || now - renewedAt > maxRenewalAgeMs
        || now - consolidatedAt < consolidationIntervalMs || hasFault(cell_fault::hold_best_effort))
        return;
    consolidatedAt = now;
    forgetEndedMoves();
    releaseUnusedWorkers();
    size_t maxMoves = std::max(minMoves, workers.size() / workersPerMove);
    for (auto& [service, pool] : consolidationPools()) {
        for (const task_ref& ref : moves) {
            step_run* step = findStep(ref);
            if (!step)
                continue;
            const task_run& task = step->tasks[static_cast<size_t>(ref.index)];
            if (task.moving)
                takeTargetCapacity(*step, task, nullptr, pool);
        }
        if (!takeTargetCapacityForDisplaced(service, pool))
            pool.targets.clear();
        continueClearing(service, pool, maxMoves);
        clearMoreWorkers(service, pool, maxMoves);
    }
}

} // namespace camphorwell
