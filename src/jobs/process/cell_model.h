// The state of a cell. Internal to the implementation of the class `cell`.
#pragma once

#include "jobs/jobs.h"
#include "jobs/process/best_effort_history.h"
#include "jobs/process/load_forecast.h"
#include "jobs/process/short_task_reserve.h"
#include "jobs/process/worker_table.h"

#include <algorithm>
#include <array>
#include <deque>
#include <nlohmann/json_fwd.hpp>
#include <set>

namespace camphorwell {

// planned:  the record of the attempt is not durable yet, and nothing was sent to the worker.
// starting: the start was sent and is not answered yet.
// restored: recorded by an earlier leader; the worker has not listed it since.
// running:  the worker answered the start or listed the attempt.
// stopping: must end, and nothing else may run for its task until it has.
enum class attempt_phase : uint8_t { planned, starting, restored, running, stopping };

constexpr double clockErrorFactor = 1.03; // A worker's clock may be 2% slow.

struct worker_state;
struct step_run;
struct job_run;

// One attempt of a task on one worker. The forecast error and the excess are kept for latency-critical tasks
// only.
struct task_attempt {
    uint32_t number = 0; // The first attempt of a task has the number 1.
    worker_state* worker = nullptr;
    attempt_phase phase = attempt_phase::planned;
    bool startSent = false; // The worker may have received the start.
    bool longLease = false; // It may run under a lease of the worker's maximum. Recorded for the next leader.
    ms startAnsweredAt = 0;
    ms stopSentAt = 0;
    ms stopAnsweredAt = 0;
    uint64_t listedInReport = 0; // worker_state::reportCount of the last report that lists the attempt.
    // Start time of the worker's incarnation that has listed the attempt or answered its start; 0: none is
    // known to have.
    int64_t confirmedByStartedUnixMs = 0;
    int percent = 0;
    ms percentChangedAt = 0;
    // Start of the current speed measurement, and the progress and pace at that time.
    ms measuredAt = 0;
    int measuredPercent = 0;
    int measuredPace = 0;
    double speed = 1; // Smoothed speed relative to the estimate.
    int64_t measurement = 0; // running_task::measurement in the last report.
    // An earlier leader may have changed the pace, or the worker has not applied it.
    static constexpr int paceUnknown = -1;
    int pace = 100;
    ms pacedAt = 0; // Time of the last order that set the pace; 0: none was sent.
    double forecastError = 0; // Smoothed difference between the measured base load and the forecast.
    // Last measured utilisation less the forecast base load, and the time of the measurement; 0: not
    // measurable.
    double excess = 0;
    ms excessAt = 0;
    ms lowPaceSince = 0; // 0: the pace is not low.
    std::string ticket;
};

struct task_run {
    uint32_t lastAttempt = 0;
    // Failed attempts, and the number of the last one. For a gang both are kept by its first member.
    uint16_t failures = 0;
    uint32_t lastFailedAttempt = 0;
    bool done = false;
    bool waiting = false; // The task is listed in step_run::waiting.
    ms notBefore = 0;
    ms waitingSince = 0;
    bool moving = false; // Stopped by `consolidate` and not placed again yet.
    ms lastRanAt = 0; // Time at which an attempt was last known to run; 0: not known to this leader.
    worker_state* failedOn = nullptr;
    std::string checkpoint;
    std::vector<task_attempt> attempts;
};

// Position of a step in the dispatch order; the smallest key comes first.
struct dispatch_key {
    int rank = 0; // The queue's priority, plus an offset once the objective is missed.
    ms deadline = 0;
    uint64_t sequence = 0;
    auto operator<=>(const dispatch_key&) const = default;
};

// What the advice service answered about a step and one incarnation of a worker.
struct advice_answer {
    bool permitted = false;
    std::string ticket; // Empty if the step is not permitted there.
    uint32_t incarnation = 0;
    ms answeredAt = 0;
    ms validUntil = 0; // Until then the ticket is used, or the refusal is not questioned.
    ms refusalMs = 0; // Validity of this refusal.
};

// A call to the advice service that is under way.
struct advice_call {
    advice_action request;
    std::vector<uint32_t> incarnations; // Of the workers when they were asked about, in the same order.
    std::string queue;
    ms sentAt = 0;
    ms expectedMs = 0; // Time that the call takes; the longest by any settings since it was sent.
};

// Answers about workers of one queue, by any step.
struct advice_answers {
    double given = 0;
    double permitted = 0;
};

// See cell_advice.cpp.
struct advice_state {
    bool inUse = false; // A queue requires advice.
    std::optional<advice_call> call;
    uint64_t lastCall = 0; // Number of the last call.
    ms notBefore = 0; // No call is made before.
    std::map<std::string, advice_answers> answers; // By queue.
    // Number of calls in a row that were given up. One at first: the service may still handle a call of an
    // earlier leader on this machine.
    int backoff = 1;
};

struct step_run {
    job_run* job = nullptr;
    int64_t occurrence = 0;
    int number = 0;
    const step_spec* spec = nullptr;
    image_id image = 0;
    std::vector<task_run> tasks;
    int remainingTasks = 0;
    bool open = false; // All steps that it depends on are done.
    bool queued = false;
    dispatch_key dispatchKey;
    std::vector<int> waiting; // Indices of the tasks to be placed, in the order in which they began to wait.
    uint32_t gangAttempt = 0;
    std::map<worker_id, advice_answer> advice; // The last answer about each worker.
    ms advisedAt = 0; // When the advice service was last asked; 0: never.
    ms nextAdviceAt = 0;
    int bestEffortClass = -1; // Index from cell_model::bestEffortClasses; negative: not best-effort.
    double speed = 1; // Smoothed speed of its tasks relative to the estimate.
    std::unique_ptr<load_history> baseLoads; // Base loads of its latency-critical tasks.
    load_wave wave; // The wave fitted to `baseLoads`.
    ms fittedAt = 0;

