// Placement, outcomes and recovery of work at its leader. See work_coordinator.h for the algorithm.
#include "coordination/request/work_coordinator.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t noCapacityPauseMs = 20;
    constexpr int64_t retryPauseMs = 50;
    constexpr size_t maxDropped = 20'000; // Maximum size of the record of ended attempts of dropped work.
    constexpr size_t maxEnded = 64; // Maximum number of ended attempts recorded per unit of work.
    constexpr uint32_t maxFailures = 3; // Failed attempts after which idempotent work fails.
    constexpr size_t maxDispatchScan = 32; // Maximum number of candidates in one dispatch.
    constexpr unsigned attemptShift = 10; // The view number is in the bits above, a count below.

} // namespace

// ---- Placement -------------------------------------------------------------------------------------------

work_coordinator::queue_key work_coordinator::keyOf(const item& it) const
{
    return { it.work.urgent ? 0 : it.work.batch ? 2 : 1, it.deadline, it.work.id };
}

void work_coordinator::setPhase(item& it, phase_type next)
{
    if (std::holds_alternative<queued>(it.phase))
        m_queue.erase(keyOf(it));
    if (std::holds_alternative<placed>(it.phase))
        m_placedCount--;
    it.phase = std::move(next);
    if (std::holds_alternative<queued>(it.phase))
        m_queue.insert(keyOf(it));
    if (std::holds_alternative<placed>(it.phase))
        m_placedCount++;
}

void work_coordinator::setDeadline(item& it, instant deadline)
{
    bool waiting = std::holds_alternative<queued>(it.phase);
    if (waiting)
        m_queue.erase(keyOf(it));
    it.deadline = deadline;
    if (waiting)
        m_queue.insert(keyOf(it));
}

void work_coordinator::enqueue(item& it, instant notBefore, reason why)
{
    setPhase(it, queued { notBefore, why });
}

void work_coordinator::onHeartbeat(const instance_id& from, const heartbeat& beat)
{
    m_capacityHints[from] = { beat.freeCapacity, beat.freeSlots };
}

std::optional<member> work_coordinator::chooseHolder(const item& it)
{
    const auto& self = m_context.options.self;
    if (it.work.need.fits(m_holder.largestFreeCapacity()))
        return self;
    const member* best = nullptr;
    for (const auto& m : m_members.acknowledgedView().members) {
        if (m.id == self.id || !m_members.isAlive(m.id) || !m_members.hasAcknowledged(m.id))
            continue;
        auto hint = m_capacityHints.find(m.id);
        if (hint == m_capacityHints.end() || hint->second.freeSlots <= 0
            || !it.work.need.fits(hint->second.freeCapacity))
            continue;
        if (!best || hint->second.freeSlots > m_capacityHints[best->id].freeSlots)
            best = &m;
    }
    if (best)
        return *best;
    if (!it.work.urgent)
        return std::nullopt;
    // No holder reports enough free capacity. A randomly chosen one may evict tasks for urgent work.
    const auto& members = m_members.acknowledgedView().members;
    std::uniform_int_distribution<size_t> pick(0, members.size() - 1);
    const member& chosen = members[pick(m_context.random)];
    bool usable = m_members.isAlive(chosen.id) && m_members.hasAcknowledged(chosen.id);
    return usable ? std::optional<member>(chosen) : std::nullopt;
}

