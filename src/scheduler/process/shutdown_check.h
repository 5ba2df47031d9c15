// When an instance that is stopping may end: a decision without input or output.
//
// Callers on open connections are served for a part of the grace period, so that the balancer has left by
// then. After it the process ends as soon as all calls are answered and the answers are written. An answer is
// written in the turn of the loop after the one that gave it, so two checks in a row must find no call open
// and none taken between them. Answers the load of callers that keep their connections.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

class shutdown_check {
public:
    explicit shutdown_check(ms graceMs)
        : m_graceMs(graceMs)
    {
    }

    // `spent` since the stop began; calls that are open, and all that were ever taken.
    bool mayExit(ms elapsed, size_t openCalls, uint64_t receivedCalls)
    {
        bool answersWritten = openCalls == 0 && m_wasIdle && receivedCalls == m_receivedBefore;
        m_wasIdle = openCalls == 0;
        m_receivedBefore = receivedCalls;
        bool servingOver = elapsed > static_cast<ms>(static_cast<double>(m_graceMs) * servingShare);
        return (servingOver && answersWritten) || elapsed > m_graceMs - exitMarginMs;
    }

private:
    static constexpr double servingShare = 0.55; // Of the grace period callers are still served.
    static constexpr ms exitMarginMs = 700; // Before the end of the grace period the process is gone.

    ms m_graceMs;
    bool m_wasIdle = false; // No call was open at the check before,
    uint64_t m_receivedBefore = 0; // by which so many had been taken.
};

} // namespace camphorwell
