// The state of a cell_host, shared by its files and by nothing else.
#pragma once

#include "scheduler/scheduler.h"

namespace camphorwell {

// A partition of the cell's accepted jobs, as read so far.
struct job_tail {
    int partition = 0;
    uint64_t next = 0;
    ms freshAt = 0; // Everything appended before this has been read.
    std::map<job_id, bool> held; // Jobs whose records lie there and are not dropped yet.
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
    std::unique_ptr<cell> owned;
    bool begun = false;
    uint64_t generation = 0; // Of the ownership; answers to an earlier one are dropped.
    uint64_t token = 0;
    uint64_t sequence = 0; // Of the progress producer.
    bool pumping = false;
    std::vector<job_tail> tails;
    std::vector<std::pair<int, job_id>> drops; // Records of accepted jobs that are of no more use.
    uint64_t workersNext = 0;
    std::map<worker_id, std::string> addresses;
    int recoveryLeft = 0;
    std::vector<std::pair<uint64_t, platform::keyed_item>> recoveredJobs;
    ms takenAt = 0;
    ms learntAt = 0;
    ms toldAt = 0; // When the figures of the cell were last written.
    static constexpr const char* learntKey = "~learnt"; // In the progress topic; no job has such an id.

    // cell_host.cpp: ownership
    void start();
    void readClaims();
    void followClaims();
    void observe(const std::vector<platform::keyed_item>&, uint64_t end);
    void tick();
    void tellFigures();
    void appendClaim(leader_election::step);
    void drop(std::string_view why);

    // cell_host_recovery.cpp: taking a cell over
    void takeOver();
    void fence(uint64_t current);
    void recoverProgress(uint64_t current);
    void recoverJobs(uint64_t current, int partition);
    void recoverWorkers(uint64_t current);
    void recoveryStep(uint64_t current);

    // cell_host_work.cpp: running it
    void pump();
    void performActions();
    void schedulePump();
    void perform(const action&);
    void appendProgress(std::shared_ptr<platform::append_request>, uint64_t current);
    void followJobs(uint64_t current, int partition);
    void followWorkers(uint64_t current);
    void takeJobRecord(int partition, const platform::keyed_item&);
    void takeWorkerRecord(const platform::keyed_item&);
    void flushDrops(uint64_t current);

    // Again after a pause, if the same ownership still holds.
    void again(uint64_t current, ms pause, std::function<void()>);
    bool holds(uint64_t current) const { return owned && generation == current; }
};

} // namespace camphorwell
