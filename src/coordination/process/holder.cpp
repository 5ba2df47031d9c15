// See holder.h for the algorithm.
#include "coordination/process/holder.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr unsigned numberShift = 32; // A token is view number, proposer hash, and count, from the top.
    constexpr unsigned proposerShift = 16;
    constexpr int64_t endedKeepMs = 60'000; // Ended tasks stay in inventories this long.
    constexpr int64_t askAgainMs = 250;
    constexpr int64_t pastStartKeepMs = 120'000; // Repeated starts are recognised this long.
    constexpr size_t maxPastStarts = 50'000;
    constexpr uint32_t failuresToQuarantine = 4; // Failures in a row, of different work, that fence a worker.
    constexpr int64_t quarantineMs = 30'000;

    std::string holderName(const member& self) { return self.id + "#" + std::to_string(self.incarnation); }

    bool isFinal(task_state state) { return state != task_state::running; }

} // namespace

holder::holder(context& shared, membership& members)
    : m_context(shared)
    , m_members(members)
{
}

// ---- Leases ----------------------------------------------------------------------------------------------

void holder::expire()
{
    if (m_context.now < m_nextExpiry)
        return;
    for (auto& [id, record] : m_workers) {
        if (record.lease != lease_state::held || m_context.now < record.leaseEnds)
            continue;
        if (!m_context.has(fault::reuse_lapsed_lease))
            loseLease(record);
    }
    if (usableCount() == 0)
        m_unbroken = false;
    bool inUse = std::any_of(
        m_workers.begin(), m_workers.end(), [this](const auto& item) { return heldUnderView(item.second); });
    m_heldAny = m_heldAny || inUse;
    if (m_heldAny && !inUse && !m_stale && !m_context.has(fault::lease_after_lapse)) {
        m_stale = true;
        m_members.sawNumber(m_members.promised().id.number + 1);
    }
    // Renewals only move the ends later; taking or losing a worker sets this back.
    m_nextExpiry = instant::max();
    for (const auto& [id, record] : m_workers) {
        if (record.lease == lease_state::held)
            m_nextExpiry = std::min(m_nextExpiry, record.leaseEnds);
    }
}

bool holder::heldUnderView(const worker_record& record) const
{
    return record.lease == lease_state::held && record.takenUnder == m_members.promised().id;
}

void holder::resetUnbroken() { m_unbroken = usableCount() != 0; }

void holder::loseLease(worker_record& record)
{
    m_nextExpiry = instant(0);
    record.lease = lease_state::none;
    record.usable = false;
    record.leaseCall = 0;
    record.confirmedBy.clear();
    record.nextAsk = m_context.now;
}

void holder::onTick()
{
    bool active = m_members.inView();
    for (const auto& id : m_members.listedWorkers()) {
        if (!active || m_workers.count(id))
            continue;
        if (m_members.promised().holderOf(id) != m_context.options.self.id)
            continue;
        worker_record& record = m_workers[id];
        record.id = id;
        record.mine = true;
    }
    for (auto& [id, record] : m_workers) {
        bool mine = active && record.mine;
        bool mayAsk = record.lease == lease_state::held || !m_stale;
        if (record.lease == lease_state::held && !mine)
            release(record);
        else if (mine && mayAsk && m_context.now >= record.nextAsk
            && (m_members.isListed(id) || record.wasHeld))
            askLease(record);
        bool taken = record.lease == lease_state::held && record.takenUnder == m_members.promised().id;
        if (taken && !confirmedByAll(record) && m_context.now >= record.nextAnnounce)
            announce(record);
        tickTasks(record);
        refreshUsable(record);
        dropOld(record);
    }
}

void holder::refreshAssignment(worker_record& record)
{
    record.mine = m_members.inView() && m_members.promised().holderOf(record.id) == m_context.options.self.id;
}

