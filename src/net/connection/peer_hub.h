// Links between instances: one outgoing websocket to each peer, and any number of incoming ones.
//
// Messages are sent on the outgoing link and received on incoming ones. The handshake carries the
// deployment's key and the sender's identity. Both sides send pings; a link that receives nothing for
// `silenceTimeoutMs` is closed, and an outgoing one is dialled again. This header is C++17, since
// websocketpp does not compile as C++20.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace camphorwell {

// Identity that an instance sends in the handshake.
struct peer_identity {
    std::string instance;
    uint64_t incarnation = 0;
    std::string dataCentre;
};

// wrong_key: the handshake was rejected. silent: nothing was received for `silenceTimeoutMs`.
// oversized, backlog: a message was not sent because of its size or the link's unsent bytes.
enum class link_fault : uint8_t { wrong_key, silent, oversized, backlog };

struct peer_hub_options {
    peer_identity self;
    std::string key; // Secret shared by all instances of the deployment.
    size_t maxMessageBytes = 4u << 20;
    size_t maxBacklogBytes = 8u << 20; // Bound on the unsent bytes of a link.
    int64_t silenceTimeoutMs = 1500;
    int64_t redialIntervalMs = 200; // Minimum time between two attempts to connect to a peer.
};

// The links of one instance to its peers.
class peer_hub {
public:
    using message_handler = std::function<void(const peer_identity& from, const std::string& payload)>;
    using down_handler = std::function<void(const std::string& instance)>;
    using fault_handler = std::function<void(link_fault, const std::string& instance)>;

    peer_hub(event_base*, peer_hub_options, message_handler, down_handler, fault_handler);
    ~peer_hub();
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;

    // Listens on an IPv4 address. Returns an empty string, or a description of the failure.
    std::string listen(const std::string& address, uint16_t port);
    // Dials a peer at an IPv4 address, and again whenever the link is lost.
    void addPeer(const std::string& instance, const std::string& address, uint16_t port);
    // Returns false if there is no open link, the message is too large or the link's backlog is full.
    bool send(const std::string& instance, const std::string& payload);
    // Sends pings, closes silent links and dials missing ones. Call it about every 100 ms.
    void tick();
    // Bytes written to all links, with handshakes and pings.
    uint64_t bytesSent() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace camphorwell
