// The net library: an event loop, an HTTP server and client, and links between instances.
//
//   event_loop loop;
//   http_server server(loop, limits, [](http_request request, std::shared_ptr<http_reply> reply) {
//       reply->send(200, {}, "hello\n");
//   });
//   server.listen("127.0.0.1", 8080);
//   loop.run();
//
// The loop is libevent's. HTTP servers and clients use evhttp, links between instances use websocketpp on
// bufferevents. Bodies, queues and send buffers are bounded: an oversized request body is discarded and
// marked, and a call or message over a bound fails.
//
// Units: durations in milliseconds, sizes in bytes. Errors: `listen` returns a leaf result with an
// `e_net`. Threading: everything runs on the loop's thread.
#pragma once

#include "base/base.h"
#include "net/connection/peer_hub.h"

#include <map>
#include <memory>
#include <set>

struct event_base;
struct event;

namespace camphorwell {

// A network error: what failed, where, and with which value.
struct e_net {
    std::string message;
};

// An event loop on libevent with timers and signal handlers. The process ignores SIGPIPE from its
// construction on.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Dispatches events until `stop` is called.
    void run();
    void stop();
    // Calls `handler` every `ms` until the loop is destroyed.
    void every(int64_t ms, std::function<void()> handler);
    // Calls `handler` once after `ms`.
    void after(int64_t ms, std::function<void()> handler);
    // Calls `handler` whenever the process receives `number`.
    void onSignal(int number, std::function<void()> handler);
    event_base* base() const { return m_base; }
    static instant now(); // Time of the monotonic clock.

private:
    struct event_registration;
    event_base* m_base;
    std::vector<std::unique_ptr<event_registration>> m_registrations;
};

// A received request.
struct http_request {
    std::string method;
    std::string path;
    std::string query; // Without the question mark.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    bool oversized = false; // The body exceeded `maxBodyBytes` and was discarded.
    // Value of the header with this name in lower case, or nullptr.
    const std::string* header(const std::string& name) const;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

// Sends the response to one request. It may outlive the handler's call; a response to a caller that has
// disconnected is dropped.
class http_reply {
public:
    virtual ~http_reply() = default;
    // Sends the response; further calls have no effect.
    virtual void send(int status, const header_list&, const std::string& body) = 0;
    // Whether the caller has disconnected; also true once a response was sent.
    virtual bool callerDisconnected() const = 0;
};

// Whether `host` is an IP address. The name of a host would be resolved by a call that blocks the loop.
bool isNumericAddress(const std::string& host);

struct http_limits {
    size_t maxBodyBytes = 65536;
    int64_t idleTimeoutMs = 30'000; // Idle connections are closed after this; rounded down to seconds.
};

// Accepts HTTP requests and passes each to the handler.
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

// The response to a call.
struct http_response {
    int status = 0; // HTTP status; 0 if no response was received or the call was not sent.
    std::string body;
};

// Calls one server over a pool of persistent connections.
class http_client {
public:
    using handler = std::function<void(const http_response&)>;
    http_client(event_loop&, std::string address, uint16_t port, size_t maxConnections,
        int64_t maxWaitMs = INT64_MAX);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Calls `handler` with the response, possibly before `call` returns, and not at all if the client is
    // destroyed first. `timeoutMs` does not include the wait for a free connection; it bounds the whole call
    // if the client has a maximum for that wait, else opening the connection and each wait for bytes. A call
    // with a header that cannot be sent, such as one with a line break, gets no response, nor does one that
    // has waited for longer than the maximum of the client; it is not sent.
    void call(const std::string& method, const std::string& path, const header_list&, std::string body,
        int64_t timeoutMs, handler);
    // Ends all calls without a response and closes their connections.
    void endCalls();

    struct state;

private:
    std::shared_ptr<state> m_state;
};

// How a call ended, as far as it tells whether its server serves this process.
enum class call_result : uint8_t {
    served,
    refused, // The server answered and did nothing.
    no_answer
};

// Measures how well a server answers the calls that are made to it.
class call_monitor {
public:
    call_monitor();
    // Starts the measurement of a call that the server may hold back for `waitMs`, and that is overdue after
    // `dueAfterMs`. The returned function ends it; it must not outlive the monitor.
    using finish_handler = std::function<void(call_result)>;
    finish_handler begin(int64_t waitMs, int64_t dueAfterMs);
    // Number of calls made.
    uint64_t calls() const { return m_calls; }
    // Time for which no call has been served: since the first unserved call was due, or since the last served
    // call if that is later; 0 if no call is overdue.
    int64_t unresponsiveMs() const;
    // Highest latency of a recent answer, without the time for which it was held back; 0 if unknown.
    int64_t recentMaxLatencyMs() const;
    // Time since the last served call, or since construction if no call has been served.
    int64_t answerAgeMs() const;

private:
    void recordLatency(int64_t latency);
    uint64_t m_calls = 0;
    std::multiset<int64_t> m_pendingDueAt; // Due times of the calls in progress.
    int64_t m_maxLatency = 0; // Highest recent latency.
    int64_t m_maxLatencyAt = 0; // Time of the answer with that latency.
    int64_t m_unservedSince = 0; // Due time of the first failed call since the last served one; 0 if none.
    int64_t m_lastServedAt; // Time of the last served call, initially of the construction.
};

} // namespace camphorwell
