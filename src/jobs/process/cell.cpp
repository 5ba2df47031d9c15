// Jobs of a cell: acceptance, cancellation, step dependencies, terminal states, and the state shown to
// callers.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <utility>

namespace camphorwell {

namespace {

    // Rank offset of jobs past three times their objective, whose results have no value left.
    constexpr int worthlessRankOffset = 100;
    // Rank offset of jobs past their objective, whose late results still have value.
    constexpr int lateRankOffset = 50;
    constexpr ms serviceDeadlineMs = 3'600'000; // A deadline after any objective of short tasks.
    // Deadline of a service task to be placed again that was not moved, from its last run on. It may be away
    // for 9 s, which leaves 3 s for capacity to become free.
    constexpr ms serviceRestartDeadlineMs = 6'000;
    constexpr ms maxReadIntervalMs = 5'000; // Between two reads of the job log; longer is an outage.
    constexpr ms clockSlackMs = 20; // Clocks of instances differ by a few milliseconds.
    // Maximum number of tasks in the unfinished occurrences of one job; later occurrences wait.
    constexpr int64_t maxOccurrenceTasks = 10'000;

    // The critical path of the job: the largest sum of estimates along a chain of dependent steps.
    ms criticalPathMs(const job_spec& spec)
    {
        std::vector<ms> ends(spec.steps.size());
        ms longest = 0;
        for (size_t i = 0; i < spec.steps.size(); i++) {
            ms start = 0;
            for (int dependency : spec.steps[i].dependsOn)
                start = std::max(start, ends[static_cast<size_t>(dependency)]);
            ends[i] = start + (spec.steps[i].isService ? 0 : spec.steps[i].estimateMs);
            longest = std::max(longest, ends[i]);
        }
        return longest;
    }

} // namespace

task_ref step_run::ref(int index) const { return { job->id, occurrence, number, index }; }

cell::cell(cell_settings settings, std::shared_ptr<const queue_table> queues, decision_log log)
    : m_model(std::make_unique<cell_model>(settings, std::move(queues), std::move(log)))
{
}

cell::~cell() = default;

void cell::addJob(const job_id& id, const job_record& record) { m_model->addJob(id, record); }
void cell::cancel(const job_id& id) { m_model->cancel(id); }

void cell::addUnreadableRecord(const job_id& id)
{
    auto found = m_model->jobs.find(id);
    if (found != m_model->jobs.end())
        m_model->noteSubmission(*found->second);
}

void cell::setJobLogReadUpTo(ms readUpTo) { m_model->setJobLogReadUpTo(readUpTo); }

void cell::onJobRecordsDeleted(const forget_job_action& deleted, ms now)
{
    m_model->now = now;
    auto found = m_model->jobs.find(deleted.job);
    if (found == m_model->jobs.end())
        return;
    job_run& job = *found->second;
    job.recordsDeleted = deleted.recordsRead;
    m_model->retain(job);
}

void cell::setQueues(std::shared_ptr<const queue_table> queues)
{
    m_model->queues = std::move(queues);
    m_model->applyAdvicePolicies();
    m_model->placingNeeded = true;
    for (auto& [id, job] : m_model->jobs)
        m_model->failIfAttemptsExhausted(*job);
}

void cell::setSettings(const cell_settings& settings) { m_model->settings = settings; }
void cell::setEarlierLeases(const earlier_leases& leases) { m_model->earlierLeases = leases; }
void cell::setTakeovers(uint64_t token, std::vector<cell_takeover> earlier)
{
    m_model->token = token;
    m_model->takeovers = std::move(earlier);
}

void cell::setRenewedAt(ms sentAt) { m_model->renewedAt = sentAt; }
std::optional<ms> cell::majorityReportedAt() const
{
    ms reportedAt = m_model->majorityReportedAt;
    return reportedAt == 0 ? std::nullopt : std::optional(reportedAt);
}

bool cell::fenced() const { return m_model->fenced; }

void cell::setClock(ms now, int64_t unixMs)
{
    m_model->now = now;
    m_model->unixOffset = unixMs - now;
}

void cell::begin(ms now, int64_t unixMs)
{
    setClock(now, unixMs);
    m_model->begun = true;
    m_model->beganAt = now;
    m_model->applyAdvicePolicies();
    for (auto& [id, job] : m_model->jobs) {
        if (!job->hasRecord && !job->isOver())
            m_model->log(log_line("progress_without_job").add("job", id));
        if (job->hasRecord && !job->isOver() && !job->hasProgress)
            m_model->log(log_line("job_without_progress").add("id", id).add("age_ms", now - job->acceptedAt));
    }
    m_model->dropUnusedParts();
    m_model->endAttemptsOfEarlierIncarnations();
    m_model->noteUnreachedWorkers();
    m_model->placingNeeded = true;
}

void cell::tick(ms now, int64_t unixMs)
{
    cell_model& m = *m_model;
    setClock(now, unixMs);
    std::vector<job_run*> due(m.periodicJobs.begin(), m.periodicJobs.end());
    for (job_run* job : due)
        m.openDueOccurrences(*job);
    m.pollWorkers();
    m.emptyDrainingWorkers();
    m.reviewSpeeds();
    m.updateSharing();
    m.consolidate();
    m.reviewAdviceCall();
    if (m.placingNeeded || !m.readySteps.empty())
        m.placeWaiting();
    m.logLongestWait();
    m.dropOldJobs();
}

void cell::placePending(ms now)
{
    m_model->now = now;
    if (m_model->placingNeeded)
        m_model->placeWaiting();
}

std::vector<action> cell::takeActions()
{
    std::vector<action> out;
    out.swap(m_model->actions);
    return out;
}

std::optional<job_state> cell::stateOf(const job_id& id) const
{
    auto found = m_model->jobs.find(id);
    if (found == m_model->jobs.end() || !found->second->submitted)
        return std::nullopt;
    const job_run& job = *found->second;
    // A terminal state that is not durable yet is lost if this instance and the worker fail.
    if (job.isOver())
        return job.durableState >= job_state::completed ? job.durableState : job_state::running;
    return job.started ? job_state::running : job_state::queued;
}

int64_t cell::pending(const std::string& queue) const
{
    int64_t count = 0;
    for (const auto& [id, job] : m_model->jobs)
        count += job->hasRecord && !job->started && !job->isOver() && job->record.queue == queue;
    return count;
}

cell::statistics cell::collectStatistics() const
{
    statistics out;
    out.jobs = static_cast<int64_t>(m_model->jobs.size());
    out.interferenceLookups = m_model->interferenceModel.lookups();
    for (const worker_state* worker : m_model->workers.all()) {
        out.workers++;
        out.reachable += worker->hasReported;
        out.cpuReserved += worker->reserved.cpuMilli;
        out.cpuTotal += worker->info.capacity.cpuMilli;
        out.cpuBestEffort += worker->bestEffortCpu;
        out.cpuShortTasks += worker->shortTaskCpu;
        if (m_model->usable(*worker))
            out.largestFreeCpu = std::max(out.largestFreeCpu, worker->freeCapacity().cpuMilli);
        out.runningTasks += static_cast<int64_t>(worker->placements.size());
    }
    for (const auto& [key, step] : m_model->readySteps) {
        out.waitingTasks += static_cast<int64_t>(step->waiting.size());
        if (!step->spec->isService)
            continue;
        for (int index : step->waiting) {
            const task_run& task = step->tasks[static_cast<size_t>(index)];
            if (task.lastAttempt == 0)
                continue;
            out.displacedTasks++;
            out.longestDisplacedMs = std::max(out.longestDisplacedMs, m_model->now - task.waitingSince);
        }
    }
    return out;
}

const queue_policy* cell_model::policyOf(const job_run& job) const
{
    auto found = queues->find(job.record.queue);
    return found == queues->end() ? nullptr : &found->second;
}

void cell_model::markDirty(job_run& job)
{
    if (job.dirty)
        return;
    job.dirty = true;
    dirty.push_back(&job);
}

// Counts a record of the job in the job log. One that is read after the job's end is deleted as well.
void cell_model::countRecord(job_run& job)
{
    if (job.isDurablyOver() && hasFault(cell_fault::keep_repeated_records))
        return;
    job.recordsRead++;
    if (job.isDurablyOver())
        requestDeletion(job);
}

// A cancel that is read before the submission of its job is kept, but shows no job. The record of the end is
// written again with the submission, so that later leaders show the job.
void cell_model::noteSubmission(job_run& job)
{
    countRecord(job);
    if (!std::exchange(job.submitted, true) && job.isOver())
        markDirty(job);
}

void cell_model::requestDeletion(job_run& job)
{
    if (job.recordsRead == job.recordsDeleted || job.progressUnreadable)
        return;
    actions.push_back(forget_job_action { job.id, job.recordsRead });
    if (hasFault(cell_fault::forget_unconfirmed))
        job.recordsDeleted = job.recordsRead;
}

bool cell_model::recordsRemain(const job_run& job) const
{
    return job.recordsRead != job.recordsDeleted && !hasFault(cell_fault::forget_by_clock);
}

// Starts the retention of a durably finished job once no record of it remains in the job log. A new leader
// would run a job of which it finds a record but no progress.
void cell_model::retain(job_run& job)
{
    if (!job.isDurablyOver() || recordsRemain(job))
        return;
    job.retainedSince = now - unreadMs;
    finishedJobs.emplace_back(job.retainedSince, job.id);
}

// The retention is measured by what has been read of the job log, so that a repeated submission that was
// appended during the retention is still recognised.
bool cell_model::isPastRetention(ms retainedSince) const
{
    bool ignoresLog = hasFault(cell_fault::forget_by_clock) || hasFault(cell_fault::forget_unread);
    return retainedSince + settings.finishedRetentionMs < (ignoresLog ? now : jobLogReadUpTo) - unreadMs;
}

bool cell_model::retentionIsOver(const job_run& job) const
{
    return !recordsRemain(job) && isPastRetention(job.retainedSince);
}

// Time in which the job log could not be read does not count towards the retention: callers repeat after an
// outage of the store what they sent before.
void cell_model::setJobLogReadUpTo(ms readUpTo)
{
    if (jobLogReadUpTo != 0)
        unreadMs += std::max<ms>(0, readUpTo - jobLogReadUpTo - maxReadIntervalMs);
    jobLogReadUpTo = readUpTo;
}

void cell_model::dropOldJobs()
{
    while (!finishedJobs.empty() && isPastRetention(finishedJobs.front().first)) {
        jobsToDrop.push_back(finishedJobs.front().second);
        finishedJobs.pop_front();
    }
}

step_run* cell_model::findStep(const task_ref& task)
{
    auto found = jobs.find(task.job);
    if (found == jobs.end())
        return nullptr;
    auto occurrence = found->second->liveOccurrences.find(task.occurrence);
    if (occurrence == found->second->liveOccurrences.end())
        return nullptr;
    auto& steps = occurrence->second->steps;
    if (task.step < 0 || task.step >= static_cast<int>(steps.size()))
        return nullptr;
    step_run& step = steps[static_cast<size_t>(task.step)];
    return task.index >= 0 && task.index < static_cast<int>(step.tasks.size()) ? &step : nullptr;
}

void cell_model::addJob(const job_id& id, const job_record& record)
{
    auto& slot = jobs[id];
    if (!slot) {
        slot = std::make_unique<job_run>();
        slot->id = id;
    }
    job_run& job = *slot;
    noteSubmission(job);
    if (job.isOver())
        log.rateLimited(
            [&] { return log_line("record_of_ended_job").add("id", id).add("state", toString(job.state)); });
    if (job.hasRecord || job.isOver())
        return;
    job.hasRecord = true;
    job.record = record;
    job.sequence = nextSequence++;
    job.payload = std::make_shared<const std::string>(job.record.spec.payload);
    job.record.spec.payload.clear();
    job.acceptedAt = record.acceptedUnixMs - unixOffset;
    if (!job.unappliedProgress.empty()) {
        std::string bytes = std::move(job.unappliedProgress);
        job.unappliedProgress.clear();
        applyProgress(job, bytes);
        failIfAttemptsExhausted(job);
    }
    if (begun)
        log(log_line("job_taken")
                .add("id", id)
                .add("queue", record.queue)
                .add("age_ms", now - job.acceptedAt));
    if (!job.isOver()) {
        if (record.spec.repeatCount > 0)
            periodicJobs.insert(&job);
        else if (job.nextOccurrence == 0)
            openOccurrence(job, 0);
        for (auto& [number, occurrence] : job.liveOccurrences)
            openReadySteps(*occurrence);
        if (record.spec.repeatCount > 0)
            openDueOccurrences(job);
    }
    placingNeeded = true;
}

void cell_model::cancel(const job_id& id)
{
    auto& slot = jobs[id];
    if (!slot) {
        slot = std::make_unique<job_run>();
        slot->id = id;
    }
    countRecord(*slot);
    if (slot->isOver() || hasFault(cell_fault::ignore_cancels))
        return;
    log(log_line("job_cancelled").add("id", id).add("submitted", slot->submitted ? 1 : 0));
    finishJob(*slot, job_state::cancelled);
}

occurrence_run& cell_model::openOccurrence(job_run& job, int64_t number)
{
    auto& slot = job.liveOccurrences[number];
    if (slot)
        return *slot;
    slot = std::make_unique<occurrence_run>();
    slot->number = number;
    slot->steps.resize(job.record.spec.steps.size());
    slot->remainingSteps = static_cast<int>(slot->steps.size());
    for (size_t i = 0; i < slot->steps.size(); i++) {
        step_run& step = slot->steps[i];
        step.job = &job;
        step.occurrence = number;
        step.number = static_cast<int>(i);
        step.spec = &job.record.spec.steps[i];
        step.image = interferenceModel.internImage(step.spec->image);
        if (step.spec->isBestEffort)
            step.bestEffortClass = bestEffortClassOf(step);
        step.tasks.resize(static_cast<size_t>(step.spec->count));
        step.remainingTasks = step.spec->count;
        restoreWave(step);
    }
    job.nextOccurrence = std::max(job.nextOccurrence, number + 1);
    return *slot;
}

// How many more occurrences of the job may be opened beside the unfinished ones.
int64_t cell_model::occurrenceCapacity(const job_run& job)
{
    int64_t tasks = 0;
    for (const step_spec& step : job.record.spec.steps)
        tasks += step.count;
    auto unfinished = std::count_if(job.liveOccurrences.begin(), job.liveOccurrences.end(),
        [](const auto& entry) { return entry.second->remainingSteps > 0; });
    return std::max<int64_t>(1, maxOccurrenceTasks / std::max<int64_t>(1, tasks)) - unfinished;
}

void cell_model::openDueOccurrences(job_run& job)
{
    const job_spec& spec = job.record.spec;
    auto isDue = [&] {
        int64_t due = spec.startAtUnixMs + job.nextOccurrence * spec.intervalMs;
        return job.nextOccurrence < spec.repeatCount
            && now + unixOffset >= due + clockSlackMs - (hasFault(cell_fault::early_occurrences) ? 1000 : 0);
    };
    if (!job.isOver() && isDue()) {
        for (int64_t left = occurrenceCapacity(job); left > 0 && isDue(); left--) {
            markDirty(job);
            openReadySteps(openOccurrence(job, job.nextOccurrence));
        }
    }
    if (job.isOver() || job.nextOccurrence >= spec.repeatCount)
        periodicJobs.erase(&job);
}

void cell_model::openReadySteps(occurrence_run& occurrence)
{
    for (step_run& step : occurrence.steps) {
        if (step.remainingTasks == 0)
            step.open = true; // Done under an earlier leader; its progress record must keep the step.
        if (step.open)
            continue;
        const auto& dependencies = step.spec->dependsOn;
        step.open = hasFault(cell_fault::ignore_order)
            || std::all_of(dependencies.begin(), dependencies.end(), [&](int dependency) {
                   return occurrence.steps[static_cast<size_t>(dependency)].remainingTasks == 0;
               });
        if (!step.open)
            continue;
        for (int i = 0; i < step.spec->count; i++)
            requeue(step, i);
    }
}

void cell_model::requeue(step_run& step, int index)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    if (task.done || task.waiting || !task.attempts.empty() || step.job->isOver() || !step.open)
        return;
    task.waiting = true;
    task.waitingSince = now;
    step.waiting.push_back(index);
    enqueue(step);
}

