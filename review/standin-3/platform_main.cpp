// review3-platform: a stand-in for the users' platform on the loopback interface: the log (the project's
// store_standin) on --port, and worker I on --port + 1 + I. On the log's port also:
//   GET  /events   what the workers have run (worker.h)
//   GET  /clock    adds the present time to the events
//   POST /advise   the advice service: handles one call at a time
//   POST /advice-times   how it works from now on: {"decide_ms": N, "period_ms": N, "valid_ms": N,
//                  "permitted": [ID, ...]}; without "permitted" every worker is good
//   POST /crash    {"worker": ID, "for_ms": N}: the worker loses power, and starts again under its id after N
// A worker writes its entry every second while it is up. The entry of one that has been silent for three
// heartbeats is deleted.
#include "standins/store_standin.h"
#include "worker.h"

#include <csignal>
#include <getopt.h>
#include <iostream>
#include <list>

namespace {

using namespace camphorwell;
using nlohmann::json;
using reply_ptr = std::shared_ptr<http_reply>;

constexpr const char* address = "127.0.0.1";
constexpr int64_t heartbeatMs = 1000;
constexpr int64_t entryLifeMs = 3 * heartbeatMs;

struct options {
    int port = 0;
    int workers = 3;
    int64_t maxHoldMs = 6000;
};

constexpr size_t recordBytes = 262'144; // RecordBytes
constexpr size_t callBytes = 2'097'152; // CallBytes

// Whether the records of an append are within the store's limits.
bool fits(const std::string& body)
{
    size_t total = 0;
    for (size_t at = 0; at + 4 <= body.size();) {
        size_t length = 0;
        for (size_t i = 0; i < 4; i++)
            length = length << 8 | static_cast<unsigned char>(body[at + i]);
        if (length > recordBytes)
            return false;
        total += length;
        at += 4 + length;
    }
    return total <= callBytes;
}

// The queues of the operator's first configuration, of one service each.
json firstConfiguration()
{
    json routes = json::array();
    int priority = 0;
    for (const char* name : { "quick", "batch" }) {
        routes.push_back({ { "Name", name }, { "Host", "localhost" },
            { "PathPrefix", "/" + std::string(name) + "/" }, { "Kind", "unsafe" }, { "TimeoutMs", 3000 },
            { "TargetLatencyMs", 500 }, { "Priority", priority }, { "Service", "service" },
            { "MaxAttempts", 3 }, { "Stretch", 2.0 } });
        priority += 2;
    }
    json services = json::array({ { { "Name", "service" }, { "HealthPath", "/health" }, { "MaxConns", 64 },
        { "AdmissionCheck", false }, { "Standby", false } } });
    return { { "Version", 1 }, { "Routes", routes }, { "Services", services },
        { "Limits", { { "MaxBodyBytes", 262144 } } } };
}

// The HTTP interface of one worker, and its entry in the store.
class served_worker {
public:
    served_worker(event_loop& loop, store_standin& store, review::worker& served, std::string rack, int port)
        : m_store(store)
        , m_worker(served)
        , m_rack(std::move(rack))
        , m_port(port)
        , m_server(loop, {},
              [this](const http_request& request, const reply_ptr& reply) { serve(request, reply); })
    {
    }
    result<void> listen() { return m_server.listen(address, static_cast<uint16_t>(m_port)); }
    review::worker& model() { return m_worker; }

    void crash(int64_t forMs)
    {
        m_worker.crash();
        m_backAt = review::nowMs() + forMs;
    }

    void tick()
    {
        int64_t now = review::nowMs();
        m_worker.advance();
        if (!m_worker.isUp() && now >= m_backAt)
            powerOn();
        answerHolds();
        if (m_worker.isUp() && now - m_writtenAt >= heartbeatMs)
            writeEntry();
        if (m_listed && now - m_writtenAt >= entryLifeMs) {
            m_listed = false;
            m_store.put("keyed.servers", m_worker.id(), "");
        }
    }

private:
    struct waiting_hold {
        json body;
        int64_t until = 0;
        reply_ptr reply;
    };

