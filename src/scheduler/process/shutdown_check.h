// Decides when an instance that shuts down may exit. Does no input or output.
//
// Callers are served for a share of the grace period, so that the load balancer has stopped sending calls by
// then. Afterwards the process exits as soon as all calls are answered and the answers are written. An answer
// is written in the iteration of the event loop after the one that sent it, so two consecutive checks must
// find no open call, with none received in between. Callers that keep their connections open can go on
// sending calls, so the process exits shortly before the end of the grace period in any case.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

// Called periodically during a shutdown.
class shutdown_check {
public:
    explicit shutdown_check(ms graceMs)
        : m_graceMs(graceMs)
    {
    }

    // `elapsed`: time since the shutdown began; `openCalls`: calls not answered yet; `receivedCalls`: calls
    // received since the start.
    bool mayExit(ms elapsed, size_t openCalls, uint64_t receivedCalls)
    {
        bool answersWritten = openCalls == 0 && m_wasIdle && receivedCalls == m_receivedBefore;
        m_wasIdle = openCalls == 0;
        m_receivedBefore = receivedCalls;
        bool servingOver = elapsed > static_cast<ms>(static_cast<double>(m_graceMs) * servingShare);
        return (servingOver && answersWritten) || elapsed > m_graceMs - exitMarginMs;
    }

private:
    static constexpr double servingShare = 0.55; // Share of the grace period in which callers are served.
    static constexpr ms exitMarginMs = 700; // The process exits this long before the end of the grace period.

    ms m_graceMs;
    bool m_wasIdle = false; // No call was open at the previous check.
    uint64_t m_receivedBefore = 0; // Calls received up to the previous check.
};

} // namespace camphorwell
