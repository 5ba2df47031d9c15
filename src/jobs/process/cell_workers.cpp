// Leases, polls, and lost or draining workers.
//
// At most one poll of a worker is in flight. It carries the token, renews the lease, acknowledges the
// completions whose records are durable, and returns at the next completion or after `pollWaitMs`. An attempt
// counts as ended only on evidence: its completion is listed; the worker has a new incarnation; or the lease
// has certainly expired by the worker's clock. An attempt whose start was not answered is stopped, which also
// makes the worker refuse a late start, and counts as ended when a report that was requested after the answer
// to the stop does not list it.
//
// An order carries a deadline on the worker's clock, which bounds the lease wherever the order is delayed.
// But the clock of a worker that starts again begins anew, so an order to its earlier incarnation may give it
// a lease of the worker's maximum. Attempts that may run under such a long lease are recorded as such, so
// that the next leader waits for it as well.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <utility>

namespace camphorwell {

namespace {

    // Allowance for the time from lease expiry to the kill and for the delay of answers.
    constexpr ms leaseExpirySlackMs = 300;
    constexpr ms minStartLeaseMs = 1000; // No task is started under a shorter lease.
    // A renewal of the leadership this long after the last one is overdue; the store may be away.
    constexpr ms overdueRenewalMs = 2000;
    // Polls then wait for this long only, so that the quorum is recent and a late renewal extends leases
    // soon.
    constexpr ms overdueRenewalPollWaitMs = 300;
    constexpr ms maxOverduePollsPerSecond = 1000;
    // Share of the workers that must have answered recently for leases without a renewal. It exceeds half,
    // which the next leader waits for, by what the two leaders' lists of workers may differ.
    constexpr double quorumShare = 0.6;
    constexpr ms longestGrantWindowMs = 6000; // Of cell_fault::count_longest_leases.
    constexpr ms stopRetryMs = 700; // An unanswered stop is sent again after this time.
    // Maximum rate of polls of all workers together, not counting polls that return early for a completion.
    constexpr ms maxPollsPerSecond = 500;
    constexpr ms overduePollMs = 300; // An answer this long after the requested wait is overdue.
    constexpr ms pollRetryMs = 250; // Delay after a failed poll, times the number of consecutive failures.
    constexpr ms maxPollRetryMs = 1000;
    // Poll interval while completions, or that the worker was reached, wait for their record.
    constexpr ms unrecordedPollMs = 300;
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
    if (record.startedUnixMs < worker.info.startedUnixMs && !worker.info.address.empty())
        return; // The record is of an earlier incarnation.
    if (worker.info.startedUnixMs != 0 && record.startedUnixMs > worker.info.startedUnixMs)
        handleNewIncarnation(worker, "entry");
    if (!worker.listed)
        log(log_line("worker_listed").add("worker", record.id).add("service", record.service));
    int64_t newestStartedUnixMs = std::max(record.startedUnixMs, worker.info.startedUnixMs);
    worker.info = record;
    worker.info.startedUnixMs = newestStartedUnixMs;
    worker.entryStartedUnixMs = record.startedUnixMs;
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
    worker->unlistedSince = now;
    log(log_line("worker_unlisted")
            .add("worker", id)
            .add("tasks", static_cast<int64_t>(worker->placements.size())));
}

void cell_model::dropUnlistedWorkers()
{
    workers.eraseIf([&](worker_state& worker) {
        if (worker.listed || !worker.placements.empty() || worker.pollInFlight)
            return false;
        bool silent = !worker.hasReported || now - worker.reportedAt > settings.maxLeaseMs;
        bool writing = std::any_of(writingCompletions.begin(), writingCompletions.end(),
            [&](const auto& entry) { return entry.first == &worker; });
        if (!silent || writing)
            return false;
        // If the worker comes back, requests to it must carry a later incarnation.
        firstIncarnation = std::max(firstIncarnation, worker.incarnation + 1);
        forgetIncarnation(worker);
        return true;
    });
}

void cell_model::pollWorkers()
{
    dropUnlistedWorkers();
    updateQuorum();
    updateMajority();
    recordUnreachedWorkers();
    for (worker_state* worker : workers.all()) {
        if (!worker->placements.empty() && leaseExpired(*worker))
            endAttemptsWithLease(*worker);
        expireLongLeases(*worker);
        pollWorker(*worker);
    }
}

void cell_model::pollWorker(worker_state& worker)
{
    // A poll returns at once while unacknowledged completions are listed, so polls are spaced out until then.
    // A poll that may not extend the lease would delay the one that does.
    ms perWorker = static_cast<ms>(workers.size()) * 1000;
    bool awaitsReachedRecord = worker.hasReported && worker.mayBeRecordedUnreached;
    ms holdMs = worker.processedSequence != worker.acknowledgedSequence ? unrecordedPollMs : 0;
    if (awaitsReachedRecord)
        holdMs = std::max(unrecordedPollMs, perWorker / maxOverduePollsPerSecond);
    bool tooEarly = now - worker.reportedAt < holdMs;
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
        poll.waitMs = std::clamp(perWorker / maxPollsPerSecond,
            shared ? settings.sharedPollWaitMs : settings.pollWaitMs,
            std::max(settings.pollWaitMs, settings.sharedPollWaitMs));
        // It may have started again, which is to be known soon.
        if (worker.failedPolls > 0 || worker.mayBeRecordedUnreached)
            poll.waitMs = 0;
        if (renewalOverdue())
            poll.waitMs = std::min(
                poll.waitMs, std::max(overdueRenewalPollWaitMs, perWorker / maxOverduePollsPerSecond));
        // The lease of a worker that does not answer is not extended, so that its end is known. The next
        // leader must not take a worker with a lease of this one for unreached.
        if (leaseLength() > 0 && worker.failedPolls == 0 && !worker.mayBeRecordedUnreached) {
            poll.leaseUntilWorkerMs = worker.workerNow(now) + leaseLength();
            worker.leaseUntilWorkerMs = std::max(worker.leaseUntilWorkerMs, *poll.leaseUntilWorkerMs);
            worker.leaseSentAt = now;
        }
    }
    worker.pollInFlight = true;
    worker.polledIncarnation = worker.incarnation;
    worker.pollDueAt = now + poll.waitMs;
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

size_t cell_model::countWorkersInUse() const
{
    return static_cast<size_t>(std::count_if(workers.all().begin(), workers.all().end(),
        [](const worker_state* worker) { return worker->listed || !worker->placements.empty(); }));
}

bool cell_model::renewalOverdue() const { return now - renewedAt > overdueRenewalMs; }

bool cell_model::pollOverdue(const worker_state& worker) const
{
    return worker.pollInFlight && now - worker.pollDueAt > overduePollMs;
}

// Another leader that has reached half of the workers has fenced one of each quorum of this one, and so
// ends its leases without a renewal. A worker that has started again since the last renewal may have
// forgotten the other leader's token.
void cell_model::updateQuorum()
{
    quorumAnsweredSince = 0;
    if (!renewalOverdue())
        return;
    std::vector<ms> answers;
    for (const worker_state* worker : workers.all()) {
        if (worker->hasReported && worker->newIncarnationAt < renewedAt)
            answers.push_back(worker->answeredPollSentAt);
    }
    auto needed = static_cast<size_t>(quorumShare * static_cast<double>(countWorkersInUse())) + 1;
    if (answers.size() < needed)
        return;
    auto last = answers.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(answers.begin(), last, answers.end(), std::greater<>());
    quorumAnsweredSince = *last;
}

// Workers that have left the list count as well: their entries also lapse when they are cut off from the
// store, and an earlier leader on their side may still have its quorum.
void cell_model::updateMajority()
{
    if (majorityReportedAt != 0)
        return;
    mostWorkersInUse = std::max(mostWorkersInUse, countWorkersInUse());
    auto reported = std::count_if(workers.all().begin(), workers.all().end(),
        [](const worker_state* worker) { return worker->hasReported; });
    if (2 * static_cast<size_t>(reported) >= mostWorkersInUse)
        majorityReportedAt = now;
}

ms cell_model::leaseLimit() const
{
    const lease_terms& terms = settings.leaseTerms;
    ms quorumEnd = std::min(quorumAnsweredSince + terms.quorumMs, renewedAt + terms.longestMs);
    return std::max(renewedAt + terms.renewalMs, quorumEnd);
}

ms cell_model::leaseLength() const { return std::min(settings.leaseMs, leaseLimit() - now); }

bool cell_model::mayStartTasks() const { return leaseLimit() - now >= minStartLeaseMs; }

// Only polls extend leases that last long enough. A worker may have fallen silent since its last report, and
// its tasks wait for the end of its lease.
ms cell_model::startLeaseEnd(const worker_state& worker) const
{
    ms end = worker.workerNow(now) + leaseLength();
    bool lastsLongEnough = worker.leaseUntilWorkerMs - worker.workerNow(now) >= minStartLeaseMs;
    return lastsLongEnough ? std::min(end, worker.leaseUntilWorkerMs) : end;
}

bool cell_model::leaseExpired(const worker_state& worker) const
{
    if (mayStartLate(worker))
        return false;
    if (worker.reportedAt == 0)
        return now > std::max(
                   earlierLeasesEnd(worker, majorityReportedAt), longLeaseEnd(worker, majorityReportedAt));
    ms remaining = std::max<ms>(0, worker.leaseUntilWorkerMs - worker.clockWorkerMs);
    return now - worker.clockAt > worstLeaseMs(remaining);
}

bool cell_model::leaseIsLong(const worker_state& worker) const
{
    return worker.leaseUntilWorkerMs - worker.workerNow(now) > settings.leaseTerms.renewalMs;
}

// When the leases of earlier leaders on the worker have ended. None of these leaders has had a quorum after
// `lastQuorumAt`; 0: not known.
ms cell_model::earlierLeasesEnd(const worker_state& worker, ms lastQuorumAt) const
{
    if (!earlierLeases)
        return beganAt + worstLeaseMs(settings.maxLeaseMs);
    const cell_takeover* takeover = takeoverBefore(worker);
    const earlier_leases& leases = takeover ? takeover->leases : *earlierLeases;
    ms quorumEnd = leases.longestEndAt;
    if (lastQuorumAt != 0)
        quorumEnd = std::min(quorumEnd, lastQuorumAt + leases.quorumMs);
    ms end = std::max(leases.endAt, quorumEnd);
    if (hasFault(cell_fault::count_longest_leases))
        return beganAt + longestGrantWindowMs + worstLeaseMs(settings.maxLeaseMs);
    return hasFault(cell_fault::count_short_leases) ? end - settings.maxLeaseMs / 2 : end;
}

// When a lease that an order to an earlier incarnation gave the worker has ended; 0: there is none.
ms cell_model::longLeaseEnd(const worker_state& worker, ms lastQuorumAt) const
{
    ms longestMs = worstLeaseMs(settings.maxLeaseMs);
    ms end = worker.newIncarnationAt == 0 ? 0 : worker.newIncarnationAt + longestMs;
    if (!worker.restoredLongLeases)
        return end;
    // If the incarnation had answered an earlier leader, its long lease began before that one's orders ended.
    ms leasesEnd = earlierLeasesEnd(worker, lastQuorumAt);
    ms restoredEnd = worker.awaitsFirstAnswer ? leasesEnd + longestMs
                                              : std::max(leasesEnd, earlierOrdersEnd(worker) + longestMs);
    return std::max(end, restoredEnd);
}

void cell_model::recordLongLeases(worker_state& worker)
{
    for (const task_placement& placement : worker.placements) {
        if (task_attempt* attempt = findAttempt(placement))
            attempt->longLease = true;
        markDirty(*placement.step->job);
    }
    worker.hasLongLeases = !worker.placements.empty();
}

void cell_model::expireLongLeases(worker_state& worker)
{
    if (!worker.hasLongLeases || worker.awaitsFirstAnswer || now <= longLeaseEnd(worker, majorityReportedAt))
        return;
    worker.hasLongLeases = worker.restoredLongLeases = false;
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = findAttempt(placement);
        if (attempt && std::exchange(attempt->longLease, false))
            markDirty(*placement.step->job);
    }
}

