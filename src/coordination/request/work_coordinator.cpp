// See work_coordinator.h for the algorithm. Requests and deadlines are here; placement and outcomes are in
// work_coordinator_outcomes.cpp.
#include "coordination/request/work_coordinator.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t scanIntervalMs = 40; // Interval between checks of all deadlines and resend times.
    constexpr size_t historyLength = 16; // History lines per unit of work.

} // namespace

answer refusedAnswer(const work_id& id, reason code, const std::string& detail)
{
    answer out;
    out.state = answer_state::refused;
    out.id = id;
    out.why = { code, detail };
    return out;
}

work_coordinator::work_coordinator(context& shared, membership& members, lease_holder& workers,
    write_ahead_log& log, const catalogue& entries, answer_callback answerTo)
    : m_context(shared)
    , m_members(members)
    , m_holder(workers)
    , m_log(log)
    , m_catalogue(entries)
    , m_sendAnswer(std::move(answerTo))
    , m_continuouslyOwned(shardCount, false)
    , m_logCompared(shardCount, false)
{
}

// ---- Leadership ------------------------------------------------------------------------------------------

bool work_coordinator::leads(const work_id& id) const
{
    return m_members.inView() && m_members.acknowledgedView().leaderOfWork(id) == m_context.options.self.id;
}

bool work_coordinator::active(const work_id& id) const
{
    if (!leads(id))
        return false;
    if (!isKeyed(id))
        return true;
    return m_continuouslyOwned[shardOf(id)] || m_members.transferComplete()
        || m_context.hasFault(fault::start_before_state_transfer);
}

void work_coordinator::checkContinuousOwnership()
{
    if (!m_holder.heldContinuously())
        std::fill(m_continuouslyOwned.begin(), m_continuouslyOwned.end(), false);
}

bool work_coordinator::needsRecovery(const work_id& id) const
{
    return isKeyed(id) && !m_logCompared[shardOf(id)];
}

void work_coordinator::onNewView()
{
    const auto& self = m_context.options.self.id;
    bool gained = false;
    for (uint32_t shard = 0; shard < shardCount; shard++) {
        bool mine = m_members.acknowledgedView().leaderOfShard(shard) == self;
        if (!mine)
            m_continuouslyOwned[shard] = false;
        m_logCompared[shard] = m_logCompared[shard] && m_continuouslyOwned[shard];
        gained = gained || (mine && !m_continuouslyOwned[shard]);
    }
    if (gained)
        m_log.requestRecovery();
    m_wasClosed = false;
    m_logScanned = false;
    m_capacityHints.clear();
    std::vector<work_id> lost;
    for (auto& [id, it] : m_items) {
        if (m_members.acknowledgedView().leaderOfWork(id) != self) {
            lost.push_back(id);
            continue;
        }
        if (it.logged && isKeyed(id) && !m_continuouslyOwned[shardOf(id)])
            it.unverified = true;
        auto* at = std::get_if<placed>(&it.phase);
        if (!at)
            continue;
        at->unconfirmed = true;
        at->nextSend = m_context.now;
    }
    // The router sends the waiting requests of this work to its new leader.
    for (const auto& id : lost)
        eraseItem(id);
    for (auto it = m_keptAnswers.begin(); it != m_keptAnswers.end();) {
        // An outcome that is not durable yet is needed if this instance becomes the leader again.
        bool mine
            = m_members.acknowledgedView().leaderOfWork(it->first) == self || !it->second.recordId.empty();
        it = mine ? std::next(it) : m_keptAnswers.erase(it);
    }
}

// ---- Requests --------------------------------------------------------------------------------------------

void work_coordinator::refuse(uint64_t ticket, const work_id& id, reason code, const std::string& detail)
{
    m_sendAnswer(ticket, refusedAnswer(id, code, detail));
}