void work_coordinator::dispatch()
{
    std::vector<work_id> candidates;
    for (const auto& key : m_queue) {
        if (candidates.size() >= maxDispatchScan)
            break;
        const item& it = m_items.at(key.id);
        bool due = std::get<queued>(it.phase).notBefore <= m_context.now;
        due = due && (it.work.batch || m_context.now < it.deadline);
        if (due && !it.unverified && active(key.id))
            candidates.push_back(key.id);
    }
    for (const auto& id : candidates) {
        auto found = m_items.find(id);
        if (found == m_items.end() || !std::holds_alternative<queued>(found->second.phase))
            continue;
        item& it = found->second;
        uint64_t placedUnder = it.highestAttempt >> attemptShift;
        if (placedUnder > m_members.acknowledgedView().id.number) {
            // An attempt number of a later view, from the log or a report, shows a change of leader.
            m_members.raiseHighestNumber(placedUnder);
            std::get<queued>(it.phase).notBefore = m_context.now + milliseconds(retryPauseMs);
            continue;
        }
        auto target = chooseHolder(it);
        if (!target) {
            std::get<queued>(it.phase).notBefore = m_context.now + milliseconds(noCapacityPauseMs);
            m_context.count(reason::no_room);
            continue;
        }
        place(it, *target);
    }
}

void work_coordinator::place(item& it, const member& target)
{
    uint64_t base = m_members.acknowledgedView().id.number << attemptShift;
    it.highestAttempt = std::max(it.highestAttempt, base) + 1;
    it.work.attempt = it.highestAttempt;
    placed at;
    at.holder = target;
    at.nextSend = m_context.now + milliseconds(m_context.options.resendMs);
    at.view = m_members.acknowledgedView().id;
    setPhase(it, at);
    note(it, "start sent to " + target.id);
    if (target.id != m_context.options.self.id)
        m_capacityHints[target.id].freeSlots--;
    sendStart(it, at);
}

// A repeated start carries the view of the first one: a holder that has acknowledged another view and does
// not know the attempt refuses it, and the refusal is final.
//
// The start is sent only to a holder that has acknowledged the current view. A start that arrived earlier
// would be accepted once the holder acknowledges the view, when the work may have another leader.
void work_coordinator::sendStart(item& it, const placed& at)
{
    bool repetition = at.view != m_members.acknowledgedView().id;
    bool allowed = repetition || active(it.work.id);
    if (!allowed || !m_members.hasAcknowledged(at.holder.id))
        return;
    it.work.deadlineMs = std::max<int64_t>((it.deadline - m_context.now).count() / 1000, 1);
    m_context.send(at.holder.id, start_work { at.view, it.work });
}

void work_coordinator::onRefused(const member& from, const start_refused& refused)
{
    auto found = m_items.find(refused.id);
    if (found == m_items.end() || found->second.work.attempt != refused.attempt)
        return;
    item& it = found->second;
    auto* at = std::get_if<placed>(&it.phase);
    // A refusal counts when it comes from the incarnation that received the start, since a restarted holder
    // does not know the starts of its predecessor, and when the attempt is not known to run, since a
    // repeated start may be refused late. A refusal by the worker itself always counts.
    if (!at)
        return;
    bool ownWord
        = !at->acknowledged && at->holder.id == from.id && at->holder.incarnation == from.incarnation;
    if (!ownWord && !refused.byWorker)
        return;
    m_context.count(refused.why);
    note(it, "refused by " + from.id + ": " + std::string(reasonInfo(refused.why).name));
    if (refused.why == reason::no_room && from.id != m_context.options.self.id)
        m_capacityHints[from.id].freeSlots = 0;
    if (it.cancelling) {
        finish(it, cancelledAnswer(it), record_kind::cancelled);
        return;
    }
    enqueue(it, m_context.now + m_context.jitter(noCapacityPauseMs), refused.why);
    if (it.expired)
        expire(it);
}

// ---- Outcomes --------------------------------------------------------------------------------------------

void work_coordinator::acknowledgeUpdate(const instance_id& to, const task_report& report)
{
    m_context.send(to, task_update_kept { report.id, report.attempt });
}

void work_coordinator::onUpdate(const instance_id& from, const task_update& update)
{
    applyReport(from, update.id, update.report);
}

void work_coordinator::onWorkerTaken(const instance_id& from, const worker_taken& taken)
{
    for (const auto& report : taken.tasks)
        applyReport(from, taken.id, report);
}

