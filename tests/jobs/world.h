// Randomised simulation of one cell in virtual time. Instances elect a leader by claims in the store, crash,
// restart, release the cell or lose the store and go on. Workers crash, drain, lose the network or answer
// late, orders are lost or delivered seconds late, answers are lost, and appends of a replaced leader are
// refused. In most worlds the faults come all the time; in the others they come together, often as the
// loss of the leader with several workers, and calm follows. Callers repeat submissions and cancels at other
// instances, tombstones of finished jobs are refused, lost or appended late, leaders read the job log in
// pieces, late, or from its newest records, and finished jobs are forgotten. Invariants are checked only
// against what the workers ran and the job states that callers can see.
//
// world.cpp                time, faults, leaders, orders to workers, checks
// world_election.cpp       instances and their claims
// world_job_log.cpp        callers, the job log, its readers and its tombstones
// world_lasting_tasks.cpp  the check that lasting tasks run again in time
// world_advice.cpp         the advice service, tickets, the check that it is asked
// world_sharing.cpp        best-effort beside latency-critical tasks, checks of moves and of waits
#pragma once

#include "scheduler/process/job_tombstones.h"
#include "standins/fleet_models.h"
#include "tests/jobs/keyed_log.h"

#include <deque>
#include <random>

namespace camphorwell::testing {

using fleet::model_worker;
using fleet::observed_attempt;

struct world_settings {
    uint64_t seed = 1;
    int workers = 8;
    int jobs = 25;
    ms faultPhase = 25'000; // Faults are injected and jobs submitted during this phase.
    // With `hasAdvice`: its service handles one call at a time.
    static constexpr ms adviceSettlePhase = 500'000;
    ms settlePhase = 45'000; // Time after the fault phase in which all jobs must finish.
    bool workersCheckCapacity = true; // Workers refuse starts that exceed their capacity.
    bool hasLatencyCritical = false; // Best-effort tasks interfere with latency-critical ones.
    // Late orders reach later incarnations of their workers and workers that are cut off, and entries of
    // these lapse.
    bool lateOrdersReachLaterIncarnations = false;
    // Entries appear some time after their workers have started again, and lapse some time after their
    // workers fall silent. Orders to a worker that is down reach its later incarnation if that is up in time.
    // Polls wait, and are lost with the incarnation that holds them.
    bool entriesLag = false;
    bool hasAdvice = false; // Steps of some queues need advice (world_advice.cpp).
    cell_fault fault = cell_fault::none;
};

// What happened in a world.
struct world_counts {
    int takeovers = 0; // Leaders started, including the first.
    int forgottenJobs = 0; // Deleted progress records of finished jobs.
    int repeatedSubmissions = 0; // Records appended for jobs that had one.
    int lostPositions = 0; // Reads at positions whose records had expired.
    int unconfirmedTombstones = 0; // Appends of tombstones that were refused or not answered.
    int checkedLosses = 0; // Runs of lasting tasks that were lost and had to be replaced by a checked time.
    int moves = 0; // Latency-critical tasks that consolidation has stopped.
    int movesOfLimited = 0; // Those whose step has a limit of tasks that may be away.
    int disturbedMoves = 0;
    int worldsWithMoves = 0;
    ms longestWaitMs = 0; // Longest wait of a task that the check of waits has seen.
    int adviceCalls = 0;
    int abandonedAdviceCalls = 0;
    ms longestAdviceWaitMs = 0; // The same of tasks that need advice.
    world_counts& operator+=(const world_counts&);
};

class world {
public:
    explicit world(world_settings);
    ~world();
    // Runs the simulation to its end and returns the violated invariants, one line each.
    std::vector<std::string> run();
    // Log lines of all leaders, each with the time and the leader's token.
    std::vector<std::string> log() const { return m_log; }
    const world_counts& counts() const { return m_counts; }

private:
    static constexpr int64_t unixOriginMs = 1'700'000'000'000; // Unix time at the virtual time 0.
    static constexpr const char* quickQueue = "quick";
    static constexpr const char* batchQueue = "batch";

