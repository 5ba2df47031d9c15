// The memory of a data centre: work records in the platform's log.
//
// Records are appended in groups, one append at a time, so that a busy instance costs the log few appends
// and an idle one no waiting. Every record has an id of its own and the fold ignores repetitions, so an
// append whose answer is lost is settled by reading back and appended again only when it is not there. The
// stream is read when shards are gained and from time to time; the fold says what was accepted, what had an
// intent, and how it ended.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

enum class record_kind : uint8_t { accept, intent, evict, done, failed, unknown, cancelled };
std::string_view toString(record_kind);

struct work_record {
    std::string recordId;
    record_kind kind = record_kind::accept;
    camphorwell::work work; // Whole for accept and intent; id and attempt otherwise.
    std::string bodyHash;
    std::string result;
    std::string worker;
};

// What the log says of one piece of work.
struct durable_state {
    work_record first; // The accept or intent.
    std::string checkpoint;
    std::optional<work_record> end; // Its outcome, if any.
    uint64_t attempt = 0; // The highest attempt recorded.
    instant recordedAt { 0 }; // When its opening record was last known to be new.
};

class write_ahead_log {
public:
    explicit write_ahead_log(context&);

    // Queues a record and returns its id.
    std::string add(work_record);
    // `owns` says whether this instance is the owner of a piece of work.
    void onTick(const std::function<bool(const work_id&)>& leads);
    // Both return false when the call is not the journal's.
    bool onAppended(const append_reply&);
    bool onRead(const read_reply&);
    // Demands a read to the end of the stream that starts from now on.
    void requestRecovery();
    bool recovered() const { return m_recovered; }
    bool available() const { return m_available; }
    // True when the stream was read to its end a short while ago.
    bool recentlyRead() const;
    // Ids of records that became durable, or were refused, since the last call.
    std::vector<std::pair<std::string, bool>> takeSettled();
    const durable_state* find(const work_id&) const;
    const std::map<work_id, durable_state>& states() const { return m_states; }
    // Work whose state was read since the last call.
    std::vector<work_id> takeChanged();
    size_t pending() const { return m_queue.size() + m_inFlight.size(); }
    uint64_t appends() const { return m_appends; }

private:
    void appendNext();
    void startRead();
    void fold(const std::string& data);
    void foldRecord(const work_record&);
    void resolveAppend();
    void reappendOldRecords(const std::function<bool(const work_id&)>& leads);
    bool mayDiscard(const work_record&) const;

    context& m_context;
    std::string m_stream;
    std::deque<work_record> m_queue;
    std::vector<work_record> m_inFlight;
    uint64_t m_appendCall = 0;
    uint64_t m_readCall = 0;
    instant m_appendSince { 0 };
    instant m_nextAppend { 0 };
    instant m_nextRead { 0 };
    instant m_readSince { 0 };
    instant m_fullReadSince { 0 }; // Start of the first of the reads that reach the end.
    instant m_nextReappend { 0 };
    std::optional<instant> m_lastFullRead; // Start of the last reads that reached the end.
    int64_t m_cursor = 0;
    bool m_recovered = false;
    bool m_recoveryWanted = false;
    bool m_recoveryRead = false; // The read under way started after recovery was requested.
    bool m_appendUnknown = false; // An append's answer was lost.
    bool m_resolvingRead = false; // The read under way started after that.
    bool m_available = true;
    uint64_t m_recordCount = 0;
    uint64_t m_appends = 0;
    std::set<std::string> m_seenInFlight; // Records of the append in doubt that were read back.
    std::vector<std::pair<std::string, bool>> m_settled;
    std::vector<work_id> m_changed;
    std::map<work_id, durable_state> m_states;
    std::deque<std::pair<instant, work_id>> m_ended; // For dropping old outcomes.
};

} // namespace camphorwell
