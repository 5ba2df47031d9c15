// The state of a cell, shared by the files of the class and by nothing else.
#pragma once

#include "jobs/jobs.h"
#include "jobs/process/filler_history.h"
#include "jobs/process/load_forecast.h"
#include "jobs/process/quick_room.h"
#include "jobs/process/worker_table.h"

#include <algorithm>
#include <array>
#include <deque>

namespace camphorwell {

// planned: its record is not durable yet, no order was sent. ordered: the start is not answered yet.
// restored: recorded by an earlier owner, and the worker has not reported since. doomed: it must end, and
// nothing else may run for its task until it has.
enum class attempt_phase : uint8_t { planned, starting, restored, running, stopping };

struct worker_state;
struct step_run;
struct job_run;

// One run of a task on one worker.
struct task_attempt {
    uint32_t run = 0;
    worker_state* worker = nullptr;
    attempt_phase phase = attempt_phase::planned;
    bool startSent = false; // A start may have been sent.
    ms startAnsweredAt = 0; // When the worker answered the start.
    ms stopSentAt = 0;
    ms stopAnsweredAt = 0;
    uint64_t listedInReport = 0; // Number of the last report that listed it.
    int percent = 0;
    ms percentChangedAt = 0; // When the percentage last rose.
    ms measuredAt = 0; // Since when its progress is measured,
    int measuredPercent = 0; // from this,
    int measuredPace = 0; // at this pace.
    double speed = 1; // Against its estimate, lately.
    int64_t load = 0;
    static constexpr int paceUnknown = -1; // An earlier owner may have changed it.
    int pace = 100;
    double forecastError = 0; // Of a serving task: own load beyond the forecast, lately.
    double excess = 0; // Of a serving task: strain beyond the forecast of its own load,
    ms excessAt = 0; // in the figure of this time; 0: none.
    ms lowPaceSince = 0; // Since when its pace is low; 0: it is not.
    std::string ticket;
};

struct task_run {
    uint32_t lastAttempt = 0;
    uint16_t failures = 0;
    bool done = false;
    bool waiting = false; // Listed in step_run::waiting.
    ms notBefore = 0;
    ms waitingSince = 0;
    worker_state* failedOn = nullptr;
    std::string checkpoint;
    std::vector<task_attempt> attempts;
};

// Position in the order of work: the smallest comes first.
struct dispatch_key {
    int rank = 0; // The queue's priority; later when the objective cannot be met any more.
    ms deadline = 0;
    uint64_t sequence = 0;
    auto operator<=>(const dispatch_key&) const = default;
};

struct advice_ticket {
    std::string value;
    ms validUntil = 0;
};

struct step_run {
    job_run* job = nullptr;
    int64_t occurrence = 0;
    int number = 0;
    const step_spec* spec = nullptr;
    image_id image = 0;
    std::vector<task_run> tasks;
    int remainingTasks = 0;
    bool open = false; // All steps before it are done.
    bool queued = false;
    dispatch_key dispatchKey;
    std::vector<int> waiting; // Indices of tasks to be placed.
    uint32_t gangAttempt = 0;
    std::map<worker_id, advice_ticket> tickets;
    bool adviceRequested = false;
    ms nextAdviceAt = 0;
    std::set<worker_id> adviceRefused;
    int bestEffortClass = -1; // Place among `bestEffortClasses`; below 0: not looked up yet.
    double speed = 1; // Of its tasks against the estimate, lately.
    std::unique_ptr<load_history> baseLoads; // Of serving tasks.
    load_wave wave;
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
    job_state state = job_state::queued;
    job_state durableState = job_state::queued;
    bool started = false; // A worker has confirmed the start of a task.
    bool dirty = false;
    ms acceptedAt = 0;
    ms finishedAt = 0;
    uint64_t sequence = 0;
    int64_t nextOccurrence = 0;
    std::map<int64_t, std::unique_ptr<occurrence_run>> liveOccurrences;
    std::shared_ptr<const std::string> payload;
    std::string unappliedProgress; // Progress that came before the job's own record.

