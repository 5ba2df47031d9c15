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

class quick_room {
public:
    // `used` is booked by quick work, `wanted` is that and what waits; `size` is the mean task, 0 for none;
    // `capacity` is that of the workers that can be used.
    void observe(int64_t used, int64_t wanted, int64_t size, int64_t capacity, int64_t now);
    // To be left free at this moment.
    int64_t kept() const { return m_kept; }
    // Of a worker's room, what whole tasks of quick work could use.
    int64_t usable(int64_t room) const;

private:
    double m_peak = 0; // Of what was wanted, fading.
    double m_size = 0;
    int64_t m_kept = 0;
    int64_t m_at = 0;
};

} // namespace camphorwell