    task_ref ref(int index) const;
};

struct occurrence_run {
    int64_t number = 0;
    std::vector<step_run> steps;
    int remainingSteps = 0;
};

struct job_run {
    job_id id;
    job_record record;
    bool hasRecord = false;
    bool submitted = false; // A submission of it was read, by this leader or an earlier one.
    job_state state = job_state::queued;
    job_state durableState = job_state::queued;
    bool started = false; // A worker has confirmed the start of a task.
    bool dirty = false; // The job has changed since its progress was last encoded.
    ms acceptedAt = 0;
    ms finishedAt = 0;
    // Log records of the job that were read: submissions and cancels, also repeated.
    uint32_t recordsRead = 0;
    uint32_t recordsDeleted = 0; // Value of `recordsRead` at the last confirmed deletion.
    // When the job was durably finished and its records deleted, whichever was later; without `unreadMs`.
    ms retainedSince = 0;
    uint64_t sequence = 0;
    int attempts = 0; // Number of attempts that its tasks have on workers.
    int64_t nextOccurrence = 0;
    std::map<int64_t, std::unique_ptr<occurrence_run>> liveOccurrences;
    std::shared_ptr<const std::string> payload;
    // Further progress records, by key: the hash of what was written last, 0 if that does not count any more.
    std::map<std::string, uint64_t> recordedParts;
    std::string unappliedProgress; // Progress restored before the record of the job itself.
    bool hasProgress = false; // An earlier leader has recorded progress of the job.
    bool progressUnreadable = false; // The job's records must be kept as they are.

