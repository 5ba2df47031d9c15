// See write_ahead_log.h for the algorithm.
#include "coordination/request/write_ahead_log.h"

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr int64_t appendTimeoutMs = 3000; // The outcome then counts as unknown and is read back.
    constexpr int64_t readTimeoutMs = 3000;
    constexpr int64_t recentReadPolls = 3; // Age limit of a recent read, in poll intervals.
    constexpr int64_t appendRetryMs = 250; // Pause after a refused append.

    json toRecordJson(const work_record& record)
    {
        json out = { { "r", record.recordId }, { "t", toString(record.kind) }, { "id", record.work.id },
            { "a", record.work.attempt } };
        bool opening = record.kind == record_kind::accept || record.kind == record_kind::intent;
        if (opening) {
            const auto& w = record.work;
            out["e"] = w.entry;
            out["o"] = w.owner;
            out["b"] = w.body;
            out["h"] = record.bodyHash;
            out["dl"] = w.deadlineMs;
            out["f"] = (w.batch ? 1 : 0) | (w.idempotent ? 2 : 0) | (w.urgent ? 4 : 0);
            out["n"] = { w.need.cpuMilli, w.need.memoryMb, w.need.accelerators, w.need.slots };
        }
        if (!record.work.checkpoint.empty())
            out["ck"] = record.work.checkpoint;
        if (!record.result.empty())
            out["res"] = record.result;
        if (!record.worker.empty())
            out["w"] = record.worker;
        return out;
    }

    std::optional<record_kind> kindFrom(const std::string& name)
    {
        for (auto kind : { record_kind::accept, record_kind::intent, record_kind::evict, record_kind::done,
                 record_kind::failed, record_kind::unknown, record_kind::cancelled }) {
            if (toString(kind) == name)
                return kind;
        }
        return std::nullopt;
    }

    std::optional<work_record> recordFrom(const std::string& data)
    {
        json source = json::parse(data, nullptr, false);
        if (!source.is_object())
            return std::nullopt;
        try {
            work_record out;
            auto kind = kindFrom(source.at("t").get<std::string>());
            if (!kind)
                return std::nullopt;
            out.kind = *kind;
            out.recordId = source.at("r").get<std::string>();
            out.work.id = source.at("id").get<std::string>();
            out.work.attempt = source.at("a").get<uint64_t>();
            out.work.entry = source.value("e", std::string());
            out.work.owner = source.value("o", std::string());
            out.work.body = source.value("b", std::string());
            out.bodyHash = source.value("h", std::string());
            out.work.deadlineMs = source.value("dl", int64_t { 0 });
            int flags = source.value("f", 2);
            out.work.batch = flags & 1;
            out.work.idempotent = flags & 2;
            out.work.urgent = flags & 4;
            if (source.contains("n")) {
                const auto& n = source.at("n");
                out.work.need = { n.at(0), n.at(1), n.at(2), n.at(3) };
            }
            out.work.checkpoint = source.value("ck", std::string());
            out.result = source.value("res", std::string());
            out.worker = source.value("w", std::string());
            return out;
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

    bool isOpening(record_kind kind) { return kind == record_kind::accept || kind == record_kind::intent; }

} // namespace

std::string_view toString(record_kind kind)
{
    switch (kind) {
    case record_kind::accept:
        return "accept";
    case record_kind::intent:
        return "intent";
    case record_kind::evict:
        return "evict";
    case record_kind::done:
        return "done";
    case record_kind::failed:
        return "failed";
    case record_kind::unknown:
        return "unknown";
    case record_kind::cancelled:
        return "cancelled";
    }
    return "";
}

write_ahead_log::write_ahead_log(context& shared)
    : m_context(shared)
    , m_stream("work-" + shared.options.dataCentre)
{
}

std::string write_ahead_log::add(work_record record)
{
    const auto& self = m_context.options.self;
    record.recordId
        = self.id + "." + std::to_string(self.incarnation) + "." + std::to_string(++m_recordCount);
    std::string id = record.recordId;
    m_queue.push_back(std::move(record));
    appendNext();
    return id;
}

void write_ahead_log::appendNext()
{
    bool busy = m_appendCall != 0 || m_appendUnknown;
    if (busy || m_context.now < m_nextAppend || (m_queue.empty() && m_inFlight.empty()))
        return;
    while (!m_queue.empty() && m_inFlight.size() < m_context.options.appendBatch) {
        m_inFlight.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    append_action out;
    out.call = m_appendCall = m_context.nextCall++;
    out.stream = m_stream;
    for (const auto& record : m_inFlight)
        out.records.push_back(toRecordJson(record).dump());
    m_appendSince = m_context.now;
    m_appends++;
    m_context.out.push_back(std::move(out));
}

bool write_ahead_log::onAppended(const append_reply& reply)
{
    if (reply.call != m_appendCall || m_appendCall == 0)
        return false;
    m_appendCall = 0;
    switch (reply.status) {
    case append_status::durable:
        m_available = true;
        for (const auto& record : m_inFlight) {
            m_settled.emplace_back(record.recordId, true);
            foldRecord(record); // Applied at once; the next read only repeats it.
        }
        m_inFlight.clear();
        appendNext();
        break;
    case append_status::refused: {
        m_available = false;
        m_context.count(reason::retry_append);
        m_nextAppend = m_context.now + m_context.jitter(appendRetryMs);
        // Opening records are discarded, since nothing has started; outcome records must not be lost.
        std::vector<work_record> keep;
        auto sort = [&](work_record& record) {
            if (mayDiscard(record))
                m_settled.emplace_back(record.recordId, false);
            else
                keep.push_back(std::move(record));
        };
        for (auto& record : m_inFlight)
            sort(record);
        for (auto& record : m_queue)
            sort(record);
        m_inFlight.clear();
        m_queue.assign(std::make_move_iterator(keep.begin()), std::make_move_iterator(keep.end()));
        break;
    }
    case append_status::unknown:
        m_available = false;
        m_context.count(reason::retry_append);
        m_appendUnknown = true;
        m_seenInFlight.clear();
        m_nextRead = m_context.now;
        break;
    }
    return true;
}

// An opening record may be discarded unless an earlier append of it had an unknown outcome: that append may
// still take effect.
bool write_ahead_log::mayDiscard(const work_record& record) const
{
    return isOpening(record.kind) && !m_seenInFlight.count("sent " + record.recordId);
}

bool write_ahead_log::recentlyRead() const
{
    instant limit = milliseconds(m_context.options.logPollMs * recentReadPolls);
    return m_lastFullRead && m_context.now - *m_lastFullRead < limit;
}

void write_ahead_log::requestRecovery()
{
    m_recovered = false;
    m_recoveryWanted = true;
    m_nextRead = m_context.now;
}

void write_ahead_log::startRead()
{
    m_readCall = m_context.nextCall++;
    m_readSince = m_context.now;
    m_context.out.push_back(read_action { m_readCall, m_stream, m_cursor });
}

void write_ahead_log::onTick(const std::function<bool(const work_id&)>& leads)
{
    reappendOldRecords(leads);
    if (m_appendCall != 0 && m_context.now - m_appendSince > milliseconds(appendTimeoutMs))
        onAppended({ m_appendCall, append_status::unknown });
    appendNext();
    if (m_readCall != 0 && m_context.now - m_readSince > milliseconds(readTimeoutMs))
        m_readCall = 0;
    if (m_readCall == 0 && m_context.now >= m_nextRead) {
        m_recoveryRead = m_recoveryWanted;
        m_resolvingRead = m_appendUnknown;
        m_fullReadSince = m_context.now;
        m_nextRead = m_context.now + m_context.jitter(m_context.options.logPollMs);
        startRead();
    }
    // States are kept for the retention of the log, so that an opening record that is read late has its
    // outcome.
    instant keep = milliseconds(m_context.options.logRetentionMs);
    while (!m_ended.empty() && m_context.now - m_ended.front().first > keep) {
        m_states.erase(m_ended.front().second);
        m_ended.pop_front();
    }
}

// Appends the opening records of unfinished work again after half the log retention, also when the leader of
// the work is not active. Requires a recent read to the end, since another leader may have finished the work.
void write_ahead_log::reappendOldRecords(const std::function<bool(const work_id&)>& leads)
{
    if (m_context.now < m_nextReappend || !recentlyRead() || !m_available)
        return;
    m_nextReappend = m_context.now + milliseconds(m_context.options.logPollMs);
    instant half = milliseconds(m_context.options.logRetentionMs / 2);
    for (auto& [id, state] : m_states) {
        bool due = !state.end && !state.first.work.id.empty() && m_context.now - state.recordedAt >= half;
        if (!due || !leads(id))
            continue;
        state.recordedAt = m_context.now;
        work_record again = state.first;
        again.work.attempt = state.attempt;
        again.work.checkpoint = state.checkpoint;
        add(std::move(again));
    }
}

bool write_ahead_log::onRead(const read_reply& reply)
{
    if (reply.call != m_readCall || m_readCall == 0)
        return false;
    m_readCall = 0;
    if (!reply.ok) {
        m_available = false;
        return true;
    }
    // After an append with an unknown outcome a read alone does not show that the log takes records.
    m_available = m_available || !m_appendUnknown;
    for (const auto& entry : reply.records)
        fold(entry.data);
    m_cursor = std::max(m_cursor, reply.next);
    if (!reply.atEnd) {
        startRead();
        return true;
    }
    m_lastFullRead = m_fullReadSince;
    if (m_recoveryRead && m_recoveryWanted) {
        m_recoveryWanted = false;
        m_recovered = true;
    }
    if (m_appendUnknown && m_resolvingRead)
        resolveAppend();
    return true;
}

void write_ahead_log::resolveAppend()
{
    m_appendUnknown = false;
    m_available = true;
    std::vector<work_record> missing;
    for (auto& record : m_inFlight) {
        if (m_seenInFlight.count(record.recordId))
            m_settled.emplace_back(record.recordId, true);
        else
            missing.push_back(std::move(record));
    }
    m_seenInFlight.clear();
    // The earlier append may still take effect, so these records are never discarded; the fold ignores
    // repetitions.
    for (const auto& record : missing)
        m_seenInFlight.insert("sent " + record.recordId);
    m_inFlight = std::move(missing);
    appendNext();
}

void write_ahead_log::fold(const std::string& data)
{
    auto record = recordFrom(data);
    if (!record)
        return;
    if (m_appendUnknown) {
        for (const auto& mine : m_inFlight) {
            if (mine.recordId == record->recordId)
                m_seenInFlight.insert(record->recordId);
        }
    }
    foldRecord(*record);
}

void write_ahead_log::foldRecord(const work_record& record)
{
    auto& state = m_states[record.work.id];
    state.attempt = std::max(state.attempt, record.work.attempt);
    if (isOpening(record.kind)) {
        // The age of a record in the first read is unknown; half the retention is assumed.
        instant half = milliseconds(m_context.options.logRetentionMs / 2);
        state.recordedAt = m_lastFullRead ? m_context.now : m_context.now - half;
        if (state.first.work.id.empty())
            state.first = record;
        if (!record.work.checkpoint.empty())
            state.checkpoint = record.work.checkpoint;
    } else if (record.kind == record_kind::evict) {
        state.checkpoint = record.work.checkpoint;
    } else if (!state.end || state.end->kind == record_kind::unknown) {
        // A definite outcome replaces `unknown`.
        state.end = record;
        state.first.work.body.clear(); // The body hash suffices to recognise a retry.
        m_ended.emplace_back(m_context.now, record.work.id);
    }
    m_changed.push_back(record.work.id);
}

std::vector<std::pair<std::string, bool>> write_ahead_log::takeSettled()
{
    auto out = std::move(m_settled);
    m_settled.clear();
    return out;
}

std::vector<work_id> write_ahead_log::takeChanged()
{
    auto out = std::move(m_changed);
    m_changed.clear();
    return out;
}

const durable_state* write_ahead_log::find(const work_id& id) const
{
    auto found = m_states.find(id);
    return found == m_states.end() ? nullptr : &found->second;
}

} // namespace camphorwell