void work_coordinator::applyReport(const instance_id& from, const view_id& id, const task_report& report)
{
    if (!leads(report.id))
        return;
    auto kept = m_keptAnswers.find(report.id);
    if (kept != m_keptAnswers.end()) {
        bool waits = !kept->second.recordId.empty() && kept->second.attempt == report.attempt;
        if (report.state != task_state::running && !waits)
            acknowledgeUpdate(from, report);
        // The work has ended, so the running attempt is redundant.
        if (report.state == task_state::running)
            m_context.send(from, stop_work { report.id, report.attempt });
        return;
    }
    auto found = m_items.find(report.id);
    if (found == m_items.end()) {
        adoptUnknownWork(from, report);
        return;
    }
    item& it = found->second;
    bool current = report.attempt == it.work.attempt && !it.endedAttempts.count(report.attempt);
    if (!current && !replacesAttempt(from, id, report, it))
        return;
    it.work.attempt = report.attempt;
    it.highestAttempt = std::max(it.highestAttempt, report.attempt);
    it.otherAttempt.reset();
    it.mayHaveStarted = true;
    it.durable = true; // An attempt is started only after the opening record is durable.
    if (report.state == task_state::running) {
        placed at;
        at.holder = { from, 0, false };
        if (const member* m = m_members.acknowledgedView().find(from))
            at.holder = *m;
        at.acknowledged = true;
        at.worker = report.worker;
        at.view = id;
        // A report under another view neither confirms the attempt in this view nor makes it unconfirmed.
        const auto* before = std::get_if<placed>(&it.phase);
        at.unconfirmed = before && before->unconfirmed && id != m_members.acknowledgedView().id;
        at.nextSend = m_context.now + milliseconds(m_context.options.resendMs);
        setPhase(it, at);
        return;
    }
    // `lost` is accepted only under the current view and from the holder of the attempt, or for
    // non-idempotent work that is not placed, where it shows that an attempt was started.
    if (report.state == task_state::lost) {
        const auto* at = std::get_if<placed>(&it.phase);
        bool known = at && at->holder.id == from;
        bool warned = !at && !it.work.idempotent;
        if (id != m_members.acknowledgedView().id || (!known && !warned))
            return;
    }
    bool durableFirst = it.logged && report.state != task_state::never_started;
    onEnded(it, report);
    auto after = m_keptAnswers.find(report.id);
    bool waits = after != m_keptAnswers.end() && !after->second.recordId.empty();
    if (durableFirst && waits)
        m_acknowledgeWhenDurable[after->second.recordId] = { from, report };
    else
        acknowledgeUpdate(from, report);
}

// Returns whether a report of another attempt replaces the current one. Attempt numbers follow view
// numbers, and a view with a lower number may have been in use later, so the running attempt can have the
// lower number.
bool work_coordinator::replacesAttempt(
    const instance_id& from, const view_id& id, const task_report& report, item& it)
{
    bool over = it.endedAttempts.count(report.attempt) != 0;
    if (!over && report.attempt > it.highestAttempt)
        return true;
    const auto* at = std::get_if<placed>(&it.phase);
    bool undecided = !at || !at->acknowledged;
    bool alive = report.state == task_state::running || report.state == task_state::done;
    // A lost attempt of another leader decides the outcome of non-idempotent work.
    if (!over && !at && !it.work.idempotent && report.state == task_state::lost)
        return true;
    if (over || !undecided || !alive || id != m_members.acknowledgedView().id) {
        if (report.state != task_state::running)
            acknowledgeUpdate(from, report); // The report is obsolete; this stops its repetition.
        return false;
    }
    if (!at || m_members.transferComplete())
        return true;
    it.otherAttempt = { from, report }; // Applied when the outcome of the pending start is known.
    return false;
}

