// Leases, polls, and lost or draining workers.
//
// At most one poll of a worker is in flight. It carries the token, renews the lease, acknowledges the
// completions whose records are durable, and returns at the next completion or after `pollWaitMs`. An attempt
// counts as ended only on evidence: its completion is listed; the worker has a new incarnation; or the lease
// has certainly expired by the worker's clock. An attempt whose start was not answered is stopped, which also
// makes the worker refuse a late start, and counts as ended when a report that was requested after the answer
// to the stop does not list it.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr double clockErrorFactor = 1.03; // A worker's clock may be 2% slow.
    // Allowance for the time from lease expiry to the kill and for the delay of answers.
    constexpr ms leaseExpirySlackMs = 300;
    constexpr ms minStartLeaseMs = 1000; // No task is started under a shorter lease.
    // With less than this left of the leases, the last renewal of the leadership is overdue.
    constexpr ms overdueRenewalLeaseMs = 4000;
    constexpr ms overdueRenewalPollWaitMs
        = 300; // Wait of a poll then, so that a late renewal extends leases soon.
    constexpr ms stopRetryMs = 700; // An unanswered stop is sent again after this time.
    // Maximum rate of polls of all workers together, not counting polls that return early for a completion.
    constexpr ms maxPollsPerSecond = 500;
    constexpr ms pollRetryMs = 250; // Delay after a failed poll, times the number of consecutive failures.
    constexpr ms maxPollRetryMs = 1000;
    constexpr ms unacknowledgedPollMs = 300; // Poll interval while completions wait for their record.
    constexpr size_t maxListedCompletions = 500; // A report with this many completions may omit further ones.
    constexpr ms drainStopMs = 700; // Tasks on a draining worker are stopped this long before it leaves.
    constexpr ms defaultDrainMs = 2000; // Assumed time left if a draining worker does not report one.

} // namespace

ms worstLeaseMs(ms leaseMs)
{
    return static_cast<ms>(static_cast<double>(leaseMs) * clockErrorFactor) + leaseExpirySlackMs;
}

void cell::setWorker(const worker_record& record, ms now)
{
    m_model->now = now;
    m_model->setWorker(record);
}

void cell::removeWorker(const worker_id& id, ms now)
{
    m_model->now = now;
    m_model->removeWorker(id);
}

std::vector<worker_id> cell::listedWorkers() const
{
    std::vector<worker_id> out;
    for (const worker_state* worker : m_model->workers.all()) {
        if (worker->listed)
            out.push_back(worker->info.id);
    }
    return out;
}

std::string cell::addressOf(const worker_id& id) const
{
    const worker_state* found = m_model->workers.find(id);
    return found ? found->info.address : std::string();
}

worker_state& cell_model::findOrAddWorker(const worker_id& id)
{
    if (worker_state* known = workers.find(id))
        return *known;
    auto added = std::make_unique<worker_state>();
    added->info.id = id;
    added->incarnation = firstIncarnation;
    return workers.add(std::move(added));
}

void cell_model::setWorker(const worker_record& record)
{
    worker_state& worker = findOrAddWorker(record.id);
    bool wasDraining = worker.info.draining && worker.listed;
    if (record.startedUnixMs < worker.info.startedUnixMs)
        return; // The record is of an earlier incarnation.
    if (worker.info.startedUnixMs != 0 && record.startedUnixMs > worker.info.startedUnixMs)
        handleNewIncarnation(worker);
    if (!worker.listed)
        log(log_line("worker_listed").add("worker", record.id).add("service", record.service));
    worker.info = record;
    worker.listed = true;
    placingNeeded = true;
    if (record.draining && !wasDraining) {
        worker.drainingSince = now;
        log(log_line("worker_draining")
                .add("worker", record.id)
                .add("remaining_ms", record.remainingMs)
                .add("tasks", static_cast<int64_t>(worker.placements.size())));
    }
}

