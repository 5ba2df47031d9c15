// See ledger.h for the algorithm. Requests and deadlines are here; placement and outcomes are in
// ledger_outcomes.cpp.
#include "coordination/request/ledger.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t scanMs = 40; // Between looks at every deadline and resend time.
    constexpr size_t historyLength = 16; // Notes kept for each piece of work.

} // namespace

answer refusedAnswer(const work_id& id, reason code, const std::string& detail)
{
    answer out;
    out.state = answer_state::refused;
    out.id = id;
    out.why = { code, detail };
    return out;
}

ledger::ledger(context& shared, membership& members, lease_holder& workers, journal& log,
    const catalogue& entries, deliver answerTo)
    : m_context(shared)
    , m_members(members)
    , m_holder(workers)
    , m_journal(log)
    , m_catalogue(entries)
    , m_deliver(std::move(answerTo))
    , m_tenured(shardCount, false)
    , m_compared(shardCount, false)
{
}

// ---- Who decides -----------------------------------------------------------------------------------------

bool ledger::owns(const work_id& id) const
{
    return m_members.inView() && m_members.acknowledgedView().ownerOfWork(id) == m_context.options.self.id;
}

bool ledger::active(const work_id& id) const
{
    if (!owns(id))
        return false;
    if (!isKeyed(id))
        return true;
    return m_tenured[shardOf(id)] || m_members.transferComplete()
        || m_context.hasFault(fault::start_without_closure);
}

void ledger::checkTenure()
{
    if (!m_holder.heldContinuously())
        std::fill(m_tenured.begin(), m_tenured.end(), false);
}

bool ledger::needsRecovery(const work_id& id) const { return isKeyed(id) && !m_compared[shardOf(id)]; }

void ledger::onNewView()
{
    const auto& self = m_context.options.self.id;
    bool gained = false;
    for (uint32_t shard = 0; shard < shardCount; shard++) {
        bool mine = m_members.acknowledgedView().ownerOfShard(shard) == self;
        if (!mine)
            m_tenured[shard] = false;
        m_compared[shard] = m_compared[shard] && m_tenured[shard];
        gained = gained || (mine && !m_tenured[shard]);
    }
    if (gained)
        m_journal.requestRecovery();
    m_wasClosed = false;
    m_scanned = false;
    m_hints.clear();
    std::vector<work_id> lost;
    for (auto& [id, it] : m_items) {
        if (m_members.acknowledgedView().ownerOfWork(id) != self) {
            lost.push_back(id);
            continue;
        }
        if (it.journaled && isKeyed(id) && !m_tenured[shardOf(id)])
            it.unverified = true;
        auto* at = std::get_if<placed>(&it.phase);
        if (!at)
            continue;
        at->doubted = true;
        at->nextSend = m_context.now;
    }
    // The router sends the callers of these to their new owner.
    for (const auto& id : lost)
        eraseItem(id);
    for (auto it = m_kept.begin(); it != m_kept.end();) {
        // An outcome on its way to the log still counts, should this instance become the owner again.
        bool mine
            = m_members.acknowledgedView().ownerOfWork(it->first) == self || !it->second.recordId.empty();
        it = mine ? std::next(it) : m_kept.erase(it);
    }
}

// ---- Requests --------------------------------------------------------------------------------------------

void ledger::refuse(uint64_t ticket, const work_id& id, reason code, const std::string& detail)
{
    m_deliver(ticket, refusedAnswer(id, code, detail));
}

void ledger::onRequest(uint64_t ticket, const request& asked)
{
    if (!active(asked.id)) {
        refuse(ticket, asked.id, reason::owner_unsettled,
            "the shard of work " + asked.id + " is not active here");
        return;
    }
    switch (asked.verb) {
    case verb::submit:
        submit(ticket, asked);
        break;
    case verb::poll:
        poll(ticket, asked);
        break;
    case verb::cancel:
        cancel(ticket, asked);
        break;
    }
}

void ledger::submit(uint64_t ticket, const request& asked)
{
    std::string hash = hashHex(asked.body);
    const durable_state* recorded = m_journal.find(asked.id);
    if (recorded && recorded->end && !m_kept.count(asked.id) && !m_items.count(asked.id))
        keepFromLog(asked.id, *recorded);
    if (answerKept(ticket, asked.id, hash, true))
        return;
    auto found = m_items.find(asked.id);
    if (found != m_items.end()) {
        join(ticket, asked, found->second);
        return;
    }
    const auto* versioned = m_catalogue.find(asked.entry);
    if (!versioned) {
        // The instance that took the request may have a newer catalogue.
        bool behind = m_catalogue.nextOffset() < asked.catalogueNext;
        refuse(ticket, asked.id, behind ? reason::owner_unsettled : reason::unknown_entry,
            "entry " + asked.entry);
        return;
    }
    if (auto refused = admit(asked, versioned->entry)) {
        refuse(ticket, asked.id, refused->code, refused->detail);
        return;
    }
    open(ticket, asked, versioned->entry);
}

