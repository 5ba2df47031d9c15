// When an instance that is stopping may end: a decision without input or output.
//
// Callers on open connections are served for a part of the grace period, so that the balancer has left by
// then. After it the process ends as soon as all calls are answered and the answers are written. An answer is
// written in the turn of the loop after the one that gave it, so two checks in a row must find no call open
// and none taken between them. Answers the load of callers that keep their connections.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

class leave_check {
public:
    explicit leave_check(ms graceMs)
        : m_graceMs(graceMs)
    {
    }

    // `spent` since the stop began; calls that are open, and all that were ever taken.
    bool mayEnd(ms spent, size_t open, uint64_t taken)
    {
        bool written = open == 0 && m_answered && taken == m_taken;
        m_answered = open == 0;
        m_taken = taken;
        bool served = spent > static_cast<ms>(static_cast<double>(m_graceMs) * serveShare);
        return (served && written) || spent > m_graceMs - leaveMarginMs;
    }

private:
    static constexpr double serveShare = 0.55; // Of the grace period callers are still served.
    static constexpr ms leaveMarginMs = 700; // Before the end of the grace period the process is gone.

    ms m_graceMs;
    bool m_answered = false; // No call was open at the check before,
    uint64_t m_taken = 0; // by which so many had been taken.
};

} // namespace camphorwell