// Attempts of the earlier incarnation have ended, and those whose start was not sent are planned anew, since
// the new one may be of another kind. But a start that was sent before the new incarnation was known may have
// reached it, so attempts that the earlier one has not listed are kept until the new one reports.
void cell_model::handleNewIncarnation(worker_state& worker, std::string_view source)
{
    log(log_line("worker_new_life")
            .add("worker", worker.info.id)
            .add("source", source)
            .add("tasks", static_cast<int64_t>(worker.placements.size())));
    worker.incarnation++;
    worker.speed = 1;
    worker.newIncarnationAt = now;
    worker.awaitsFirstAnswer = true;
    worker.hasReported = false;
    worker.processedSequence = worker.acknowledgedSequence = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    worker.reportedAt = 0;
    std::erase_if(writingCompletions, [&](const auto& entry) { return entry.first == &worker; });
    std::vector<task_placement> ended;
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = findAttempt(placement);
        if (attempt && (attempt->confirmedByStartedUnixMs != 0 || !attempt->startSent))
            ended.push_back(placement);
        else if (attempt && attempt->phase == attempt_phase::stopping)
            attempt->stopAnsweredAt = attempt->stopSentAt = 0;
        markDirty(*placement.step->job); // The incarnation is recorded with its attempts.
    }
    endAttempts(worker, ended, "gang_member_lost");
}

