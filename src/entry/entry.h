// The entry library: everything of the `camphorwell-entry` daemon but its `main`.
//
//   auto settings = parseSettings(document);       // leaf result; every fault at once
//   event_loop loop;
//   entry_daemon daemon(loop, *settings);
//   daemon.start();
//   loop.run();
//
// The daemon is a thin loop around a coordination `node`: HTTP requests, peer messages, worker answers and
// log answers become events, and the node's actions become calls.
//
// Units: milliseconds and bytes, as the names say. Errors: `parseSettings` fails with `e_settings`, `start`
// with `e_net`. Threading: one loop on one thread.
#pragma once

#include "coordination/coordination.h"
#include "net/net.h"
#include "schema/schema.h"

#include <boost/histogram.hpp>

namespace camphorwell {

struct e_settings {
    std::vector<field_error> faults;
};

struct peer_settings {
    instance_id instance;
    std::string dataCentre;
    std::string address;
    uint16_t port = 0;
};

struct entry_settings {
    node_options node;
    std::string httpAddress;
    uint16_t httpPort = 0;
    http_limits http;
    std::string peerAddress;
    uint16_t peerPort = 0;
    std::string peerKey;
    std::string platformAddress;
    uint16_t platformPort = 0;
    std::vector<peer_settings> peers;
    size_t workerConnections = 64;
};

const nlohmann::json& settingsSchema();
// Checks a settings document as a whole. The incarnation is left at 0.
result<entry_settings> parseSettings(const nlohmann::json& document);

// Latency histogram with a log axis, in seconds.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1e-4, 1.0)));

// Counters and histograms of the daemon, in the Prometheus text format.
class entry_metrics {
public:
    entry_metrics();
    void observe(const std::string& entry, double seconds);
    void countRequest(const std::string& outcome);
    void countReason(reason);
    std::string text(const node&, uint64_t peerBytes) const;

private:
    std::map<std::string, latency_histogram> m_latency; // Bounded by `maxEntries`.
    std::map<std::string, uint64_t> m_requests;
    std::vector<uint64_t> m_reasonCounts;
};

class entry_daemon {
public:
    entry_daemon(event_loop&, entry_settings);
    ~entry_daemon();
    result<void> start();
    // Leaves gracefully and stops the loop when nothing is left to finish.
    void leave();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace camphorwell
