// The net library: one libevent loop, HTTP on both sides, and links between instances.
//
//   event_loop loop;
//   http_server server(loop, limits, [](http_request asked, std::shared_ptr<http_reply> reply) {
//       reply->send(200, {}, "hello\n");
//   });
//   server.listen("127.0.0.1", 8080);
//   loop.run();
//
// HTTP servers and clients use evhttp, and links between instances websocketpp on a bufferevent.
// Bodies, queues and send buffers are bounded; what exceeds a bound is refused and counted.
//
// Units: durations in milliseconds, sizes in bytes. Errors: `listen` returns a leaf result with an
// `e_net` that says what and where. Threading: everything runs on the loop's thread.
#pragma once

#include "base/base.h"
#include "net/connection/peer_hub.h"

#include <map>
#include <memory>

struct event_base;
struct event;

namespace camphorwell {

// What failed, where, and which value.
struct e_net {
    std::string message;
};

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void run();
    void stop();
    // Calls `handler` every `ms` until the loop is destroyed.
    void every(int64_t ms, std::function<void()> handler);
    // Calls `handler` once after `ms`.
    void after(int64_t ms, std::function<void()> handler);
    // Calls `handler` whenever the process receives `number`.
    void onSignal(int number, std::function<void()> handler);
    event_base* base() const { return m_base; }
    static instant now(); // The monotonic clock.

private:
    struct event_registration;
    event_base* m_base;
    std::vector<std::unique_ptr<event_registration>> m_registrations;
};

struct http_request {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    bool oversized = false; // The body exceeded the limit and was dropped.
    const std::string* header(const std::string& name) const;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

// The way back to one caller. It may outlive the request; answers to a caller who is gone are dropped.
class http_reply {
public:
    virtual ~http_reply() = default;
    virtual void send(int status, const header_list&, const std::string& body) = 0;
    virtual bool callerDisconnected() const = 0;
};

struct http_limits {
    size_t maxBodyBytes = 65536;
    int64_t idleTimeoutMs = 30'000; // A connection without traffic is closed after this.
};

class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_reply>)>;
    http_server(event_loop&, http_limits, handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    result<void> listen(const std::string& address, uint16_t port);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

struct http_response {
    int status = 0; // 0 when the call failed without an answer.
    std::string body;
};

// Calls one server over a pool of kept connections.
class http_client {
public:
    using handler = std::function<void(const http_response&)>;
    http_client(event_loop&, std::string address, uint16_t port, size_t maxConnections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    void call(const std::string& method, const std::string& path, const header_list&, std::string body,
        int64_t timeoutMs, handler);

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace camphorwell