void work_coordinator::recordEnded(item& it, uint64_t attempt)
{
    it.endedAttempts.insert(attempt);
    if (it.endedAttempts.size() > maxEnded)
        it.endedAttempts.erase(it.endedAttempts.begin());
}

// Creates work that a holder reports and that this instance, its current leader, does not know.
void work_coordinator::adoptUnknownWork(const instance_id& from, const task_report& report)
{
    auto over = m_droppedAttempts.find(report.id);
    if (over != m_droppedAttempts.end() && report.attempt <= over->second
        && report.state != task_state::done) {
        if (report.state != task_state::running)
            acknowledgeUpdate(from, report);
        return;
    }
    bool logged = report.batch || !report.idempotent;
    const durable_state* state = logged ? m_log.find(report.id) : nullptr;
    if (state && state->end) {
        restoreAnswer(report.id, *state);
        acknowledgeUpdate(from, report);
        return;
    }
    bool whole = report.state == task_state::running || report.state == task_state::done;
    if (logged && !state && !whole && !m_log.recovered())
        return; // The holder repeats the report; by then the log may have been read.
    if (state && !state->first.work.id.empty())
        createFromLog(report.id, *state).unverified = true;
    else
        createFromReport(report, logged);
    note(m_items.at(report.id), "reported by " + from);
    // A report of an attempt that no longer runs still ends that attempt.
    item& it = m_items.at(report.id);
    bool news = report.attempt > it.highestAttempt;
    if (news && report.state != task_state::running) {
        it.work.attempt = report.attempt;
        placed at;
        at.acknowledged = true;
        if (const member* m = m_members.acknowledgedView().find(from))
            at.holder = *m;
        at.view = m_members.acknowledgedView().id;
        setPhase(it, at);
    }
    // A report of an old attempt leaves the work unfinished.
    if (!news)
        enqueue(it, m_context.now, reason::retry_worker_lost);
    applyReport(from, m_members.acknowledgedView().id, report);
}

void work_coordinator::createFromReport(const task_report& report, bool logged)
{
    item& it = m_items[report.id];
    it.work.id = report.id;
    it.work.entry = report.entry;
    it.work.need = report.need;
    it.work.batch = report.batch;
    it.work.idempotent = report.idempotent;
    it.logged = logged;
    it.requestKnown = false;
    it.mayHaveStarted = true;
    it.created = m_context.now;
    it.phase = recording {};
    m_entryCounts[it.work.entry]++;
}

work_coordinator::item& work_coordinator::createFromLog(const work_id& id, const durable_state& state)
{
    item& it = m_items[id];
    it.work = state.first.work;
    it.work.attempt = state.attempt;
    it.highestAttempt = state.attempt;
    recordEnded(it, state.attempt); // The log contains only ended attempts.
    it.work.checkpoint = state.checkpoint;
    it.bodyHash = state.first.bodyHash;
    it.logged = true;
    it.durable = true;
    it.mayHaveStarted = true;
    it.created = m_context.now;
    it.deadline = m_context.now + milliseconds(it.work.deadlineMs);
    it.phase = recording {};
    m_entryCounts[it.work.entry]++;
    note(it, "recovered from the log");
    return it;
}

void work_coordinator::restoreAnswer(const work_id& id, const durable_state& state)
{
    kept_answer keep;
    keep.bodyHash = state.first.bodyHash;
    keep.attempt = state.end->work.attempt;
    keep.at = m_context.now;
    keep.answer = refusedAnswer(id, reason::outcome_unknown, "the outcome of work " + id + " is not known");
    keep.answer.worker = state.end->worker;
    keep.answer.attempt = keep.attempt;
    if (state.end->kind == record_kind::done) {
        keep.answer.state = answer_state::done;
        keep.answer.result = state.end->result;
        keep.answer.why = {};
    } else if (state.end->kind == record_kind::failed) {
        keep.answer.why = { reason::task_failed, "work " + id + " failed" };
    } else if (state.end->kind == record_kind::cancelled) {
        // The record does not contain whether an attempt ran before the cancellation.
        keep.answer.why = { reason::stopped, "work " + id + " was cancelled" };
    }
    m_keptAnswers[id] = std::move(keep);
    m_keptOrder.emplace_back(m_context.now, id);
}

