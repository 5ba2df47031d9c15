// Dispatch order and choice of workers.
//
// Dispatch order: by the priority of the queue, then by the latest time at which the job meets its objective.
// Service tasks come after the other tasks of their priority, except those that ran before and are due again.
// Jobs that have missed their objective come after those that can still meet it, and those past three times
// the objective last, so that a full service spends its capacity on work that is still of use to its caller.
//
// Service tasks that have not run yet leave the short-task reserve free.
//
// While under half of a service is reserved, one best-effort task of each job that has waited with nothing
// running comes before all others and takes any worker with enough memory; a gang takes any workers.
// Best-effort tasks share the processors that the others leave, so the job makes progress, and pacing
// protects latency-critical tasks.
//
// Choice of workers: service tasks are placed beside others of their image, which the same best-effort tasks
// disturb, with at most about a third of a job on one worker, so that the loss of a worker costs each job
// little. Latency-critical tasks avoid workers that were cleared of them (cell_consolidation.cpp). Among the
// remaining workers, and for all other tasks that reserve processors, the tightest fit is taken, which keeps
// large holes for large tasks. Best-effort tasks reserve no processors. They go where they can expect the
// highest pace and most processors are left, and avoid workers that are compatible with many of them, which
// are left to those that are compatible with few. Slow workers, racks far from the data and the worker on
// which the task failed last are the last choice, and so are workers with an unusually long lease for service
// tasks, which would be away until its end if the worker was lost.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    // Time between placement passes: the greater of this interval and 1 ms for each `workersPerMs`
    // workers, which bounds the cost of passes over many workers.
    constexpr ms placingIntervalMs = 15;
    constexpr int64_t workersPerMs = 8;
    // Interval at which dispatch keys are recomputed, since they change when deadlines pass.
    constexpr ms sortIntervalMs = 400;
    constexpr double serviceCpuUse = 0.45; // Share of their reserved processors that service tasks use.
    constexpr double minCpuShare = 0.9; // Share of its processors that must be left for a best-effort task.
    // Expected pace that a best-effort task requires of a worker: `preferredPace` at first, `acceptablePace`
    // after `acceptablePaceAfterMs`. In a lightly loaded service, the task takes any worker with processors
    // left after `anyPaceAfterMs`.
    constexpr double preferredPace = 0.8;
    constexpr double acceptablePace = 0.5;
    constexpr ms acceptablePaceAfterMs = 1500;
    constexpr ms anyPaceAfterMs = 2000;
    // Share of a service's processors that are reserved up to which no job stays without a running task.
    // Above half, since the capacity of workers that do not answer is not counted here.
    constexpr double maxReservedShareForIdleJobs = 0.55;
    constexpr ms idleJobsIntervalMs = 100; // Minimum time between searches for idle jobs.

    // Weights of the placement score, in thousandths of a core.

    // Penalty for a worker compatible with the whole best-effort demand.
    constexpr double compatibleWeight = 25'000;
    constexpr double paceWeight = 60'000; // Bonus for an expected pace of 1.
    constexpr double sameJobWeight = 2000; // Penalty for each task of the same step on the worker.
    // Share of a step's tasks on one worker from which `sameJobExcessWeight` applies.
    constexpr double sameJobMaxShare = 0.34;
    constexpr double sameJobExcessWeight = 1e5;
    constexpr double otherImageWeight = 1e6; // Penalty for each service task of another image.
    constexpr int maxOtherImageTasks = 8; // Further ones add nothing to the penalty.
    // Penalty of a cleared worker for latency-critical tasks; above any penalty for other images.
    constexpr double keptClearWeight = 9e6;
    constexpr double remoteRackWeight = 1e7;
    constexpr double slowWeight = 5e7;
    constexpr double failedWeight = 1e8; // Penalty for the worker on which the task failed last.
    constexpr double longLeaseWeight = 2e8; // Penalty for service tasks.
    constexpr double quarantinedWeight = 1e9;

    // Time after which a service task accepts a quarantined worker: a third of the 3 s for which it may wait
    // while there is capacity.
    constexpr ms quarantineWaitMs = 1000;
    // Maximum age of a worker's last report, on top of `pollWaitMs`.
    constexpr ms reportSlackMs = 1500;

    // A step whose tasks found no worker in this pass. Service and best-effort tasks also depend on how long
    // they have waited, since they lower their demands with time, and best-effort tasks on the interference
    // of their image.
    struct unplaceable_shape {
        const step_run* step = nullptr;
        const queue_policy* policy = nullptr;
        int waitStage = 0;

        // Whether the other step cannot be placed either.
        bool covers(const step_run& other, const queue_policy& otherPolicy, int otherWaitStage) const
        {
            const step_spec* ownSpec = step->spec;
            const step_spec& otherSpec = *other.spec;
            return policy->service == otherPolicy.service && ownSpec->isBestEffort == otherSpec.isBestEffort
                && ownSpec->cpuMilli <= otherSpec.cpuMilli && ownSpec->memoryMb <= otherSpec.memoryMb
                && ownSpec->accelerators <= otherSpec.accelerators && otherWaitStage <= waitStage
                && (!otherSpec.isBestEffort || step->image == other.image);
        }
    };

    // Number of demands that a task of the step has dropped after this wait.
    int waitStageAfter(ms waited, const step_spec& spec)
    {
        if (spec.isBestEffort)
            return (waited >= acceptablePaceAfterMs) + (waited >= anyPaceAfterMs);
        return spec.isService && waited >= quarantineWaitMs;
    }

    // Wait stage of the task that has waited longest.
    int waitStageOf(const step_run& step, ms now)
    {
        ms waited = 0;
        for (int index : step.waiting)
            waited = std::max(waited, now - step.tasks[static_cast<size_t>(index)].waitingSince);
        return waitStageAfter(waited, *step.spec);
    }

    int countTasksOn(const step_run& step, const worker_state& worker)
    {
        int count = 0;
        for (const task_placement& placement : worker.placements)
            count += placement.step == &step;
        return count;
    }

    // Number of service tasks of other images on the worker.
    int countOtherImagesOn(const step_run& step, const worker_state& worker)
    {
        int count = 0;
        for (const task_placement& placement : worker.placements)
            count += placement.step->spec->isService && placement.step->image != step.image;
        return count;
    }

} // namespace

