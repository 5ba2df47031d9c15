// The best-effort attempts on a worker over about the last second, with their share of its processors and
// their pace. A worker's measurements cover the last half second, so they are compared with what ran then.
#pragma once

#include "jobs/process/interference.h"

#include <cstdint>

namespace camphorwell {

class best_effort_history {
public:
    struct attempt_key {
        const void* step = nullptr;
        int index = 0;
        uint32_t attempt = 0;
        bool operator==(const attempt_key&) const = default;
    };
    // `share` is the share of the worker's processors that the attempt uses at full pace.
    void start(const attempt_key&, image_id image, double share, int64_t now);
    // Sets the pace in percent that takes effect at `at`.
    void setPace(const attempt_key&, int percent, int64_t at);
    void finish(const attempt_key&, int64_t now);
    void clear();

    // Mean share of the processors in use between `from` and `to`, by image.
    std::vector<interference_model::image_share> meanShares(int64_t from, int64_t to) const;
    // Shares that the running attempts would use at full pace, by image.
    const std::vector<interference_model::image_share>& fullPaceShares() const { return m_fullPaceShares; }
    // Share of all running attempts together once their latest paces have taken effect.
    double pacedShare() const { return m_pacedShare; }
    // Discards attempts that finished and paces that were replaced before `cutoff`.
    void discardBefore(int64_t cutoff);

private:
    struct pace_change {
        int64_t at = 0;
        int percent = 0;
    };
    struct entry {
        attempt_key key;
        image_id image = 0;
        double share = 0;
        std::vector<pace_change> paces;
        int64_t endedAt = 0; // 0 while the attempt runs.
    };
    entry* find(const attempt_key&);
    static void add(std::vector<interference_model::image_share>&, image_id, double share);
    std::vector<entry> m_entries;
    std::vector<interference_model::image_share> m_fullPaceShares;
    double m_pacedShare = 0;
};

} // namespace camphorwell