    // Calls that reached it without power were never received.
    void powerOn()
    {
        m_dark.clear();
        m_worker.restart();
        m_beats = 0;
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        if (!m_worker.isUp()) {
            m_dark.push_back(reply);
            return;
        }
        const std::string* expected = request.header("expect-instance");
        if (expected && *expected != m_worker.id())
            return reply->send(421, {}, "");
        json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return reply->send(400, {}, "");
        if (request.path != "/hold") {
            auto [status, text] = m_worker.order(request.path, body);
            return reply->send(status, {}, text);
        }
        auto [status, text] = m_worker.hold(body, true);
        int64_t waitMs = body.value("WaitMs", int64_t { 0 });
        if (status != 200 || waitMs == 0 || m_worker.hasEnds())
            return reply->send(status, {}, text);
        m_holds.push_back({ body, review::nowMs() + waitMs, reply });
    }

    void answerHolds()
    {
        for (auto it = m_holds.begin(); it != m_holds.end();) {
            if (!m_worker.isUp()) {
                m_dark.push_back(it->reply);
            } else if (m_worker.hasEnds() || review::nowMs() >= it->until) {
                auto [status, text] = m_worker.hold(it->body, false);
                it->reply->send(status, {}, text);
            } else {
                ++it;
                continue;
            }
            it = m_holds.erase(it);
        }
    }

    void writeEntry()
    {
        m_listed = true;
        m_writtenAt = review::nowMs();
        json entry { { "Service", "service" },
            { "Address", std::string(address) + ":" + std::to_string(m_port) }, { "Zone", "north" },
            { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
            { "Capacity", { { "Cpu", 8000 }, { "MemMb", 16000 }, { "Gpu", 0 } } },
            { "Labels", { "a", m_rack } }, { "born", m_worker.born() }, { "Sequence", ++m_beats } };
        m_store.put("keyed.servers", m_worker.id(), entry.dump());
    }

    store_standin& m_store;
    review::worker& m_worker;
    std::string m_rack;
    int m_port;
    http_server m_server;
    std::list<waiting_hold> m_holds;
    std::list<reply_ptr> m_dark; // Calls that are never answered.
    int64_t m_backAt = 0;
    bool m_listed = false;
    int64_t m_writtenAt = -heartbeatMs;
    int64_t m_beats = 0;
};

// The advice service (PROTOCOL.md, POST /advise). Calls wait in turn; 429 when 32 are waiting.
class advice_service {
public:
    void setTimes(const json& times)
    {
        m_decideMs = times.value("decide_ms", m_decideMs);
        m_periodMs = times.value("period_ms", m_periodMs);
        m_validMs = times.value("valid_ms", m_validMs);
        m_permitted = times.value("permitted", m_permitted);
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        json body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("Workers"))
            return reply->send(400, {}, "");
        if (m_waiting.size() >= maxWaiting)
            return reply->send(429, {}, "");
        m_waiting.push_back({ body["Step"], body["Workers"].get<std::vector<std::string>>(), reply });
    }

    // `bornOf`: the birth of a worker's present life.
    void tick(const std::function<int64_t(const std::string&)>& bornOf, review::event_record& record)
    {
        // A call whose caller has left is not begun.
        while (!m_busy && !m_waiting.empty() && m_waiting.front().reply->callerDisconnected())
            m_waiting.pop_front();
        if (!m_busy && !m_waiting.empty()) {
            m_busy = true;
            m_readyAt = review::nowMs() + m_decideMs
                + m_periodMs * static_cast<int64_t>(m_waiting.front().workers.size());
        }
        if (!m_busy || review::nowMs() < m_readyAt)
            return;
        m_busy = false;
        call answered = std::move(m_waiting.front());
        m_waiting.pop_front();
        json good = json::array();
        for (const std::string& worker : answered.workers) {
            if (!m_permitted.empty() && !m_permitted.contains(worker))
                continue;
            std::string ticket = "ticket-" + std::to_string(++m_tickets);
            m_issued[ticket] = { answered.step, worker, bornOf(worker), review::nowMs() + m_validMs };
            good.push_back({ worker, ticket });
        }
        record.add("advice " + answered.step + " " + std::to_string(answered.workers.size()) + " "
            + (answered.reply->callerDisconnected() ? "caller_gone" : "answered"));
        answered.reply->send(200, {}, json { { "Good", good }, { "ValidMs", m_validMs } }.dump());
    }

