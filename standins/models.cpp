// See models.h.
#include "standins/models.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t completedRetentionMs = 600'000; // For completed attempts and tombstones.
    constexpr int64_t defaultShortTaskMs = 5;
    constexpr int64_t defaultBatchMs = 300;

    struct work_options {
        int64_t workMs = 0;
        bool fails = false;
        int64_t number = 0; // Echoed in the result, so that a caller can match the answer to its request.
    };

    work_options parseWorkOptions(const std::string& body, bool batch)
    {
        work_options out;
        out.workMs = batch ? defaultBatchMs : defaultShortTaskMs;
        auto source = nlohmann::json::parse(body, nullptr, false);
        if (!source.is_object())
            return out;
        if (source.contains("work_ms") && source["work_ms"].is_number_integer())
            out.workMs = std::clamp<int64_t>(source["work_ms"].get<int64_t>(), 0, 86'400'000);
        if (source.contains("n") && source["n"].is_number_integer())
            out.number = source["n"].get<int64_t>();
        out.fails = source.contains("fail") && source["fail"] == true;
        return out;
    }

} // namespace

int64_t requestedWorkMs(const std::string& body, bool batch) { return parseWorkOptions(body, batch).workMs; }

worker_model::worker_model(worker_id id, resources capacity, uint64_t boot)
    : m_id(std::move(id))
    , m_capacity(capacity)
    , m_boot(boot)
{
}

worker_answer worker_model::handle(instant now, const worker_call& call)
{
    advance(now);
    return std::visit([&](const auto& typedCall) { return on(now, typedCall); }, call);
}

worker_answer worker_model::refuse(worker_verdict verdict) const
{
    worker_answer out;
    out.verdict = verdict;
    out.maxToken = m_maxToken;
    return out;
}

bool worker_model::hasValidLease(instant now, uint64_t token) const
{
    return token == m_token && now < m_leaseEnds;
}

worker_answer worker_model::on(instant now, const lease_call& call)
{
    bool live = now < m_leaseEnds;
    bool sameLease = call.holder == m_holder && call.token == m_token;
    if (live && call.holder != m_holder)
        return refuse(worker_verdict::held_by_other);
    if (!sameLease && call.token <= m_maxToken)
        return refuse(worker_verdict::stale_token);
    if (sameLease && !live)
        return refuse(worker_verdict::stale_token);
    m_holder = call.holder;
    m_token = call.token;
    m_maxToken = std::max(m_maxToken, call.token);
    m_leaseEnds = now + milliseconds(call.leaseMs);
    m_taskLeaseEnds = now + milliseconds(call.taskLeaseMs);
    worker_answer out;
    out.capacity = m_capacity;
    out.leaving = m_leaving;
    out.boot = m_boot;
    out.maxToken = m_maxToken;
    out.seq = m_seq;
    for (const auto& [key, task] : m_tasks) {
        if (task.seq > call.sinceSeq)
            out.tasks.push_back(task.report);
    }
    return out;
}

worker_answer worker_model::on(instant now, const release_call& call)
{
    if (hasValidLease(now, call.token))
        m_leaseEnds = now;
    return {};
}

resources worker_model::used() const
{
    resources out;
    for (const auto& key : m_running)
        out = out + m_tasks.at(key).report.need;
    return out;
}

worker_answer worker_model::on(instant now, const start_call& call)
{
    auto key = std::make_pair(call.work.id, call.work.attempt);
    auto known = m_tasks.find(key);
    worker_answer out;
    if (known != m_tasks.end()) {
        out.tasks.push_back(known->second.report);
        return out;
    }
    if (now >= m_leaseEnds)
        return refuse(worker_verdict::no_lease);
    if (call.token != m_token)
        return refuse(worker_verdict::stale_token);
    if (!(used() + call.work.need).fits(m_capacity))
        return refuse(worker_verdict::over_capacity);
    work_options options = parseWorkOptions(call.work.body, call.work.batch);
    int64_t remaining = options.workMs;
    if (!call.work.checkpoint.empty())
        remaining = std::max<int64_t>(std::strtoll(call.work.checkpoint.c_str(), nullptr, 10), 0);
    task& created = m_tasks[key];
    created.report.id = call.work.id;
    created.report.attempt = call.work.attempt;
    created.report.worker = m_id;
    created.report.need = call.work.need;
    created.report.batch = call.work.batch;
    created.report.idempotent = call.work.idempotent;
    created.report.entry = call.work.entry;
    created.seq = ++m_seq;
    created.started = now;
    created.workMs = remaining;
    created.due = now + instant(static_cast<int64_t>(static_cast<double>(remaining) * 1000 * m_speed));
    created.fails = options.fails || m_failing;
    created.number = options.number;
    created.attemptIndex = m_history.size();
    m_running.insert(key);
    m_history.push_back({ m_id, call.work.id, call.work.attempt, now, std::nullopt, task_state::running });
    advance(now);
    out.tasks.push_back(m_tasks[key].report);
    return out;
}

