// See fleet_models.h.
#include "standins/fleet_models.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace camphorwell::fleet {

model_worker::model_worker(worker_record workerRecord, bool enforcesCapacity, double clockRate,
    std::vector<observed_attempt>& history)
    : record(std::move(workerRecord))
    , m_enforcesCapacity(enforcesCapacity)
    , m_clockRate(clockRate)
    , m_history(history)
{
}

namespace {
    constexpr double baseUtilisation = 0.45; // Of a latency-critical task that runs alone.
    // Utilisation that best-effort tasks on all processors add to a latency-critical task.
    constexpr double interference = 3;
    // Tail latency of an idle task relative to its target.
    constexpr double idleTailRatio = 0.22;
    constexpr double maxUtilisation = 0.99;
} // namespace

ms model_worker::clock(ms now) const
{
    return static_cast<ms>(static_cast<double>(now - m_startedAt) * m_clockRate);
}

resources model_worker::used() const
{
    resources out;
    for (const auto& task : m_running)
        out = out + resources { task.spec.isBestEffort ? 0 : task.spec.cpuMilli, task.spec.memoryMb, 0, 0 };
    return out;
}

int64_t model_worker::bestEffortCpu() const
{
    int64_t out = 0;
    for (const auto& task : m_running)
        out += task.spec.isBestEffort ? task.spec.cpuMilli : 0;
    return out;
}

int64_t model_worker::tailLatencyMs(const step_spec& spec) const
{
    double utilisation = baseUtilisation;
    for (const auto& task : m_running) {
        if (task.spec.isBestEffort)
            utilisation += interference * static_cast<double>(task.spec.cpuMilli * task.pacePercent)
                / static_cast<double>(100 * record.capacity.cpuMilli);
    }
    double ratio = idleTailRatio / (1 - std::min(utilisation, maxUtilisation));
    return static_cast<int64_t>(ratio * static_cast<double>(spec.tailLatencyTargetMs));
}

running_task model_worker::stateOf(const running& task, ms now) const
{
    const observed_attempt& observed = m_history[task.historyIndex];
    if (!task.spec.isLatencyCritical())
        return { observed.task, observed.attempt, "", 50, 0 };
    bool atWork = now - observed.startedAt >= startupMs;
    return { observed.task, observed.attempt, "", atWork ? 100 : 0, atWork ? tailLatencyMs(task.spec) : 0 };
}

void model_worker::complete(size_t index, completion_kind kind, ms now)
{
    observed_attempt& observed = m_history[m_running[index].historyIndex];
    observed.endedAt = now;
    observed.completion = kind;
    m_highestAttempt[observed.task] = std::max(m_highestAttempt[observed.task], observed.attempt);
    m_completions.push_back({ m_nextCompletion++, m_running[index].historyIndex });
    m_running.erase(m_running.begin() + static_cast<long>(index));
}

void model_worker::advance(ms now)
{
    if (!up)
        return;
    for (size_t i = 0; i < m_running.size();) {
        if (m_running[i].endsAt <= now)
            complete(
                i, m_running[i].fails ? completion_kind::failed : completion_kind::done, m_running[i].endsAt);
        else
            i++;
    }
    if (clock(now) <= m_leaseUntil)
        return;
    while (!m_running.empty())
        complete(0, completion_kind::lapsed, now);
    for (const auto& completion : m_completions)
        m_history[completion.historyIndex].lapsedBeforeAck = true;
}

