// A stand-in for the users' platform, for the cases of the second review: the store, the operator's
// configuration and the workers, on one loopback address.
//
//   platform SETTINGS_FILE
//
// The settings are a JSON object: address, port (the store's; worker I listens on the I-th port after it),
// configuration, workers (a list of objects with id, service, labels, Cpu and MemMb), and optionally
// heartbeatMs, recordBytes, callBytes, checkpointMs, gangTimeoutMs, maxHoldMs, and the times of the advice
// service decideMs, periodMs and validMs.
//
// A task does what its payload says: work_ms=N (how long it works), saves (it saves checkpoints), gang=N (the
// number of members that work together) and advised (its starts need a ticket). The advice service is at the
// store's address; its policy allows every worker. Beside the interfaces of the users' pages:
//
//   POST /operator  the body becomes the operator's configuration
//   POST /add       {"workers": [...]}: new workers, as in the settings
//   POST /crash     {"workers": [id, ...], "for_ms": N, "labels": [...]}: the workers crash, and start again
//                   under their ids after for_ms, with these labels if they are given
//   GET /history    a line for each start that a worker carried out
#include "platform/platform.h"
#include "net/net.h"
#include "standins/store_standin.h"

#include <boost/endian/conversion.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>

namespace {

using namespace camphorwell;
using nlohmann::json;
using reply_ptr = std::shared_ptr<http_reply>;

constexpr int tickMs = 5;
constexpr http_limits limits { 1 << 22, 60'000 };

ms nowMs() { return std::chrono::duration_cast<milliseconds>(event_loop::now()).count(); }

int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct options {
    std::string address;
    uint16_t port = 0;
    ms heartbeatMs = 1500;
    size_t recordBytes = 262144;
    size_t callBytes = 2097152;
    ms checkpointMs = 500;
    ms gangTimeoutMs = 3000;
    ms maxHoldMs = 6000;
    ms decideMs = 20;
    ms periodMs = 2;
    ms validMs = 3000;
};

// A start that a worker carried out, and how the run ended.
struct observed_run {
    ms startedAt = 0;
    std::string task;
    int64_t run = 0;
    std::string worker;
    int life = 0;
    std::string labels;
    std::string checkpoint;
    std::string how = "runs";
    ms endedAt = 0;
    bool acknowledged = false;
};

// The number after `name` in a payload.
ms numberIn(const std::string& payload, const std::string& name, ms fallback)
{
    size_t at = payload.find(name);
    return at == std::string::npos ? fallback : std::stoll(payload.substr(at + name.size()));
}

// Members of one run of a gang, on any workers.
struct gang_run {
    int present = 0;
    ms workingSince = 0; // 0: members are missing.
    ms resumedFrom = 0; // Work that was done before this run.
    bool broken = false;
};
using ticket_table = std::map<std::string, ms>; // Issue times.
using gang_table = std::map<std::pair<std::string, int64_t>, gang_run>; // By step and run.

std::string encodeCheckpoint(ms done)
{
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(done));
    return out;
}

ms decodeCheckpoint(const std::string& checkpoint)
{
    return checkpoint.empty() ? 0 : std::stoll(checkpoint, nullptr, 16);
}

// One worker. It lives on the loop's thread and listens while it is up.
class worker {
public:
    worker(event_loop& loop, store_standin& store, const options& given, const json& self, uint16_t port,
        std::vector<observed_run>& history, gang_table& gangs, const ticket_table& tickets)
        : m_loop(loop)
        , m_store(store)
        , m_options(given)
        , m_self(self)
        , m_port(port)
        , m_history(history)
        , m_gangs(gangs)
        , m_tickets(tickets)
    {
        start();
    }

    std::string id() const { return m_self["id"]; }

    // The ticket for a step in the present life.
    std::string ticketFor(const std::string& step) const
    {
        return step + "/" + id() + "/" + std::to_string(m_life);
    }

