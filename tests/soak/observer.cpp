// See observer.h.
#include "tests/soak/observer.h"

#include <algorithm>

namespace camphorwell::soak {

namespace {

    using nlohmann::json;

    constexpr int64_t shownCompletedSlackMs = 1000; // Starts until then count as sent before.
    constexpr int64_t visibleMs = 3000; // An accepted job is known everywhere after this time.
    constexpr int64_t cancelMs = 3000; // No task of a cancelled job is started after this time.
    constexpr int64_t stopMs = 200;
    constexpr int64_t contactMs = 6000; // Bounds hold for what has not been disturbed for this long.
    constexpr int64_t disturbedCancelMs = 12'000; // Bound under disturbances: two takeovers and a lease.
    constexpr int maxFailedAttempts = 3; // `MaxAttempts` of the stand-in's queues.

    // A service task is lost if it is away for `awayMs`, `restartMs` after its last attempt or later, while
    // nothing is disturbed from `calmMs` before.
    constexpr int64_t restartMs = 6000;
    constexpr int64_t awayMs = 3000;
    constexpr int64_t calmMs = 4000; // Before `awayMs`.

    std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

    // A task is named JOB.OCCURRENCE.STEP.INDEX.
    int stepOf(const std::string& task)
    {
        size_t occurrence = task.find('.');
        return std::stoi(task.substr(task.find('.', occurrence + 1) + 1));
    }

    using attempts_by_task = std::map<std::string, std::vector<fleet_attempt>>;

    attempts_by_task groupByTask(const std::vector<fleet_attempt>& history)
    {
        attempts_by_task out;
        for (const fleet_attempt& attempt : history)
            out[attempt.task].push_back(attempt);
        for (auto& [task, attempts] : out)
            std::stable_sort(attempts.begin(), attempts.end(),
                [](const auto& a, const auto& b) { return a.startedAt < b.startedAt; });
        return out;
    }

    std::string describe(const std::string& what, const std::vector<fleet_attempt>& attempts)
    {
        json rows = json::array();
        for (const auto& attempt : attempts)
            rows.push_back({ attempt.task, attempt.number, attempt.worker, attempt.startedAt,
                attempt.endedAt.value_or(0), attempt.completion, attempt.acknowledged ? "acknowledged" : "",
                attempt.lapsedBeforeAck ? "lapsed" : "" });
        return what + ": " + rows.dump();
    }