void work_coordinator::onEnded(item& it, const task_report& report)
{
    work_id id = it.work.id;
    note(it, std::string(toString(report.state)) + " on " + report.worker);
    recordEnded(it, report.attempt);
    answer out;
    out.id = id;
    out.attempt = report.attempt;
    out.worker = report.worker;
    switch (report.state) {
    case task_state::running:
    case task_state::never_started:
        return;
    case task_state::done:
        out.state = answer_state::done;
        out.result = report.result;
        finish(it, out, record_kind::done);
        return;
    case task_state::failed:
        it.failures++;
        if (it.work.idempotent && it.requestKnown && it.failures < maxFailures) {
            retry(it, reason::retry_task_failed, m_context.jitter(retryPauseMs));
            return;
        }
        out.why = { reason::task_failed, "work " + id + " failed on worker " + report.worker };
        finish(it, out, record_kind::failed);
        return;
    case task_state::stopped:
        out.why = { it.cancelling ? reason::stopped : reason::outcome_unknown,
            "work " + id + " was stopped on worker " + report.worker };
        if (!it.cancelling && it.work.idempotent && it.requestKnown) {
            retry(it, reason::retry_worker_lost, m_context.jitter(retryPauseMs));
            return;
        }
        finish(it, out, it.cancelling ? record_kind::cancelled : record_kind::unknown);
        return;
    case task_state::evicted: {
        it.work.checkpoint = report.checkpoint;
        work_record record;
        record.kind = record_kind::evict;
        record.work.id = id;
        record.work.attempt = report.attempt;
        record.work.checkpoint = report.checkpoint;
        if (it.logged)
            m_log.add(std::move(record));
        if (m_context.hasFault(fault::resume_twice)) {
            it.work.attempt = ++it.highestAttempt;
            m_context.send(
                m_context.options.self.id, start_work { m_members.acknowledgedView().id, it.work });
        }
        retry(it, reason::retry_evicted, m_context.jitter(retryPauseMs));
        return;
    }
    case task_state::lost:
        if (it.work.idempotent || m_context.hasFault(fault::rerun_unknown)) {
            retry(it, reason::retry_worker_lost, m_context.jitter(retryPauseMs));
            return;
        }
        out.why
            = { reason::outcome_unknown, "worker " + report.worker + " was lost while work " + id + " ran" };
        finish(it, out, record_kind::unknown);
        return;
    }
}

// The reason tells callers whether an attempt may have run: `stopped` or `cancelled`.
answer work_coordinator::cancelledAnswer(const item& it) const
{
    reason code = it.mayHaveStarted ? reason::stopped : reason::cancelled;
    return refusedAnswer(it.work.id, code, "work " + it.work.id + " was cancelled by a request");
}

void work_coordinator::retry(item& it, reason why, instant pause)
{
    m_context.count(why);
    work_id id = it.work.id;
    if (it.cancelling) {
        finish(it, cancelledAnswer(it), record_kind::cancelled);
        return;
    }
    if (!it.requestKnown && it.logged) {
        it.unverified = true; // The missing fields are in the log.
        enqueue(it, m_context.now + pause, why);
        return;
    }
    // Work without a body cannot run again, and expired work without waiters need not; a caller may submit it
    // again.
    bool pointless = !it.requestKnown || (it.expired && it.waiters.empty() && !it.work.batch);
    if (pointless) {
        rememberDropped(id, it.highestAttempt);
        eraseItem(id);
        return;
    }
    enqueue(it, m_context.now + pause, why);
}

