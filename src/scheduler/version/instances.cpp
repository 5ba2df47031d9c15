// The other instances. Each announces itself in the store under its name, again from time to time, and reads
// what the others have announced. Needed only where the store does not answer: the last reading serves then.
#include "scheduler/scheduler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    using nlohmann::json;
    constexpr ms announceEveryMs = 30'000;
    constexpr ms staleMs = 100'000; // An announcement so old is of an instance that is gone.
    constexpr ms readEveryMs = 5'000;
    constexpr ms retryMs = 1'000;
    constexpr ms announceTimeoutMs = 1'500;
    constexpr ms avoidMs = 5'000;
    constexpr int announcementFormat = 1;
    const char* const topicName = "instances";
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
    if (m_left)
        return;
    std::string value;
    json::to_cbor(
        json::array({ announcementFormat, m_self, m_context.settings.dataCentre, unixNow() }), value);
    platform::append_request request { m_topic, 0,
        { platform::encodeKeyedRecord(m_context.settings.instance, value) }, {}, {} };
    m_context.store.append(request, announceTimeoutMs, [this](const platform::append_answer& answer) {
        bool done = answer.outcome == platform::store_outcome::done;
        m_context.loop.after(done ? announceEveryMs : retryMs, [this] { announce(); });
    });
}

void instance_directory::leave()
{
    m_left = true;
    platform::append_request request { m_topic, 0,
        { platform::encodeKeyedRecord(m_context.settings.instance, {}) }, {}, {} };
    // An announcement that stays is stale after a while.
    m_context.store.append(request, announceTimeoutMs, [](const platform::append_answer&) {});
}

void instance_directory::read()
{
    m_context.store.readNewestByKey(m_topic, 0, [this](const platform::newest_answer& answer) {
        bool done = answer.outcome == platform::store_outcome::done;
        if (done)
            take(answer.items);
        m_context.loop.after(done ? readEveryMs : retryMs, [this] { read(); });
    });
}

std::optional<std::string> instance_directory::collector(ms now) const
{
    if (static_cast<int>(m_others.size()) < m_context.settings.store.partitions)
        return std::nullopt;
    for (const auto& each : m_near) {
        auto avoided = m_avoidedUntil.find(each);
        if (avoided == m_avoidedUntil.end() || avoided->second <= now)
            return each == m_self ? std::nullopt : std::optional(each);
    }
    return std::nullopt;
}

void instance_directory::avoid(const std::string& address, ms now)
{
    std::erase_if(m_avoidedUntil, [&](const auto& each) { return each.second <= now; });
    m_avoidedUntil[address] = now + avoidMs;
}

void instance_directory::take(const std::vector<platform::keyed_item>& items)
{
    std::vector<std::string> near { m_self };
    std::vector<std::string> far;
    for (const auto& item : items) {
        try {
            json row = json::from_cbor(item.value, true, false);
            if (!row.is_array() || row.at(0).get<int>() > announcementFormat)
                continue;
            std::string address = row.at(1);
            if (address == m_self || unixNow() - row.at(3).get<int64_t>() > staleMs)
                continue;
            (row.at(2) == m_context.settings.dataCentre ? near : far).push_back(std::move(address));
        } catch (const json::exception&) {
            m_context.counts["announcement_unreadable"]++;
        }
    }
    m_near = near;
    std::sort(m_near.begin(), m_near.end(),
        [](const auto& a, const auto& b) { return stableHash(a) < stableHash(b); });
    near.erase(near.begin());
    // One of another data centre after each one of this, since either may be cut off.
    m_others.clear();
    for (size_t i = 0; i < std::max(near.size(), far.size()); i++) {
        if (i < near.size())
            m_others.push_back(near[i]);
        if (i < far.size())
            m_others.push_back(far[i]);
    }
}

} // namespace camphorwell