void holder::onNewView()
{
    m_stale = false;
    m_heldAny = false;
    m_nextExpiry = instant(0);
    for (auto& [id, record] : m_workers) {
        refreshAssignment(record);
        record.confirmedBy.clear();
        record.retake = record.lease == lease_state::held;
        record.nextAsk = m_context.now;
        if (record.lease == lease_state::asking)
            record.lease = lease_state::none;
        if (record.leaseCall != 0)
            m_calls.erase(record.leaseCall);
        record.leaseCall = 0;
        refreshUsable(record);
    }
}

// Tokens order by view number, then proposer, then use: a worker taken under a view cannot be taken under
// a lower one.
uint64_t holder::nextToken()
{
    const view_id& id = m_members.promised().id;
    uint64_t proposer = stableHash(id.proposer) & 0xffff;
    uint64_t base = (id.number << numberShift) | (proposer << proposerShift);
    bool sameView = (m_tokenFloor >> proposerShift) == (base >> proposerShift);
    m_tokenFloor = (sameView ? m_tokenFloor : base) + 1;
    CAMPHORWELL_INVARIANT(m_tokenFloor >> proposerShift == base >> proposerShift, "tokens of a view ran out");
    return m_tokenFloor;
}

void holder::askLease(worker_record& record)
{
    if (record.leaseCall != 0) {
        // The answer is late; ask again under the same token, which the worker treats as the same lease.
        if (m_context.now - record.asked < milliseconds(m_context.options.callTimeoutMs))
            return;
        m_calls.erase(record.leaseCall);
    } else if (record.lease == lease_state::none || record.retake) {
        record.askedToken = nextToken();
        if (record.lease == lease_state::none)
            record.lease = lease_state::asking;
    }
    bool renewal = record.askedToken == record.token && record.lease == lease_state::held;
    record.asked = m_context.now;
    record.nextAsk = m_context.now + milliseconds(m_context.options.renewMs);
    lease_call what { record.askedToken, holderName(m_context.options.self), m_context.options.leaseMs,
        m_context.options.taskLeaseMs, renewal ? record.seq : 0 };
    record.leaseCall = track(call_kind::lease, record, {}, what);
}

uint64_t holder::track(call_kind kind, worker_record& record, const task_report& about, worker_call what)
{
    uint64_t call = m_context.call(record.id, std::move(what));
    m_calls[call] = { kind, record.id, record.token, about.id, about.attempt };
    return call;
}

void holder::onRefused(worker_record& record, const worker_answer& reply)
{
    uint64_t seen = reply.maxToken >> proposerShift;
    uint64_t own = record.askedToken >> proposerShift;
    if (seen == own) {
        m_tokenFloor = std::max(m_tokenFloor, reply.maxToken);
    } else if (seen > own) {
        uint64_t number = reply.maxToken >> numberShift;
        bool sameNumber = number == m_members.promised().id.number;
        m_members.sawNumber(sameNumber ? number + 1 : number);
    }
    loseLease(record);
    record.nextAsk = m_context.now + m_context.jitter(askAgainMs);
}

void holder::onLeaseReply(worker_record& record, const std::optional<worker_answer>& reply)
{
    record.leaseCall = 0;
    if (!reply) {
        m_context.count(reason::worker_unreachable);
        record.nextAsk = m_context.now + m_context.jitter(askAgainMs);
        if (record.lease == lease_state::asking)
            record.lease = lease_state::none;
        return;
    }
    if (reply->verdict != worker_verdict::ok) {
        onRefused(record, *reply);
        return;
    }
    instant ends = record.asked + m_context.shortest(m_context.options.leaseMs);
    if (m_context.now >= ends) {
        loseLease(record); // The answer took longer than the lease lasts.
        return;
    }
    bool fresh = record.lease == lease_state::asking || record.retake;
    record.token = record.askedToken;
    record.lease = lease_state::held;
    record.wasHeld = true;
    record.retake = false;
    record.leaseEnds = ends;
    record.capacity = reply->capacity;
    record.leaving = reply->leaving;
    if (fresh)
        record.seq = 0;
    adopt(record, *reply, fresh);
    if (!fresh)
        return;
    m_nextExpiry = instant(0);
    record.confirmedBy.clear();
    record.takenUnder = m_members.promised().id;
    m_context.log(log_line("worker_taken")
                      .add("worker", record.id)
                      .add("view", record.takenUnder.str())
                      .add("tasks", static_cast<int64_t>(record.tasks.size())));
    announce(record);
}