    struct instance;
    using instance_ptr = std::shared_ptr<instance>;
    struct leader_instance;
    using leader_ptr = std::shared_ptr<leader_instance>;
    struct newest_read {
        std::vector<keyed_log::item> items;
        std::optional<uint64_t> end; // End of the partition at the first page.
        ms sentAt = 0;
    };
    using on_newest = std::function<void(const newest_read&)>;
    // The last call that a worker answered in time.
    struct answered_call {
        int64_t startedUnixMs = 0; // Of the incarnation that answered.
        ms at = 0;
    };
    using order_reply = std::function<void(const order_answer&)>;
    // An order on its way to a worker.
    struct sent_order {
        leader_ptr leader;
        model_worker& worker;
        std::function<order_outcome(model_worker&)> carryOut;
        order_reply reply;
        ms sentAt = 0;
        int64_t startedUnixMs = 0; // Of the incarnation that was there when it was sent.
        bool delayed = false; // It is carried out seconds later and not answered.
        bool answerLost = false;
        ms waitMs = 0; // The worker holds the answer back for at most so long.
    };
    struct event {
        ms dueAt = 0;
        uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator>(const event& other) const
        {
            return std::tie(dueAt, sequence) > std::tie(other.dueAt, other.sequence);
        }
    };
    struct submitted_job {
        job_record record;
        std::optional<ms> acceptedAt; // When its first record was appended.
        std::optional<ms> cancelledAt; // When its first cancel was appended.
        std::optional<job_state> end; // The first terminal state that a leader showed.
        ms endSeenAt = 0;
    };

    void runAfter(ms delay, std::function<void()>);
    ms randomInt(ms low, ms high);
    bool chance(double probability);
    // Whether no order, append or read is lost or late now.
    bool undisturbed() const;
    // A fault began or ended now, or lasts until the given time.
    void noteFault() { noteFault(m_now); }
    void noteFault(ms until) { m_lastFaultAt = std::max(m_lastFaultAt, until); }
    bool reachesStore(const instance&) const;
    bool readsJobLog(const leader_instance&) const;
    // Whether the leader is the newest and has renewed its claim at this moment.
    bool leadsNow(const leader_instance&) const;
    job_record randomJob();
    // The newest leader that still acts; null between two leaders.
    leader_ptr currentLeader() const;
    void replaceLeader(ms pause);
    void setWorkers(leader_instance&);
    bool showsEntry(const model_worker&) const;
    void tickLeader(const leader_ptr&);
    void processActions(const leader_ptr&);
    void append(const leader_ptr&);
    void perform(const leader_ptr&, const action&);
    // Runs an order on the worker and delivers its answer to the leader. During the fault phase orders may be
    // delayed and answers lost; `onAnswer` then gets no_answer after a timeout.
    void call(const leader_ptr&, const worker_id&, std::function<order_outcome(model_worker&)> order,
        order_reply onAnswer, ms waitMs = 0);
    void deliver(const std::shared_ptr<sent_order>&);
    // Whether the order is carried out by the incarnation that is there now.
    bool reaches(const sent_order&) const;
    model_worker& randomWorker();
    void powerOff(model_worker&);
    void startAgain(model_worker&);
    void restartAndCutWorkers();
    void crashWorker(model_worker&, ms pause);
    void cutWorker(model_worker&, ms duration);
    void injectFault();
    // The leader and some workers are lost at the same moment.
    void injectCombination();
    // Runs faults that come together, `duration` long, and further ones while the fault phase lasts.
    void injectBurst(ms duration);

    // world_election.cpp
    void startInstance(size_t number);
    // Ends the instance and starts its next incarnation after a pause.
    void crashInstance(const instance_ptr&, ms pause);
    // The instance goes on without the store.
    void cutInstance(const instance_ptr&, ms duration);
    void releaseLeadership(const instance_ptr&, ms pause);
    void tickInstance(const instance_ptr&);
    void readClaims(const instance_ptr&);
    void followClaims(const instance_ptr&);
    void requestClaims(const instance_ptr&, ms sentAt);
    // Duration of a read of the claims.
    ms claimReadMs();
    void appendClaim(const instance_ptr&, leader_election::step);
    void onClaimAnswered(const instance_ptr&);
    void stepDown(instance&);
    void takeOver(const instance_ptr&);

