// A test deployment on the loopback interface: the daemons and the stand-ins as separate processes.
#pragma once

#include "net/net.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace camphorwell {

struct deployment_options {
    uint16_t firstPort = 21000;
    std::vector<std::string> dataCentres = { "north" };
    int instances = 3; // In each data centre.
    int workers = 4; // In each data centre.
    int64_t leaseMs = 1000;
    int64_t listLagMs = 200;
};

// The response to one request that was sent over its own connection.
struct raw_answer {
    bool connected = false;
    std::string bytes; // Everything that the server sent, headers included.
    int status = 0; // 0 when no HTTP response arrived.
    std::string body() const;
};

class deployment {
public:
    explicit deployment(deployment_options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // Starts all processes and waits until every instance is ready, has completed the state transfer of a
    // membership view with all instances, and has the entries in force. Returns false on a timeout.
    bool start(const nlohmann::json& entries);

    raw_answer send(uint16_t port, const std::string& bytes, int64_t timeoutMs = 8000);
    raw_answer call(uint16_t port, const std::string& method, const std::string& path,
        const header_list& headers = {}, const std::string& body = {}, int64_t timeoutMs = 8000);
    // Sends the bytes and closes the connection after `openMs` without reading the response.
    void sendAndClose(uint16_t port, const std::string& bytes, int64_t openMs);
    nlohmann::json getJson(uint16_t port, const std::string& path);

    uint16_t entryPort(const std::string& instance) const;
    uint16_t workerPort(const std::string& worker) const;
    uint16_t platformPort() const { return m_options.firstPort; }
    std::vector<std::string> instances() const;
    std::vector<std::string> workers() const;
    void signal(const std::string& name, int number);
    // Sends SIGKILL and reaps the process.
    void kill(const std::string& name);
    void restart(const std::string& name);
    // Waits for the process to exit; returns its exit code, or -1 on a timeout or when a signal ended it.
    int waitExit(const std::string& name, int64_t timeoutMs);
    void setPlatform(const nlohmann::json& admin);
    void setWorker(const std::string& worker, const nlohmann::json& admin);
    // Returns every attempt of every reachable worker.
    nlohmann::json history();
    bool waitUntil(int64_t timeoutMs, const std::function<bool()>& condition);
    bool ready(const std::string& instance);
    bool viewComplete(const std::string& instance);
    pid_t pidOf(const std::string& name) const { return m_processes.at(name).pid; }

private:
    struct process {
        std::vector<std::string> arguments;
        pid_t pid = -1;
        uint16_t port = 0;
        std::string dataCentre;
    };
    void spawn(const std::string& name);
    void writeSettings(const std::string& instance, const process&, uint16_t peerPort);

    deployment_options m_options;
    std::string m_directory;
    std::map<std::string, process> m_processes;
    std::map<std::string, uint16_t> m_peerPorts;
};

// Returns the value of the X-Work-Id header, or an empty string without one.
std::string workIdOf(const raw_answer&);
// Returns the faults in a history: overlapping attempts of one task, or attempts after a successful one.
std::vector<std::string> executionViolations(const nlohmann::json& history);

} // namespace camphorwell