    bool isOver() const { return state >= job_state::completed; }
    bool isDurablyOver() const { return durableState >= job_state::completed; }
};

// One attempt, identified by its task and number.
struct task_placement {
    step_run* step = nullptr;
    int index = 0;
    uint32_t attempt = 0;
};

constexpr int paceForecastSteps = 6; // Half seconds for which the pace of a best-effort task is forecast.

// A latency-critical task at the time of the worker's last report.
struct latency_critical_sample {
    image_id image = 0;
    load_wave wave;
    double forecastError = 0;
    // Forecast base loads, one for each half second from the sample on.
    std::array<double, paceForecastSteps> baseLoads {};
};

// Utilisation of a latency-critical task that is available to best-effort tasks, base load not yet
// subtracted.
struct utilisation_budget {
    double free = 0; // The limit, less what harmless best-effort tasks add.
    double wanted = 0; // What the interfering best-effort tasks would add at full pace.
};

// A running best-effort task.
struct running_best_effort {
    task_placement placement;
    task_attempt* attempt = nullptr;
    // What it adds at full pace to the utilisation of each of worker_state::latencyCriticalSamples.
    std::vector<double> utilisations;
    bool interferes = false; // At least one of its interference coefficients is not harmless.
};

// Use of a worker's processors by best-effort tasks in the half second that a report covers.
struct best_effort_usage {
    ms at = 0;
    ms previousAt = 0; // Time of the previous sample; 0: too old for a comparison.
    std::vector<interference_model::image_share> shares;
    // Shares less the part of the previous shares whose effect persists.
    std::vector<interference_model::image_share> changes;
};

// What the progress topic says of a worker: the newest incarnation that was known when its attempts were
// recorded, and whether that one had not answered yet, so that it may carry out orders to an earlier one.
struct recorded_incarnation {
    int64_t startedUnixMs = 0; // 0: nothing is recorded.
    bool awaitsFirstAnswer = false;
    uint64_t unreachedSince = 0; // As worker_state::unreachedSince.
    bool operator==(const recorded_incarnation&) const = default;
};

struct worker_state {
    // As in the worker's entry, but for the start time, which is that of the newest incarnation seen.
    worker_record info;
    int64_t entryStartedUnixMs = 0; // Start time of the incarnation whose entry was read; 0: not known.
    bool listed = false; // The platform lists it.
    ms unlistedSince = 0; // When `listed` became false; 0: it was never listed under this leader.
    bool hasReported = false; // It has reported to this leader in its present incarnation.
    size_t position = 0; // Index in worker_table::all.
    std::vector<task_placement> placements;
    int stoppingAttempts = 0; // Number of `placements` in the phase `stopping`.
    resources reserved; // Best-effort tasks reserve memory and accelerators but no processors.
    int64_t bestEffortCpu = 0; // Full size of the best-effort tasks.
    int64_t serviceCpu = 0; // Processors reserved by service tasks, which use a part of them.
    bool keptClear = false; // Latency-critical tasks are moved off it and placed elsewhere if possible.
    ms clearedAt = 0; // When `keptClear` was set last.
    int latencyCriticalTasks = 0; // Number of latency-critical tasks, including those that are stopping.
    int64_t shortTaskCpu = 0; // Processors reserved by all other tasks.
    int shortTasks = 0;
    std::vector<latency_critical_sample> latencyCriticalSamples;
    best_effort_history bestEffortHistory;
    // Caches, emptied when the tasks on the worker change: a budget for each of `latencyCriticalSamples`, and
    // the expected pace by best-effort class, negative if not computed yet.
    mutable std::vector<utilisation_budget> budgets;
    mutable std::vector<float> expectedPaces;
    void clearPaceCache()
    {
        budgets.clear();
        expectedPaces.clear();
    }
    ms sampledAt = 0;
    // Time of the last sample that was used, and the shares of the best-effort tasks in it.
    ms lastSharesAt = 0;
    std::vector<interference_model::image_share> lastShares;
    ms overTargetSince = 0; // Since when a latency-critical task exceeds its target; 0: none does.
    bool lightlyLoadedService = false; // Less than half of its service's processors are committed to tasks.
    double compatibleShare = 0; // Part of the best-effort demand that would disturb no task on the worker.
    ms bestEffortChangedAt = 0;
    ms evictionCheckedAt = 0;

