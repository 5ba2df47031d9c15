// Worker leases, and the accessors of `lease_holder`. Tasks are in lease_holder_tasks.cpp; see lease_holder.h
// for the algorithm.
#include "coordination/process/lease_holder.h"

#include <algorithm>

namespace camphorwell {

namespace {

    // A fencing token holds the view number, the hash of the proposer and a count, from the highest bits
    // down.
    constexpr unsigned viewNumberShift = 32;
    constexpr unsigned proposerShift = 16;
    constexpr int64_t leaseRetryMs = 250;

    std::string holderName(const member& self) { return self.id + "#" + std::to_string(self.incarnation); }

} // namespace

lease_holder::lease_holder(context& shared, membership& members)
    : m_context(shared)
    , m_members(members)
{
}

// ---- Leases ----------------------------------------------------------------------------------------------

void lease_holder::expire()
{
    if (m_context.now < m_nextExpiry)
        return;
    for (auto& [id, record] : m_workers) {
        if (record.lease != lease_state::held || m_context.now < record.leaseEnds)
            continue;
        if (!m_context.hasFault(fault::reuse_lapsed_lease))
            loseLease(record);
    }
    if (usableCount() == 0)
        m_heldContinuously = false;
    bool inUse = std::any_of(
        m_workers.begin(), m_workers.end(), [this](const auto& item) { return heldUnderView(item.second); });
    m_heldAny = m_heldAny || inUse;
    if (m_heldAny && !inUse && !m_allLeasesLost && !m_context.hasFault(fault::lease_after_lapse)) {
        m_allLeasesLost = true;
        m_members.raiseHighestNumber(m_members.acknowledgedView().id.number + 1);
    }
    // Renewals only extend leases. Acquiring or losing a lease resets this time.
    m_nextExpiry = instant::max();
    for (const auto& [id, record] : m_workers) {
        if (record.lease == lease_state::held)
            m_nextExpiry = std::min(m_nextExpiry, record.leaseEnds);
    }
}

bool lease_holder::heldUnderView(const worker_record& record) const
{
    return record.lease == lease_state::held && record.leaseView == m_members.acknowledgedView().id;
}

void lease_holder::resetHeldContinuously() { m_heldContinuously = usableCount() != 0; }

void lease_holder::loseLease(worker_record& record)
{
    m_nextExpiry = instant(0);
    record.lease = lease_state::none;
    record.usable = false;
    record.leaseCall = 0;
    record.confirmedBy.clear();
    record.nextLeaseRequest = m_context.now;
}

void lease_holder::onTick()
{
    bool active = m_members.inView();
    for (const auto& id : m_members.listedWorkers()) {
        if (!active || m_workers.count(id))
            continue;
        if (m_members.acknowledgedView().holderOf(id) != m_context.options.self.id)
            continue;
        worker_record& record = m_workers[id];
        record.id = id;
        record.assigned = true;
    }
    for (auto& [id, record] : m_workers) {
        bool assigned = active && record.assigned;
        bool mayRequest = record.lease == lease_state::held || !m_allLeasesLost;
        if (record.lease == lease_state::held && !assigned)
            release(record);
        else if (assigned && mayRequest && m_context.now >= record.nextLeaseRequest
            && (m_members.isListed(id) || record.wasHeld))
            requestLease(record);
        bool taken = record.lease == lease_state::held && record.leaseView == m_members.acknowledgedView().id;
        if (taken && !confirmedByAll(record) && m_context.now >= record.nextAnnounce)
            announce(record);
        checkTasks(record);
        refreshUsable(record);
        dropExpiredTasks(record);
    }
}

void lease_holder::refreshAssignment(worker_record& record)
{
    record.assigned
        = m_members.inView() && m_members.acknowledgedView().holderOf(record.id) == m_context.options.self.id;
}

void lease_holder::onNewView()
{
    m_allLeasesLost = false;
    m_heldAny = false;
    m_nextExpiry = instant(0);
    for (auto& [id, record] : m_workers) {
        refreshAssignment(record);
        record.confirmedBy.clear();
        record.reacquire = record.lease == lease_state::held;
        record.nextLeaseRequest = m_context.now;
        if (record.lease == lease_state::requested)
            record.lease = lease_state::none;
        if (record.leaseCall != 0)
            m_calls.erase(record.leaseCall);
        record.leaseCall = 0;
        refreshUsable(record);
    }
}

// Tokens are ordered by view number, then proposer, then count, so a worker leased under a view cannot be
// leased under a lower one.
uint64_t lease_holder::nextToken()
{
    const view_id& id = m_members.acknowledgedView().id;
    uint64_t proposer = stableHash(id.proposer) & 0xffff;
    uint64_t base = (id.number << viewNumberShift) | (proposer << proposerShift);
    bool sameView = (m_tokenFloor >> proposerShift) == (base >> proposerShift);
    m_tokenFloor = (sameView ? m_tokenFloor : base) + 1;
    CAMPHORWELL_INVARIANT(m_tokenFloor >> proposerShift == base >> proposerShift, "tokens of a view ran out");
    return m_tokenFloor;
}

void lease_holder::requestLease(worker_record& record)
{
    if (record.leaseCall != 0) {
        // After the call timeout the call is repeated with the same token; the worker treats it as the same
        // lease.
        if (m_context.now - record.leaseRequestedAt < milliseconds(m_context.options.callTimeoutMs))
            return;
        m_calls.erase(record.leaseCall);
    } else if (record.lease == lease_state::none || record.reacquire) {
        record.requestedToken = nextToken();
        if (record.lease == lease_state::none)
            record.lease = lease_state::requested;
    }
    bool renewal = record.requestedToken == record.token && record.lease == lease_state::held;
    record.leaseRequestedAt = m_context.now;
    record.nextLeaseRequest = m_context.now + milliseconds(m_context.options.renewMs);
    lease_call what { record.requestedToken, holderName(m_context.options.self), m_context.options.leaseMs,
        m_context.options.taskLeaseMs, renewal ? record.seq : 0 };
    record.leaseCall = sendCall(call_kind::lease, record, {}, what);
}

uint64_t lease_holder::sendCall(
    call_kind kind, worker_record& record, const task_report& about, worker_call what)
{
    uint64_t call = m_context.call(record.id, std::move(what));
    m_calls[call] = { kind, record.id, record.token, about.id, about.attempt };
    return call;
}

void lease_holder::onRefused(worker_record& record, const worker_answer& reply)
{
    uint64_t seen = reply.maxToken >> proposerShift;
    uint64_t own = record.requestedToken >> proposerShift;
    if (seen == own) {
        m_tokenFloor = std::max(m_tokenFloor, reply.maxToken);
    } else if (seen > own) {
        uint64_t number = reply.maxToken >> viewNumberShift;
        bool sameNumber = number == m_members.acknowledgedView().id.number;
        m_members.raiseHighestNumber(sameNumber ? number + 1 : number);
    }
    loseLease(record);
    record.nextLeaseRequest = m_context.now + m_context.jitter(leaseRetryMs);
}

void lease_holder::onLeaseReply(worker_record& record, const std::optional<worker_answer>& reply)
{
    record.leaseCall = 0;
    if (!reply) {
        m_context.count(reason::worker_unreachable);
        record.nextLeaseRequest = m_context.now + m_context.jitter(leaseRetryMs);
        if (record.lease == lease_state::requested)
            record.lease = lease_state::none;
        return;
    }
    if (reply->verdict != worker_verdict::ok) {
        onRefused(record, *reply);
        return;
    }
    instant ends = record.leaseRequestedAt + m_context.driftLowerBound(m_context.options.leaseMs);
    if (m_context.now >= ends) {
        loseLease(record); // The lease expired before its answer arrived.
        return;
    }
    bool fresh = record.lease == lease_state::requested || record.reacquire;
    record.token = record.requestedToken;
    record.lease = lease_state::held;
    record.wasHeld = true;
    record.reacquire = false;
    record.leaseEnds = ends;
    record.capacity = reply->capacity;
    record.leaving = reply->leaving;
    if (fresh)
        record.seq = 0;
    applyInventory(record, *reply, fresh);
    if (!fresh)
        return;
    m_nextExpiry = instant(0);
    record.confirmedBy.clear();
    record.leaseView = m_members.acknowledgedView().id;
    m_context.log(log_line("worker_taken")
                      .add("worker", record.id)
                      .add("view", record.leaseView.str())
                      .add("tasks", static_cast<int64_t>(record.tasks.size())));
    announce(record);
}

void lease_holder::announce(worker_record& record)
{
    record.nextAnnounce = m_context.now + milliseconds(m_context.options.resendMs);
    for (const auto& m : m_members.acknowledgedView().members) {
        if (!record.confirmedBy.count(m.id) && m_members.isAlive(m.id))
            sendTaken(record, m.id);
    }
}

void lease_holder::sendTaken(worker_record& record, const instance_id& to)
{
    worker_taken note { record.leaseView, record.id, {} };
    for (const auto& [workId, held] : record.tasks) {
        if (m_members.acknowledgedView().leaderOfWork(workId) == to)
            note.tasks.push_back(held.report);
    }
    m_context.send(to, std::move(note));
}

void lease_holder::onConfirmed(const instance_id& from, const worker_confirmed& note)
{
    auto found = m_workers.find(note.worker);
    if (found == m_workers.end() || note.id != found->second.leaseView
        || note.id != m_members.acknowledgedView().id || found->second.lease != lease_state::held)
        return;
    found->second.confirmedBy.insert(from);
    refreshUsable(found->second);
}

bool lease_holder::confirmedByAll(const worker_record& record) const
{
    if (record.leaseView != m_members.acknowledgedView().id || !m_members.inView())
        return false;
    for (const auto& m : m_members.acknowledgedView().members) {
        if (!record.confirmedBy.count(m.id))
            return false;
    }
    return true;
}

void lease_holder::refreshUsable(worker_record& record)
{
    if (record.lease == lease_state::held && !record.usable)
        record.usable = m_context.hasFault(fault::skip_confirmation) || confirmedByAll(record);
}

void lease_holder::release(worker_record& record)
{
    sendCall(call_kind::release, record, {}, release_call { record.token });
    loseLease(record);
}

void lease_holder::releaseAll()
{
    for (auto& [id, record] : m_workers) {
        if (record.lease == lease_state::held)
            release(record);
    }
}

void lease_holder::onTakenByOther(const worker_id& worker)
{
    auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& record = found->second;
    record.wasHeld = false;
    if (record.lease == lease_state::held)
        return;
    // The new lease holder reports the running tasks. Completions that the owner has not confirmed are still
    // reported by this instance.
    for (auto it = record.tasks.begin(); it != record.tasks.end();) {
        bool keep = it->second.phase == task_phase::completed && !it->second.completionConfirmed;
        if (keep) {
            ++it;
            continue;
        }
        unreserve(record, it->second);
        it = record.tasks.erase(it);
    }
}

// ---- Accessors -------------------------------------------------------------------------------------------

size_t lease_holder::heldCount() const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& item) { return item.second.lease == lease_state::held; }));
}

