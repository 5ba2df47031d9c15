// See quick_room.h.
#include "jobs/process/quick_room.h"

#include <algorithm>
#include <cmath>

namespace camphorwell {

namespace {
    constexpr double halfLifeMs = 10'000; // Of the peak: several quick jobs, one swing of their traffic.
    constexpr double sizeRate = 0.02; // Weight of the newest mean size.
    constexpr int64_t mostKept = 4; // The share of the capacity that is kept at most is one in so many.
} // namespace

void quick_room::observe(int64_t used, int64_t wanted, int64_t size, int64_t capacity, int64_t now)
{
    double left = std::exp2(-static_cast<double>(now - m_at) / halfLifeMs);
    m_at = now;
    m_peak = std::max(static_cast<double>(wanted), left * m_peak);
    if (m_size <= 0)
        m_size = static_cast<double>(size);
    else if (size > 0)
        m_size += sizeRate * (static_cast<double>(size) - m_size);
    m_kept = std::clamp<int64_t>(static_cast<int64_t>(m_peak) - used, 0, capacity / mostKept);
}

int64_t quick_room::usable(int64_t room) const
{
    auto size = static_cast<int64_t>(m_size);
    return size <= 0 ? room : room / size * size;
}

} // namespace camphorwell
