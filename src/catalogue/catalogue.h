// The catalogue library: entries, their check, and the fold of the catalogue's log stream.
//
// An entry names an owner, a class and limits; everything else has a default:
//
//   { "name": "route-plan", "owner": "nube-dulce", "class": "latency-critical",
//     "limits": { "cpuMilli": 500, "memoryMb": 256 } }
//
// A change is a record that names the version of the entry it was based on. `catalogue::apply` folds
// records in log order; a record whose base is not the entry's version at that point loses, for every
// reader alike, so that two operators who race get one winner without any further agreement.
//
// Units: see `entry_limits`. Errors: `parseEntry` returns every fault at once, each naming the path of the
// field, the value and the rule. Threading: one loop; a `catalogue` is a plain value.
#pragma once

#include "base/base.h"
#include "schema/schema.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorwell {

enum class work_class : uint8_t { latency_critical, batch };
std::string_view toString(work_class);

struct entry_limits {
    resources perTask { 1000, 256, 0, 1 }; // Booked for each task.
    int64_t maxConcurrent = 1000; // Tasks running or waiting at once in a data centre.
    int64_t deadlineMs = 2000; // Default deadline of a request.
    bool operator==(const entry_limits&) const = default;
};

// One catalogue entry; immutable once built by `parseEntry`.
struct entry {
    entry_name name;
    std::string owner;
    work_class workClass = work_class::latency_critical;
    bool idempotent = true;
    bool urgent = false; // May evict batch work.
    entry_limits limits;
    bool operator==(const entry&) const = default;
};

constexpr int64_t latencyCriticalDeadlineMs = 2000; // Default deadline of latency-critical entries.
constexpr int64_t batchDeadlineMs = 24LL * 3600 * 1000; // Default deadline of batch entries.

// The JSON schema of an entry, with its defaults.
const nlohmann::json& entrySchema();
// Checks `json` and returns the entry, or appends each fault to `errors` and returns nothing.
std::optional<entry> parseEntry(const nlohmann::json& json, std::vector<field_error>& errors);
nlohmann::json toJson(const entry&);

// One record of the catalogue's log stream.
struct catalogue_record {
    std::string changeId; // Unique to the attempt to change; settles an append whose answer was lost.
    entry_name name;
    uint64_t baseVersion = 0; // Version of the entry the change was based on; 0 for none.
    std::string body; // The entry as JSON text; empty removes the entry.
    int64_t offset = -1; // Position in the log stream.
    std::string author;
    bool operator==(const catalogue_record&) const = default;
};

enum class change_verdict : uint8_t { accepted, conflict, invalid, duplicate };

// The catalogue in force: a deterministic function of the prefix of the log stream that was folded.
class catalogue {
public:
    struct versioned {
        camphorwell::entry entry;
        uint64_t version = 0; // Offset of the winning record plus one.
    };

    // Folds `record`, which must carry its offset. Offsets at or below the last folded one are ignored.
    change_verdict apply(const catalogue_record& record);
    const versioned* find(const entry_name&) const;
    const std::map<entry_name, versioned>& entries() const { return m_entries; }
    // Offset after the last folded record; a higher value is a newer catalogue.
    int64_t nextOffset() const { return m_nextOffset; }
    // Verdict on a change whose record has been folded, if it is still remembered.
    std::optional<change_verdict> verdict(const std::string& changeId) const;
    // Records folded, most recent last, bounded by `historyLength`.
    const std::vector<std::pair<catalogue_record, change_verdict>>& history() const { return m_history; }
    // The records that rebuild this catalogue when folded on an empty one, in order.
    std::vector<catalogue_record> snapshot() const;
    // Replaces the contents by a snapshot that reaches a higher offset; returns false and keeps the contents
    // otherwise.
    bool restore(const std::vector<catalogue_record>& records, int64_t nextOffset);

    static constexpr size_t historyLength = 1024; // Records kept for history and verdicts.

private:
    std::map<entry_name, versioned> m_entries;
    std::map<entry_name, uint64_t> m_removedVersions; // Versions of removed entries.
    std::map<entry_name, catalogue_record> m_acceptedRecords; // The winning record of each entry.
    std::vector<std::pair<catalogue_record, change_verdict>> m_history;
    int64_t m_nextOffset = 0;
};

nlohmann::json toJson(const catalogue_record&);
// Throws nlohmann::json::exception on a malformed record.
catalogue_record recordFromJson(const nlohmann::json&);

} // namespace camphorwell
