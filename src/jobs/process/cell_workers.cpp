// Leases, looks at workers, and lost workers.
//
// One look a worker is under way at a time. It carries the token, renews the lease, acknowledges the ends
// that are durable, and comes back at the next end or after `lookWaitMs`. A copy counts as gone only on a
// definite word: its end is listed; the worker has another life; or the lease has surely lapsed by the
// worker's clock. A run that was ordered without an answer is stopped, which also forbids a late start, and
// counts as gone when a report asked for after the stop's answer does not list it.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr double clockError = 1.03; // A worker's clock may be 2% slow.
    constexpr ms lapseSlackMs = 300; // Between a lease's end and the kill, and the delay of answers.
    constexpr ms stopAgainMs = 700; // A stop without an answer is repeated after this.
    constexpr ms looksPerSecond = 500; // At all workers together, ends apart.
    constexpr ms lookAgainMs = 250; // After a look that failed, times the failures in a row.
    constexpr ms lookAgainMostMs = 1000;
    constexpr ms unacknowledgedMs = 300; // Between looks while ends wait for their record.
    constexpr size_t mostEndsListed = 500; // A report with so many ends may hold back more.
    constexpr ms departureMs = 700; // A task on a leaving worker is stopped so long before the end.
    constexpr ms departureDefaultMs = 2000; // Assumed when a leaving worker does not say.

} // namespace

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

worker_state& cell_model::workerNamed(const worker_id& id)
{
    if (worker_state* known = workers.find(id))
        return *known;
    auto added = std::make_unique<worker_state>();
    added->info.id = id;
    added->life = leastLife;
    return workers.add(std::move(added));
}

void cell_model::setWorker(const worker_record& record)
{
    worker_state& worker = workerNamed(record.id);
    bool wasDraining = worker.info.draining && worker.listed;
    if (record.startedUnixMs < worker.info.startedUnixMs)
        return; // News of an earlier life.
    if (worker.info.startedUnixMs != 0 && record.startedUnixMs > worker.info.startedUnixMs)
        meetNewLife(worker);
    if (!worker.listed)
        log(log_line("worker_listed").add("worker", record.id).add("service", record.service));
    worker.info = record;
    worker.listed = true;
    placeNeeded = true;
    if (record.draining && !wasDraining) {
        worker.drainedAt = now;
        log(log_line("worker_draining")
                .add("worker", record.id)
                .add("remaining_ms", record.remainingMs)
                .add("tasks", static_cast<int64_t>(worker.placed.size())));
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
            .add("tasks", static_cast<int64_t>(worker->placed.size())));
}

void cell_model::dropUnlisted()
{
    workers.eraseIf([&](const worker_state& worker) {
        if (worker.listed || !worker.placed.empty() || worker.looking)
            return false;
        bool silent = !worker.adopted || now - worker.answeredAt > settings.maxLeaseMs;
        bool writing = std::any_of(
            writingEnds.begin(), writingEnds.end(), [&](const auto& each) { return each.first == &worker; });
        if (!silent || writing)
            return false;
        // Should it come back, orders to it count as to a later life.
        leastLife = std::max(leastLife, worker.life + 1);
        return true;
    });
}

void cell_model::lookAtWorkers()
{
    dropUnlisted();
    for (worker_state* held : workers.all()) {
        if (!held->placed.empty() && leaseSurelyOver(*held))
            loseAll(*held, "lease_over");
        lookAt(*held);
    }
}

void cell_model::lookAt(worker_state& worker)
{
    // A look comes back at once while ends are listed that are not acknowledged.
    bool early = worker.processed != worker.acknowledged && now - worker.answeredAt < unacknowledgedMs;
    if (worker.looking || now < worker.lookAt || early || worker.info.address.empty())
        return;
    if (!worker.listed && worker.placed.empty())
        return;
    if (worker.doomed > 0)
        stopAgain(worker);
    poll_action look { worker.info.id, worker.acknowledged, std::nullopt, 0, worker.life };
    if (worker.adopted) {
        bool shared = worker.servingCpu > 0 && worker.fillerCpu > 0;
        // The more workers, the less often each is looked at, so that the rate stays bounded.
        ms paced = static_cast<ms>(workers.size()) * 1000 / looksPerSecond;
        look.waitMs = std::clamp(paced, shared ? settings.sharedLookWaitMs : settings.lookWaitMs,
            std::max(settings.lookWaitMs, settings.sharedLookWaitMs));
        // A worker that does not answer gets no longer leases, so that its last one is known to run out.
        if (mayGrant && worker.failedLooks == 0) {
            look.leaseUntilWorkerMs = worker.workerNow(now) + settings.leaseMs;
            worker.leaseUntilWorkerMs = std::max(worker.leaseUntilWorkerMs, *look.leaseUntilWorkerMs);
        }
    }
    worker.looking = true;
    actions.push_back(look);
}

