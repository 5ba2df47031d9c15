// A test deployment on the loopback interface: the daemons and the stand-ins as separate processes.
#pragma once

#include "tests/process/process_group.h"

namespace camphorwell {

struct deployment_options {
    uint16_t firstPort = 21000;
    std::vector<std::string> dataCentres = { "north" };
    int instances = 3; // In each data centre.
    int workers = 4; // In each data centre.
    int64_t leaseMs = 1000;
    int64_t listLagMs = 200;
};

class deployment : public process_group {
public:
    explicit deployment(deployment_options);

    // Starts all processes and waits until every instance is ready, has completed the state transfer of a
    // membership view with all instances, and has the entries in force. Returns false on a timeout.
    bool start(const nlohmann::json& entries);

    uint16_t entryPort(const std::string& instance) const;
    uint16_t workerPort(const std::string& worker) const;
    uint16_t platformPort() const { return m_options.firstPort; }
    std::vector<std::string> instances() const;
    std::vector<std::string> workers() const;
    void setPlatform(const nlohmann::json& admin);
    void setWorker(const std::string& worker, const nlohmann::json& admin);
    // Returns every attempt of every reachable worker.
    nlohmann::json history();
    bool ready(const std::string& instance);
    bool viewComplete(const std::string& instance);

private:
    struct place {
        uint16_t port = 0;
        std::string dataCentre;
    };
    void writeSettings(const std::string& instance, const place&, uint16_t peerPort);

    deployment_options m_options;
    std::map<std::string, place> m_places;
    std::map<std::string, uint16_t> m_peerPorts;
};

// Returns the value of the X-Work-Id header, or an empty string without one.
std::string workIdOf(const raw_answer&);
// Returns the faults in a history: overlapping attempts of one task, or attempts after a successful one.
std::vector<std::string> executionViolations(const nlohmann::json& history);

} // namespace camphorwell