bool ledger::answerKept(uint64_t ticket, const work_id& id, const std::string& bodyHash, bool checkHash)
{
    auto kept = m_kept.find(id);
    if (kept == m_kept.end())
        return false;
    if (checkHash && !kept->second.bodyHash.empty() && kept->second.bodyHash != bodyHash) {
        refuse(ticket, id, reason::key_reused, "work " + id + " was requested with another body");
        return true;
    }
    if (!kept->second.waiters.empty() && kept->second.waiters.size() < m_context.options.maxWaiters) {
        kept->second.waiters.emplace_back(ticket, false);
        m_ticketWork[ticket] = id;
        return true;
    }
    m_deliver(ticket, kept->second.answer);
    return true;
}

void ledger::join(uint64_t ticket, const request& asked, item& it)
{
    if (!it.known) {
        // A holder reported the task before any request came here; this one brings the rest.
        const auto* versioned = m_catalogue.find(asked.entry);
        it.known = true;
        it.work.body = asked.body;
        it.bodyHash = hashHex(asked.body);
        it.work.entry = asked.entry;
        if (versioned) {
            it.work.owner = versioned->entry.owner;
            it.work.urgent = versioned->entry.urgent;
        }
        setDeadline(it, m_context.now + milliseconds(asked.deadlineMs));
    }
    if (it.bodyHash != hashHex(asked.body)) {
        refuse(ticket, asked.id, reason::key_reused, "work " + asked.id + " was requested with another body");
        return;
    }
    bool present = std::any_of(
        it.waiters.begin(), it.waiters.end(), [&](const auto& waiter) { return waiter.first == ticket; });
    if (present)
        return;
    if (it.waiters.size() >= m_context.options.maxWaiters) {
        refuse(ticket, asked.id, reason::too_many_waiters,
            std::to_string(it.waiters.size()) + " requests wait for work " + asked.id);
        return;
    }
    it.waiters.emplace_back(ticket, asked.respondAsync);
    m_ticketWork[ticket] = asked.id;
    if (!it.work.batch)
        setDeadline(it, std::max(it.deadline, m_context.now + milliseconds(asked.deadlineMs)));
    it.expired = false;
    if (it.durable && it.work.batch)
        acceptWaiters(it);
}

int64_t ledger::shareOf(int64_t limit) const
{
    // Every member that owns shards gets an equal share; the first ones get the remainder.
    int64_t count = 0;
    int64_t rank = 0;
    for (const auto& m : m_members.acknowledgedView().members) {
        if (m.leaving)
            continue;
        if (m.id < m_context.options.self.id)
            rank++;
        count++;
    }
    if (count == 0)
        return 0;
    return limit / count + (rank < limit % count ? 1 : 0);
}

int64_t ledger::countEntry(const entry_name& name) const
{
    auto found = m_entryCounts.find(name);
    return found == m_entryCounts.end() ? 0 : found->second;
}

std::optional<refusal> ledger::admit(const request& asked, const entry& wanted) const
{
    if (auto broken = m_holder.exceededDimension(wanted.limits.perTask))
        return refusal { reason::impossible_size,
            "entry " + wanted.name + " needs more " + *broken + " than any worker has" };
    int64_t share = shareOf(wanted.limits.maxConcurrent);
    if (countEntry(wanted.name) >= share)
        return refusal { reason::entry_limit,
            "entry " + wanted.name + ": " + std::to_string(share) + " of "
                + std::to_string(wanted.limits.maxConcurrent) + " concurrent are this instance's share" };
    if (m_queue.size() >= m_context.options.maxQueued)
        return refusal { reason::queue_full, std::to_string(m_queue.size()) + " pieces of work wait" };
    bool journaled = wanted.workClass == work_class::batch || !wanted.idempotent;
    if (!journaled)
        return std::nullopt;
    if (!m_journal.available())
        return refusal { reason::log_unavailable, "the log does not take records now" };
    if (needsRecovery(asked.id))
        return refusal { reason::owner_unsettled, "the log of the shard is still being read" };
    return std::nullopt;
}

