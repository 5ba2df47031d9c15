// Which fillers ran on a worker, on what share of its processors and at what pace, in the last second or so.
// The workers' figures tell of the last half second, so what they show is set against what ran then.
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
    void start(const attempt_key&, image_id image, double share, int64_t now);
    void setPace(const attempt_key&, int percent, int64_t at);
    void finish(const attempt_key&, int64_t now);
    void clear();

    // Mean share of the processors in use from `from` to `to`, by image.
    std::vector<interference_model::image_share> meanShares(int64_t from, int64_t to) const;
    // Shares that would be in use were every pace 100, by image.
    const std::vector<interference_model::image_share>& fullPaceShares() const { return m_fullPaceShares; }
    // Share of all fillers together when all paces are in effect.
    double pacedShare() const { return m_pacedShare; }
    // Forgets what ended before `then`.
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
        int64_t endedAt = 0; // 0: runs.
    };
    entry* find(const attempt_key&);
    static void add(std::vector<interference_model::image_share>&, image_id, double share);
    std::vector<entry> m_entries;
    std::vector<interference_model::image_share> m_fullPaceShares;
    double m_pacedShare = 0;
};

} // namespace camphorwell
