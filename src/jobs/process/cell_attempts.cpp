// Attempts of tasks on workers: reservations, completions, and the answers of workers to starts and stops.
//
// Resources are reserved when an attempt is planned and released only when it has certainly ended. An attempt
// whose start was not answered is stopped, which also makes the worker refuse a start that arrives late. A
// gang that loses one member stops the others. Failures of three different jobs in a row quarantine the
// worker for a while, which handles workers that refuse or fail tasks or leave requests unanswered.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int failuresToQuarantine = 3; // Consecutive failures of tasks of different jobs.
    constexpr ms baseQuarantineMs = 3000; // Doubled with each further quarantine, up to eightfold.
    constexpr ms retryDelayMs = 100; // Delay before a failed task is started again.

    task_placement* findPlacement(
        worker_state& worker, const step_run& step, int index, uint32_t attemptNumber)
    {
        for (task_placement& placement : worker.placements) {
            if (placement.step == &step && placement.index == index && placement.attempt == attemptNumber)
                return &placement;
        }
        return nullptr;
    }

} // namespace

void cell_model::handleCompletion(worker_state& worker, const task_completion& completion)
{
    step_run* step = findStep(completion.task);
    if (!step)
        return; // The job is over and was dropped.
    task_run& task = step->tasks[static_cast<size_t>(completion.task.index)];
    task_attempt* attempt = findAttempt({ step, completion.task.index, completion.attempt });
    bool known = attempt && attempt->worker == &worker;
    task.lastAttempt = std::max(task.lastAttempt, completion.attempt);
    log.rateLimited([&] {
        return log_line("task_end")
            .add("task", completion.task.str())
            .add("run", completion.attempt)
            .add("worker", worker.info.id)
            .add("how", toString(completion.kind))
            .add("known", known ? 1 : 0);
    });
    job_run& job = *step->job;
    if (known) {
        markStarted(job);
        removeAttempt(*step, completion.task.index, worker, completion.attempt);
        markDirty(job);
    }
    if (job.isOver() || task.done)
        return;
    if (!completion.checkpoint.empty() && known)
        task.checkpoint = completion.checkpoint;
    // The task is also done if its attempt had been given up, and another one is stopped.
    if (completion.kind == completion_kind::done && !step->spec->isService) {
        worker.consecutiveFailures = 0;
        worker.lastFailedJob.clear();
        worker.quarantineMs = 0;
        if (step->spec->gang) {
            for (int i = 0; i < static_cast<int>(step->tasks.size()); i++)
                markDone(*step, i);
        } else {
            markDone(*step, completion.task.index);
        }
        return;
    }
    if (!known)
        return;
    if (completion.kind == completion_kind::failed) {
        task.failedOn = &worker;
        task.notBefore = now + retryDelayMs;
        // Consecutive failures of one job point to the job, not to the worker.
        worker.consecutiveFailures += worker.lastFailedJob != job.id;
        worker.lastFailedJob = job.id;
        // Failures of tasks started before the quarantine do not extend it.
        if (worker.consecutiveFailures >= failuresToQuarantine && worker.quarantinedUntil <= now) {
            worker.quarantineMs
                = std::clamp<ms>(worker.quarantineMs * 2, baseQuarantineMs, 8 * baseQuarantineMs);
            worker.quarantinedUntil = now + worker.quarantineMs;
            worker.consecutiveFailures = failuresToQuarantine - 1;
            log(log_line("worker_shunned").add("worker", worker.info.id).add("for_ms", worker.quarantineMs));
        }
        task_run& counted = step->spec->gang ? step->tasks.front() : task;
        // Several members of a gang may fail in one run.
        counted.failures += counted.lastFailedAttempt != completion.attempt;
        counted.lastFailedAttempt = completion.attempt;
        if (attemptsExhausted(*step, counted)) {
            finishJob(job, job_state::failed);
            return;
        }
    }
    stopGang(*step, "gang_broken");
    requeue(*step, completion.task.index);
}

bool cell_model::attemptsExhausted(const step_run& step, const task_run& task) const
{
    const queue_policy* policy = policyOf(*step.job);
    return policy && !step.spec->isService && task.failures > 0 && task.failures >= policy->maxAttempts
        && !hasFault(cell_fault::ignore_attempts);
}

