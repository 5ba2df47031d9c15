// The HTTP server on libevhtp.
//
// A request whose answer is not ready when its handler returns is paused and resumed with the answer. A body
// over the limit is drained as it arrives, so that the caller gets an answer instead of a closed connection
// and no memory is held for it.
#include "net/net.h"

#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace camphorwell {

struct http_server::state {
    event_loop& loop;
    http_limits limits;
    handler onRequest;
    evhtp_t* server = nullptr;
};

namespace {

    // evhtp takes every hook as a function without parameters.
    template <typename Function> evhtp_hook asHook(Function* hook)
    {
        return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
    }

    // Lives as long as its evhtp request.
    struct request_state {
        bool oversized = false;
        std::shared_ptr<class evhtp_reply> reply;
    };

    class evhtp_reply : public http_reply {
    public:
        explicit evhtp_reply(evhtp_request_t* request)
            : m_request(request)
        {
        }

        void send(int status, const header_list& headers, const std::string& body) override
        {
            if (!m_request || m_sent)
                return;
            m_sent = true;
            for (const auto& [name, value] : headers)
                evhtp_headers_add_header(
                    m_request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
            evbuffer_add(m_request->buffer_out, body.data(), body.size());
            if (m_paused)
                evhtp_request_resume(m_request);
            evhtp_send_reply(m_request, static_cast<evhtp_res>(status));
        }

        bool callerGone() const override { return !m_request; }
        void pauseUnlessSent()
        {
            if (m_sent)
                return;
            m_paused = true;
            evhtp_request_pause(m_request);
        }
        void detach() { m_request = nullptr; }

    private:
        evhtp_request_t* m_request;
        bool m_sent = false;
        bool m_paused = false;
    };

    int collectHeader(evhtp_kv_t* pair, void* arg)
    {
        auto& headers = *static_cast<std::map<std::string, std::string>*>(arg);
        std::string name(pair->key, pair->klen);
        std::transform(
            name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        headers[name] = std::string(pair->val, pair->vlen);
        return 0;
    }

    const char* methodName(evhtp_request_t* request)
    {
        switch (evhtp_request_get_method(request)) {
        case htp_method_GET:
            return "GET";
        case htp_method_POST:
            return "POST";
        case htp_method_PUT:
            return "PUT";
        case htp_method_DELETE:
            return "DELETE";
        case htp_method_HEAD:
            return "HEAD";
        default:
            return "OTHER";
        }
    }

    evhtp_res onFini(evhtp_request_t*, void* arg)
    {
        std::unique_ptr<request_state> own(static_cast<request_state*>(arg));
        if (own->reply)
            own->reply->detach();
        return EVHTP_RES_OK;
    }

    evhtp_res onBody(evhtp_request_t* request, evbuffer* incoming, void* arg)
    {
        auto* limits = static_cast<http_limits*>(arg);
        size_t total = evbuffer_get_length(request->buffer_in) + evbuffer_get_length(incoming);
        if (total <= limits->bodyBytes)
            return EVHTP_RES_OK;
        evbuffer_drain(incoming, evbuffer_get_length(incoming));
        evbuffer_drain(request->buffer_in, evbuffer_get_length(request->buffer_in));
        // One byte more than the limit can never arrive otherwise; it marks the request for the handler.
        std::string mark(limits->bodyBytes + 1, '\0');
        evbuffer_add(request->buffer_in, mark.data(), mark.size());
        return EVHTP_RES_OK;
    }

    evhtp_res onHeaders(evhtp_request_t* request, evhtp_headers_t*, void* arg)
    {
        evhtp_request_set_hook(request, evhtp_hook_on_read, asHook(onBody), arg);
        return EVHTP_RES_OK;
    }

    void onRequest(evhtp_request_t* raw, void* arg)
    {
        auto* server = static_cast<http_server::state*>(arg);
        auto own = std::make_unique<request_state>();
        auto reply = own->reply = std::make_shared<evhtp_reply>(raw);
        evhtp_request_set_hook(raw, evhtp_hook_on_request_fini, asHook(onFini), own.release());

        http_request asked;
        asked.method = methodName(raw);
        if (raw->uri && raw->uri->path && raw->uri->path->full)
            asked.path = raw->uri->path->full;
        if (raw->uri && raw->uri->query_raw)
            asked.query = reinterpret_cast<const char*>(raw->uri->query_raw);
        evhtp_kvs_for_each(raw->headers_in, collectHeader, &asked.headers);
        size_t length = evbuffer_get_length(raw->buffer_in);
        asked.oversized = length > server->limits.bodyBytes;
        if (!asked.oversized && length > 0) {
            asked.body.resize(length);
            evbuffer_remove(raw->buffer_in, asked.body.data(), length);
        }
        server->onRequest(std::move(asked), reply);
        if (!reply->callerGone())
            reply->pauseUnlessSent();
    }

    evhtp_res onAccepted(evhtp_connection_t* connection, void* arg)
    {
        auto* server = static_cast<http_server::state*>(arg);
        int one = 1;
        setsockopt(connection->sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        evhtp_connection_set_hook(connection, evhtp_hook_on_headers, asHook(onHeaders), &server->limits);
        return EVHTP_RES_OK;
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
    m_state->server = evhtp_new(loop.base(), nullptr);
    evhtp_set_gencb(m_state->server, onRequest, m_state.get());
    evhtp_set_post_accept_cb(m_state->server, onAccepted, m_state.get());
    timeval idle {};
    idle.tv_sec = limits.idleMs / 1000;
    evhtp_set_timeouts(m_state->server, &idle, &idle);
}

http_server::~http_server()
{
    evhtp_unbind_socket(m_state->server);
    evhtp_free(m_state->server);
}

result<void> http_server::listen(const std::string& address, uint16_t port)
{
    if (evhtp_bind_socket(m_state->server, ("ipv4:" + address).c_str(), port, 1024) != 0)
        return boost::leaf::new_error(e_net { "cannot listen on " + address + ":" + std::to_string(port) });
    return {};
}

} // namespace camphorwell
