// The state of a cell, shared by the files of the class and by nothing else.
#pragma once

#include "jobs/jobs.h"
#include "jobs/process/best_effort_history.h"
#include "jobs/process/load_forecast.h"
#include "jobs/process/short_task_reserve.h"
#include "jobs/process/worker_table.h"

#include <algorithm>
#include <array>
#include <deque>

namespace camphorwell {

// planned: its record is not durable yet, no order was sent. ordered: the start is not answered yet.
// restored: recorded by an earlier owner, and the worker has not reported since. doomed: it must end, and
// nothing else may run for its task until it has.
enum class copy_phase : uint8_t { planned, ordered, restored, running, doomed };

struct worker_state;
struct step_run;
struct job_run;

// One run of a task on one worker.
struct task_copy {
    uint32_t run = 0;
    worker_state* on = nullptr;
    copy_phase phase = copy_phase::planned;
    bool ordered = false; // A start may have been sent.
    ms answeredAt = 0; // When the worker answered the start.
    ms stopSentAt = 0;
    ms stopAnsweredAt = 0;
    uint64_t listedIn = 0; // Number of the last report that listed it.
    int percent = 0;
    ms percentAt = 0; // When the percentage last rose.
    ms measuredAt = 0; // Since when its progress is measured,
    int measuredPercent = 0; // from this,
    int measuredPace = 0; // at this pace.
    double speed = 1; // Against its estimate, lately.
    int64_t load = 0;
    static constexpr int paceUnknown = -1; // An earlier owner may have changed it.
    int pace = 100;
    double bias = 0; // Of a serving task: own load beyond the forecast, lately.
    double beyond = 0; // Of a serving task: strain beyond the forecast of its own load,
    ms beyondAt = 0; // in the figure of this time; 0: none.
    ms slowSince = 0; // Since when its pace is low; 0: it is not.
    std::string ticket;
};

struct task_run {
    uint32_t lastRun = 0;
    uint16_t failures = 0;
    bool done = false;
    bool waiting = false; // Listed in step_run::waiting.
    ms notBefore = 0;
    ms waitingSince = 0;
    worker_state* failedOn = nullptr;
    std::string checkpoint;
    std::vector<task_copy> copies;
};

// Position in the order of work: the smallest comes first.
struct work_order {
    int rank = 0; // The queue's priority; later when the objective cannot be met any more.
    ms deadline = 0;
    uint64_t sequence = 0;
    auto operator<=>(const work_order&) const = default;
};

struct ticket {
    std::string value;
    ms until = 0;
};

struct step_run {
    job_run* job = nullptr;
    int64_t occurrence = 0;
    int number = 0;
    const step_spec* spec = nullptr;
    image_id image = 0;
    std::vector<task_run> tasks;
    int undone = 0;
    bool open = false; // All steps before it are done.
    bool queued = false;
    work_order order;
    std::vector<int> waiting; // Indices of tasks to be placed.
    uint32_t gangRun = 0;
    std::map<worker_id, ticket> tickets;
    bool adviceAsked = false;
    ms adviceAgainAt = 0;
    std::set<worker_id> adviceRefused;
    int fillerKind = -1; // Place among `fillerKinds`; below 0: not looked up yet.
    double speed = 1; // Of its tasks against the estimate, lately.
    std::unique_ptr<load_history> ownLoads; // Of serving tasks.
    load_wave wave;
    ms fittedAt = 0;

    task_ref ref(int index) const;
};

struct occurrence_run {
    int64_t number = 0;
    std::vector<step_run> steps;
    int stepsLeft = 0;
};

struct job_run {
    job_id id;
    job_record record;
    bool haveRecord = false;
    job_state state = job_state::queued;
    job_state durableState = job_state::queued;
    bool started = false; // A worker has confirmed the start of a task.
    bool dirty = false;
    ms acceptedAt = 0;
    ms finishedAt = 0;
    uint64_t sequence = 0;
    int64_t nextOccurrence = 0;
    std::map<int64_t, std::unique_ptr<occurrence_run>> live;
    std::shared_ptr<const std::string> payload;
    std::string restored; // Progress that came before the job's own record.