    // Times at which the tasks of each job ended, sorted.
    std::map<std::string, std::vector<int64_t>> doneTimes(const attempts_by_task& byTask)
    {
        std::map<std::string, std::vector<int64_t>> out;
        for (const auto& [task, attempts] : byTask) {
            for (const auto& attempt : attempts) {
                if (attempt.completion != "done")
                    continue;
                out[jobOf(task)].push_back(*attempt.endedAt);
                break;
            }
        }
        for (auto& [id, times] : out)
            std::sort(times.begin(), times.end());
        return out;
    }

} // namespace

bool observer::calm(int64_t from, int64_t to) const
{
    return std::none_of(m_disturbances.begin(), m_disturbances.end(),
        [&](const auto& each) { return each.first <= to && each.second >= from; });
}

void observer::onState(
    const std::string& id, int status, const std::string& state, int64_t askedAt, int64_t now)
{
    tracked_job& job = jobs.at(id);
    if (status == 200 && state == "completed" && !job.completedAt)
        job.completedAt = now;
    if (status == 200 && state == "cancelled" && !job.cancelSentAt)
        addViolation("job " + id + " is shown as cancelled and nobody cancelled it");
    if (status == 200 && state == "failed" && job.kind != job_kind::failing)
        addViolation("job " + id + " is shown as failed and no task of it fails");
    if (status == 410 && job.acceptedAt && askedAt > *job.acceptedAt + visibleMs && !job.cancelSentAt)
        m_unknown.push_back({ id, askedAt });
}

void observer::checkTask(
    const std::string& task, const tracked_job& job, const std::vector<fleet_attempt>& attempts)
{
    int failed = 0;
    bool done = false;
    std::optional<int64_t> lastEnd;
    for (const fleet_attempt& attempt : attempts) {
        if (lastEnd && attempt.startedAt < *lastEnd)
            addViolation(describe("TWICE two attempts at the same time", attempts));
        if (done && job.kind != job_kind::service)
            addViolation(describe("TWICE started after an acknowledged end", attempts));
        if (failed >= maxFailedAttempts && job.kind != job_kind::service)
            addViolation(describe("BUDGET started after the last failure", attempts));
        if (job.completedAt && attempt.startedAt > *job.completedAt + shownCompletedSlackMs)
            addViolation(describe("TWICE started after the job was shown as completed", attempts));
        if (job.cancelledAt) {
            bool wasCalm = calm(*job.cancelledAt - contactMs, attempt.startedAt);
            int64_t bound = *job.cancelledAt + (wasCalm ? cancelMs : disturbedCancelMs);
            if (attempt.startedAt > bound)
                addViolation(describe("UNASKED started after the cancel of job " + task, attempts));
            if (wasCalm && attempt.endedAt.value_or(bound) > bound + stopMs && calm(bound, bound + stopMs))
                addViolation(describe("UNASKED runs on after the cancel of job " + task, attempts));
        }
        bool counts = attempt.acknowledged && !attempt.lapsedBeforeAck;
        done |= counts && attempt.completion == "done";
        failed += counts && attempt.completion == "failed";
        lastEnd = std::max(lastEnd.value_or(0), attempt.endedAt.value_or(INT64_MAX));
    }
}

void observer::checkOrder(
    const std::string& id, const tracked_job& job, const std::vector<fleet_attempt>& attempts)
{
    std::vector<std::set<std::string>> done(job.steps.size());
    std::vector<int64_t> doneAt(job.steps.size(), 0);
    std::vector<int64_t> firstStart(job.steps.size(), INT64_MAX);
    for (const fleet_attempt& attempt : attempts) {
        auto step = static_cast<size_t>(stepOf(attempt.task));
        if (step >= job.steps.size())
            return addViolation(describe("UNASKED no such step", attempts));
        firstStart[step] = std::min(firstStart[step], attempt.startedAt);
        if (attempt.completion == "done" && done[step].insert(attempt.task).second)
            doneAt[step] = std::max(doneAt[step], *attempt.endedAt);
    }
    for (size_t step = 1; step < job.steps.size(); step++) {
        bool whole = done[step - 1].size() == static_cast<size_t>(job.steps[step - 1]);
        if (firstStart[step] != INT64_MAX && (!whole || firstStart[step] < doneAt[step - 1]))
            addViolation(describe("ORDER step started early in job " + id, attempts));
    }
}

// The first time after the end of an attempt at which its task must run again.
int64_t observer::restartBound(int64_t endedAt) const
{
    int64_t out = endedAt + restartMs + awayMs;
    for (bool moved = true; moved;) {
        moved = false;
        for (const auto& [from, to] : m_disturbances) {
            if (from > out || to < out - awayMs - calmMs)
                continue;
            out = to + 1 + awayMs + calmMs;
            moved = true;
        }
    }
    return out;
}

void observer::checkRestarts(const std::vector<fleet_attempt>& history, int64_t until)
{
    for (const auto& [task, attempts] : groupByTask(history)) {
        auto found = jobs.find(jobOf(task));
        if (found == jobs.end() || found->second.kind != job_kind::service || !found->second.acceptedAt)
            continue;
        int64_t owedUntil = std::min(until, found->second.cancelSentAt.value_or(until));
        for (size_t i = 0; i < attempts.size(); i++) {
            if (!attempts[i].endedAt)
                continue;
            int64_t next = i + 1 < attempts.size() ? attempts[i + 1].startedAt : INT64_MAX;
            int64_t bound = restartBound(*attempts[i].endedAt);
            if (bound < std::min(next, owedUntil))
                addViolation(describe("LOST service task away at " + std::to_string(bound) + " after "
                        + std::to_string(bound - *attempts[i].endedAt) + " ms",
                    attempts));
        }
    }
}

void observer::check(const std::vector<fleet_attempt>& history)
{
    auto byTask = groupByTask(history);
    for (const auto& [task, attempts] : byTask) {
        auto job = jobs.find(jobOf(task));
        if (job == jobs.end()) {
            addViolation(describe("UNASKED no such job", attempts));
            continue;
        }
        if (job->second.refusedOnly)
            addViolation(describe("REFUSED every submission was refused", attempts));
        checkTask(task, job->second, attempts);
    }
    std::map<std::string, std::vector<fleet_attempt>> byJob;
    for (const fleet_attempt& attempt : history)
        byJob[jobOf(attempt.task)].push_back(attempt);
    for (const auto& [id, attempts] : byJob) {
        if (auto job = jobs.find(id); job != jobs.end() && job->second.steps.size() > 1)
            checkOrder(id, job->second, attempts);
    }
    auto done = doneTimes(byTask);
    for (const auto& [id, job] : jobs) {
        const auto& times = done[id];
        bool whole = times.size() == static_cast<size_t>(job.tasks);
        if (job.completedAt && (!whole || times.back() > *job.completedAt))
            addViolation("MIXED job " + id + " was shown as completed at " + std::to_string(*job.completedAt)
                + " with " + std::to_string(times.size()) + " of " + std::to_string(job.tasks)
                + " tasks done");
    }
    for (const auto& [id, askedAt] : m_unknown) {
        const tracked_job& job = jobs.at(id);
        const auto& times = done[id];
        bool over = times.size() == static_cast<size_t>(job.tasks) && times.back() < askedAt;
        if (!over && job.kind != job_kind::failing && calm(askedAt - contactMs, askedAt))
            addViolation("LOST accepted job " + id + " was not known at " + std::to_string(askedAt));
    }
}

void observer::checkServices(const std::vector<fleet_attempt>& history)
{
    std::map<std::string, int> running; // Tasks, by job.
    for (const auto& [task, attempts] : groupByTask(history))
        running[jobOf(task)] += !attempts.back().endedAt;
    for (const auto& [id, job] : jobs) {
        if (job.kind == job_kind::service && !job.fails && job.acceptedAt && !job.cancelSentAt
            && running[id] < job.tasks)
            addViolation("LOST service job " + id + " runs " + std::to_string(running[id]) + " of "
                + std::to_string(job.tasks) + " tasks");
    }
}

std::vector<std::string> observer::unfinished(const std::vector<fleet_attempt>& history) const
{
    std::map<std::string, int> done; // Tasks, by job.
    std::set<std::string> failed;
    std::set<std::string> running;
    for (const auto& [task, attempts] : groupByTask(history)) {
        auto ended = [&attempts = attempts](const char* how) {
            return std::count_if(attempts.begin(), attempts.end(),
                [how](const fleet_attempt& attempt) { return attempt.completion == how; });
        };
        done[jobOf(task)] += ended("done") > 0;
        if (ended("failed") >= maxFailedAttempts)
            failed.insert(jobOf(task));
        if (!attempts.back().endedAt)
            running.insert(jobOf(task));
    }
    std::vector<std::string> out;
    for (const auto& [id, job] : jobs) {
        bool over = done[id] == job.tasks || failed.contains(id);
        if (job.acceptedAt && (job.cancelledAt ? running.contains(id) : !job.cancelSentAt && !over))
            out.push_back(id);
    }
    return out;
}

} // namespace camphorwell::soak
