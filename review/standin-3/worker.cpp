// See worker.h.
#include "worker.h"

#include <algorithm>
#include <chrono>

namespace review {

using nlohmann::json;

namespace {

    constexpr int64_t gangTimeoutMs = 3000; // GangTimeoutMs
    constexpr int64_t defaultWorkMs = 200;
    constexpr size_t maxListedEnds = 500;

    // A long checkpoint is recorded by its last digits.
    std::string orDash(const std::string& text)
    {
        constexpr size_t longest = 200;
        std::string out = text.empty() ? "-" : text.substr(text.size() > longest ? text.size() - 16 : 0);
        std::replace(out.begin(), out.end(), ' ', '_');
        return out;
    }

    int64_t wordOf(const std::string& spec, const std::string& name, int64_t fallback)
    {
        size_t at = (" " + spec).find(" " + name + "=");
        return at == std::string::npos ? fallback : std::stoll(spec.substr(at + name.size() + 1));
    }

} // namespace

int64_t nowMs()
{
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

event_record::event_record()
    : m_begin(nowMs())
{
}

void event_record::add(const std::string& line)
{
    m_lines += std::to_string(nowMs() - m_begin) + " " + line + "\n";
}

std::string event_record::text() const { return m_lines; }

std::string run_state::gangName() const
{
    return task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
}

worker::worker(
    event_record& record, std::vector<std::unique_ptr<worker>>& fleet, std::string id, int64_t maxHoldMs)
    : m_record(record)
    , m_fleet(fleet)
    , m_id(std::move(id))
    , m_maxHoldMs(maxHoldMs)
{
    restart();
}

void worker::restart()
{
    m_up = true;
    m_startedAt = nowMs();
    auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    m_bornUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(unixTime).count();
}

void worker::crash()
{
    m_up = false;
    for (const auto& [task, run] : m_running) {
        m_record.add("lost " + m_id + " " + task + " " + std::to_string(run.number));
        if (run.gangSize > 0)
            endOtherMembers(run, "broken");
    }
    m_running.clear();
    m_highestEnded.clear();
    m_ends.clear();
    m_nextEnd = 1;
    m_token = 0;
    m_leaseUntil = 0;
}

std::string worker::clockBody() const { return json { { "ClockMs", clock() } }.dump(); }

std::pair<int, std::string> worker::refuse(const char* reason) const
{
    return { 409, json { { "ClockMs", clock() }, { "Reason", reason } }.dump() };
}

// The deadline never shortens; a longer lease than the maximum is cut to it.
void worker::extendLease(int64_t deadline)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + m_maxHoldMs));
}

std::pair<int, std::string> worker::order(const std::string& path, const json& body)
{
    advance();
    uint64_t token = body.value("FencingToken", uint64_t { 0 });
    if (token < m_token)
        return refuse("fence");
    m_token = token;
    std::string task = body.value("Task", std::string());
    int64_t number = body.value("Run", int64_t { 0 });
    auto found = m_running.find(task);
    bool isThere = found != m_running.end() && found->second.number == number;
    if (path == "/run-stop") {
        m_highestEnded[task] = std::max(m_highestEnded[task], number);
        if (isThere)
            end(task, "stopped");
        return { 200, clockBody() };
    }
    if (path != "/run-start")
        return { path == "/pace" ? 200 : 404, clockBody() };
    int64_t deadline = body.value("DeadlineMs", int64_t { 0 });
    if (isThere)
        return { 200, clockBody() };
    if (deadline <= clock())
        return refuse("late");
    extendLease(deadline);
    auto highest = m_highestEnded.find(task);
    if (found != m_running.end() || (highest != m_highestEnded.end() && number <= highest->second))
        return refuse("old");
    std::string spec = body.value("Spec", std::string());
    std::string step = task.substr(0, task.rfind('.'));
    if (wordOf(spec, "advised", 0) == 1
        && !ticketIsValid(step, body.value("Ticket", std::string()), m_bornUnixMs))
        return refuse("ticket");
    run_state run;
    run.task = task;
    run.number = number;
    run.workMs = wordOf(spec, "work_ms", defaultWorkMs)
        + wordOf(spec, "stagger_ms", 0) * std::stoll(task.substr(task.rfind('.') + 1));
    run.saveMs = wordOf(spec, "save_ms", 0);
    run.saveBytes = static_cast<size_t>(wordOf(spec, "save_bytes", 16));
    run.gangSize = static_cast<size_t>(wordOf(spec, "gang", 0));
    run.checkpoint = body.value("Checkpoint", std::string());
    run.doneMs = run.checkpoint.empty() ? 0 : std::stoll(run.checkpoint, nullptr, 16);
    run.arrivedAt = nowMs();
    run.since = run.gangSize == 0 ? nowMs() : 0;
    m_running[task] = run;
    m_record.add("start " + m_id + " " + task + " " + std::to_string(number) + " " + orDash(run.checkpoint)
        + " " + orDash(spec));
    return { 200, clockBody() };
}