void cell_model::removeWorker(const worker_id& id)
{
    worker_state* worker = workers.find(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    log(log_line("worker_unlisted")
            .add("worker", id)
            .add("tasks", static_cast<int64_t>(worker->placements.size())));
}

void cell_model::dropUnlistedWorkers()
{
    workers.eraseIf([&](const worker_state& worker) {
        if (worker.listed || !worker.placements.empty() || worker.pollInFlight)
            return false;
        bool silent = !worker.hasReported || now - worker.reportedAt > settings.maxLeaseMs;
        bool writing = std::any_of(writingCompletions.begin(), writingCompletions.end(),
            [&](const auto& entry) { return entry.first == &worker; });
        if (!silent || writing)
            return false;
        // If the worker comes back, requests to it must carry a later incarnation.
        firstIncarnation = std::max(firstIncarnation, worker.incarnation + 1);
        return true;
    });
}

void cell_model::pollWorkers()
{
    dropUnlistedWorkers();
    for (worker_state* worker : workers.all()) {
        if (!worker->placements.empty() && leaseExpired(*worker))
            dropLostWorker(*worker, "lease_over");
        pollWorker(*worker);
    }
}

void cell_model::pollWorker(worker_state& worker)
{
    // A poll returns at once while unacknowledged completions are listed, so polls are spaced out until then.
    bool tooEarly = worker.processedSequence != worker.acknowledgedSequence
        && now - worker.reportedAt < unacknowledgedPollMs;
    if (worker.pollInFlight || now < worker.nextPollAt || tooEarly || worker.info.address.empty())
        return;
    if (!worker.listed && worker.placements.empty())
        return;
    if (worker.stoppingAttempts > 0)
        resendStops(worker);
    // After a failed poll the worker may have started again, and its sequence numbers with it. A report shows
    // which incarnation it is, so nothing is acknowledged before the next one.
    uint64_t acknowledged = worker.failedPolls == 0 ? worker.acknowledgedSequence : 0;
    poll_action poll { worker.info.id, acknowledged, std::nullopt, 0, worker.incarnation };
    if (worker.hasReported) {
        bool shared = worker.serviceCpu > 0 && worker.bestEffortCpu > 0;
        // The interval grows with the number of workers, which bounds the total poll rate.
        ms interval = static_cast<ms>(workers.size()) * 1000 / maxPollsPerSecond;
        poll.waitMs = std::clamp(interval, shared ? settings.sharedPollWaitMs : settings.pollWaitMs,
            std::max(settings.pollWaitMs, settings.sharedPollWaitMs));
        if (leaseLimit - now < overdueRenewalLeaseMs)
            poll.waitMs = std::min(poll.waitMs, overdueRenewalPollWaitMs);
        // The lease of a worker that does not answer is not extended, so that its end is known.
        if (leaseLength() > 0 && worker.failedPolls == 0) {
            poll.leaseUntilWorkerMs = worker.workerNow(now) + leaseLength();
            worker.leaseUntilWorkerMs = std::max(worker.leaseUntilWorkerMs, *poll.leaseUntilWorkerMs);
        }
    }
    worker.pollInFlight = true;
    actions.push_back(poll);
}

// Sends unanswered stops again.
void cell_model::resendStops(worker_state& worker)
{
    for (task_placement& placement : worker.placements) {
        task_attempt* attempt = findAttempt(placement);
        if (attempt && attempt->phase == attempt_phase::stopping && attempt->startSent
            && attempt->stopAnsweredAt == 0 && now - attempt->stopSentAt > stopRetryMs)
            sendStop(*placement.step, placement.index, *attempt);
    }
}

ms cell_model::leaseLength() const { return std::min(settings.leaseMs, leaseLimit - now); }

bool cell_model::mayStartTasks() const { return leaseLength() >= minStartLeaseMs; }

bool cell_model::leaseExpired(const worker_state& worker) const
{
    if (worker.reportedAt == 0)
        return now > unreportedLeaseEnd(worker);
    ms remaining = std::max<ms>(0, worker.leaseUntilWorkerMs - worker.clockWorkerMs);
    return now - worker.clockAt > worstLeaseMs(remaining);
}

// When the leases of a worker that has not reported have ended. An order to its earlier incarnation may have
// reached the present one, whose clock began anew, so that only the worker's maximum bounds the lease.
ms cell_model::unreportedLeaseEnd(const worker_state& worker) const
{
    ms longestMs = worstLeaseMs(settings.maxLeaseMs);
    ms earlierEnd = earlierLeasesEndAt.value_or(beganAt + longestMs);
    return worker.newIncarnationAt == 0 ? earlierEnd
                                        : std::max(earlierEnd, worker.newIncarnationAt + longestMs);
}

// Attempts of the earlier incarnation have ended. But a start that was sent before the new incarnation was
// known may have reached it, so the attempts are kept until the new incarnation reports.
void cell_model::handleNewIncarnation(worker_state& worker)
{
    log(log_line("worker_new_life")
            .add("worker", worker.info.id)
            .add("tasks", static_cast<int64_t>(worker.placements.size())));
    worker.incarnation++;
    worker.speed = 1;
    worker.newIncarnationAt = now;
    worker.hasReported = false;
    worker.processedSequence = worker.acknowledgedSequence = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    worker.reportedAt = 0;
    std::erase_if(writingCompletions, [&](const auto& entry) { return entry.first == &worker; });
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = findAttempt(placement);
        if (attempt && attempt->phase == attempt_phase::stopping)
            attempt->stopAnsweredAt = attempt->stopSentAt = 0;
    }
}

