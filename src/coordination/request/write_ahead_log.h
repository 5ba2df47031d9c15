// The write-ahead log of the work of a data centre, stored in the platform's log.
//
// Records are appended in batches with one append in flight, which bounds the number of appends under load
// and adds no delay when idle. Each record has a unique id and the fold ignores repetitions, so after an
// append with an unknown outcome the stream is read back and only missing records are appended again. The
// stream is read when the instance gains shards and periodically; the fold yields which work was accepted,
// which has an intent record, and how it ended.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

enum class record_kind : uint8_t { accept, intent, evict, done, failed, unknown, cancelled };
std::string_view toString(record_kind);

struct work_record {
    std::string recordId;
    record_kind kind = record_kind::accept;
    // Complete for accept and intent. Otherwise only id and attempt, and for evict the checkpoint.
    camphorwell::work work;
    std::string bodyHash;
    std::string result;
    std::string worker;
};

// The state of one unit of work that results from its log records.
struct durable_state {
    work_record first; // The accept or intent record.
    std::string checkpoint;
    std::optional<work_record> end; // The outcome record, if any.
    uint64_t attempt = 0; // Highest attempt in any record.
    // When the latest opening record was read or appended; for a record of unknown age, in the first read,
    // half the log retention earlier.
    instant recordedAt { 0 };
};

class write_ahead_log {
public:
    explicit write_ahead_log(context&);

    // Queues a record and returns its id.
    std::string add(work_record);
    // `leads` returns whether this instance is the leader of the work.
    void onTick(const std::function<bool(const work_id&)>& leads);
    // Both return false when the reply belongs to a call of another component.
    bool onAppended(const append_reply&);
    bool onRead(const read_reply&);
    // Clears `recovered` until a read that starts after this call reaches the end of the stream.
    void requestRecovery();
    bool recovered() const { return m_recovered; }
    bool available() const { return m_available; }
    // True when a read that reached the end of the stream started within the last three poll intervals.
    bool recentlyRead() const;
    // Returns the records decided since the last call: the id, and whether the record is durable (true)
    // or was discarded (false).
    std::vector<std::pair<std::string, bool>> takeSettled();
    const durable_state* find(const work_id&) const;
    const std::map<work_id, durable_state>& states() const { return m_states; }
    // Returns the work whose state has changed since the last call.
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
    instant m_fullReadSince { 0 }; // Start of the current series of reads to the end of the stream.
    instant m_nextReappend { 0 };
    std::optional<instant> m_lastFullRead; // Start of the last series of reads that reached the end.
    int64_t m_cursor = 0;
    bool m_recovered = false;
    bool m_recoveryWanted = false;
    bool m_recoveryRead = false; // The current read started after recovery was requested.
    bool m_appendUnknown = false; // The outcome of the last append is unknown.
    bool m_resolvingRead = false; // The current read started after the append with the unknown outcome.
    bool m_available = true;
    uint64_t m_recordCount = 0;
    uint64_t m_appends = 0;
    // Ids of in-flight records that were read back, and "sent " + id of records from an append with an
    // unknown outcome, which may still become durable.
    std::set<std::string> m_seenInFlight;
    std::vector<std::pair<std::string, bool>> m_settled;
    std::vector<work_id> m_changed;
    std::map<work_id, durable_state> m_states;
    std::deque<std::pair<instant, work_id>> m_ended; // Finished work, oldest outcome first.
};

} // namespace camphorwell
