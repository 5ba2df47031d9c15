// See fleet_models.h.
#include "standins/fleet_models.h"

#include <algorithm>

namespace camphorwell::fleet {

namespace {
    constexpr ms maxLeaseMs = 6000;
}

model_worker::model_worker(
    worker_record workerRecord, bool enforcesCapacity, double clockRate, std::vector<seen_run>& history)
    : record(std::move(workerRecord))
    , m_guards(enforcesCapacity)
    , m_rate(clockRate)
    , m_history(history)
{
}

ms model_worker::clock(ms now) const { return static_cast<ms>(static_cast<double>(now - m_bornAt) * m_rate); }

resources model_worker::used() const
{
    resources out;
    for (const auto& task : m_running)
        out = out + resources { task.need.filler ? 0 : task.need.cpuMilli, task.need.memoryMb, 0, 0 };
    return out;
}

void model_worker::end(size_t index, end_kind how, ms now)
{
    seen_run& attempt = m_history[m_running[index].seen];
    attempt.endedAt = now;
    attempt.how = how;
    m_highest[attempt.task] = std::max(m_highest[attempt.task], attempt.run);
    m_ends.push_back({ m_nextEnd++, m_running[index].seen });
    m_running.erase(m_running.begin() + static_cast<long>(index));
}

void model_worker::advance(ms now)
{
    if (!up)
        return;
    for (size_t i = 0; i < m_running.size();) {
        if (m_running[i].endsAt <= now)
            end(i, m_running[i].fails ? end_kind::failed : end_kind::done, m_running[i].endsAt);
        else
            i++;
    }
    if (clock(now) <= m_leaseUntil)
        return;
    while (!m_running.empty())
        end(0, end_kind::lapsed, now);
    for (const auto& completion : m_ends)
        m_history[completion.seen].lapsedSince = true;
}

order_outcome model_worker::start(const start_action& order, uint64_t token, ms now, ms work, bool fails)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    for (const auto& task : m_running) {
        const seen_run& attempt = m_history[task.seen];
        if (attempt.task == order.task && attempt.run == order.run)
            return order_outcome::done;
    }
    auto highest = m_highest.find(order.task);
    if (highest != m_highest.end() && order.run <= highest->second)
        return order_outcome::superseded;
    if (order.leaseUntilWorkerMs <= clock(now))
        return order_outcome::late;
    m_leaseUntil = std::max(m_leaseUntil, std::min(order.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    const step_spec* need = sizeOf(order.task);
    resources demand { need->filler ? 0 : need->cpuMilli, need->memoryMb, 0, 0 };
    bool fits = demand.fits(record.capacity - used());
    if (!fits && m_guards)
        return order_outcome::no_room;
    overCapacity |= !fits;
    m_history.push_back(
        { order.task, order.run, record.id, now, std::nullopt, end_kind::stopped, false, false });
    m_running.push_back({ m_history.size() - 1, *need, now + work, fails });
    return order_outcome::done;
}

order_outcome model_worker::stop(const stop_action& order, uint64_t token, ms now)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    m_highest[order.task] = std::max(m_highest[order.task], order.run);
    for (size_t i = 0; i < m_running.size(); i++) {
        const seen_run& attempt = m_history[m_running[i].seen];
        if (attempt.task == order.task && attempt.run == order.run) {
            end(i, end_kind::stopped, now);
            break;
        }
    }
    return order_outcome::done;
}

order_outcome model_worker::look(const look_action& request, uint64_t token, ms now, worker_report& report)
{
    advance(now);
    if (token < m_token)
        return order_outcome::fenced;
    m_token = token;
    if (request.leaseUntilWorkerMs)
        m_leaseUntil = std::max(m_leaseUntil, std::min(*request.leaseUntilWorkerMs, clock(now) + maxLeaseMs));
    std::erase_if(m_ends, [&](const listed_end& completion) {
        if (completion.number > request.acknowledged)
            return false;
        m_history[completion.seen].noted = true;
        return true;
    });
    report.clockWorkerMs = clock(now);
    report.bornUnixMs = record.bornUnixMs;
    for (const auto& task : m_running) {
        const seen_run& attempt = m_history[task.seen];
        report.running.push_back({ attempt.task, attempt.run, "", 50, 0 });
    }
    for (const auto& completion : m_ends) {
        const seen_run& attempt = m_history[completion.seen];
        report.ended.push_back({ completion.number, attempt.task, attempt.run, attempt.how, "" });
    }
    return order_outcome::done;
}

void model_worker::crash(ms now)
{
    advance(now);
    for (const auto& task : m_running) {
        m_history[task.seen].endedAt = now;
        m_history[task.seen].how = end_kind::lapsed;
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
    record.bornUnixMs = now + 1;
}

} // namespace camphorwell::fleet