    uint32_t incarnation = 0; // Number of incarnations that this leader has seen.
    // When the present incarnation was seen first, or its first report; 0: it is that of an earlier leader.
    ms newIncarnationAt = 0;
    // The present incarnation has not answered a poll with the token that refuses orders to an earlier one.
    bool awaitsFirstAnswer = false;
    recorded_incarnation recordedIncarnation;
    // Token of the leader since whose takeover no leader has had a report of the worker; 0: this one has, or
    // the worker had no attempts.
    uint64_t unreachedSince = 0;
    bool mayBeRecordedUnreached = false; // A record that says so may be the newest one in the store.
    bool hasLongLeases = false; // An attempt on it has task_attempt::longLease.
    bool restoredLongLeases = false; // An earlier leader recorded such an attempt.
    bool pollInFlight = false;
    uint32_t polledIncarnation = 0; // Value of `incarnation` at the last poll, whose token it raises.
    ms pollDueAt = 0; // When the worker should answer the last poll, the time for the network not included.
    ms nextPollAt = 0;
    ms reportedAt = 0;
    ms answeredPollSentAt = 0; // When the last poll that was answered was sent.
    int failedPolls = 0; // Polls that failed since the last report.
    uint64_t reportCount = 0;
    size_t listedAttempts = 0; // Number of `placements` that the last report lists.
    // Attempts in the last report that are not known here. Their size is unknown, so nothing is placed beside
    // them.
    int unknownAttempts = 0;
    // Sequence numbers of the last completion processed and of the last one whose record is durable.
    uint64_t processedSequence = 0;
    uint64_t acknowledgedSequence = 0;

    ms clockWorkerMs = 0; // The worker's clock at `clockAt`.
    ms clockAt = 0;
    ms leaseUntilWorkerMs = 0; // Latest end of the leases that may have been granted.
    ms leaseSentAt = 0; // When the last order that grants a lease was sent; 0: none was.

    int consecutiveFailures = 0; // Consecutive failures of the same job count once.
    job_id lastFailedJob;
    ms quarantinedUntil = 0; // End of the quarantine after repeated failures.
    ms noStartsUntil = 0; // End of the pause after a refused start.
    ms quarantineMs = 0; // Length of the last quarantine.
    ms drainingSince = 0;

    double speed = 1; // Smoothed speed of its tasks relative to other tasks of their steps.
    bool slow = false;

    bool hasLabel(const std::string& label) const
    {
        return label.empty() || std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
    }
    // Whether the service, labels and capacity in `info` are those of the newest incarnation.
    bool hasCurrentEntry() const
    {
        return entryStartedUnixMs == 0 || entryStartedUnixMs >= info.startedUnixMs;
    }
    ms workerNow(ms now) const { return clockWorkerMs + (now - clockAt); }
    resources freeCapacity() const { return info.capacity - reserved; }
    // The share of the worker's processors that a task of this size uses.
    double shareOf(const step_spec& spec) const
    {
        return static_cast<double>(spec.cpuMilli)
            / static_cast<double>(std::max<int64_t>(1, info.capacity.cpuMilli));
    }
};

// Workers chosen for the members of a gang, by member index. A plan reserves nothing.
struct gang_plan {
    std::vector<worker_state*> workers;
    int memberCount(const worker_state& worker) const
    {
        return static_cast<int>(std::count(workers.begin(), workers.end(), &worker));
    }
};

// Processors of the workers of one service, in thousandths of a core. Recomputed in each placement pass.
struct service_pool {
    short_task_reserve reserve;
    int64_t shortTaskCpuFree = 0; // Free processors that short tasks could use.
    int64_t capacityCpu = 0;
    int64_t reservedCpu = 0;
    int64_t shortTaskCpuUsed = 0;
    int64_t shortTaskCpuWaiting = 0;
    int64_t shortTasks = 0; // Number of running and waiting short tasks.
    ms loggedAt = 0; // Time of the last log line about a service task that is held back.
    void clear()
    {
        shortTaskCpuFree = capacityCpu = reservedCpu = 0;
        shortTaskCpuUsed = shortTaskCpuWaiting = shortTasks = 0;
    }
};

struct cell_model {
    cell_model(cell_settings settings, std::shared_ptr<const queue_table> table, decision_log log)
        : settings(settings)
        , queues(std::move(table))
        , log(std::move(log))
    {
    }