    void crash(ms forMs, const json& labels)
    {
        for (const running& each : m_running)
            end(each, "lost");
        m_running.clear();
        m_finished.clear();
        m_highest.clear();
        m_polls.clear();
        m_server.reset();
        m_upAt = nowMs() + forMs;
        m_removeEntryAt = m_heartbeatAt + 3 * m_options.heartbeatMs;
        if (labels.is_array())
            m_self["labels"] = labels;
    }

    void tick()
    {
        if (!m_server) {
            if (m_removeEntryAt != 0 && nowMs() >= m_removeEntryAt) {
                m_store.put(platform::workerTopic, id(), "");
                m_removeEntryAt = 0;
            }
            if (nowMs() >= m_upAt)
                start();
            return;
        }
        if (nowMs() - m_heartbeatAt >= m_options.heartbeatMs)
            writeEntry();
        advance();
        answerPolls();
    }

private:
    struct running {
        std::string task;
        int64_t run = 0;
        size_t historyIndex = 0;
        ms startedAt = 0;
        ms workMs = 0;
        ms resumedFrom = 0;
        bool saves = false;
        int gangSize = 0;
    };
    struct finished {
        uint64_t number = 0;
        std::string task;
        int64_t run = 0;
        std::string how;
        std::string saved;
        size_t historyIndex = 0;
    };
    struct waiting_poll {
        ms deadline = 0;
        reply_ptr reply;
    };