void cell_model::enqueue(step_run& step)
{
    if (step.queued)
        return;
    step.queued = true;
    step.dispatchKey = dispatchKeyOf(step);
    readySteps.insert({ step.dispatchKey, &step });
    placingNeeded = true;
}

void cell_model::unqueue(step_run& step)
{
    if (!step.queued)
        return;
    step.queued = false;
    readySteps.erase({ step.dispatchKey, &step });
}

dispatch_key cell_model::dispatchKeyOf(const step_run& step) const
{
    const job_run& job = *step.job;
    const queue_policy* policy = policyOf(job);
    dispatch_key out;
    out.sequence = job.sequence;
    if (!policy)
        return out;
    out.rank = policy->priority;
    if (step.spec->isService) {
        // Short tasks of the same priority go first: they release their capacity soon and are worth more for
        // each core-second. A service task that ran before gets an early deadline, since its users
        // already rely on it.
        out.deadline = job.acceptedAt + serviceDeadlineMs;
        for (int index : step.waiting) {
            const task_run& task = step.tasks[static_cast<size_t>(index)];
            if (task.lastAttempt > 0)
                out.deadline
                    = std::min(out.deadline, task.lastRanAt + (task.moving ? 0 : serviceRestartDeadlineMs));
        }
        return out;
    }
    ms due = job.acceptedAt;
    if (job.record.spec.repeatCount > 0)
        due = job.record.spec.startAtUnixMs + step.occurrence * job.record.spec.intervalMs - unixOffset;
    ms objective
        = static_cast<ms>(policy->targetStretch * static_cast<double>(criticalPathMs(job.record.spec)))
        + policy->targetLatencyMs;
    out.deadline = due + objective;
    if (now > due + 3 * objective)
        out.rank += worthlessRankOffset;
    else if (now > out.deadline)
        out.rank += lateRankOffset;
    return out;
}

