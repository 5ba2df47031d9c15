// The state of a cell_host, used only by its source files.
#pragma once

#include "scheduler/process/job_tombstones.h"
#include "scheduler/scheduler.h"
#include "schema/field_reader.h"

#include <limits>

namespace camphorwell {

constexpr int maxRecordDepth = 16; // Of records in the store; more than any format of ours nests.

// Read position in one partition of the cell's jobs topic.
struct job_cursor {
    int partition = 0;
    uint64_t nextOffset = 0;
    ms readUpTo = 0; // Every record appended before this time has been read.
};

// The progress records of one write of the cell. They are appended in order, in as many calls as they need.
struct progress_write {
    std::vector<std::string> records;
    size_t settled = 0; // Number of records that are durable, or left out.
    size_t maxRecordsPerCall = std::numeric_limits<size_t>::max();
    int rejections = 0; // Number of times that the store has rejected the next record by itself.
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

    // The members from here on are used only while this instance leads the cell.
    std::unique_ptr<cell> ledCell; // Null when this instance does not lead the cell.
    bool recovered = false;
    // Changes whenever leadership is gained or lost; answers to calls of an earlier term are ignored.
    uint64_t leaderTerm = 0;
    uint64_t token = 0; // Fencing token of the leadership.
    uint64_t progressSequence = 0; // Last sequence number used by the progress producer.
    bool flushScheduled = false;
    std::vector<job_cursor> cursors;
    job_tombstones tombstones;
    uint64_t nextWorkerOffset = 0;
    std::map<std::string, std::string> unreadableWorkers; // Last logged error of each id.
    int recoveryStepsLeft = 0;
    std::vector<std::pair<uint64_t, platform::keyed_item>> recoveredJobs;
    ms recoveryStartedAt = 0;
    ms loadModelWrittenAt = 0;
    bool loadModelRejected = false; // The store does not take it, so this leader does not write it again.
    ms statisticsLoggedAt = 0;
    // Key of the load model in the progress topic. Job ids are hexadecimal, so none is equal to it.
    static constexpr const char* loadModelKey = "~learnt";

    // cell_host.cpp: leader election
    void start();
    void readClaims();
    void followClaims();
    void onClaims(const std::vector<platform::keyed_item>&, uint64_t end);
    void tick();
    void logStatistics();
    void appendClaim(leader_election::step);
    void stepDown(std::string_view why);

    // cell_host_recovery.cpp: recovery of the cell's state by a new leader
    void takeOver();
    void fence(uint64_t term);
    void recoverProgress(uint64_t term);
    void recoverJobs(uint64_t term, int partition);
    void recoverWorkers(uint64_t term);
    void onRecoveryStepDone(uint64_t term);

    // cell_host_work.cpp: running the cell
    void flushCell();
    void performActions();
    void scheduleFlush();
    void perform(const action&);
    void appendProgress(const std::shared_ptr<progress_write>&, uint64_t term);
    void sendProgress(const std::shared_ptr<progress_write>&,
        const std::shared_ptr<platform::append_request>&, uint64_t term);
    void onProgressRejected(
        const std::shared_ptr<progress_write>&, const platform::append_request&, uint64_t term);
    void settleProgress(const std::shared_ptr<progress_write>&, size_t records, uint64_t term);
    void setRecordAside(const std::string& record);
    void followJobs(uint64_t term, int partition);
    void followWorkers(uint64_t term);
    void applyJobRecord(int partition, const platform::keyed_item&);
    void applyWorkerRecord(const platform::keyed_item&);
    void onUnreadableWorker(const std::string& id, const std::string& error);
    void appendTombstones(uint64_t term, int partition);
    void onTombstonesAppended(const job_tombstones::batch&, const platform::append_answer&);
    ms jobLogReadUpTo() const;

    // Calls the function after a pause, unless the term has ended by then.
    void scheduleInTerm(uint64_t term, ms pause, std::function<void()>);
    // The led cell, which may grant leases only if the leadership is still recent. The process may have been
    // paused since the last tick.
    cell& currentCell();
    bool leadsInTerm(uint64_t term) const { return ledCell && leaderTerm == term; }
};

} // namespace camphorwell