    void start()
    {
        m_server = std::make_unique<http_server>(m_loop, limits,
            [this](const http_request& request, const reply_ptr& reply) { serve(request, reply); });
        bool listens = false;
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_CHECK(m_server->listen(m_options.address, m_port));
                listens = true;
                return {};
            },
            [] {});
        if (!listens) {
            std::cerr << "cannot listen on port " << m_port << "\n";
            std::exit(2);
        }
        m_removeEntryAt = 0;
        m_life++;
        m_bornUnixMs = unixMs();
        m_startedAt = nowMs();
        m_token = 0;
        m_leaseUntil = 0;
        m_nextEnd = 1;
        m_sequence = 0;
        writeEntry();
    }

    ms clock() const { return nowMs() - m_startedAt; }

    void writeEntry()
    {
        m_heartbeatAt = nowMs();
        json entry { { "Service", m_self["service"] },
            { "Address", m_options.address + ":" + std::to_string(m_port) }, { "Zone", "north" },
            { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
            { "Sequence", ++m_sequence }, { "Labels", m_self["labels"] },
            { "Capacity", { { "Cpu", m_self["Cpu"] }, { "MemMb", m_self["MemMb"] } } },
            { "born", m_bornUnixMs } };
        m_store.put(platform::workerTopic, id(), entry.dump());
    }

    gang_run& gangOf(const running& each)
    {
        return m_gangs[{ each.task.substr(0, each.task.rfind('.')), each.run }];
    }

    // Work that the run has done, with what it resumed from.
    ms doneOf(const running& each)
    {
        if (each.gangSize == 0)
            return each.resumedFrom + nowMs() - each.startedAt;
        const gang_run& gang = gangOf(each);
        return gang.resumedFrom + (gang.workingSince == 0 ? 0 : nowMs() - gang.workingSince);
    }

    std::string savedOf(const running& each, bool stopped)
    {
        if (!each.saves)
            return "";
        ms done = doneOf(each);
        ms saved = stopped ? done : done - done % m_options.checkpointMs;
        return saved == 0 ? "" : encodeCheckpoint(saved);
    }

    void end(const running& each, const std::string& how)
    {
        m_history[each.historyIndex].how = how;
        m_history[each.historyIndex].endedAt = nowMs();
        m_highest[each.task] = std::max(m_highest[each.task], each.run);
        if (each.gangSize > 0 && how != "done")
            gangOf(each).broken = true;
        if (how != "lost")
            m_finished.push_back({ m_nextEnd++, each.task, each.run, how, savedOf(each, how == "stopped"),
                each.historyIndex });
    }

    void advance()
    {
        bool lapsed = clock() > m_leaseUntil;
        for (auto it = m_running.begin(); it != m_running.end();) {
            std::string how;
            if (lapsed)
                how = "lapsed";
            else if (it->gangSize > 0 && gangOf(*it).broken)
                how = "broken";
            else if (doneOf(*it) >= it->workMs)
                how = "done";
            else if (it->gangSize > 0 && gangOf(*it).workingSince == 0
                && nowMs() - it->startedAt > m_options.gangTimeoutMs)
                how = "alone";
            if (how.empty()) {
                ++it;
                continue;
            }
            end(*it, how);
            it = m_running.erase(it);
        }
    }

    void answer(const reply_ptr& reply, const char* refusal)
    {
        json body { { "ClockMs", clock() }, { "born", m_bornUnixMs } };
        if (refusal)
            body["Reason"] = refusal;
        reply->send(refusal ? 409 : 200, {}, body.dump());
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        const std::string* expected = request.header("expect-instance");
        if (expected && *expected != id())
            return reply->send(421, {}, "");
        json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return reply->send(400, {}, "");
        uint64_t token = body.value("FencingToken", uint64_t { 0 });
        if (token < m_token)
            return answer(reply, "fence");
        m_token = token;
        if (request.path == "/run-start")
            return startRun(body, reply);
        if (request.path == "/run-stop")
            return stopRun(body, reply);
        if (request.path == "/hold")
            return hold(body, reply);
        if (request.path == "/pace")
            return answer(reply, nullptr);
        reply->send(404, {}, "");
    }

    void extendLease(ms deadline)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + m_options.maxHoldMs));
    }

    void startRun(const json& body, const reply_ptr& reply)
    {
        std::string task = body.value("Task", std::string());
        std::string payload = body.value("Spec", std::string());
        auto run = body.value("Run", int64_t { 0 });
        ms deadline = body.value("DeadlineMs", ms { 0 });
        for (const running& each : m_running) {
            if (each.task == task && each.run == run)
                return answer(reply, nullptr);
        }
        auto highest = m_highest.find(task);
        if (highest != m_highest.end() && run <= highest->second) {
            extendLease(deadline);
            return answer(reply, "old");
        }
        if (deadline <= clock())
            return answer(reply, "late");
        if (payload.find("advised") != std::string::npos
            && !hasTicket(task, body.value("Ticket", std::string())))
            return answer(reply, "ticket");
        extendLease(deadline);
        std::string checkpoint = body.value("Checkpoint", std::string());
        std::string labels;
        for (const std::string label : m_self["labels"])
            labels += (labels.empty() ? "" : ",") + label;
        m_history.push_back({ nowMs(), task, run, id(), m_life, labels, checkpoint });
        running added { task, run, m_history.size() - 1, nowMs(), numberIn(payload, "work_ms=", 200),
            decodeCheckpoint(checkpoint), payload.find("saves") != std::string::npos,
            static_cast<int>(numberIn(payload, "gang=", 0)) };
        m_running.push_back(added);
        if (added.gangSize > 0) {
            gang_run& gang = gangOf(added);
            gang.resumedFrom = added.resumedFrom;
            if (++gang.present == added.gangSize)
                gang.workingSince = nowMs();
        }
        answer(reply, nullptr);
    }

    bool hasTicket(const std::string& task, const std::string& ticket) const
    {
        auto issued = m_tickets.find(ticket);
        return ticket == ticketFor(task.substr(0, task.rfind('.'))) && issued != m_tickets.end()
            && nowMs() <= issued->second + m_options.validMs;
    }

    void stopRun(const json& body, const reply_ptr& reply)
    {
        std::string task = body.value("Task", std::string());
        auto run = body.value("Run", int64_t { 0 });
        m_highest[task] = std::max(m_highest[task], run);
        for (auto it = m_running.begin(); it != m_running.end(); ++it) {
            if (it->task == task && it->run == run) {
                end(*it, "stopped");
                m_running.erase(it);
                break;
            }
        }
        answer(reply, nullptr);
    }

    void hold(const json& body, const reply_ptr& reply)
    {
        if (body.contains("DeadlineMs"))
            extendLease(body["DeadlineMs"].get<ms>());
        auto lastSeen = body.value("LastSeen", uint64_t { 0 });
        m_finished.remove_if([&](const finished& each) {
            bool seen = each.number <= lastSeen;
            m_history[each.historyIndex].acknowledged |= seen;
            return seen;
        });
        m_polls.push_back({ nowMs() + body.value("WaitMs", ms { 0 }), reply });
        answerPolls();
    }

    void answerPolls()
    {
        m_polls.remove_if([&](const waiting_poll& poll) {
            if (m_finished.empty() && nowMs() < poll.deadline)
                return false;
            poll.reply->send(200, {}, report());
            return true;
        });
    }

    std::string report()
    {
        constexpr size_t maxListed = 500;
        json runs = json::array();
        for (const running& each : m_running) {
            ms percent = std::min<ms>(99, 100 * doneOf(each) / std::max<ms>(1, each.workMs));
            runs.push_back({ each.task, each.run, savedOf(each, false), percent, 0 });
        }
        json ends = json::array();
        for (const finished& each : m_finished) {
            if (ends.size() < maxListed)
                ends.push_back({ each.number, each.task, each.run, each.how, each.saved });
        }
        return json {
            { "ClockMs", clock() }, { "born", m_bornUnixMs }, { "Running", runs }, { "Finished", ends }
        }.dump();
    }

    event_loop& m_loop;
    store_standin& m_store;
    const options& m_options;
    json m_self;
    uint16_t m_port;
    std::vector<observed_run>& m_history;
    gang_table& m_gangs;
    const ticket_table& m_tickets;
    std::unique_ptr<http_server> m_server; // Null while the worker is down.
    ms m_upAt = 0;
    ms m_removeEntryAt = 0;
    int m_life = 0;
    int64_t m_bornUnixMs = 0;
    ms m_startedAt = 0;
    ms m_heartbeatAt = 0;
    int64_t m_sequence = 0;
    uint64_t m_token = 0;
    ms m_leaseUntil = 0;
    uint64_t m_nextEnd = 1;
    std::list<running> m_running;
    std::list<finished> m_finished;
    std::map<std::string, int64_t> m_highest;
    std::list<waiting_poll> m_polls;
};

