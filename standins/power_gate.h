// The connections of a machine that loses power and returns: a forwarder in front of its server.
//
//   power_gate gate(loop);
//   gate.listen("127.0.0.1", port, "127.0.0.2"); // The server listens on the same port of 127.0.0.2.
//   gate.powerOff();
//   gate.powerOn();
//
// A connection that is open at the loss of power is lost: what it carries from then on reaches no server, and
// it is reset once the machine is up and the caller has sent something, as by TCP's retransmission. One that
// is opened without power waits, as by TCP's repeated SYN, and is passed on when the power is back unless the
// caller has closed it. Threading: everything runs on the loop's thread.
#pragma once

#include "net/net.h"

#include <list>

struct bufferevent;
struct evconnlistener;

namespace camphorwell {

class power_gate {
public:
    explicit power_gate(event_loop&);
    ~power_gate();
    power_gate(const power_gate&) = delete;
    power_gate& operator=(const power_gate&) = delete;

    // Accepts connections to `address` and forwards them to the same port of `serverAddress`.
    result<void> listen(const std::string& address, uint16_t port, const std::string& serverAddress);
    void powerOff();
    void powerOn();

    struct forwarding; // One accepted connection and that to the server.

private:
    void accept(int socket);
    void remove(const forwarding*);

    event_loop& m_loop;
    evconnlistener* m_listener = nullptr;
    std::string m_serverAddress;
    uint16_t m_port = 0;
    bool m_up = true;
    std::list<std::unique_ptr<forwarding>> m_forwardings;
};

} // namespace camphorwell
