// Tasks on the leased workers: reservations, starts, resolution of starts without an answer, evictions and
// completions. See lease_holder.h for the algorithm.
#include "coordination/process/lease_holder.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t completedKeepMs = 60'000; // Minimum time that a completed task is kept.
    constexpr int64_t pastStartKeepMs = 120'000; // Time for which repeated starts are recognised.
    constexpr size_t maxPastStarts = 50'000;
    constexpr uint32_t failuresToQuarantine = 4; // Failed tasks without a successful one between.
    constexpr int64_t quarantineMs = 30'000;

    bool isFinal(task_state state) { return state != task_state::running; }

} // namespace

void lease_holder::applyInventory(worker_record& record, const worker_answer& reply, bool fresh)
{
    if (fresh) {
        // No start sent with an earlier token can take effect any more. An attempt that the worker does not
        // list was therefore never started, if its start was unanswered, or was lost, if it was running. A
        // worker that has restarted may also have run an attempt whose start was unanswered.
        bool restarted = record.boot != 0 && record.boot != reply.boot;
        record.boot = reply.boot;
        std::set<std::pair<work_id, uint64_t>> listed;
        for (const auto& report : reply.tasks)
            listed.emplace(report.id, report.attempt);
        std::vector<work_id> absent;
        for (auto& [id, held] : record.tasks) {
            if (held.phase != task_phase::completed && !listed.count({ id, held.report.attempt }))
                absent.push_back(id);
        }
        for (const auto& id : absent) {
            task& held = record.tasks[id];
            if (held.phase == task_phase::running || restarted)
                completeTask(record, held, task_state::lost);
            else
                neverStarted(record, id);
        }
    }
    for (const auto& report : reply.tasks)
        applyReport(record, report);
    record.seq = std::max(record.seq, reply.seq);
}

void lease_holder::applyReport(worker_record& record, const task_report& report)
{
    if (report.state == task_state::never_started)
        return; // Marks a revoked attempt; there is no task.
    auto found = record.tasks.find(report.id);
    if (found != record.tasks.end() && found->second.report.attempt > report.attempt)
        return;
    if (found == record.tasks.end() || found->second.report.attempt < report.attempt) {
        if (found != record.tasks.end())
            unreserve(record, found->second);
        task adopted;
        adopted.report = report;
        adopted.report.worker = record.id;
        adopted.report.state = task_state::running;
        adopted.phase = task_phase::running;
        task& held = record.tasks[report.id] = adopted;
        record.activeTasks.insert(report.id);
        reserve(record, held);
        if (!isFinal(report.state))
            sendUpdate(held);
    }
    task& held = record.tasks[report.id];
    if (held.phase == task_phase::completed)
        return;
    if (!isFinal(report.state)) {
        held.phase = task_phase::running;
        return;
    }
    held.report.result = report.result;
    held.report.checkpoint = report.checkpoint;
    completeTask(record, held, report.state);
}

void lease_holder::reserve(worker_record& record, task& held)
{
    if (held.reserved)
        return;
    held.reserved = true;
    record.reserved = record.reserved + held.report.need;
}

void lease_holder::unreserve(worker_record& record, task& held)
{
    if (!held.reserved)
        return;
    held.reserved = false;
    record.reserved = record.reserved - held.report.need;
}

lease_holder::task* lease_holder::findTask(worker_record& record, const work_id& id, uint64_t attempt)
{
    auto found = record.tasks.find(id);
    if (found == record.tasks.end() || found->second.report.attempt != attempt)
        return nullptr;
    return &found->second;
}

bool lease_holder::acceptsNewTasks(const worker_record& record) const
{
    // A worker that is assigned to another member receives no new task, since its lease is about to be
    // released.
    bool held = record.usable && record.assigned && record.lease == lease_state::held;
    if (m_context.hasFault(fault::leaving_still_used))
        return held;
    return held && m_members.isListed(record.id) && !record.leaving && !m_members.workerLeaving(record.id)
        && m_context.now >= record.quarantinedUntil;
}

lease_holder::worker_record* lease_holder::chooseWorker(const work& wanted)
{
    // Chooses the worker with the lowest reserved share of processors among those with enough free capacity.
    worker_record* best = nullptr;
    double bestLoad = 0;
    for (auto& [id, record] : m_workers) {
        if (!acceptsNewTasks(record))
            continue;
        if (record.tasks.count(wanted.id) && record.tasks[wanted.id].phase != task_phase::completed)
            continue;
        if (!m_context.hasFault(fault::reserve_over_capacity)
            && !wanted.need.fits(record.capacity - record.reserved))
            continue;
        double load = static_cast<double>(record.reserved.cpuMilli + wanted.need.cpuMilli)
            / static_cast<double>(std::max<int64_t>(record.capacity.cpuMilli, 1));
        if (!best || load < bestLoad) {
            best = &record;
            bestLoad = load;
        }
    }
    return best;
}

