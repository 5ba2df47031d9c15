// Stand-in for a worker: runs no real tasks, but simulates leases, slots and run times.
//
//   POST /call     a worker call; a start of a short task is answered when the task completes
//   POST /run      runs a body immediately, without a lease; the baseline for latency comparisons
//   GET  /history  every attempt, for the tests
//   POST /admin    {"failing":bool,"speed":number,"mute":bool}
#include "net/net.h"
#include "standins/models.h"

#include <csignal>
#include <cstdio>
#include <getopt.h>

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr int64_t registrationIntervalMs = 300;

struct worker_settings {
    std::string id = "w1";
    std::string rack = "r1";
    std::string dataCentre = "centre";
    std::string address = "127.0.0.1";
    uint16_t port = 0;
    uint16_t platformPort = 0;
    resources capacity { 32000, 125000, 0, 8 };
};

const header_list jsonHeaders = { { "Content-Type", "application/json" } };

class worker_daemon {
public:
    worker_daemon(event_loop& loop, worker_settings settings)
        : m_loop(loop)
        , m_settings(std::move(settings))
        , m_model(m_settings.id, m_settings.capacity, static_cast<uint64_t>(event_loop::now().count()))
        , m_platform(loop, "127.0.0.1", m_settings.platformPort, 2)
        , m_server(loop, http_limits { 1u << 20, 600'000 },
              [this](
                  http_request httpRequest, std::shared_ptr<http_reply> reply) { serve(httpRequest, reply); })
    {
    }

    bool start()
    {
        m_loop.every(1, [this] { advance(); });
        m_loop.every(registrationIntervalMs, [this] { registerWithPlatform(); });
        registerWithPlatform();
        return static_cast<bool>(m_server.listen(m_settings.address, m_settings.port));
    }

    void leave()
    {
        m_leaving = true;
        registerWithPlatform();
    }

private:
    void registerWithPlatform()
    {
        json body = { { "kind", "worker" }, { "id", m_settings.id }, { "rack", m_settings.rack },
            { "dc", m_settings.dataCentre }, { "address", m_settings.address }, { "port", m_settings.port },
            { "leaving", m_leaving } };
        m_platform.call("POST", "/register", jsonHeaders, body.dump(), 1000, [](const http_response&) {});
    }

    void serve(const http_request& httpRequest, const std::shared_ptr<http_reply>& reply)
    {
        if (m_mute && httpRequest.path != "/admin")
            return m_unansweredReplies.push_back(reply);
        json body = json::parse(httpRequest.body, nullptr, false);
        try {
            if (httpRequest.path == "/call")
                return onCall(workerCallFromJson(body), reply);
            if (httpRequest.path == "/run")
                return onRun(httpRequest.body, reply);
            if (httpRequest.path == "/history")
                return reply->send(200, jsonHeaders, history().dump());
            if (httpRequest.path == "/admin")
                return onAdmin(body, reply);
        } catch (const json::exception& error) {
            return reply->send(400, {}, std::string(error.what()) + "\n");
        }
        reply->send(404, {}, "no such path\n");
    }

    void onCall(const worker_call& call, const std::shared_ptr<http_reply>& reply)
    {
        worker_answer workerAnswer = m_model.handle(event_loop::now(), call);
        const auto* start = std::get_if<start_call>(&call);
        bool replyOnCompletion = start && !start->work.batch && workerAnswer.verdict == worker_verdict::ok
            && !workerAnswer.tasks.empty() && workerAnswer.tasks.front().state == task_state::running;
        if (replyOnCompletion)
            m_completionReplies[{ start->work.id, start->work.attempt }].push_back(reply);
        else
            reply->send(200, jsonHeaders, toJson(workerAnswer).dump());
        advance();
    }

    void onRun(const std::string& body, const std::shared_ptr<http_reply>& reply)
    {
        int64_t ms = requestedWorkMs(body, false);
        if (ms == 0)
            return reply->send(200, jsonHeaders, "{\"ok\":true}");
        m_loop.after(ms, [reply] { reply->send(200, jsonHeaders, "{\"ok\":true}"); });
    }

    void onAdmin(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        m_model.setFailing(body.value("failing", false));
        m_model.setSpeed(body.value("speed", 1.0));
        m_mute = body.value("mute", false);
        if (!m_mute)
            m_unansweredReplies.clear();
        reply->send(200, {}, "ok\n");
    }

    json history() const
    {
        json out = json::array();
        for (const auto& run : m_model.attempts()) {
            json item = { { "worker", run.worker }, { "id", run.id }, { "attempt", run.attempt },
                { "start_us", run.started.count() }, { "state", toString(run.state) } };
            if (run.ended)
                item["end_us"] = run.ended->count();
            out.push_back(std::move(item));
        }
        return out;
    }

    void advance()
    {
        m_model.advance(event_loop::now());
        for (const auto& report : m_model.takeCompleted()) {
            auto found = m_completionReplies.find({ report.id, report.attempt });
            if (found == m_completionReplies.end())
                continue;
            worker_answer workerAnswer;
            workerAnswer.tasks.push_back(report);
            for (const auto& reply : found->second)
                reply->send(200, jsonHeaders, toJson(workerAnswer).dump());
            m_completionReplies.erase(found);
        }
    }

    event_loop& m_loop;
    worker_settings m_settings;
    worker_model m_model;
    http_client m_platform;
    http_server m_server;
    std::map<std::pair<work_id, uint64_t>, std::vector<std::shared_ptr<http_reply>>> m_completionReplies;
    std::vector<std::shared_ptr<http_reply>> m_unansweredReplies;
    bool m_leaving = false;
    bool m_mute = false;
};

worker_settings parseArguments(int argc, char** argv)
{
    worker_settings out;
    const option longOptions[] = { { "id", required_argument, nullptr, 'i' },
        { "rack", required_argument, nullptr, 'r' }, { "dc", required_argument, nullptr, 'd' },
        { "port", required_argument, nullptr, 'p' }, { "platform-port", required_argument, nullptr, 'l' },
        { "cpu-milli", required_argument, nullptr, 'c' }, { "memory-mb", required_argument, nullptr, 'm' },
        { "accelerators", required_argument, nullptr, 'a' }, { "slots", required_argument, nullptr, 's' },
        { nullptr, 0, nullptr, 0 } };
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        std::string value = optarg ? optarg : "";
        switch (optionCode) {
        case 'i':
            out.id = value;
            break;
        case 'r':
            out.rack = value;
            break;
        case 'd':
            out.dataCentre = value;
            break;
        case 'p':
            out.port = static_cast<uint16_t>(std::stoi(value));
            break;
        case 'l':
            out.platformPort = static_cast<uint16_t>(std::stoi(value));
            break;
        case 'c':
            out.capacity.cpuMilli = std::stoll(value);
            break;
        case 'm':
            out.capacity.memoryMb = std::stoll(value);
            break;
        case 'a':
            out.capacity.accelerators = std::stoll(value);
            break;
        case 's':
            out.capacity.slots = std::stoll(value);
            break;
        default:
            std::exit(2);
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    event_loop loop;
    worker_daemon daemon(loop, parseArguments(argc, argv));
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    loop.onSignal(SIGUSR1, [&] { daemon.leave(); });
    if (!daemon.start()) {
        std::fprintf(stderr, "the port is in use\n");
        return 1;
    }
    loop.run();
    return 0;
}
