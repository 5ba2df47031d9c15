// Deletion of the log records of finished jobs, without input or output. A job may have records in several
// partitions, since callers repeat submissions and cancels at any instance. Tombstones that were not
// confirmed are appended again, and a job counts as deleted only when the tombstones of all its records are
// durable. Its cancels are deleted after its submissions, so that no submission remains in the log without
// its cancel.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

// What a record of the job log asks for.
enum class job_record_kind : uint8_t { submission, cancel };

// Identifies the records of one kind of a job. Each partition retains the newest of them.
struct job_record_key {
    job_id job;
    job_record_kind kind = job_record_kind::submission;
    auto operator<=>(const job_record_key&) const = default;
};

class job_tombstones {
public:
    // The tombstones of one append to a partition.
    struct batch {
        int partition = 0;
        std::vector<job_record_key> keys;
    };

    // A record was read from the partition.
    void onRecord(int partition, const job_record_key&);
    // The records of the job that were read so far are to be deleted.
    void request(const forget_job_action&);
    // The tombstones to append to the partition, at most `maxRecords`; none if the batch has no keys. The
    // outcome of each batch must be passed to `onAppended`.
    batch takeBatch(int partition, size_t maxRecords);
    void onAppended(const batch&, bool durable);
    // Returns the requests that were carried out since the last call.
    std::vector<forget_job_action> takeDeleted();
    // Number of jobs whose deletion was requested and is not confirmed.
    size_t pending() const { return m_pending; }

private:
    struct entry {
        std::set<int> submissions; // Partitions with a submission and no tombstone.
        std::set<int> cancels; // Partitions with a cancel and no tombstone.
        std::optional<forget_job_action> requested;
        int unconfirmed = 0; // Tombstones in the appends in flight.

        std::set<int>& partitionsOf(job_record_kind);
    };
    // Queues the tombstones that may be appended next, or finishes the deletion if none is left.
    void proceed(const job_id&);
    std::map<job_id, entry> m_jobs;
    std::map<int, std::set<job_record_key>> m_waiting; // Tombstones to append, by partition.
    std::vector<forget_job_action> m_deleted;
    size_t m_pending = 0;
};

} // namespace camphorwell
