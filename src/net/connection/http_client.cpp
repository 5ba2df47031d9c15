// The HTTP client on evhttp: a pool of kept connections to one server.
//
// A call takes the idle connection that was used last, or opens one; when all are busy it waits in a bounded
// queue. So the connections that few calls need fall idle and are closed after a while. A connection whose
// call got no answer is closed, and with it those that are idle and older than the call: what silenced one
// may have silenced all.
#include "net/net.h"

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

    constexpr size_t maxWaiting = 10'000; // Calls that wait for a connection.
    constexpr size_t maxAnswerBytes = 64u << 20;
    constexpr timeval idleLimit { 20, 0 }; // Longer than any pause between calls to a server in use.

} // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    struct job {
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::string path;
        header_list headers;
        std::string body;
        int64_t timeoutMs = 0;
        handler done;
    };
    struct connection {
        evhttp_connection* raw = nullptr;
        bool busy = false;
        int tunedSocket = -1; // On which small messages are sent at once.
        uint64_t callNumber = 0; // Of its latest call.
        uint64_t openedBefore = 0; // Number of the first call after it was opened.
        std::weak_ptr<state> owner;
        handler done;
    };

    state(event_loop& eventLoop, std::string host, uint16_t portNumber, size_t limit)
        : loop(eventLoop)
        , address(std::move(host))
        , port(portNumber)
        , maxConnections(limit)
    {
    }

    ~state()
    {
        for (auto& each : connections) {
            each->done = nullptr;
            evhttp_connection_free(each->raw);
        }
    }

    connection* idleConnection()
    {
        connection* latest = nullptr;
        for (auto& each : connections) {
            if (!each->busy && (!latest || each->callNumber > latest->callNumber))
                latest = each.get();
        }
        if (latest || connections.size() >= maxConnections)
            return latest;
        auto created = std::make_unique<connection>();
        created->raw = evhttp_connection_base_new(loop.base(), nullptr, address.c_str(), port);
        evhttp_connection_set_retries(created->raw, 0);
        evhttp_connection_set_max_body_size(created->raw, static_cast<ev_ssize_t>(maxAnswerBytes));
        created->owner = weak_from_this();
        created->openedBefore = calls + 1;
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

    void start(connection* via, job work)
    {
        via->busy = true;
        via->callNumber = ++calls;
        via->done = std::move(work.done);
        evhttp_request* raw = evhttp_request_new(onDone, via);
        auto* headers = evhttp_request_get_output_headers(raw);
        evhttp_add_header(headers, "Host", address.c_str());
        for (const auto& [name, value] : work.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        // The length of an empty POST is announced too.
        if (work.method != EVHTTP_REQ_GET)
            evhttp_add_header(headers, "Content-Length", std::to_string(work.body.size()).c_str());
        evbuffer_add(evhttp_request_get_output_buffer(raw), work.body.data(), work.body.size());
        timeval limit {};
        limit.tv_sec = work.timeoutMs / 1000;
        limit.tv_usec = (work.timeoutMs % 1000) * 1000;
        evhttp_connection_set_timeout_tv(via->raw, &limit);
        auto keep = shared_from_this();
        if (evhttp_make_request(via->raw, raw, work.method, work.path.c_str()) != 0) {
            handler done = std::move(via->done);
            discard(via);
            if (done)
                done({});
            return;
        }
        bufferevent* bev = evhttp_connection_get_bufferevent(via->raw);
        int fd = bev ? bufferevent_getfd(bev) : -1;
        if (fd < 0 || fd == via->tunedSocket)
            return;
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        via->tunedSocket = fd;
    }

    static void onDone(evhttp_request* raw, void* arg)
    {
        auto* via = static_cast<connection*>(arg);
        auto owner = via->owner.lock();
        handler done = std::move(via->done);
        via->done = nullptr;
        if (!owner)
            return;
        http_response answer;
        if (raw)
            answer.status = evhttp_request_get_response_code(raw);
        if (answer.status != 0) {
            evbuffer* input = evhttp_request_get_input_buffer(raw);
            answer.body.resize(evbuffer_get_length(input));
            evbuffer_copyout(input, answer.body.data(), answer.body.size());
        }
        if (answer.status == 0) {
            owner->discardIdle(via->callNumber);
            owner->discard(via);
        } else {
            via->busy = false;
            evhttp_connection_set_timeout_tv(via->raw, &idleLimit);
        }
        if (done)
            done(answer);
        owner->startWaiting();
    }

    // Closes the idle connections that were open when the call was made.
    void discardIdle(uint64_t callNumber)
    {
        std::vector<connection*> old;
        for (const auto& each : connections) {
            if (!each->busy && each->openedBefore <= callNumber)
                old.push_back(each.get());
        }
        for (connection* each : old)
            discard(each);
    }

    // Frees the connection after the current callback.
    void discard(connection* via)
    {
        auto found = std::find_if(
            connections.begin(), connections.end(), [&](const auto& each) { return each.get() == via; });
        if (found == connections.end())
            return;
        std::shared_ptr<connection> ending = std::move(*found);
        connections.erase(found);
        loop.after(0, [ending] { evhttp_connection_free(ending->raw); });
    }

    void startWaiting()
    {
        while (!waiting.empty()) {
            connection* via = idleConnection();
            if (!via)
                return;
            job next = std::move(waiting.front());
            waiting.pop_front();
            start(via, std::move(next));
        }
    }

    event_loop& loop;
    std::string address;
    uint16_t port;
    size_t maxConnections;
    std::vector<std::unique_ptr<connection>> connections;
    std::deque<job> waiting;
    uint64_t calls = 0; // Started so far.
};

http_client::http_client(event_loop& loop, std::string address, uint16_t port, size_t maxConnections)
    : m_state(std::make_shared<state>(loop, std::move(address), port, maxConnections))
{
}

http_client::~http_client() = default;

void http_client::call(const std::string& method, const std::string& path, const header_list& headers,
    std::string body, int64_t timeoutMs, handler done)
{
    state::job work { state::command(method), path, headers, std::move(body), timeoutMs, std::move(done) };
    if (state::connection* via = m_state->idleConnection()) {
        m_state->start(via, std::move(work));
        return;
    }
    if (m_state->waiting.size() >= maxWaiting) {
        work.done({});
        return;
    }
    m_state->waiting.push_back(std::move(work));
}

} // namespace camphorwell
