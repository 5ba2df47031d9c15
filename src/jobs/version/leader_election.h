// Who owns a cell. The claim is the newest record of the cell in the store: an instance becomes owner by
// appending its claim on the condition that the record it last saw is still the newest, and proves its
// ownership again and again in the same way. The offset of the claim gives the owner's token, so tokens rise.
//
// Answers the load of one owner dying or being cut off: others claim after `silenceMs` without a proof, at
// once after a released claim, each with its own delay so that one conditional append usually decides.
// Answers too the load of a cell that only a small instance could claim in time: one with twice its processor
// time claims the cell after a while.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

struct claim_record {
    instance_id instance;
    uint64_t incarnation = 0;
    std::string address; // Where other instances reach the owner, HOST:PORT.
    uint64_t token = 0; // 0 in the record that makes the claim, whose offset is not known before.
    bool released = false;
    double processors = 0; // Of the instance, in cores; 0: not told.
    bool operator==(const claim_record&) const = default;
};
std::string encodeClaim(const claim_record&);
std::optional<claim_record> decodeClaim(std::string_view bytes);

struct election_settings {
    ms renewEveryMs = 600; // Period of an owner's proofs.
    ms leaderTimeoutMs = 1800; // Without a proof for so long an owner is replaced; three missed proofs.
    ms takeoverTimeoutMs = 6000; // A claim without a proof yet may take so long to take the cell over.
    ms grantWindowMs = 6000; // An owner grants leases for so long after the sending of its last proof.
    ms appendRetryMs = 200; // After an append that failed; a tenth of `silenceMs`.
    ms weakLeaderTermMs = 2500; // The claim of a weaker instance stands for so long: a takeover and some.
    ms claimDelayMs = 0; // This instance's own delay, at most a few hundred.
};

class leader_election {
public:
    leader_election(election_settings, claim_record self);

    enum class step { none, claim, renew };
    // What to append now. `appendCondition` and `record` say how.
    step next(ms now);
    uint64_t expectedOffset() const { return m_nextOffset; }
    claim_record record(step, bool releasing) const;

    // The newest claim in the store, as read. `end` is the offset after it.
    void onClaimRead(const std::optional<claim_record>&, uint64_t nextOffset, ms now);
    // The reading of claims failed; silence does not count until it works again.
    void onReadFailed() { m_readingSince.reset(); }
    // A read came back without news.
    void onReadOk(ms now);
    // `releasing`: as given to `record`.
    void onAppended(step, uint64_t offset, ms sentAt, bool releasing);
    void onConflict(); // The condition did not hold.
    // A store that refuses is asked again after a pause.
    void onAppendFailed(bool mayHaveSucceeded, ms now);
    void release() { m_releasing = true; }
    bool isReleasing() const { return m_releasing; }
    // Another owner was found by other means.
    void stepDown()
    {
        m_token = 0;
        m_claimStale = true;
    }

    // The newest claim must be read before the next append.
    bool mustRead() const { return m_claimStale || !m_claimKnown; }

    bool isLeader() const { return m_token != 0; }
    uint64_t token() const { return m_token; }
    bool mayGrant(ms now) const { return isLeader() && now - m_renewedAt <= m_settings.grantWindowMs; }
    ms renewedAt() const { return m_renewedAt; }
    const std::optional<claim_record>& newestClaim() const { return m_newest; }

private:
    bool leaderIsWeak() const;
    election_settings m_settings;
    claim_record m_self;
    std::optional<claim_record> m_newest;
    uint64_t m_nextOffset = 0;
    bool m_claimKnown = false; // The newest claim has been read.
    bool m_claimStale = false; // An append may have been done; the claim must be read again before the next.
    bool m_appending = false;
    bool m_releasing = false;
    uint64_t m_token = 0;
    ms m_retryAt = 0;
    ms m_renewedAt = 0;
    ms m_lastRenewalAt = 0; // When a proof of the current owner last came.
    ms m_newLeaderAt = 0; // When it was first heard of.
    std::optional<ms> m_readingSince; // Since when reads have worked without a gap.
};

} // namespace camphorwell
