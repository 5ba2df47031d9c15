// See fleet_deployment.h.
#include "tests/process/fleet_deployment.h"

#include <algorithm>
#include <fstream>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr int64_t startTimeoutMs = 20'000;
    constexpr int64_t stateTimeoutMs = 20'000;
    constexpr int64_t metricsTimeoutMs = 300;
    constexpr int64_t historyTimeoutMs = 8000;
    constexpr int smallFleet = 30; // Workers; the ports of a larger fleet are followed by 100 further ports.
    constexpr uint16_t callerPorts = 40; // Offsets of the instances' ports.
    constexpr uint16_t readinessPorts = 60;
    constexpr uint16_t internalPorts = 80;
    const std::string address = "127.0.0.1";

} // namespace

fleet_deployment::fleet_deployment(fleet_options options)
    : m_options(std::move(options))
{
    std::string zones;
    for (const std::string& zone : m_options.zones)
        zones += (zones.empty() ? "" : ",") + zone;
    add(standinName,
        { programPath("camphorwell-standin-fleet"), "--port", std::to_string(m_options.firstPort),
            "--workers", std::to_string(m_options.workers), "--host", m_options.host, "--zones", zones,
            "--max-lease-ms", std::to_string(m_options.maxLeaseMs), "--heartbeat-ms",
            std::to_string(m_options.heartbeatMs) });
    for (int i = 1; i <= m_options.instances; i++) {
        std::string name
            = m_options.zones[static_cast<size_t>(i - 1) % m_options.zones.size()] + "-" + std::to_string(i);
        m_numbers[name] = i;
        writeSettings(name);
        add(name, { programPath("camphorwell-scheduler"), "--settings", directory() + "/" + name + ".json" });
    }
}

uint16_t fleet_deployment::portOf(const std::string& instance, uint16_t base) const
{
    int offset = m_options.workers > smallFleet ? 100 : 0;
    return static_cast<uint16_t>(m_options.firstPort + offset + base + m_numbers.at(instance));
}

size_t fleet_deployment::zoneIndex(const std::string& instance) const
{
    return static_cast<size_t>(m_numbers.at(instance) - 1) % m_options.zones.size();
}

const std::string& fleet_deployment::zoneOf(const std::string& instance) const
{
    return m_options.zones[zoneIndex(instance)];
}

uint16_t fleet_deployment::callerPort(const std::string& instance) const
{
    return portOf(instance, callerPorts);
}

void fleet_deployment::writeSettings(const std::string& name)
{
    // The store has a port for each zone after those of the workers.
    size_t storePort = m_options.firstPort + static_cast<size_t>(m_options.workers) + 1 + zoneIndex(name);
    auto listenAt = [&](uint16_t base) { return address + ":" + std::to_string(portOf(name, base)); };
    json settings { { "instance", name }, { "dataCentre", zoneOf(name) }, { "address", address },
        { "callers", listenAt(callerPorts) }, { "readiness", listenAt(readinessPorts) },
        { "internalPort", portOf(name, internalPorts) }, { "keepSeconds", m_options.keepSeconds },
        { "store",
            { { "address", address + ":" + std::to_string(storePort) },
                { "partitions", m_options.partitions } } },
        { "workers", { { "maxLeaseMs", m_options.maxLeaseMs } } } };
    std::ofstream(directory() + "/" + name + ".json") << settings.dump(2);
}

bool fleet_deployment::start()
{
    spawnAll();
    bool allReady = waitUntil(startTimeoutMs, [&] {
        auto all = instances();
        return std::all_of(all.begin(), all.end(), [&](const auto& each) { return ready(each); });
    });
    return allReady && !waitForLeader().empty();
}

std::vector<std::string> fleet_deployment::instances() const
{
    std::vector<std::string> out;
    for (const auto& [name, number] : m_numbers)
        out.push_back(name);
    return out;
}

bool fleet_deployment::ready(const std::string& instance)
{
    return call(portOf(instance, readinessPorts), "GET", "/readiness").status == 200;
}

int64_t fleet_deployment::counter(const std::string& instance, const std::string& name)
{
    std::string text
        = "\n" + call(portOf(instance, internalPorts), "GET", "/metrics", {}, {}, metricsTimeoutMs).body();
    std::string prefix = "\ncamphorwell_" + name + " ";
    size_t found = text.find(prefix);
    return found == std::string::npos ? 0 : std::stoll(text.substr(found + prefix.size()));
}

std::string fleet_deployment::leader()
{
    for (const auto& [name, number] : m_numbers) {
        if (running(name) && counter(name, "cells_taken") > counter(name, "cells_lost"))
            return name;
    }
    return {};
}

std::string fleet_deployment::waitForLeader(const std::string& previous)
{
    std::string found;
    waitUntil(startTimeoutMs, [&] {
        found = leader();
        return !found.empty() && found != previous;
    });
    return found == previous ? std::string() : found;
}

int fleet_deployment::submit(const std::string& instance, const std::string& path, const std::string& body)
{
    return call(callerPort(instance), "POST", path, {}, body).status;
}

bool fleet_deployment::submitTask(
    const std::string& instance, const std::string& path, const std::string& payload)
{
    json job { { "Spec", payload },
        { "Steps", json::array({ { { "Count", 1 }, { "Cpu", 100 }, { "MemMb", 10 } } }) } };
    return waitUntil(stateTimeoutMs, [&] { return submit(instance, path, job.dump()) == 200; });
}

std::string fleet_deployment::stateOf(const std::string& instance, const std::string& path)
{
    raw_answer answer = call(callerPort(instance), "GET", path);
    if (answer.status != 200)
        return std::to_string(answer.status);
    json body = json::parse(answer.body(), nullptr, false);
    return body.is_object() ? body.value("State", std::string()) : std::string();
}

bool fleet_deployment::waitForState(
    const std::string& instance, const std::string& path, const std::string& state)
{
    return waitUntil(stateTimeoutMs, [&] { return stateOf(instance, path) == state; });
}

void fleet_deployment::setStore(const json& admin)
{
    call(m_options.firstPort, "POST", "/admin", {}, admin.dump());
}

std::vector<fleet_attempt> fleet_deployment::history()
{
    std::vector<fleet_attempt> out;
    json rows = json::parse(
        call(m_options.firstPort, "GET", "/history", {}, {}, historyTimeoutMs).body(), nullptr, false);
    if (!rows.is_array())
        return out;
    for (const auto& row : rows) {
        fleet_attempt attempt { row.at(0), row.at(1), row.at(2), row.at(3), row.at(4), std::nullopt,
            row.at(6), row.at(7) };
        if (row.at(5).is_number())
            attempt.endedAt = row.at(5).get<int64_t>();
        out.push_back(std::move(attempt));
    }
    return out;
}

} // namespace camphorwell
