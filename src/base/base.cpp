// Implementation of the base library: reason table, hashing, log lines and the invariant check.
#include "base/base.h"

#define XXH_INLINE_ALL
#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <xxhash.h>

namespace camphorwell {

namespace {

    constexpr size_t maxEventHistory = 256; // Events printed when an invariant is violated.

    std::deque<std::string>& eventHistory()
    {
        static std::deque<std::string> history;
        return history;
    }

    invariant_handler& handler()
    {
        static invariant_handler current;
        return current;
    }

    // Whether `c` needs neither quotes nor an escape in a log value.
    bool isPlain(unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\'; }

} // namespace

std::string_view resources::exceededDimension(const resources& available) const
{
    if (cpuMilli > available.cpuMilli)
        return "cpuMilli";
    if (memoryMb > available.memoryMb)
        return "memoryMb";
    if (accelerators > available.accelerators)
        return "accelerators";
    if (slots > available.slots)
        return "slots";
    return {};
}

resources resources::operator+(const resources& other) const
{
    return { cpuMilli + other.cpuMilli, memoryMb + other.memoryMb, accelerators + other.accelerators,
        slots + other.slots };
}

resources resources::operator-(const resources& other) const
{
    return { cpuMilli - other.cpuMilli, memoryMb - other.memoryMb, accelerators - other.accelerators,
        slots - other.slots };
}

resources resources::operator*(int64_t times) const
{
    return { cpuMilli * times, memoryMb * times, accelerators * times, slots * times };
}

const std::vector<reason_info>& allReasons()
{
    static const std::vector<reason_info> table = {
#define X(name, kind, status, retryable, ran, text)                                                          \
    { reason::name, #name, reason_kind::kind, status, retryable, was_executed::ran, text },
        CAMPHORWELL_REASONS(X)
#undef X
    };
    return table;
}

const reason_info& reasonInfo(reason code) { return allReasons()[static_cast<size_t>(code)]; }

const reason_info* findReason(std::string_view name)
{
    for (const auto& info : allReasons()) {
        if (info.name == name)
            return &info;
    }
    return nullptr;
}

std::string_view toString(was_executed value)
{
    switch (value) {
    case was_executed::no:
        return "no";
    case was_executed::unknown:
        return "unknown";
    case was_executed::yes:
        return "yes";
    }
    return "unknown";
}

uint64_t stableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::string hashHex(std::string_view text)
{
    auto hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> hex {};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return hex.data();
}

log_line::log_line(std::string_view event) { add("event", event); }

log_line& log_line::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty())
        m_text += ' ';
    m_text += key;
    m_text += '=';
    bool plain = !value.empty();
    for (unsigned char c : value)
        plain = plain && isPlain(c);
    if (plain) {
        m_text += value;
        return *this;
    }
    m_text += '"';
    for (unsigned char c : value) {
        if (isPlain(c) || c == ' ' || c == '=') {
            m_text += static_cast<char>(c);
            continue;
        }
        std::array<char, 5> escaped {};
        std::snprintf(escaped.data(), escaped.size(), "\\x%02x", c);
        m_text += escaped.data();
    }
    m_text += '"';
    return *this;
}

log_line& log_line::add(std::string_view key, int64_t value) { return add(key, std::to_string(value)); }

void setInvariantHandler(invariant_handler replacement) { handler() = std::move(replacement); }

void recordEvent(std::string event)
{
    auto& history = eventHistory();
    history.push_back(std::move(event));
    if (history.size() > maxEventHistory)
        history.pop_front();
}

void invariantBroken(const char* condition, const char* file, int line, const std::string& detail)
{
    std::string text = std::string("invariant broken: ") + condition + " at " + file + ":"
        + std::to_string(line) + ": " + detail;
    if (handler()) {
        handler()(text);
        return;
    }
    for (const auto& event : eventHistory())
        std::fprintf(stderr, "history %s\n", event.c_str());
    std::fprintf(stderr, "%s\n", text.c_str());
    std::abort();
}

} // namespace camphorwell