void ledger::open(uint64_t ticket, const request& asked, const entry& wanted)
{
    item& it = m_items[asked.id];
    it.work.id = asked.id;
    it.work.attempt = 0;
    it.work.entry = wanted.name;
    it.work.owner = wanted.owner;
    it.work.batch = wanted.workClass == work_class::batch;
    it.work.idempotent = wanted.idempotent;
    it.work.urgent = wanted.urgent;
    it.work.need = wanted.limits.perTask;
    it.work.body = asked.body;
    it.bodyHash = hashHex(asked.body);
    it.journaled = it.work.batch || !it.work.idempotent;
    it.created = m_context.now;
    int64_t deadline = it.work.batch ? wanted.limits.deadlineMs : asked.deadlineMs;
    it.work.deadlineMs = deadline;
    it.deadline = m_context.now + milliseconds(deadline);
    it.waiters.emplace_back(ticket, asked.respondAsync);
    m_ticketWork[ticket] = asked.id;
    m_entryCounts[it.work.entry]++;
    note(it, "received");
    if (!it.journaled) {
        enqueue(it, m_context.now, reason::no_room);
        return;
    }
    work_record record;
    record.kind = it.work.batch ? record_kind::accept : record_kind::intent;
    record.work = it.work;
    record.bodyHash = it.bodyHash;
    it.phase = recording {};
    std::string id = m_journal.add(std::move(record));
    m_records[id] = asked.id;
    it.phase = recording { id };
    if (m_context.hasFault(fault::accept_before_durable) && it.work.batch)
        acceptWaiters(it);
    if (m_context.hasFault(fault::intent_not_durable) && !it.work.batch)
        enqueue(it, m_context.now, reason::no_room);
}

void ledger::poll(uint64_t ticket, const request& asked)
{
    if (answerKept(ticket, asked.id, {}, false))
        return;
    auto found = m_items.find(asked.id);
    if (found == m_items.end()) {
        if (needsRecovery(asked.id))
            refuse(ticket, asked.id, reason::owner_unsettled, "the log of the shard is still being read");
        else
            refuse(ticket, asked.id, reason::unknown_work, "work " + asked.id);
        return;
    }
    answer out;
    out.id = asked.id;
    out.state = std::holds_alternative<placed>(found->second.phase) ? answer_state::running
                                                                    : answer_state::accepted;
    out.attempt = found->second.work.attempt;
    m_deliver(ticket, out);
}

void ledger::cancel(uint64_t ticket, const request& asked)
{
    if (answerKept(ticket, asked.id, {}, false))
        return;
    auto found = m_items.find(asked.id);
    if (found == m_items.end()) {
        poll(ticket, asked);
        return;
    }
    item& it = found->second;
    it.cancelling = true;
    note(it, "cancel requested");
    bool waiting = std::holds_alternative<queued>(it.phase);
    if (!waiting) {
        // The stop goes out with the next tick and the answer follows its outcome.
        it.waiters.emplace_back(ticket, false);
        m_ticketWork[ticket] = asked.id;
        if (auto* at = std::get_if<placed>(&it.phase))
            m_context.send(at->holder.id, stop_work { it.work.id, it.work.attempt });
        return;
    }
    it.waiters.emplace_back(ticket, false);
    m_ticketWork[ticket] = asked.id;
    finish(it, cancelledAnswer(it), record_kind::cancelled);
}

void ledger::forget(uint64_t ticket)
{
    auto found = m_ticketWork.find(ticket);
    if (found == m_ticketWork.end())
        return;
    auto it = m_items.find(found->second);
    if (it != m_items.end()) {
        auto& waiters = it->second.waiters;
        waiters.erase(std::remove_if(waiters.begin(), waiters.end(),
                          [&](const auto& waiter) { return waiter.first == ticket; }),
            waiters.end());
    }
    m_ticketWork.erase(found);
}

void ledger::answerWaiters(item& it, const answer& out)
{
    auto waiters = std::move(it.waiters);
    it.waiters.clear();
    for (const auto& [ticket, async] : waiters) {
        m_ticketWork.erase(ticket);
        m_deliver(ticket, out);
    }
}

void ledger::acceptWaiters(item& it)
{
    answer out;
    out.id = it.work.id;
    out.state = answer_state::accepted;
    std::vector<std::pair<uint64_t, bool>> rest;
    auto waiters = std::move(it.waiters);
    it.waiters.clear();
    for (const auto& waiter : waiters) {
        if (!waiter.second) {
            rest.push_back(waiter);
            continue;
        }
        m_ticketWork.erase(waiter.first);
        m_deliver(waiter.first, out);
    }
    it.waiters.insert(it.waiters.end(), rest.begin(), rest.end());
}

// ---- Time ------------------------------------------------------------------------------------------------

void ledger::expire(item& it)
{
    it.expired = true;
    bool safe = !it.everStarted && !std::holds_alternative<placed>(it.phase);
    if (m_context.hasFault(fault::refuse_after_start))
        safe = true;
    bool appended = it.journaled && it.work.batch; // An accepted record may still become durable and run.
    work_id id = it.work.id;
    if (safe && !appended) {
        note(it, "deadline passed before a start");
        finish(it, refusedAnswer(id, reason::deadline_passed, "work " + id + " did not start in time"),
            record_kind::cancelled);
        return;
    }
    note(it, "deadline passed");
    answerWaiters(it, refusedAnswer(id, reason::outcome_unknown, "work " + id + " may have run"));
}

