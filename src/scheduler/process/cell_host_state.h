// The state of a cell_host, shared by its files and by nothing else.
#pragma once

#include "scheduler/scheduler.h"

namespace camphorwell {

// A partition of the cell's accepted jobs, as read so far.
struct job_cursor {
    int partition = 0;
    uint64_t nextOffset = 0;
    ms readUpTo = 0; // Everything appended before this has been read.
    std::map<job_id, bool> retained; // Jobs whose records lie there and are not dropped yet.
};

struct cell_host::state {
    state(scheduler_context&, int cellNumber);

    scheduler_context& context;
    int number;
    std::string jobsTopic;
    std::string progressTopic;
    std::string claimsTopic;
    std::shared_ptr<const queue_table> queues = std::make_shared<queue_table>();
    platform::worker_calls workers;
    platform::advice_calls advice;
    class leader_election election;

    // While this instance owns the cell.
    std::unique_ptr<cell> ledCell;
    bool recovered = false;
    uint64_t leaderTerm = 0; // Of the ownership; answers to an earlier one are dropped.
    uint64_t token = 0;
    uint64_t progressSequence = 0; // Of the progress producer.
    bool flushScheduled = false;
    std::vector<job_cursor> cursors;
    std::vector<std::pair<int, job_id>> tombstones; // Records of accepted jobs that are of no more use.
    uint64_t nextWorkerOffset = 0;
    std::map<worker_id, std::string> workerAddresses;
    int recoveryStepsLeft = 0;
    std::vector<std::pair<uint64_t, platform::keyed_item>> recoveredJobs;
    ms takeOverAt = 0;
    ms learntWrittenAt = 0;
    ms statisticsLoggedAt = 0; // When the figures of the cell were last written.
    static constexpr const char* learntKey = "~learnt"; // In the progress topic; no job has such an id.

    // cell_host.cpp: ownership
    void start();
    void readClaims();
    void followClaims();
    void onClaims(const std::vector<platform::keyed_item>&, uint64_t end);
    void tick();
    void logStatistics();
    void appendClaim(leader_election::step);
    void stepDown(std::string_view why);

    // cell_host_recovery.cpp: taking a cell over
    void takeOver();
    void fence(uint64_t term);
    void recoverProgress(uint64_t term);
    void recoverJobs(uint64_t term, int partition);
    void recoverWorkers(uint64_t term);
    void onRecoveryStepDone(uint64_t term);

    // cell_host_work.cpp: running it
    void flushCell();
    void performActions();
    void scheduleFlush();
    void perform(const action&);
    void appendProgress(std::shared_ptr<platform::append_request>, uint64_t term);
    void followJobs(uint64_t term, int partition);
    void followWorkers(uint64_t term);
    void applyJobRecord(int partition, const platform::keyed_item&);
    void applyWorkerRecord(const platform::keyed_item&);
    void appendTombstones(uint64_t term);

    // Again after a pause, if the same ownership still holds.
    void scheduleInTerm(uint64_t term, ms pause, std::function<void()>);
    bool leadsInTerm(uint64_t term) const { return ledCell && leaderTerm == term; }
};

} // namespace camphorwell
