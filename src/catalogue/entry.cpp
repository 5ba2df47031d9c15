// Parses a catalogue entry and validates it against its schema.
#include "catalogue/catalogue.h"

namespace camphorwell {

using nlohmann::json;

const json& entrySchema()
{
    static const json schema = json::parse(R"({
  "type": "object",
  "required": ["name", "owner", "class"],
  "additionalProperties": false,
  "properties": {
    "name": { "type": "string", "pattern": "^[a-z0-9-]{1,64}$" },
    "owner": { "type": "string", "pattern": "^[a-z0-9-]{1,64}$" },
    "class": { "enum": ["latency-critical", "batch"] },
    "idempotent": { "type": "boolean", "default": true },
    "urgent": { "type": "boolean" },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cpuMilli": { "type": "integer", "minimum": 1, "maximum": 1000000, "default": 1000 },
        "memoryMb": { "type": "integer", "minimum": 1, "maximum": 16000000, "default": 256 },
        "accelerators": { "type": "integer", "minimum": 0, "maximum": 64, "default": 0 },
        "concurrent": { "type": "integer", "minimum": 1, "maximum": 1000000, "default": 1000 },
        "deadlineMs": { "type": "integer", "minimum": 1, "maximum": 2592000000 }
      }
    }
  }
})");
    return schema;
}

std::string_view toString(work_class workClass)
{
    return workClass == work_class::batch ? "batch" : "latency-critical";
}

std::optional<entry> parseEntry(const json& source, std::vector<field_error>& errors)
{
    if (source.is_discarded()) {
        errors.push_back({ "/", "text", "must be JSON" });
        return std::nullopt;
    }
    auto faults = validateJson(source, entrySchema());
    if (!faults.empty()) {
        errors.insert(errors.end(), faults.begin(), faults.end());
        return std::nullopt;
    }
    json complete = withDefaults(source, entrySchema());
    const json& limits = complete["limits"];
    entry out;
    out.name = complete["name"].get<std::string>();
    out.owner = complete["owner"].get<std::string>();
    out.workClass = complete["class"] == "batch" ? work_class::batch : work_class::latency_critical;
    bool latencyCritical = out.workClass == work_class::latency_critical;
    out.idempotent = complete["idempotent"].get<bool>();
    out.urgent = complete.value("urgent", latencyCritical);
    out.limits.perTask.cpuMilli = limits["cpuMilli"].get<int64_t>();
    out.limits.perTask.memoryMb = limits["memoryMb"].get<int64_t>();
    out.limits.perTask.accelerators = limits["accelerators"].get<int64_t>();
    out.limits.maxConcurrent = limits["concurrent"].get<int64_t>();
    out.limits.deadlineMs
        = limits.value("deadlineMs", latencyCritical ? latencyCriticalDeadlineMs : batchDeadlineMs);
    return out;
}

json toJson(const entry& e)
{
    return { { "name", e.name }, { "owner", e.owner }, { "class", toString(e.workClass) },
        { "idempotent", e.idempotent }, { "urgent", e.urgent },
        { "limits",
            { { "cpuMilli", e.limits.perTask.cpuMilli }, { "memoryMb", e.limits.perTask.memoryMb },
                { "accelerators", e.limits.perTask.accelerators }, { "concurrent", e.limits.maxConcurrent },
                { "deadlineMs", e.limits.deadlineMs } } } };
}

} // namespace camphorwell
