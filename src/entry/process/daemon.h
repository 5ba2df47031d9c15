// The implementation of the entry daemon, shared by its source files.
#pragma once

#include "entry/entry.h"

namespace camphorwell {

constexpr size_t platformConnections = 16; // Maximum number of connections to the platform.

struct entry_daemon::parts {
    parts(event_loop&, entry_settings);

    result<void> start();
    void handleEvent(const event&);

    // Carry out the actions of the node.
    void perform(const send_action&);
    void perform(const call_action&);
    void perform(const append_action&);
    void perform(const read_action&);
    void perform(const answer_action&);
    void perform(const change_action&);
    void perform(const log_action&);

    // Handle HTTP requests; see request/http_api.cpp.
    void serve(const http_request&, const std::shared_ptr<http_reply>&);
    void serveWork(const http_request&, const std::shared_ptr<http_reply>&);
    void submitWork(const http_request&, const std::shared_ptr<http_reply>&, const entry_name&);
    void serveCatalogue(const http_request&, const std::shared_ptr<http_reply>&);
    void changeCatalogue(const http_request&, const std::shared_ptr<http_reply>&, const entry_name&);
    void serveHistory(const std::shared_ptr<http_reply>&);
    void serveStatus(const std::shared_ptr<http_reply>&);
    void refuse(const std::shared_ptr<http_reply>&, const refusal&, const work_id&);
    void submitRequest(const std::shared_ptr<http_reply>&, request, const std::string& entry);

    void onWorker(uint64_t call, const http_response&);
    void onPeer(const peer_identity&, const std::string& payload);
    void onLinkFault(link_fault, const std::string& instance);
    void readMachineList();
    void addMachine(const nlohmann::json&, platform_list&);
    void registerSelf();
    void connectWorker(const worker_id&, const std::string& address, uint16_t port);
    void waitDrained();

    struct open_request {
        std::shared_ptr<http_reply> reply;
        std::string entry;
        instant since { 0 };
    };

    event_loop& loop;
    entry_settings settings;
    entry_metrics metrics;
    node core;
    peer_hub hub;
    http_server server;
    http_client platform;
    std::map<worker_id, std::unique_ptr<http_client>> workers;
    std::map<worker_id, std::string> workerAddresses;
    std::map<instance_id, std::string> peerDataCentres;
    std::map<uint64_t, open_request> openRequests;
    uint64_t nextTicket = 1;
    bool leaving = false;
};

} // namespace camphorwell
