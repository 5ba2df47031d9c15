// Keeps the catalogue up to date from the log and from other instances, and carries changes to the log.
//
// The stream is read from the last folded offset at intervals and at once after a change of one's own. A
// peer whose heartbeat shows a lower offset is sent a snapshot, across data centres too, so that losing the
// platform alone does not stop a change from spreading. A change whose append has no answer is settled by
// reading on until the record shows up.
//
// The log keeps records for a limited time, so a snapshot is appended well before that. A reader that finds
// the start of the stream gone folds nothing until it meets a snapshot, there or from a peer: a record
// whose predecessors are missing could get another verdict than it had.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

class catalogue_sync {
public:
    explicit catalogue_sync(context&);

    // `mayAppend` says that this instance is the one that keeps the log's snapshot young.
    void onTick(bool mayAppend);
    bool onRead(const read_reply&);
    bool onAppended(const append_reply&);
    void onChange(const catalogue_change&);
    void onUpdate(const catalogue_update&);
    // Sends `to` a snapshot when its catalogue is behind.
    void onHeartbeat(const instance_id& to, const heartbeat&);
    const catalogue& current() const { return m_catalogue; }
    // Changes whose verdict is known since the last call.
    std::vector<change_action> takeSettled();
    bool available() const { return m_available; }

private:
    struct change {
        uint64_t ticket = 0;
        std::string changeId;
        append_status status = append_status::unknown;
        instant since { 0 };
        uint64_t appendCall = 0;
    };
    void startRead();
    void settleChanges();
    void fold(const log_entry&);
    void foldSnapshot(const nlohmann::json&);
    void appendSnapshotIfDue();
    void closeGap();

    context& m_context;
    catalogue m_catalogue;
    std::vector<change> m_changes;
    std::vector<change_action> m_settled;
    uint64_t m_readCall = 0;
    instant m_readStarted { 0 };
    instant m_nextRead { 0 };
    std::map<instance_id, instant> m_lastSnapshotSent;
    bool m_available = true;
    bool m_gap = false; // The start of the stream is gone and no snapshot was met.
    int64_t m_gapFrom = 0; // Offset of the first record that the log still kept then.
    std::vector<catalogue_record> m_heldRecords; // Records read since the gap.
    instant m_lastSnapshot { 0 };
    int64_t m_cursor = 0; // Offset to read from next.
};

constexpr std::string_view catalogueStream = "catalogue";

} // namespace camphorwell