void lease_holder::rememberStart(const work_id& id, uint64_t attempt, bool refused)
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

// Answers a repeated start from the outcome of the first one. Returns false for a new start.
bool lease_holder::answerRepeated(const instance_id& from, const work& wanted)
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
        if (known && (known->phase == task_phase::running || known->phase == task_phase::completed))
            m_context.send(from, task_update { m_members.acknowledgedView().id, known->report });
    }
    // An accepted start that is not found here went to a worker that another member has since taken; that
    // member reports the task.
    return true;
}

void lease_holder::onStart(const instance_id& from, const start_work& start)
{
    const work& wanted = start.work;
    // The answer to a repeated start depends on the outcome of the first one only, not on the current view.
    if (answerRepeated(from, wanted))
        return;
    bool sameView = start.id == m_members.acknowledgedView().id && m_members.inView() && !m_allLeasesLost;
    if (!sameView && !m_context.hasFault(fault::holder_ignores_view)) {
        rememberStart(wanted.id, wanted.attempt, true);
        m_context.send(from, start_refused { wanted.id, wanted.attempt, reason::retry_stale_view });
        return;
    }
    worker_record* record = chooseWorker(wanted);
    if (!record) {
        if (wanted.urgent)
            evictFor(wanted);
        rememberStart(wanted.id, wanted.attempt, true);
        m_context.send(from, start_refused { wanted.id, wanted.attempt, reason::no_room });
        return;
    }
    rememberStart(wanted.id, wanted.attempt, false);
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
    record->activeTasks.insert(wanted.id);
    reserve(*record, placed);
    CAMPHORWELL_INVARIANT(record->reserved.fits(record->capacity),
        "worker " + record->id + " has reservations over its "
            + std::string(record->reserved.exceededDimension(record->capacity)));
    sendCall(call_kind::start, *record, placed.report, start_call { record->token, wanted });
}

// Evicts idempotent batch tasks, with a checkpoint, from the worker where the fewest evictions suffice.
void lease_holder::evictFor(const work& wanted)
{
    worker_record* best = nullptr;
    std::vector<work_id> bestVictims;
    for (auto& [id, record] : m_workers) {
        if (!acceptsNewTasks(record) || !wanted.need.fits(record.capacity))
            continue;
        resources room = record.capacity - record.reserved;
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
        sendCall(
            call_kind::stop, *best, held.report, stop_call { best->token, id, held.report.attempt, true });
        m_context.log(log_line("evict").add("work", id).add("worker", best->id).add("for", wanted.id));
    }
}

void lease_holder::onStop(const stop_work& order)
{
    for (auto& [id, record] : m_workers) {
        task* held = findTask(record, order.id, order.attempt);
        if (!held || held->phase == task_phase::completed || record.lease != lease_state::held)
            continue;
        if (held->phase != task_phase::running)
            continue; // The owner repeats the request.
        sendCall(call_kind::stop, record, held->report,
            stop_call { record.token, order.id, order.attempt, false });
    }
}