// Ends a job whose last permitted failure was counted while the policy of its queue was not known, or
// permitted more attempts.
void cell_model::failIfAttemptsExhausted(job_run& job)
{
    if (job.isOver())
        return;
    bool exhausted = false;
    for (const auto& [number, occurrence] : job.liveOccurrences) {
        for (const step_run& step : occurrence->steps)
            exhausted |= std::any_of(step.tasks.begin(), step.tasks.end(),
                [&](const task_run& task) { return !task.done && attemptsExhausted(step, task); });
    }
    if (exhausted)
        finishJob(job, job_state::failed);
}

resources cell_model::reservationOf(const step_spec& spec) const
{
    if (hasFault(cell_fault::reserve_nothing))
        return {};
    return { spec.isBestEffort ? 0 : spec.cpuMilli, spec.memoryMb, spec.accelerators, 0 };
}

task_attempt& cell_model::place(step_run& step, int index, worker_state& worker, uint32_t attemptNumber)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    const step_spec& spec = *step.spec;
    worker.reserved = worker.reserved + reservationOf(spec);
    worker.bestEffortCpu += spec.isBestEffort ? spec.cpuMilli : 0;
    worker.clearPaceCache();
    worker.bestEffortChangedAt = spec.isBestEffort ? now : worker.bestEffortChangedAt;
    worker.serviceCpu += spec.isService ? spec.cpuMilli : 0;
    worker.latencyCriticalTasks += spec.isLatencyCritical();
    task.moving = false;
    worker.shortTaskCpu += spec.isShort() ? spec.cpuMilli : 0;
    worker.shortTasks += spec.isShort();
    worker.placements.push_back({ &step, index, attemptNumber });
    step.job->attempts++;
    task.lastAttempt = std::max(task.lastAttempt, attemptNumber);
    if (spec.isBestEffort)
        worker.bestEffortHistory.start(
            { &step, index, attemptNumber }, step.image, worker.shareOf(spec), now);
    task_attempt attempt;
    attempt.number = attemptNumber;
    attempt.worker = &worker;
    attempt.longLease = now <= longLeaseEnd(worker, majorityReportedAt);
    worker.hasLongLeases |= attempt.longLease;
    task.attempts.push_back(std::move(attempt));
    return task.attempts.back();
}

void cell_model::removeAttempt(step_run& step, int index, worker_state& worker, uint32_t attemptNumber)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    task_placement* found = findPlacement(worker, step, index, attemptNumber);
    if (!found)
        return;
    *found = worker.placements.back();
    worker.placements.pop_back();
    step.job->attempts--;
    const step_spec& spec = *step.spec;
    worker.reserved = worker.reserved - reservationOf(spec);
    worker.bestEffortCpu -= spec.isBestEffort ? spec.cpuMilli : 0;
    worker.clearPaceCache();
    worker.bestEffortHistory.finish({ &step, index, attemptNumber }, now);
    worker.bestEffortChangedAt = spec.isBestEffort ? now : worker.bestEffortChangedAt;
    worker.serviceCpu -= spec.isService ? spec.cpuMilli : 0;
    worker.latencyCriticalTasks -= spec.isLatencyCritical();
    worker.shortTaskCpu -= spec.isShort() ? spec.cpuMilli : 0;
    worker.shortTasks -= spec.isShort();
    std::erase_if(task.attempts, [&](const task_attempt& attempt) {
        bool ends = attempt.number == attemptNumber && attempt.worker == &worker;
        worker.stoppingAttempts -= ends && attempt.phase == attempt_phase::stopping;
        return ends;
    });
    placingNeeded = true;
}

void cell_model::stopGang(step_run& step, std::string_view reason)
{
    if (!step.spec->gang)
        return;
    for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
        for (task_attempt& attempt : step.tasks[static_cast<size_t>(i)].attempts)
            stopAttempt(step, i, attempt, reason);
    }
}

void cell_model::markStarted(job_run& job)
{
    if (job.started)
        return;
    job.started = true;
    markDirty(job);
}

void cell_model::sendStop(step_run& step, int index, task_attempt& attempt)
{
    attempt.stopSentAt = now;
    const worker_state& worker = *attempt.worker;
    actions.push_back(stop_action {
        worker.info.id, step.ref(index), attempt.number, worker.incarnation, leastClock(worker) });
}

