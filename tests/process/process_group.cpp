// See process_group.h.
#include "tests/process/process_group.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
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

    constexpr int64_t pollIntervalMs = 20;
    constexpr int64_t connectTimeoutMs = 8000; // Of connections that are closed without an answer.

    void sleepMs(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

    int connectTo(uint16_t port, int64_t timeoutMs)
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        // Also bounds the connection to a stopped process whose queue of connections is full.
        timeval limit { timeoutMs / 1000, timeoutMs % 1000 * 1000 };
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
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

} // namespace

std::string raw_answer::body() const
{
    size_t end = bytes.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : bytes.substr(end + 4);
}

std::string programPath(const std::string& name)
{
    const char* directory = std::getenv("CAMPHORWELL_BIN");
    return std::string(directory ? directory : ".") + "/" + name;
}

process_group::process_group()
{
    char name[] = "/tmp/camphorwell-test-XXXXXX";
    m_directory = mkdtemp(name);
}

process_group::~process_group()
{
    for (auto& [name, each] : m_processes) {
        if (each.pid > 0) {
            ::kill(each.pid, SIGKILL);
            waitpid(each.pid, nullptr, 0);
        }
    }
    if (!m_keepDirectory && !std::getenv("CAMPHORWELL_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

void process_group::add(const std::string& name, std::vector<std::string> arguments)
{
    m_processes[name] = { std::move(arguments), -1 };
}

void process_group::spawn(const std::string& name)
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

void process_group::spawnAll()
{
    for (const auto& [name, each] : m_processes)
        spawn(name);
}

bool process_group::waitUntil(int64_t timeoutMs, const std::function<bool()>& condition)
{
    auto end = steady_clock::now() + milliseconds(timeoutMs);
    while (steady_clock::now() < end) {
        if (condition())
            return true;
        sleepMs(pollIntervalMs);
    }
    return condition();
}

raw_answer process_group::send(uint16_t port, const std::string& bytes, int64_t timeoutMs)
{
    raw_answer out;
    int fd = connectTo(port, timeoutMs);
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

raw_answer process_group::call(uint16_t port, const std::string& method, const std::string& path,
    const header_list& headers, const std::string& body, int64_t timeoutMs)
{
    std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: camphorwell\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    if (method != "GET")
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return send(port, bytes + "\r\n" + body, timeoutMs);
}

void process_group::sendAndClose(uint16_t port, const std::string& bytes, int64_t openMs)
{
    int fd = connectTo(port, connectTimeoutMs);
    if (fd < 0)
        return;
    ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    sleepMs(openMs);
    close(fd);
}

json process_group::getJson(uint16_t port, const std::string& path)
{
    return json::parse(call(port, "GET", path, {}, {}, 2000).body(), nullptr, false);
}

void process_group::signal(const std::string& name, int number)
{
    if (pid_t pid = m_processes.at(name).pid; pid > 0)
        ::kill(pid, number);
}

void process_group::kill(const std::string& name)
{
    process& each = m_processes.at(name);
    if (each.pid <= 0)
        return;
    ::kill(each.pid, SIGKILL);
    waitpid(each.pid, nullptr, 0);
    each.pid = -1;
}

void process_group::restart(const std::string& name) { spawn(name); }

int process_group::waitExit(const std::string& name, int64_t timeoutMs)
{
    process& each = m_processes.at(name);
    int status = 0;
    if (each.pid <= 0)
        return -1;
    bool ended = waitUntil(timeoutMs, [&] { return waitpid(each.pid, &status, WNOHANG) == each.pid; });
    if (!ended)
        return -1;
    each.pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool process_group::running(const std::string& name)
{
    process& each = m_processes.at(name);
    if (each.pid > 0 && waitpid(each.pid, nullptr, WNOHANG) == each.pid)
        each.pid = -1;
    return each.pid > 0;
}

} // namespace camphorwell
