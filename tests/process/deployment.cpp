// See deployment.h.
#include "tests/process/deployment.h"

#include <algorithm>
#include <fstream>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr int64_t startTimeoutMs = 20'000;
} // namespace

deployment::deployment(deployment_options options)
    : m_options(std::move(options))
{
    uint16_t port = m_options.firstPort;
    auto platformPort = std::to_string(port);
    add("platform",
        { programPath("camphorwell-standin-platform"), "--port", platformPort, "--lag-ms",
            std::to_string(m_options.listLagMs) });
    m_places["platform"] = { port++, "" };
    for (const auto& centre : m_options.dataCentres) {
        for (int i = 1; i <= m_options.workers; i++) {
            std::string id = centre + "-w" + std::to_string(i);
            m_places[id] = { port++, centre };
            add(id,
                { programPath("camphorwell-standin-worker"), "--id", id, "--dc", centre, "--port",
                    std::to_string(m_places[id].port), "--platform-port", platformPort });
        }
        for (int i = 1; i <= m_options.instances; i++) {
            std::string id = centre + "-" + std::to_string(i);
            m_places[id] = { port++, centre };
            m_peerPorts[id] = port++;
            add(id, { programPath("camphorwell-entry"), "--settings", directory() + "/" + id + ".json" });
        }
    }
    for (const auto& [id, peerPort] : m_peerPorts)
        writeSettings(id, m_places[id], peerPort);
}

void deployment::writeSettings(const std::string& instance, const place& entry, uint16_t peerPort)
{
    json settings = { { "instance", instance }, { "data_centre", entry.dataCentre },
        { "http", { { "address", "127.0.0.1" }, { "port", entry.port }, { "idle_ms", 5000 } } },
        { "peer", { { "address", "127.0.0.1" }, { "port", peerPort }, { "key", "key-for-the-tests-only" } } },
        { "platform", { { "address", "127.0.0.1" }, { "port", platformPort() } } },
        { "peers", json::array() },
        { "timing",
            { { "lease_ms", m_options.leaseMs }, { "renew_ms", m_options.leaseMs * 3 / 10 },
                { "task_lease_ms", m_options.leaseMs * 4 }, { "log_poll_ms", 200 },
                { "call_timeout_ms", m_options.leaseMs / 2 }, { "list_drop_ms", 2000 } } } };
    for (const auto& [id, port] : m_peerPorts) {
        if (id != instance)
            settings["peers"].push_back({ { "instance", id }, { "data_centre", m_places.at(id).dataCentre },
                { "address", "127.0.0.1" }, { "port", port } });
    }
    std::ofstream(directory() + "/" + instance + ".json") << settings.dump(2);
}

bool deployment::ready(const std::string& instance)
{
    return call(entryPort(instance), "GET", "/readyz").status == 200;
}

bool deployment::viewComplete(const std::string& instance)
{
    json status = getJson(entryPort(instance), "/v1/status");
    return status.is_object() && status.value("closed", false)
        && status["members"].size() == static_cast<size_t>(m_options.instances);
}

bool deployment::start(const json& entries)
{
    spawnAll();
    std::string first = instances().front();
    bool joined = waitUntil(startTimeoutMs, [&] {
        auto all = instances();
        return std::all_of(all.begin(), all.end(), [&](const auto& each) { return viewComplete(each); });
    });
    if (!joined)
        return false;
    for (const auto& entry : entries) {
        auto answer = call(entryPort(first), "PUT", "/v1/catalogue/" + entry["name"].get<std::string>(),
            { { "If-Match", "\"0\"" } }, entry.dump());
        if (answer.status != 200)
            return false;
    }
    return waitUntil(startTimeoutMs, [&] {
        for (const auto& each : instances()) {
            json listed = getJson(entryPort(each), "/v1/catalogue");
            if (!listed.is_object() || listed["entries"].size() != entries.size() || !ready(each))
                return false;
        }
        return true;
    });
}

uint16_t deployment::entryPort(const std::string& instance) const { return m_places.at(instance).port; }
uint16_t deployment::workerPort(const std::string& worker) const { return m_places.at(worker).port; }

std::vector<std::string> deployment::instances() const
{
    std::vector<std::string> out;
    for (const auto& [id, port] : m_peerPorts)
        out.push_back(id);
    return out;
}

std::vector<std::string> deployment::workers() const
{
    std::vector<std::string> out;
    for (const auto& [name, each] : m_places) {
        if (name != "platform" && !m_peerPorts.count(name))
            out.push_back(name);
    }
    return out;
}

void deployment::setPlatform(const json& admin) { call(platformPort(), "POST", "/admin", {}, admin.dump()); }

void deployment::setWorker(const std::string& worker, const json& admin)
{
    call(workerPort(worker), "POST", "/admin", {}, admin.dump());
}

json deployment::history()
{
    json out = json::array();
    for (const auto& worker : workers()) {
        json runs = getJson(workerPort(worker), "/history");
        for (auto& run : runs)
            out.push_back(run);
    }
    return out;
}

std::string workIdOf(const raw_answer& answer)
{
    size_t at = answer.bytes.find("X-Work-Id: ");
    if (at == std::string::npos)
        return {};
    size_t end = answer.bytes.find("\r\n", at);
    return answer.bytes.substr(at + 11, end - at - 11);
}

std::vector<std::string> executionViolations(const json& history)
{
    std::map<std::string, std::vector<json>> byWork;
    for (const auto& run : history)
        byWork[run["id"].get<std::string>()].push_back(run);
    std::vector<std::string> out;
    for (auto& [id, runs] : byWork) {
        std::sort(runs.begin(), runs.end(), [](const json& a, const json& b) {
            return a["start_us"].get<int64_t>() < b["start_us"].get<int64_t>();
        });
        for (size_t i = 0; i + 1 < runs.size(); i++) {
            bool overlap = !runs[i].contains("end_us")
                || runs[i]["end_us"].get<int64_t>() > runs[i + 1]["start_us"].get<int64_t>();
            if (overlap)
                out.push_back("runs of " + id + " overlap: " + json(runs).dump());
            if (runs[i]["state"] == "done")
                out.push_back(id + " ran after it was done: " + json(runs).dump());
        }
    }
    return out;
}

} // namespace camphorwell