    cell_settings settings;
    std::shared_ptr<const queue_table> queues;
    decision_log log;
    interference_model interferenceModel;
    // Dense class index of best-effort tasks by image and size class, so that a cached pace is found by
    // index.
    std::map<std::pair<image_id, int64_t>, int> bestEffortClasses;
    double loadPeriodMs = 0; // Common period of the base loads; 0: unknown.
    double lastPeriodFoundMs = 0; // Result of the last search; 0: none found.
    bool periodStable = false; // The last two searches agree.
    ms periodSearchedAt = 0;
    ms compatibilityUpdatedAt = 0;
    ms consolidatedAt = 0; // When `consolidate` ran last.
    std::vector<task_ref>
        moves; // Latency-critical tasks that `consolidate` has stopped and that are not at work again.
    ms longestWaitLoggedAt = 0; // When the line `longest_wait` was last due.
    ms speedsReviewedAt = 0;
    // Waves fitted by an earlier leader, by job, occurrence and step.
    std::map<std::tuple<job_id, int64_t, int>, load_wave> restoredWaves;

    std::unordered_map<job_id, std::unique_ptr<job_run>> jobs;
    worker_table<worker_state> workers;
    std::set<std::pair<dispatch_key, step_run*>> readySteps;
    std::vector<job_run*> dirty;
    std::set<job_run*> periodicJobs; // Jobs with occurrences still to be opened.
    // Durably finished jobs without log records, with job_run::retainedSince, oldest first.
    std::deque<std::pair<ms, job_id>> finishedJobs;
    ms jobLogReadUpTo = 0; // 0 until it is known.
    ms unreadMs = 0; // Time in which the job log could not be read.
    std::map<std::string, service_pool> servicePools; // The pools by service name.
    ms lastPlacedAt = 0;
    ms idleJobsPlacedAt = 0; // When `placeIdleJobs` searched last.
    ms sortedAt = 0; // When the dispatch keys were last recomputed.
    std::vector<task_placement> plannedStarts; // Starts recorded by the next append.
    std::vector<task_placement> writingStarts; // Starts recorded by the append in flight.
    std::map<job_id, std::vector<progress_record>> restoredParts; // Of jobs that have not been read yet.
    std::vector<std::string> obsoleteParts; // Keys of further records of jobs that are to be deleted.
    std::vector<job_run*> writingJobs; // Jobs recorded by the append in flight.
    // Sequence number of the last completion that each worker may forget once the append in flight is
    // durable.
    std::vector<std::pair<worker_state*, uint64_t>> writingCompletions;
    std::vector<job_id> jobsToDrop;
    std::vector<job_run*> retiringJobs; // Durably finished jobs, whose attempts may still have to end.
    std::vector<action> actions;
    advice_state advice;
    bool writeInFlight = false;
    bool begun = false;
    ms renewedAt = 0; // When the last successful renewal of the leadership was sent.
    ms quorumAnsweredSince = 0; // See lease_terms::quorumMs; 0: not known.
    std::optional<earlier_leases> earlierLeases;
    uint64_t token = 0; // Of this leader; 0: not known.
    std::vector<cell_takeover> takeovers; // That precede the one of this leader.
    bool reachChanged = false; // A worker's record is to be written for `unreachedSince`.
    bool unreachedRecorded = false; // Workers that did not report soon after the takeover are recorded.
    std::vector<worker_id> writingReached; // Workers that the append in flight records as reached.
    ms majorityReportedAt = 0; // When half of the workers had reported to this leader; 0: not yet.
    size_t mostWorkersInUse = 0; // Largest result of `countWorkersInUse` until then.
    bool fenced = false;
    bool placingNeeded = false;
    ms beganAt = 0;
    ms now = 0;
    uint32_t firstIncarnation = 0; // Incarnation number of a worker that is added.
    int64_t unixOffset = 0; // Unix time minus `now`.
    uint64_t nextSequence = 0;

    // A request to the present incarnation of a worker was refused for its token: another instance leads the
    // cell.
    void markFenced(const worker_state& worker, uint32_t incarnation)
    {
        fenced |= incarnation == worker.incarnation;
    }
    std::vector<worker_id> forgottenIncarnations; // Erased workers whose records are to be deleted.
    bool hasFault(cell_fault fault) const { return settings.fault == fault; }

