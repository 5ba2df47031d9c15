// Leases of workers, and what the holder says of itself. Tasks are in holder_tasks.cpp; see holder.h for the
// algorithm.
#include "coordination/process/holder.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr unsigned numberShift = 32; // A token is view number, proposer hash, and count, from the top.
    constexpr unsigned proposerShift = 16;
    constexpr int64_t askAgainMs = 250;

    std::string holderName(const member& self) { return self.id + "#" + std::to_string(self.incarnation); }

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
        if (m_members.promised().leaderOfWork(workId) == to)
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
            bool heard = !m_members.promised().leaderOfWork(workId).empty();
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
