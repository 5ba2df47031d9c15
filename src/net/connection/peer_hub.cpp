// See peer_hub.h. websocketpp implements the protocol; its input and output pass through bufferevents.
#include "net/connection/peer_hub.h"

#include <arpa/inet.h>
#include <chrono>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace camphorwell {

namespace {

    using server_type = websocketpp::server<websocketpp::config::core>;
    using client_type = websocketpp::client<websocketpp::config::core_client>;
    using std::chrono::steady_clock;
    using websocketpp::connection_hdl;

    constexpr const char* keyHeader = "X-Camphorwell-Key";
    constexpr const char* instanceHeader = "X-Camphorwell-Instance";
    constexpr const char* incarnationHeader = "X-Camphorwell-Incarnation";
    constexpr const char* dataCentreHeader = "X-Camphorwell-Data-Centre";
    constexpr int64_t handshakeTimeoutMs = 2000; // Limit on silence during the handshake.

    // Compares in time that does not depend on the contents.
    bool constantTimeEquals(const std::string& a, const std::string& b)
    {
        if (a.size() != b.size())
            return false;
        unsigned char difference = 0;
        for (size_t i = 0; i < a.size(); i++)
            difference |= static_cast<unsigned char>(a[i] ^ b[i]);
        return difference == 0;
    }

    bool parseAddress(const std::string& address, uint16_t port, sockaddr_in& out)
    {
        out = {};
        out.sin_family = AF_INET;
        out.sin_port = htons(port);
        return inet_pton(AF_INET, address.c_str(), &out.sin_addr) == 1;
    }

    int64_t elapsedMs(steady_clock::time_point since)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - since).count();
    }

} // namespace

struct peer_hub::state {
    // One connection, either incoming or outgoing.
    struct peer_link {
        peer_hub::state* hub = nullptr;
        bufferevent* bev = nullptr;
        server_type::connection_ptr incoming;
        client_type::connection_ptr outgoing;
        peer_identity peer;
        bool open = false;
        bool closing = false;
        steady_clock::time_point lastReceived = steady_clock::now();
        steady_clock::time_point lastPing = steady_clock::now();
        std::list<std::unique_ptr<peer_link>>::iterator self;

        void read(const char* data, size_t length)
        {
            lastReceived = steady_clock::now();
            if (incoming)
                incoming->read_all(data, length);
            else
                outgoing->read_all(data, length);
        }
        void ping()
        {
            lastPing = steady_clock::now();
            websocketpp::lib::error_code ec;
            if (incoming)
                incoming->ping("", ec);
            else
                outgoing->ping("", ec);
        }
    };
    // A peer to dial, and the current outgoing link to it, if any.
    struct dial_target {
        std::string address;
        uint16_t port = 0;
        peer_link* current = nullptr;
        steady_clock::time_point lastDial;
    };

    state(event_base* loop, peer_hub_options hubOptions, message_handler messageHandler,
        down_handler downHandler, fault_handler faultHandler)
        : base(loop)
        , options(std::move(hubOptions))
        , onMessage(std::move(messageHandler))
        , onDown(std::move(downHandler))
        , onFault(std::move(faultHandler))
    {
        server.clear_access_channels(websocketpp::log::alevel::all);
        server.clear_error_channels(websocketpp::log::elevel::all);
        client.clear_access_channels(websocketpp::log::alevel::all);
        client.clear_error_channels(websocketpp::log::elevel::all);
        server.set_max_message_size(options.maxMessageBytes);
        client.set_max_message_size(options.maxMessageBytes);
    }

    ~state()
    {
        for (auto& link : links)
            release(*link);
        links.clear();
        if (listener)
            evconnlistener_free(listener);
    }

    peer_link* makeLink(int fd)
    {
        links.push_back(std::make_unique<peer_link>());
        peer_link* link = links.back().get();
        link->self = std::prev(links.end());
        link->hub = this;
        link->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(link->bev, onRead, nullptr, onEvent, link);
        return link;
    }

    websocketpp::lib::error_code write(peer_link* link, const char* data, size_t length)
    {
        if (link->bev) {
            bufferevent_write(link->bev, data, length);
            bytesSent += length;
        }
        return {};
    }