void work_coordinator::onRequest(uint64_t ticket, const request& incoming)
{
    if (!active(incoming.id)) {
        refuse(ticket, incoming.id, reason::owner_unsettled,
            "the shard of work " + incoming.id + " is not active here");
        return;
    }
    switch (incoming.verb) {
    case verb::submit:
        submit(ticket, incoming);
        break;
    case verb::poll:
        poll(ticket, incoming);
        break;
    case verb::cancel:
        cancel(ticket, incoming);
        break;
    }
}

void work_coordinator::submit(uint64_t ticket, const request& incoming)
{
    std::string hash = hashHex(incoming.body);
    const durable_state* recorded = m_log.find(incoming.id);
    if (recorded && recorded->end && !m_keptAnswers.count(incoming.id) && !m_items.count(incoming.id))
        restoreAnswer(incoming.id, *recorded);
    if (answerKept(ticket, incoming.id, hash, true))
        return;
    auto found = m_items.find(incoming.id);
    if (found != m_items.end()) {
        join(ticket, incoming, found->second);
        return;
    }
    const auto* versioned = m_catalogue.find(incoming.entry);
    if (!versioned) {
        // The instance that received the request may have a newer catalogue.
        bool behind = m_catalogue.nextOffset() < incoming.catalogueNext;
        refuse(ticket, incoming.id, behind ? reason::owner_unsettled : reason::unknown_entry,
            "entry " + incoming.entry);
        return;
    }
    if (auto refused = admit(incoming, versioned->entry)) {
        refuse(ticket, incoming.id, refused->code, refused->detail);
        return;
    }
    open(ticket, incoming, versioned->entry);
}

bool work_coordinator::answerKept(
    uint64_t ticket, const work_id& id, const std::string& bodyHash, bool checkHash)
{
    auto kept = m_keptAnswers.find(id);
    if (kept == m_keptAnswers.end())
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
    m_sendAnswer(ticket, kept->second.answer);
    return true;
}

void work_coordinator::join(uint64_t ticket, const request& incoming, item& it)
{
    if (!it.requestKnown) {
        // A holder reported the task before any request arrived; this request has the missing fields.
        const auto* versioned = m_catalogue.find(incoming.entry);
        it.requestKnown = true;
        it.work.body = incoming.body;
        it.bodyHash = hashHex(incoming.body);
        it.work.entry = incoming.entry;
        if (versioned) {
            it.work.owner = versioned->entry.owner;
            it.work.urgent = versioned->entry.urgent;
        }
        setDeadline(it, m_context.now + milliseconds(incoming.deadlineMs));
    }
    if (it.bodyHash != hashHex(incoming.body)) {
        refuse(ticket, incoming.id, reason::key_reused,
            "work " + incoming.id + " was requested with another body");
        return;
    }
    bool present = std::any_of(
        it.waiters.begin(), it.waiters.end(), [&](const auto& waiter) { return waiter.first == ticket; });
    if (present)
        return;
    if (it.waiters.size() >= m_context.options.maxWaiters) {
        refuse(ticket, incoming.id, reason::too_many_waiters,
            std::to_string(it.waiters.size()) + " requests wait for work " + incoming.id);
        return;
    }
    it.waiters.emplace_back(ticket, incoming.respondAsync);
    m_ticketWork[ticket] = incoming.id;
    if (!it.work.batch)
        setDeadline(it, std::max(it.deadline, m_context.now + milliseconds(incoming.deadlineMs)));
    it.expired = false;
    if (it.durable && it.work.batch)
        acceptWaiters(it);
}

int64_t work_coordinator::shareOf(int64_t limit) const
{
    // Members that lead shards have equal shares; the remainder goes to the first ones by id.
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

int64_t work_coordinator::countEntry(const entry_name& name) const
{
    auto found = m_entryCounts.find(name);
    return found == m_entryCounts.end() ? 0 : found->second;
}

std::optional<refusal> work_coordinator::admit(const request& incoming, const entry& wanted) const
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
    bool logged = wanted.workClass == work_class::batch || !wanted.idempotent;
    if (!logged)
        return std::nullopt;
    if (!m_log.available())
        return refusal { reason::log_unavailable, "the log does not take records now" };
    if (needsRecovery(incoming.id))
        return refusal { reason::owner_unsettled, "the log of the shard is still being read" };
    return std::nullopt;
}

