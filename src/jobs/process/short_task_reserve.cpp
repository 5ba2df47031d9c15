// See short_task_reserve.h.
#include "jobs/process/short_task_reserve.h"

#include <algorithm>
#include <cmath>

namespace camphorwell {

namespace {
    // Half-life of the peak demand: several short jobs, and one period of their traffic.
    constexpr double peakHalfLifeMs = 10'000;
    constexpr double meanTaskSmoothing = 0.02; // Weight of the newest mean in the moving average.
    constexpr int64_t maxReserveDivisor = 4; // The reserve is at most a quarter of the capacity.
} // namespace

void short_task_reserve::observe(
    int64_t usedCpu, int64_t demandCpu, int64_t meanTaskCpu, int64_t capacityCpu, int64_t now)
{
    double decay = std::exp2(-static_cast<double>(now - m_observedAt) / peakHalfLifeMs);
    m_observedAt = now;
    m_peakDemand = std::max(static_cast<double>(demandCpu), decay * m_peakDemand);
    if (m_meanTaskCpu <= 0)
        m_meanTaskCpu = static_cast<double>(meanTaskCpu);
    else if (meanTaskCpu > 0)
        m_meanTaskCpu += meanTaskSmoothing * (static_cast<double>(meanTaskCpu) - m_meanTaskCpu);
    m_reservedCpu = std::clamp<int64_t>(
        static_cast<int64_t>(m_peakDemand) - usedCpu, 0, capacityCpu / maxReserveDivisor);
}

int64_t short_task_reserve::usableCpu(int64_t freeCpu) const
{
    auto meanTaskCpu = static_cast<int64_t>(m_meanTaskCpu);
    return meanTaskCpu <= 0 ? freeCpu : freeCpu / meanTaskCpu * meanTaskCpu;
}

} // namespace camphorwell