    // cell.cpp
    const queue_policy* policyOf(const job_run&) const;
    void addJob(const job_id&, const job_record&);
    void cancel(const job_id&);
    occurrence_run& openOccurrence(job_run&, int64_t number);
    static int64_t occurrenceCapacity(const job_run&);
    void openDueOccurrences(job_run&);
    void openReadySteps(occurrence_run&);
    void requeue(step_run&, int index);
    void enqueue(step_run&);
    void unqueue(step_run&);
    dispatch_key dispatchKeyOf(const step_run&) const;
    void markDone(step_run&, int index);
    void finishStep(step_run&);
    void finishJob(job_run&, job_state);
    void markDirty(job_run&);
    void retain(job_run&);
    void countRecord(job_run&);
    void noteSubmission(job_run&);
    void requestDeletion(job_run&);
    bool recordsRemain(const job_run&) const;
    bool retentionIsOver(const job_run&) const;
    bool isPastRetention(ms retainedSince) const;
    void setJobLogReadUpTo(ms);
    void dropOldJobs();
    step_run* findStep(const task_ref&);

    // cell_progress.cpp
    static task_attempt* findAttempt(const task_placement&);
    std::string encodeProgress(const job_run&) const;
    bool isSplit(const job_run&) const;
    void writeProgress(write_batch&, job_run&);
    std::vector<progress_record> encodeParts(const job_run&) const;
    void restorePart(const std::string& key, std::string_view bytes);
    void applyParts(job_run&, const std::set<std::pair<int64_t, int>>& openSteps);
    void applyTask(step_run&, const nlohmann::json&);
    void dropUnusedParts();
    void restoreProgress(const job_id&, std::string_view bytes);
    void applyProgress(job_run&, std::string_view bytes);
    void setProgressUnreadable(job_run&, std::string_view error);
    void onRecordRejected(const std::string& key);
    std::optional<write_batch> takeWrite();
    void forgetJobs(write_batch&);
    void onWritten();
    void sendRecordedStarts();
    bool startable(const task_placement&) const;
    void releaseFinishedJobs();

    // cell_incarnations.cpp
    void recordIncarnations(write_batch&);
    void restoreIncarnation(const worker_id&, std::string_view bytes);
    void forgetIncarnation(worker_state&);
    void noteUnreachedWorkers();
    void recordUnreachedWorkers();
    void noteReached(worker_state&);
    // The takeover since which no leader has reached the worker; null: this leader's, or it is not known.
    const cell_takeover* takeoverBefore(const worker_state&) const;
    ms earlierOrdersEnd(const worker_state&) const; // No earlier leader has sent the worker an order since.
    // Whether the incarnation that is recorded for its worker has confirmed the attempt.
    static bool isConfirmedByRecordedIncarnation(const task_attempt&);
    void endAttemptsOfEarlierIncarnations();
    // Whether an attempt on the worker may still be started by an incarnation that has not answered.
    bool mayStartLate(const worker_state&) const;
    // Whether an incarnation that this leader has not seen may run the attempt.
    bool mayRunUnseen(const task_attempt&) const;
    // Whether the answer is of the incarnation that sent the last report.
    bool isOfReportedIncarnation(const order_answer&, const worker_state&) const;
    void confirmAttempt(task_attempt&, const step_run&, int64_t startedUnixMs);
    // The least that the clock of the worker's present incarnation shows now; 0 before its first report.
    ms leastClock(const worker_state&) const;
    void noteClockOfAnswer(
        const worker_id&, uint32_t incarnation, ms leastClockWorkerMs, const order_answer&);

