// The runs of tasks on workers: their room, their ends, what workers answer to starts and stops.
//
// A run is booked when it is planned and its room is free again only when it is surely over. A run that was
// ordered without an answer is stopped, which also forbids a late start. A gang that loses one run ends the
// others. Failures of three jobs in a row shun the worker for a while. Answers the load of workers that
// refuse, fail or leave orders unanswered.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int failuresToShun = 3; // Failed tasks in a row.
    constexpr ms shunMs = 3000; // Doubled each time, up to eight times.
    constexpr ms retryPauseMs = 100; // Before a failed task is started again.

    placement* findPlacement(worker_state& worker, const step_run& step, int index, uint32_t run)
    {
        for (placement& each : worker.placed) {
            if (each.step == &step && each.index == index && each.run == run)
                return &each;
        }
        return nullptr;
    }

} // namespace

void cell_model::takeEnd(worker_state& worker, const task_completion& end)
{
    step_run* step = findStep(end.task);
    if (!step)
        return; // Of a job that is over and dropped.
    task_run& task = step->tasks[static_cast<size_t>(end.task.index)];
    task_copy* copy = findCopy({ step, end.task.index, end.attempt });
    bool known = copy && copy->on == &worker;
    log.rateLimited([&] {
        return log_line("task_end")
            .add("task", end.task.str())
            .add("run", end.attempt)
            .add("worker", worker.info.id)
            .add("how", toString(end.kind))
            .add("known", known ? 1 : 0);
    });
    job_run& job = *step->job;
    if (known) {
        noteStarted(job);
        removeCopy(*step, end.task.index, worker, end.attempt);
        touch(job);
    }
    if (job.over() || task.done)
        return;
    if (!end.checkpoint.empty() && known)
        task.checkpoint = end.checkpoint;
    const queue_policy* policy = policyOf(job);
    if (end.kind == completion_kind::done && !step->spec->isService && (known || task.copies.empty())) {
        worker.failuresInRow = 0;
        worker.failedJob.clear();
        worker.shunMs = 0;
        if (step->spec->gang) {
            for (int i = 0; i < static_cast<int>(step->tasks.size()); i++)
                markDone(*step, i);
        } else {
            markDone(*step, end.task.index);
        }
        return;
    }
    if (!known)
        return;
    if (end.kind == completion_kind::failed) {
        task.failedOn = &worker;
        task.notBefore = now + retryPauseMs;
        // Failures of one job after the other tell of the job, not of the worker.
        worker.failuresInRow += worker.failedJob != job.id;
        worker.failedJob = job.id;
        // Those of what had been started before it was shunned tell nothing new.
        if (worker.failuresInRow >= failuresToShun && worker.shunnedUntil <= now) {
            worker.shunMs = std::clamp<ms>(worker.shunMs * 2, shunMs, 8 * shunMs);
            worker.shunnedUntil = now + worker.shunMs;
            worker.failuresInRow = failuresToShun - 1;
            log(log_line("worker_shunned").add("worker", worker.info.id).add("for_ms", worker.shunMs));
        }
        task_run& counted = step->spec->gang ? step->tasks.front() : task;
        counted.failures++;
        if (!step->spec->isService && policy && counted.failures >= policy->maxAttempts
            && !has(cell_fault::ignore_attempts)) {
            finishJob(job, job_state::failed);
            return;
        }
    }
    breakGang(*step, "gang_broken");
    requeue(*step, end.task.index);
}

resources cell_model::bookingOf(const step_spec& spec) const
{
    if (has(cell_fault::book_nothing))
        return {};
    return { spec.isBestEffort ? 0 : spec.cpuMilli, spec.memoryMb, spec.accelerators, 0 };
}

task_copy& cell_model::place(step_run& step, int index, worker_state& worker, uint32_t run)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    const step_spec& spec = *step.spec;
    worker.booked = worker.booked + bookingOf(spec);
    worker.fillerCpu += spec.isBestEffort ? spec.cpuMilli : 0;
    worker.forgetPaces();
    worker.fillersChangedAt = spec.isBestEffort ? now : worker.fillersChangedAt;
    worker.servingCpu += spec.isService ? spec.cpuMilli : 0;
    worker.quickCpu += spec.isShort() ? spec.cpuMilli : 0;
    worker.quickTasks += spec.isShort();
    worker.placed.push_back({ &step, index, run });
    task.lastRun = std::max(task.lastRun, run);
    if (spec.isBestEffort)
        worker.fillers.start({ &step, index, run }, step.image, worker.shareOf(spec), now);
    task_copy copy;
    copy.run = run;
    copy.on = &worker;
    task.copies.push_back(std::move(copy));
    return task.copies.back();
}

