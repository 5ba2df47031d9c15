// Follows the operator's configuration with long polls, which return each new version at once. When the
// records at the read position have expired, the newest record is read instead.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {
    constexpr ms readWaitMs = 1000; // Also bounds the time until a dead connection is noticed.
    constexpr ms retryMs = 150;
} // namespace

catalogue_follower::catalogue_follower(scheduler_context& context, std::function<void()> onChange)
    : m_context(context)
    , m_onChange(std::move(onChange))
{
}

void catalogue_follower::start() { readNewest(); }

void catalogue_follower::readNewest()
{
    m_context.store.readNewestByKey(
        platform::operatorTopic, 0, [this](const platform::newest_answer& answer) {
            if (answer.outcome != platform::store_outcome::done) {
                m_context.counts["configuration_read_failed"]++;
                m_context.loop.after(retryMs, [this] { readNewest(); });
                return;
            }
            for (const auto& item : answer.items)
                apply(item);
            m_nextOffset = answer.end;
            follow();
        });
}

void catalogue_follower::follow()
{
    m_context.store.read(
        platform::operatorTopic, 0, m_nextOffset, readWaitMs, [this](const platform::read_answer& answer) {
            if (answer.outcome == platform::store_outcome::expired) {
                readNewest();
                return;
            }
            if (answer.outcome != platform::store_outcome::done) {
                m_context.counts["configuration_read_failed"]++;
                m_context.loop.after(retryMs, [this] { follow(); });
                return;
            }
            for (const auto& record : answer.records) {
                if (auto item = platform::decodeKeyedRecord(record))
                    apply(*item);
            }
            m_nextOffset = answer.nextOffset;
            follow();
        });
}

void catalogue_follower::apply(const platform::keyed_item& item)
{
    if (item.key != platform::configurationKey)
        return;
    auto read = platform::readConfiguration(item.value);
    if (!read) {
        m_context.counts["configuration_unreadable"]++;
        m_context.log.writeAlways(
            log_line("configuration_unreadable").add("offset", static_cast<int64_t>(item.offset)));
        return;
    }
    if (m_current && read->version <= m_current->version)
        return;
    m_current = std::move(read);
    auto table = std::make_shared<queue_table>(*m_queues);
    // A queue whose route was removed keeps its last policy for the jobs already accepted.
    for (const auto& route : m_current->routes)
        (*table)[route.queue.name] = route.queue;
    m_queues = table;
    m_context.log.writeAlways(log_line("configuration")
                                  .add("version", m_current->version)
                                  .add("routes", static_cast<int64_t>(m_current->routes.size())));
    m_onChange();
}

const platform::route* catalogue_follower::findRoute(const std::string& host, const std::string& path) const
{
    const platform::route* best = nullptr;
    if (!m_current)
        return best;
    for (const auto& route : m_current->routes) {
        bool matches = route.host == host && path.compare(0, route.prefix.size(), route.prefix) == 0;
        if (matches && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

} // namespace camphorwell