void cell_model::stopAttempt(step_run& step, int index, task_attempt& attempt, std::string_view reason)
{
    if (attempt.phase == attempt_phase::stopping)
        return;
    attempt.phase = attempt_phase::stopping;
    attempt.worker->stoppingAttempts++;
    attempt.stopAnsweredAt = 0;
    log(log_line("task_stop")
            .add("task", step.ref(index).str())
            .add("run", attempt.number)
            .add("worker", attempt.worker->info.id)
            .add("why", reason));
    if (attempt.startSent)
        sendStop(step, index, attempt);
}

void cell::onStopped(const stop_action& stop, const order_answer& answer, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    m.noteClockOfAnswer(stop.worker, stop.incarnation, stop.leastClockWorkerMs, answer);
    worker_state* worker = m.workers.find(stop.worker);
    if (answer.outcome == order_outcome::fenced && worker)
        m.markFenced(*worker, stop.incarnation);
    step_run* step = m.findStep(stop.task);
    task_attempt* attempt = step ? cell_model::findAttempt({ step, stop.task.index, stop.attempt }) : nullptr;
    if (!attempt || attempt->worker->info.id != stop.worker)
        return;
    if (answer.outcome == order_outcome::done && stop.incarnation == attempt->worker->incarnation)
        attempt->stopAnsweredAt = now;
}

void cell::onStarted(const start_action& start, const order_answer& answer, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    m.noteClockOfAnswer(start.worker, start.incarnation, start.leastClockWorkerMs, answer);
    order_outcome outcome = answer.outcome;
    step_run* step = m.findStep(start.task);
    task_attempt* attempt
        = step ? cell_model::findAttempt({ step, start.task.index, start.attempt }) : nullptr;
    if (!attempt || attempt->worker->info.id != start.worker)
        return;
    worker_state& worker = *attempt->worker;
    if (outcome == order_outcome::done) {
        attempt->startAnsweredAt = now;
        if (start.incarnation == worker.incarnation && m.isOfReportedIncarnation(answer, worker))
            m.confirmAttempt(*attempt, *step, worker.info.startedUnixMs);
        step->tasks[static_cast<size_t>(start.task.index)].lastRanAt = now;
        m.markStarted(*step->job);
        if (attempt->phase == attempt_phase::starting) {
            attempt->phase = attempt_phase::running;
            attempt->percentChangedAt = now;
            if (step->spec->isBestEffort && !worker.latencyCriticalSamples.empty())
                m.paceBestEffort(worker);
        }
        return;
    }
    m.log(log_line("start_refused")
              .add("task", start.task.str())
              .add("run", start.attempt)
              .add("worker", start.worker)
              .add("outcome", toString(outcome)));
    if (outcome == order_outcome::fenced && start.incarnation == worker.incarnation) {
        m.fenced = true;
        return;
    }
    // The worker also refuses as superseded the second delivery of a start whose attempt has ended since.
    bool mayHaveRun = outcome == order_outcome::no_answer || outcome == order_outcome::superseded;
    if (mayHaveRun && !m.hasFault(cell_fault::restart_unanswered_starts)) {
        if (attempt->phase == attempt_phase::starting)
            m.stopAttempt(*step, start.task.index, *attempt,
                outcome == order_outcome::no_answer ? "start_unanswered" : "start_superseded");
        return;
    }
    // All other outcomes mean that this attempt was not started and never will be.
    if (outcome == order_outcome::bad_ticket)
        step->advice.erase(start.worker);
    if (outcome == order_outcome::no_capacity)
        worker.noStartsUntil = std::max(worker.noStartsUntil, now + m.settings.stopTimeoutMs);
    if (outcome == order_outcome::unhealthy || outcome == order_outcome::malformed)
        worker.noStartsUntil = std::max(worker.noStartsUntil, now + baseQuarantineMs);
    if (outcome == order_outcome::other_incarnation && start.incarnation == worker.incarnation) {
        m.dropLostWorker(worker, "another_life_at_address", std::vector(worker.placements));
        return;
    }
    step->tasks[static_cast<size_t>(start.task.index)].notBefore = now + retryDelayMs;
    m.removeAttempt(*step, start.task.index, worker, start.attempt);
    m.markDirty(*step->job);
    m.stopGang(*step, "gang_incomplete");
    m.requeue(*step, start.task.index);
}

} // namespace camphorwell
