// See power_gate.h.
#include "standins/power_gate.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace camphorwell {

namespace {

    sockaddr_in socketAddress(const std::string& address, uint16_t port)
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(port);
        inet_pton(AF_INET, address.c_str(), &out.sin_addr);
        return out;
    }

    void sendWithoutDelay(bufferevent* connection)
    {
        int on = 1;
        setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

struct power_gate::forwarding {
    enum class stage : uint8_t { waiting, open, lost, closing };

    forwarding(power_gate& owner, int socket)
        : m_gate(owner)
        , m_caller(bufferevent_socket_new(owner.m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        sendWithoutDelay(m_caller);
        bufferevent_setcb(m_caller, onCallerData, onCallerDrained, onCallerEvent, this);
        bufferevent_enable(m_caller, EV_READ | EV_WRITE);
    }

    ~forwarding()
    {
        closeServer();
        bufferevent_free(m_caller);
    }

    forwarding(const forwarding&) = delete;
    forwarding& operator=(const forwarding&) = delete;

    void connect()
    {
        now = stage::open;
        m_server = bufferevent_socket_new(m_gate.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(m_server, onServerData, nullptr, onServerEvent, this);
        bufferevent_enable(m_server, EV_READ | EV_WRITE);
        sockaddr_in to = socketAddress(m_gate.m_serverAddress, m_gate.m_port);
        if (bufferevent_socket_connect(m_server, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
            return closeCaller();
        sendWithoutDelay(m_server);
        bufferevent_write_buffer(m_server, bufferevent_get_input(m_caller));
    }

    void lose()
    {
        now = stage::lost;
        closeServer();
    }

    // The caller reads a reset instead of the end of the stream.
    void reset()
    {
        linger abort { 1, 0 };
        setsockopt(bufferevent_getfd(m_caller), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        m_gate.remove(this);
    }

    bool retransmits() const { return now == stage::lost && m_hasLostData; }

    stage now = stage::waiting;

private:
    static forwarding& of(void* context) { return *static_cast<forwarding*>(context); }

    static void onCallerData(bufferevent* caller, void* context)
    {
        forwarding& self = of(context);
        if (self.now == stage::open) {
            bufferevent_write_buffer(self.m_server, bufferevent_get_input(caller));
        } else if (self.now == stage::lost) {
            evbuffer* input = bufferevent_get_input(caller);
            evbuffer_drain(input, evbuffer_get_length(input));
            self.m_hasLostData = true;
            if (self.m_gate.m_up)
                self.reset();
        }
    }

    static void onCallerDrained(bufferevent*, void* context)
    {
        if (of(context).now == stage::closing)
            of(context).m_gate.remove(&of(context));
    }

    static void onCallerEvent(bufferevent*, short, void* context) { of(context).m_gate.remove(&of(context)); }

    static void onServerData(bufferevent* server, void* context)
    {
        bufferevent_write_buffer(of(context).m_caller, bufferevent_get_input(server));
    }

    static void onServerEvent(bufferevent* server, short events, void* context)
    {
        if (events & BEV_EVENT_CONNECTED)
            return;
        onServerData(server, context);
        of(context).closeCaller();
    }

    // Closes the connection when the caller has been sent what remains.
    void closeCaller()
    {
        closeServer();
        now = stage::closing;
        if (evbuffer_get_length(bufferevent_get_output(m_caller)) == 0)
            m_gate.remove(this);
    }

    void closeServer()
    {
        if (m_server)
            bufferevent_free(m_server);
        m_server = nullptr;
    }

    power_gate& m_gate;
    bufferevent* m_caller;
    bufferevent* m_server = nullptr;
    bool m_hasLostData = false; // The caller has sent something since the connection was lost.
};

power_gate::power_gate(event_loop& loop)
    : m_loop(loop)
{
}

power_gate::~power_gate()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

result<void> power_gate::listen(const std::string& address, uint16_t port, const std::string& serverAddress)
{
    m_serverAddress = serverAddress;
    m_port = port;
    sockaddr_in at = socketAddress(address, port);
    m_listener = evconnlistener_new_bind(
        m_loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* gate) {
            static_cast<power_gate*>(gate)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&at), sizeof at);
    if (!m_listener)
        return boost::leaf::new_error(e_net { "cannot listen on " + address + ":" + std::to_string(port) });
    return {};
}

void power_gate::accept(int socket)
{
    m_forwardings.push_back(std::make_unique<forwarding>(*this, socket));
    if (m_up)
        m_forwardings.back()->connect();
}

void power_gate::remove(const forwarding* removed)
{
    m_forwardings.remove_if([removed](const auto& each) { return each.get() == removed; });
}

void power_gate::powerOff()
{
    m_up = false;
    for (auto& each : m_forwardings) {
        if (each->now == forwarding::stage::open)
            each->lose();
    }
}

void power_gate::powerOn()
{
    m_up = true;
    for (auto it = m_forwardings.begin(); it != m_forwardings.end();) {
        forwarding& each = **it++;
        if (each.retransmits())
            each.reset();
        else if (each.now == forwarding::stage::waiting)
            each.connect();
    }
}

} // namespace camphorwell