void work_coordinator::open(uint64_t ticket, const request& incoming, const entry& wanted)
{
    item& it = m_items[incoming.id];
    it.work.id = incoming.id;
    it.work.attempt = 0;
    it.work.entry = wanted.name;
    it.work.owner = wanted.owner;
    it.work.batch = wanted.workClass == work_class::batch;
    it.work.idempotent = wanted.idempotent;
    it.work.urgent = wanted.urgent;
    it.work.need = wanted.limits.perTask;
    it.work.body = incoming.body;
    it.bodyHash = hashHex(incoming.body);
    it.logged = it.work.batch || !it.work.idempotent;
    it.created = m_context.now;
    int64_t deadline = it.work.batch ? wanted.limits.deadlineMs : incoming.deadlineMs;
    it.work.deadlineMs = deadline;
    it.deadline = m_context.now + milliseconds(deadline);
    it.waiters.emplace_back(ticket, incoming.respondAsync);
    m_ticketWork[ticket] = incoming.id;
    m_entryCounts[it.work.entry]++;
    note(it, "received");
    if (!it.logged) {
        enqueue(it, m_context.now, reason::no_room);
        return;
    }
    work_record record;
    record.kind = it.work.batch ? record_kind::accept : record_kind::intent;
    record.work = it.work;
    record.bodyHash = it.bodyHash;
    it.phase = recording {};
    std::string id = m_log.add(std::move(record));
    m_pendingRecords[id] = incoming.id;
    it.phase = recording { id };
    if (m_context.hasFault(fault::accept_before_durable) && it.work.batch)
        acceptWaiters(it);
    if (m_context.hasFault(fault::intent_not_durable) && !it.work.batch)
        enqueue(it, m_context.now, reason::no_room);
}

void work_coordinator::poll(uint64_t ticket, const request& incoming)
{
    if (answerKept(ticket, incoming.id, {}, false))
        return;
    auto found = m_items.find(incoming.id);
    if (found == m_items.end()) {
        if (needsRecovery(incoming.id))
            refuse(ticket, incoming.id, reason::owner_unsettled, "the log of the shard is still being read");
        else
            refuse(ticket, incoming.id, reason::unknown_work, "work " + incoming.id);
        return;
    }
    answer out;
    out.id = incoming.id;
    out.state = std::holds_alternative<placed>(found->second.phase) ? answer_state::running
                                                                    : answer_state::accepted;
    out.attempt = found->second.work.attempt;
    m_sendAnswer(ticket, out);
}

void work_coordinator::cancel(uint64_t ticket, const request& incoming)
{
    if (answerKept(ticket, incoming.id, {}, false))
        return;
    auto found = m_items.find(incoming.id);
    if (found == m_items.end()) {
        poll(ticket, incoming);
        return;
    }
    item& it = found->second;
    it.cancelling = true;
    note(it, "cancel requested");
    bool waiting = std::holds_alternative<queued>(it.phase);
    if (!waiting) {
        // The tick repeats the stop; the caller is answered when the outcome is known.
        it.waiters.emplace_back(ticket, false);
        m_ticketWork[ticket] = incoming.id;
        if (auto* at = std::get_if<placed>(&it.phase))
            m_context.send(at->holder.id, stop_work { it.work.id, it.work.attempt });
        return;
    }
    it.waiters.emplace_back(ticket, false);
    m_ticketWork[ticket] = incoming.id;
    finish(it, cancelledAnswer(it), record_kind::cancelled);
}

void work_coordinator::removeWaiter(uint64_t ticket)
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

