// Tasks on the holder's workers: bookings, starts, settling of lost answers, evictions, ends. See holder.h
// for the algorithm.
#include "coordination/process/holder.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t endedKeepMs = 60'000; // Ended tasks stay in inventories this long.
    constexpr int64_t pastStartKeepMs = 120'000; // Repeated starts are recognised this long.
    constexpr size_t maxPastStarts = 50'000;
    constexpr uint32_t failuresToQuarantine = 4; // Failures in a row, of different work, that fence a worker.
    constexpr int64_t quarantineMs = 30'000;

    bool isFinal(task_state state) { return state != task_state::running; }

} // namespace

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
        if (!m_context.has(fault::reserve_over_capacity)
            && !wanted.need.fits(record.capacity - record.booked))
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
            m_context.send(m_members.promised().leaderOfWork(call.id), task_update { {}, copy });
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
    m_context.send(m_members.promised().leaderOfWork(id),
        start_refused { id, attempt, reason::retry_never_started, true });
}

void holder::sendUpdate(task& held)
{
    held.nextSend = m_context.now + milliseconds(m_context.options.resendMs);
    m_context.send(m_members.promised().leaderOfWork(held.report.id),
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

} // namespace camphorwell
