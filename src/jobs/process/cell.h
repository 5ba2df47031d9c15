// A cell: a set of workers with the jobs that run on them, as seen by the one instance that leads it. See
// jobs.h for its use.
//
// The implementation is split by subject:
//   cell.cpp                    job acceptance, cancellation, step dependencies, terminal states
//   cell_progress.cpp           progress records, the write barrier, restoring earlier records
//   cell_workers.cpp            leases, polls, lost and draining workers
//   cell_incarnations.cpp        workers that have started again and not answered yet
//   cell_attempts.cpp           attempts: reservations, completions, answers to starts and stops
//   cell_placing.cpp            dispatch order and choice of workers
//   cell_advice.cpp             calls to the advice service
//   cell_speed.cpp              slow and stalled workers
//   cell_wait_reasons.cpp       why a task waits, for the log
//   cell_short_task_reserve.cpp capacity that service tasks leave to short tasks
//   cell_sharing.cpp            best-effort tasks beside latency-critical tasks: pace, pause, eviction
//   cell_consolidation.cpp      latency-critical tasks moved together while best-effort tasks wait
//   cell_load_model.cpp         the load model that is handed to the next leader
//   cell_model.h                the state
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

// Faults that tests inject to show that the invariant checks of the tests detect them.
enum class cell_fault : uint8_t {
    none,
    acknowledge_early, // Completions are acknowledged before their records are durable.
    start_without_record, // Tasks are started before their record is durable.
    drop_silent_workers, // Tasks of a worker count as ended as soon as a poll of it fails.
    forget_restored, // Attempts that an earlier leader started count as ended.
    restart_unanswered_starts, // A start without an answer is treated as refused.
    ignore_order, // Steps start before the steps they depend on are done.
    ignore_attempts, // Failed tasks are retried without limit.
    early_occurrences, // Occurrences start a second before they are due.
    reserve_nothing, // Tasks reserve no resources.
    ignore_cancels, // Cancellations are ignored.
    forget_by_clock, // Finished jobs are forgotten after the retention while records of them remain.
    keep_repeated_records, // Records of a finished job that are read again are not deleted.
    forget_unconfirmed, // Records of finished jobs count as deleted before that is durable.
    forget_unread, // The retention of finished jobs ends before all of the job log up to then has been read.
    count_longest_leases, // Leases of earlier leaders count as the longest possible, from the takeover on.
    count_short_leases, // Leases of earlier leaders count as ended before they have.
    move_without_waiting, // Latency-critical tasks are moved while others of their step are away.
    end_unanswered_incarnations, // Attempts end with their lease, though a later incarnation may still start
                                 // them.
    hold_best_effort // Best-effort tasks wait until they can run at a high pace, and no task is moved for
                     // them.
};

struct cell_settings {
    // Length of the leases granted to workers. A worker kills its tasks when its lease expires.
    ms leaseMs = 5000;
    // The longest lease that a worker accepts.
    ms maxLeaseMs = 6000;
    lease_terms leaseTerms;
    // The longest time that a worker takes to stop a task.
    ms stopTimeoutMs = 200;
    // How long a worker may hold back the answer to a poll while it waits for a completion.
    ms pollWaitMs = 1000;
    // `pollWaitMs` for workers on which best-effort tasks run beside service tasks, whose paces depend on
    // recent reports.
    ms sharedPollWaitMs = 400;
    // How long a finished job is kept after its end and after the deletion of its log records.
    ms finishedRetentionMs = 120'000;
    size_t maxRecordBytes = 262'144; // The store's limit for a record, with its key.
    // Tasks that one progress record holds at most, but for gangs: a gang is recorded as a whole.
    int tasksPerRecord = 128;
    // The time after which a change of pace is in effect.
    ms paceDelayMs = 100;
    // Maximum number of workers in one request to the advice service, for a gang and for another step.
    int workersPerGangAdvice = 100;
    int workersPerAdvice = 30;
    cell_fault fault = cell_fault::none;
    // Factor by which a task takes longer far from its data.
    double remoteFactor = 1.5;
};

// The progress records of one append.
struct write_batch {
    std::vector<progress_record> records;
};

struct cell_model;