void work_coordinator::answerWaiters(item& it, const answer& out)
{
    auto waiters = std::move(it.waiters);
    it.waiters.clear();
    for (const auto& [ticket, async] : waiters) {
        m_ticketWork.erase(ticket);
        m_sendAnswer(ticket, out);
    }
}

void work_coordinator::acceptWaiters(item& it)
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
        m_sendAnswer(waiter.first, out);
    }
    it.waiters.insert(it.waiters.end(), rest.begin(), rest.end());
}

// ---- Time ------------------------------------------------------------------------------------------------

void work_coordinator::expire(item& it)
{
    it.expired = true;
    bool safe = !it.mayHaveStarted && !std::holds_alternative<placed>(it.phase);
    if (m_context.hasFault(fault::refuse_after_start))
        safe = true;
    bool appended = it.logged && it.work.batch; // The accept record may still become durable.
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

void work_coordinator::onTick()
{
    if (m_members.transferComplete() && !m_wasClosed) {
        m_wasClosed = true;
        const auto& self = m_context.options.self.id;
        for (uint32_t shard = 0; shard < shardCount; shard++)
            m_continuouslyOwned[shard] = m_members.acknowledgedView().leaderOfShard(shard) == self;
        m_holder.resetHeldContinuously();
    }
    resolveUnconfirmed();
    recoverAll();
    if (m_context.now < m_nextScan)
        return;
    m_nextScan = m_context.now + milliseconds(scanIntervalMs);
    std::vector<work_id> overdue;
    for (auto& [id, it] : m_items) {
        if (!it.work.batch && !it.expired && it.requestKnown && m_context.now >= it.deadline)
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

void work_coordinator::trimKept()
{
    instant keep = milliseconds(m_context.options.resultRetentionMs);
    while (!m_keptOrder.empty()) {
        bool old = m_context.now - m_keptOrder.front().first > keep;
        if (!old && m_keptAnswers.size() <= m_context.options.maxKeptAnswers)
            return;
        auto found = m_keptAnswers.find(m_keptOrder.front().second);
        bool pending = found != m_keptAnswers.end() && !found->second.recordId.empty();
        if (pending && !old)
            return;
        if (pending) {
            // The outcome is not durable yet, so this is its only copy.
            found->second.at = m_context.now;
            m_keptOrder.emplace_back(m_context.now, found->first);
        }
        if (!pending && found != m_keptAnswers.end() && found->second.at == m_keptOrder.front().first)
            m_keptAnswers.erase(found);
        m_keptOrder.pop_front();
    }
}

void work_coordinator::note(item& it, const std::string& text)
{
    it.history.push_back(std::to_string(m_context.now.count() / 1000) + " " + text);
    if (it.history.size() > historyLength)
        it.history.erase(it.history.begin());
}

bool work_coordinator::idle() const { return m_items.empty() && m_log.pending() == 0; }

explanation work_coordinator::explain(const work_id& id) const
{
    explanation out;
    auto kept = m_keptAnswers.find(id);
    if (kept != m_keptAnswers.end()) {
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

void work_coordinator::checkInvariants() const
{
    size_t waiting = 0;
    size_t running = 0;
    for (const auto& [id, it] : m_items) {
        waiting += std::holds_alternative<queued>(it.phase) ? 1 : 0;
        running += std::holds_alternative<placed>(it.phase) ? 1 : 0;
        CAMPHORWELL_INVARIANT(!m_keptAnswers.count(id), "work " + id + " is both finished and unfinished");
        bool mayRun = it.work.idempotent || it.durable || !it.requestKnown
            || !std::holds_alternative<placed>(it.phase);
        CAMPHORWELL_INVARIANT(mayRun, "non-idempotent work " + id + " was placed without a durable intent");
    }
    CAMPHORWELL_INVARIANT(
        waiting == m_queue.size(), "the queue size differs from the number of queued items");
    CAMPHORWELL_INVARIANT(
        running == m_placedCount, "the placed count differs from the number of placed items");
}

} // namespace camphorwell
