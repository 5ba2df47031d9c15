// Processes of a test on the loopback interface, and calls to them over connections of their own.
//
// Each process writes to a log in the group's directory, which is deleted with the group unless
// CAMPHORWELL_KEEP_LOGS is set or `keepDirectory` was called. The group ends only processes that it started.
#pragma once

#include "net/net.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace camphorwell {

// The response to one request that was sent over its own connection.
struct raw_answer {
    bool connected = false;
    std::string bytes; // Everything that the server sent, headers included.
    int status = 0; // 0 when no HTTP response arrived.
    std::string body() const;
};

// Path of a program in the directory CAMPHORWELL_BIN, by default the current one.
std::string programPath(const std::string& name);

class process_group {
public:
    process_group(const process_group&) = delete;
    process_group& operator=(const process_group&) = delete;

    raw_answer send(uint16_t port, const std::string& bytes, int64_t timeoutMs = 8000);
    raw_answer call(uint16_t port, const std::string& method, const std::string& path,
        const header_list& headers = {}, const std::string& body = {}, int64_t timeoutMs = 8000);
    // Sends the bytes and closes the connection after `openMs` without reading the response.
    void sendAndClose(uint16_t port, const std::string& bytes, int64_t openMs);
    nlohmann::json getJson(uint16_t port, const std::string& path);

    void signal(const std::string& name, int number);
    // Sends SIGKILL and reaps the process.
    void kill(const std::string& name);
    void restart(const std::string& name);
    // Waits for the process to exit; returns its exit code, or -1 on a timeout or when a signal ended it.
    int waitExit(const std::string& name, int64_t timeoutMs);
    // Whether the process was started and has not ended. Reaps it if it has.
    bool running(const std::string& name);
    pid_t pidOf(const std::string& name) const { return m_processes.at(name).pid; }
    bool waitUntil(int64_t timeoutMs, const std::function<bool()>& condition);
    const std::string& directory() const { return m_directory; }
    void keepDirectory() { m_keepDirectory = true; }

protected:
    process_group();
    ~process_group();
    void add(const std::string& name, std::vector<std::string> arguments);
    void spawn(const std::string& name);
    void spawnAll();

private:
    struct process {
        std::vector<std::string> arguments;
        pid_t pid = -1;
    };
    std::string m_directory;
    std::map<std::string, process> m_processes;
    bool m_keepDirectory = false;
};

} // namespace camphorwell
