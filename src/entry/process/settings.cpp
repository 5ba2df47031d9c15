// The settings of an entry instance: schema, validation and conversion to typed values.
#include "entry/entry.h"

namespace camphorwell {

using nlohmann::json;

const json& settingsSchema()
{
    static const json schema = json::parse(R"({
  "type": "object",
  "required": ["instance", "data_centre", "http", "peer", "platform"],
  "additionalProperties": false,
  "properties": {
    "instance": { "type": "string", "pattern": "^[a-z0-9-]{1,64}$" },
    "data_centre": { "type": "string", "pattern": "^[a-z0-9-]{1,32}$" },
    "http": {
      "type": "object",
      "required": ["address", "port"],
      "additionalProperties": false,
      "properties": {
        "address": { "type": "string", "pattern": "^[0-9.]{7,15}$" },
        "port": { "type": "integer", "minimum": 1, "maximum": 65535 },
        "body_bytes": { "type": "integer", "minimum": 1, "maximum": 1048576, "default": 65536 },
        "idle_ms": { "type": "integer", "minimum": 1000, "maximum": 3600000, "default": 30000 }
      }
    },
    "peer": {
      "type": "object",
      "required": ["address", "port", "key"],
      "additionalProperties": false,
      "properties": {
        "address": { "type": "string", "pattern": "^[0-9.]{7,15}$" },
        "port": { "type": "integer", "minimum": 1, "maximum": 65535 },
        "key": { "type": "string", "minLength": 16, "maxLength": 256 }
      }
    },
    "platform": {
      "type": "object",
      "required": ["address", "port"],
      "additionalProperties": false,
      "properties": {
        "address": { "type": "string", "pattern": "^[0-9.]{7,15}$" },
        "port": { "type": "integer", "minimum": 1, "maximum": 65535 }
      }
    },
    "peers": {
      "type": "array",
      "default": [],
      "items": {
        "type": "object",
        "required": ["instance", "data_centre", "address", "port"],
        "additionalProperties": false,
        "properties": {
          "instance": { "type": "string", "pattern": "^[a-z0-9-]{1,64}$" },
          "data_centre": { "type": "string", "pattern": "^[a-z0-9-]{1,32}$" },
          "address": { "type": "string", "pattern": "^[0-9.]{7,15}$" },
          "port": { "type": "integer", "minimum": 1, "maximum": 65535 }
        }
      }
    },
    "timing": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "heartbeat_ms": { "type": "integer", "minimum": 20, "maximum": 10000, "default": 250 },
        "peer_timeout_ms": { "type": "integer", "minimum": 100, "maximum": 60000, "default": 1500 },
        "lease_ms": { "type": "integer", "minimum": 200, "maximum": 60000, "default": 2000 },
        "task_lease_ms": { "type": "integer", "minimum": 400, "maximum": 600000, "default": 6000 },
        "renew_ms": { "type": "integer", "minimum": 50, "maximum": 20000, "default": 600 },
        "call_timeout_ms": { "type": "integer", "minimum": 50, "maximum": 60000, "default": 1000 },
        "list_drop_ms": { "type": "integer", "minimum": 500, "maximum": 600000, "default": 8000 },
        "result_keep_ms": { "type": "integer", "minimum": 1000, "maximum": 86400000, "default": 600000 },
        "log_poll_ms": { "type": "integer", "minimum": 50, "maximum": 60000, "default": 1000 },
        "log_retention_ms": { "type": "integer", "minimum": 10000, "maximum": 2592000000, "default": 3600000 }
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "queued": { "type": "integer", "minimum": 1, "maximum": 1000000, "default": 10000 },
        "kept_answers": { "type": "integer", "minimum": 1, "maximum": 1000000, "default": 20000 },
        "waiters": { "type": "integer", "minimum": 1, "maximum": 10000, "default": 64 },
        "worker_connections": { "type": "integer", "minimum": 1, "maximum": 1024, "default": 64 }
      }
    }
  }
})");
    return schema;
}

