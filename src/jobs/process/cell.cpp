// Jobs in a cell: acceptance, cancelling, steps that open, terminal states, and what callers are told.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int rankHopeless = 100; // Added when a job can earn nothing any more.
    constexpr int rankLate = 50; // Added when a job's objective is missed, but a late answer still helps.
    constexpr ms lastingAfterMs = 3'600'000; // Later than any objective of quick work.
    // A lasting task that was at work is due so long after its last run, which leaves 3 s of the 9 s that it
    // may be away for a worker to get room.
    constexpr ms restartDueMs = 6'000;
    constexpr ms occurrenceSlackMs = 20; // Clocks differ by a few milliseconds between instances.

    // The longest chain of estimates from the start of the job to the end of each step.
    ms chainMs(const job_spec& spec)
    {
        std::vector<ms> end(spec.steps.size());
        ms longest = 0;
        for (size_t i = 0; i < spec.steps.size(); i++) {
            ms before = 0;
            for (int each : spec.steps[i].dependsOn)
                before = std::max(before, end[static_cast<size_t>(each)]);
            end[i] = before + (spec.steps[i].isService ? 0 : spec.steps[i].estimateMs);
            longest = std::max(longest, end[i]);
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

void cell::setQueues(std::shared_ptr<const queue_table> queues)
{
    m_model->queues = std::move(queues);
    m_model->placeNeeded = true;
}

void cell::setSettings(const cell_settings& settings) { m_model->settings = settings; }
void cell::setMayGrant(bool may) { m_model->mayGrant = may; }
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
    for (auto& [id, job] : m_model->jobs) {
        if (!job->haveRecord && !job->over())
            m_model->log(log_line("progress_without_job").add("job", id));
    }
    m_model->placeNeeded = true;
}

void cell::tick(ms now, int64_t unixMs)
{
    cell_model& m = *m_model;
    setClock(now, unixMs);
    std::vector<job_run*> due(m.timed.begin(), m.timed.end());
    for (job_run* job : due)
        m.openDueOccurrences(*job);
    m.lookAtWorkers();
    m.emptyDraining();
    m.reviewSpeeds();
    m.share();
    if (m.placeNeeded || !m.ready.empty())
        m.placeWaiting();
    while (!m.finished.empty() && m.finished.front().first + m.settings.keepMs < now) {
        m.toDrop.push_back(m.finished.front().second);
        m.finished.pop_front();
    }
}

void cell::react(ms now)
{
    m_model->now = now;
    if (m_model->placeNeeded)
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
    if (found == m_model->jobs.end())
        return std::nullopt;
    const job_run& job = *found->second;
    // An end that is not durable yet could be undone by the loss of this instance and the worker.
    if (job.over())
        return job.durableState >= job_state::completed ? job.durableState : job_state::running;
    return job.started ? job_state::running : job_state::queued;
}

int64_t cell::pending(const std::string& queue) const
{
    int64_t count = 0;
    for (const auto& [id, job] : m_model->jobs)
        count += job->haveRecord && !job->started && !job->over() && job->record.queue == queue;
    return count;
}

cell::figures cell::count() const
{
    figures out;
    out.jobs = static_cast<int64_t>(m_model->jobs.size());
    out.pairSearches = m_model->pressure.lookups();
    for (const worker_state* worker : m_model->workers.all()) {
        out.workers++;
        out.reachable += worker->adopted;
        out.cpuBooked += worker->booked.cpuMilli;
        out.cpuTotal += worker->info.capacity.cpuMilli;
        out.cpuFillers += worker->fillerCpu;
        out.runningTasks += static_cast<int64_t>(worker->placed.size());
    }
    for (const auto& [order, step] : m_model->ready)
        out.waitingTasks += static_cast<int64_t>(step->waiting.size());
    return out;
}

const queue_policy* cell_model::policyOf(const job_run& job) const
{
    auto found = queues->find(job.record.queue);
    return found == queues->end() ? nullptr : &found->second;
}

void cell_model::touch(job_run& job)
{
    if (job.dirty)
        return;
    job.dirty = true;
    dirty.push_back(&job);
}

step_run* cell_model::findStep(const task_ref& task)
{
    auto found = jobs.find(task.job);
    if (found == jobs.end())
        return nullptr;
    auto live = found->second->live.find(task.occurrence);
    if (live == found->second->live.end())
        return nullptr;
    auto& steps = live->second->steps;
    if (task.step < 0 || task.step >= static_cast<int>(steps.size()))
        return nullptr;
    step_run& step = steps[static_cast<size_t>(task.step)];
    return task.index >= 0 && task.index < static_cast<int>(step.tasks.size()) ? &step : nullptr;
}

void cell_model::addJob(const job_id& id, const job_record& record)
{
    auto& held = jobs[id];
    if (!held) {
        held = std::make_unique<job_run>();
        held->id = id;
    }
    job_run& job = *held;
    if (job.haveRecord || job.over())
        return;
    job.haveRecord = true;
    job.record = record;
    job.sequence = nextSequence++;
    job.payload = std::make_shared<const std::string>(job.record.spec.payload);
    job.record.spec.payload.clear();
    job.acceptedAt = record.acceptedUnixMs - unixOffset;
    if (!job.restored.empty()) {
        std::string bytes = std::move(job.restored);
        job.restored.clear();
        applyProgress(job, bytes);
    }
    if (begun)
        log(log_line("job_taken")
                .add("id", id)
                .add("queue", record.queue)
                .add("age_ms", now - job.acceptedAt));
    if (!job.over()) {
        if (record.spec.repeatCount > 0)
            timed.insert(&job);
        else if (job.nextOccurrence == 0)
            openOccurrence(job, 0);
        for (auto& [number, live] : job.live)
            openReadySteps(*live);
        if (record.spec.repeatCount > 0)
            openDueOccurrences(job);
    }
    placeNeeded = true;
}

void cell_model::cancel(const job_id& id)
{
    auto& held = jobs[id];
    if (!held) {
        held = std::make_unique<job_run>();
        held->id = id;
    }
    if (held->over() || has(cell_fault::deaf_to_cancels))
        return;
    log(log_line("job_cancelled").add("id", id));
    finishJob(*held, job_state::cancelled);
}

occurrence_run& cell_model::openOccurrence(job_run& job, int64_t number)
{
    auto& held = job.live[number];
    if (held)
        return *held;
    held = std::make_unique<occurrence_run>();
    held->number = number;
    held->steps.resize(job.record.spec.steps.size());
    held->stepsLeft = static_cast<int>(held->steps.size());
    for (size_t i = 0; i < held->steps.size(); i++) {
        step_run& step = held->steps[i];
        step.job = &job;
        step.occurrence = number;
        step.number = static_cast<int>(i);
        step.spec = &job.record.spec.steps[i];
        step.image = pressure.internImage(step.spec->image);
        step.tasks.resize(static_cast<size_t>(step.spec->count));
        step.undone = step.spec->count;
        takeEarlierWave(step);
    }
    job.nextOccurrence = std::max(job.nextOccurrence, number + 1);
    return *held;
}

void cell_model::openDueOccurrences(job_run& job)
{
    const job_spec& spec = job.record.spec;
    while (!job.over() && job.nextOccurrence < spec.repeatCount) {
        int64_t due = spec.startAtUnixMs + job.nextOccurrence * spec.intervalMs;
        if (now + unixOffset < due + occurrenceSlackMs - (has(cell_fault::early_occurrences) ? 1000 : 0))
            return;
        touch(job);
        openReadySteps(openOccurrence(job, job.nextOccurrence));
    }
    timed.erase(&job);
}

void cell_model::openReadySteps(occurrence_run& live)
{
    for (step_run& step : live.steps) {
        if (step.undone == 0)
            step.open = true; // Done under an earlier owner; its record must go on telling so.
        if (step.open)
            continue;
        const auto& before = step.spec->dependsOn;
        step.open = has(cell_fault::ignore_order) || std::all_of(before.begin(), before.end(), [&](int each) {
            return live.steps[static_cast<size_t>(each)].undone == 0;
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
    if (task.done || task.waiting || !task.copies.empty() || step.job->over() || !step.open)
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
    step.order = orderOf(step);
    ready.insert({ step.order, &step });
    placeNeeded = true;
}

void cell_model::unqueue(step_run& step)
{
    if (!step.queued)
        return;
    step.queued = false;
    ready.erase({ step.order, &step });
}

work_order cell_model::orderOf(const step_run& step) const
{
    const job_run& job = *step.job;
    const queue_policy* policy = policyOf(job);
    work_order out;
    out.sequence = job.sequence;
    if (!policy)
        return out;
    out.rank = policy->priority;
    if (step.spec->isService) {
        // It fills what the quick work of its priority leaves: a short task gives its room back at once, and
        // serves its caller more for each core-second. But what its users have already is not kept from them.
        out.deadline = job.acceptedAt + lastingAfterMs;
        for (int index : step.waiting) {
            const task_run& task = step.tasks[static_cast<size_t>(index)];
            if (task.lastRun > 0)
                out.deadline = std::min(out.deadline, task.waitingSince + restartDueMs);
        }
        return out;
    }
    ms due = job.acceptedAt;
    if (job.record.spec.repeatCount > 0)
        due = job.record.spec.startAtUnixMs + step.occurrence * job.record.spec.intervalMs - unixOffset;
    ms objective = static_cast<ms>(policy->targetStretch * static_cast<double>(chainMs(job.record.spec)))
        + policy->targetLatencyMs;
    out.deadline = due + objective;
    if (now > due + 3 * objective)
        out.rank += rankHopeless;
    else if (now > out.deadline)
        out.rank += rankLate;
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
    for (task_copy& each : task.copies)
        doom(step, index, each, "done_elsewhere");
    touch(*step.job);
    if (--step.undone == 0)
        finishStep(step);
}

void cell_model::finishStep(step_run& step)
{
    job_run& job = *step.job;
    auto found = job.live.find(step.occurrence);
    if (found == job.live.end() || job.over())
        return;
    occurrence_run& live = *found->second;
    if (--live.stepsLeft > 0) {
        openReadySteps(live);
        return;
    }
    bool last = job.record.spec.repeatCount == 0 || job.nextOccurrence >= job.record.spec.repeatCount;
    bool others = std::any_of(
        job.live.begin(), job.live.end(), [](const auto& each) { return each.second->stepsLeft > 0; });
    if (last && !others)
        finishJob(job, job_state::completed);
}

void cell_model::finishJob(job_run& job, job_state state)
{
    job.state = state;
    job.finishedAt = now;
    timed.erase(&job);
    finished.emplace_back(now, job.id);
    log(log_line("job_over")
            .add("id", job.id)
            .add("state", toString(state))
            .add("age_ms", now - job.acceptedAt));
    for (auto& [number, live] : job.live) {
        for (step_run& step : live->steps) {
            unqueue(step);
            for (int index : step.waiting)
                step.tasks[static_cast<size_t>(index)].waiting = false;
            step.waiting.clear();
            for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
                for (task_copy& each : step.tasks[static_cast<size_t>(i)].copies)
                    doom(step, i, each, "job_over");
            }
        }
    }
    touch(job);
}

} // namespace camphorwell