// Repeats the stops that were not answered.
void cell_model::stopAgain(worker_state& worker)
{
    for (placement& each : worker.placed) {
        task_copy* copy = findCopy(each);
        if (copy && copy->phase == copy_phase::doomed && copy->ordered && copy->stopAnsweredAt == 0
            && now - copy->stopSentAt > stopAgainMs)
            sendStop(*each.step, each.index, *copy);
    }
}

bool cell_model::leaseSurelyOver(const worker_state& worker) const
{
    if (worker.answeredAt == 0) {
        auto longest = static_cast<ms>(static_cast<double>(settings.maxLeaseMs) * clockError);
        ms lastGrant = std::max(beganAt + settings.priorGrantMs, worker.lifeMetAt);
        return now - lastGrant > longest + lapseSlackMs;
    }
    auto left = static_cast<double>(std::max<ms>(0, worker.leaseUntilWorkerMs - worker.clockWorkerMs));
    return now - worker.clockAt > static_cast<ms>(left * clockError) + lapseSlackMs;
}

// What ran in the earlier life is over. But an order that was sent before the new life was known may have
// reached it, so each copy waits for what the new life reports.
void cell_model::meetNewLife(worker_state& worker)
{
    log(log_line("worker_new_life")
            .add("worker", worker.info.id)
            .add("tasks", static_cast<int64_t>(worker.placed.size())));
    worker.life++;
    worker.speed = 1;
    worker.lifeMetAt = now;
    worker.adopted = false;
    worker.processed = worker.acknowledged = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    worker.answeredAt = 0;
    std::erase_if(writingEnds, [&](const auto& each) { return each.first == &worker; });
    for (const placement& each : worker.placed) {
        task_copy* copy = findCopy(each);
        if (copy && copy->phase == copy_phase::doomed)
            copy->stopAnsweredAt = copy->stopSentAt = 0;
    }
}

void cell_model::loseAll(worker_state& worker, std::string_view why)
{
    log(log_line("worker_lost")
            .add("worker", worker.info.id)
            .add("why", why)
            .add("silent_ms", worker.answeredAt == 0 ? -1 : now - worker.answeredAt)
            .add("tasks", static_cast<int64_t>(worker.placed.size())));
    worker.adopted = false;
    worker.processed = worker.acknowledged = 0;
    worker.leaseUntilWorkerMs = worker.clockWorkerMs = 0;
    std::erase_if(writingEnds, [&](const auto& each) { return each.first == &worker; });
    std::vector<placement> lost = worker.placed;
    for (const placement& each : lost) {
        removeCopy(*each.step, each.index, worker, each.run);
        touch(*each.step->job);
        breakGang(*each.step, "gang_member_lost");
        requeue(*each.step, each.index);
    }
}

void cell::onLookFailed(const poll_action& look, order_outcome outcome, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    worker_state* found = m.workers.find(look.worker);
    if (!found)
        return;
    worker_state& worker = *found;
    worker.looking = false;
    worker.failedLooks++;
    if (m.has(cell_fault::trust_silence) && worker.adopted)
        m.loseAll(worker, "silent");
    worker.lookAt = now + std::min<ms>(lookAgainMs * worker.failedLooks, lookAgainMostMs);
    if (worker.failedLooks == 1)
        m.log(log_line("look_failed").add("worker", look.worker).add("outcome", toString(outcome)));
    if (outcome == order_outcome::fenced)
        m.noteFenced(worker, look.incarnation);
    if (outcome == order_outcome::reborn && worker.adopted)
        m.loseAll(worker, "another_life_at_address");
}

void cell::onReport(const worker_id& id, const worker_report& report, ms sentAt, ms now)
{
    m_model->now = now;
    if (worker_state* found = m_model->workers.find(id))
        m_model->onReport(*found, report, sentAt);
}

