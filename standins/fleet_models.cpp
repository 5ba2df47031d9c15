// See fleet_models.h.
#include "standins/fleet_models.h"

#include <algorithm>

namespace camphorwell::fleet {

namespace {
    constexpr ms maxLeaseMs = 6000;
}

model_worker::model_worker(worker_record given, bool guards, double clockRate, std::vector<seen_run>& history)
    : record(std::move(given))
    , m_guards(guards)
    , m_rate(clockRate)
    , m_history(history)
{
}

ms model_worker::clock(ms now) const { return static_cast<ms>(static_cast<double>(now - m_bornAt) * m_rate); }

resources model_worker::used() const
{
    resources out;
    for (const auto& each : m_running)
        out = out + resources { each.need.isBestEffort ? 0 : each.need.cpuMilli, each.need.memoryMb, 0, 0 };
    return out;
}

void model_worker::end(size_t at, completion_kind how, ms now)
{
    seen_run& seen = m_history[m_running[at].seen];
    seen.endedAt = now;
    seen.how = how;
    m_highest[seen.task] = std::max(m_highest[seen.task], seen.run);
    m_ends.push_back({ m_nextEnd++, m_running[at].seen });
    m_running.erase(m_running.begin() + static_cast<long>(at));
}

void model_worker::advance(ms now)
{
    if (!up)
        return;
    for (size_t i = 0; i < m_running.size();) {
        if (m_running[i].endsAt <= now)
            end(i, m_running[i].fails ? completion_kind::failed : completion_kind::done, m_running[i].endsAt);
        else
            i++;
    }
    if (clock(now) <= m_leaseUntil)
        return;
    while (!m_running.empty())
        end(0, completion_kind::lapsed, now);
    for (const auto& each : m_ends)
        m_history[each.seen].lapsedSince = true;
}

order_outcome model_worker::start(const start_action& order, uint64_t token, ms now, ms work, bool fails)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    for (const auto& each : m_running) {
        const seen_run& seen = m_history[each.seen];
        if (seen.task == order.task && seen.run == order.attempt)
            return order_outcome::done;
    }
    auto highest = m_highest.find(order.task);
    if (highest != m_highest.end() && order.attempt <= highest->second)
        return order_outcome::superseded;
    if (order.leaseUntilWorkerMs <= clock(now))
        return order_outcome::late;
    m_leaseUntil = std::max(m_leaseUntil, std::min(order.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    const step_spec* need = sizeOf(order.task);
    resources wanted { need->isBestEffort ? 0 : need->cpuMilli, need->memoryMb, 0, 0 };
    bool fits = wanted.fits(record.capacity - used());
    if (!fits && m_guards)
        return order_outcome::no_room;
    overCapacity |= !fits;
    m_history.push_back(
        { order.task, order.attempt, record.id, now, std::nullopt, completion_kind::stopped, false, false });
    m_running.push_back({ m_history.size() - 1, *need, now + work, fails });
    return order_outcome::done;
}

order_outcome model_worker::stop(const stop_action& order, uint64_t token, ms now)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    m_highest[order.task] = std::max(m_highest[order.task], order.attempt);
    for (size_t i = 0; i < m_running.size(); i++) {
        const seen_run& seen = m_history[m_running[i].seen];
        if (seen.task == order.task && seen.run == order.attempt) {
            end(i, completion_kind::stopped, now);
            break;
        }
    }
    return order_outcome::done;
}

order_outcome model_worker::look(const poll_action& asked, uint64_t token, ms now, worker_report& report)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    if (asked.leaseUntilWorkerMs)
        m_leaseUntil = std::max(m_leaseUntil, std::min(*asked.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    std::erase_if(m_ends, [&](const listed_end& each) {
        if (each.number > asked.acknowledged)
            return false;
        m_history[each.seen].noted = true;
        return true;
    });
    report.clockWorkerMs = clock(now);
    report.startedUnixMs = record.startedUnixMs;
    for (const auto& each : m_running) {
        const seen_run& seen = m_history[each.seen];
        report.running.push_back({ seen.task, seen.run, "", 50, 0 });
    }
    for (const auto& each : m_ends) {
        const seen_run& seen = m_history[each.seen];
        report.completions.push_back({ each.number, seen.task, seen.run, seen.how, "" });
    }
    return order_outcome::done;
}

void model_worker::crash(ms now)
{
    advance(now);
    for (const auto& each : m_running) {
        m_history[each.seen].endedAt = now;
        m_history[each.seen].how = completion_kind::lapsed;
    }
    m_running.clear();
    m_ends.clear();
    m_highest.clear();
    m_nextEnd = 1;
    m_token = 0;
    m_leaseUntil = 0;
    up = false;
}

void model_worker::revive(ms now)
{
    if (up && m_bornAt != 0)
        return;
    up = true;
    m_bornAt = now;
    record.startedUnixMs = now + 1;
}

} // namespace camphorwell::fleet
