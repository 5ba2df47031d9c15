// The event loop of the node: carries out its actions and passes the answers back as events.
#include "entry/process/daemon.h"

#include "schema/field_reader.h"

#include <glog/logging.h>

namespace camphorwell {

namespace {

    constexpr int64_t tickIntervalMs = 20;
    constexpr int64_t hubTickIntervalMs = 100;
    constexpr int64_t listIntervalMs = 500; // Interval between reads of the platform's machine list.
    constexpr int64_t registerIntervalMs = 500;
    constexpr int64_t platformCallTimeoutMs = 2500;
    constexpr int64_t drainPollMs = 50;
    constexpr int unreadableMachinesPerLine = 100;
    constexpr int maxMessageDepth = 32; // More than any message nests.
    constexpr number_range portRange { 0, std::numeric_limits<uint16_t>::max() };
    constexpr number_range offsetRange { 0, std::numeric_limits<int64_t>::max() };

    const header_list jsonHeaders = { { "Content-Type", "application/json" } };

    peer_hub_options hubOptions(const entry_settings& settings)
    {
        peer_hub_options out;
        out.self = { settings.node.self.id, settings.node.self.incarnation, settings.node.dataCentre };
        out.key = settings.peerKey;
        out.silenceTimeoutMs = settings.node.peerTimeoutMs;
        return out;
    }

