// See deployment.h.
#include "tests/process/deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace camphorwell {

namespace {

    using nlohmann::json;
    using std::chrono::steady_clock;

    constexpr int64_t startTimeoutMs = 20'000;
    constexpr int64_t pollIntervalMs = 20;

    void sleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

    int connectTo(uint16_t port)
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            close(fd);
            return -1;
        }
        return fd;
    }

    // Returns true when `bytes` holds a complete HTTP response with a Content-Length.
    bool isCompleteResponse(const std::string& bytes)
    {
        size_t end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        size_t length = bytes.find("Content-Length: ");
        if (length == std::string::npos || length > end)
            return false;
        return bytes.size() >= end + 4 + std::strtoull(bytes.c_str() + length + 16, nullptr, 10);
    }

    std::string programPath(const std::string& name)
    {
        const char* directory = std::getenv("CAMPHORWELL_BIN");
        return std::string(directory ? directory : ".") + "/" + name;
    }

} // namespace

std::string raw_answer::body() const
{
    size_t end = bytes.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : bytes.substr(end + 4);
}

deployment::deployment(deployment_options options)
    : m_options(std::move(options))
{
    char name[] = "/tmp/camphorwell-test-XXXXXX";
    m_directory = mkdtemp(name);
    uint16_t port = m_options.firstPort;
    process platform;
    platform.port = port++;
    platform.arguments = { programPath("camphorwell-standin-platform"), "--port",
        std::to_string(platform.port), "--lag-ms", std::to_string(m_options.listLagMs) };
    m_processes["platform"] = platform;
    for (const auto& centre : m_options.dataCentres) {
        for (int i = 1; i <= m_options.workers; i++) {
            process worker;
            std::string id = centre + "-w" + std::to_string(i);
            worker.port = port++;
            worker.dataCentre = centre;
            worker.arguments = { programPath("camphorwell-standin-worker"), "--id", id, "--dc", centre,
                "--port", std::to_string(worker.port), "--platform-port", std::to_string(platform.port) };
            m_processes[id] = worker;
        }
        for (int i = 1; i <= m_options.instances; i++) {
            process entry;
            std::string id = centre + "-" + std::to_string(i);
            entry.port = port++;
            m_peerPorts[id] = port++;
            entry.dataCentre = centre;
            entry.arguments
                = { programPath("camphorwell-entry"), "--settings", m_directory + "/" + id + ".json" };
            m_processes[id] = entry;
        }
    }
    for (const auto& [id, peerPort] : m_peerPorts)
        writeSettings(id, m_processes[id], peerPort);
}