    void accept(int fd)
    {
        int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        peer_link* link = makeLink(fd);
        link->incoming = server.get_connection();
        link->incoming->set_write_handler([this, link](connection_hdl, const char* data, size_t length) {
            return write(link, data, length);
        });
        link->incoming->set_validate_handler([this, link](connection_hdl) { return validate(*link); });
        link->incoming->set_open_handler([link](connection_hdl) { link->open = true; });
        link->incoming->set_close_handler([link](connection_hdl) { link->closing = true; });
        link->incoming->set_fail_handler([link](connection_hdl) { link->closing = true; });
        link->incoming->set_message_handler([this, link](connection_hdl, server_type::message_ptr message) {
            onMessage(link->peer, message->get_payload());
        });
        link->incoming->start();
        bufferevent_enable(link->bev, EV_READ | EV_WRITE);
    }

    bool validate(peer_link& link)
    {
        const auto& request = link.incoming->get_request();
        if (!constantTimeEquals(request.get_header(keyHeader), options.key)) {
            onFault(link_fault::wrong_key, request.get_header(instanceHeader).substr(0, 64));
            link.incoming->set_status(websocketpp::http::status_code::unauthorized);
            return false;
        }
        link.peer.instance = request.get_header(instanceHeader);
        link.peer.dataCentre = request.get_header(dataCentreHeader);
        link.peer.incarnation = std::strtoull(request.get_header(incarnationHeader).c_str(), nullptr, 10);
        return true;
    }

    void dial(const std::string& instance, dial_target& target)
    {
        target.lastDial = steady_clock::now();
        sockaddr_in address {};
        if (!parseAddress(target.address, target.port, address))
            return;
        peer_link* link = makeLink(-1);
        link->peer.instance = instance;
        target.current = link;
        websocketpp::lib::error_code ec;
        link->outgoing
            = client.get_connection("ws://" + target.address + ":" + std::to_string(target.port) + "/", ec);
        if (ec) {
            link->closing = true;
            return;
        }
        link->outgoing->append_header(keyHeader, options.key);
        link->outgoing->append_header(instanceHeader, options.self.instance);
        link->outgoing->append_header(dataCentreHeader, options.self.dataCentre);
        link->outgoing->append_header(incarnationHeader, std::to_string(options.self.incarnation));
        link->outgoing->set_write_handler([this, link](connection_hdl, const char* data, size_t length) {
            return write(link, data, length);
        });
        link->outgoing->set_open_handler([link](connection_hdl) { link->open = true; });
        link->outgoing->set_close_handler([link](connection_hdl) { link->closing = true; });
        link->outgoing->set_fail_handler([link](connection_hdl) { link->closing = true; });
        if (bufferevent_socket_connect(link->bev, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
            link->closing = true;
    }

    static void onRead(bufferevent* bev, void* arg)
    {
        auto* link = static_cast<peer_link*>(arg);
        state* hub = link->hub;
        evbuffer* input = bufferevent_get_input(bev);
        while (evbuffer_get_length(input) > 0 && !link->closing) {
            size_t length = evbuffer_get_contiguous_space(input);
            std::string chunk(
                reinterpret_cast<char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))), length);
            evbuffer_drain(input, length);
            link->read(chunk.data(), chunk.size());
        }
        if (link->closing)
            hub->closeAfterFlush(link);
    }

    // Closes the link once its output is sent, so that the peer receives a rejected handshake's response.
    void closeAfterFlush(peer_link* link)
    {
        if (evbuffer_get_length(bufferevent_get_output(link->bev)) == 0) {
            closeLink(link);
            return;
        }
        bufferevent_disable(link->bev, EV_READ);
        bufferevent_setcb(link->bev, nullptr, onFlushed, onEvent, link);
    }

    static void onFlushed(bufferevent*, void* arg)
    {
        auto* link = static_cast<peer_link*>(arg);
        link->hub->closeLink(link);
    }

    static void onEvent(bufferevent* bev, short events, void* arg)
    {
        auto* link = static_cast<peer_link*>(arg);
        if (events & BEV_EVENT_CONNECTED) {
            int enabled = 1;
            setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
            bufferevent_enable(bev, EV_READ | EV_WRITE);
            link->hub->client.connect(link->outgoing);
            return;
        }
        link->hub->closeLink(link);
    }

    static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        static_cast<state*>(arg)->accept(fd);
    }

    void release(peer_link& link)
    {
        if (link.bev)
            bufferevent_free(link.bev);
        link.bev = nullptr;
        // The handler refers to the link, which is about to be freed.
        if (link.incoming)
            link.incoming->set_message_handler(nullptr);
    }

    void closeLink(peer_link* link)
    {
        std::string instance = link->peer.instance;
        bool outgoing = static_cast<bool>(link->outgoing);
        bool wasOpen = link->open;
        auto found = targets.find(instance);
        if (outgoing && found != targets.end() && found->second.current == link)
            found->second.current = nullptr;
        release(*link);
        links.erase(link->self);
        if (wasOpen)
            onDown(instance);
    }

    event_base* base;
    peer_hub_options options;
    message_handler onMessage;
    down_handler onDown;
    fault_handler onFault;
    server_type server;
    client_type client;
    evconnlistener* listener = nullptr;
    std::list<std::unique_ptr<peer_link>> links;
    std::map<std::string, dial_target> targets;
    uint64_t bytesSent = 0;
};

