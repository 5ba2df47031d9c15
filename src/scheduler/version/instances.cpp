// The directory of instances. Each instance periodically announces itself in the store under its name and
// reads the announcements of the others. The directory is needed while the store is slow or does not answer;
// the last successful read is used then.
#include "scheduler/scheduler.h"
#include "schema/field_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    using nlohmann::json;
    constexpr ms announcePeriodMs = 30'000;
    constexpr ms announcementTtlMs = 100'000; // The instance of an older announcement is gone.
    constexpr ms readPeriodMs = 5'000;
    constexpr ms retryMs = 1'000;
    constexpr ms announceTimeoutMs = 1'500;
    constexpr ms exclusionMs = 5'000;
    constexpr int announcementFormat = 1;
    constexpr int announcementDepth = 4; // More than the format nests.
    const char* const topicName = "instances";

    struct announcement {
        std::string address; // HOST:PORT
        std::string dataCentre;
        int64_t writtenUnixMs = 0;
    };

    std::optional<announcement> readAnnouncement(const std::string& bytes)
    {
        if (!cborIsBounded(bytes, announcementDepth))
            return std::nullopt;
        json row = json::from_cbor(bytes, true, false);
        bool readable = row.is_array() && row.size() >= 4 && row[0].is_number_unsigned()
            && row[0] <= announcementFormat && row[1].is_string() && row[2].is_string()
            && row[3].is_number_unsigned() && row[3] <= maxExactInteger;
        if (!readable)
            return std::nullopt;
        announcement out { row[1], row[2], row[3] };
        auto [host, port] = platform::splitAddress(out.address);
        return port != 0 && isNumericAddress(host) ? std::optional(out) : std::nullopt;
    }
} // namespace

instance_directory::instance_directory(scheduler_context& context)
    : m_context(context)
    , m_topic(platform::keyedTopic(topicName))
    , m_self(context.settings.address + ":" + std::to_string(context.settings.internalPort))
{
}

void instance_directory::start()
{
    announce();
    read();
}

void instance_directory::announce()
{
    if (m_withdrawn)
        return;
    std::string value;
    json::to_cbor(
        json::array({ announcementFormat, m_self, m_context.settings.dataCentre, unixNow() }), value);
    platform::append_request request { m_topic, 0,
        { platform::encodeKeyedRecord(m_context.settings.instance, value) }, {}, {} };
    m_context.store.append(request, announceTimeoutMs, [this](const platform::append_answer& answer) {
        bool done = answer.outcome == platform::store_outcome::done;
        m_context.loop.after(done ? announcePeriodMs : retryMs, [this] { announce(); });
    });
}

void instance_directory::withdraw()
{
    m_withdrawn = true;
    platform::append_request request { m_topic, 0,
        { platform::encodeKeyedRecord(m_context.settings.instance, {}) }, {}, {} };
    // If this append is lost, the announcement expires.
    m_context.store.append(request, announceTimeoutMs, [](const platform::append_answer&) {});
}

void instance_directory::read()
{
    m_context.store.readNewestByKey(m_topic, 0, [this](const platform::newest_answer& answer) {
        bool done = answer.outcome == platform::store_outcome::done;
        if (done)
            onAnnouncements(answer.items);
        m_context.loop.after(done ? readPeriodMs : retryMs, [this] { read(); });
    });
}

std::optional<std::string> instance_directory::aggregator(ms now) const
{
    if (static_cast<int>(m_others.size()) < m_context.settings.store.partitions)
        return std::nullopt;
    for (const auto& address : m_aggregatorOrder) {
        auto excluded = m_excludedUntil.find(address);
        if (excluded == m_excludedUntil.end() || excluded->second <= now)
            return address == m_self ? std::nullopt : std::optional(address);
    }
    return std::nullopt;
}

void instance_directory::excludeAggregator(const std::string& address, ms now)
{
    std::erase_if(m_excludedUntil, [&](const auto& entry) { return entry.second <= now; });
    m_excludedUntil[address] = now + exclusionMs;
}

void instance_directory::onAnnouncements(const std::vector<platform::keyed_item>& items)
{
    std::vector<std::string> local { m_self };
    std::vector<std::string> remote;
    for (const auto& item : items) {
        auto read = readAnnouncement(item.value);
        if (!read) {
            m_context.counts["announcement_unreadable"]++;
            continue;
        }
        if (read->address == m_self || unixNow() - read->writtenUnixMs > announcementTtlMs)
            continue;
        (read->dataCentre == m_context.settings.dataCentre ? local : remote).push_back(read->address);
    }
    m_aggregatorOrder = local;
    std::sort(m_aggregatorOrder.begin(), m_aggregatorOrder.end(),
        [](const auto& a, const auto& b) { return stableHash(a) < stableHash(b); });
    local.erase(local.begin());
    // Alternate between this data centre and others, since either side may be cut off.
    m_others.clear();
    for (size_t i = 0; i < std::max(local.size(), remote.size()); i++) {
        if (i < local.size())
            m_others.push_back(local[i]);
        if (i < remote.size())
            m_others.push_back(remote[i]);
    }
}

} // namespace camphorwell
