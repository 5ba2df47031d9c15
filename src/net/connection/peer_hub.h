// Links between instances: one outgoing websocket to each peer, and any number of incoming ones.
//
// Messages go out on the outgoing link and come in on incoming ones. The handshake carries the deployment's
// key and the sender's identity. Each side pings; a link that stays silent past its deadline is closed, and
// an outgoing one is dialled again. A C++17 header, since websocketpp does not compile as C++20.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace camphorwell {

struct peer_identity {
    std::string instance;
    uint64_t incarnation = 0;
    std::string dataCentre;
};

enum class link_fault : uint8_t { wrong_key, silent, oversized, backlog };

struct peer_hub_options {
    peer_identity self;
    std::string key; // Shared by the deployment.
    size_t maxMessageBytes = 4u << 20;
    size_t maxBacklogBytes = 8u << 20; // Unsent bytes on one link.
    int64_t silenceTimeoutMs = 1500;
    int64_t redialIntervalMs = 200;
};

class peer_hub {
public:
    using message_handler = std::function<void(const peer_identity& from, const std::string& payload)>;
    using down_handler = std::function<void(const std::string& instance)>;
    using fault_handler = std::function<void(link_fault, const std::string& instance)>;

    peer_hub(event_base*, peer_hub_options, message_handler, down_handler, fault_handler);
    ~peer_hub();
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;

    // Returns an empty string, or what failed.
    std::string listen(const std::string& address, uint16_t port);
    void addPeer(const std::string& instance, const std::string& address, uint16_t port);
    // Returns false when there is no open link or its backlog is full.
    bool send(const std::string& instance, const std::string& payload);
    // Pings, closes silent links, and dials missing ones. To be called every 100 ms or so.
    void tick();
    uint64_t bytesSent() const;

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace camphorwell