// Ends attempts that certainly do not run any more, and queues their tasks again.
void cell_model::endAttempts(
    worker_state& worker, const std::vector<task_placement>& ended, std::string_view gangReason)
{
    for (const task_placement& placement : ended) {
        removeAttempt(*placement.step, placement.index, worker, placement.attempt);
        markDirty(*placement.step->job);
        stopGang(*placement.step, gangReason);
        requeue(*placement.step, placement.index);
    }
}

// Attempts that an unseen incarnation may run are kept.
void cell_model::endAttemptsWithLease(worker_state& worker)
{
    std::vector<task_placement> ended;
    std::copy_if(worker.placements.begin(), worker.placements.end(), std::back_inserter(ended),
        [&](const task_placement& placement) {
            const task_attempt* attempt = findAttempt(placement);
            return !attempt || !mayRunUnseen(*attempt);
        });
    if (!ended.empty())
        dropLostWorker(worker, worker.awaitsFirstAnswer ? "gone" : "lease_over", ended);
}

void cell_model::dropLostWorker(
    worker_state& worker, std::string_view reason, const std::vector<task_placement>& ended)
{
    log(log_line("worker_lost")
            .add("worker", worker.info.id)
            .add("why", reason)
            .add("silent_ms", worker.reportedAt == 0 ? -1 : now - worker.reportedAt)
            .add("led_ms", now - beganAt)
            .add("tasks", static_cast<int64_t>(ended.size()))
            .add("kept", static_cast<int64_t>(worker.placements.size() - ended.size()))
            .add("unreached_since", static_cast<int64_t>(worker.unreachedSince)));
    worker.hasReported = false;
    worker.processedSequence = worker.acknowledgedSequence = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    std::erase_if(writingCompletions, [&](const auto& entry) { return entry.first == &worker; });
    endAttempts(worker, ended, "gang_member_lost");
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
        m.dropLostWorker(worker, "silent", std::vector(worker.placements));
    if (worker.failedPolls == 1)
        m.log(log_line("look_failed").add("worker", poll.worker).add("outcome", toString(outcome)));
    if (outcome == order_outcome::fenced)
        m.markFenced(worker, poll.incarnation);
    if (outcome == order_outcome::other_incarnation && worker.hasReported
        && poll.incarnation == worker.incarnation)
        m.dropLostWorker(worker, "another_life_at_address", std::vector(worker.placements));
}

