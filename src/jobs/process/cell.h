// A cell: a set of workers with the jobs that run on them, as its one owner sees it. See jobs.h for its use.
//
// The parts of the class, a file each:
//   cell.cpp          jobs: acceptance, cancelling, steps that open, terminal states, what callers are told
//   cell_progress.cpp records of progress, the write barrier, what a new owner restores
//   cell_workers.cpp  leases, looks at workers, lost workers
//   cell_runs.cpp     runs on workers: room, ends, answers to starts and stops
//   cell_placing.cpp  order of work, choice of workers
//   cell_speed.cpp    workers that are slow or stand still
//   cell_rooms.cpp    room that lasting tasks leave for quick work
//   cell_sharing.cpp  fillers beside serving tasks: pace, stop
//   cell_learnt.cpp   what is learnt of both, for the next owner
//   cell_model.h      the state itself
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

// Deliberate faults, for the tests that show that the tests would see them.
enum class cell_fault : uint8_t {
    none,
    acknowledge_early, // Ends are acknowledged before their record is durable.
    start_without_record, // Starts do not wait for their record.
    drop_silent_workers, // Tasks of a worker that does not answer count as gone at once.
    forget_restored, // What an earlier owner started counts as gone.
    restart_unanswered_starts, // A start without an answer counts as refused.
    ignore_order, // Steps open before those they depend on are done.
    ignore_attempts, // Failed tasks are tried for ever.
    early_occurrences, // Occurrences start a second before they are due.
    reserve_nothing, // Tasks take no room.
    ignore_cancels // Cancels are not taken note of.
};

struct cell_settings {
    ms leaseMs = 5000; // A worker kills what runs there when it has not heard from the owner for so long.
    ms maxLeaseMs = 6000; // The worker's own bound.
    ms priorGrantMs = 6000; // How long an earlier owner may have granted leases after its last proof.
    ms stopTimeoutMs = 200; // A stop takes at most so long.
    ms pollWaitMs = 1000; // A look at a worker waits so long for an end.
    ms sharedPollWaitMs = 400; // The same where fillers run beside serving tasks.
    ms finishedRetentionMs = 120'000; // A finished job is known for so long.
    ms paceDelayMs = 100; // A change of pace is in effect after so long.
    int workersPerAdvice = 30; // Workers named in one call for advice.
    cell_fault fault = cell_fault::none;
    double remoteFactor = 1.5; // Work far from its data takes so many times as long.
};

struct write_batch {
    std::vector<progress_record> records;
};

struct cell_model;

class cell {
public:
    cell(cell_settings, std::shared_ptr<const queue_table>, decision_log);
    ~cell();
    cell(const cell&) = delete;
    cell& operator=(const cell&) = delete;

    // What an earlier owner recorded; before `begin` and before the jobs themselves are added.
    void setClock(ms now, int64_t unixMs);
    void restoreProgress(const job_id&, std::string_view bytes);
    void begin(ms now, int64_t unixMs);

    // The log. The first record of an id wins; a cancel counts also before it.
    void addJob(const job_id&, const job_record&);
    void cancel(const job_id&);

    void setQueues(std::shared_ptr<const queue_table>);
    // Holds for what is decided from now on.
    void setSettings(const cell_settings&);
    void setWorker(const worker_record&, ms now);
    void removeWorker(const worker_id&, ms now);
    void setMayGrantLeases(bool);

    // Answers to actions. `sentAt` is when the action was carried out.
    void onStarted(const start_action&, order_outcome, ms now);
    void onStopped(const stop_action&, order_outcome, ms now);
    void onReport(const worker_id&, const worker_report&, ms sentAt, ms now);
    void onPollFailed(const look_action&, order_outcome, ms now);
    void onAdvice(const task_ref& step, const std::vector<worker_id>& requested,
        const std::vector<advised_worker>& advised, ms now);
    void onAdviceFailed(const task_ref& step, ms now);

    // The records to append next, if there are any and none are under way.
    std::optional<write_batch> takeWrite(ms now);
    void onWritten(ms now);

    // What was learnt of images, for the next owner.
    std::string encodeLoadModel() const;
    void restoreLoadModel(const std::string& bytes);

    // The periodic part: looks, leases, due occurrences, pace, placing.
    void tick(ms now, int64_t unixMs);
    // After answers: places what has become possible.
    void placePending(ms now);
    std::vector<action> takeActions();
    // A worker has seen a higher token: somebody else owns the cell.
    bool fenced() const;

    // Nothing when the job is not known.
    std::optional<job_state> stateOf(const job_id&) const;
    // Accepted jobs of the queue of which no task has started.
    int64_t pending(const std::string& queue) const;

    struct statistics {
        int64_t workers = 0, reachable = 0, jobs = 0, waitingTasks = 0, runningTasks = 0;
        uint64_t interferenceLookups = 0; // Of what fillers do to serving tasks, since the cell was taken.
        int64_t cpuReserved = 0, cpuTotal = 0, cpuBestEffort = 0;
    };
    statistics collectStatistics() const;

private:
    std::unique_ptr<cell_model> m_model;
};

} // namespace camphorwell