    // cell_workers.cpp
    worker_state& findOrAddWorker(const worker_id&);
    void setWorker(const worker_record&);
    void removeWorker(const worker_id&);
    void onReport(worker_state&, const worker_report&, ms sentAt);
    void handleListed(worker_state&, const running_task&, int64_t startedUnixMs);
    void handleUnlisted(worker_state&, ms sentAt);
    void countFailedPoll(worker_state&);
    void pollWorkers();
    void pollWorker(worker_state&);
    void resendStops(worker_state&);
    void handleNewIncarnation(worker_state&, std::string_view source);
    void noteFirstAnswer(worker_state&);
    void endAttemptsWithLease(worker_state&);
    void dropLostWorker(worker_state&, std::string_view reason, const std::vector<task_placement>& ended);
    void endAttempts(worker_state&, const std::vector<task_placement>&, std::string_view gangReason);
    size_t countWorkersInUse() const;
    void updateQuorum();
    void updateMajority();
    bool renewalOverdue() const;
    bool pollOverdue(const worker_state&) const;
    ms leaseLimit() const; // Latest end of a lease that may be granted now.
    ms leaseLength() const; // Of a lease granted now; not positive if none may be granted.
    bool mayStartTasks() const;
    bool leaseExpired(const worker_state&) const;
    // Whether the worker may hold a lease beyond what this leader grants, as after a restart.
    bool leaseIsLong(const worker_state&) const;
    ms startLeaseEnd(const worker_state&) const; // In the worker's clock.
    ms earlierLeasesEnd(const worker_state&, ms lastQuorumAt) const;
    ms longLeaseEnd(const worker_state&, ms lastQuorumAt) const;
    void recordLongLeases(worker_state&);
    void expireLongLeases(worker_state&);
    void dropUnlistedWorkers();
    void emptyDrainingWorkers();

    // cell_attempts.cpp
    void handleCompletion(worker_state&, const task_completion&);
    bool attemptsExhausted(const step_run&, const task_run&) const;
    void failIfAttemptsExhausted(job_run&);
    resources reservationOf(const step_spec&) const;
    task_attempt& place(step_run&, int index, worker_state&, uint32_t attemptNumber);
    void removeAttempt(step_run&, int index, worker_state&, uint32_t attemptNumber);
    // Begins to stop an attempt. The task can be placed again once the worker confirms the end.
    void stopAttempt(step_run&, int index, task_attempt&, std::string_view reason);
    // Stops all members of a gang after one was lost; the gang is then placed again as a whole.
    void stopGang(step_run&, std::string_view reason);
    void markStarted(job_run&);
    void sendStop(step_run&, int index, task_attempt&);

    // cell_placing.cpp
    ms placingInterval() const;
    void placeWaiting();
    bool placeStep(step_run&);
    bool mustNotStayIdle(const step_run&) const;
    worker_state* chooseWorkerForIdleJob(const step_run&, const task_run&) const;
    std::optional<int> firstStartableTask(const step_run&) const;
    bool isConstrained(const step_run&) const;
    void placeIdleJobs(const std::vector<step_run*>&);
    bool placeGang(step_run&);
    struct candidate_group {
        int waitStage = 0;
        const worker_state* failedOn = nullptr;
        bool operator==(const candidate_group&) const = default;
    };
    class candidate_heap;
    candidate_group candidateGroupOf(const step_run&, const task_run&) const;
    std::optional<double> scoreIfPlaceable(
        const step_run&, const task_run&, const queue_policy&, const worker_state&, int members) const;
    // `plan` holds the members of the gang chosen so far.
    worker_state* chooseGangWorker(
        const step_run&, const task_run&, const std::string* rack, const gang_plan& plan);
    std::optional<gang_plan> planGang(step_run&, const std::string* rack);
    void commitPlacement(step_run&, int index, worker_state&, uint32_t attemptNumber);
    bool usable(const worker_state&) const;
    bool usableFor(const worker_state&, const step_run&, const task_run&) const;
    bool mayRunOn(const step_run&, const queue_policy&, const worker_state&, int members) const;
    bool eligible(const step_run&, const queue_policy&, const worker_state&, int members) const;
    double scoreOf(const step_run&, const task_run&, const worker_state&) const;
    bool bestEffortFits(const worker_state&, const step_run&, ms waited) const;
    static bool hasCpuLeft(const worker_state&, const step_spec&);
    static int64_t cpuLeftForBestEffort(const worker_state&);