    bool over() const { return state >= job_state::completed; }
};

struct placement {
    step_run* step = nullptr;
    int index = 0;
    uint32_t run = 0;
};

constexpr int paceSteps = 6; // Half seconds over which the pace of a filler is expected.

// A serving task, as the last figures tell of it.
struct serving_figure {
    image_id image = 0;
    load_wave wave;
    double bias = 0;
    std::array<double, paceSteps> ownLoads {}; // To come, from the time of the figures.
};

// What fillers do to a serving task.
struct borne_strain {
    double free = 0; // Strain up to its limit, harmless fillers taken off.
    double wanted = 0; // Strain by those that disturb it, at full pace.
};

// A filler at work, with the strain that it puts on each of the worker's `serving` at full pace.
struct running_filler {
    placement at;
    task_copy* copy = nullptr;
    std::vector<double> strains;
    bool disturbs = false; // One of them more than is let pass.
};

// The fillers beside the serving tasks of a worker in the half second that its figures tell of.
struct sharing_figures {
    ms at = 0;
    ms before = 0; // Time of the figures before, where they are close enough to compare; else 0.
    std::vector<interference_model::image_share> beside;
    std::vector<interference_model::image_share> rises; // Since then, less what fades by itself.
};

struct worker_state {
    worker_record info;
    bool listed = false; // The platform lists it.
    bool adopted = false; // It has reported to this owner in its present life.
    size_t place = 0; // Among all, by id.
    std::vector<placement> placed;
    int doomed = 0; // Of those.
    resources booked; // Fillers book memory and accelerators only.
    int64_t fillerCpu = 0;
    int64_t servingCpu = 0; // Booked by lasting tasks, which use a part of it.
    int64_t quickCpu = 0; // Booked by all others.
    int quickTasks = 0;
    std::vector<serving_figure> serving; // As of the last sample.
    best_effort_history fillers;
    // For each of `serving`, and paces by kind of filler, below 0 where not known. Forgotten after a change
    // of what runs there.
    mutable std::vector<borne_strain> borne;
    mutable std::vector<float> expectedPaces;
    void forgetPaces()
    {
        borne.clear();
        expectedPaces.clear();
    }
    ms sampledAt = 0;
    ms figuresAt = 0; // Time of the newest figures that were used,
    std::vector<interference_model::image_share> beside; // and what ran then.
    ms overSince = 0; // Since when a serving task is over its target; 0: none is.
    double suitedShare = 0; // Of the demand of fillers, the part that would disturb nothing there.
    ms fillersChangedAt = 0;
    ms moveSoughtAt = 0; // When another worker for a filler was last looked for.

    uint32_t life = 0; // Lives that this owner has seen.
    ms lifeMetAt = 0;
    bool looking = false;
    ms lookAt = 0;
    ms answeredAt = 0;
    int failedLooks = 0;
    uint64_t reports = 0;
    size_t listedRuns = 0; // Of `placed`, in the last report.
    int unknownRuns = 0; // In the last report. What they take is not known, so nothing is placed beside them.
    uint64_t processed = 0; // Ends taken up, by number.
    uint64_t acknowledged = 0; // Ends whose records are durable.

    ms clockWorkerMs = 0; // As of clockAt.
    ms clockAt = 0;
    ms leaseUntilWorkerMs = 0; // The latest lease that may have been granted.

    int failuresInRow = 0; // Of different jobs.
    job_id failedJob; // The last whose task failed here.
    ms shunnedUntil = 0; // After failures.
    ms refusesUntil = 0; // After starts that it refused.
    ms shunMs = 0;
    ms drainedAt = 0;

