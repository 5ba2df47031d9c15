// See leader_election.h.
#include "jobs/jobs.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    using nlohmann::json;
    constexpr int claimFormat = 1;
    // A leader with at most this share of this instance's processors counts as weak.
    constexpr double weakProcessorRatio = 0.5;
    constexpr size_t maxTakeovers = 8; // In a claim.
    constexpr ms takeoverBoundsMs = 30'000; // Claims leave out earlier takeovers.

    json encodeTakeover(const cell_takeover& takeover)
    {
        return json::array({ takeover.token, takeover.beganAt, takeover.leases.endAt,
            takeover.leases.quorumMs, takeover.leases.longestEndAt });
    }

    cell_takeover decodeTakeover(const json& row)
    {
        return { row.at(0), row.at(1), { row.at(2), row.at(3), row.at(4) } };
    }

    cell_takeover shifted(cell_takeover takeover, ms by)
    {
        takeover.beganAt += by;
        takeover.leases.endAt += by;
        takeover.leases.longestEndAt += by;
        return takeover;
    }
} // namespace

std::string encodeClaim(const claim_record& claim)
{
    json takeovers = json::array();
    for (const cell_takeover& takeover : claim.takeovers)
        takeovers.push_back(encodeTakeover(takeover));
    std::string out;
    json::to_cbor(json::array({ claimFormat, claim.instance, claim.incarnation, claim.address, claim.token,
                      claim.released, claim.processors, claim.leasesEndMs, claim.quorumLeaseMs,
                      claim.longestLeaseMs, takeovers }),
        out);
    return out;
}