// Whether tasks can be started on the worker now. A worker that has started again may be of another kind, so
// it is not used before its entry has been read.
bool cell_model::usable(const worker_state& worker) const
{
    return worker.listed && worker.hasReported && worker.hasCurrentEntry() && !worker.info.draining
        && worker.noStartsUntil <= now && worker.failedPolls == 0 && worker.unknownAttempts == 0
        && now - worker.reportedAt < settings.pollWaitMs + reportSlackMs;
}

// A quarantined worker takes only service tasks that have waited for a while: no other worker has capacity
// for them, and their failures are not limited. If a service task is placed on a worker that has been lost,
// it is away until the leases have ended, so it waits for the answer to an overdue poll.
bool cell_model::usableFor(const worker_state& worker, const step_run& step, const task_run& task) const
{
    if (!usable(worker))
        return false;
    if (!step.spec->isService)
        return worker.quarantinedUntil <= now;
    bool mayBeQuarantined = now - task.waitingSince >= quarantineWaitMs;
    return !pollOverdue(worker) && (mayBeQuarantined || worker.quarantinedUntil <= now);
}

// Whether the worker's service, its labels and the limit of the step's tasks on it permit another task of the
// step. `members` is the number of members of its gang that are planned there.
bool cell_model::mayRunOn(
    const step_run& step, const queue_policy& policy, const worker_state& worker, int members) const
{
    const step_spec& spec = *step.spec;
    if (policy.service != worker.info.service || !worker.hasLabel(spec.requiredLabel))
        return false;
    return spec.maxPerWorker == 0 || countTasksOn(step, worker) + members < spec.maxPerWorker;
}