void cell::onReport(const worker_id& id, const worker_report& report, ms sentAt, ms now)
{
    m_model->now = now;
    if (worker_state* found = m_model->workers.find(id))
        m_model->onReport(*found, report, sentAt);
}

void cell_model::onReport(worker_state& worker, const worker_report& report, ms sentAt)
{
    // The later start time that an earlier leader recorded was taken from a clock that has been set back.
    // Nothing that it tells apart is left.
    if (!worker.hasReported && worker.placements.empty() && report.startedUnixMs != 0
        && worker.polledIncarnation == worker.incarnation)
        worker.info.startedUnixMs = std::min(worker.info.startedUnixMs, report.startedUnixMs);
    if (report.startedUnixMs != 0 && report.startedUnixMs < worker.info.startedUnixMs) {
        // The report is of an earlier incarnation, or of a later one that started after the worker's clock
        // was set back. It proves nothing about the attempts but that the token of the poll was accepted.
        if (worker.awaitsFirstAnswer && worker.polledIncarnation == worker.incarnation)
            noteFirstAnswer(worker);
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
            handleNewIncarnation(worker, "report");
        worker.info.startedUnixMs = report.startedUnixMs;
    }
    if (worker.polledIncarnation != worker.incarnation) {
        // The poll had the token of an earlier incarnation. The worker may still start what was ordered from
        // that, after this report.
        pollWorker(worker);
        return;
    }
    worker.clockWorkerMs = report.clockWorkerMs;
    worker.clockAt = now;
    worker.reportedAt = now;
    worker.answeredPollSentAt = sentAt;
    if (!worker.hasReported) {
        worker.hasReported = true;
        placingNeeded = true;
        if (worker.awaitsFirstAnswer || now <= longLeaseEnd(worker, now))
            noteFirstAnswer(worker);
        ms earlierEnd = std::max(earlierLeasesEnd(worker, now), longLeaseEnd(worker, now));
        ms earlierLease = std::min(worstLeaseMs(earlierEnd - now), settings.maxLeaseMs);
        worker.leaseUntilWorkerMs
            = std::max(worker.leaseUntilWorkerMs, report.clockWorkerMs + std::max<ms>(0, earlierLease));
        log(log_line("worker_taken")
                .add("worker", worker.info.id)
                .add("running", static_cast<int64_t>(report.running.size()))
                .add("lease_ms", worker.leaseUntilWorkerMs - report.clockWorkerMs));
    }
    noteReached(worker);
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
        handleListed(worker, running, report.startedUnixMs);
    size_t listedCompletions = std::max(report.listedCompletions, report.completions.size());
    if (worker.listedAttempts < worker.placements.size() && listedCompletions < maxListedCompletions)
        handleUnlisted(worker, sentAt);
    pollWorker(worker);
}

// Until now the worker accepted orders to its earlier incarnation.
void cell_model::noteFirstAnswer(worker_state& worker)
{
    worker.awaitsFirstAnswer = false;
    worker.newIncarnationAt = now;
    worker.restoredLongLeases = false;
    recordLongLeases(worker);
}

void cell_model::handleListed(worker_state& worker, const running_task& listedTask, int64_t startedUnixMs)
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
    confirmAttempt(*attempt, *step, startedUnixMs);
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