    // world_job_log.cpp
    void submit();
    // Sends the record to any instance, and again until it is confirmed, at times also after that.
    void sendSubmission(const job_id&);
    void sendCancel(const job_id&);
    // Calls the function when the append lands in the log. Returns whether the caller hears of it.
    bool sendToLog(std::function<void(size_t partition)> land);
    void landSubmission(const job_id&, size_t partition);
    void landCancel(const job_id&, size_t partition);
    // Reads the newest records page by page, while the log goes on.
    void readNewest(const leader_ptr&, size_t partition, on_newest done);
    void readNextPage(
        const leader_ptr&, size_t partition, const std::shared_ptr<newest_read>&, on_newest done);
    void recoverJobs(const leader_ptr&, size_t partition);
    void onRecoveryStepDone(const leader_ptr&);
    void followJobs(const leader_ptr&, size_t partition);
    void requestItems(const leader_ptr&, size_t partition, ms sentAt);
    void receiveItems(const leader_ptr&, size_t partition, ms sentAt, const keyed_log::read_result&);
    void readAgain(const leader_ptr&, size_t partition);
    void applyJobRecord(leader_instance&, size_t partition, const keyed_log::item&);
    void appendTombstones(const leader_ptr&, int partition);
    void landTombstones(const job_tombstones::batch&);
    void onTombstonesAppended(const leader_ptr&, const job_tombstones::batch&, bool durable);
    static ms jobLogReadUpTo(const leader_instance&);
    // Duration of a read's answer. During the fault phase some answers take seconds.
    ms readAnswerMs(leader_instance&);

    // Compares the job states that the leader shows with what ran and with the states shown before.
    void checkStates(const leader_instance&);
    void checkFirstEnd(const job_id&, const submitted_job&);
    // The job's state may be unknown: it was shown as over at least the retention ago.
    bool mayBeForgotten(const submitted_job&) const;
    bool hasDone(const job_id&, int step, int index) const;
    int failuresOf(const job_id&) const;
    bool runs(const job_id&) const;
    // Checks the invariants of a start that a worker has carried out. `earlierAttempts` is the length of
    // m_history before it.
    void checkStart(const start_action&, const leader_instance&, size_t earlierAttempts);
    // Checks an order that has started an attempt against the job's cancel and end. `sentAt` is the time of
    // the order, `readUpTo` and `readsSlowUntil` are the leader's at that time.
    void checkStartOfEndedJob(
        const start_action&, const leader_instance&, ms sentAt, ms readUpTo, ms readsSlowUntil);
    // world_lasting_tasks.cpp
    void checkLastingTasks();
    bool hasRoom(const model_worker&) const;
    // The worker has no room for a lasting task now, or may have none.
    void noteUse(const model_worker&);
    bool hadRoom(const task_ref&, ms since) const;
    // world_sharing.cpp
    void makeLatencyCritical(job_record&);
    // Submits latency-critical jobs, which spread over all workers, and later best-effort ones.
    void submitSharingJobs();
    void submitBacklog();
    // Checks a line of a leader's log that tells of a move.
    void noteMove(const std::string& line);
    // A fault while a task of the job is moved, or a cancel.
    void disturbMove(const job_id&);
    const observed_attempt* lastAttempt(const task_ref&) const;
    bool isAtWork(const task_ref&) const;
    // Since when the task is not at work.
    ms awaySince(const task_ref&) const;
    void checkWaits();
    // Tasks whose turn has come and that do not run.
    std::vector<task_ref> tasksDue() const;
    std::map<task_ref, ms> dueSince(
        const std::vector<task_ref>& due, const std::map<task_ref, ms>& last) const;
    void addTasksDue(const job_id&, int step, std::vector<task_ref>& out) const;
    bool fitsTwice(const task_ref&) const;
    bool isLightlyReserved() const;
    void checkFinalState();
    void checkNothingRanAfterItsEnd();
    // world_advice.cpp
    struct advice_service {
        struct call {
            leader_ptr leader;
            advice_action request;
            bool abandoned = false;
            call(leader_ptr by, advice_action asked)
                : leader(std::move(by))
                , request(std::move(asked))
            {
            }
        };
        // Calls of one machine, the first of which is under way if it is busy.
        struct line {
            std::deque<std::shared_ptr<call>> waiting;
            bool busy = false;
            ms idleSince = 0;
        };
        struct ticket {
            task_ref step;
            worker_id worker;
            int64_t startedUnixMs = 0; // Of the worker's incarnation.
            ms validUntil = 0;
        };
        queue_table terms; // As the service works.
        std::map<size_t, line> lines;
        std::map<std::string, ticket> tickets; // All that were issued.
        ms failsUntil = 0; // Calls are refused.
        ms silentUntil = 0; // No call is begun.
        ms slowUntil = 0;
        ms slowness = 1; // Factor until `slowUntil`.
    };
    void startAdvice();
    void submitHopelessJobs();
    void drawAdviceTerms(queue_policy&);
    void disturbAdvice();
    void changeAdviceTerms();
    bool needsAdvice(const task_ref&) const;
    bool mayRunOn(const task_ref&, const worker_id&) const;
    bool mayStart(const start_action&, const model_worker&) const;
    void askAdvice(const leader_ptr&, const advice_action&);
    void abandonAdvice(const leader_ptr&, const abandon_advice_action&);
    void beginAdvice(size_t machine);
    void finishAdvice(size_t machine, const std::shared_ptr<advice_service::call>&);
    void checkAdvice();
    void reportViolation(std::string);
    const step_spec* stepOf(const task_ref&) const;