    reason reasonOf(link_fault fault)
    {
        switch (fault) {
        case link_fault::wrong_key:
            return reason::peer_wrong_key;
        case link_fault::silent:
            return reason::peer_silent;
        case link_fault::oversized:
            return reason::peer_oversized;
        case link_fault::backlog:
            return reason::peer_backlog;
        }
        return reason::peer_malformed;
    }

} // namespace

entry_daemon::parts::parts(event_loop& eventLoop, entry_settings given)
    : loop(eventLoop)
    , settings(std::move(given))
    , core(settings.node, settings.node.self.incarnation)
    , hub(
          eventLoop.base(), hubOptions(settings),
          [this](const peer_identity& from, const std::string& payload) { onPeer(from, payload); },
          [this](const std::string& instance) { handleEvent(peer_down { instance }); },
          [this](link_fault fault, const std::string& instance) { onLinkFault(fault, instance); })
    , server(eventLoop, settings.http,
          [this](http_request asked, std::shared_ptr<http_reply> reply) { serve(asked, reply); })
    , platform(eventLoop, settings.platformAddress, settings.platformPort, platformConnections)
{
    for (const auto& peer : settings.peers)
        peerDataCentres[peer.instance] = peer.dataCentre;
}

result<void> entry_daemon::parts::start()
{
    std::string failed = hub.listen(settings.peerAddress, settings.peerPort);
    if (!failed.empty())
        return boost::leaf::new_error(e_net { failed });
    BOOST_LEAF_CHECK(server.listen(settings.httpAddress, settings.httpPort));
    for (const auto& peer : settings.peers)
        hub.addPeer(peer.instance, peer.address, peer.port);
    loop.every(tickIntervalMs, [this] { handleEvent(tick {}); });
    loop.every(hubTickIntervalMs, [this] { hub.tick(); });
    loop.every(listIntervalMs, [this] { readMachineList(); });
    loop.every(registerIntervalMs, [this] { registerSelf(); });
    readMachineList();
    registerSelf();
    LOG(INFO) << log_line("started")
                     .add("instance", settings.node.self.id)
                     .add("data_centre", settings.node.dataCentre)
                     .add("http_port", settings.httpPort)
                     .str();
    return {};
}

void entry_daemon::parts::handleEvent(const event& what)
{
    for (const auto& each : core.handle(event_loop::now(), what))
        std::visit([this](const auto& act) { perform(act); }, each);
}

void entry_daemon::parts::perform(const send_action& act)
{
    auto bytes = nlohmann::json::to_cbor(toJson(act.message));
    hub.send(act.to, std::string(bytes.begin(), bytes.end()));
}

void entry_daemon::parts::perform(const call_action& act)
{
    auto found = workers.find(act.worker);
    if (found == workers.end()) {
        // The reply follows in the next iteration of the loop, since the node is still handling an event.
        loop.after(0, [this, call = act.call] { handleEvent(worker_reply { call, std::nullopt }); });
        return;
    }
    int64_t timeout = settings.node.callTimeoutMs;
    if (const auto* start = std::get_if<start_call>(&act.payload)) {
        if (!start->work.batch)
            timeout = std::max<int64_t>(timeout, start->work.deadlineMs);
    }
    found->second->call("POST", "/call", jsonHeaders, toJson(act.payload).dump(), timeout,
        [this, call = act.call](const http_response& response) { onWorker(call, response); });
}

void entry_daemon::parts::onWorker(uint64_t call, const http_response& response)
{
    worker_reply reply { call, std::nullopt };
    if (response.status == 200) {
        try {
            reply.answer = workerAnswerFromJson(nlohmann::json::parse(response.body));
        } catch (const nlohmann::json::exception& error) {
            LOG(WARNING) << log_line("worker_answer_malformed").add("error", error.what()).str();
        }
    }
    handleEvent(reply);
}

void entry_daemon::parts::perform(const append_action& act)
{
    nlohmann::json body = { { "stream", act.stream }, { "records", act.records } };
    platform.call("POST", "/append", jsonHeaders, body.dump(), platformCallTimeoutMs,
        [this, call = act.call](const http_response& response) {
            append_reply reply { call, append_status::unknown };
            if (response.status == 200)
                reply.status = append_status::durable;
            else if (response.status != 0)
                reply.status = append_status::refused;
            handleEvent(reply);
        });
}

void entry_daemon::parts::perform(const read_action& act)
{
    std::string path = "/read?stream=" + act.stream + "&from=" + std::to_string(act.from);
    platform.call(
        "GET", path, {}, "", platformCallTimeoutMs, [this, call = act.call](const http_response& response) {
            read_reply reply;
            reply.call = call;
            if (response.status == 200) {
                std::string error;
                auto body = parseDocument(response.body, error);
                field_reader in(body, error);
                reply.first = in.number("first", offsetRange, 0);
                reply.next = in.number("next", offsetRange, 0);
                reply.atEnd = in.flag("end", false);
                const auto* records = in.find("records");
                reply.ok = error.empty() && records && records->is_array();
                // Readers skip a record without data, so one that cannot be read does not hold up the others.
                for (const field_reader& record : in.objects("records"))
                    reply.records.push_back({ record.number("o", offsetRange, 0), record.text("d", "") });
                if (!error.empty())
                    LOG(WARNING) << log_line("log_answer_malformed").add("error", error).str();
            }
            handleEvent(reply);
        });
}

void entry_daemon::parts::perform(const log_action& act) { LOG(INFO) << act.line; }

void entry_daemon::parts::readMachineList()
{
    std::string path = "/list?dc=" + settings.node.dataCentre;
    platform.call("GET", path, {}, "", platformCallTimeoutMs, [this](const http_response& response) {
        if (response.status != 200)
            return;
        std::string error;
        auto body = parseRepairedDocument(response.body, error);
        const auto* machines = field_reader(body, error).find("machines");
        if (!machines || !machines->is_array()) {
            LOG(WARNING) << log_line("machine_list_malformed").add("error", error).str();
            return;
        }
        platform_list list;
        for (const auto& machine : *machines)
            addMachine(machine, list);
        handleEvent(list);
    });
}

// Adds a machine of the platform's list. One that cannot be read is skipped, and the others hold.
void entry_daemon::parts::addMachine(const nlohmann::json& machine, platform_list& list)
{
    std::string error;
    field_reader in(machine, error);
    std::string id = in.text("id");
    bool isWorker = in.text("kind") == "worker";
    platform_list::worker worker { id, in.text("rack", ""), in.flag("leaving", false) };
    std::string address = in.text("address", "");
    auto port = static_cast<uint16_t>(in.number("port", portRange, 0));
    if (isWorker && (port == 0 || !isNumericAddress(address)))
        in.fail("address", "must be an IP address and a port");
    if (!error.empty()) {
        LOG_EVERY_N(WARNING, unreadableMachinesPerLine)
            << log_line("machine_unreadable").add("id", id).add("error", error).str();
        return;
    }
    if (!isWorker) {
        list.instances.push_back(id);
        return;
    }
    list.workers.push_back(worker);
    connectWorker(id, address, port);
}

void entry_daemon::parts::connectWorker(const worker_id& id, const std::string& address, uint16_t port)
{
    std::string where = address + ":" + std::to_string(port);
    if (workerAddresses[id] == where)
        return;
    workerAddresses[id] = where;
    workers[id] = std::make_unique<http_client>(loop, address, port, settings.workerConnections);
}

void entry_daemon::parts::registerSelf()
{
    nlohmann::json body = { { "kind", "instance" }, { "id", settings.node.self.id },
        { "dc", settings.node.dataCentre }, { "address", settings.httpAddress },
        { "port", settings.httpPort }, { "leaving", core.status().leaving } };
    platform.call(
        "POST", "/register", jsonHeaders, body.dump(), platformCallTimeoutMs, [](const http_response&) {});
}

void entry_daemon::parts::onPeer(const peer_identity& from, const std::string& payload)
{
    auto centre = peerDataCentres.find(from.instance);
    try {
        if (centre == peerDataCentres.end() || centre->second != from.dataCentre)
            throw std::invalid_argument("the sender is not one of the peers in the settings");
        peer_message received;
        received.from = { from.instance, from.incarnation, false };
        received.dataCentre = from.dataCentre;
        if (!cborIsBounded(payload, maxMessageDepth))
            throw std::invalid_argument("the message nests too deep");
        received.message = messageFromJson(nlohmann::json::from_cbor(payload));
        handleEvent(received);
    } catch (const std::exception& error) {
        metrics.countReason(reason::peer_malformed);
        LOG(WARNING)
            << log_line("peer_malformed").add("peer", from.instance).add("error", error.what()).str();
    }
}

void entry_daemon::parts::onLinkFault(link_fault fault, const std::string& instance)
{
    reason why = reasonOf(fault);
    metrics.countReason(why);
    LOG(WARNING) << log_line("peer_fault").add("reason", reasonInfo(why).name).add("peer", instance).str();
}

void entry_daemon::parts::waitDrained()
{
    if (core.status().drained && openRequests.empty()) {
        LOG(INFO) << log_line("drained").str();
        // Gives the last messages time to leave the send buffers.
        loop.after(drainPollMs, [this] { loop.stop(); });
        return;
    }
    loop.after(drainPollMs, [this] { waitDrained(); });
}

entry_daemon::entry_daemon(event_loop& loop, entry_settings settings)
    : m_parts(std::make_unique<parts>(loop, std::move(settings)))
{
}

entry_daemon::~entry_daemon() = default;

result<void> entry_daemon::start() { return m_parts->start(); }

void entry_daemon::leave()
{
    if (m_parts->leaving)
        return;
    m_parts->leaving = true;
    m_parts->handleEvent(begin_leaving {});
    m_parts->waitDrained();
}

} // namespace camphorwell