void work_coordinator::finish(item& it, const answer& out, record_kind kind)
{
    work_id id = it.work.id;
    kept_answer keep;
    keep.answer = out;
    keep.bodyHash = it.bodyHash;
    keep.attempt = it.work.attempt;
    keep.at = m_context.now;
    if (it.logged) {
        work_record record;
        record.kind = kind;
        record.work.id = id;
        record.work.attempt = it.work.attempt;
        record.result = out.state == answer_state::done ? out.result : std::string();
        record.worker = out.worker;
        keep.recordId = m_log.add(std::move(record));
        m_pendingRecords[keep.recordId] = id;
    }
    // Until the cancellation is durable another leader could still run the work.
    if (kind == record_kind::cancelled && !keep.recordId.empty() && it.work.batch)
        keep.waiters = std::move(it.waiters);
    else
        answerWaiters(it, out);
    it.waiters.clear();
    eraseItem(id);
    // The refusal of work that did not run is not kept, so that a retry with the same key may run.
    bool refusedUnrun = !keep.recordId.empty() ? false : reasonInfo(out.why.code).ran == was_executed::no;
    if (out.state == answer_state::refused && refusedUnrun && out.why.code != reason::cancelled)
        return;
    m_keptAnswers[id] = std::move(keep);
    m_keptOrder.emplace_back(m_context.now, id);
}

void work_coordinator::rememberDropped(const work_id& id, uint64_t attempt)
{
    if (m_droppedAttempts.emplace(id, attempt).second)
        m_droppedOrder.push_back(id);
    m_droppedAttempts[id] = std::max(m_droppedAttempts[id], attempt);
    if (m_droppedOrder.size() > maxDropped) {
        m_droppedAttempts.erase(m_droppedOrder.front());
        m_droppedOrder.pop_front();
    }
}

void work_coordinator::eraseItem(const work_id& id)
{
    auto found = m_items.find(id);
    if (found == m_items.end())
        return;
    item& it = found->second;
    setPhase(it, recording {});
    for (const auto& [ticket, async] : it.waiters)
        m_ticketWork.erase(ticket);
    auto count = m_entryCounts.find(it.work.entry);
    if (count != m_entryCounts.end() && --count->second <= 0)
        m_entryCounts.erase(count);
    m_items.erase(found);
}

// ---- Recovery --------------------------------------------------------------------------------------------

void work_coordinator::resolveUnconfirmed()
{
    if (!m_members.transferComplete())
        return;
    std::vector<work_id> unconfirmed;
    for (auto& [id, it] : m_items) {
        const auto* at = std::get_if<placed>(&it.phase);
        if (at && at->unconfirmed)
            unconfirmed.push_back(id);
    }
    for (const auto& id : unconfirmed)
        resolveUnconfirmedItem(m_items.at(id));
}

// Called when every worker was leased under this view and none reported the attempt. A start that is still in
// flight carries an earlier view and will be refused.
void work_coordinator::resolveUnconfirmedItem(item& it)
{
    if (it.otherAttempt) {
        auto [from, report] = *it.otherAttempt;
        it.otherAttempt.reset();
        applyReport(from, m_members.acknowledgedView().id, report);
        return;
    }
    note(it, "no worker has it");
    it.mayHaveStarted = true;
    if (it.work.idempotent || m_context.hasFault(fault::rerun_unknown)) {
        retry(it, reason::retry_worker_lost, m_context.jitter(retryPauseMs));
        return;
    }
    work_id id = it.work.id;
    finish(it,
        refusedAnswer(id, reason::outcome_unknown, "work " + id + " was lost with its worker or holder"),
        record_kind::unknown);
}