void holder::announce(worker_record& record)
{
    record.nextAnnounce = m_context.now + milliseconds(m_context.options.resendMs);
    for (const auto& m : m_members.promised().members) {
        if (!record.confirmedBy.count(m.id) && m_members.isAlive(m.id))
            sendTaken(record, m.id);
    }
}

void holder::sendTaken(worker_record& record, const instance_id& to)
{
    worker_taken note { record.takenUnder, record.id, {} };
    for (const auto& [workId, held] : record.tasks) {
        if (m_members.promised().ownerOfWork(workId) == to)
            note.tasks.push_back(held.report);
    }
    m_context.send(to, std::move(note));
}

void holder::onConfirmed(const instance_id& from, const worker_confirmed& note)
{
    auto found = m_workers.find(note.worker);
    if (found == m_workers.end() || note.id != found->second.takenUnder || note.id != m_members.promised().id
        || found->second.lease != lease_state::held)
        return;
    found->second.confirmedBy.insert(from);
    refreshUsable(found->second);
}

bool holder::confirmedByAll(const worker_record& record) const
{
    if (record.takenUnder != m_members.promised().id || !m_members.inView())
        return false;
    for (const auto& m : m_members.promised().members) {
        if (!record.confirmedBy.count(m.id))
            return false;
    }
    return true;
}

void holder::refreshUsable(worker_record& record)
{
    if (record.lease == lease_state::held && !record.usable)
        record.usable = m_context.has(fault::skip_confirmation) || confirmedByAll(record);
}

void holder::release(worker_record& record)
{
    track(call_kind::release, record, {}, release_call { record.token });
    loseLease(record);
}

void holder::releaseAll()
{
    for (auto& [id, record] : m_workers) {
        if (record.lease == lease_state::held)
            release(record);
    }
}

void holder::onTakenByOther(const worker_id& worker)
{
    auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& record = found->second;
    record.wasHeld = false;
    if (record.lease == lease_state::held)
        return;
    // The new holder answers for the running tasks; ends that are not yet confirmed are still reported here.
    for (auto it = record.tasks.begin(); it != record.tasks.end();) {
        bool keep = it->second.phase == task_phase::ended && !it->second.kept;
        if (keep) {
            ++it;
            continue;
        }
        unbook(record, it->second);
        it = record.tasks.erase(it);
    }
}

void holder::adopt(worker_record& record, const worker_answer& reply, bool fresh)
{
    if (fresh) {
        // Nothing sent under an earlier token can start any more, so what the worker does not list is not
        // there: a start in doubt never happened, and a task that ran was dropped. A worker that restarted
        // may have run the one as well.
        bool restarted = record.boot != 0 && record.boot != reply.boot;
        record.boot = reply.boot;
        std::set<std::pair<work_id, uint64_t>> listed;
        for (const auto& report : reply.tasks)
            listed.emplace(report.id, report.attempt);
        std::vector<work_id> absent;
        for (auto& [id, held] : record.tasks) {
            if (held.phase != task_phase::ended && !listed.count({ id, held.report.attempt }))
                absent.push_back(id);
        }
        for (const auto& id : absent) {
            task& held = record.tasks[id];
            if (held.phase == task_phase::running || restarted)
                end(record, held, task_state::lost);
            else
                neverStarted(record, id);
        }
    }
    for (const auto& report : reply.tasks)
        merge(record, report);
    record.seq = std::max(record.seq, reply.seq);
}