void cell_model::onReport(worker_state& worker, const worker_report& report, ms sentAt)
{
    worker.looking = false;
    worker.lookAt = now;
    if (worker.failedLooks > 0)
        placeNeeded = true;
    worker.failedLooks = 0;
    if (report.startedUnixMs != 0 && report.startedUnixMs < worker.info.startedUnixMs)
        return; // Of an earlier life.
    if (report.startedUnixMs > worker.info.startedUnixMs) {
        if (worker.info.startedUnixMs != 0)
            meetNewLife(worker);
        worker.info.startedUnixMs = report.startedUnixMs;
    }
    worker.clockWorkerMs = report.clockWorkerMs;
    worker.clockAt = now;
    worker.answeredAt = now;
    if (!worker.adopted) {
        worker.adopted = true;
        placeNeeded = true;
        worker.leaseUntilWorkerMs
            = std::max(worker.leaseUntilWorkerMs, report.clockWorkerMs + settings.maxLeaseMs);
        log(log_line("worker_taken")
                .add("worker", worker.info.id)
                .add("running", static_cast<int64_t>(report.running.size())));
    }
    worker.reports++;
    for (const task_completion& each : report.completions) {
        if (each.sequence > worker.processed) {
            takeEnd(worker, each);
            worker.processed = each.sequence;
            worker.acknowledged = has(cell_fault::acknowledge_early) ? each.sequence : worker.acknowledged;
        }
    }
    worker.unknownRuns = 0;
    worker.listedRuns = 0;
    for (const running_task& each : report.running)
        noteRunning(worker, each);
    if (worker.listedRuns < worker.placed.size() && report.completions.size() < mostEndsListed)
        noteAbsent(worker, sentAt);
    lookAt(worker);
}

void cell_model::noteRunning(worker_state& worker, const running_task& seen)
{
    step_run* step = findStep(seen.task);
    task_copy* copy = step ? findCopy({ step, seen.task.index, seen.attempt }) : nullptr;
    if (copy && copy->on != &worker)
        copy = nullptr;
    if (!copy) {
        // Nothing recorded asks for it. It must end before its task is started anywhere.
        worker.unknownRuns++;
        log(log_line("unknown_run")
                .add("task", seen.task.str())
                .add("run", seen.attempt)
                .add("worker", worker.info.id));
        actions.push_back(stop_action { worker.info.id, seen.task, seen.attempt, worker.life });
        return;
    }
    worker.listedRuns += copy->listedIn != worker.reports;
    copy->listedIn = worker.reports;
    noteStarted(*step->job);
    bool restored = copy->phase == copy_phase::restored;
    if (copy->phase == copy_phase::ordered || restored) {
        copy->phase = copy_phase::running;
        copy->percentAt = now;
    }
    if (restored && step->spec->isBestEffort)
        copy->pace = task_copy::paceUnknown;
    noteProgress(worker, *step, *copy, seen.progressPercent);
    if (seen.progressPercent != copy->percent) {
        copy->percent = seen.progressPercent;
        copy->percentAt = now;
    }
    copy->load = seen.measurement;
    if (!seen.checkpoint.empty())
        step->tasks[static_cast<size_t>(seen.task.index)].checkpoint = seen.checkpoint;
}

void cell_model::noteAbsent(worker_state& worker, ms sentAt)
{
    std::vector<placement> absent;
    for (const placement& each : worker.placed) {
        task_copy* copy = findCopy(each);
        if (copy && copy->listedIn != worker.reports)
            absent.push_back(each);
    }
    for (const placement& each : absent) {
        task_copy* copy = findCopy(each);
        bool gone = false;
        if (copy->phase == copy_phase::restored)
            gone = true; // A start under an earlier token is refused from now on.
        else if (copy->phase == copy_phase::doomed)
            gone = copy->stopAnsweredAt != 0 && copy->stopAnsweredAt < sentAt;
        else if (copy->phase == copy_phase::running && copy->answeredAt < sentAt)
            doom(*each.step, each.index, *copy, "not_listed");
        if (!gone)
            continue;
        log(log_line("run_absent")
                .add("task", each.step->ref(each.index).str())
                .add("run", each.run)
                .add("worker", worker.info.id));
        removeCopy(*each.step, each.index, worker, each.run);
        touch(*each.step->job);
        breakGang(*each.step, "gang_member_absent");
        requeue(*each.step, each.index);
    }
}

// Lasting tasks leave a draining worker at once, so that they are away only for a restart. Others are
// stopped, with a checkpoint where they have one, shortly before the worker goes.
void cell_model::emptyDraining()
{
    for (worker_state* held : workers.all()) {
        worker_state& worker = *held;
        if (!worker.info.draining || !worker.adopted)
            continue;
        ms left = (worker.info.remainingMs >= 0 ? worker.info.remainingMs : departureDefaultMs)
            - (now - worker.drainedAt);
        for (const placement& each : worker.placed) {
            task_copy* copy = findCopy(each);
            if (copy && (each.step->spec->isService || left < departureMs))
                doom(*each.step, each.index, *copy, "worker_leaves");
        }
    }
}

} // namespace camphorwell
