// Best-effort beside latency-critical tasks, the check of moves by consolidation, and the check that no task
// waits beside idle processors.
//
// A move may take a task away only while all others of its step are at work. At any time at which under half
// of the processors are reserved, a task whose turn has come and that fits twice on one worker is started
// within 10 s if the time is without faults.
#include "tests/jobs/world.h"

#include <algorithm>
#include <regex>

namespace camphorwell::testing {

namespace {
    constexpr ms checkIntervalMs = 100;
    constexpr ms longestWaitMs = 10'000;
    constexpr ms calmMs = 4000;
    constexpr ms noticeMs = 4500; // A task counts as away when it has not been at work for this long.
    constexpr int latencyCriticalJobs = 7;
    // Best-effort jobs that come together, more than fit at once.
    constexpr int backlogs = 3;
    constexpr int jobsPerBacklog = 3;
    constexpr int tasksPerBacklogJob = 8;
    constexpr int latencyCriticalImages = 6;
    constexpr ms targetMs = 20;
    // Moves are disturbed for this long after the fault phase.
    constexpr ms lateFaultsMs = 5000;
    constexpr double disturbedMoveShare = 0.4;
    constexpr ms longestMoveMs = 1500; // Usual time from the stop of a task until it is at work again.
    constexpr double maxReservedShare = 0.5;

    std::optional<task_ref> parseTask(const std::string& text)
    {
        static const std::regex pattern(R"re(task="?([A-Za-z0-9]+)\.(\d+)\.(\d+)\.(\d+))re");
        std::smatch match;
        if (!std::regex_search(text, match, pattern))
            return std::nullopt;
        return task_ref { match[1], std::stoi(match[2]), std::stoi(match[3]), std::stoi(match[4]) };
    }
} // namespace

void world::makeLatencyCritical(job_record& record)
{
    for (step_spec& step : record.spec.steps) {
        if (step.isService && chance(0.7)) {
            step.image = "serving" + std::to_string(randomInt(1, latencyCriticalImages));
            step.tailLatencyTargetMs = targetMs;
            step.maxUnavailable = chance(0.7) ? 1 : 0;
        } else if (record.queue == "batch" && !step.isService && !step.gang && chance(0.6)) {
            step.isBestEffort = true;
            step.image = chance(0.7) ? "heavy" : "light";
            step.cpuMilli = randomInt(4, 7) * 500;
        }
    }
}

void world::submitSharingJobs()
{
    for (int i = 0; i < latencyCriticalJobs; i++) {
        runAfter(randomInt(0, 1500), [this] {
            job_id id = "job" + std::to_string(m_jobs.size());
            job_record& record = m_jobs[id].record;
            do
                record = randomJob();
            while (!record.spec.steps[0].isLatencyCritical());
            sendSubmission(id);
            if (chance(0.3))
                runAfter(randomInt(6000, 15'000), [this, id] { sendCancel(id); });
        });
    }
    for (int i = 0; i < backlogs; i++)
        runAfter(randomInt(5000, m_settings.faultPhase), [this] { submitBacklog(); });
}

void world::submitBacklog()
{
    for (int i = 0; i < jobsPerBacklog; i++) {
        job_id id = "job" + std::to_string(m_jobs.size());
        job_record& record = m_jobs[id].record;
        do
            record = randomJob();
        while (!record.spec.steps[0].isBestEffort || record.spec.repeatCount > 0);
        record.spec.steps.resize(1);
        step_spec& step = record.spec.steps[0];
        step.count = tasksPerBacklogJob;
        step.maxPerWorker = 0;
        step.requiredLabel.clear();
        step.image = "heavy";
        step.memoryMb = 256;
        sendSubmission(id);
    }
}

const observed_attempt* world::lastAttempt(const task_ref& task) const
{
    auto found = std::find_if(m_history.rbegin(), m_history.rend(),
        [&](const observed_attempt& attempt) { return attempt.task == task; });
    return found == m_history.rend() ? nullptr : &*found;
}

bool world::isAtWork(const task_ref& task) const
{
    const observed_attempt* last = lastAttempt(task);
    return last && !last->endedAt && m_now - last->startedAt >= model_worker::startupMs;
}

ms world::awaySince(const task_ref& task) const
{
    ms out = m_start;
    for (const observed_attempt& attempt : m_history) {
        bool wasAtWork = attempt.endedAt && *attempt.endedAt - attempt.startedAt >= model_worker::startupMs;
        if (attempt.task == task && wasAtWork)
            out = std::max(out, *attempt.endedAt);
    }
    return out;
}

void world::noteMove(const std::string& line)
{
    if (line.find("why=consolidated") == std::string::npos)
        return;
    auto task = parseTask(line);
    if (!task) {
        reportViolation("unreadable line: " + line);
        return;
    }
    const step_spec& step = *stepOf(*task);
    m_counts.moves++;
    m_counts.movesOfLimited += step.maxUnavailable > 0;
    std::erase_if(m_moved, [this](const task_ref& moved) { return isAtWork(moved); });
    for (int index = 0; index < step.count; index++) {
        task_ref other = *task;
        other.index = index;
        if (other == *task)
            continue;
        bool away = step.maxUnavailable > 0 && !isAtWork(other) && m_now - awaySince(other) > noticeMs;
        if (away || m_moved.contains(other))
            reportViolation("moved while another task of its step is away: " + task->str() + " and "
                + other.str() + " at " + std::to_string(m_now));
    }
    m_moved.insert(*task);
    if (m_now < m_start + m_settings.faultPhase + lateFaultsMs && chance(disturbedMoveShare))
        runAfter(randomInt(0, longestMoveMs), [this, job = task->job] { disturbMove(job); });
}

void world::disturbMove(const job_id& job)
{
    m_counts.disturbedMoves++;
    switch (randomInt(0, 4)) {
    case 0:
        sendCancel(job);
        break;
    case 1:
        replaceLeader(randomInt(50, 3000));
        break;
    case 2:
        if (auto leader = currentLeader())
            cutInstance(leader->owner, randomInt(500, 6000));
        break;
    case 3:
        m_storeDownUntil = m_now + randomInt(500, 5000);
        noteFault(m_storeDownUntil);
        break;
    case 4:
        crashWorker(randomWorker(), randomInt(500, 9000));
        break;
    }
}

bool world::isLightlyReserved() const
{
    int64_t reserved = 0;
    int64_t capacity = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!worker->up)
            continue;
        reserved += worker->used().cpuMilli;
        capacity += worker->record.capacity.cpuMilli;
    }
    return static_cast<double>(reserved) < maxReservedShare * static_cast<double>(capacity);
}

// Whether a worker that may run the task's step has memory and processors for two of its tasks; best-effort
// tasks on it count at full size.
bool world::fitsTwice(const task_ref& task) const
{
    const step_spec& step = *stepOf(task);
    resources need { 2 * step.cpuMilli, 2 * step.memoryMb, 0, 0 };
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto& entry) {
        const model_worker& worker = *entry.second;
        resources free = worker.record.capacity - worker.used();
        free.cpuMilli -= worker.bestEffortCpu();
        const auto& labels = worker.record.labels;
        bool labelled = step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        return worker.up && worker.reachable && !worker.record.draining && labelled && need.fits(free)
            && mayRunOn(task, entry.first);
    });
}