    world_settings m_settings;
    std::mt19937_64 m_random;
    std::vector<event> m_events; // A heap with the next event first.
    uint64_t m_nextSequence = 0;
    ms m_now = 100'000;
    ms m_start = 100'000;
    std::map<worker_id, std::unique_ptr<model_worker>> m_workers;
    std::map<worker_id, answered_call> m_lastAnswered;
    ms m_ordersLateUntil = 0; // Until then half of the orders are carried out late.
    std::map<worker_id, ms> m_cutAt; // When a worker was cut off last.
    // With `entriesLag`: when the worker fell silent last, and the first entry of its present incarnation.
    std::map<worker_id, ms> m_silentSince;
    std::map<worker_id, ms> m_firstEntryAt;
    std::vector<observed_attempt> m_history;
    std::map<job_id, submitted_job> m_jobs;
    keyed_log m_jobLog;
    bool m_expireNextRecord = false;
    ms m_retentionMs = 0;
    ms m_tombstonePeriodMs = 0;
    size_t m_itemsPerRead = 0;
    double m_slowReads = 0; // Share of the reads whose answer takes seconds.
    ms m_readsDownUntil = 0;
    ms m_tombstonesRefusedUntil = 0;
    size_t m_tombstonesPerAppend = 0;
    std::map<job_id, std::string> m_progress;
    uint64_t m_latestToken = 0; // Appends of progress under a lower one are refused.
    keyed_log m_claims { 1 };
    std::vector<instance_ptr> m_instances;
    bool m_comesInBursts = false; // The faults come together, with calm between.
    ms m_burstEndsAt = 0;
    ms m_lastFaultAt = 0; // Latest beginning or end of a fault.
    std::set<std::string> m_labelsGone; // First labels of the workers that are lost for good.
    ms m_maxLeaseMs = 0;
    std::vector<size_t> m_lastingRuns; // Positions of the runs of lasting tasks in `m_history`.
    std::set<task_ref> m_moved; // Tasks that were moved and were not seen at work since.
    std::map<task_ref, ms> m_dueSince; // Since when a task could run and does not.
    std::map<worker_id, ms> m_roomSince; // Since when the worker has had room for lasting tasks.
    ms m_storeDownUntil = 0;
    std::vector<leader_ptr> m_leaders;
    std::shared_ptr<queue_table> m_queues;
    advice_service m_advice;
    std::set<job_id> m_hopeless; // Jobs that can never be placed.
    std::map<task_ref, ms> m_adviceDueSince; // As m_dueSince, for tasks that need advice.
    std::vector<std::string> m_violations;
    std::set<std::string> m_reported; // The texts in `m_violations`.
    std::vector<std::string> m_log;
    world_counts m_counts;
};

// One incarnation of an instance of the scheduler.
struct world::instance {
    size_t number = 0;
    std::unique_ptr<leader_election> election;
    bool up = true;
    ms cutUntil = 0; // It does not reach the store before.
    leader_ptr leader; // While it leads.
};

struct world::leader_instance {
    // Read position in one partition of the job log.
    struct log_cursor {
        uint64_t nextOffset = 0;
        ms readUpTo = 0; // Every record appended before this time has been read.
    };

    uint64_t token = 0;
    instance_ptr owner;
    bool alive = true;
    std::vector<log_cursor> cursors;
    job_tombstones tombstones;
    int recoveryStepsLeft = 0;
    std::vector<std::pair<size_t, keyed_log::item>> recoveredJobs; // Each with its partition.
    ms readsSlowUntil = 0; // End of the last answer to a read that took seconds.
    std::unique_ptr<cell> scheduler;
    std::optional<write_batch> pendingWrite;
};

} // namespace camphorwell::testing