// Whether the step may run on the worker, capacity aside.
bool cell_model::eligible(
    const step_run& step, const queue_policy& policy, const worker_state& worker, int members) const
{
    if (!mayRunOn(step, policy, worker, members))
        return false;
    if (!policy.requiresAdvice)
        return true;
    const advice_answer* advice = validAdvice(step, worker);
    return advice && advice->permitted;
}

// Processors left for best-effort tasks: those not reserved and those that service tasks reserve without
// using them, less those in use by best-effort tasks at their present paces.
int64_t cell_model::cpuLeftForBestEffort(const worker_state& worker)
{
    auto unused = static_cast<int64_t>(static_cast<double>(worker.serviceCpu) * (1 - serviceCpuUse));
    double inUse = worker.bestEffortHistory.pacedShare() * static_cast<double>(worker.info.capacity.cpuMilli);
    return worker.info.capacity.cpuMilli - worker.reserved.cpuMilli + unused - static_cast<int64_t>(inUse);
}

bool cell_model::hasCpuLeft(const worker_state& worker, const step_spec& spec)
{
    return static_cast<double>(cpuLeftForBestEffort(worker))
        >= static_cast<double>(spec.cpuMilli) * minCpuShare;
}

// Whether enough processors are left for the best-effort task, and it can expect enough pace without
// disturbing a latency-critical task.
bool cell_model::bestEffortFits(const worker_state& worker, const step_run& step, ms waited) const
{
    if (step.spec->gang && mustNotStayIdle(step))
        return !overTargetFromBestEffort(worker);
    if (!hasCpuLeft(worker, *step.spec))
        return false;
    if (worker.lightlyLoadedService && waited >= anyPaceAfterMs && !hasFault(cell_fault::hold_best_effort))
        return true;
    return !overTargetFromBestEffort(worker)
        && expectedPace(worker, step) >= (waited >= acceptablePaceAfterMs ? acceptablePace : preferredPace);
}

// Score of the worker for the next task of the step; the highest is best.
double cell_model::scoreOf(const step_run& step, const task_run& task, const worker_state& worker) const
{
    const step_spec& spec = *step.spec;
    double score = -static_cast<double>(worker.freeCapacity().cpuMilli);
    if (spec.isBestEffort)
        score = static_cast<double>(cpuLeftForBestEffort(worker)) + paceWeight * expectedPace(worker, step)
            - compatibleWeight * worker.compatibleShare;
    if (spec.isService) {
        int sameJobTasks = countTasksOn(step, worker);
        int otherImageTasks = std::min(countOtherImagesOn(step, worker), maxOtherImageTasks);
        score -= sameJobWeight * sameJobTasks + otherImageWeight * otherImageTasks;
        if (worker.keptClear && spec.isLatencyCritical())
            score -= keptClearWeight;
        if (sameJobTasks >= std::max(1.0, sameJobMaxShare * spec.count))
            score -= sameJobExcessWeight;
        if (leaseIsLong(worker))
            score -= longLeaseWeight;
    }
    if (!spec.preferredRack.empty() && spec.preferredRack != worker.info.rack)
        score -= remoteRackWeight;
    if (worker.slow)
        score -= slowWeight;
    if (worker.quarantinedUntil > now)
        score -= quarantinedWeight;
    if (task.failedOn == &worker)
        score -= failedWeight;
    return score;
}

// The worker's score for the task, or nothing if the task cannot be started there now.
std::optional<double> cell_model::scoreIfPlaceable(const step_run& step, const task_run& task,
    const queue_policy& policy, const worker_state& worker, int members) const
{
    const step_spec& spec = *step.spec;
    if (!usableFor(worker, step, task) || !(reservationOf(spec) * (members + 1)).fits(worker.freeCapacity()))
        return std::nullopt;
    if (spec.isBestEffort && !bestEffortFits(worker, step, now - task.waitingSince))
        return std::nullopt;
    if (!eligible(step, policy, worker, members))
        return std::nullopt;
    return scoreOf(step, task, worker);
}

