// See best_effort_history.h.
#include "jobs/process/best_effort_history.h"

#include <algorithm>

namespace camphorwell {

best_effort_history::entry* best_effort_history::find(const attempt_key& key)
{
    auto found = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const entry& each) { return each.endedAt == 0 && each.key == key; });
    return found == m_entries.end() ? nullptr : &*found;
}

// The search is linear because a worker runs only a handful of images.
void best_effort_history::add(
    std::vector<interference_model::image_share>& shares, image_id image, double share)
{
    for (auto& each : shares) {
        if (each.image == image) {
            each.share += share;
            return;
        }
    }
    shares.push_back({ image, share });
}

void best_effort_history::start(const attempt_key& key, image_id image, double share, int64_t now)
{
    m_entries.push_back({ key, image, share, { { now, 100 } }, 0 });
    add(m_fullPaceShares, image, share);
    m_pacedShare += share;
}

void best_effort_history::setPace(const attempt_key& key, int percent, int64_t at)
{
    entry* found = find(key);
    if (!found)
        return;
    m_pacedShare += found->share * (percent - found->paces.back().percent) / 100;
    found->paces.push_back({ at, percent });
}

void best_effort_history::finish(const attempt_key& key, int64_t now)
{
    entry* found = find(key);
    if (!found)
        return;
    m_pacedShare -= found->share * found->paces.back().percent / 100;
    found->endedAt = now;
    bool imageStillRuns = std::any_of(m_entries.begin(), m_entries.end(),
        [&](const entry& each) { return each.endedAt == 0 && each.image == found->image; });
    if (imageStillRuns)
        add(m_fullPaceShares, found->image, -found->share);
    else
        std::erase_if(m_fullPaceShares, [&](const auto& each) { return each.image == found->image; });
}

void best_effort_history::clear()
{
    m_entries.clear();
    m_fullPaceShares.clear();
    m_pacedShare = 0;
}

std::vector<interference_model::image_share> best_effort_history::meanShares(int64_t from, int64_t to) const
{
    std::vector<interference_model::image_share> out;
    auto span = static_cast<double>(std::max<int64_t>(1, to - from));
    for (const entry& each : m_entries) {
        int64_t entryEnd = each.endedAt == 0 ? to : std::min(to, each.endedAt);
        double meanShare = 0;
        for (size_t i = 0; i < each.paces.size(); i++) {
            int64_t begin = std::max(from, each.paces[i].at);
            int64_t end = std::min(entryEnd, i + 1 < each.paces.size() ? each.paces[i + 1].at : entryEnd);
            if (end > begin)
                meanShare
                    += each.share * each.paces[i].percent / 100 * static_cast<double>(end - begin) / span;
        }
        if (meanShare > 0)
            add(out, each.image, meanShare);
    }
    return out;
}

void best_effort_history::discardBefore(int64_t cutoff)
{
    std::erase_if(m_entries, [&](const entry& each) { return each.endedAt != 0 && each.endedAt < cutoff; });
    for (entry& each : m_entries) {
        while (each.paces.size() > 1 && each.paces[1].at < cutoff)
            each.paces.erase(each.paces.begin());
    }
}

} // namespace camphorwell
