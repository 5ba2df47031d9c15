// Model of a keyed topic of the platform's log: partitions, offsets, expired records, and the newest record
// of each key, which never expires unless its value is empty.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorwell::testing {

class keyed_log {
public:
    struct item {
        std::string key;
        std::string value; // If empty, the record deletes the key.
        uint64_t offset = 0;
    };
    struct read_result {
        bool expired = false; // The record at the read position has expired.
        bool upToEnd = false; // The items reach to the end of the partition.
        std::vector<item> items;
        uint64_t nextOffset = 0;
    };
    struct newest_page {
        std::vector<item> items; // In the order of the keys.
        bool hasMore = false;
        uint64_t end = 0;
    };

    explicit keyed_log(size_t partitions);
    size_t partitions() const { return m_partitions.size(); }
    uint64_t end(size_t partition) const { return m_partitions.at(partition).end(); }
    void append(size_t partition, std::string key, std::string value);
    // Appends the record only at this offset. Returns whether it did.
    bool appendAt(size_t partition, uint64_t offset, std::string key, std::string value);
    read_result read(size_t partition, uint64_t from, size_t maxItems) const;
    // The newest records of the keys after `after`. Pages that are read at different times are no snapshot.
    newest_page readNewest(size_t partition, const std::string& after, size_t maxItems) const;
    // Expires all records of all partitions.
    void expire();

private:
    struct partition_log {
        std::vector<item> records; // Those from `firstOffset` on.
        uint64_t firstOffset = 0;
        std::map<std::string, item> newest;
        uint64_t end() const { return firstOffset + records.size(); }
    };
    std::vector<partition_log> m_partitions;
};

} // namespace camphorwell::testing
