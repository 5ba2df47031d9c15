// Reachability of the store: the silence threshold, the probes of peers and the choice of the route.
#include "scheduler/request/store_reachability.h"

#include <algorithm>

namespace camphorwell {

std::string_view toString(store_route route)
{
    constexpr std::string_view names[] = { "log", "peer", "store_down", "cut_off", "undecided" };
    return names[static_cast<size_t>(route)];
}

ms store_reachability::silenceThreshold(ms slowest)
{
    return std::clamp(
        static_cast<ms>(slowestAnswerFactor * static_cast<double>(slowest)), minSilenceMs, maxSilenceMs);
}

int store_reachability::retryAfterSeconds(store_route route, ms silentFor, ms callerTimeLeft)
{
    constexpr ms minRetryMs = 1000;
    constexpr ms maxRetryMs = 4000; // Callers told to wait longer may give up.
    if (route == store_route::cut_off)
        return 0;
    if (route != store_route::store_down)
        return 1;
    ms pause = std::min(std::clamp(silentFor, minRetryMs, maxRetryMs) + 500, callerTimeLeft);
    return static_cast<int>(std::max(pause, minRetryMs) / 1000);
}

void store_reachability::observe(ms silent, ms slowest, ms now)
{
    if (silent < silenceThreshold(slowest)) {
        m_silentSince = m_firstProbeAt = 0;
        m_peers.clear();
    } else if (m_silentSince == 0) {
        m_silentSince = now;
    }
}

bool store_reachability::shouldProbePeers(ms now)
{
    if (!storeSilent() || (m_lastProbeAt != 0 && now - m_lastProbeAt < probePeriodMs))
        return false;
    m_lastProbeAt = now;
    if (m_firstProbeAt == 0)
        m_firstProbeAt = now;
    return true;
}

void store_reachability::onProbeAnswer(const std::string& address, bool reachesStore, ms now)
{
    if (storeSilent())
        m_peers[address] = { reachesStore, now };
}

std::string store_reachability::peerWithStore(ms now) const
{
    const std::pair<const std::string, probe_result>* newest = nullptr;
    for (const auto& entry : m_peers) {
        bool usable = entry.second.reachesStore && now - entry.second.at <= probeValidMs;
        if (usable && (!newest || entry.second.at > newest->second.at))
            newest = &entry;
    }
    return newest ? newest->first : std::string();
}

store_route store_reachability::chooseRoute(ms now) const
{
    if (!storeSilent())
        return store_route::log;
    if (!peerWithStore(now).empty())
        return store_route::peer;
    if (m_firstProbeAt == 0 || now - m_firstProbeAt < probeWaitMs)
        return store_route::undecided;
    bool peersAnswer = std::any_of(m_peers.begin(), m_peers.end(),
        [&](const auto& entry) { return now - entry.second.at <= probeValidMs; });
    return peersAnswer ? store_route::store_down : store_route::cut_off;
}

} // namespace camphorwell
