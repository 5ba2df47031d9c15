// Deletion of the log records of finished jobs, without input or output. A job may have records in several
// partitions, since callers repeat submissions at any instance. Tombstones that were not confirmed are
// appended again, and a job counts as deleted only when the tombstones of all its records are durable.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

class job_tombstones {
public:
    // The tombstones of one append to a partition.
    struct batch {
        int partition = 0;
        std::vector<job_id> jobs;
    };

    // A record of the job was read from the partition.
    void onRecord(int partition, const job_id&);
    // The records of the job that were read so far are to be deleted.
    void request(const forget_job_action&);
    // The tombstones to append to the partition, at most `maxRecords`; none if the batch has no jobs. The
    // outcome of each batch must be passed to `onAppended`.
    batch takeBatch(int partition, size_t maxRecords);
    void onAppended(const batch&, bool durable);
    // Returns the requests that were carried out since the last call.
    std::vector<forget_job_action> takeDeleted();
    // Number of jobs whose deletion was requested and is not confirmed.
    size_t pending() const { return m_pending; }

private:
    struct entry {
        std::set<int> partitions; // Partitions with a record and no tombstone.
        std::optional<forget_job_action> requested;
        int unconfirmed = 0; // Tombstones in the appends in flight.
    };
    void finishIfDeleted(const job_id&);
    std::map<job_id, entry> m_jobs;
    std::map<int, std::set<job_id>> m_waiting; // Jobs whose tombstone is to be appended, by partition.
    std::vector<forget_job_action> m_deleted;
    size_t m_pending = 0;
};

} // namespace camphorwell
