// Replicates the catalogue from the log and from other instances, and appends changes to the log.
//
// The stream is read from the last applied offset at regular intervals and immediately after a change by this
// instance. A peer whose heartbeat reports a lower offset receives a snapshot, also across data centres, so
// that changes still spread while the platform is unavailable. A change whose append was not answered is
// resolved by reading the stream until its record appears.
//
// The log drops records after its retention time, so a snapshot is appended well before that. A reader that
// finds that the start of the stream was dropped applies no record before it has a snapshot, from the stream
// or from a peer: a record whose predecessors are missing could get a different verdict than it got
// elsewhere.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

class catalogue_sync {
public:
    explicit catalogue_sync(context&);

    // `mayAppend`: this instance is the one that appends snapshots to the log.
    void onTick(bool mayAppend);
    // Both return false when the reply belongs to no call of this object.
    bool onRead(const read_reply&);
    bool onAppended(const append_reply&);
    void onChange(const catalogue_change&);
    void onUpdate(const catalogue_update&);
    // Sends a snapshot to `to` when the heartbeat reports an older catalogue.
    void onHeartbeat(const instance_id& to, const heartbeat&);
    const catalogue& current() const { return m_catalogue; }
    // Returns the changes settled since the last call: those with a verdict, a refused append or a timeout.
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
    bool m_gap = false; // The log has dropped records that were not read, and no snapshot was found yet.
    int64_t m_gapFrom = 0; // Offset of the oldest record in the log when the gap was found.
    // Records read after the gap, to be applied after a snapshot.
    std::vector<catalogue_record> m_heldRecords;
    instant m_lastSnapshot { 0 };
    int64_t m_cursor = 0; // Offset to read from next.
};

constexpr std::string_view catalogueStream = "catalogue";

} // namespace camphorwell