void holder::merge(worker_record& record, const task_report& report)
{
    if (report.state == task_state::never_started)
        return; // A tombstone.
    auto found = record.tasks.find(report.id);
    if (found != record.tasks.end() && found->second.report.attempt > report.attempt)
        return;
    if (found == record.tasks.end() || found->second.report.attempt < report.attempt) {
        if (found != record.tasks.end())
            unbook(record, found->second);
        task adopted;
        adopted.report = report;
        adopted.report.worker = record.id;
        adopted.report.state = task_state::running;
        adopted.phase = task_phase::running;
        task& held = record.tasks[report.id] = adopted;
        record.attended.insert(report.id);
        book(record, held);
        if (!isFinal(report.state))
            sendUpdate(held);
    }
    task& held = record.tasks[report.id];
    if (held.phase == task_phase::ended)
        return;
    if (!isFinal(report.state)) {
        held.phase = task_phase::running;
        return;
    }
    held.report.result = report.result;
    held.report.checkpoint = report.checkpoint;
    end(record, held, report.state);
}

// ---- Tasks -----------------------------------------------------------------------------------------------

void holder::book(worker_record& record, task& held)
{
    if (held.booked)
        return;
    held.booked = true;
    record.booked = record.booked + held.report.need;
}

void holder::unbook(worker_record& record, task& held)
{
    if (!held.booked)
        return;
    held.booked = false;
    record.booked = record.booked - held.report.need;
}

holder::task* holder::findTask(worker_record& record, const work_id& id, uint64_t attempt)
{
    auto found = record.tasks.find(id);
    if (found == record.tasks.end() || found->second.report.attempt != attempt)
        return nullptr;
    return &found->second;
}

bool holder::takesNew(const worker_record& record) const
{
    // A worker that is about to be handed over would take the start with it.
    bool held = record.usable && record.mine && record.lease == lease_state::held;
    if (m_context.has(fault::leaving_still_used))
        return held;
    return held && m_members.isListed(record.id) && !record.leaving && !m_members.workerLeaving(record.id)
        && m_context.now >= record.quarantinedUntil;
}

holder::worker_record* holder::choose(const work& wanted)
{
    // The least loaded worker by processors that has room.
    worker_record* best = nullptr;
    double bestLoad = 0;
    for (auto& [id, record] : m_workers) {
        if (!takesNew(record))
            continue;
        if (record.tasks.count(wanted.id) && record.tasks[wanted.id].phase != task_phase::ended)
            continue;
        if (!m_context.has(fault::book_over_capacity) && !wanted.need.fits(record.capacity - record.booked))
            continue;
        double load = static_cast<double>(record.booked.cpuMilli + wanted.need.cpuMilli)
            / static_cast<double>(std::max<int64_t>(record.capacity.cpuMilli, 1));
        if (!best || load < bestLoad) {
            best = &record;
            bestLoad = load;
        }
    }
    return best;
}

void holder::remember(const work_id& id, uint64_t attempt, bool refused)
{
    auto [it, added] = m_pastStarts.try_emplace({ id, attempt });
    it->second = { m_context.now, refused };
    if (added)
        m_pastOrder.emplace_back(m_context.now, it->first);
    while (!m_pastOrder.empty()
        && (m_context.now - m_pastOrder.front().first > milliseconds(pastStartKeepMs)
            || m_pastOrder.size() > maxPastStarts)) {
        m_pastStarts.erase(m_pastOrder.front().second);
        m_pastOrder.pop_front();
    }
}

// Answers a start that has come before; returns false for a new one.
bool holder::answerRepeated(const instance_id& from, const work& wanted)
{
    auto past = m_pastStarts.find({ wanted.id, wanted.attempt });
    if (past == m_pastStarts.end())
        return false;
    if (past->second.refused) {
        m_context.send(from, start_refused { wanted.id, wanted.attempt, reason::retry_never_started });
        return true;
    }
    for (auto& [id, record] : m_workers) {
        task* known = findTask(record, wanted.id, wanted.attempt);
        if (known && (known->phase == task_phase::running || known->phase == task_phase::ended))
            m_context.send(from, task_update { m_members.promised().id, known->report });
    }
    // A start that was accepted and has left with its worker is reported by the new holder.
    return true;
}

