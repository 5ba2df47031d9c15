// See ownership.h.
#include "jobs/jobs.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    using nlohmann::json;
    constexpr int claimFormat = 1;
    constexpr double weakShare = 0.5; // Of this instance's processors, at or under which another is weak.
} // namespace

std::string encodeClaim(const claim_record& claim)
{
    std::string out;
    json::to_cbor(json::array({ claimFormat, claim.instance, claim.incarnation, claim.address, claim.token,
                      claim.released, claim.processors }),
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
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

ownership::ownership(ownership_settings settings, claim_record self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

bool ownership::ownerIsWeak() const
{
    return m_current && m_current->processors > 0 && m_current->processors <= weakShare * m_self.processors;
}

ownership::step ownership::next(ms now)
{
    if (m_appending || !m_known || m_stale || now < m_againAt)
        return step::none;
    if (owns()) {
        if (!m_leaving && now - m_provedAt < m_settings.proveEveryMs)
            return step::none;
        m_appending = true;
        return step::prove;
    }
    if (m_leaving || !m_readSince)
        return step::none;
    bool free = !m_current || m_current->released || m_current->instance == m_self.instance;
    ms since = std::max(m_heardAt, *m_readSince);
    // Taking over a large cell on a small machine takes longer than the silence of an owner at work.
    ms silence = m_current && m_current->token == 0 ? m_settings.takeOverMs : m_settings.silenceMs;
    ms wait = m_settings.claimDelayMs + (free ? 0 : silence);
    bool replaces = ownerIsWeak()
        && now - std::max(m_newOwnerAt, *m_readSince) >= m_settings.weakMs + m_settings.claimDelayMs;
    if (now - since < wait && !replaces)
        return step::none;
    m_appending = true;
    return step::claim;
}

claim_record ownership::record(step what, bool releasing) const
{
    claim_record out = m_self;
    out.token = what == step::prove ? m_token : 0;
    out.released = releasing;
    return out;
}

void ownership::onObserved(const std::optional<claim_record>& claim, uint64_t end, ms now)
{
    onReadOk(now);
    if (m_known && end < m_end)
        return; // An older answer.
    bool news = !m_known || end > m_end;
    m_known = true;
    m_stale = false;
    m_end = end;
    if (!news)
        return;
    if (!claim || !m_current || claim->instance != m_current->instance
        || claim->incarnation != m_current->incarnation)
        m_newOwnerAt = now;
    bool mine = claim && claim->instance == m_self.instance && claim->incarnation == m_self.incarnation;
    m_current = claim;
    m_heardAt = now;
    if (owns() && !mine)
        m_token = 0;
}

void ownership::onReadOk(ms now)
{
    if (!m_readSince)
        m_readSince = now;
}

void ownership::onAppended(step what, uint64_t offset, ms sentAt, bool releasing)
{
    m_appending = false;
    m_end = offset + 1;
    m_provedAt = sentAt;
    m_heardAt = sentAt;
    if (what == step::claim)
        m_token = offset + 1;
    m_current = record(what, releasing);
    // A proof that was sent before the release does not tell others of it; the next one does.
    if (releasing)
        m_token = 0;
}

void ownership::onConflict()
{
    // Either another instance has claimed the cell or an append of this one was done unseen: the record
    // tells.
    m_appending = false;
    m_stale = true;
}

void ownership::onAppendFailed(bool mayHaveBeenDone, ms now)
{
    m_appending = false;
    m_againAt = now + m_settings.againAfterMs;
    // A proof that was done unseen moves the end, so the next one must not be sent on the old condition.
    if (mayHaveBeenDone)
        m_stale = true;
}

} // namespace camphorwell