peer_hub::peer_hub(event_base* base, peer_hub_options options, message_handler messageHandler,
    down_handler downHandler, fault_handler faultHandler)
    : m_state(std::make_unique<state>(
        base, std::move(options), std::move(messageHandler), std::move(downHandler), std::move(faultHandler)))
{
}

peer_hub::~peer_hub() = default;

std::string peer_hub::listen(const std::string& address, uint16_t port)
{
    sockaddr_in socketAddress {};
    if (!parseAddress(address, port, socketAddress))
        return "peer address " + address + " is not an IPv4 address";
    m_state->listener = evconnlistener_new_bind(m_state->base, state::onAccept, m_state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&socketAddress),
        sizeof socketAddress);
    if (!m_state->listener)
        return "cannot listen for peers on " + address + ":" + std::to_string(port) + ": " + strerror(errno);
    return {};
}

void peer_hub::addPeer(const std::string& instance, const std::string& address, uint16_t port)
{
    auto& target = m_state->targets[instance];
    target.address = address;
    target.port = port;
    m_state->dial(instance, target);
}

bool peer_hub::send(const std::string& instance, const std::string& payload)
{
    auto found = m_state->targets.find(instance);
    if (found == m_state->targets.end() || !found->second.current || !found->second.current->open)
        return false;
    state::peer_link* link = found->second.current;
    size_t unsentBytes = evbuffer_get_length(bufferevent_get_output(link->bev));
    if (payload.size() > m_state->options.maxMessageBytes) {
        m_state->onFault(link_fault::oversized, instance);
        return false;
    }
    if (unsentBytes + payload.size() > m_state->options.maxBacklogBytes) {
        m_state->onFault(link_fault::backlog, instance);
        return false;
    }
    websocketpp::lib::error_code ec = link->outgoing->send(payload, websocketpp::frame::opcode::binary);
    return !ec;
}

void peer_hub::tick()
{
    std::vector<state::peer_link*> toClose;
    for (auto& link : m_state->links) {
        bool handshakeTimedOut = !link->open && elapsedMs(link->lastReceived) > handshakeTimeoutMs;
        bool silent = link->open && elapsedMs(link->lastReceived) > m_state->options.silenceTimeoutMs;
        if (silent)
            m_state->onFault(link_fault::silent, link->peer.instance);
        if (handshakeTimedOut || silent || link->closing)
            toClose.push_back(link.get());
        else if (link->open && elapsedMs(link->lastPing) > m_state->options.silenceTimeoutMs / 3)
            link->ping();
    }
    for (state::peer_link* link : toClose)
        m_state->closeLink(link);
    for (auto& [instance, target] : m_state->targets) {
        if (!target.current && elapsedMs(target.lastDial) > m_state->options.redialIntervalMs)
            m_state->dial(instance, target);
    }
}

uint64_t peer_hub::bytesSent() const { return m_state->bytesSent; }

} // namespace camphorwell
