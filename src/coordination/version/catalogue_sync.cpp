// See catalogue_sync.h for the algorithm.
#include "coordination/version/catalogue_sync.h"

namespace camphorwell {

namespace {

    constexpr int64_t readTimeoutMs = 3000;
    constexpr int64_t changeTimeoutMs = 15'000; // After this, an undecided change is reported as unknown.
    constexpr size_t maxHeldRecords = 20'000;
    constexpr int64_t minSnapshotIntervalMs = 500; // Minimum time between snapshots to the same peer.

} // namespace

catalogue_sync::catalogue_sync(context& shared)
    : m_context(shared)
{
}

void catalogue_sync::startRead()
{
    m_readCall = m_context.nextCall++;
    m_readStarted = m_context.now;
    m_nextRead = m_context.now + m_context.jitter(m_context.options.logPollMs);
    m_context.out.push_back(read_action {
        m_readCall, std::string(catalogueStream), std::max(m_cursor, m_catalogue.nextOffset()) });
}

void catalogue_sync::onTick(bool mayAppend)
{
    if (mayAppend)
        appendSnapshotIfDue();
    if (m_readCall != 0 && m_context.now - m_readStarted > milliseconds(readTimeoutMs))
        m_readCall = 0;
    if (m_readCall == 0 && m_context.now >= m_nextRead)
        startRead();
    settleChanges();
}

bool catalogue_sync::onRead(const read_reply& reply)
{
    if (reply.call != m_readCall || m_readCall == 0)
        return false;
    m_readCall = 0;
    m_available = reply.ok;
    if (!reply.ok)
        return true;
    int64_t before = m_catalogue.nextOffset();
    m_cursor = std::max(m_cursor, m_catalogue.nextOffset());
    if (reply.first > m_cursor && !m_gap) {
        m_gap = true;
        m_gapFrom = reply.first;
        m_heldRecords.clear();
    }
    for (const auto& entry : reply.records)
        fold(entry);
    m_cursor = std::max(m_cursor, reply.next);
    CAMPHORWELL_INVARIANT(m_catalogue.nextOffset() >= before, "the catalogue moved backwards");
    if (!reply.atEnd)
        startRead();
    settleChanges();
    return true;
}

void catalogue_sync::fold(const log_entry& entry)
{
    auto source = nlohmann::json::parse(entry.data, nullptr, false);
    try {
        if (source.is_object() && source.contains("snapshot")) {
            foldSnapshot(source);
            return;
        }
        catalogue_record record = recordFromJson(source);
        record.offset = entry.offset;
        if (m_gap && m_heldRecords.size() < maxHeldRecords)
            m_heldRecords.push_back(record);
        if (!m_gap)
            m_catalogue.apply(record);
    } catch (const nlohmann::json::exception&) {
        return; // Not a catalogue record. Every reader skips it, so their catalogues stay equal.
    }
}

void catalogue_sync::foldSnapshot(const nlohmann::json& source)
{
    m_lastSnapshot = m_context.now;
    if (!m_gap)
        return;
    std::vector<catalogue_record> records;
    for (const auto& item : source.at("snapshot"))
        records.push_back(recordFromJson(item));
    int64_t next = source.at("next").get<int64_t>();
    // The snapshot must reach the oldest held record and none may have been discarded; otherwise records
    // would be missing.
    if (next < m_gapFrom || m_heldRecords.size() >= maxHeldRecords)
        return;
    m_catalogue.restore(records, next);
    closeGap();
}

void catalogue_sync::closeGap()
{
    m_gap = false;
    for (const auto& record : m_heldRecords)
        m_catalogue.apply(record);
    m_heldRecords.clear();
}

// Appends a snapshot when none was seen for a third of the log's retention time.
void catalogue_sync::appendSnapshotIfDue()
{
    bool recent = m_context.now - m_lastSnapshot < milliseconds(m_context.options.logRetentionMs / 3);
    if (recent || m_gap || m_catalogue.nextOffset() == 0 || !m_available)
        return;
    m_lastSnapshot = m_context.now;
    nlohmann::json out = { { "snapshot", nlohmann::json::array() }, { "next", m_catalogue.nextOffset() } };
    for (const auto& record : m_catalogue.snapshot())
        out["snapshot"].push_back(toJson(record));
    m_context.out.push_back(
        append_action { m_context.nextCall++, std::string(catalogueStream), { out.dump() } });
}

void catalogue_sync::onChange(const catalogue_change& given)
{
    change pending;
    pending.ticket = given.ticket;
    pending.changeId = given.record.changeId;
    pending.since = m_context.now;
    pending.appendCall = m_context.nextCall++;
    m_context.out.push_back(
        append_action { pending.appendCall, std::string(catalogueStream), { toJson(given.record).dump() } });
    m_changes.push_back(std::move(pending));
}

bool catalogue_sync::onAppended(const append_reply& reply)
{
    for (auto it = m_changes.begin(); it != m_changes.end(); ++it) {
        if (it->appendCall != reply.call)
            continue;
        it->appendCall = 0;
        it->status = reply.status;
        if (reply.status == append_status::refused) {
            m_settled.push_back(change_action { it->ticket, reply.status, {}, 0, {}, {} });
            m_changes.erase(it);
        } else if (m_readCall == 0) {
            startRead();
        } else {
            m_nextRead = m_context.now;
        }
        return true;
    }
    return false;
}

void catalogue_sync::settleChanges()
{
    for (auto it = m_changes.begin(); it != m_changes.end();) {
        auto verdict = m_catalogue.verdict(it->changeId);
        bool late = m_context.now - it->since > milliseconds(changeTimeoutMs);
        if (!verdict && !late) {
            ++it;
            continue;
        }
        change_action out;
        out.ticket = it->ticket;
        out.status = verdict ? append_status::durable : it->status;
        out.verdict = verdict;
        for (const auto& [record, won] : m_catalogue.history()) {
            if (record.changeId == it->changeId)
                out.version = static_cast<uint64_t>(record.offset) + 1;
        }
        m_settled.push_back(std::move(out));
        it = m_changes.erase(it);
    }
}

void catalogue_sync::onUpdate(const catalogue_update& update)
{
    // While a change of this instance is undecided, only the log may decide it.
    if (!m_changes.empty())
        return;
    int64_t before = m_catalogue.nextOffset();
    if (m_context.hasFault(fault::catalogue_reverts)) {
        catalogue next;
        next.restore(update.records, update.nextOffset);
        m_catalogue = next;
    } else {
        bool newer = m_catalogue.restore(update.records, update.nextOffset);
        if (newer && m_gap)
            closeGap();
    }
    CAMPHORWELL_INVARIANT(m_catalogue.nextOffset() >= before, "the catalogue moved backwards");
    settleChanges();
}

void catalogue_sync::onHeartbeat(const instance_id& to, const heartbeat& beat)
{
    bool behind = beat.catalogueNext < m_catalogue.nextOffset();
    if (m_context.hasFault(fault::catalogue_reverts))
        behind = beat.catalogueNext != m_catalogue.nextOffset();
    auto& last = m_lastSnapshotSent[to];
    if (!behind || m_context.now - last < milliseconds(minSnapshotIntervalMs))
        return;
    last = m_context.now;
    m_context.send(to, catalogue_update { m_catalogue.snapshot(), m_catalogue.nextOffset() });
}

std::vector<change_action> catalogue_sync::takeSettled()
{
    auto out = std::move(m_settled);
    m_settled.clear();
    return out;
}

} // namespace camphorwell
