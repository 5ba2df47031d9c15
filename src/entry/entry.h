// The entry library: the `camphorwell-entry` daemon without its `main`.
//
//   auto settings = parseSettings(document);       // LEAF result with every fault
//   event_loop loop;
//   entry_daemon daemon(loop, *settings);
//   daemon.start();
//   loop.run();
//
// The daemon runs a coordination `node` in an event loop. HTTP requests, peer messages and the answers of
// workers and the platform's log become events; the actions of the node become calls.
//
// Units: milliseconds and bytes, as in the names. Errors: `parseSettings` fails with `e_settings`, `start`
// with `e_net`. Threading: one loop on one thread.
#pragma once

#include "coordination/coordination.h"
#include "net/net.h"
#include "schema/schema.h"

#include <boost/histogram.hpp>

namespace camphorwell {

// Error of `parseSettings`: the faults of a settings document.
struct e_settings {
    std::vector<field_error> faults;
};

// Another instance, of this or another data centre.
struct peer_settings {
    instance_id instance;
    std::string dataCentre;
    std::string address;
    uint16_t port = 0;
};

// The settings of an entry instance.
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
    size_t workerConnections = 64; // Maximum number of connections to each worker.
};

// JSON schema of the settings document.
const nlohmann::json& settingsSchema();
// Checks a settings document and converts it. Reports every fault. The incarnation is left at 0.
result<entry_settings> parseSettings(const nlohmann::json& document);

// Latency histogram in seconds with logarithmic bins.
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(1, 1e-4, 1.0)));

// Counters and histograms of the daemon, in the Prometheus text format.
class entry_metrics {
public:
    entry_metrics();
    // Records the latency of a request for a catalogue entry.
    void observe(const std::string& entry, double seconds);
    // Counts an answered request by its outcome: an answer state or the name of a reason.
    void countRequest(const std::string& outcome);
    // Counts a reason that the daemon itself reports. The counters of the node are added in `text`.
    void countReason(reason);
    // Returns all metrics in the Prometheus text format.
    std::string text(const node&, uint64_t peerBytes) const;

private:
    std::map<std::string, latency_histogram> m_latency; // Bounded by `maxEntries`.
    std::map<std::string, uint64_t> m_requests;
    std::vector<uint64_t> m_reasonCounts;
};

// One entry instance with its listeners and connections.
class entry_daemon {
public:
    entry_daemon(event_loop&, entry_settings);
    ~entry_daemon();
    // Opens the listeners and starts the timers.
    result<void> start();
    // Starts a graceful shutdown: stops the loop once all open work and requests are finished.
    void leave();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace camphorwell
