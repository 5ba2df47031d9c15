// Stand-in for the platform: an append-only log with offsets, retention and simulated outages, and a list of
// machines that lags behind their registrations.
//
//   POST /append               {"stream":s,"records":[...]} -> {"offsets":[...]}
//   GET  /read?stream=s&from=n -> {"records":[{"o":n,"d":s}],"first":n,"next":n,"end":b}
//   POST /register             {"kind":"worker"|"instance",...}; renews the machine's place on the list
//   GET  /list?dc=name         the list of machines, `--lag-ms` old
//   POST /admin                {"log":"up"|"down"|"lose_answers"|"slow","slow_ms":n}
//   GET  /stats                the number of appends
#include "net/net.h"
#include "standins/models.h"

#include <csignal>
#include <cstdio>
#include <deque>
#include <getopt.h>

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr size_t maxReadRecords = 1000;
constexpr int64_t registrationTimeoutMs = 2000; // Older registrations are dropped.
constexpr int64_t snapshotIntervalMs = 200;

const header_list jsonHeaders = { { "Content-Type", "application/json" } };

struct platform_settings {
    uint16_t port = 0;
    int64_t lagMs = 1000; // Age of the list that `/list` returns.
    int64_t retentionMs = 3'600'000;
};

std::string queryValue(const std::string& query, const std::string& name)
{
    size_t start = 0;
    while (start < query.size()) {
        size_t end = query.find('&', start);
        std::string pair = query.substr(start, end == std::string::npos ? end : end - start);
        if (pair.compare(0, name.size() + 1, name + "=") == 0)
            return pair.substr(name.size() + 1);
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    return {};
}

class platform_daemon {
public:
    platform_daemon(event_loop& loop, platform_settings settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_log(settings.retentionMs)
        , m_server(loop, http_limits { 16u << 20, 600'000 },
              [this](
                  http_request httpRequest, std::shared_ptr<http_reply> reply) { serve(httpRequest, reply); })
    {
    }

    bool start()
    {
        m_loop.every(snapshotIntervalMs, [this] { takeSnapshot(); });
        return static_cast<bool>(m_server.listen("127.0.0.1", m_settings.port));
    }

private:
    struct machine {
        json registration;
        instant lastRegistered { 0 };
    };

    void serve(const http_request& httpRequest, const std::shared_ptr<http_reply>& reply)
    {
        json body = json::parse(httpRequest.body, nullptr, false);
        try {
            if (httpRequest.path == "/append")
                return append(body, reply);
            if (httpRequest.path == "/read")
                return read(httpRequest.query, reply);
            if (httpRequest.path == "/register") {
                std::string key = body.at("dc").get<std::string>() + "/" + body.at("id").get<std::string>();
                m_machines[key] = { body, event_loop::now() };
                return reply->send(200, {}, "ok\n");
            }
            if (httpRequest.path == "/list")
                return list(httpRequest.query, reply);
            if (httpRequest.path == "/admin") {
                m_mode = body.value("log", m_mode);
                m_appendDelayMs = body.value("slow_ms", m_appendDelayMs);
                return reply->send(200, {}, "ok\n");
            }
            if (httpRequest.path == "/stats")
                return reply->send(200, jsonHeaders, json({ { "appends", m_log.appendCount() } }).dump());
        } catch (const json::exception& error) {
            return reply->send(400, {}, std::string(error.what()) + "\n");
        }
        reply->send(404, {}, "no such path\n");
    }

    void append(const json& body, const std::shared_ptr<http_reply>& reply)
    {
        if (m_mode == "down")
            return reply->send(503, {}, "the log is down\n");
        auto offsets = m_log.append(event_loop::now(), body.at("stream").get<std::string>(),
            body.at("records").get<std::vector<std::string>>());
        if (m_mode == "lose_answers")
            return m_unansweredReplies.push_back(reply);
        std::string answer = json({ { "offsets", offsets } }).dump();
        if (m_mode == "slow")
            m_loop.after(m_appendDelayMs, [reply, answer] { reply->send(200, jsonHeaders, answer); });
        else
            reply->send(200, jsonHeaders, answer);
    }

    void read(const std::string& query, const std::shared_ptr<http_reply>& reply)
    {
        if (m_mode == "down")
            return reply->send(503, {}, "the log is down\n");
        int64_t from = std::strtoll(queryValue(query, "from").c_str(), nullptr, 10);
        read_reply found = m_log.read(event_loop::now(), queryValue(query, "stream"), from, maxReadRecords);
        json out = { { "records", json::array() }, { "first", found.first }, { "next", found.next },
            { "end", found.atEnd } };
        for (const auto& record : found.records)
            out["records"].push_back({ { "o", record.offset }, { "d", record.data } });
        reply->send(200, jsonHeaders, out.dump());
    }

    void takeSnapshot()
    {
        instant now = event_loop::now();
        json current = json::object();
        for (const auto& [key, registered] : m_machines) {
            if (now - registered.lastRegistered < milliseconds(registrationTimeoutMs))
                current[registered.registration.at("dc").get<std::string>()].push_back(
                    registered.registration);
        }
        m_snapshots.emplace_back(now, std::move(current));
        while (m_snapshots.size() > 1 && now - m_snapshots[1].first > milliseconds(m_settings.lagMs))
            m_snapshots.pop_front();
    }

    void list(const std::string& query, const std::shared_ptr<http_reply>& reply)
    {
        std::string dataCentre = queryValue(query, "dc");
        json out = { { "machines", json::array() } };
        bool lagElapsed = !m_snapshots.empty()
            && event_loop::now() - m_snapshots.front().first >= milliseconds(m_settings.lagMs);
        if (lagElapsed && m_snapshots.front().second.contains(dataCentre))
            out["machines"] = m_snapshots.front().second[dataCentre];
        reply->send(lagElapsed ? 200 : 503, jsonHeaders, out.dump());
    }

    event_loop& m_loop;
    platform_settings m_settings;
    log_model m_log;
    http_server m_server;
    std::map<std::string, machine> m_machines;
    std::deque<std::pair<instant, json>> m_snapshots;
    std::vector<std::shared_ptr<http_reply>> m_unansweredReplies;
    std::string m_mode = "up";
    int64_t m_appendDelayMs = 500;
};

} // namespace

int main(int argc, char** argv)
{
    platform_settings settings;
    const option longOptions[]
        = { { "port", required_argument, nullptr, 'p' }, { "lag-ms", required_argument, nullptr, 'l' },
              { "retention-ms", required_argument, nullptr, 'r' }, { nullptr, 0, nullptr, 0 } };
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (optionCode == 'p')
            settings.port = static_cast<uint16_t>(std::stoi(optarg));
        else if (optionCode == 'l')
            settings.lagMs = std::stoll(optarg);
        else if (optionCode == 'r')
            settings.retentionMs = std::stoll(optarg);
        else
            return 2;
    }
    event_loop loop;
    platform_daemon daemon(loop, settings);
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.onSignal(SIGINT, [&] { loop.stop(); });
    if (!daemon.start()) {
        std::fprintf(stderr, "the port is in use\n");
        return 1;
    }
    loop.run();
    return 0;
}