void cell_model::removeCopy(step_run& step, int index, worker_state& worker, uint32_t run)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    placement* found = findPlacement(worker, step, index, run);
    if (!found)
        return;
    *found = worker.placed.back();
    worker.placed.pop_back();
    const step_spec& spec = *step.spec;
    worker.booked = worker.booked - bookingOf(spec);
    worker.fillerCpu -= spec.isBestEffort ? spec.cpuMilli : 0;
    worker.forgetPaces();
    worker.fillers.finish({ &step, index, run }, now);
    worker.fillersChangedAt = spec.isBestEffort ? now : worker.fillersChangedAt;
    worker.servingCpu -= spec.isService ? spec.cpuMilli : 0;
    worker.quickCpu -= spec.isShort() ? spec.cpuMilli : 0;
    worker.quickTasks -= spec.isShort();
    std::erase_if(task.copies, [&](const task_copy& each) {
        bool ends = each.run == run && each.on == &worker;
        worker.doomed -= ends && each.phase == copy_phase::doomed;
        return ends;
    });
    placeNeeded = true;
}

void cell_model::breakGang(step_run& step, std::string_view why)
{
    if (!step.spec->gang)
        return;
    for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
        for (task_copy& each : step.tasks[static_cast<size_t>(i)].copies)
            doom(step, i, each, why);
    }
}

void cell_model::noteStarted(job_run& job)
{
    if (job.started)
        return;
    job.started = true;
    touch(job);
}

void cell_model::sendStop(step_run& step, int index, task_copy& copy)
{
    copy.stopSentAt = now;
    actions.push_back(stop_action { copy.on->info.id, step.ref(index), copy.run, copy.on->life });
}

void cell_model::doom(step_run& step, int index, task_copy& copy, std::string_view why)
{
    if (copy.phase == copy_phase::doomed)
        return;
    copy.phase = copy_phase::doomed;
    copy.on->doomed++;
    copy.stopAnsweredAt = 0;
    log(log_line("task_stop")
            .add("task", step.ref(index).str())
            .add("run", copy.run)
            .add("worker", copy.on->info.id)
            .add("why", why));
    if (copy.ordered)
        sendStop(step, index, copy);
}

void cell::onStopped(const stop_action& stop, order_outcome outcome, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    worker_state* at = m.workers.find(stop.worker);
    if (outcome == order_outcome::fenced && at)
        m.noteFenced(*at, stop.incarnation);
    step_run* step = m.findStep(stop.task);
    task_copy* copy = step ? cell_model::findCopy({ step, stop.task.index, stop.attempt }) : nullptr;
    if (!copy || copy->on->info.id != stop.worker)
        return;
    if (outcome == order_outcome::done && stop.incarnation == copy->on->life)
        copy->stopAnsweredAt = now;
}

void cell::onStarted(const start_action& start, order_outcome outcome, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    step_run* step = m.findStep(start.task);
    task_copy* copy = step ? cell_model::findCopy({ step, start.task.index, start.attempt }) : nullptr;
    if (!copy || copy->on->info.id != start.worker)
        return;
    worker_state& worker = *copy->on;
    if (outcome == order_outcome::done) {
        copy->answeredAt = now;
        m.noteStarted(*step->job);
        if (copy->phase == copy_phase::ordered) {
            copy->phase = copy_phase::running;
            copy->percentAt = now;
            if (step->spec->isBestEffort && !worker.serving.empty())
                m.paceFillers(worker);
        }
        return;
    }
    m.log(log_line("start_refused")
              .add("task", start.task.str())
              .add("run", start.attempt)
              .add("worker", start.worker)
              .add("outcome", toString(outcome)));
    if (outcome == order_outcome::fenced && start.incarnation == worker.life) {
        m.fenced = true;
        return;
    }
    if (outcome == order_outcome::no_answer && !m.has(cell_fault::restart_unanswered)) {
        if (copy->phase == copy_phase::ordered)
            m.doom(*step, start.task.index, *copy, "start_unanswered");
        return;
    }
    // All others say that this run was not started and never will be.
    if (outcome == order_outcome::bad_ticket)
        step->tickets.erase(start.worker);
    if (outcome == order_outcome::no_room)
        worker.refusesUntil = std::max(worker.refusesUntil, now + m.settings.stopMs);
    if (outcome == order_outcome::unhealthy || outcome == order_outcome::malformed)
        worker.refusesUntil = std::max(worker.refusesUntil, now + shunMs);
    if (outcome == order_outcome::reborn) {
        m.loseAll(worker, "another_life_at_address");
        return;
    }
    step->tasks[static_cast<size_t>(start.task.index)].notBefore = now + retryPauseMs;
    m.removeCopy(*step, start.task.index, worker, start.attempt);
    m.touch(*step->job);
    m.breakGang(*step, "gang_incomplete");
    m.requeue(*step, start.task.index);
}

} // namespace camphorwell