void world::addTasksDue(const job_id& id, int number, std::vector<task_ref>& out) const
{
    const auto& steps = m_jobs.at(id).record.spec.steps;
    const step_spec& step = steps[static_cast<size_t>(number)];
    for (int dependency : step.dependsOn) {
        for (int index = 0; index < steps[static_cast<size_t>(dependency)].count; index++) {
            if (!hasDone(id, dependency, index))
                return;
        }
    }
    for (int index = 0; index < step.count; index++) {
        task_ref task { id, 0, number, index };
        const observed_attempt* last = lastAttempt(task);
        bool over = last && last->endedAt && last->completion == completion_kind::done && !step.isService;
        if (!over && !(last && !last->endedAt))
            out.push_back(task);
    }
}

std::vector<task_ref> world::tasksDue() const
{
    std::vector<task_ref> out;
    for (const auto& [id, job] : m_jobs) {
        const job_spec& spec = job.record.spec;
        if (!job.acceptedAt || job.cancelledAt || job.end || spec.repeatCount > 0)
            continue;
        for (size_t step = 0; step < spec.steps.size(); step++) {
            // The members of a gang and tasks with a limit for each worker need several workers.
            if (!spec.steps[step].gang && spec.steps[step].maxPerWorker == 0
                && fitsTwice({ id, 0, static_cast<int>(step), 0 }))
                addTasksDue(id, static_cast<int>(step), out);
        }
    }
    return out;
}

// Since when each of the tasks is due, by the result of the last check.
std::map<task_ref, ms> world::dueSince(
    const std::vector<task_ref>& due, const std::map<task_ref, ms>& last) const
{
    std::map<task_ref, ms> out;
    for (const task_ref& task : due) {
        auto found = last.find(task);
        out[task] = found == last.end() ? m_now : found->second;
    }
    return out;
}

void world::checkWaits()
{
    runAfter(checkIntervalMs, [this] { checkWaits(); });
    std::erase_if(m_moved, [this](const task_ref& moved) { return isAtWork(moved); });
    if (m_now - m_lastFaultAt < calmMs || !isLightlyReserved()) {
        m_dueSince.clear();
        return;
    }
    std::vector<task_ref> due = tasksDue();
    std::erase_if(due, [this](const task_ref& task) { return needsAdvice(task); });
    m_dueSince = dueSince(due, m_dueSince);
    for (const auto& [task, since] : m_dueSince) {
        m_counts.longestWaitMs = std::max(m_counts.longestWaitMs, m_now - since);
        if (m_now - since > longestWaitMs)
            reportViolation(
                "task waits beside idle processors: " + task.str() + " since " + std::to_string(since));
    }
}

} // namespace camphorwell::testing