bool lease_holder::onReply(const worker_reply& reply)
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
void lease_holder::onStartReply(const pending_call& call, const std::optional<worker_answer>& reply)
{
    auto& record = m_workers[call.worker];
    task* held = findTask(record, call.id, call.attempt);
    if (!reply) {
        m_context.count(reason::worker_unreachable);
        if (held && held->phase == task_phase::starting) {
            held->phase = task_phase::resolving;
            held->nextSend = m_context.now;
            if (m_context.hasFault(fault::place_without_revoke))
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
        // An attempt whose start the worker refused under the current token never started. One sent under an
        // older token is resolved by the task list of the newer lease.
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
        // Another member has taken the worker. The reported completion is still valid, so it is passed on to
        // the owner.
        task_report copy = *report;
        copy.worker = call.worker;
        if (isFinal(copy.state) && copy.state != task_state::never_started)
            m_context.send(m_members.acknowledgedView().leaderOfWork(call.id), task_update { {}, copy });
        return;
    }
    if (report->state == task_state::never_started) {
        if (held->phase == task_phase::starting || held->phase == task_phase::resolving)
            neverStarted(record, call.id);
        return;
    }
    bool wasStarting = held->phase == task_phase::starting || held->phase == task_phase::resolving;
    applyReport(record, *report);
    if (wasStarting && held->phase == task_phase::running)
        sendUpdate(*held);
}

void lease_holder::completeTask(worker_record& record, task& held, task_state state)
{
    if (held.phase == task_phase::completed)
        return;
    held.phase = task_phase::completed;
    held.report.state = state;
    held.completedAt = m_context.now;
    record.completedOrder.emplace_back(m_context.now, held.report.id);
    held.spec = {};
    unreserve(record, held);
    trackHealth(record, state);
    sendUpdate(held);
}

void lease_holder::trackHealth(worker_record& record, task_state state)
{
    if (state == task_state::done)
        record.failures = 0;
    if (state != task_state::failed)
        return;
    record.failures++;
    if (record.failures < failuresToQuarantine)
        return;
    // After the quarantine, one more failure without a success before it quarantines the worker again.
    record.failures = failuresToQuarantine - 1;
    record.quarantinedUntil = m_context.now + milliseconds(quarantineMs);
    m_context.log(log_line("worker_quarantined").add("worker", record.id).add("ms", quarantineMs));
}

void lease_holder::neverStarted(worker_record& record, const work_id& id)
{
    auto found = record.tasks.find(id);
    unreserve(record, found->second);
    uint64_t attempt = found->second.report.attempt;
    record.tasks.erase(found);
    rememberStart(id, attempt, true);
    m_context.send(m_members.acknowledgedView().leaderOfWork(id),
        start_refused { id, attempt, reason::retry_never_started, true });
}

void lease_holder::sendUpdate(task& held)
{
    held.nextSend = m_context.now + milliseconds(m_context.options.resendMs);
    m_context.send(m_members.acknowledgedView().leaderOfWork(held.report.id),
        task_update { m_members.acknowledgedView().id, held.report });
}

void lease_holder::onUpdateKept(const task_update_kept& note)
{
    for (auto& [id, record] : m_workers) {
        task* held = findTask(record, note.id, note.attempt);
        if (held && held->phase == task_phase::completed)
            held->completionConfirmed = true;
    }
}

void lease_holder::resolveStart(worker_record& record, task& held)
{
    if (record.lease != lease_state::held || m_context.now < held.nextSend)
        return;
    held.nextSend = m_context.now + milliseconds(m_context.options.callTimeoutMs);
    sendCall(call_kind::revoke, record, held.report,
        revoke_call { record.token, held.report.id, held.report.attempt });
}

// Marks the tasks of a worker as lost once the platform has not listed it for long enough. An expired lease
// alone does not suffice: another member may have leased the worker and renewed its task leases.
void lease_holder::loseTasksIfGone(worker_record& record)
{
    if (record.lease == lease_state::held || !m_members.isGone(record.id))
        return;
    for (auto& [id, held] : record.tasks) {
        if (held.phase != task_phase::completed)
            completeTask(record, held, task_state::lost);
    }
}

void lease_holder::checkTasks(worker_record& record)
{
    loseTasksIfGone(record);
    for (auto it = record.activeTasks.begin(); it != record.activeTasks.end();) {
        auto found = record.tasks.find(*it);
        bool done = found == record.tasks.end()
            || (found->second.phase == task_phase::completed && found->second.completionConfirmed);
        if (done) {
            it = record.activeTasks.erase(it);
            continue;
        }
        ++it;
        task& held = found->second;
        if (held.phase == task_phase::resolving)
            resolveStart(record, held);
        bool due = m_context.now >= held.nextSend;
        if (held.phase == task_phase::completed && due)
            sendUpdate(held);
        if (held.phase == task_phase::running && held.stopping && due)
            held.stopping = false; // The stop call had no effect in time; the task may be evicted again.
    }
}

void lease_holder::dropExpiredTasks(worker_record& record)
{
    while (!record.completedOrder.empty()) {
        auto [at, id] = record.completedOrder.front();
        if (m_context.now - at <= milliseconds(completedKeepMs))
            return;
        record.completedOrder.pop_front();
        auto found = record.tasks.find(id);
        if (found == record.tasks.end() || found->second.phase != task_phase::completed)
            continue;
        if (found->second.completionConfirmed)
            record.tasks.erase(found);
        else
            record.completedOrder.emplace_back(m_context.now, id);
    }
}

} // namespace camphorwell
