// See store_reachability.h.
#include "scheduler/request/store_reachability.h"

#include <algorithm>

namespace camphorwell {

std::string_view toString(way_in way)
{
    constexpr std::string_view names[] = { "log", "peer", "store_down", "cut_off", "undecided" };
    return names[static_cast<size_t>(way)];
}

ms store_reach::silenceThatCounts(ms slowest)
{
    return std::clamp(static_cast<ms>(slowTimes * static_cast<double>(slowest)), silentMs, silentMostMs);
}

int store_reach::retryAfterS(way_in way, ms troubledFor, ms callerLeft)
{
    constexpr ms leastMs = 1000;
    constexpr ms mostMs = 4000; // A caller who gives up is not served at all.
    if (way == way_in::cut_off)
        return 0;
    if (way != way_in::store_down)
        return 1;
    ms pause = std::min(std::clamp(troubledFor, leastMs, mostMs) + 500, callerLeft);
    return static_cast<int>(std::max(pause, leastMs) / 1000);
}

void store_reach::observe(ms silent, ms slowest, ms now)
{
    if (silent < silenceThatCounts(slowest)) {
        m_troubledAt = m_firstAskedAt = 0;
        m_peers.clear();
    } else if (m_troubledAt == 0) {
        m_troubledAt = now;
    }
}

bool store_reach::mustAsk(ms now)
{
    if (!troubled() || (m_askedAt != 0 && now - m_askedAt < askEveryMs))
        return false;
    m_askedAt = now;
    if (m_firstAskedAt == 0)
        m_firstAskedAt = now;
    return true;
}

void store_reach::onPeer(const std::string& address, bool hasStore, ms now)
{
    if (troubled())
        m_peers[address] = { hasStore, now };
}

std::string store_reach::peer(ms now) const
{
    const std::pair<const std::string, seen>* newest = nullptr;
    for (const auto& each : m_peers) {
        bool usable = each.second.hasStore && now - each.second.at <= freshMs;
        if (usable && (!newest || each.second.at > newest->second.at))
            newest = &each;
    }
    return newest ? newest->first : std::string();
}

way_in store_reach::choose(ms now) const
{
    if (!troubled())
        return way_in::log;
    if (!peer(now).empty())
        return way_in::peer;
    if (m_firstAskedAt == 0 || now - m_firstAskedAt < patienceMs)
        return way_in::undecided;
    bool heard = std::any_of(
        m_peers.begin(), m_peers.end(), [&](const auto& each) { return now - each.second.at <= freshMs; });
    return heard ? way_in::store_down : way_in::cut_off;
}

} // namespace camphorwell