order_outcome model_worker::start(const start_action& order, uint64_t token, ms now, ms duration, bool fails)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    for (const auto& task : m_running) {
        const observed_attempt& observed = m_history[task.historyIndex];
        if (observed.task == order.task && observed.attempt == order.attempt)
            return order_outcome::done;
    }
    auto highest = m_highestAttempt.find(order.task);
    if (highest != m_highestAttempt.end() && order.attempt <= highest->second)
        return order_outcome::superseded;
    if (order.leaseUntilWorkerMs <= clock(now))
        return order_outcome::late;
    m_leaseUntil = std::max(m_leaseUntil, std::min(order.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    const step_spec* spec = specOf(order.task);
    resources demand { spec->isBestEffort ? 0 : spec->cpuMilli, spec->memoryMb, 0, 0 };
    bool fits = demand.fits(record.capacity - used());
    if (!fits && m_enforcesCapacity)
        return order_outcome::no_capacity;
    overCapacity = !fits;
    m_history.push_back(
        { order.task, order.attempt, record.id, now, std::nullopt, completion_kind::stopped, false, false });
    m_running.push_back({ m_history.size() - 1, *spec, now + duration, fails, 100, duration, now });
    return order_outcome::done;
}

order_outcome model_worker::stop(const stop_action& order, uint64_t token, ms now)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    m_highestAttempt[order.task] = std::max(m_highestAttempt[order.task], order.attempt);
    for (size_t i = 0; i < m_running.size(); i++) {
        const observed_attempt& observed = m_history[m_running[i].historyIndex];
        if (observed.task == order.task && observed.attempt == order.attempt) {
            complete(i, completion_kind::stopped, now);
            break;
        }
    }
    return order_outcome::done;
}

order_outcome model_worker::pace(const pace_action& order, uint64_t token, ms now)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    for (auto& task : m_running) {
        const observed_attempt& observed = m_history[task.historyIndex];
        if (observed.task != order.task || observed.attempt != order.attempt)
            continue;
        task.leftMs -= (now - task.pacedAt) * task.pacePercent / 100;
        task.pacedAt = now;
        task.pacePercent = order.pacePercent;
        task.endsAt = order.pacePercent > 0 ? now + std::max<ms>(0, task.leftMs) * 100 / order.pacePercent
                                            : std::numeric_limits<ms>::max();
    }
    return order_outcome::done;
}

order_outcome model_worker::poll(const poll_action& request, uint64_t token, ms now, worker_report& report)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    if (request.leaseUntilWorkerMs)
        m_leaseUntil = std::max(m_leaseUntil, std::min(*request.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    std::erase_if(m_completions, [&](const unacknowledged_completion& completion) {
        if (completion.number > request.acknowledgedSequence)
            return false;
        m_history[completion.historyIndex].completionAcknowledged = true;
        return true;
    });
    report.clockWorkerMs = clock(now);
    report.startedUnixMs = record.startedUnixMs;
    for (const auto& task : m_running)
        report.running.push_back(stateOf(task, now));
    for (const auto& completion : m_completions) {
        const observed_attempt& observed = m_history[completion.historyIndex];
        report.completions.push_back(
            { completion.number, observed.task, observed.attempt, observed.completion, "" });
    }
    return order_outcome::done;
}

void model_worker::crash(ms now)
{
    advance(now);
    for (const auto& task : m_running) {
        m_history[task.historyIndex].endedAt = now;
        m_history[task.historyIndex].completion = completion_kind::lapsed;
    }
    m_running.clear();
    m_completions.clear();
    m_highestAttempt.clear();
    m_nextCompletion = 1;
    m_token = 0;
    m_leaseUntil = 0;
    up = false;
}

void model_worker::restart(ms now)
{
    if (up && m_startedAt != 0)
        return;
    up = true;
    m_startedAt = now;
    record.startedUnixMs = now + 1;
}

nlohmann::json historyRows(const std::vector<observed_attempt>& history)
{
    using nlohmann::json;
    json rows = json::array();
    for (const auto& observed : history) {
        std::string completion = observed.endedAt ? std::string(toString(observed.completion)) : "runs";
        json endedAt = observed.endedAt ? json(*observed.endedAt) : json();
        rows.push_back({ observed.task.str(), observed.attempt, observed.worker, completion,
            observed.startedAt, endedAt, observed.completionAcknowledged, observed.lapsedBeforeAck });
    }
    return rows;
}

} // namespace camphorwell::fleet