void work_coordinator::onLogSettled()
{
    for (const auto& [recordId, durable] : m_log.takeSettled()) {
        auto keep = m_acknowledgeWhenDurable.find(recordId);
        if (keep != m_acknowledgeWhenDurable.end()) {
            acknowledgeUpdate(keep->second.first, keep->second.second);
            m_acknowledgeWhenDurable.erase(keep);
        }
        auto found = m_pendingRecords.find(recordId);
        if (found == m_pendingRecords.end())
            continue;
        work_id id = found->second;
        m_pendingRecords.erase(found);
        auto kept = m_keptAnswers.find(id);
        if (kept != m_keptAnswers.end() && kept->second.recordId == recordId) {
            kept->second.recordId.clear();
            auto waiters = std::move(kept->second.waiters);
            kept->second.waiters.clear();
            answer out = kept->second.answer;
            for (const auto& [ticket, async] : waiters) {
                m_ticketWork.erase(ticket);
                m_sendAnswer(ticket, out);
            }
        }
        auto it = m_items.find(id);
        if (it == m_items.end())
            continue;
        const auto* waiting = std::get_if<recording>(&it->second.phase);
        if (!waiting || waiting->recordId != recordId)
            continue;
        if (!durable) {
            answer out = refusedAnswer(id, reason::log_unavailable, "the record was not taken");
            answerWaiters(it->second, out);
            eraseItem(id);
            continue;
        }
        it->second.durable = true;
        note(it->second, "recorded");
        enqueue(it->second, m_context.now, reason::no_room);
        if (it->second.work.batch)
            acceptWaiters(it->second);
    }
}

// Compares the whole log with the items once the state transfer of a view is complete, and afterwards only
// work with new records.
void work_coordinator::recoverAll()
{
    if (!m_log.recovered() || !m_members.transferComplete())
        return;
    auto changed = m_log.takeChanged();
    if (m_logScanned) {
        for (const auto& id : changed)
            recover(id);
        return;
    }
    m_logScanned = true;
    changed.clear();
    for (const auto& [id, state] : m_log.states())
        changed.push_back(id);
    for (const auto& id : changed)
        recover(id);
    // Work without an outcome record is unfinished.
    for (auto& [id, it] : m_items)
        it.unverified = !it.requestKnown;
    std::fill(m_logCompared.begin(), m_logCompared.end(), true);
}

void work_coordinator::recover(const work_id& id)
{
    const durable_state* state = m_log.find(id);
    if (!leads(id) || !state || state->first.work.id.empty() || m_keptAnswers.count(id))
        return;
    auto found = m_items.find(id);
    if (found != m_items.end() && state->end) {
        finishFromLog(found->second, *state);
        return;
    }
    if (found != m_items.end()) {
        completeFromLog(found->second, *state);
        return;
    }
    if (state->end) {
        restoreAnswer(id, *state);
        return;
    }
    item& it = createFromLog(id, *state);
    bool mayRun = it.work.batch && it.work.idempotent;
    if (mayRun || m_context.hasFault(fault::rerun_unknown)) {
        enqueue(it, m_context.now, reason::no_room);
        return;
    }
    finish(it, refusedAnswer(id, reason::outcome_unknown, "the intent of work " + id + " has no outcome"),
        record_kind::unknown);
}

// Handles work that another leader has finished under a view without this instance.
void work_coordinator::finishFromLog(item& it, const durable_state& state)
{
    work_id id = it.work.id;
    if (const auto* at = std::get_if<placed>(&it.phase))
        m_context.send(at->holder.id, stop_work { id, it.work.attempt });
    restoreAnswer(id, state);
    answerWaiters(it, m_keptAnswers.at(id).answer);
    eraseItem(id);
}

void work_coordinator::completeFromLog(item& it, const durable_state& state)
{
    if (it.requestKnown)
        return;
    it.requestKnown = true;
    it.unverified = false;
    it.durable = true;
    it.work.body = state.first.work.body;
    it.work.owner = state.first.work.owner;
    it.bodyHash = state.first.bodyHash;
    setDeadline(it, m_context.now + milliseconds(state.first.work.deadlineMs));
}

} // namespace camphorwell