    bool isOver() const { return state >= job_state::completed; }
};

struct task_placement {
    step_run* step = nullptr;
    int index = 0;
    uint32_t run = 0;
};

constexpr int paceForecastSteps = 6; // Half seconds over which the pace of a filler is expected.

// A serving task, as the last figures tell of it.
struct serving_sample {
    image_id image = 0;
    load_wave wave;
    double forecastError = 0;
    std::array<double, paceForecastSteps> baseLoads {}; // To come, from the time of the figures.
};

// What fillers do to a serving task.
struct utilisation_budget {
    double free = 0; // Strain up to its limit, harmless fillers taken off.
    double wanted = 0; // Strain by those that disturb it, at full pace.
};

// A filler at work, with the strain that it puts on each of the worker's `serving` at full pace.
struct running_best_effort {
    task_placement placement;
    task_attempt* attempt = nullptr;
    std::vector<double> utilisations;
    bool interferes = false; // One of them more than is let pass.
};

// The fillers beside the serving tasks of a worker in the half second that its figures tell of.
struct best_effort_usage {
    ms at = 0;
    ms previousAt = 0; // Time of the figures before, where they are close enough to compare; else 0.
    std::vector<interference::neighbour> shares;
    std::vector<interference::neighbour> changes; // Since then, less what fades by itself.
};

struct worker_state {
    worker_record info;
    bool listed = false; // The platform lists it.
    bool hasReported = false; // It has reported to this owner in its present life.
    size_t position = 0; // Among all, by id.
    std::vector<task_placement> placements;
    int stoppingAttempts = 0; // Of those.
    resources reserved; // Fillers book memory and accelerators only.
    int64_t bestEffortCpu = 0;
    int64_t serviceCpu = 0; // Booked by lasting tasks, which use a part of it.
    int64_t shortTaskCpu = 0; // Booked by all others.
    int shortTasks = 0;
    std::vector<serving_sample> servingSamples; // As of the last sample.
    filler_history bestEffortHistory;
    // For each of `serving`, and paces by kind of filler, below 0 where not known. Forgotten after a change
    // of what runs there.
    mutable std::vector<utilisation_budget> budgets;
    mutable std::vector<float> expectedPaces;
    void clearPaceCache()
    {
        budgets.clear();
        expectedPaces.clear();
    }
    ms sampledAt = 0;
    ms lastSharesAt = 0; // Time of the newest figures that were used,
    std::vector<interference::neighbour> lastShares; // and what ran then.
    ms overTargetSince = 0; // Since when a serving task is over its target; 0: none is.
    double compatibleShare = 0; // Of the demand of fillers, the part that would disturb nothing there.
    ms bestEffortChangedAt = 0;
    ms evictionCheckedAt = 0; // When another worker for a filler was last looked for.

    uint32_t life = 0; // Lives that this owner has seen.
    ms newLifeAt = 0;
    bool pollInFlight = false;
    ms nextPollAt = 0;
    ms reportedAt = 0;
    int failedPolls = 0;
    uint64_t reportCount = 0;
    size_t listedAttempts = 0; // Of `placed`, in the last report.
    int unknownAttempts
        = 0; // In the last report. What they take is not known, so nothing is placed beside them.
    uint64_t processed = 0; // Ends taken up, by number.
    uint64_t acknowledged = 0; // Ends whose records are durable.

    ms clockWorkerMs = 0; // As of clockAt.
    ms clockAt = 0;
    ms leaseUntilWorkerMs = 0; // The latest lease that may have been granted.

    int consecutiveFailures = 0; // Of different jobs.
    job_id lastFailedJob; // The last whose task failed here.
    ms quarantinedUntil = 0; // After failures.
    ms noStartsUntil = 0; // After starts that it refused.
    ms quarantineMs = 0;
    ms drainingSince = 0;

    double speed = 1; // Of its tasks against others of their steps, lately.
    bool slow = false;

