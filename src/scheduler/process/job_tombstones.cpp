// See job_tombstones.h.
#include "scheduler/process/job_tombstones.h"

namespace camphorwell {

std::set<int>& job_tombstones::entry::partitionsOf(job_record_kind kind)
{
    return kind == job_record_kind::submission ? submissions : cancels;
}

void job_tombstones::onRecord(int partition, const job_record_key& key)
{
    entry& job = m_jobs[key.job];
    job.partitionsOf(key.kind).insert(partition);
    if (key.kind == job_record_kind::cancel)
        return;
    // The cancels are deleted after this record.
    for (int waitingIn : job.cancels)
        m_waiting[waitingIn].erase({ key.job, job_record_kind::cancel });
}

void job_tombstones::request(const forget_job_action& action)
{
    entry& job = m_jobs[action.job];
    m_pending += !job.requested;
    job.requested = action;
    proceed(action.job);
}

job_tombstones::batch job_tombstones::takeBatch(int partition, size_t maxRecords)
{
    batch out { partition, {} };
    auto& waiting = m_waiting[partition];
    while (!waiting.empty() && out.keys.size() < maxRecords) {
        job_record_key key = *waiting.begin();
        waiting.erase(waiting.begin());
        entry& job = m_jobs[key.job];
        // A record that is read from now on may follow the tombstone in the log and needs its own.
        job.partitionsOf(key.kind).erase(partition);
        job.unconfirmed++;
        out.keys.push_back(std::move(key));
    }
    return out;
}

void job_tombstones::onAppended(const batch& appended, bool durable)
{
    for (const job_record_key& key : appended.keys) {
        entry& job = m_jobs[key.job];
        job.unconfirmed--;
        if (!durable)
            job.partitionsOf(key.kind).insert(appended.partition);
        proceed(key.job);
    }
}

void job_tombstones::proceed(const job_id& id)
{
    auto found = m_jobs.find(id);
    entry& job = found->second;
    if (!job.requested)
        return;
    for (int partition : job.submissions)
        m_waiting[partition].insert({ id, job_record_kind::submission });
    if (!job.submissions.empty() || job.unconfirmed > 0)
        return;
    for (int partition : job.cancels)
        m_waiting[partition].insert({ id, job_record_kind::cancel });
    if (!job.cancels.empty())
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