    double speed = 1; // Of its tasks against others of their steps, lately.
    bool slow = false;

    ms workerNow(ms now) const { return clockWorkerMs + (now - clockAt); }
    resources room() const { return info.capacity - booked; }
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
    int on(const worker_state& worker) const
    {
        return static_cast<int>(std::count(workers.begin(), workers.end(), &worker));
    }
};

// Processors of one service, as of the placing pass under way.
struct service_room {
    short_task_reserve quick;
    int64_t spare = 0; // That quick work could use.
    int64_t capacity = 0;
    int64_t quickUsed = 0;
    int64_t quickWaiting = 0;
    int64_t quickTasks = 0; // Of both.
    ms toldAt = 0; // When the log last said that lasting work is held back.
    void clear() { spare = capacity = quickUsed = quickWaiting = quickTasks = 0; }
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
    interference_model pressure;
    // Images and sizes of fillers, in steps; those alike have one place, so that a pace is found without a
    // search.
    std::map<std::pair<image_id, int64_t>, int> fillerKinds;
    double swingPeriod = 0; // Of the own loads; 0: not known.
    double periodSeen = 0; // By the last search.
    bool periodIsSure = false; // The last two searches found the same.
    ms periodSoughtAt = 0;
    ms weighedAt = 0;
    ms speedsReviewedAt = 0;
    bool roomy = false; // Under half of the processors are spoken for.
    std::map<std::tuple<job_id, int64_t, int>, load_wave> earlierWaves; // Learnt by an earlier owner.

    std::unordered_map<job_id, std::unique_ptr<job_run>> jobs;
    worker_table<worker_state> workers;
    std::set<std::pair<work_order, step_run*>> ready;
    std::vector<job_run*> dirty;
    std::set<job_run*> timed; // Jobs with occurrences to come.
    std::deque<std::pair<ms, job_id>> finished; // Oldest first.
    std::map<std::string, service_room> rooms; // By service.
    ms placedAt = 0; // When work was last placed.
    ms orderedAt = 0; // When the order of work was last computed.
    std::vector<placement> planned; // Waiting for the next write.
    std::vector<placement> writing; // Waiting for the write under way.
    std::vector<job_run*> writingJobs;
    std::vector<std::pair<worker_state*, uint64_t>> writingEnds;
    std::vector<job_id> toDrop;
    std::vector<job_run*> retiring; // Over and durable; their runs may still have to end.
    std::vector<action> actions;
    bool writeUnderWay = false;
    bool begun = false;
    bool mayGrant = false;
    bool fenced = false;
    bool placeNeeded = false;
    ms beganAt = 0;
    ms now = 0;
    uint32_t leastLife = 0; // Of workers that are met anew.
    int64_t unixOffset = 0; // Time of day less `now`.
    uint64_t nextSequence = 0;

    // An order to the worker's present life was refused for its token: somebody else owns the cell.
    void noteFenced(const worker_state& worker, uint32_t life) { fenced |= life == worker.life; }
    bool has(cell_fault fault) const { return settings.fault == fault; }

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
    work_order orderOf(const step_run&) const;
    void markDone(step_run&, int index);
    void finishStep(step_run&);
    void finishJob(job_run&, job_state);
    void touch(job_run&);
    step_run* findStep(const task_ref&);

    // cell_progress.cpp
    static task_copy* findCopy(const placement&);
    std::string encodeProgress(const job_run&) const;
    void applyProgress(job_run&, std::string_view bytes);
    std::optional<write_batch> takeWrite();
    void onWritten();
    void startWritten();
    bool startable(const placement&) const;
    void retire();

