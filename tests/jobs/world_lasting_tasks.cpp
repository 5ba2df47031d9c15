// The check that lasting tasks run again: at any time with capacity for it, a task that has run before is
// away for at most 9 s if the last 7 s were without a fault.
#include "tests/jobs/world.h"

#include <algorithm>

namespace camphorwell::testing {

namespace {
    constexpr ms checkIntervalMs = 50;
    constexpr ms longestAbsenceMs = 9000;
    constexpr ms calmMs = 7000;
    constexpr ms roomMs = 3000; // How long capacity must have been free.
    // Capacity counts as free when the largest lasting task of a world fits twice.
    constexpr resources roomNeeded { 1000, 4096, 0, 0 };
} // namespace

bool world::hasRoom(const model_worker& worker) const
{
    return worker.up && worker.reachable && !worker.record.draining
        && roomNeeded.fits(worker.record.capacity - worker.used());
}

void world::noteUse(const model_worker& worker)
{
    if (!hasRoom(worker))
        m_roomSince.erase(worker.record.id);
}

// Whether a worker had room for the task all the time.
bool world::hadRoom(const task_ref& task, ms since) const
{
    const step_spec& step = *stepOf(task);
    return std::any_of(m_roomSince.begin(), m_roomSince.end(), [&](const auto& entry) {
        const worker_id& id = entry.first;
        const auto& labels = m_workers.at(id)->record.labels;
        bool labelled = step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        // An attempt that ended since may have counted towards the limit of the step.
        auto ofStep = std::count_if(m_history.begin(), m_history.end(), [&](const observed_attempt& other) {
            return other.worker == id && other.task.job == task.job
                && (!other.endedAt || *other.endedAt > since);
        });
        return entry.second <= since && labelled && (step.maxPerWorker == 0 || ofStep < step.maxPerWorker);
    });
}

void world::checkLastingTasks()
{
    runAfter(checkIntervalMs, [this] { checkLastingTasks(); });
    for (const auto& [id, worker] : m_workers) {
        noteUse(*worker);
        if (hasRoom(*worker))
            m_roomSince.emplace(id, m_now);
    }
    if (m_now - m_lastFaultAt < calmMs)
        return;
    std::map<task_ref, const observed_attempt*> last;
    for (size_t index : m_lastingRuns) {
        const observed_attempt& attempt = m_history[index];
        ms endedAgo = attempt.endedAt ? m_now - *attempt.endedAt : 0;
        bool becameDue = endedAgo > longestAbsenceMs && endedAgo <= longestAbsenceMs + checkIntervalMs;
        m_counts.checkedLosses += becameDue && attempt.completion == completion_kind::lapsed
            && hadRoom(attempt.task, m_now - roomMs);
        auto& slot = last[attempt.task];
        bool later = !slot || !attempt.endedAt || (slot->endedAt && *attempt.endedAt > *slot->endedAt);
        slot = later ? &attempt : slot;
    }
    for (const auto& [task, attempt] : last) {
        const submitted_job& job = m_jobs.at(task.job);
        if (!attempt->endedAt || job.cancelledAt || job.end || needsAdvice(task)
            || !hadRoom(task, m_now - roomMs))
            continue;
        if (m_now - *attempt->endedAt > longestAbsenceMs)
            reportViolation("lasting task stays away: " + task.str() + " after attempt "
                + std::to_string(attempt->attempt) + " on " + attempt->worker + " ended at "
                + std::to_string(*attempt->endedAt));
    }
}

} // namespace camphorwell::testing
