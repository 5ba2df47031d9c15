// See filler_history.h.
#include "jobs/process/filler_history.h"

#include <algorithm>

namespace camphorwell {

filler_history::entry* filler_history::find(const key& which)
{
    auto found = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const entry& each) { return each.endedAt == 0 && each.which == which; });
    return found == m_entries.end() ? nullptr : &*found;
}

// There are a handful of images on a worker.
void filler_history::add(std::vector<interference::neighbour>& shares, image_id image, double share)
{
    for (auto& each : shares) {
        if (each.image == image) {
            each.share += share;
            return;
        }
    }
    shares.push_back({ image, share });
}

void filler_history::start(const key& which, image_id image, double share, int64_t now)
{
    m_entries.push_back({ which, image, share, { { now, 100 } }, 0 });
    add(m_unpaced, image, share);
    m_inUse += share;
}

void filler_history::pace(const key& which, int percent, int64_t at)
{
    entry* found = find(which);
    if (!found)
        return;
    m_inUse += found->share * (percent - found->paces.back().percent) / 100;
    found->paces.push_back({ at, percent });
}

void filler_history::end(const key& which, int64_t now)
{
    entry* found = find(which);
    if (!found)
        return;
    m_inUse -= found->share * found->paces.back().percent / 100;
    found->endedAt = now;
    bool others = std::any_of(m_entries.begin(), m_entries.end(),
        [&](const entry& each) { return each.endedAt == 0 && each.image == found->image; });
    if (others)
        add(m_unpaced, found->image, -found->share);
    else
        std::erase_if(m_unpaced, [&](const auto& each) { return each.image == found->image; });
}

void filler_history::clear()
{
    m_entries.clear();
    m_unpaced.clear();
    m_inUse = 0;
}

std::vector<interference::neighbour> filler_history::between(int64_t from, int64_t to) const
{
    std::vector<interference::neighbour> out;
    auto span = static_cast<double>(std::max<int64_t>(1, to - from));
    for (const entry& each : m_entries) {
        int64_t last = each.endedAt == 0 ? to : std::min(to, each.endedAt);
        double used = 0;
        for (size_t i = 0; i < each.paces.size(); i++) {
            int64_t begin = std::max(from, each.paces[i].at);
            int64_t end = std::min(last, i + 1 < each.paces.size() ? each.paces[i + 1].at : last);
            if (end > begin)
                used += each.share * each.paces[i].percent / 100 * static_cast<double>(end - begin) / span;
        }
        if (used > 0)
            add(out, each.image, used);
    }
    return out;
}

void filler_history::forgetBefore(int64_t then)
{
    std::erase_if(m_entries, [&](const entry& each) { return each.endedAt != 0 && each.endedAt < then; });
    for (entry& each : m_entries) {
        while (each.paces.size() > 1 && each.paces[1].at < then)
            each.paces.erase(each.paces.begin());
    }
}

} // namespace camphorwell