class platform_standin {
public:
    platform_standin(event_loop& loop, options given, const json& settings)
        : m_loop(loop)
        , m_options(std::move(given))
        , m_server(loop, limits, [this](const auto& request, const auto& reply) { serve(request, reply); })
    {
        putConfiguration(settings["configuration"].dump());
        addWorkers(settings["workers"]);
        loop.every(tickMs, [this] {
            for (auto& each : m_workers)
                each->tick();
            m_store.tick();
        });
    }

    result<void> listen() { return m_server.listen(m_options.address, m_options.port); }

private:
    void putConfiguration(const std::string& bytes)
    {
        m_store.put(platform::operatorTopic, platform::configurationKey, bytes);
    }

    void addWorkers(const json& added)
    {
        for (const json& each : added) {
            auto port = static_cast<uint16_t>(m_options.port + m_workers.size() + 1);
            m_workers.push_back(std::make_unique<worker>(
                m_loop, m_store, m_options, each, port, m_history, m_gangs, m_tickets));
        }
    }

    // Answers calls for advice one after the other.
    void advise(const json& body, const reply_ptr& reply)
    {
        auto names = body.value("Workers", std::vector<std::string>());
        ms startsAt = std::max(nowMs(), m_advisingUntil);
        m_advisingUntil = startsAt + m_options.decideMs + m_options.periodMs * static_cast<ms>(names.size());
        m_loop.after(
            m_advisingUntil - nowMs(), [this, reply, names, step = body.value("Step", std::string())] {
                json good = json::array();
                for (const auto& each : m_workers) {
                    if (std::find(names.begin(), names.end(), each->id()) == names.end())
                        continue;
                    std::string ticket = each->ticketFor(step);
                    m_tickets[ticket] = nowMs();
                    good.push_back({ each->id(), ticket });
                }
                reply->send(200, {}, json { { "Good", good } }.dump());
            });
    }