    ms workerNow(ms now) const { return clockWorkerMs + (now - clockAt); }
    resources freeCapacity() const { return info.capacity - reserved; }
    // What a task of that size uses of the worker's processors.
    double shareOf(const step_spec& spec) const
    {
        return static_cast<double>(spec.cpuMilli)
            / static_cast<double>(std::max<int64_t>(1, info.capacity.cpuMilli));
    }
};

// Workers chosen for the members of a gang, in the order of their indices. Nothing is booked by it.
struct gang_plan {
    std::vector<worker_state*> workers;
    int memberCount(const worker_state& worker) const
    {
        return static_cast<int>(std::count(workers.begin(), workers.end(), &worker));
    }
};

// Processors of one service, as of the placing pass under way.
struct service_pool {
    quick_room reserve;
    int64_t shortTaskCpuFree = 0; // That quick work could use.
    int64_t capacityCpu = 0;
    int64_t shortTaskCpuUsed = 0;
    int64_t shortTaskCpuWaiting = 0;
    int64_t shortTasks = 0; // Of both.
    ms loggedAt = 0; // When the log last said that lasting work is held back.
    void clear() { shortTaskCpuFree = capacityCpu = shortTaskCpuUsed = shortTaskCpuWaiting = shortTasks = 0; }
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
    interference interferenceModel;
    // Images and sizes of fillers, in steps; those alike have one place, so that a pace is found without a
    // search.
    std::map<std::pair<image_id, int64_t>, int> bestEffortClasses;
    double loadPeriodMs = 0; // Of the own loads; 0: not known.
    double lastPeriodFoundMs = 0; // By the last search.
    bool periodStable = false; // The last two searches found the same.
    ms periodSearchedAt = 0;
    ms compatibilityUpdatedAt = 0;
    ms speedsReviewedAt = 0;
    bool lightlyLoaded = false; // Under half of the processors are spoken for.
    std::map<std::tuple<job_id, int64_t, int>, load_wave> restoredWaves; // Learnt by an earlier owner.

    std::unordered_map<job_id, std::unique_ptr<job_run>> jobs;
    worker_table<worker_state> workers;
    std::set<std::pair<dispatch_key, step_run*>> readySteps;
    std::vector<job_run*> dirty;
    std::set<job_run*> periodicJobs; // Jobs with occurrences to come.
    std::deque<std::pair<ms, job_id>> finishedJobs; // Oldest first.
    std::map<std::string, service_pool> servicePools; // By service.
    ms lastPlacedAt = 0; // When work was last placed.
    ms sortedAt = 0; // When the order of work was last computed.
    std::vector<task_placement> plannedStarts; // Waiting for the next write.
    std::vector<task_placement> writingStarts; // Waiting for the write under way.
    std::vector<job_run*> writingJobs;
    std::vector<std::pair<worker_state*, uint64_t>> writingCompletions;
    std::vector<job_id> jobsToDrop;
    std::vector<job_run*> retiringJobs; // Over and durable; their runs may still have to end.
    std::vector<action> actions;
    bool writeInFlight = false;
    bool begun = false;
    bool mayGrantLeases = false;
    bool fenced = false;
    bool placingNeeded = false;
    ms beganAt = 0;
    ms now = 0;
    uint32_t firstLife = 0; // Of workers that are met anew.
    int64_t unixOffset = 0; // Time of day less `now`.
    uint64_t nextSequence = 0;

    // An order to the worker's present life was refused for its token: somebody else owns the cell.
    void markFenced(const worker_state& worker, uint32_t life) { fenced |= life == worker.life; }
    bool hasFault(cell_fault fault) const { return settings.fault == fault; }

    // cell.cpp
    const queue_policy* policyOf(const job_run&) const;
    void addJob(const job_id&, const job_record&);
    void cancel(const job_id&);
    occurrence_run& openOccurrence(job_run&, int64_t number);
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
    step_run* findStep(const task_ref&);

    // cell_progress.cpp
    static task_attempt* findAttempt(const task_placement&);
    std::string encodeProgress(const job_run&) const;
    void applyProgress(job_run&, std::string_view bytes);
    std::optional<write_batch> takeWrite();
    void onWritten();
    void sendRecordedStarts();
    bool startable(const task_placement&) const;
    void releaseFinishedJobs();