    // cell_workers.cpp
    worker_state& workerNamed(const worker_id&);
    void setWorker(const worker_record&);
    void removeWorker(const worker_id&);
    void onReport(worker_state&, const worker_report&, ms sentAt);
    void noteRunning(worker_state&, const running_task&);
    void noteAbsent(worker_state&, ms sentAt);
    void lookAtWorkers();
    void lookAt(worker_state&);
    void stopAgain(worker_state&);
    void meetNewLife(worker_state&);
    void loseAll(worker_state&, std::string_view why);
    bool leaseSurelyOver(const worker_state&) const;
    void dropUnlisted();
    void emptyDraining();

    // cell_runs.cpp
    void takeEnd(worker_state&, const task_completion&);
    resources bookingOf(const step_spec&) const;
    task_copy& place(step_run&, int index, worker_state&, uint32_t run);
    void removeCopy(step_run&, int index, worker_state&, uint32_t run);
    // Ends a copy that must not go on; the task is free again once the worker says so.
    void doom(step_run&, int index, task_copy&, std::string_view why);
    // A gang that has lost a member ends as a whole, and is then placed anew.
    void breakGang(step_run&, std::string_view why);
    void noteStarted(job_run&);
    void sendStop(step_run&, int index, task_copy&);

    // cell_placing.cpp
    void placeWaiting();
    bool placeStep(step_run&);
    bool placeGang(step_run&);
    struct task_group {
        int patience = 0;
        const worker_state* failedOn = nullptr;
        bool operator==(const task_group&) const = default;
    };
    class candidates;
    task_group groupOf(const step_run&, const task_run&) const;
    std::optional<double> rate(
        const step_run&, const task_run&, const queue_policy&, const worker_state&, int members) const;
    // `beside`: the members of its gang that have been planned before it.
    worker_state* chooseMember(
        const step_run&, const task_run&, const std::string* rack, const gang_plan& beside);
    std::optional<gang_plan> planGang(step_run&, const std::string* rack);
    void commit(step_run&, int index, worker_state&, uint32_t run);
    bool usable(const worker_state&) const;
    bool usableFor(const worker_state&, const step_run&, const task_run&) const;
    bool allowed(const step_run&, const queue_policy&, const worker_state&, int members) const;
    double scoreOf(const step_run&, const task_run&, const worker_state&) const;
    bool fillerFits(const worker_state&, const step_run&, ms waited) const;
    static bool hasLeftOver(const worker_state&, const step_spec&);
    static int64_t leftForFillers(const worker_state&);
    void askAdvice(step_run&);

    // cell_speed.cpp
    void noteProgress(worker_state&, step_run&, task_copy&, int percent);
    bool endsSoonerElsewhere(const step_run&, const task_copy&) const;
    void reviewSpeeds();

    // cell_rooms.cpp
    void weighRooms();
    // Whether the task may take room that quick work is about to need.
    bool mayTakeRoom(const step_run&, const task_run&, const queue_policy&);

    // cell_learnt.cpp
    void takeEarlierWave(step_run&);

    // cell_sharing.cpp
    void share();
    bool settled(const task_copy& serving) const;
    void sample(worker_state&);
    void noteTail(step_run&, task_copy&, double ratio, const sharing_figures&);
    void findPeriod();
    void weighWorkers();
    double ownLoad(const serving_figure&, ms ahead, double biasKept) const;
    void weighBorne(const worker_state&) const;
    double expectedPace(const worker_state&, const step_run& filler) const;
    int kindOf(step_run&);
    // `free`: strain that the serving task that is worst off can still bear, for the log.
    void setPace(worker_state&, const placement&, task_copy&, int percent, double free);
    bool overByFillers(const worker_state&) const;
    void pauseFillers(worker_state&);
    std::vector<running_filler> fillersOn(worker_state&) const;
    std::vector<double> freeStrains(const worker_state&) const;
    void paceFillers(worker_state&);
    static int bearablePace(const running_filler&, const std::vector<double>& free);
    void evictHeldBack(worker_state&, const std::vector<running_filler>&);
    bool movesWell(const worker_state&, const step_run&) const;
};

} // namespace camphorwell