// The best worker for the next member of a gang, or null if none has capacity beside the members planned so
// far.
worker_state* cell_model::chooseGangWorker(
    const step_run& step, const task_run& task, const std::string* rack, const gang_plan& plan)
{
    const queue_policy* policy = policyOf(*step.job);
    worker_state* best = nullptr;
    double bestScore = 0;
    for (worker_state* worker : workers.all()) {
        if (!policy || (rack && worker->info.rack != *rack))
            continue;
        auto score = scoreIfPlaceable(step, task, *policy, *worker, plan.memberCount(*worker));
        if (score && (!best || *score > bestScore)) {
            best = worker;
            bestScore = *score;
        }
    }
    return best;
}

// Chooses workers for all members, within `rack` if it is not null. Returns nothing if a member finds no
// worker.
std::optional<gang_plan> cell_model::planGang(step_run& step, const std::string* rack)
{
    gang_plan plan;
    for (const task_run& task : step.tasks) {
        worker_state* worker = chooseGangWorker(step, task, rack, plan);
        if (!worker)
            return std::nullopt;
        plan.workers.push_back(worker);
    }
    return plan;
}

bool cell_model::placeGang(step_run& step)
{
    uint32_t attemptNumber = 0;
    for (const auto& task : step.tasks) {
        if (!task.attempts.empty() || task.notBefore > now)
            return false;
        attemptNumber = std::max(attemptNumber, task.lastAttempt + 1);
    }
    std::set<std::string> racks;
    if (step.spec->sameRack) {
        for (const worker_state* worker : workers.all())
            racks.insert(worker->info.rack);
    }
    std::optional<gang_plan> plan;
    for (auto rack = racks.begin(); rack != racks.end() && !plan; ++rack)
        plan = planGang(step, &*rack);
    if (!plan)
        plan = planGang(step, nullptr);
    if (!plan)
        return false;
    step.gangAttempt = attemptNumber;
    for (size_t i = 0; i < step.tasks.size(); i++)
        commitPlacement(step, static_cast<int>(i), *plan->workers[i], attemptNumber);
    step.waiting.clear();
    return true;
}

// Reserves capacity on the worker for an attempt, whose start is sent once its record is durable.
void cell_model::commitPlacement(step_run& step, int index, worker_state& worker, uint32_t attemptNumber)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    auto pace = static_cast<int64_t>(step.spec->isBestEffort ? 100 * expectedPace(worker, step) : 100);
    task.waiting = false;
    servicePools[worker.info.service].shortTaskCpuFree -= reservationOf(*step.spec).cpuMilli;
    task_attempt& attempt = place(step, index, worker, attemptNumber);
    if (const advice_answer* advice = validAdvice(step, worker))
        attempt.ticket = advice->ticket;
    plannedStarts.push_back({ &step, index, attemptNumber });
    markDirty(*step.job);
    log.rateLimited([&] {
        return log_line("task_placed")
            .add("task", step.ref(index).str())
            .add("run", attemptNumber)
            .add("worker", worker.info.id)
            .add("room_left", worker.freeCapacity().cpuMilli)
            .add("look_age_ms", now - worker.reportedAt)
            .add("waited_ms", now - task.waitingSince)
            .add("image", step.spec->image)
            .add("pace_percent", pace);
    });
}

// Tasks of a step in the same group have the same candidate workers.
cell_model::candidate_group cell_model::candidateGroupOf(const step_run& step, const task_run& task) const
{
    return { waitStageAfter(now - task.waitingSince, *step.spec), task.failedOn };
}

// Heap of the workers that can start a task of the step, best first. A placement changes the score of its
// worker only, so the workers are scanned once for each group of tasks.
class cell_model::candidate_heap {
public:
    candidate_heap(cell_model& model, step_run& step, const queue_policy& policy)
        : m_model(model)
        , m_step(step)
        , m_policy(policy)
    {
    }

