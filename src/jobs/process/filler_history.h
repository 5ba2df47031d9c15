// Which fillers ran on a worker, on what share of its processors and at what pace, in the last second or so.
// The workers' figures tell of the last half second, so what they show is set against what ran then.
#pragma once

#include "jobs/process/interference.h"

#include <cstdint>

namespace camphorwell {

class filler_history {
public:
    struct key {
        const void* step = nullptr;
        int index = 0;
        uint32_t run = 0;
        bool operator==(const key&) const = default;
    };
    void start(const key&, image_id image, double share, int64_t now);
    void pace(const key&, int percent, int64_t at);
    void end(const key&, int64_t now);
    void clear();

    // Mean share of the processors in use from `from` to `to`, by image.
    std::vector<interference::neighbour> between(int64_t from, int64_t to) const;
    // Shares that would be in use were every pace 100, by image.
    const std::vector<interference::neighbour>& unpaced() const { return m_unpaced; }
    // Share of all fillers together when all paces are in effect.
    double inUse() const { return m_inUse; }
    // Forgets what ended before `then`.
    void forgetBefore(int64_t then);

private:
    struct change {
        int64_t at = 0;
        int percent = 0;
    };
    struct entry {
        key which;
        image_id image = 0;
        double share = 0;
        std::vector<change> paces;
        int64_t endedAt = 0; // 0: runs.
    };
    entry* find(const key&);
    static void add(std::vector<interference::neighbour>&, image_id, double share);
    std::vector<entry> m_entries;
    std::vector<interference::neighbour> m_unpaced;
    double m_inUse = 0;
};

} // namespace camphorwell