deployment::~deployment()
{
    for (auto& [name, each] : m_processes) {
        if (each.pid > 0) {
            ::kill(each.pid, SIGKILL);
            waitpid(each.pid, nullptr, 0);
        }
    }
    if (!std::getenv("CAMPHORWELL_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

void deployment::writeSettings(const std::string& instance, const process& entry, uint16_t peerPort)
{
    json settings = { { "instance", instance }, { "data_centre", entry.dataCentre },
        { "http", { { "address", "127.0.0.1" }, { "port", entry.port }, { "idle_ms", 5000 } } },
        { "peer", { { "address", "127.0.0.1" }, { "port", peerPort }, { "key", "key-for-the-tests-only" } } },
        { "platform", { { "address", "127.0.0.1" }, { "port", platformPort() } } },
        { "peers", json::array() },
        { "timing",
            { { "lease_ms", m_options.leaseMs }, { "renew_ms", m_options.leaseMs * 3 / 10 },
                { "task_lease_ms", m_options.leaseMs * 4 }, { "log_poll_ms", 200 },
                { "call_timeout_ms", m_options.leaseMs / 2 }, { "list_drop_ms", 2000 } } } };
    for (const auto& [id, port] : m_peerPorts) {
        if (id != instance)
            settings["peers"].push_back(
                { { "instance", id }, { "data_centre", m_processes.at(id).dataCentre },
                    { "address", "127.0.0.1" }, { "port", port } });
    }
    std::ofstream(m_directory + "/" + instance + ".json") << settings.dump(2);
}

void deployment::spawn(const std::string& name)
{
    process& each = m_processes.at(name);
    std::vector<char*> arguments;
    for (auto& argument : each.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    std::string log = m_directory + "/" + name + ".log";
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    int failed = posix_spawn(&each.pid, arguments[0], &files, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed)
        each.pid = -1;
}

bool deployment::waitUntil(int64_t timeoutMs, const std::function<bool()>& condition)
{
    auto end = steady_clock::now() + milliseconds(timeoutMs);
    while (steady_clock::now() < end) {
        if (condition())
            return true;
        sleepMs(pollIntervalMs);
    }
    return condition();
}

bool deployment::ready(const std::string& instance)
{
    return call(entryPort(instance), "GET", "/readyz").status == 200;
}

bool deployment::viewComplete(const std::string& instance)
{
    json status = getJson(entryPort(instance), "/v1/status");
    return status.is_object() && status.value("closed", false)
        && status["members"].size() == static_cast<size_t>(m_options.instances);
}

bool deployment::start(const json& entries)
{
    for (const auto& [name, each] : m_processes)
        spawn(name);
    std::string first = instances().front();
    bool joined = waitUntil(startTimeoutMs, [&] {
        auto all = instances();
        return std::all_of(all.begin(), all.end(), [&](const auto& each) { return viewComplete(each); });
    });
    if (!joined)
        return false;
    for (const auto& entry : entries) {
        auto answer = call(entryPort(first), "PUT", "/v1/catalogue/" + entry["name"].get<std::string>(),
            { { "If-Match", "\"0\"" } }, entry.dump());
        if (answer.status != 200)
            return false;
    }
    return waitUntil(startTimeoutMs, [&] {
        for (const auto& each : instances()) {
            json listed = getJson(entryPort(each), "/v1/catalogue");
            if (!listed.is_object() || listed["entries"].size() != entries.size() || !ready(each))
                return false;
        }
        return true;
    });
}

raw_answer deployment::send(uint16_t port, const std::string& bytes, int64_t timeoutMs)
{
    raw_answer out;
    int fd = connectTo(port);
    if (fd < 0)
        return out;
    out.connected = true;
    size_t sent = 0;
    auto end = steady_clock::now() + milliseconds(timeoutMs);
    while (sent < bytes.size()) {
        ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += static_cast<size_t>(count);
    }
    while (steady_clock::now() < end && !isCompleteResponse(out.bytes)) {
        pollfd waiting { fd, POLLIN, 0 };
        if (poll(&waiting, 1, 50) <= 0)
            continue;
        char buffer[65536];
        ssize_t count = recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        out.bytes.append(buffer, static_cast<size_t>(count));
    }
    close(fd);
    if (out.bytes.compare(0, 9, "HTTP/1.1 ") == 0)
        out.status = std::atoi(out.bytes.c_str() + 9);
    return out;
}

raw_answer deployment::call(uint16_t port, const std::string& method, const std::string& path,
    const header_list& headers, const std::string& body, int64_t timeoutMs)
{
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: camphorwell\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    if (method != "GET")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return send(port, bytes + "\r\n" + body, timeoutMs);
}

void deployment::sendAndClose(uint16_t port, const std::string& bytes, int64_t openMs)
{
    int fd = connectTo(port);
    if (fd < 0)
        return;
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    sleepMs(openMs);
    close(fd);
}

json deployment::getJson(uint16_t port, const std::string& path)
{
    return json::parse(call(port, "GET", path, {}, {}, 2000).body(), nullptr, false);
}

uint16_t deployment::entryPort(const std::string& instance) const { return m_processes.at(instance).port; }
uint16_t deployment::workerPort(const std::string& worker) const { return m_processes.at(worker).port; }

std::vector<std::string> deployment::instances() const
{
    std::vector<std::string> out;
    for (const auto& [id, port] : m_peerPorts)
        out.push_back(id);
    return out;
}

std::vector<std::string> deployment::workers() const
{
    std::vector<std::string> out;
    for (const auto& [name, each] : m_processes) {
        if (name != "platform" && !m_peerPorts.count(name))
            out.push_back(name);
    }
    return out;
}

void deployment::signal(const std::string& name, int number) { ::kill(m_processes.at(name).pid, number); }

void deployment::kill(const std::string& name)
{
    process& each = m_processes.at(name);
    ::kill(each.pid, SIGKILL);
    waitpid(each.pid, nullptr, 0);
    each.pid = -1;
}

void deployment::restart(const std::string& name) { spawn(name); }

int deployment::waitExit(const std::string& name, int64_t timeoutMs)
{
    process& each = m_processes.at(name);
    int status = 0;
    bool ended = waitUntil(timeoutMs, [&] { return waitpid(each.pid, &status, WNOHANG) == each.pid; });
    if (!ended)
        return -1;
    each.pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void deployment::setPlatform(const json& admin) { call(platformPort(), "POST", "/admin", {}, admin.dump()); }

void deployment::setWorker(const std::string& worker, const json& admin)
{
    call(workerPort(worker), "POST", "/admin", {}, admin.dump());
}

json deployment::history()
{
    json out = json::array();
    for (const auto& worker : workers()) {
        json runs = getJson(workerPort(worker), "/history");
        for (auto& run : runs)
            out.push_back(run);
    }
    return out;
}

std::string workIdOf(const raw_answer& answer)
{
    size_t at = answer.bytes.find("X-Work-Id: ");
    if (at == std::string::npos)
        return {};
    size_t end = answer.bytes.find("\r\n", at);
    return answer.bytes.substr(at + 11, end - at - 11);
}

std::vector<std::string> executionViolations(const json& history)
{
    std::map<std::string, std::vector<json>> byWork;
    for (const auto& run : history)
        byWork[run["id"].get<std::string>()].push_back(run);
    std::vector<std::string> out;
    for (auto& [id, runs] : byWork) {
        std::sort(runs.begin(), runs.end(), [](const json& a, const json& b) {
            return a["start_us"].get<int64_t>() < b["start_us"].get<int64_t>();
        });
        for (size_t i = 0; i + 1 < runs.size(); i++) {
            bool overlap = !runs[i].contains("end_us")
                || runs[i]["end_us"].get<int64_t>() > runs[i + 1]["start_us"].get<int64_t>();
            if (overlap)
                out.push_back("runs of " + id + " overlap: " + json(runs).dump());
            if (runs[i]["state"] == "done")
                out.push_back(id + " ran after it was done: " + json(runs).dump());
        }
    }
    return out;
}

} // namespace camphorwell