// A new value with each `saveMs` of work and at a stop: the work done, in hexadecimal digits.
void worker::save(run_state& run, int64_t now, bool stopped)
{
    if (run.saveMs == 0 || run.since == 0)
        return;
    int64_t done = std::min(run.workDone(now), run.workMs);
    int64_t saved = stopped ? done : done / run.saveMs * run.saveMs;
    if (saved == 0)
        return;
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(saved));
    std::string value(digits);
    value.insert(0, run.saveBytes - std::min(run.saveBytes, value.size()), '0');
    run.checkpoint = std::max(run.checkpoint, value);
}

void worker::end(const std::string& task, const std::string& how)
{
    run_state run = m_running[task];
    m_running.erase(task);
    save(run, nowMs(), how == "stopped");
    m_highestEnded[task] = std::max(m_highestEnded[task], run.number);
    m_record.add("end " + m_id + " " + task + " " + std::to_string(run.number) + " " + how + " "
        + orDash(run.checkpoint));
    m_ends.push_back({ m_nextEnd++, run, how });
    // All members end done together; another end of one breaks the others.
    if (run.gangSize > 0 && how != "alone")
        endOtherMembers(run, how == "done" ? "done" : "broken");
}

void worker::endOtherMembers(const run_state& run, const std::string& how)
{
    for (auto& other : m_fleet) {
        std::vector<std::string> members;
        for (const auto& [name, member] : other->m_running) {
            if (other->m_up && member.gangSize > 0 && member.since != 0
                && member.gangName() == run.gangName())
                members.push_back(name);
        }
        for (const std::string& name : members) {
            if (other->m_running.contains(name))
                other->end(name, how);
        }
    }
}

// A gang begins to work when all of its members are there. It goes on from its earliest checkpoint.
void worker::advanceGang(run_state& run)
{
    std::vector<run_state*> members;
    for (auto& other : m_fleet) {
        for (auto& [name, member] : other->m_running) {
            if (member.gangName() == run.gangName())
                members.push_back(&member);
        }
    }
    if (members.size() < run.gangSize)
        return;
    int64_t done = run.doneMs;
    for (const run_state* member : members)
        done = std::min(done, member->doneMs);
    for (run_state* member : members) {
        member->doneMs = done;
        member->since = nowMs();
    }
}

void worker::advance()
{
    if (!m_up)
        return;
    int64_t now = nowMs();
    std::vector<std::pair<std::string, std::string>> due;
    for (auto& [task, run] : m_running) {
        if (run.gangSize > 0 && run.since == 0)
            advanceGang(run);
        save(run, now, false);
        if (clock() > m_leaseUntil)
            due.emplace_back(task, "lapsed");
        else if (run.since != 0 && run.workDone(now) >= run.workMs)
            due.emplace_back(task, "done");
        else if (run.since == 0 && now - run.arrivedAt > gangTimeoutMs)
            due.emplace_back(task, "alone");
    }
    for (const auto& [task, how] : due) {
        if (m_running.contains(task))
            end(task, how);
    }
}

std::pair<int, std::string> worker::hold(const json& body, bool first)
{
    advance();
    uint64_t token = body.value("FencingToken", uint64_t { 0 });
    if (token < m_token)
        return refuse("fence");
    m_token = token;
    if (first && body.contains("DeadlineMs"))
        extendLease(body["DeadlineMs"].get<int64_t>());
    uint64_t seen = first ? body.value("LastSeen", uint64_t { 0 }) : 0;
    std::erase_if(m_ends, [&](const ended_run& ended) {
        if (ended.number > seen)
            return false;
        m_record.add("noted " + m_id + " " + ended.run.task + " " + std::to_string(ended.run.number) + " "
            + ended.how);
        return true;
    });
    json running = json::array();
    for (const auto& [task, run] : m_running) {
        int64_t done = std::min(run.workDone(nowMs()), run.workMs);
        running.push_back({ task, run.number, run.checkpoint, done * 100 / std::max<int64_t>(1, run.workMs),
            run.since == 0 ? 0 : 500 });
    }
    json ends = json::array();
    for (const ended_run& ended : m_ends) {
        if (ends.size() < maxListedEnds)
            ends.push_back(
                { ended.number, ended.run.task, ended.run.number, ended.how, ended.run.checkpoint });
    }
    return { 200,
        json {
            { "ClockMs", clock() }, { "born", m_bornUnixMs }, { "Running", running }, { "Finished", ends } }
            .dump() };
}

} // namespace review