    // cell_advice.cpp
    static const advice_answer* lastAdvice(const step_run&, const worker_state&);
    const advice_answer* validAdvice(const step_run&, const worker_state&) const;
    double permittedShare(const std::string& queue) const;
    double placesOn(const step_run&, const task_run&, const worker_state&, bool isIdle) const;
    size_t countPlacesWithTickets(const step_run&, const task_run&, const queue_policy&) const;
    struct advice_search {
        std::vector<step_run*> steps;
        ms retryMs = 0; // Time after which a step without a worker to ask about is looked at again.
    };
    std::map<std::string, std::map<std::string, resources>> mostFree() const;
    advice_search searchStepsForAdvice() const;
    void requestAdvice();
    enum class candidate_rank : uint8_t;
    struct advice_candidate;
    std::vector<advice_candidate> adviceCandidates(
        const step_run&, const task_run&, const queue_policy&, size_t limit) const;
    size_t countWorthAsking(const std::vector<advice_candidate>&, const step_run&, const queue_policy&) const;
    void askAbout(step_run&, const queue_policy&, ms retryMs);
    ms allowedAdviceMs() const;
    void applyAdvicePolicies();
    void reviewAdviceCall();
    void endAdviceCall(std::string_view outcome, size_t permitted);
    void storeAdvice(const advice_call&, const std::vector<advised_worker>&, step_run&);

    // cell_wait_reasons.cpp
    void logLongestWait();

    // cell_speed.cpp
    void updateSpeed(worker_state&, step_run&, task_attempt&, int percent);
    bool endsSoonerElsewhere(const step_run&, const task_attempt&) const;
    void reviewSpeeds();

    // cell_short_task_reserve.cpp
    void updateServicePools();
    // Whether the task may take capacity that is reserved for short tasks.
    bool mayTakeCapacity(const step_run&, const task_run&, const queue_policy&);

    // cell_consolidation.cpp
    struct held_back_tasks;
    struct consolidation_pool;
    void consolidate();
    bool isSettled(const step_run&) const;
    void forgetEndedMoves();
    bool hasMovableTask(const worker_state&) const;
    static bool isNeeded(const worker_state&, const consolidation_pool&);
    std::map<std::string, consolidation_pool> consolidationPools(); // By service.
    static bool isLastChoice(const step_run&, const task_run&, const worker_state&);
    resources* takeTargetCapacity(
        const step_run&, const task_run&, const worker_state* from, consolidation_pool&) const;
    bool takeTargetCapacityForAll(const worker_state&, consolidation_pool&) const;
    bool mayBeLost(const worker_state&) const;
    std::vector<std::pair<const step_run*, int>> displacedTasks(const std::string& service) const;
    bool takeTargetCapacityForDisplaced(const std::string& service, consolidation_pool&) const;
    worker_state* chooseWorkerToClear(consolidation_pool&) const;
    void moveLatencyCriticalTasks(worker_state&, size_t maxMoves);
    void releaseUnusedWorkers();
    void continueClearing(const std::string& service, consolidation_pool&, size_t maxMoves);
    void clearMoreWorkers(const std::string& service, consolidation_pool&, size_t maxMoves);

    // cell_load_model.cpp
    void restoreWave(step_run&);
    std::vector<const step_run*> stepsWithRecordedWaves(size_t maxBytes) const;

    // cell_sharing.cpp
    void updateSharing();
    bool hasSteadyTail(const task_attempt& attempt) const;
    void sampleWorker(worker_state&);
    void learnFromTail(step_run&, task_attempt&, double ratio, const best_effort_usage&);
    void updateLoadPeriod();
    void updateCompatibility();
    double baseLoadForecast(const latency_critical_sample&, ms ahead, double errorRetention) const;
    void computeBudgets(const worker_state&) const;
    double expectedPace(const worker_state&, const step_run& step) const;
    int bestEffortClassOf(const step_run&);
    // `free` is the smallest free utilisation among the latency-critical tasks, for the log.
    void setPace(worker_state&, const task_placement&, task_attempt&, int percent, double free);
    bool overTargetFromBestEffort(const worker_state&) const;
    bool hasAppliedPace(const worker_state&, const task_attempt&, const step_spec&) const;
    void checkPaces(worker_state&);
    void pauseBestEffort(worker_state&);
    std::vector<running_best_effort> bestEffortTasksOn(worker_state&) const;
    std::vector<double> freeUtilisation(const worker_state&) const;
    void paceBestEffort(worker_state&);
    static int highestSafePace(const running_best_effort&, const std::vector<double>& free);
    void evictThrottled(worker_state&, const std::vector<running_best_effort>&);
    bool runsFasterElsewhere(const worker_state&, const step_run&) const;
};

} // namespace camphorwell
