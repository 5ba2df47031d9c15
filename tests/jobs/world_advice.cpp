// The advice service of a world. It handles the calls of each machine in turn, and at times it fails, is
// silent or is slower than configured. The settings of the queues that need it change, for the service and
// for the leaders at different times.
//
// In some worlds many jobs of such a queue can never be placed.
//
// A step runs only with a valid ticket. While a task of such a queue waits beside capacity that it may use,
// the service is not left idle.
#include "tests/jobs/world.h"

#include <algorithm>

namespace camphorwell::testing {

namespace {
    constexpr ms checkIntervalMs = 100;
    constexpr ms calmMs = 4000;
    constexpr ms longestIdleMs = 10'000;
    constexpr size_t maxWaitingCalls = 32; // The service refuses calls beyond.
    // Longest call as configured, with all workers of a world. All calls of a world fit into its settle
    // phase.
    constexpr ms longestCallMs = 2500;
    constexpr ms longestCallWithBacklogsMs = 1000;
    constexpr ms longestConfigurationLagMs = 3000;
    constexpr int hopelessJobs = 250;
    constexpr double hopelessShare = 0.2; // Of the worlds.
    constexpr size_t labels = 2;
    constexpr size_t maxRefusedOfLabel = 2;
} // namespace

void world::drawAdviceTerms(queue_policy& policy)
{
    constexpr ms decideMs[] = { 0, 50, 500, 800, 2300 };
    constexpr ms perWorkerMs[] = { 0, 20, 150 };
    constexpr ms validMs[] = { 300, 1000, 5000, 60'000 };
    auto oneOf = [this](const auto& values) {
        return values[static_cast<size_t>(randomInt(0, static_cast<ms>(std::size(values)) - 1))];
    };
    policy.requiresAdvice = true;
    ms longest = m_settings.hasLatencyCritical ? longestCallWithBacklogsMs : longestCallMs;
    do {
        policy.adviceDecideMs = oneOf(decideMs);
        policy.advicePerWorkerMs = oneOf(perWorkerMs);
    } while (policy.adviceCallMs(m_workers.size()) > longest);
    policy.adviceValidMs = oneOf(validMs);
}

void world::startAdvice()
{
    auto table = std::make_shared<queue_table>(*m_queues);
    bool onlyBatch = chance(0.5);
    for (auto& [name, policy] : *table) {
        if (name != quickQueue || !onlyBatch)
            drawAdviceTerms(policy);
    }
    m_queues = table;
    m_advice.terms = *table;
    if (chance(hopelessShare))
        submitHopelessJobs();
    for (ms at = randomInt(3000, 10'000); at < m_settings.faultPhase; at += randomInt(1000, 10'000))
        runAfter(at, [this] { disturbAdvice(); });
    checkAdvice();
}

// Jobs that no worker of the world can take.
void world::submitHopelessJobs()
{
    for (int i = 0; i < hopelessJobs; i++) {
        runAfter(randomInt(0, 5000), [this] {
            job_id id = "hopeless" + std::to_string(m_jobs.size());
            job_record& record = m_jobs[id].record;
            record.queue = batchQueue;
            record.acceptedUnixMs = unixOriginMs + m_now;
            record.spec.payload = "payload";
            step_spec step;
            step.memoryMb = 256;
            step.cpuMilli = 1000;
            step.estimateMs = 1000;
            if (chance(0.5))
                step.requiredLabel = "none" + std::to_string(randomInt(1, hopelessJobs));
            else
                step.cpuMilli = 8000 + randomInt(1, 4000);
            record.spec.steps.push_back(step);
            m_hopeless.insert(id);
            sendSubmission(id);
        });
    }
}

void world::disturbAdvice()
{
    ms duration = randomInt(500, 8000);
    switch (randomInt(0, 3)) {
    case 0:
        m_advice.failsUntil = m_now + duration;
        break;
    case 1:
        m_advice.silentUntil = m_now + duration;
        break;
    case 2:
        m_advice.slowUntil = m_now + duration;
        m_advice.slowness = randomInt(2, 6);
        break;
    case 3:
        changeAdviceTerms();
        duration = longestConfigurationLagMs;
        break;
    }
    noteFault(m_now + duration);
}

void world::changeAdviceTerms()
{
    auto table = std::make_shared<queue_table>(*m_queues);
    for (auto& [name, policy] : *table) {
        if (policy.requiresAdvice)
            drawAdviceTerms(policy);
    }
    runAfter(randomInt(0, longestConfigurationLagMs), [this, table] { m_advice.terms = *table; });
    runAfter(randomInt(0, longestConfigurationLagMs), [this, table] {
        m_queues = table;
        for (const leader_ptr& leader : m_leaders) {
            if (leader->alive)
                leader->scheduler->setQueues(table);
        }
    });
}

// Which workers may run a step does not change. At most half of the workers with each of the labels `a` and
// `b` are refused, and one of those for a step that needs a label. All may run a step with a limit.
bool world::mayRunOn(const task_ref& task, const worker_id& id) const
{
    const step_spec& step = *stepOf(task);
    if (!needsAdvice(task) || step.maxPerWorker > 0 || step.gang)
        return true;
    size_t seed = std::hash<std::string>()(task.job) + static_cast<size_t>(task.step);
    size_t refused = step.requiredLabel.empty() ? seed % (maxRefusedOfLabel + 1) : seed % 2;
    auto position = static_cast<size_t>(std::distance(m_workers.begin(), m_workers.find(id))) / labels;
    size_t ofLabel = std::max<size_t>(1, m_workers.size() / labels);
    return (position + seed / 7) % ofLabel >= refused;
}

bool world::mayStart(const start_action& order, const model_worker& worker) const
{
    if (!needsAdvice(order.task))
        return true;
    auto found = m_advice.tickets.find(order.ticket);
    if (found == m_advice.tickets.end())
        return false;
    const advice_service::ticket& ticket = found->second;
    task_ref step = order.task;
    step.index = 0;
    return ticket.step == step && ticket.worker == order.worker
        && ticket.startedUnixMs == worker.record.startedUnixMs && m_now <= ticket.validUntil;
}

void world::askAdvice(const leader_ptr& leader, const advice_action& request)
{
    m_counts.adviceCalls++;
    runAfter(randomInt(1, 8), [this, leader, request] {
        size_t machine = leader->owner->number;
        auto& line = m_advice.lines[machine];
        if (m_now < m_advice.failsUntil || line.waiting.size() >= maxWaitingCalls) {
            runAfter(randomInt(1, 8), [this, leader, request] {
                if (!leader->alive)
                    return;
                leader->scheduler->onAdviceFailed(request, "unavailable", m_now);
                processActions(leader);
            });
            return;
        }
        line.waiting.push_back(std::make_shared<advice_service::call>(leader, request));
        beginAdvice(machine);
    });
}

void world::abandonAdvice(const leader_ptr& leader, const abandon_advice_action& request)
{
    m_counts.abandonedAdviceCalls++;
    for (auto& call : m_advice.lines[leader->owner->number].waiting) {
        if (call->leader == leader && call->request.call == request.call)
            call->abandoned = true;
    }
}

// A call that was given up is finished if it has begun.
void world::beginAdvice(size_t machine)
{
    auto& line = m_advice.lines[machine];
    if (line.busy)
        return;
    while (!line.waiting.empty() && (line.waiting.front()->abandoned || !line.waiting.front()->leader->alive))
        line.waiting.pop_front();
    line.idleSince = m_now;
    if (line.waiting.empty())
        return;
    if (m_now < m_advice.silentUntil) {
        runAfter(m_advice.silentUntil - m_now, [this, machine] { beginAdvice(machine); });
        return;
    }
    line.busy = true;
    auto call = line.waiting.front();
    const std::string& queue = m_jobs.at(call->request.step.job).record.queue;
    ms duration = m_advice.terms.at(queue).adviceCallMs(call->request.workers.size());
    if (m_now < m_advice.slowUntil)
        duration *= m_advice.slowness;
    runAfter(duration, [this, machine, call] { finishAdvice(machine, call); });
}

void world::finishAdvice(size_t machine, const std::shared_ptr<advice_service::call>& call)
{
    auto& line = m_advice.lines[machine];
    line.busy = false;
    line.waiting.pop_front();
    line.idleSince = m_now;
    const advice_action& request = call->request;
    const queue_policy& terms = m_advice.terms.at(m_jobs.at(request.step.job).record.queue);
    std::vector<advised_worker> advised;
    for (const worker_id& id : request.workers) {
        if (!mayRunOn(request.step, id))
            continue;
        task_ref step = request.step;
        step.index = 0;
        advised.push_back({ id, "t" + std::to_string(m_advice.tickets.size()) });
        m_advice.tickets[advised.back().ticket]
            = { step, id, m_workers.at(id)->record.startedUnixMs, m_now + terms.adviceValidMs };
    }
    beginAdvice(machine);
    if (call->abandoned)
        return;
    runAfter(randomInt(1, 8), [this, call, advised = std::move(advised)] {
        if (!call->leader->alive || call->abandoned)
            return;
        call->leader->scheduler->onAdvice(call->request, advised, m_now);
        processActions(call->leader);
    });
}

void world::checkAdvice()
{
    runAfter(checkIntervalMs, [this] { checkAdvice(); });
    auto leader = currentLeader();
    if (m_now - m_lastFaultAt < calmMs || !isLightlyReserved() || !leader) {
        m_adviceDueSince.clear();
        return;
    }
    const auto& line = m_advice.lines[leader->owner->number];
    bool isIdle = !line.busy && line.waiting.empty();
    std::vector<task_ref> due = tasksDue();
    std::erase_if(
        due, [this](const task_ref& task) { return stepOf(task)->isBestEffort || !needsAdvice(task); });
    m_adviceDueSince = dueSince(due, m_adviceDueSince);
    for (const auto& [task, since] : m_adviceDueSince) {
        m_counts.longestAdviceWaitMs = std::max(m_counts.longestAdviceWaitMs, m_now - since);
        if (isIdle && m_now - std::max(since, line.idleSince) > longestIdleMs)
            reportViolation("task waits beside an idle advice service: " + task.str() + " since "
                + std::to_string(since));
    }
}

bool world::needsAdvice(const task_ref& task) const
{
    return m_queues->at(m_jobs.at(task.job).record.queue).requiresAdvice;
}

} // namespace camphorwell::testing
