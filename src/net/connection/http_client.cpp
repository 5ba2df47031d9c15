// The HTTP client on evhttp: a pool of persistent connections to one server.
//
// A call takes the most recently used idle connection, or opens one; when all are busy it waits in a bounded
// queue. Connections that the load does not need therefore stay idle and are closed after `idleTimeout`. A
// connection whose call got no response is closed together with the idle connections that were opened before
// that call, since the same fault may affect all of them.
//
// The timeout of evhttp holds for opening the connection and for each wait for bytes separately. A client
// with a maximum wait also ends the whole call after it, so that a call's latest end is known.
#include "net/net.h"

#include <arpa/inet.h>
#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr size_t maxWaitingCalls = 10'000; // Bound on calls that wait for a connection.
    constexpr size_t maxResponseBytes = 64u << 20;
    constexpr timeval idleTimeout { 20, 0 }; // Exceeds any pause between calls to a server in use.

} // namespace

bool isNumericAddress(const std::string& host)
{
    in6_addr parsed {}; // Also fits an IPv4 address.
    return host.find('\0') == std::string::npos
        && (inet_pton(AF_INET, host.c_str(), &parsed) == 1
            || inet_pton(AF_INET6, host.c_str(), &parsed) == 1);
}

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    struct pending_call {
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::string path;
        header_list headers;
        std::string body;
        int64_t timeoutMs = 0;
        handler callback;
        instant waitingSince {};
    };
    struct connection {
        evhttp_connection* handle = nullptr;
        bool busy = false;
        int configuredSocket = -1; // Socket with its options set; -1 after it was closed.
        uint64_t latestCall = 0; // Number of the latest call on this connection.
        uint64_t firstCall = 0; // Number of the first call after the connection was opened.
        std::weak_ptr<state> client;
        handler callback;
    };

    state(event_loop& eventLoop, std::string host, uint16_t portNumber, size_t limit, int64_t waitLimitMs)
        : loop(eventLoop)
        , address(std::move(host))
        , port(portNumber)
        , maxConnections(limit)
        , maxWaitMs(waitLimitMs)
    {
    }

    ~state()
    {
        for (auto& conn : connections) {
            conn->callback = nullptr;
            evhttp_connection_free(conn->handle);
        }
    }

    // The most recently used idle connection, else a new one; nullptr if all are busy.
    connection* idleConnection()
    {
        connection* latest = nullptr;
        for (auto& candidate : connections) {
            if (!candidate->busy && (!latest || candidate->latestCall > latest->latestCall))
                latest = candidate.get();
        }
        if (latest || connections.size() >= maxConnections)
            return latest;
        auto created = std::make_unique<connection>();
        created->handle = evhttp_connection_base_new(loop.base(), nullptr, address.c_str(), port);
        evhttp_connection_set_retries(created->handle, 0);
        evhttp_connection_set_max_body_size(created->handle, static_cast<ev_ssize_t>(maxResponseBytes));
        evhttp_connection_set_closecb(created->handle, onClosed, created.get());
        created->client = weak_from_this();
        created->firstCall = callCount + 1;
        connections.push_back(std::move(created));
        return connections.back().get();
    }

    static evhttp_cmd_type command(const std::string& method)
    {
        if (method == "GET")
            return EVHTTP_REQ_GET;
        if (method == "PUT")
            return EVHTTP_REQ_PUT;
        if (method == "DELETE")
            return EVHTTP_REQ_DELETE;
        return EVHTTP_REQ_POST;
    }

    // Returns false if a header has characters that a header cannot carry. The call must not be sent without
    // it, since the server would take it for another one.
    bool addHeaders(evhttp_request* request, const header_list& given) const
    {
        auto* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", address.c_str());
        return std::all_of(given.begin(), given.end(), [headers](const auto& header) {
            return header.second.find('\0') == std::string::npos
                && evhttp_add_header(headers, header.first.c_str(), header.second.c_str()) == 0;
        });
    }

    // Ends a call that was not sent.
    void failCall(connection* conn)
    {
        handler callback = std::move(conn->callback);
        closeLater(conn);
        if (callback)
            callback({});
    }

    void startCall(connection* conn, pending_call pending)
    {
        conn->busy = true;
        conn->latestCall = ++callCount;
        conn->callback = std::move(pending.callback);
        evhttp_request* request = evhttp_request_new(onDone, conn);
        if (!addHeaders(request, pending.headers)) {
            evhttp_request_free(request);
            failCall(conn);
            return;
        }
        auto* headers = evhttp_request_get_output_headers(request);
        // Announces the length of an empty body, too.
        if (pending.method != EVHTTP_REQ_GET)
            evhttp_add_header(headers, "Content-Length", std::to_string(pending.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), pending.body.data(), pending.body.size());
        timeval limit {};
        limit.tv_sec = pending.timeoutMs / 1000;
        limit.tv_usec = (pending.timeoutMs % 1000) * 1000;
        evhttp_connection_set_timeout_tv(conn->handle, &limit);
        auto self = shared_from_this();
        if (evhttp_make_request(conn->handle, request, pending.method, pending.path.c_str()) != 0) {
            failCall(conn);
            return;
        }
        if (maxWaitMs != INT64_MAX)
            loop.after(pending.timeoutMs, [client = weak_from_this(), call = conn->latestCall] {
                if (auto held = client.lock())
                    held->endOverdueCall(call);
            });
        bufferevent* bev = evhttp_connection_get_bufferevent(conn->handle);
        int fd = bev ? bufferevent_getfd(bev) : -1;
        if (fd < 0 || fd == conn->configuredSocket)
            return;
        int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        // Closing discards what the kernel has not delivered yet. It would go on for minutes, and deliver a
        // call that was given up once the network or the server is back.
        linger discard { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        conn->configuredSocket = fd;
    }

    static void onClosed(evhttp_connection*, void* arg)
    {
        static_cast<connection*>(arg)->configuredSocket = -1;
    }

    static void onDone(evhttp_request* request, void* arg)
    {
        auto* conn = static_cast<connection*>(arg);
        auto client = conn->client.lock();
        handler callback = std::move(conn->callback);
        conn->callback = nullptr;
        if (!client)
            return;
        http_response response;
        if (request)
            response.status = evhttp_request_get_response_code(request);
        if (response.status != 0) {
            evbuffer* input = evhttp_request_get_input_buffer(request);
            response.body.resize(evbuffer_get_length(input));
            evbuffer_copyout(input, response.body.data(), response.body.size());
        }
        if (response.status == 0) {
            client->closeOlderIdle(conn->latestCall);
            client->closeLater(conn);
        } else {
            conn->busy = false;
            evhttp_connection_set_timeout_tv(conn->handle, &idleTimeout);
        }
        if (callback)
            callback(response);
        client->startWaitingCalls();
    }

    void endOverdueCall(uint64_t call)
    {
        auto found = std::find_if(connections.begin(), connections.end(),
            [&](const auto& candidate) { return candidate->busy && candidate->latestCall == call; });
        if (found == connections.end())
            return;
        connection* overdue = found->get();
        closeOlderIdle(call);
        failCall(overdue);
        startWaitingCalls();
    }

    void endCalls()
    {
        std::deque<pending_call> notSent;
        notSent.swap(waiting);
        std::vector<connection*> busy;
        for (const auto& candidate : connections) {
            if (candidate->busy)
                busy.push_back(candidate.get());
        }
        // A handler may start new calls, on connections of their own.
        for (connection* conn : busy)
            failCall(conn);
        for (pending_call& pending : notSent)
            pending.callback({});
    }

    // Closes the idle connections that were open when the failed call started.
    void closeOlderIdle(uint64_t failedCall)
    {
        std::vector<connection*> toClose;
        for (const auto& candidate : connections) {
            if (!candidate->busy && candidate->firstCall <= failedCall)
                toClose.push_back(candidate.get());
        }
        for (connection* conn : toClose)
            closeLater(conn);
    }

    // Removes the connection from the pool and frees it after the current callback, which may still use it.
    void closeLater(connection* conn)
    {
        auto found = std::find_if(connections.begin(), connections.end(),
            [&](const auto& candidate) { return candidate.get() == conn; });
        if (found == connections.end())
            return;
        std::shared_ptr<connection> closed = std::move(*found);
        connections.erase(found);
        loop.after(0, [closed] { evhttp_connection_free(closed->handle); });
    }

    bool isOverdue(const pending_call& pending) const
    {
        return std::chrono::duration_cast<milliseconds>(event_loop::now() - pending.waitingSince).count()
            > maxWaitMs;
    }

    void dropOverdueCalls()
    {
        std::vector<pending_call> overdue;
        while (!waiting.empty() && isOverdue(waiting.front())) {
            overdue.push_back(std::move(waiting.front()));
            waiting.pop_front();
        }
        for (pending_call& pending : overdue)
            pending.callback({});
    }

    void startWaitingCalls()
    {
        dropOverdueCalls();
        while (!waiting.empty()) {
            connection* conn = idleConnection();
            if (!conn)
                return;
            pending_call next = std::move(waiting.front());
            waiting.pop_front();
            startCall(conn, std::move(next));
        }
    }

    event_loop& loop;
    std::string address;
    uint16_t port;
    size_t maxConnections;
    int64_t maxWaitMs;
    std::vector<std::unique_ptr<connection>> connections;
    std::deque<pending_call> waiting;
    uint64_t callCount = 0; // Calls started so far.
};

http_client::http_client(
    event_loop& loop, std::string address, uint16_t port, size_t maxConnections, int64_t maxWaitMs)
    : m_state(std::make_shared<state>(loop, std::move(address), port, maxConnections, maxWaitMs))
{
}

http_client::~http_client() = default;

void http_client::endCalls()
{
    auto held = m_state; // A handler may destroy the client.
    held->endCalls();
}

void http_client::call(const std::string& method, const std::string& path, const header_list& headers,
    std::string body, int64_t timeoutMs, handler callback)
{
    state::pending_call pending { state::command(method), path, headers, std::move(body), timeoutMs,
        std::move(callback) };
    if (state::connection* conn = m_state->idleConnection()) {
        m_state->startCall(conn, std::move(pending));
        return;
    }
    if (m_state->waiting.size() >= maxWaitingCalls) {
        pending.callback({});
        return;
    }
    pending.waitingSince = event_loop::now();
    m_state->waiting.push_back(std::move(pending));
}

} // namespace camphorwell
