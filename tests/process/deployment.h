// A deployment on loopback for tests: real processes of the daemons and the stand-ins.
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

// The answer to one request made over a connection of its own.
struct raw_answer {
    bool connected = false;
    std::string bytes; // Everything the server sent.
    int status = 0; // 0 when nothing that is HTTP came.
    std::string body() const;
};

class deployment {
public:
    explicit deployment(deployment_options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    // Waits until every instance is ready with a closed view and the entries in force.
    bool start(const nlohmann::json& entries);

    raw_answer send(uint16_t port, const std::string& bytes, int64_t timeoutMs = 8000);
    raw_answer call(uint16_t port, const std::string& method, const std::string& path,
        const header_list& headers = {}, const std::string& body = {}, int64_t timeoutMs = 8000);
    // Sends the bytes and closes without reading the answer.
    void sendAndClose(uint16_t port, const std::string& bytes, int64_t openMs);
    nlohmann::json getJson(uint16_t port, const std::string& path);

    uint16_t entryPort(const std::string& instance) const;
    uint16_t workerPort(const std::string& worker) const;
    uint16_t platformPort() const { return m_options.firstPort; }
    std::vector<std::string> instances() const;
    std::vector<std::string> workers() const;
    void signal(const std::string& name, int number);
    // Kills and reaps the process.
    void kill(const std::string& name);
    void restart(const std::string& name);
    // Waits for the process to end by itself; returns its exit code, or -1 when it goes on.
    int waitExit(const std::string& name, int64_t timeoutMs);
    void setPlatform(const nlohmann::json& admin);
    void setWorker(const std::string& worker, const nlohmann::json& admin);
    // Every run of every worker that can be reached.
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

// The work id of a 202 answer or of a header.
std::string workIdOf(const raw_answer&);
// Faults in a history: overlapping runs of one piece of work, or runs after one that ended well.
std::vector<std::string> executionViolations(const nlohmann::json& history);

} // namespace camphorwell