void cell_model::markDone(step_run& step, int index)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    if (task.done)
        return;
    task.done = true;
    task.checkpoint.clear();
    if (task.waiting) {
        task.waiting = false;
        std::erase(step.waiting, index);
        if (step.waiting.empty())
            unqueue(step);
    }
    for (task_attempt& attempt : task.attempts)
        stopAttempt(step, index, attempt, "done_elsewhere");
    markDirty(*step.job);
    if (--step.remainingTasks == 0)
        finishStep(step);
}

void cell_model::finishStep(step_run& step)
{
    job_run& job = *step.job;
    auto found = job.liveOccurrences.find(step.occurrence);
    if (found == job.liveOccurrences.end() || job.isOver())
        return;
    occurrence_run& occurrence = *found->second;
    if (--occurrence.remainingSteps > 0) {
        openReadySteps(occurrence);
        return;
    }
    bool lastOpened = job.record.spec.repeatCount == 0 || job.nextOccurrence >= job.record.spec.repeatCount;
    bool othersUnfinished = std::any_of(job.liveOccurrences.begin(), job.liveOccurrences.end(),
        [](const auto& entry) { return entry.second->remainingSteps > 0; });
    if (lastOpened && !othersUnfinished)
        finishJob(job, job_state::completed);
}

void cell_model::finishJob(job_run& job, job_state state)
{
    job.state = state;
    job.finishedAt = now;
    periodicJobs.erase(&job);
    log(log_line("job_over")
            .add("id", job.id)
            .add("state", toString(state))
            .add("age_ms", job.hasRecord ? now - job.acceptedAt : -1));
    for (auto& [number, occurrence] : job.liveOccurrences) {
        for (step_run& step : occurrence->steps) {
            unqueue(step);
            for (int index : step.waiting)
                step.tasks[static_cast<size_t>(index)].waiting = false;
            step.waiting.clear();
            for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
                for (task_attempt& attempt : step.tasks[static_cast<size_t>(i)].attempts)
                    stopAttempt(step, i, attempt, "job_over");
            }
        }
    }
    markDirty(job);
}

} // namespace camphorwell
