// See peer_hub.h. The websocket protocol is websocketpp's; its bytes travel over bufferevents.
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
    constexpr int64_t handshakeMs = 2000; // A link that is not open by then is closed.

    // Compares without a branch on the contents.
    bool sameKey(const std::string& a, const std::string& b)
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

    int64_t sinceMs(steady_clock::time_point then)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - then).count();
    }

} // namespace

struct peer_hub::state {
    // One connection of either direction.
    struct link {
        peer_hub::state* hub = nullptr;
        bufferevent* bev = nullptr;
        server_type::connection_ptr incoming;
        client_type::connection_ptr outgoing;
        peer_identity peer;
        bool open = false;
        bool closing = false;
        steady_clock::time_point lastHeard = steady_clock::now();
        steady_clock::time_point lastPing = steady_clock::now();
        std::list<std::unique_ptr<link>>::iterator self;

        void read(const char* data, size_t length)
        {
            lastHeard = steady_clock::now();
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
    struct target {
        std::string address;
        uint16_t port = 0;
        link* current = nullptr;
        steady_clock::time_point lastDial;
    };

    state(event_base* loop, peer_hub_options given, message_handler m, down_handler d, fault_handler f)
        : base(loop)
        , options(std::move(given))
        , onMessage(std::move(m))
        , onDown(std::move(d))
        , onFault(std::move(f))
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
        for (auto& each : links)
            release(*each);
        links.clear();
        if (listener)
            evconnlistener_free(listener);
    }

    link* makeLink(int fd)
    {
        links.push_back(std::make_unique<link>());
        link* out = links.back().get();
        out->self = std::prev(links.end());
        out->hub = this;
        out->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(out->bev, onRead, nullptr, onEvent, out);
        return out;
    }

    websocketpp::lib::error_code write(link* via, const char* data, size_t length)
    {
        if (via->bev) {
            bufferevent_write(via->bev, data, length);
            bytesSent += length;
        }
        return {};
    }

    void accept(int fd)
    {
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        link* in = makeLink(fd);
        in->incoming = server.get_connection();
        in->incoming->set_write_handler(
            [this, in](connection_hdl, const char* data, size_t length) { return write(in, data, length); });
        in->incoming->set_validate_handler([this, in](connection_hdl) { return validate(*in); });
        in->incoming->set_open_handler([in](connection_hdl) { in->open = true; });
        in->incoming->set_close_handler([in](connection_hdl) { in->closing = true; });
        in->incoming->set_fail_handler([in](connection_hdl) { in->closing = true; });
        in->incoming->set_message_handler([this, in](connection_hdl, server_type::message_ptr message) {
            onMessage(in->peer, message->get_payload());
        });
        in->incoming->start();
        bufferevent_enable(in->bev, EV_READ | EV_WRITE);
    }

    bool validate(link& in)
    {
        const auto& asked = in.incoming->get_request();
        if (!sameKey(asked.get_header(keyHeader), options.key)) {
            onFault(link_fault::wrong_key, asked.get_header(instanceHeader).substr(0, 64));
            in.incoming->set_status(websocketpp::http::status_code::unauthorized);
            return false;
        }
        in.peer.instance = asked.get_header(instanceHeader);
        in.peer.dataCentre = asked.get_header(dataCentreHeader);
        in.peer.incarnation = std::strtoull(asked.get_header(incarnationHeader).c_str(), nullptr, 10);
        return true;
    }

    void dial(const std::string& instance, target& to)
    {
        to.lastDial = steady_clock::now();
        sockaddr_in address {};
        if (!parseAddress(to.address, to.port, address))
            return;
        link* out = makeLink(-1);
        out->peer.instance = instance;
        to.current = out;
        websocketpp::lib::error_code ec;
        out->outgoing = client.get_connection("ws://" + to.address + ":" + std::to_string(to.port) + "/", ec);
        if (ec) {
            out->closing = true;
            return;
        }
        out->outgoing->append_header(keyHeader, options.key);
        out->outgoing->append_header(instanceHeader, options.self.instance);
        out->outgoing->append_header(dataCentreHeader, options.self.dataCentre);
        out->outgoing->append_header(incarnationHeader, std::to_string(options.self.incarnation));
        out->outgoing->set_write_handler([this, out](connection_hdl, const char* data, size_t length) {
            return write(out, data, length);
        });
        out->outgoing->set_open_handler([out](connection_hdl) { out->open = true; });
        out->outgoing->set_close_handler([out](connection_hdl) { out->closing = true; });
        out->outgoing->set_fail_handler([out](connection_hdl) { out->closing = true; });
        if (bufferevent_socket_connect(out->bev, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
            out->closing = true;
    }

    static void onRead(bufferevent* bev, void* arg)
    {
        auto* via = static_cast<link*>(arg);
        state* hub = via->hub;
        evbuffer* input = bufferevent_get_input(bev);
        while (evbuffer_get_length(input) > 0 && !via->closing) {
            size_t length = evbuffer_get_contiguous_space(input);
            std::string chunk(
                reinterpret_cast<char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))), length);
            evbuffer_drain(input, length);
            via->read(chunk.data(), chunk.size());
        }
        if (via->closing)
            hub->dropWhenSent(via);
    }