    worker_state* best(const task_run& task)
    {
        candidate_group group = m_model.candidateGroupOf(m_step, task);
        if (m_group != group)
            collect(group, task);
        while (!m_heap.empty()) {
            std::pop_heap(m_heap.begin(), m_heap.end(), worse);
            candidate top = m_heap.back();
            m_heap.pop_back();
            auto score = m_model.scoreIfPlaceable(m_step, task, m_policy, *top.worker, 0);
            if (score && *score == top.score)
                return top.worker;
            if (score)
                push({ *score, top.position, top.worker });
        }
        return nullptr;
    }

    // Inserts a worker again after a placement on it.
    void reinsert(worker_state& worker, const task_run& task)
    {
        if (auto score = m_model.scoreIfPlaceable(m_step, task, m_policy, worker, 0))
            push({ *score, worker.position, &worker });
    }

private:
    struct candidate {
        double score = 0;
        size_t position = 0; // Position in the worker table, which breaks ties.
        worker_state* worker = nullptr;
    };
    static bool worse(const candidate& a, const candidate& b)
    {
        return a.score != b.score ? a.score < b.score : a.position > b.position;
    }
    void push(const candidate& added)
    {
        m_heap.push_back(added);
        std::push_heap(m_heap.begin(), m_heap.end(), worse);
    }
    void collect(const candidate_group& group, const task_run& task)
    {
        m_group = group;
        m_heap.clear();
        for (worker_state* worker : m_model.workers.all()) {
            if (auto score = m_model.scoreIfPlaceable(m_step, task, m_policy, *worker, 0))
                m_heap.push_back({ *score, worker->position, worker });
        }
        std::make_heap(m_heap.begin(), m_heap.end(), worse);
    }

    cell_model& m_model;
    step_run& m_step;
    const queue_policy& m_policy;
    std::optional<candidate_group> m_group;
    std::vector<candidate> m_heap;
};

bool cell_model::placeStep(step_run& step)
{
    const queue_policy* policy = policyOf(*step.job);
    if (!policy)
        return true;
    if (step.spec->gang)
        return placeGang(step);
    std::vector<int> stillWaiting;
    candidate_heap candidateWorkers(*this, step, *policy);
    bool full = false;
    for (int index : step.waiting) {
        task_run& task = step.tasks[static_cast<size_t>(index)];
        worker_state* worker = nullptr;
        if (task.notBefore <= now && !full && mayTakeCapacity(step, task, *policy)) {
            worker = candidateWorkers.best(task);
            full = !worker;
        }
        if (!worker) {
            stillWaiting.push_back(index);
            continue;
        }
        commitPlacement(step, index, *worker, task.lastAttempt + 1);
        candidateWorkers.reinsert(*worker, task);
    }
    step.waiting.swap(stillWaiting);
    return !full;
}

// Whether the step is the reason why its job has had nothing running for a while, although under half of the
// service is reserved.
bool cell_model::mustNotStayIdle(const step_run& step) const
{
    const queue_policy* policy = policyOf(*step.job);
    if (!policy || !step.spec->isBestEffort || step.job->attempts > 0
        || hasFault(cell_fault::hold_best_effort)
        || waitStageOf(step, now) < waitStageAfter(anyPaceAfterMs, *step.spec))
        return false;
    auto found = servicePools.find(policy->service);
    return found != servicePools.end()
        && static_cast<double>(found->second.reservedCpu)
        < maxReservedShareForIdleJobs * static_cast<double>(found->second.capacityCpu);
}

