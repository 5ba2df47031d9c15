// Capacity that a service reserves for short tasks.
//
// Service tasks hold their processors for minutes, while short tasks come and go. On a service that is nearly
// full, short tasks would get capacity only when one of their own ends. New service tasks therefore leave
// free the difference between the recent peak of short-task demand (running and waiting) and what short tasks
// use now. The reserve is bounded by a share of the service's capacity. Service tasks that have run before,
// or have waited for long, may use the reserve.
//
// Units: processors in thousandths of a core, times in milliseconds.
#pragma once

#include <cstdint>

namespace camphorwell {

class short_task_reserve {
public:
    // `usedCpu` is reserved by running short tasks; `demandCpu` is that plus what waiting ones need;
    // `meanTaskCpu` is the mean over both, 0 if there are none; `capacityCpu` is the capacity of the usable
    // workers.
    void observe(int64_t usedCpu, int64_t demandCpu, int64_t meanTaskCpu, int64_t capacityCpu, int64_t now);
    // Processors to leave free now.
    int64_t reservedCpu() const { return m_reservedCpu; }
    // The part of a worker's free processors that a whole number of mean-sized short tasks could use.
    int64_t usableCpu(int64_t freeCpu) const;

private:
    double m_peakDemand = 0; // Decays exponentially.
    double m_meanTaskCpu = 0;
    int64_t m_reservedCpu = 0;
    int64_t m_observedAt = 0;
};

} // namespace camphorwell