void holder::onStart(const instance_id& from, const start_work& start)
{
    const work& wanted = start.work;
    // A repeated start is answered by what became of the first, whatever the view is now.
    if (answerRepeated(from, wanted))
        return;
    bool sameView = start.id == m_members.promised().id && m_members.inView() && !m_stale;
    if (!sameView && !m_context.has(fault::holder_ignores_view)) {
        remember(wanted.id, wanted.attempt, true);
        m_context.send(from, start_refused { wanted.id, wanted.attempt, reason::retry_stale_view });
        return;
    }
    worker_record* record = choose(wanted);
    if (!record) {
        if (wanted.urgent)
            makeRoom(wanted);
        remember(wanted.id, wanted.attempt, true);
        m_context.send(from, start_refused { wanted.id, wanted.attempt, reason::no_room });
        return;
    }
    remember(wanted.id, wanted.attempt, false);
    task held;
    held.report.id = wanted.id;
    held.report.attempt = wanted.attempt;
    held.report.worker = record->id;
    held.report.need = wanted.need;
    held.report.batch = wanted.batch;
    held.report.idempotent = wanted.idempotent;
    held.report.entry = wanted.entry;
    held.spec = wanted;
    held.phase = task_phase::starting;
    task& placed = record->tasks[wanted.id] = held;
    record->attended.insert(wanted.id);
    book(*record, placed);
    CAMPHORWELL_INVARIANT(record->booked.fits(record->capacity),
        "worker " + record->id + " booked over its " + std::string(record->booked.exceeds(record->capacity)));
    track(call_kind::start, *record, placed.report, start_call { record->token, wanted });
}

// Checkpoints batch tasks on the worker where the fewest must give way.
void holder::makeRoom(const work& wanted)
{
    worker_record* best = nullptr;
    std::vector<work_id> bestVictims;
    for (auto& [id, record] : m_workers) {
        if (!takesNew(record) || !wanted.need.fits(record.capacity))
            continue;
        resources room = record.capacity - record.booked;
        std::vector<work_id> victims;
        for (auto& [workId, held] : record.tasks) {
            if (wanted.need.fits(room))
                break;
            if (!held.report.batch || !held.report.idempotent || held.phase != task_phase::running)
                continue;
            room = room + held.report.need;
            victims.push_back(workId);
        }
        if (!wanted.need.fits(room))
            continue;
        if (!best || victims.size() < bestVictims.size()) {
            best = &record;
            bestVictims = victims;
        }
    }
    for (const auto& id : bestVictims) {
        task& held = best->tasks[id];
        if (held.stopping)
            continue;
        held.stopping = true;
        held.nextSend = m_context.now + milliseconds(m_context.options.callTimeoutMs);
        track(call_kind::stop, *best, held.report, stop_call { best->token, id, held.report.attempt, true });
        m_context.log(log_line("evict").add("work", id).add("worker", best->id).add("for", wanted.id));
    }
}

void holder::onStop(const stop_work& order)
{
    for (auto& [id, record] : m_workers) {
        task* held = findTask(record, order.id, order.attempt);
        if (!held || held->phase == task_phase::ended || record.lease != lease_state::held)
            continue;
        if (held->phase != task_phase::running)
            continue; // The owner asks again.
        track(call_kind::stop, record, held->report,
            stop_call { record.token, order.id, order.attempt, false });
    }
}

bool holder::onReply(const worker_reply& reply)
{
    auto found = m_calls.find(reply.call);
    if (found == m_calls.end())
        return false;
    pending_call call = found->second;
    m_calls.erase(found);
    auto worker = m_workers.find(call.worker);
    if (call.kind == call_kind::release || worker == m_workers.end())
        return true;
    if (call.kind == call_kind::lease) {
        if (worker->second.leaseCall == reply.call)
            onLeaseReply(worker->second, reply.answer);
        return true;
    }
    onStartReply(call, reply.answer);
    return true;
}