void ledger::onTick()
{
    if (m_members.transferComplete() && !m_wasClosed) {
        m_wasClosed = true;
        const auto& self = m_context.options.self.id;
        for (uint32_t shard = 0; shard < shardCount; shard++)
            m_tenured[shard] = m_members.acknowledgedView().ownerOfShard(shard) == self;
        m_holder.resetHeldContinuously();
    }
    resolveDoubts();
    recoverAll();
    if (m_context.now < m_nextScan)
        return;
    m_nextScan = m_context.now + milliseconds(scanMs);
    std::vector<work_id> overdue;
    for (auto& [id, it] : m_items) {
        if (!it.work.batch && !it.expired && it.known && m_context.now >= it.deadline)
            overdue.push_back(id);
        auto* at = std::get_if<placed>(&it.phase);
        if (!at || m_context.now < at->nextSend)
            continue;
        at->nextSend = m_context.now + milliseconds(m_context.options.resendMs);
        if (it.cancelling)
            m_context.send(at->holder.id, stop_work { it.work.id, it.work.attempt });
        if (!at->acknowledged)
            sendStart(it, *at);
    }
    for (const auto& id : overdue) {
        auto found = m_items.find(id);
        if (found != m_items.end())
            expire(found->second);
    }
    trimKept();
}

void ledger::trimKept()
{
    instant keep = milliseconds(m_context.options.resultKeepMs);
    while (!m_keptOrder.empty()) {
        bool old = m_context.now - m_keptOrder.front().first > keep;
        if (!old && m_kept.size() <= m_context.options.maxKept)
            return;
        auto found = m_kept.find(m_keptOrder.front().second);
        bool pending = found != m_kept.end() && !found->second.recordId.empty();
        if (pending && !old)
            return;
        if (pending) {
            // The log does not have the outcome yet, so this is its only memory.
            found->second.at = m_context.now;
            m_keptOrder.emplace_back(m_context.now, found->first);
        }
        if (!pending && found != m_kept.end() && found->second.at == m_keptOrder.front().first)
            m_kept.erase(found);
        m_keptOrder.pop_front();
    }
}

void ledger::note(item& it, const std::string& text)
{
    it.history.push_back(std::to_string(m_context.now.count() / 1000) + " " + text);
    if (it.history.size() > historyLength)
        it.history.erase(it.history.begin());
}

bool ledger::idle() const { return m_items.empty() && m_journal.pending() == 0; }

explanation ledger::explain(const work_id& id) const
{
    explanation out;
    auto kept = m_kept.find(id);
    if (kept != m_kept.end()) {
        out.text = kept->second.answer.state == answer_state::done ? "It ran and its answer is kept."
                                                                   : "It ended without a result.";
        out.fields.emplace_back("worker", kept->second.answer.worker);
        return out;
    }
    auto found = m_items.find(id);
    if (found == m_items.end()) {
        out.text = "This instance does not know it.";
        return out;
    }
    const item& it = found->second;
    if (std::holds_alternative<recording>(it.phase))
        out.text = "It waits for the platform's log to confirm its record.";
    if (const auto* waiting = std::get_if<queued>(&it.phase))
        out.text = "It waits in the queue: " + std::string(reasonInfo(waiting->last).text) + ".";
    if (const auto* at = std::get_if<placed>(&it.phase)) {
        out.text = at->acknowledged ? "It runs on worker " + at->worker + "."
                                    : "Its start was sent to instance " + at->holder.id + ".";
    }
    for (const auto& line : it.history)
        out.fields.emplace_back("history", line);
    return out;
}

void ledger::checkInvariants() const
{
    size_t waiting = 0;
    size_t running = 0;
    for (const auto& [id, it] : m_items) {
        waiting += std::holds_alternative<queued>(it.phase) ? 1 : 0;
        running += std::holds_alternative<placed>(it.phase) ? 1 : 0;
        CAMPHORWELL_INVARIANT(!m_kept.count(id), "work " + id + " is both finished and under way");
        bool mayRun
            = it.work.idempotent || it.durable || !it.known || !std::holds_alternative<placed>(it.phase);
        CAMPHORWELL_INVARIANT(mayRun, "non-idempotent work " + id + " was placed without a durable intent");
    }
    CAMPHORWELL_INVARIANT(waiting == m_queue.size(), "the queue and the items disagree");
    CAMPHORWELL_INVARIANT(running == m_placedCount, "the count of placed work is wrong");
}

} // namespace camphorwell