std::optional<claim_record> decodeClaim(std::string_view bytes)
{
    try {
        json row = json::from_cbor(bytes, true, false);
        if (!row.is_array() || row.at(0).get<int>() > claimFormat)
            return std::nullopt;
        claim_record out;
        out.instance = row.at(1);
        out.incarnation = row.at(2);
        out.address = row.at(3);
        out.token = row.at(4);
        out.released = row.at(5);
        if (row.size() > 6)
            out.processors = row.at(6);
        if (row.size() > 9) {
            out.leasesEndMs = row.at(7);
            out.quorumLeaseMs = row.at(8);
            out.longestLeaseMs = row.at(9);
        }
        if (row.size() > 10) {
            for (const json& entry : row.at(10))
                out.takeovers.push_back(decodeTakeover(entry));
        }
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

leader_election::leader_election(election_settings settings, claim_record self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

bool leader_election::leaderIsWeak() const
{
    return m_newestClaim && m_newestClaim->processors > 0
        && m_newestClaim->processors <= weakProcessorRatio * m_self.processors;
}

leader_election::step leader_election::next(ms now)
{
    if (m_appending || !m_claimKnown || m_claimStale || now < m_retryAt)
        return step::none;
    if (isLeader()) {
        if (!m_releasing && now - m_renewedAt < m_settings.renewIntervalMs)
            return step::none;
        m_appending = true;
        return step::renew;
    }
    if (m_releasing || !m_readingSince)
        return step::none;
    bool vacant = !m_newestClaim || m_newestClaim->released || m_newestClaim->instance == m_self.instance;
    ms quietSince = std::max(m_lastRenewalAt, *m_readingSince);
    // A leader that is still taking over a large cell on a small machine may not renew its claim for longer
    // than an established one. With a single timeout, the leadership of a large cell kept changing.
    ms timeout = m_newestClaim && m_newestClaim->token == 0 ? m_settings.takeoverTimeoutMs
                                                            : m_settings.leaderTimeoutMs;
    ms wait = m_settings.claimDelayMs + (vacant ? 0 : timeout);
    bool replacesWeakLeader = leaderIsWeak()
        && now - std::max(m_newLeaderAt, *m_readingSince)
            >= m_settings.weakLeaderTermMs + m_settings.claimDelayMs;
    if (now - quietSince < wait && !replacesWeakLeader)
        return step::none;
    m_appending = true;
    return step::claim;
}

claim_record leader_election::record(step append, bool releasing, ms now) const
{
    claim_record out = m_self;
    out.token = append == step::renew ? m_token : 0;
    out.released = releasing;
    const lease_terms& terms = m_settings.leaseTerms;
    out.leasesEndMs = std::max(worstLeaseMs(terms.renewalMs), m_earlierLeases.endAt - now);
    out.quorumLeaseMs = std::max(worstLeaseMs(terms.quorumMs), m_earlierLeases.quorumMs);
    out.longestLeaseMs = std::max(worstLeaseMs(terms.longestMs), m_earlierLeases.longestEndAt - now);
    for (const cell_takeover& takeover : m_takeovers) {
        if (now - takeover.beganAt <= takeoverBoundsMs)
            out.takeovers.push_back(shifted(takeover, -now));
    }
    return out;
}

void leader_election::onBegun(ms now)
{
    m_takeovers.push_back({ m_token, now, m_earlierLeases });
    if (m_takeovers.size() > maxTakeovers)
        m_takeovers.erase(m_takeovers.begin());
}

void leader_election::onMajorityReported(ms reportedAt)
{
    for (cell_takeover& takeover : m_takeovers) {
        earlier_leases& leases = takeover.leases;
        ms quorumEnd = std::min(leases.longestEndAt, reportedAt + leases.quorumMs);
        leases.endAt = leases.longestEndAt = std::max(leases.endAt, quorumEnd);
        leases.quorumMs = 0;
    }
}

void leader_election::onClaimRead(const std::optional<claim_record>& claim, uint64_t nextOffset, ms now)
{
    onReadOk(now);
    if (m_claimKnown && nextOffset < m_nextOffset)
        return; // The answer to an older read.
    bool isNewer = !m_claimKnown || nextOffset > m_nextOffset;
    m_claimKnown = true;
    m_claimStale = false;
    m_nextOffset = nextOffset;
    if (!isNewer)
        return;
    if (!claim || !m_newestClaim || claim->instance != m_newestClaim->instance
        || claim->incarnation != m_newestClaim->incarnation)
        m_newLeaderAt = now;
    bool mine = claim && claim->instance == m_self.instance && claim->incarnation == m_self.incarnation;
    m_newestClaim = claim;
    m_lastRenewalAt = now;
    if (!mine) {
        m_takeovers.clear();
        for (const cell_takeover& takeover : claim ? claim->takeovers : std::vector<cell_takeover>())
            m_takeovers.push_back(shifted(takeover, now));
    }
    if (!mine && nextOffset > 0) {
        if (claim && claim->leasesEndMs > 0)
            m_earlierLeases = { now + claim->leasesEndMs, claim->quorumLeaseMs, now + claim->longestLeaseMs };
        else
            m_earlierLeases.endAt = std::max(m_earlierLeases.endAt, now + m_settings.unstatedLeasesEndMs);
    }
    if (isLeader() && !mine)
        m_token = 0;
}

void leader_election::onReadOk(ms now)
{
    if (!m_readingSince)
        m_readingSince = now;
}

void leader_election::onAppended(step append, uint64_t offset, ms sentAt, bool releasing)
{
    m_appending = false;
    m_nextOffset = offset + 1;
    if (append == step::claim && m_renewedAt != 0)
        addOwnEarlierLeases();
    m_renewedAt = sentAt;
    m_lastRenewalAt = sentAt;
    if (append == step::claim)
        m_token = offset + 1;
    m_newestClaim = record(append, releasing, sentAt);
    // A renewal that was sent before `release` does not announce it to the others; the next renewal does.
    if (releasing)
        m_token = 0;
}

// This instance has led before, and its own leases may last as well.
void leader_election::addOwnEarlierLeases()
{
    const lease_terms& terms = m_settings.leaseTerms;
    earlier_leases& leases = m_earlierLeases;
    leases.endAt = std::max(leases.endAt, m_renewedAt + worstLeaseMs(terms.renewalMs));
    leases.quorumMs = std::max(leases.quorumMs, worstLeaseMs(terms.quorumMs));
    leases.longestEndAt = std::max(leases.longestEndAt, m_renewedAt + worstLeaseMs(terms.longestMs));
}

void leader_election::onConflict()
{
    // Either another instance has claimed the cell, or an earlier append of this one succeeded unnoticed.
    // Reading the newest claim shows which.
    m_appending = false;
    m_claimStale = true;
}

void leader_election::onAppendFailed(bool mayHaveSucceeded, ms now)
{
    m_appending = false;
    m_retryAt = now + m_settings.appendRetryMs;
    // A renewal that succeeded unnoticed has taken the expected offset, so the claim is read before the next.
    if (mayHaveSucceeded)
        m_claimStale = true;
}

} // namespace camphorwell
