// See net.h.
#include "net/net.h"

#include <algorithm>

namespace camphorwell {

namespace {

    // Slightly longer than the pause between an instance's calls without a wait.
    constexpr int64_t maxLatencyWindowMs = 6000;

    int64_t steadyNow()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(event_loop::now()).count();
    }

} // namespace

call_monitor::call_monitor()
    : m_lastServedAt(steadyNow())
{
}

call_monitor::finish_handler call_monitor::begin(int64_t waitMs, int64_t dueAfterMs)
{
    m_calls++;
    int64_t sentAt = steadyNow();
    int64_t due = sentAt + dueAfterMs;
    m_pendingDueAt.insert(due);
    return [this, sentAt, due, waitMs](call_result result) {
        m_pendingDueAt.erase(m_pendingDueAt.find(due));
        // The latency of a call that returned before the end of its wait is unknown.
        int64_t latency = steadyNow() - sentAt - waitMs;
        if (result != call_result::no_answer && latency >= 0)
            recordLatency(latency);
        if (result == call_result::served) {
            m_lastServedAt = steadyNow();
            m_unservedSince = 0;
        } else if (m_unservedSince == 0) {
            m_unservedSince = due;
        }
    };
}

void call_monitor::recordLatency(int64_t latency)
{
    int64_t now = steadyNow();
    if (latency < m_maxLatency && now - m_maxLatencyAt < maxLatencyWindowMs)
        return;
    m_maxLatency = latency;
    m_maxLatencyAt = now;
}

int64_t call_monitor::recentMaxLatencyMs() const
{
    return steadyNow() - m_maxLatencyAt < maxLatencyWindowMs ? m_maxLatency : 0;
}

int64_t call_monitor::unresponsiveMs() const
{
    int64_t now = steadyNow();
    int64_t since = m_unservedSince;
    if (!m_pendingDueAt.empty() && (since == 0 || *m_pendingDueAt.begin() < since))
        since = *m_pendingDueAt.begin();
    since = std::max(since, m_lastServedAt);
    return m_unservedSince == 0 && m_pendingDueAt.empty() ? 0 : std::max<int64_t>(0, now - since);
}

int64_t call_monitor::answerAgeMs() const { return steadyNow() - m_lastServedAt; }

} // namespace camphorwell
