// The catalogue library: entries, their validation, and the catalogue as replayed from its log stream.
//
// An entry names an owner, a class and limits; everything else has a default:
//
//   { "name": "route-plan", "owner": "nube-dulce", "class": "latency-critical",
//     "limits": { "cpuMilli": 500, "memoryMb": 256 } }
//
// A change is a record that names the version of the entry on which it is based. `catalogue::apply` applies
// records in log order and rejects a record whose base is not the entry's version at that point. Every
// reader of the log reaches the same verdict, so of two changes based on the same version at most one is
// accepted, without further coordination.
//
// Units: see `entry_limits`. Errors: `parseEntry` reports all errors at once, each with the path of the
// field, the value and the rule. Threading: a `catalogue` is a value without synchronisation, used on one
// thread.
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

// Resources, concurrency and deadline of an entry's tasks.
struct entry_limits {
    resources perTask { 1000, 256, 0, 1 }; // Reserved for each task.
    int64_t maxConcurrent = 1000; // Bound on the tasks that run or wait in a data centre.
    int64_t deadlineMs = 2000; // Default deadline of a request.
    bool operator==(const entry_limits&) const = default;
};

// One catalogue entry; not modified once `parseEntry` has built it.
struct entry {
    entry_name name;
    std::string owner;
    work_class workClass = work_class::latency_critical;
    bool idempotent = true;
    bool urgent = false; // May evict batch work.
    entry_limits limits;
    bool operator==(const entry&) const = default;
};

// Defaults of `entry_limits::deadlineMs` by class.
constexpr int64_t latencyCriticalDeadlineMs = 2000;
constexpr int64_t batchDeadlineMs = 24LL * 3600 * 1000;

// The JSON schema of an entry, with its defaults.
const nlohmann::json& entrySchema();
// Returns the entry if `json` conforms to the schema; otherwise appends every error to `errors`.
std::optional<entry> parseEntry(const nlohmann::json& json, std::vector<field_error>& errors);
nlohmann::json toJson(const entry&);

// One record of the catalogue's log stream.
struct catalogue_record {
    std::string changeId; // Unique per requested change; identifies a record whose append was not answered.
    entry_name name;
    uint64_t baseVersion = 0; // Version of the entry on which the change is based; 0 if it does not exist.
    std::string body; // The entry as JSON text; empty removes the entry.
    int64_t offset = -1; // Position in the log stream.
    std::string author;
    bool operator==(const catalogue_record&) const = default;
};

// Result of applying a record.
// accepted: the catalogue has the change. conflict: the change is based on another version of the entry than
// the current one. invalid: the body is not a valid entry of that name. duplicate: a record with this offset
// or change id was applied before.
enum class change_verdict : uint8_t { accepted, conflict, invalid, duplicate };

// The catalogue in force: a deterministic function of the applied prefix of the log stream.
class catalogue {
public:
    struct versioned {
        camphorwell::entry entry;
        uint64_t version = 0; // Offset of the record that set the entry, plus one.
    };

    // Applies `record`, whose offset must be set. A record at or below the last applied offset is ignored.
    change_verdict apply(const catalogue_record& record);
    // The entry of that name, or nullptr.
    const versioned* find(const entry_name&) const;
    const std::map<entry_name, versioned>& entries() const { return m_entries; }
    // Offset after the last applied record; a higher value is a newer catalogue.
    int64_t nextOffset() const { return m_nextOffset; }
    // Verdict on a change that was applied, if its record is still in the history.
    std::optional<change_verdict> verdict(const std::string& changeId) const;
    // Applied records with their verdicts, most recent last; at most `historyLength`.
    const std::vector<std::pair<catalogue_record, change_verdict>>& history() const { return m_history; }
    // The accepted records from which `restore` rebuilds this catalogue, in log order.
    std::vector<catalogue_record> snapshot() const;
    // Replaces the contents by a snapshot taken at `nextOffset`. Returns false and changes nothing unless
    // that is higher than the offset of this catalogue.
    bool restore(const std::vector<catalogue_record>& records, int64_t nextOffset);

    static constexpr size_t historyLength = 1024; // Records kept for `history` and `verdict`.

private:
    std::map<entry_name, versioned> m_entries;
    std::map<entry_name, uint64_t> m_removedVersions; // Offset of the removing record, plus one.
    std::map<entry_name, catalogue_record> m_acceptedRecords; // The latest accepted record of each entry.
    std::vector<std::pair<catalogue_record, change_verdict>> m_history;
    int64_t m_nextOffset = 0;
};

nlohmann::json toJson(const catalogue_record&);
// Throws nlohmann::json::exception on a malformed record.
catalogue_record recordFromJson(const nlohmann::json&);

} // namespace camphorwell