worker_answer worker_model::on(instant now, const revoke_call& call)
{
    if (!hasValidLease(now, call.token))
        return refuse(now < m_leaseEnds ? worker_verdict::stale_token : worker_verdict::no_lease);
    auto key = std::make_pair(call.id, call.attempt);
    auto known = m_tasks.find(key);
    if (known == m_tasks.end()) {
        task& tombstone = m_tasks[key];
        tombstone.report.id = call.id;
        tombstone.report.attempt = call.attempt;
        tombstone.report.worker = m_id;
        tombstone.report.state = task_state::never_started;
        m_completionOrder.emplace_back(now, key);
        known = m_tasks.find(key);
    }
    worker_answer out;
    out.tasks.push_back(known->second.report);
    return out;
}

worker_answer worker_model::on(instant now, const stop_call& call)
{
    if (!hasValidLease(now, call.token))
        return refuse(now < m_leaseEnds ? worker_verdict::stale_token : worker_verdict::no_lease);
    worker_answer out;
    auto known = m_tasks.find({ call.id, call.attempt });
    if (known == m_tasks.end())
        return out;
    task& stopping = known->second;
    if (stopping.report.state == task_state::running) {
        if (call.checkpoint) {
            auto elapsedMs = std::chrono::duration_cast<milliseconds>(now - stopping.started).count();
            int64_t remainingMs = std::max<int64_t>(stopping.workMs - elapsedMs, 0);
            stopping.report.checkpoint = std::to_string(remainingMs);
            finish(now, stopping, task_state::evicted, {});
        } else {
            finish(now, stopping, task_state::stopped, {});
        }
    }
    out.tasks.push_back(stopping.report);
    return out;
}

void worker_model::finish(instant now, task& ending, task_state state, std::string result)
{
    ending.report.state = state;
    ending.report.result = std::move(result);
    ending.seq = ++m_seq;
    task_key key { ending.report.id, ending.report.attempt };
    m_running.erase(key);
    m_completionOrder.emplace_back(now, key);
    m_history[ending.attemptIndex].ended = now;
    m_history[ending.attemptIndex].state = state;
    m_completed.push_back(ending.report);
}

void worker_model::advance(instant now)
{
    bool lapsed = now >= m_taskLeaseEnds;
    for (auto it = m_running.begin(); it != m_running.end();) {
        task& active = m_tasks.at(*it);
        ++it; // `finish` erases the task from the set.
        if (active.due <= now && active.due <= m_taskLeaseEnds) {
            nlohmann::json result
                = { { "entry", active.report.entry }, { "n", active.number }, { "ok", !active.fails } };
            finish(active.due, active, active.fails ? task_state::failed : task_state::done, result.dump());
        } else if (lapsed) {
            finish(m_taskLeaseEnds, active, task_state::lost, {});
        }
    }
    while (!m_completionOrder.empty()
        && now - m_completionOrder.front().first > milliseconds(completedRetentionMs)) {
        m_tasks.erase(m_completionOrder.front().second);
        m_completionOrder.pop_front();
    }
}

std::vector<task_report> worker_model::takeCompleted()
{
    auto out = std::move(m_completed);
    m_completed.clear();
    return out;
}

std::optional<task_report> worker_model::find(const work_id& id, uint64_t attempt) const
{
    auto found = m_tasks.find({ id, attempt });
    if (found == m_tasks.end())
        return std::nullopt;
    return found->second.report;
}

std::optional<instant> worker_model::nextEvent() const
{
    std::optional<instant> next;
    for (const auto& key : m_running) {
        const task& active = m_tasks.at(key);
        instant at = std::min(active.due, m_taskLeaseEnds);
        if (!next || at < *next)
            next = at;
    }
    return next;
}

void worker_model::restart(instant now)
{
    while (!m_running.empty())
        finish(now, m_tasks.at(*m_running.begin()), task_state::lost, {});
    m_completionOrder.clear();
    m_tasks.clear();
    m_completed.clear();
    m_leaseEnds = now;
    m_boot++;
}

size_t worker_model::runningCount() const { return m_running.size(); }

std::vector<int64_t> log_model::append(
    instant now, const std::string& stream, const std::vector<std::string>& records)
{
    m_appends++;
    std::vector<int64_t> offsets;
    auto& target = m_streams[stream];
    for (const auto& record : records) {
        offsets.push_back(static_cast<int64_t>(target.records.size()));
        target.records.push_back({ now, record });
    }
    return offsets;
}

read_reply log_model::read(instant now, const std::string& stream, int64_t from, size_t limit)
{
    auto& source = m_streams[stream];
    auto size = static_cast<int64_t>(source.records.size());
    while (source.first < size
        && now - source.records[static_cast<size_t>(source.first)].at > milliseconds(m_retentionMs))
        source.first++;
    read_reply out;
    out.ok = true;
    out.first = source.first;
    int64_t offset = std::max(from, source.first);
    for (; offset < size && out.records.size() < limit; offset++)
        out.records.push_back({ offset, source.records[static_cast<size_t>(offset)].data });
    out.next = offset;
    out.atEnd = offset >= size;
    return out;
}

std::vector<log_entry> log_model::allRecords(const std::string& stream) const
{
    std::vector<log_entry> out;
    auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return out;
    for (size_t i = 0; i < found->second.records.size(); i++)
        out.push_back({ static_cast<int64_t>(i), found->second.records[i].data });
    return out;
}

} // namespace camphorwell