// Answers to start, revoke and stop all carry the state of one attempt.
void holder::onStartReply(const pending_call& call, const std::optional<worker_answer>& reply)
{
    auto& record = m_workers[call.worker];
    task* held = findTask(record, call.id, call.attempt);
    if (!reply) {
        m_context.count(reason::worker_unreachable);
        if (held && held->phase == task_phase::starting) {
            held->phase = task_phase::settling;
            held->nextSend = m_context.now;
            if (m_context.has(fault::place_without_revoke))
                neverStarted(record, call.id);
        }
        return;
    }
    const task_report* report = nullptr;
    for (const auto& candidate : reply->tasks) {
        if (candidate.id == call.id && candidate.attempt == call.attempt)
            report = &candidate;
    }
    if (!report) {
        // A refused start under the current token never happened; under an older one the lease's task
        // list settles it.
        bool refused = reply->verdict != worker_verdict::ok && call.kind == call_kind::start;
        if (held && refused && held->phase == task_phase::starting)
            neverStarted(record, call.id);
        bool leaseGone
            = reply->verdict == worker_verdict::no_lease || reply->verdict == worker_verdict::held_by_other;
        if (leaseGone && record.token == call.token && record.lease == lease_state::held)
            loseLease(record);
        return;
    }
    if (!held) {
        // The worker has moved on to another holder; the answer is still true, and the owner wants it.
        task_report copy = *report;
        copy.worker = call.worker;
        if (isFinal(copy.state) && copy.state != task_state::never_started)
            m_context.send(m_members.promised().ownerOfWork(call.id), task_update { {}, copy });
        return;
    }
    if (report->state == task_state::never_started) {
        if (held->phase == task_phase::starting || held->phase == task_phase::settling)
            neverStarted(record, call.id);
        return;
    }
    bool wasStarting = held->phase == task_phase::starting || held->phase == task_phase::settling;
    merge(record, *report);
    if (wasStarting && held->phase == task_phase::running)
        sendUpdate(*held);
}

void holder::end(worker_record& record, task& held, task_state state)
{
    if (held.phase == task_phase::ended)
        return;
    held.phase = task_phase::ended;
    held.report.state = state;
    held.endedAt = m_context.now;
    record.endedOrder.emplace_back(m_context.now, held.report.id);
    held.spec = {};
    unbook(record, held);
    trackHealth(record, state);
    sendUpdate(held);
}

void holder::trackHealth(worker_record& record, task_state state)
{
    if (state == task_state::done)
        record.failures = 0;
    if (state != task_state::failed)
        return;
    record.failures++;
    if (record.failures < failuresToQuarantine)
        return;
    // One more failure during probation fences the worker again.
    record.failures = failuresToQuarantine - 1;
    record.quarantinedUntil = m_context.now + milliseconds(quarantineMs);
    m_context.log(log_line("worker_quarantined").add("worker", record.id).add("ms", quarantineMs));
}

void holder::neverStarted(worker_record& record, const work_id& id)
{
    auto found = record.tasks.find(id);
    unbook(record, found->second);
    uint64_t attempt = found->second.report.attempt;
    record.tasks.erase(found);
    remember(id, attempt, true);
    m_context.send(m_members.promised().ownerOfWork(id),
        start_refused { id, attempt, reason::retry_never_started, true });
}

void holder::sendUpdate(task& held)
{
    held.nextSend = m_context.now + milliseconds(m_context.options.resendMs);
    m_context.send(m_members.promised().ownerOfWork(held.report.id),
        task_update { m_members.promised().id, held.report });
}

void holder::onUpdateKept(const task_update_kept& note)
{
    for (auto& [id, record] : m_workers) {
        task* held = findTask(record, note.id, note.attempt);
        if (held && held->phase == task_phase::ended)
            held->kept = true;
    }
}

void holder::settle(worker_record& record, task& held)
{
    if (record.lease != lease_state::held || m_context.now < held.nextSend)
        return;
    held.nextSend = m_context.now + milliseconds(m_context.options.callTimeoutMs);
    track(call_kind::revoke, record, held.report,
        revoke_call { record.token, held.report.id, held.report.attempt });
}

// Silence alone is no proof: another holder may have taken the worker and renewed its tasks.
void holder::loseTasks(worker_record& record)
{
    if (record.lease == lease_state::held || !m_members.gone(record.id))
        return;
    for (auto& [id, held] : record.tasks) {
        if (held.phase != task_phase::ended)
            end(record, held, task_state::lost);
    }
}

