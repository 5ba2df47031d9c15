// See observer.h.
#include "tests/sim/observer.h"

#include <algorithm>

namespace camphorwell::sim {

namespace {

    constexpr int64_t answerGraceMs = 1500; // Allowed delay of an answer after the deadline.

    std::string describeAttempt(const attempt_record& run)
    {
        return run.worker + " attempt " + std::to_string(run.attempt) + " from "
            + std::to_string(run.started.count() / 1000) + " to "
            + (run.ended ? std::to_string(run.ended->count() / 1000) : std::string("the end")) + " "
            + std::string(toString(run.state));
    }

    std::string describeAttempts(const std::vector<attempt_record>& runs)
    {
        std::string out;
        for (const auto& run : runs)
            out += "; " + describeAttempt(run);
        return out;
    }

} // namespace

bool observer::restartedAfter(const worker_id& id, instant trueTime) const
{
    auto found = m_restarts.find(id);
    if (found == m_restarts.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
        [&](instant local) { return m_toTrueTime(id, local) >= trueTime; });
}

void observer::check(std::vector<attempt_record> runs, world_report& report)
{
    std::map<work_id, attempt_list> byWork;
    for (const auto& run : runs) {
        byWork[run.id].push_back(run);
        report.runs++;
        report.evictions += run.state == task_state::evicted ? 1 : 0;
    }
    std::map<work_id, std::vector<const request_record*>> requestsById;
    for (const auto& record : m_requests) {
        if (!record.id.empty())
            requestsById[record.id].push_back(&record);
    }
    for (auto& [id, list] : byWork) {
        std::sort(
            list.begin(), list.end(), [](const auto& a, const auto& b) { return a.started < b.started; });
        auto found = requestsById.find(id);
        bool idempotent = found == requestsById.end() || found->second.front()->idempotent;
        checkAttempts(id, list, idempotent, report);
    }
    for (const auto& [id, records] : requestsById)
        checkAnswers(id, records, byWork[id], report);
}

void observer::checkAttempts(
    const work_id& id, const attempt_list& runs, bool idempotent, world_report& report) const
{
    for (size_t i = 0; i + 1 < runs.size(); i++) {
        const attempt_record& first = runs[i];
        const attempt_record& second = runs[i + 1];
        bool overlap = !first.ended || *first.ended > second.started;
        if (overlap)
            report.violations.push_back(
                { "attempts of the same work do not overlap", id + describeAttempts(runs) });
        // The task may run again when its worker restarted after the completion: the result may be lost.
        bool repeatedRun
            = first.state == task_state::done && first.ended && !restartedAfter(first.worker, *first.ended);
        if (repeatedRun)
            report.violations.push_back(
                { "completed work does not start again", id + describeAttempts(runs) });
    }
    if (!idempotent && runs.size() > 1)
        report.violations.push_back({ "non-idempotent at most once", id + describeAttempts(runs) });
}

void observer::checkAnswers(const work_id& id, const std::vector<const request_record*>& records,
    const attempt_list& runs, world_report& report) const
{
    bool allRefused = true;
    bool accepted = false;
    bool cancelled = false;
    for (const auto* record : records) {
        const answer& given = record->answer;
        cancelled = cancelled || record->verb == verb::cancel;
        if (!record->answered) {
            allRefused = allRefused && record->pollOnly;
            continue;
        }
        bool late = record->answeredAt - record->sentAt > milliseconds(record->deadlineMs + answerGraceMs);
        if (late && !record->paused)
            report.violations.push_back({ "answered by the deadline", id });
        if (record->pollOnly)
            continue;
        if (given.state == answer_state::done) {
            report.done++;
            allRefused = false;
            auto result = nlohmann::json::parse(given.result, nullptr, false);
            bool own = result.is_object() && result.value("n", int64_t { -1 }) == record->number;
            if (!own)
                report.violations.push_back({ "the answer belongs to the request", id + " " + given.result });
            bool ran = std::any_of(runs.begin(), runs.end(),
                [](const attempt_record& run) { return run.state == task_state::done; });
            if (!ran)
                report.violations.push_back({ "a result comes from a run", id });
        } else if (given.state == answer_state::refused) {
            bool no = reasonInfo(given.why.code).ran == was_executed::no;
            report.refusedNotRun += no ? 1 : 0;
            report.unknown += reasonInfo(given.why.code).ran == was_executed::unknown ? 1 : 0;
            allRefused = allRefused && no;
        } else {
            report.accepted++;
            accepted = true;
            allRefused = false;
        }
    }
    if (allRefused && !runs.empty()) {
        std::string refusalReasons;
        for (const auto* record : records)
            refusalReasons += " " + std::string(reasonInfo(record->answer.why.code).name);
        report.violations.push_back({ "work reported as not executed was not executed",
            id + describeAttempts(runs) + "; reasons" + refusalReasons });
    }
    bool done = std::any_of(
        runs.begin(), runs.end(), [](const attempt_record& run) { return run.state == task_state::done; });
    if (accepted && !done && !cancelled)
        report.violations.push_back({ "accepted work is done", id + describeAttempts(runs) });
}

} // namespace camphorwell::sim