    // A refusal still has to reach the other side.
    void dropWhenSent(link* via)
    {
        if (evbuffer_get_length(bufferevent_get_output(via->bev)) == 0) {
            drop(via);
            return;
        }
        bufferevent_disable(via->bev, EV_READ);
        bufferevent_setcb(via->bev, nullptr, onSent, onEvent, via);
    }

    static void onSent(bufferevent*, void* arg)
    {
        auto* via = static_cast<link*>(arg);
        via->hub->drop(via);
    }

    static void onEvent(bufferevent* bev, short what, void* arg)
    {
        auto* via = static_cast<link*>(arg);
        if (what & BEV_EVENT_CONNECTED) {
            int one = 1;
            setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            bufferevent_enable(bev, EV_READ | EV_WRITE);
            via->hub->client.connect(via->outgoing);
            return;
        }
        via->hub->drop(via);
    }

    static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        static_cast<state*>(arg)->accept(fd);
    }

    void release(link& via)
    {
        if (via.bev)
            bufferevent_free(via.bev);
        via.bev = nullptr;
        // The handlers refer to the link; drop them with it.
        if (via.incoming)
            via.incoming->set_message_handler(nullptr);
    }

    void drop(link* via)
    {
        std::string instance = via->peer.instance;
        bool outgoing = static_cast<bool>(via->outgoing);
        bool wasOpen = via->open;
        auto found = targets.find(instance);
        if (outgoing && found != targets.end() && found->second.current == via)
            found->second.current = nullptr;
        release(*via);
        links.erase(via->self);
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
    std::list<std::unique_ptr<link>> links;
    std::map<std::string, target> targets;
    uint64_t bytesSent = 0;
};

peer_hub::peer_hub(
    event_base* base, peer_hub_options options, message_handler m, down_handler d, fault_handler f)
    : m_state(std::make_unique<state>(base, std::move(options), std::move(m), std::move(d), std::move(f)))
{
}

peer_hub::~peer_hub() = default;

std::string peer_hub::listen(const std::string& address, uint16_t port)
{
    sockaddr_in where {};
    if (!parseAddress(address, port, where))
        return "peer address " + address + " is not an IPv4 address";
    m_state->listener = evconnlistener_new_bind(m_state->base, state::onAccept, m_state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&where), sizeof where);
    if (!m_state->listener)
        return "cannot listen for peers on " + address + ":" + std::to_string(port) + ": " + strerror(errno);
    return {};
}

void peer_hub::addPeer(const std::string& instance, const std::string& address, uint16_t port)
{
    auto& to = m_state->targets[instance];
    to.address = address;
    to.port = port;
    m_state->dial(instance, to);
}

bool peer_hub::send(const std::string& instance, const std::string& payload)
{
    auto found = m_state->targets.find(instance);
    if (found == m_state->targets.end() || !found->second.current || !found->second.current->open)
        return false;
    state::link* via = found->second.current;
    size_t waiting = evbuffer_get_length(bufferevent_get_output(via->bev));
    if (payload.size() > m_state->options.maxMessageBytes) {
        m_state->onFault(link_fault::oversized, instance);
        return false;
    }
    if (waiting + payload.size() > m_state->options.maxBacklogBytes) {
        m_state->onFault(link_fault::backlog, instance);
        return false;
    }
    websocketpp::lib::error_code ec = via->outgoing->send(payload, websocketpp::frame::opcode::binary);
    return !ec;
}

void peer_hub::tick()
{
    std::vector<state::link*> ending;
    for (auto& each : m_state->links) {
        bool late = !each->open && sinceMs(each->lastHeard) > handshakeMs;
        bool silent = each->open && sinceMs(each->lastHeard) > m_state->options.silenceMs;
        if (silent)
            m_state->onFault(link_fault::silent, each->peer.instance);
        if (late || silent || each->closing)
            ending.push_back(each.get());
        else if (each->open && sinceMs(each->lastPing) > m_state->options.silenceMs / 3)
            each->ping();
    }
    for (state::link* each : ending)
        m_state->drop(each);
    for (auto& [instance, to] : m_state->targets) {
        if (!to.current && sinceMs(to.lastDial) > m_state->options.redialMs)
            m_state->dial(instance, to);
    }
}

uint64_t peer_hub::bytesSent() const { return m_state->bytesSent; }

} // namespace camphorwell