void cell_model::dropLostWorker(worker_state& worker, std::string_view reason)
{
    log(log_line("worker_lost")
            .add("worker", worker.info.id)
            .add("why", reason)
            .add("silent_ms", worker.reportedAt == 0 ? -1 : now - worker.reportedAt)
            .add("led_ms", now - beganAt)
            .add("tasks", static_cast<int64_t>(worker.placements.size())));
    worker.hasReported = false;
    worker.processedSequence = worker.acknowledgedSequence = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    std::erase_if(writingCompletions, [&](const auto& entry) { return entry.first == &worker; });
    std::vector<task_placement> lost = worker.placements;
    for (const task_placement& placement : lost) {
        removeAttempt(*placement.step, placement.index, worker, placement.attempt);
        markDirty(*placement.step->job);
        stopGang(*placement.step, "gang_member_lost");
        requeue(*placement.step, placement.index);
    }
}

void cell_model::countFailedPoll(worker_state& worker)
{
    worker.pollInFlight = false;
    worker.failedPolls++;
    worker.nextPollAt = now + std::min<ms>(pollRetryMs * worker.failedPolls, maxPollRetryMs);
}

void cell::onPollFailed(const poll_action& poll, order_outcome outcome, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    worker_state* found = m.workers.find(poll.worker);
    if (!found)
        return;
    worker_state& worker = *found;
    m.countFailedPoll(worker);
    if (m.hasFault(cell_fault::drop_silent_workers) && worker.hasReported)
        m.dropLostWorker(worker, "silent");
    if (worker.failedPolls == 1)
        m.log(log_line("look_failed").add("worker", poll.worker).add("outcome", toString(outcome)));
    if (outcome == order_outcome::fenced)
        m.markFenced(worker, poll.incarnation);
    if (outcome == order_outcome::other_incarnation && worker.hasReported
        && poll.incarnation == worker.incarnation)
        m.dropLostWorker(worker, "another_life_at_address");
}

void cell::onReport(const worker_id& id, const worker_report& report, ms sentAt, ms now)
{
    m_model->now = now;
    if (worker_state* found = m_model->workers.find(id))
        m_model->onReport(*found, report, sentAt);
}

void cell_model::onReport(worker_state& worker, const worker_report& report, ms sentAt)
{
    if (report.startedUnixMs != 0 && report.startedUnixMs < worker.info.startedUnixMs) {
        // The report is of an earlier incarnation, or of a later one that started after the worker's clock
        // was set back. It proves nothing about the attempts.
        countFailedPoll(worker);
        if (worker.failedPolls == 1)
            log(log_line("look_failed").add("worker", worker.info.id).add("outcome", "earlier_start"));
        return;
    }
    worker.pollInFlight = false;
    worker.nextPollAt = now;
    if (worker.failedPolls > 0)
        placingNeeded = true;
    worker.failedPolls = 0;
    if (report.startedUnixMs > worker.info.startedUnixMs) {
        if (worker.info.startedUnixMs != 0)
            handleNewIncarnation(worker);
        worker.info.startedUnixMs = report.startedUnixMs;
    }
    worker.clockWorkerMs = report.clockWorkerMs;
    worker.clockAt = now;
    worker.reportedAt = now;
    if (!worker.hasReported) {
        worker.hasReported = true;
        placingNeeded = true;
        ms earlierLease = std::min(worstLeaseMs(unreportedLeaseEnd(worker) - now), settings.maxLeaseMs);
        worker.leaseUntilWorkerMs
            = std::max(worker.leaseUntilWorkerMs, report.clockWorkerMs + std::max<ms>(0, earlierLease));
        log(log_line("worker_taken")
                .add("worker", worker.info.id)
                .add("running", static_cast<int64_t>(report.running.size())));
    }
    worker.reportCount++;
    for (const task_completion& completion : report.completions) {
        if (completion.sequence > worker.processedSequence) {
            handleCompletion(worker, completion);
            worker.processedSequence = completion.sequence;
            worker.acknowledgedSequence
                = hasFault(cell_fault::acknowledge_early) ? completion.sequence : worker.acknowledgedSequence;
        }
    }
    worker.unknownAttempts = 0;
    worker.listedAttempts = 0;
    for (const running_task& running : report.running)
        handleListed(worker, running);
    size_t listedCompletions = std::max(report.listedCompletions, report.completions.size());
    if (worker.listedAttempts < worker.placements.size() && listedCompletions < maxListedCompletions)
        handleUnlisted(worker, sentAt);
    pollWorker(worker);
}

