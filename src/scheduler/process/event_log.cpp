// The structured log and the clocks.
#include "scheduler/scheduler.h"

#include <ctime>
#include <fcntl.h>
#include <unistd.h>

namespace camphorwell {

ms bootNow()
{
    timespec at {};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<ms>(at.tv_sec) * 1000 + at.tv_nsec / 1'000'000;
}

int64_t unixNow()
{
    timespec at {};
    clock_gettime(CLOCK_REALTIME, &at);
    return static_cast<int64_t>(at.tv_sec) * 1000 + at.tv_nsec / 1'000'000;
}

event_log::event_log(int linesPerSecond)
    : m_rate(linesPerSecond)
    , m_tokens(linesPerSecond)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool event_log::admitLine()
{
    ms now = bootNow();
    m_tokens
        = std::min<double>(m_rate * 2.0, m_tokens + static_cast<double>(now - m_refilledAt) * m_rate / 1000);
    m_refilledAt = now;
    if (m_tokens >= 1)
        return true;
    m_dropped++;
    return false;
}

void event_log::write(const log_line& line)
{
    if (!admitLine())
        return;
    m_tokens -= 1;
    writeAlways(line);
}

void event_log::writeAlways(const log_line& line)
{
    std::string text;
    std::string timePrefix = "t=" + std::to_string(unixNow()) + " ";
    if (m_dropped > 0)
        text = timePrefix + log_line("lines_dropped").add("count", m_dropped).str() + "\n";
    m_dropped = 0;
    put(text + timePrefix + line.str() + "\n");
}

void event_log::put(const std::string& line)
{
    // Standard output is non-blocking: when its reader is too slow, the line is dropped.
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        m_dropped++;
}

} // namespace camphorwell
