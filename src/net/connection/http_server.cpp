// The HTTP server on evhttp.
//
// A response that is not ready when the handler returns may be sent later; the connection stays open for it.
// A body over the limit is read up to a second bound and discarded, so that the caller gets a response
// instead of a closed connection. libevhtp is not used: its parser adds a byte to a path that is split
// between two TCP segments.
#include "net/net.h"

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

struct http_server::state {
    event_loop& loop;
    http_limits limits;
    handler onRequest;
    evhttp* server = nullptr;
};

namespace {

    constexpr size_t maxDiscardedBytes = 1 << 20; // Read and discarded beyond the limit of a body.
    constexpr ev_ssize_t maxHeaderBytes = 64 << 10;
    constexpr uint16_t allMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
        | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE | EVHTTP_REQ_CONNECT | EVHTTP_REQ_PATCH;

    class evhttp_reply : public http_reply, public std::enable_shared_from_this<evhttp_reply> {
    public:
        explicit evhttp_reply(evhttp_request* request)
            : m_request(request)
        {
        }

        // Keeps this object alive until the response is sent or the connection closes.
        void attach()
        {
            m_self = shared_from_this();
            evhttp_connection_set_closecb(evhttp_request_get_connection(m_request), onConnectionClosed, this);
        }

        void send(int status, const header_list& headers, const std::string& body) override
        {
            if (!m_request)
                return;
            evhttp_request* request = m_request;
            auto self = detach();
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
            auto* out = evhttp_request_get_output_headers(request);
            for (const auto& [name, value] : headers)
                evhttp_add_header(out, name.c_str(), value.c_str());
            if (!body.empty() && !evhttp_find_header(out, "Content-Type"))
                evhttp_add_header(out, "Content-Type", "text/plain");
            evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
            evhttp_send_reply(request, status, nullptr, nullptr);
        }

        bool callerDisconnected() const override { return !m_request || m_callerClosed; }

        // evhttp does not read while a response is pending, so it would not detect a disconnection.
        void watchForClose(event_base* base)
        {
            bufferevent* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_request));
            m_closeEvent = event_new(base, bufferevent_getfd(stream), EV_CLOSED, onCallerClosed, this);
            event_add(m_closeEvent, nullptr);
        }

    private:
        std::shared_ptr<evhttp_reply> detach()
        {
            if (m_closeEvent)
                event_free(m_closeEvent);
            m_closeEvent = nullptr;
            m_request = nullptr;
            return std::move(m_self);
        }
        static void onCallerClosed(evutil_socket_t, short, void* arg)
        {
            static_cast<evhttp_reply*>(arg)->m_callerClosed = true;
        }
        static void onConnectionClosed(evhttp_connection*, void* arg)
        {
            auto self = static_cast<evhttp_reply*>(arg)->detach();
        }

        evhttp_request* m_request;
        event* m_closeEvent = nullptr;
        bool m_callerClosed = false; // The caller has closed its end of the connection.
        std::shared_ptr<evhttp_reply> m_self;
    };

    const char* methodName(evhttp_request* request)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        default:
            return "OTHER";
        }
    }

    std::string toLower(std::string text)
    {
        std::transform(
            text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    void onRequest(evhttp_request* rawRequest, void* arg)
    {
        auto* server = static_cast<http_server::state*>(arg);
        http_request request;
        request.method = methodName(rawRequest);
        if (const evhttp_uri* uri = evhttp_request_get_evhttp_uri(rawRequest)) {
            if (const char* path = evhttp_uri_get_path(uri))
                request.path = path;
            if (const char* query = evhttp_uri_get_query(uri))
                request.query = query;
        }
        evkeyval* header = nullptr;
        for (header = evhttp_request_get_input_headers(rawRequest)->tqh_first; header;
             header = header->next.tqe_next)
            request.headers[toLower(header->key)] = header->value;
        evbuffer* input = evhttp_request_get_input_buffer(rawRequest);
        size_t length = evbuffer_get_length(input);
        request.oversized = length > server->limits.maxBodyBytes;
        if (request.oversized) {
            evbuffer_drain(input, length);
        } else if (length > 0) {
            request.body.resize(length);
            evbuffer_remove(input, request.body.data(), length);
        }
        auto reply = std::make_shared<evhttp_reply>(rawRequest);
        reply->attach();
        server->onRequest(std::move(request), reply);
        if (!reply->callerDisconnected())
            reply->watchForClose(server->loop.base());
    }

    bufferevent* onConnection(event_base* base, void*)
    {
        return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    }

} // namespace

const std::string* http_request::header(const std::string& name) const
{
    auto found = headers.find(name);
    return found == headers.end() ? nullptr : &found->second;
}

http_server::http_server(event_loop& loop, http_limits limits, handler onRequestHandler)
    : m_state(new state { loop, limits, std::move(onRequestHandler), nullptr })
{
    m_state->server = evhttp_new(loop.base());
    evhttp_set_gencb(m_state->server, onRequest, m_state.get());
    evhttp_set_bevcb(m_state->server, onConnection, nullptr);
    evhttp_set_allowed_methods(m_state->server, allMethods);
    evhttp_set_max_headers_size(m_state->server, maxHeaderBytes);
    evhttp_set_max_body_size(
        m_state->server, static_cast<ev_ssize_t>(limits.maxBodyBytes + maxDiscardedBytes));
    timeval idle {};
    idle.tv_sec = limits.idleTimeoutMs / 1000;
    evhttp_set_timeout_tv(m_state->server, &idle);
}

http_server::~http_server() { evhttp_free(m_state->server); }

result<void> http_server::listen(const std::string& address, uint16_t port)
{
    if (!evhttp_bind_socket_with_handle(m_state->server, address.c_str(), port))
        return boost::leaf::new_error(e_net { "cannot listen on " + address + ":" + std::to_string(port) });
    return {};
}

} // namespace camphorwell