void cell_model::handleListed(worker_state& worker, const running_task& listedTask)
{
    step_run* step = findStep(listedTask.task);
    task_attempt* attempt = step ? findAttempt({ step, listedTask.task.index, listedTask.attempt }) : nullptr;
    if (attempt && attempt->worker != &worker)
        attempt = nullptr;
    if (!attempt) {
        // The attempt is not recorded, so its task may be started elsewhere. It is stopped, and nothing is
        // placed on this worker until it has ended.
        worker.unknownAttempts++;
        if (step) {
            task_run& task = step->tasks[static_cast<size_t>(listedTask.task.index)];
            task.lastAttempt = std::max(task.lastAttempt, listedTask.attempt);
        }
        log(log_line("unknown_run")
                .add("task", listedTask.task.str())
                .add("run", listedTask.attempt)
                .add("worker", worker.info.id));
        actions.push_back(
            stop_action { worker.info.id, listedTask.task, listedTask.attempt, worker.incarnation });
        return;
    }
    worker.listedAttempts += attempt->listedInReport != worker.reportCount;
    attempt->listedInReport = worker.reportCount;
    step->tasks[static_cast<size_t>(listedTask.task.index)].lastRanAt = now;
    markStarted(*step->job);
    bool restored = attempt->phase == attempt_phase::restored;
    if (attempt->phase == attempt_phase::starting || restored) {
        attempt->phase = attempt_phase::running;
        attempt->percentChangedAt = now;
    }
    if (restored && step->spec->isBestEffort)
        attempt->pace = task_attempt::paceUnknown;
    updateSpeed(worker, *step, *attempt, listedTask.progressPercent);
    if (listedTask.progressPercent != attempt->percent) {
        attempt->percent = listedTask.progressPercent;
        attempt->percentChangedAt = now;
    }
    attempt->measurement = listedTask.measurement;
    if (!listedTask.checkpoint.empty())
        step->tasks[static_cast<size_t>(listedTask.task.index)].checkpoint = listedTask.checkpoint;
}

void cell_model::handleUnlisted(worker_state& worker, ms sentAt)
{
    std::vector<task_placement> unlisted;
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = findAttempt(placement);
        if (attempt && attempt->listedInReport != worker.reportCount)
            unlisted.push_back(placement);
    }
    for (const task_placement& placement : unlisted) {
        task_attempt* attempt = findAttempt(placement);
        bool ended = false;
        if (attempt->phase == attempt_phase::restored)
            ended = true; // The worker has seen this leader's token and refuses a start under an earlier one.
        else if (attempt->phase == attempt_phase::stopping)
            ended = attempt->stopAnsweredAt != 0 && attempt->stopAnsweredAt < sentAt;
        else if (attempt->phase == attempt_phase::running && attempt->startAnsweredAt < sentAt)
            stopAttempt(*placement.step, placement.index, *attempt, "not_listed");
        if (!ended)
            continue;
        log(log_line("run_absent")
                .add("task", placement.step->ref(placement.index).str())
                .add("run", placement.attempt)
                .add("worker", worker.info.id));
        removeAttempt(*placement.step, placement.index, worker, placement.attempt);
        markDirty(*placement.step->job);
        stopGang(*placement.step, "gang_member_absent");
        requeue(*placement.step, placement.index);
    }
}

// Service tasks are moved off a draining worker at once, so that they are away only for a restart. Other
// tasks are stopped shortly before the worker leaves, with a checkpoint where they have one.
void cell_model::emptyDrainingWorkers()
{
    for (worker_state* entry : workers.all()) {
        worker_state& worker = *entry;
        if (!worker.info.draining || !worker.hasReported)
            continue;
        ms remaining = (worker.info.remainingMs >= 0 ? worker.info.remainingMs : defaultDrainMs)
            - (now - worker.drainingSince);
        for (const task_placement& placement : worker.placements) {
            task_attempt* attempt = findAttempt(placement);
            if (attempt && (placement.step->spec->isService || remaining < drainStopMs))
                stopAttempt(*placement.step, placement.index, *attempt, "worker_leaves");
        }
    }
}

} // namespace camphorwell