    bool isValid(
        const std::string& worker, const std::string& step, const std::string& ticket, int64_t born) const
    {
        auto found = m_issued.find(ticket);
        return found != m_issued.end() && found->second.step == step && found->second.worker == worker
            && found->second.born == born && review::nowMs() <= found->second.until;
    }

private:
    static constexpr size_t maxWaiting = 32;
    struct call {
        std::string step;
        std::vector<std::string> workers;
        reply_ptr reply;
    };
    struct ticket {
        std::string step;
        std::string worker;
        int64_t born = 0;
        int64_t until = 0;
    };
    int64_t m_decideMs = 100;
    int64_t m_periodMs = 20;
    int64_t m_validMs = 3000;
    std::set<std::string> m_permitted; // Empty: all workers.
    std::list<call> m_waiting;
    bool m_busy = false; // The first one is being handled.
    int64_t m_readyAt = 0;
    int64_t m_tickets = 0;
    std::map<std::string, ticket> m_issued;
};

class platform_standin {
public:
    platform_standin(event_loop& loop, const options& given)
        : m_options(given)
        , m_server(loop, { 1 << 22, 60'000 },
              [this](const http_request& request, const reply_ptr& reply) { serve(request, reply); })
    {
        m_store.put("keyed.op", "config", firstConfiguration().dump());
        for (int i = 0; i < given.workers; i++) {
            m_models.push_back(std::make_unique<review::worker>(
                m_record, m_models, "worker-" + std::to_string(i), given.maxHoldMs));
            m_models.back()->ticketIsValid
                = [this, id = m_models.back()->id()](const std::string& step, const std::string& ticket,
                      int64_t born) { return m_advice.isValid(id, step, ticket, born); };
            m_workers.push_back(std::make_unique<served_worker>(
                loop, m_store, *m_models.back(), "north-r" + std::to_string(i), given.port + 1 + i));
        }
        loop.every(5, [this] {
            for (auto& each : m_workers)
                each->tick();
            m_store.tick();
            m_advice.tick([this](const std::string& id) { return bornOf(id); }, m_record);
        });
    }

    result<void> listen()
    {
        BOOST_LEAF_CHECK(m_server.listen(address, static_cast<uint16_t>(m_options.port)));
        for (auto& each : m_workers)
            BOOST_LEAF_CHECK(each->listen());
        return {};
    }

private:
    int64_t bornOf(const std::string& id) const
    {
        for (const auto& each : m_models) {
            if (each->id() == id)
                return each->born();
        }
        return 0;
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        if (request.path == "/advise")
            return m_advice.serve(request, reply);
        if (request.path == "/advice-times") {
            json times = json::parse(request.body, nullptr, false);
            if (times.is_object())
                m_advice.setTimes(times);
            return reply->send(200, {}, "");
        }
        if (request.path == "/clock") {
            m_record.add("clock");
            return reply->send(200, {}, "");
        }
        if (request.path == "/events")
            return reply->send(200, {}, m_record.text());
        if (request.path == "/crash") {
            json order = json::parse(request.body, nullptr, false);
            for (auto& each : m_workers) {
                if (order.is_object() && each->model().id() == order.value("worker", std::string()))
                    each->crash(order.value("for_ms", int64_t { 1000 }));
            }
            return reply->send(200, {}, "");
        }
        if (request.path == "/log-append" && !fits(request.body))
            return reply->send(400, {}, "");
        if (!m_store.serve(request, reply))
            reply->send(404, {}, "");
    }

    options m_options;
    review::event_record m_record;
    store_standin m_store;
    advice_service m_advice;
    std::vector<std::unique_ptr<review::worker>> m_models;
    http_server m_server;
    std::vector<std::unique_ptr<served_worker>> m_workers;
};

} // namespace

int main(int argc, char** argv)
{
    const option known[]
        = { { "port", required_argument, nullptr, 'p' }, { "workers", required_argument, nullptr, 'w' },
              { "max-hold-ms", required_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    options given;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        if (code == 'p')
            given.port = std::stoi(optarg);
        else if (code == 'w')
            given.workers = std::stoi(optarg);
        else if (code == 'h')
            given.maxHoldMs = std::stoll(optarg);
        else
            return 2;
    }
    if (given.port <= 0)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    platform_standin platform(loop, given);
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_CHECK(platform.listen());
            loop.run();
            return 0;
        },
        [](const e_net& error) {
            std::cerr << error.message << "\n";
            return 3;
        },
        [] { return 3; });
}
