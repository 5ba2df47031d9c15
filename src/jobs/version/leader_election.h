// Election of the leader of a cell.
//
// The newest claim record of the cell in the store names the leader. An instance becomes leader by appending
// its claim on the condition that the record it read last is still the newest, and renews its leadership
// periodically by a conditional append of the same kind. The leader's token is the offset after its claim, so
// tokens increase from leader to leader.
//
// If the leader dies or is cut off, other instances claim the cell after `leaderTimeoutMs` without a renewal.
// A released claim is vacant at once. Each instance adds a delay of its own, so that the first conditional
// append usually decides. An instance with at least twice the leader's processors replaces it after
// `weakLeaderTermMs`; otherwise a cell that only a small instance could claim in time would stay there.
//
// Workers run tasks under leases, which outlive a leader. They are bounded by `lease_terms`, and each claim
// states the bounds of its leader and of earlier ones. So the next leader knows how long a worker that does
// not answer may still run what an earlier leader started: counted from the last renewal, not from the
// takeover. The claims also state the recent takeovers, so that a leader that is soon followed by another
// does not extend these bounds for workers that it has not reached.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

struct claim_record {
    instance_id instance;
    uint64_t incarnation = 0;
    std::string address; // HOST:PORT at which other instances reach the leader.
    uint64_t token = 0; // 0 in the record that makes the claim, since its offset is not known yet.
    bool released = false;
    double processors = 0; // Cores of the instance; 0: unknown, as in records of earlier releases.
    // Bounds on the leases of this and earlier leaders, from the time on when the record was sent, also on
    // workers whose clock is slow; 0: not stated, as in records of earlier releases. See `earlier_leases`.
    ms leasesEndMs = 0;
    ms quorumLeaseMs = 0;
    ms longestLeaseMs = 0;
    // Recent takeovers of the cell, oldest first. Times count from when the record was sent.
    std::vector<cell_takeover> takeovers;
    bool operator==(const claim_record&) const = default;
};
std::string encodeClaim(const claim_record&);
std::optional<claim_record> decodeClaim(std::string_view bytes);

struct election_settings {
    ms renewIntervalMs = 600;
    ms leaderTimeoutMs = 1800; // A leader without a renewal for this long is replaced: three missed renewals.
    // Timeout of a claim that has not been renewed yet, since its instance is still taking the cell over.
    ms takeoverTimeoutMs = 6000;
    lease_terms leaseTerms;
    // Bound on the leases of a leader that does not state it: earlier releases granted leases of up to
    // cell_settings::maxLeaseMs for 6 s after a renewal.
    ms unstatedLeasesEndMs = 6000 + 6500;
    ms appendRetryMs = 200; // Pause after a failed append; about a tenth of `leaderTimeoutMs`.
    ms weakLeaderTermMs = 2500; // Least term of a weaker leader; slightly more than a takeover takes.
    ms claimDelayMs = 0; // This instance's own delay before a claim, up to a few hundred milliseconds.
};

// The part of one instance in the election of one cell's leader. The caller reads claims, passes them to
// `onClaimRead`, and appends what `next` asks for.
class leader_election {
public:
    leader_election(election_settings, claim_record self);

    enum class step { none, claim, renew };
    // The kind of record to append now. `record` is its content, and `expectedOffset` the offset at which it
    // must be appended.
    step next(ms now);
    uint64_t expectedOffset() const { return m_nextOffset; }
    claim_record record(step, bool releasing, ms now) const;

    // The newest claim in the store; nothing if there is none. `nextOffset` is the offset after it.
    void onClaimRead(const std::optional<claim_record>&, uint64_t nextOffset, ms now);
    // A read of the claims failed. The leader's silence does not count until reads succeed again.
    void onReadFailed() { m_readingSince.reset(); }
    // A read succeeded and returned no new claim.
    void onReadOk(ms now);
    // `releasing` is the value that was passed to `record`.
    void onAppended(step, uint64_t offset, ms sentAt, bool releasing);
    // The store refused the append because the expected offset was taken.
    void onConflict();
    // The append failed for another reason; it is tried again after `appendRetryMs`.
    void onAppendFailed(bool mayHaveSucceeded, ms now);
    // Makes no further claims. The caller marks the next renewal as released.
    void release() { m_releasing = true; }
    bool isReleasing() const { return m_releasing; }
    // The caller learnt from another source that there is a newer leader.
    void stepDown()
    {
        m_token = 0;
        m_claimStale = true;
    }

    // Whether the newest claim must be read before the next append.
    bool mustRead() const { return m_claimStale || !m_claimKnown; }

    bool isLeader() const { return m_token != 0; }
    uint64_t token() const { return m_token; }
    // Includes the leases of earlier terms of this instance.
    const earlier_leases& earlierLeases() const { return m_earlierLeases; }
    // The cell that this instance leads has begun to work.
    void onBegun(ms now);
    // Half of the workers have reported to this leader, so that no earlier one has had a quorum since.
    void onMajorityReported(ms reportedAt);
    // Recent takeovers of the cell that preceded that of this instance.
    const std::vector<cell_takeover>& takeovers() const { return m_takeovers; }
    ms renewedAt() const { return m_renewedAt; }
    const std::optional<claim_record>& newestClaim() const { return m_newestClaim; }

private:
    bool leaderIsWeak() const;
    void addOwnEarlierLeases();
    election_settings m_settings;
    claim_record m_self;
    std::optional<claim_record> m_newestClaim;
    uint64_t m_nextOffset = 0;
    bool m_claimKnown = false; // The newest claim has been read.
    // An append may have succeeded unnoticed, so the claim must be read again before the next append.
    bool m_claimStale = false;
    bool m_appending = false;
    bool m_releasing = false;
    uint64_t m_token = 0;
    ms m_retryAt = 0;
    ms m_renewedAt = 0; // When this instance's last successful append was sent.
    ms m_lastRenewalAt = 0; // When the newest claim or renewal of any instance was read or sent.
    ms m_newLeaderAt = 0; // When the current leader first appeared in the claims.
    earlier_leases m_earlierLeases;
    std::vector<cell_takeover> m_takeovers; // Includes that of this instance once its cell has begun.
    std::optional<ms> m_readingSince; // Start of the current run of successful reads.
};

} // namespace camphorwell