    // cell_workers.cpp
    worker_state& findOrAddWorker(const worker_id&);
    void setWorker(const worker_record&);
    void removeWorker(const worker_id&);
    void onReport(worker_state&, const worker_report&, ms sentAt);
    void handleListed(worker_state&, const running_task&);
    void handleUnlisted(worker_state&, ms sentAt);
    void pollWorkers();
    void pollWorker(worker_state&);
    void resendStops(worker_state&);
    void handleNewLife(worker_state&);
    void dropLostWorker(worker_state&, std::string_view reason);
    bool leaseExpired(const worker_state&) const;
    void dropUnlistedWorkers();
    void emptyDrainingWorkers();

    // cell_runs.cpp
    void handleCompletion(worker_state&, const ended_task&);
    resources reservationOf(const step_spec&) const;
    task_attempt& place(step_run&, int index, worker_state&, uint32_t run);
    void removeAttempt(step_run&, int index, worker_state&, uint32_t run);
    // Ends a copy that must not go on; the task is free again once the worker says so.
    void stopAttempt(step_run&, int index, task_attempt&, std::string_view reason);
    // A gang that has lost a member ends as a whole, and is then placed anew.
    void stopGang(step_run&, std::string_view reason);
    void markStarted(job_run&);
    void sendStop(step_run&, int index, task_attempt&);

    // cell_placing.cpp
    void placeWaiting();
    bool placeStep(step_run&);
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
    // `beside`: the members of its gang that have been planned before it.
    worker_state* chooseGangWorker(
        const step_run&, const task_run&, const std::string* rack, const gang_plan& plan);
    std::optional<gang_plan> planGang(step_run&, const std::string* rack);
    void commitPlacement(step_run&, int index, worker_state&, uint32_t run);
    bool usable(const worker_state&) const;
    bool usableFor(const worker_state&, const step_run&, const task_run&) const;
    bool eligible(const step_run&, const queue_policy&, const worker_state&, int members) const;
    double scoreOf(const step_run&, const task_run&, const worker_state&) const;
    bool bestEffortFits(const worker_state&, const step_run&, ms waited) const;
    static bool hasCpuLeft(const worker_state&, const step_spec&);
    static int64_t cpuLeftForBestEffort(const worker_state&);
    void requestAdvice(step_run&);

    // cell_speed.cpp
    void updateSpeed(worker_state&, step_run&, task_attempt&, int percent);
    bool endsSoonerElsewhere(const step_run&, const task_attempt&) const;
    void reviewSpeeds();

    // cell_rooms.cpp
    void updateServicePools();
    // Whether the task may take room that quick work is about to need.
    bool mayTakeCapacity(const step_run&, const task_run&, const queue_policy&);

    // cell_learnt.cpp
    void restoreWave(step_run&);

    // cell_sharing.cpp
    void updateSharing();
    bool hasSteadyTail(const task_attempt& serving) const;
    void sampleWorker(worker_state&);
    void learnFromTail(step_run&, task_attempt&, double ratio, const best_effort_usage&);
    void updateLoadPeriod();
    void updateCompatibility();
    double baseLoadForecast(const serving_sample&, ms ahead, double errorRetention) const;
    void computeBudgets(const worker_state&) const;
    double expectedPace(const worker_state&, const step_run& step) const;
    int bestEffortClassOf(step_run&);
    // `free`: strain that the serving task that is worst off can still bear, for the log.
    void setPace(worker_state&, const task_placement&, task_attempt&, int percent, double free);
    bool overTargetFromBestEffort(const worker_state&) const;
    void pauseBestEffort(worker_state&);
    std::vector<running_best_effort> bestEffortTasksOn(worker_state&) const;
    std::vector<double> freeUtilisation(const worker_state&) const;
    void paceBestEffort(worker_state&);
    static int highestSafePace(const running_best_effort&, const std::vector<double>& free);
    void evictThrottled(worker_state&, const std::vector<running_best_effort>&);
    bool runsFasterElsewhere(const worker_state&, const step_run&) const;
};

} // namespace camphorwell
