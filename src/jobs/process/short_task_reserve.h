// Room that a service keeps for quick work.
//
// Tasks that last take what is free and give nothing back for minutes, while quick work comes and goes: on a
// service that is nearly full it would find room only when one of its own ends. So tasks that last and have
// not run yet leave free what quick work has used and waited for of late beyond what it uses now. Those that
// have run, or have waited for long, go without asking, and never is more than a part of the service kept.
// Answers the load of a service whose lasting tasks could take all of it.
//
// Units: processors in thousandths of a core, times in milliseconds.
#pragma once

#include <cstdint>

namespace camphorwell {

class short_task_reserve {
public:
    // `used` is booked by quick work, `wanted` is that and what waits; `size` is the mean task, 0 for none;
    // `capacity` is that of the workers that can be used.
    void observe(int64_t usedCpu, int64_t demandCpu, int64_t meanTaskCpu, int64_t capacityCpu, int64_t now);
    // To be left free at this moment.
    int64_t reservedCpu() const { return m_reservedCpu; }
    // Of a worker's room, what whole tasks of quick work could use.
    int64_t usableCpu(int64_t freeCpu) const;

private:
    double m_peakDemand = 0; // Of what was wanted, fading.
    double m_meanTaskCpu = 0;
    int64_t m_reservedCpu = 0;
    int64_t m_observedAt = 0;
};

} // namespace camphorwell