void holder::tickTasks(worker_record& record)
{
    loseTasks(record);
    for (auto it = record.attended.begin(); it != record.attended.end();) {
        auto found = record.tasks.find(*it);
        bool done
            = found == record.tasks.end() || (found->second.phase == task_phase::ended && found->second.kept);
        if (done) {
            it = record.attended.erase(it);
            continue;
        }
        ++it;
        task& held = found->second;
        if (held.phase == task_phase::settling)
            settle(record, held);
        bool due = m_context.now >= held.nextSend;
        if (held.phase == task_phase::ended && due)
            sendUpdate(held);
        if (held.phase == task_phase::running && held.stopping && due)
            held.stopping = false; // The stop's answer was lost; urgent work may ask again.
    }
}

void holder::dropOld(worker_record& record)
{
    while (!record.endedOrder.empty()) {
        auto [at, id] = record.endedOrder.front();
        if (m_context.now - at <= milliseconds(endedKeepMs))
            return;
        record.endedOrder.pop_front();
        auto found = record.tasks.find(id);
        if (found == record.tasks.end() || found->second.phase != task_phase::ended)
            continue;
        if (found->second.kept)
            record.tasks.erase(found);
        else
            record.endedOrder.emplace_back(m_context.now, id);
    }
}

// ---- Reading ---------------------------------------------------------------------------------------------

size_t holder::heldCount() const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& item) { return item.second.lease == lease_state::held; }));
}

size_t holder::usableCount() const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& item) { return item.second.lease == lease_state::held && item.second.usable; }));
}

resources holder::largestRoom() const
{
    resources best;
    for (const auto& [id, record] : m_workers) {
        if (!takesNew(record))
            continue;
        resources room = record.capacity - record.booked;
        if (room.slots > 0 && room.cpuMilli > best.cpuMilli)
            best = room;
    }
    return best;
}

int64_t holder::freeSlots() const
{
    int64_t total = 0;
    for (const auto& [id, record] : m_workers) {
        if (takesNew(record))
            total += std::max<int64_t>(record.capacity.slots - record.booked.slots, 0);
    }
    return total;
}

std::optional<std::string> holder::impossible(const resources& need) const
{
    std::optional<std::string> broken;
    for (const auto& [id, record] : m_workers) {
        if (record.capacity.slots == 0)
            continue;
        auto dimension = need.exceeds(record.capacity);
        if (dimension.empty())
            return std::nullopt;
        broken = std::string(dimension);
    }
    return broken;
}

bool holder::idle() const
{
    if (heldCount() != 0)
        return false;
    for (const auto& [id, record] : m_workers) {
        for (const auto& [workId, held] : record.tasks) {
            // With no owner left to hear of an end, the worker's own list will tell the next holder.
            bool heard = !m_members.promised().ownerOfWork(workId).empty();
            if (held.phase == task_phase::ended && !held.kept && heard)
                return false;
        }
    }
    return true;
}

void holder::checkInvariants() const
{
    for (const auto& [id, record] : m_workers) {
        resources sum;
        for (const auto& [workId, held] : record.tasks) {
            if (held.booked)
                sum = sum + held.report.need;
        }
        CAMPHORWELL_INVARIANT(sum == record.booked, "bookings of worker " + id + " do not add up");
        bool within = record.capacity.slots == 0 || record.booked.fits(record.capacity);
        CAMPHORWELL_INVARIANT(within, "worker " + id + " is booked over capacity");
        CAMPHORWELL_INVARIANT(!record.usable || record.lease == lease_state::held,
            "worker " + id + " is usable without a lease");
    }
}

std::string holder::describeWorkers() const
{
    std::string out;
    for (const auto& [id, record] : m_workers) {
        out += id + ": "
            + (record.usable                            ? "usable"
                    : record.lease == lease_state::held ? "held"
                                                        : "none")
            + ", " + std::to_string(record.tasks.size()) + " tasks\n";
    }
    return out;
}

} // namespace camphorwell