    // Whether every record of an append, and all of them together, are within the store's limits.
    bool withinLimits(const std::string& records) const
    {
        size_t position = 0;
        size_t total = 0;
        while (position + 4 <= records.size()) {
            size_t length = boost::endian::load_big_u32(
                reinterpret_cast<const unsigned char*>(records.data() + position));
            if (length > m_options.recordBytes)
                return false;
            total += length;
            position += 4 + length;
        }
        return total <= m_options.callBytes;
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        if (request.path == "/history")
            return reply->send(200, {}, history());
        if (request.path == "/operator") {
            putConfiguration(request.body);
            return reply->send(200, {}, "");
        }
        if (request.path == "/advise")
            return advise(json::parse(request.body, nullptr, false), reply);
        if (request.path == "/add") {
            addWorkers(json::parse(request.body, nullptr, false)["workers"]);
            return reply->send(200, {}, "");
        }
        if (request.path == "/crash") {
            json order = json::parse(request.body, nullptr, false);
            for (const auto& id : order.value("workers", std::vector<std::string>())) {
                for (auto& each : m_workers) {
                    if (each->id() == id)
                        each->crash(order.value("for_ms", ms { 1000 }), order.value("labels", json()));
                }
            }
            return reply->send(200, {}, "");
        }
        if (request.path == "/log-append" && !withinLimits(request.body)) {
            m_refusedAppends++;
            return reply->send(400, {}, "");
        }
        if (!m_store.serve(request, reply))
            reply->send(404, {}, "");
    }

    std::string history() const
    {
        std::string out = "appends refused for their size: " + std::to_string(m_refusedAppends) + "\n";
        for (const observed_run& each : m_history) {
            std::string end = each.endedAt == 0 ? "-" : std::to_string(each.endedAt);
            out += "start=" + std::to_string(each.startedAt) + " task=" + each.task
                + " run=" + std::to_string(each.run) + " worker=" + each.worker
                + " life=" + std::to_string(each.life) + " labels=" + each.labels
                + " checkpoint=" + (each.checkpoint.empty() ? "-" : each.checkpoint) + " how=" + each.how
                + " end=" + end + " seen=" + (each.acknowledged ? "1" : "0") + "\n";
        }
        return out;
    }

    event_loop& m_loop;
    options m_options;
    store_standin m_store;
    std::vector<observed_run> m_history;
    gang_table m_gangs;
    ticket_table m_tickets;
    ms m_advisingUntil = 0;
    http_server m_server;
    std::vector<std::unique_ptr<worker>> m_workers;
    int m_refusedAppends = 0;
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::cerr << "usage: platform SETTINGS_FILE\n";
        return 2;
    }
    std::ifstream in(argv[1]);
    json settings = json::parse(in, nullptr, false);
    if (!settings.is_object()) {
        std::cerr << argv[1] << ": is not a JSON object\n";
        return 2;
    }
    options given;
    given.address = settings["address"];
    given.port = settings["port"];
    given.heartbeatMs = settings.value("heartbeatMs", given.heartbeatMs);
    given.recordBytes = settings.value("recordBytes", given.recordBytes);
    given.callBytes = settings.value("callBytes", given.callBytes);
    given.checkpointMs = settings.value("checkpointMs", given.checkpointMs);
    given.gangTimeoutMs = settings.value("gangTimeoutMs", given.gangTimeoutMs);
    given.maxHoldMs = settings.value("maxHoldMs", given.maxHoldMs);
    given.decideMs = settings.value("decideMs", given.decideMs);
    given.periodMs = settings.value("periodMs", given.periodMs);
    given.validMs = settings.value("validMs", given.validMs);
    event_loop loop;
    platform_standin standin(loop, given, settings);
    bool listens = false;
    boost::leaf::try_handle_all(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(standin.listen());
            listens = true;
            return {};
        },
        [] {});
    if (!listens) {
        std::cerr << "cannot listen on " << given.address << ":" << given.port << "\n";
        return 2;
    }
    std::cout << "listening" << std::endl;
    loop.run();
}
