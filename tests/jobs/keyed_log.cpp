// See keyed_log.h.
#include "tests/jobs/keyed_log.h"

#include <algorithm>

namespace camphorwell::testing {

keyed_log::keyed_log(size_t partitions)
    : m_partitions(partitions)
{
}

void keyed_log::append(size_t partition, std::string key, std::string value)
{
    partition_log& log = m_partitions.at(partition);
    item record { std::move(key), std::move(value), log.end() };
    if (record.value.empty())
        log.newest.erase(record.key);
    else
        log.newest[record.key] = record;
    log.records.push_back(std::move(record));
}

bool keyed_log::appendAt(size_t partition, uint64_t offset, std::string key, std::string value)
{
    if (end(partition) != offset)
        return false;
    append(partition, std::move(key), std::move(value));
    return true;
}

keyed_log::read_result keyed_log::read(size_t partition, uint64_t from, size_t maxItems) const
{
    const partition_log& log = m_partitions.at(partition);
    read_result out;
    out.nextOffset = from;
    if (from < log.firstOffset) {
        out.expired = true;
        return out;
    }
    uint64_t last = std::min(log.end(), from + maxItems);
    for (; out.nextOffset < last; out.nextOffset++)
        out.items.push_back(log.records[out.nextOffset - log.firstOffset]);
    out.upToEnd = out.nextOffset == log.end();
    return out;
}

keyed_log::newest_page keyed_log::readNewest(
    size_t partition, const std::string& after, size_t maxItems) const
{
    const partition_log& log = m_partitions.at(partition);
    newest_page out;
    out.end = log.end();
    auto next = log.newest.upper_bound(after);
    for (; next != log.newest.end() && out.items.size() < maxItems; ++next)
        out.items.push_back(next->second);
    out.hasMore = next != log.newest.end();
    return out;
}

void keyed_log::expire()
{
    for (partition_log& log : m_partitions) {
        log.firstOffset = log.end();
        log.records.clear();
    }
}

} // namespace camphorwell::testing