// The best worker with enough memory; null if there is none.
worker_state* cell_model::chooseWorkerForIdleJob(const step_run& step, const task_run& task) const
{
    const queue_policy& policy = *policyOf(*step.job);
    resources need = reservationOf(*step.spec);
    worker_state* best = nullptr;
    double bestScore = 0;
    for (worker_state* worker : workers.all()) {
        if (!usableFor(*worker, step, task) || !need.fits(worker->freeCapacity())
            || overTargetFromBestEffort(*worker) || !eligible(step, policy, *worker, 0))
            continue;
        double score = scoreOf(step, task, *worker);
        if (!best || score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

// The first task of the step that may be started now; nothing if there is none.
std::optional<int> cell_model::firstStartableTask(const step_run& step) const
{
    auto found = std::find_if(step.waiting.begin(), step.waiting.end(),
        [&](int index) { return step.tasks[static_cast<size_t>(index)].notBefore <= now; });
    return found == step.waiting.end() ? std::nullopt : std::optional(*found);
}

void cell_model::placeIdleJobs(const std::vector<step_run*>& steps)
{
    if (now - idleJobsPlacedAt < idleJobsIntervalMs)
        return;
    idleJobsPlacedAt = now;
    std::map<std::string, std::vector<resources>> unplaceable; // By service.
    for (step_run* step : steps) {
        bool mayPlace = !step->spec->gang && mustNotStayIdle(*step);
        auto index = mayPlace ? firstStartableTask(*step) : std::nullopt;
        if (!index)
            continue;
        resources need = reservationOf(*step->spec);
        auto& smaller = unplaceable[policyOf(*step->job)->service];
        if (std::any_of(smaller.begin(), smaller.end(), [&](const resources& r) { return r.fits(need); }))
            continue;
        const task_run& task = step->tasks[static_cast<size_t>(*index)];
        if (worker_state* worker = chooseWorkerForIdleJob(*step, task)) {
            std::erase(step->waiting, *index);
            commitPlacement(*step, *index, *worker, task.lastAttempt + 1);
        } else if (!isConstrained(*step)) {
            smaller.push_back(need);
        }
        if (step->waiting.empty())
            unqueue(*step);
    }
}

// Whether more than capacity restricts the workers that the step may run on.
bool cell_model::isConstrained(const step_run& step) const
{
    const queue_policy* policy = policyOf(*step.job);
    const step_spec& spec = *step.spec;
    return !spec.requiredLabel.empty() || spec.maxPerWorker > 0 || spec.gang
        || (policy && policy->requiresAdvice);
}

// Time between two placement passes.
ms cell_model::placingInterval() const
{
    return std::max<ms>(placingIntervalMs, static_cast<ms>(workers.size()) / workersPerMs);
}

void cell_model::placeWaiting()
{
    if (!begun || !mayStartTasks() || now - lastPlacedAt < placingInterval())
        return;
    lastPlacedAt = now;
    placingNeeded = false;
    if (now - sortedAt >= sortIntervalMs) {
        sortedAt = now;
        std::set<std::pair<dispatch_key, step_run*>> resorted;
        for (auto& [oldKey, step] : readySteps) {
            step->dispatchKey = dispatchKeyOf(*step);
            resorted.insert({ step->dispatchKey, step });
        }
        readySteps.swap(resorted);
    }
    updateServicePools();
    std::vector<unplaceable_shape> unplaceable;
    std::vector<step_run*> steps;
    steps.reserve(readySteps.size());
    for (const auto& [key, step] : readySteps)
        steps.push_back(step);
    placeIdleJobs(steps);
    std::erase_if(steps, [](const step_run* step) { return step->waiting.empty(); });
    for (step_run* step : steps) {
        const queue_policy* policy = policyOf(*step->job);
        int waitStage = waitStageOf(*step, now);
        bool isIdleGang = step->spec->gang && mustNotStayIdle(*step);
        auto covers = [&](const unplaceable_shape& shape) { return shape.covers(*step, *policy, waitStage); };
        if (!policy || (!isIdleGang && std::any_of(unplaceable.begin(), unplaceable.end(), covers)))
            continue;
        if (!placeStep(*step) && !isConstrained(*step))
            unplaceable.push_back({ step, policy, waitStage });
        if (step->waiting.empty())
            unqueue(*step);
    }
    requestAdvice();
}

} // namespace camphorwell