namespace {

    void readTiming(const json& timing, node_options& out)
    {
        out.heartbeatMs = timing["heartbeat_ms"];
        out.peerTimeoutMs = timing["peer_timeout_ms"];
        out.leaseMs = timing["lease_ms"];
        out.taskLeaseMs = timing["task_lease_ms"];
        out.renewMs = timing["renew_ms"];
        out.callTimeoutMs = timing["call_timeout_ms"];
        out.listDropMs = timing["list_drop_ms"];
        out.resultRetentionMs = timing["result_keep_ms"];
        out.logPollMs = timing["log_poll_ms"];
        out.logRetentionMs = timing["log_retention_ms"];
    }

    // Checks the rules that involve more than one field.
    void checkFieldRelations(const entry_settings& settings, std::vector<field_error>& faults)
    {
        const auto& node = settings.node;
        auto require = [&](bool holds, const char* path, int64_t value, const std::string& rule) {
            if (!holds)
                faults.push_back({ path, std::to_string(value), rule });
        };
        require(node.renewMs * 2 < node.leaseMs, "/timing/renew_ms", node.renewMs,
            "must be under half of lease_ms");
        require(node.taskLeaseMs >= node.leaseMs * 2, "/timing/task_lease_ms", node.taskLeaseMs,
            "must be at least twice lease_ms");
        require(node.heartbeatMs * 3 <= node.peerTimeoutMs, "/timing/heartbeat_ms", node.heartbeatMs,
            "must be at most a third of peer_timeout_ms");
        require(node.resultRetentionMs * 2 <= node.logRetentionMs, "/timing/result_keep_ms",
            node.resultRetentionMs, "must be at most half of log_retention_ms");
        std::set<instance_id> names { node.self.id };
        for (size_t i = 0; i < settings.peers.size(); i++) {
            if (!names.insert(settings.peers[i].instance).second)
                faults.push_back({ "/peers/" + std::to_string(i) + "/instance", settings.peers[i].instance,
                    "must be unique" });
        }
    }

} // namespace

result<entry_settings> parseSettings(const json& document)
{
    auto faults = validateJson(document, settingsSchema());
    if (!faults.empty())
        return boost::leaf::new_error(e_settings { std::move(faults) });
    json whole = withDefaults(document, settingsSchema());
    entry_settings out;
    out.node.self.id = whole["instance"];
    out.node.dataCentre = whole["data_centre"];
    out.httpAddress = whole["http"]["address"];
    out.httpPort = whole["http"]["port"];
    out.http.maxBodyBytes = whole["http"]["body_bytes"];
    out.http.idleTimeoutMs = whole["http"]["idle_ms"];
    out.peerAddress = whole["peer"]["address"];
    out.peerPort = whole["peer"]["port"];
    out.peerKey = whole["peer"]["key"];
    out.platformAddress = whole["platform"]["address"];
    out.platformPort = whole["platform"]["port"];
    for (const auto& item : whole["peers"]) {
        peer_settings peer { item["instance"], item["data_centre"], item["address"], item["port"] };
        if (peer.dataCentre == out.node.dataCentre)
            out.node.peers.push_back(peer.instance);
        else
            out.node.remote[peer.dataCentre].push_back(peer.instance);
        out.peers.push_back(std::move(peer));
    }
    readTiming(whole["timing"], out.node);
    out.node.maxQueued = whole["limits"]["queued"];
    out.node.maxKeptAnswers = whole["limits"]["kept_answers"];
    out.node.maxWaiters = whole["limits"]["waiters"];
    out.workerConnections = whole["limits"]["worker_connections"];
    checkFieldRelations(out, faults);
    if (!faults.empty())
        return boost::leaf::new_error(e_settings { std::move(faults) });
    return out;
}

} // namespace camphorwell
