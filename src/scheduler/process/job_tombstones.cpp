// See job_tombstones.h.
#include "scheduler/process/job_tombstones.h"

namespace camphorwell {

void job_tombstones::onRecord(int partition, const job_id& id) { m_jobs[id].partitions.insert(partition); }

void job_tombstones::request(const forget_job_action& action)
{
    entry& job = m_jobs[action.job];
    m_pending += !job.requested;
    job.requested = action;
    for (int partition : job.partitions)
        m_waiting[partition].insert(action.job);
    finishIfDeleted(action.job);
}

job_tombstones::batch job_tombstones::takeBatch(int partition, size_t maxRecords)
{
    batch out { partition, {} };
    auto& waiting = m_waiting[partition];
    while (!waiting.empty() && out.jobs.size() < maxRecords) {
        job_id id = *waiting.begin();
        waiting.erase(waiting.begin());
        entry& job = m_jobs[id];
        // A record that is read from now on may follow the tombstone in the log and needs its own.
        job.partitions.erase(partition);
        job.unconfirmed++;
        out.jobs.push_back(std::move(id));
    }
    return out;
}

void job_tombstones::onAppended(const batch& appended, bool durable)
{
    for (const job_id& id : appended.jobs) {
        entry& job = m_jobs[id];
        job.unconfirmed--;
        if (!durable) {
            job.partitions.insert(appended.partition);
            m_waiting[appended.partition].insert(id);
        }
        finishIfDeleted(id);
    }
}

void job_tombstones::finishIfDeleted(const job_id& id)
{
    auto found = m_jobs.find(id);
    entry& job = found->second;
    if (!job.requested || !job.partitions.empty() || job.unconfirmed > 0)
        return;
    m_deleted.push_back(*job.requested);
    m_pending--;
    m_jobs.erase(found);
}

std::vector<forget_job_action> job_tombstones::takeDeleted()
{
    std::vector<forget_job_action> out;
    out.swap(m_deleted);
    return out;
}

} // namespace camphorwell