size_t lease_holder::usableCount() const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(),
        [](const auto& item) { return item.second.lease == lease_state::held && item.second.usable; }));
}

resources lease_holder::largestFreeCapacity() const
{
    resources best;
    for (const auto& [id, record] : m_workers) {
        if (!acceptsNewTasks(record))
            continue;
        resources room = record.capacity - record.reserved;
        if (room.slots > 0 && room.cpuMilli > best.cpuMilli)
            best = room;
    }
    return best;
}

int64_t lease_holder::freeSlots() const
{
    int64_t total = 0;
    for (const auto& [id, record] : m_workers) {
        if (acceptsNewTasks(record))
            total += std::max<int64_t>(record.capacity.slots - record.reserved.slots, 0);
    }
    return total;
}

std::optional<std::string> lease_holder::exceededDimension(const resources& need) const
{
    std::optional<std::string> broken;
    for (const auto& [id, record] : m_workers) {
        if (record.capacity.slots == 0)
            continue;
        auto dimension = need.exceededDimension(record.capacity);
        if (dimension.empty())
            return std::nullopt;
        broken = std::string(dimension);
    }
    return broken;
}

bool lease_holder::idle() const
{
    if (heldCount() != 0)
        return false;
    for (const auto& [id, record] : m_workers) {
        for (const auto& [workId, held] : record.tasks) {
            // Without an owner that could confirm the completion, the next lease holder learns of it from the
            // task list of the worker.
            bool heard = !m_members.acknowledgedView().leaderOfWork(workId).empty();
            if (held.phase == task_phase::completed && !held.completionConfirmed && heard)
                return false;
        }
    }
    return true;
}

void lease_holder::checkInvariants() const
{
    for (const auto& [id, record] : m_workers) {
        resources sum;
        for (const auto& [workId, held] : record.tasks) {
            if (held.reserved)
                sum = sum + held.report.need;
        }
        CAMPHORWELL_INVARIANT(
            sum == record.reserved, "reservations of worker " + id + " do not add up to its total");
        bool within = record.capacity.slots == 0 || record.reserved.fits(record.capacity);
        CAMPHORWELL_INVARIANT(within, "worker " + id + " has reservations over its capacity");
        CAMPHORWELL_INVARIANT(!record.usable || record.lease == lease_state::held,
            "worker " + id + " is usable without a lease");
    }
}

std::string lease_holder::describeWorkers() const
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