// The scheduler of one cell. Inputs change the state; the resulting actions and records are taken with
// `takeActions` and `takeWrite`.
class cell {
public:
    cell(cell_settings, std::shared_ptr<const queue_table>, decision_log);
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    // Sets the instance's clock and the time of day that belongs to it.
    void setClock(ms now, int64_t unixMs);
    // Restores a progress record of an earlier leader. Must precede `begin` and `addJob` of that job. The key
    // is the id of a job, that of a further record of a job, or `incarnationKeyPrefix` and the id of a
    // worker.
    void restoreProgress(const std::string& key, std::string_view bytes);
    static constexpr const char* incarnationKeyPrefix = "~worker/"; // Job ids are hexadecimal.
    static bool isIncarnationKey(std::string_view key);
    // Whether the key is that of a further record of a job.
    static bool isPartKey(std::string_view key);
    // Must precede `begin`. Unless it is called, leases of earlier leaders are taken to last as long as the
    // worker accepts, from the beginning on.
    void setEarlierLeases(const earlier_leases&);
    // The token of this leader, and the takeovers before its own. Must precede `begin`. Unless it is called,
    // bounds on what earlier leaders left are counted from the beginning on.
    void setTakeovers(uint64_t token, std::vector<cell_takeover> earlier);
    // Starts scheduling, once the recorded state is restored.
    void begin(ms now, int64_t unixMs);

    // Entries of the job log. Only the first record of an id counts. A job may be cancelled before it is
    // added.
    void addJob(const job_id&, const job_record&);
    void cancel(const job_id&);
    // An entry of the job log that this version cannot read. It is left to later versions unless its job is
    // over.
    void addUnreadableRecord(const job_id&);
    // The deletion that the action requested is durable.
    void onJobRecordsDeleted(const forget_job_action&, ms now);
    // Every entry that was appended to the job log before this time has been passed to this cell.
    void setJobLogReadUpTo(ms readUpTo);

    void setQueues(std::shared_ptr<const queue_table>);
    // The new settings apply to later decisions only.
    void setSettings(const cell_settings&);
    void setWorker(const worker_record&, ms now);
    void removeWorker(const worker_id&, ms now);
    std::vector<worker_id> listedWorkers() const;
    // HOST:PORT of the worker's present incarnation; empty if the worker is not known.
    std::string addressOf(const worker_id&) const;
    // When the last successful renewal of the leadership was sent; 0: never. It bounds the leases that are
    // granted, and no task is started when it is too long ago.
    void setRenewedAt(ms sentAt);

    // Answers to actions. `sentAt` is the time at which the poll was sent.
    void onStarted(const start_action&, const order_answer&, ms now);
    void onStopped(const stop_action&, const order_answer&, ms now);
    void onReport(const worker_id&, const worker_report&, ms sentAt, ms now);
    void onPollFailed(const poll_action&, order_outcome, ms now);
    // `advised` are the workers that may run the step, of those that were asked about.
    void onAdvice(const advice_action&, const std::vector<advised_worker>& advised, ms now);
    // The call was refused, or ended without an answer. The reason is for the log.
    void onAdviceFailed(const advice_action&, std::string_view reason, ms now);

    // Returns the records to append next, or nothing if there are none or an append is in flight. `onWritten`
    // confirms that the append is durable.
    std::optional<write_batch> takeWrite(ms now);
    void onWritten(ms now);
    // A record of the append in flight was left out for good, since the store does not take it. Its job
    // fails: tasks whose progress is not recorded might run twice.
    void onRecordRejected(const std::string& key, ms now);

    // The load model (interference coefficients, load period and waves) for the next leader, as one record of
    // at most `cell_settings::maxRecordBytes`: what is least used is left out. Unreadable bytes are ignored.
    std::string encodeLoadModel() const;
    void restoreLoadModel(const std::string& bytes);

    // Periodic work: polls, leases, due occurrences, pacing, placement.
    void tick(ms now, int64_t unixMs);
    // Places waiting tasks if answers have changed what can be placed.
    void placePending(ms now);
    // Returns the actions decided since the last call.
    std::vector<action> takeActions();
    // When half of the workers had reported to this leader; nothing before.
    std::optional<ms> majorityReportedAt() const;
    // Whether a worker has seen a higher token, which means that another instance leads the cell.
    bool fenced() const;

    // The state of a job as callers may see it: a job is over only once that is durable. Nothing if the job
    // is unknown.
    std::optional<job_state> stateOf(const job_id&) const;
    // Number of accepted jobs of the queue of which no task has started.
    int64_t pending(const std::string& queue) const;

    // Counts at this moment; processors in thousandths of a core.
    struct statistics {
        int64_t workers = 0, reachable = 0, jobs = 0, waitingTasks = 0, runningTasks = 0;
        uint64_t interferenceLookups = 0; // Look-ups of interference coefficients by this leader.
        int64_t cpuReserved = 0, cpuTotal = 0, cpuBestEffort = 0, cpuShortTasks = 0;
        // Service tasks that wait to run again, and the longest such wait.
        int64_t displacedTasks = 0;
        ms longestDisplacedMs = 0;
        int64_t largestFreeCpu = 0; // Of the workers that can take tasks now.
    };
    statistics collectStatistics() const;

private:
    std::unique_ptr<cell_model> m_model;
};

} // namespace camphorwell
