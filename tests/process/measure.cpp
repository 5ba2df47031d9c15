// Measures takeover after a kill, the cost of idle instances, and latency under load, on real processes.
// Prints JSON.
//
//   CAMPHORWELL_BIN=build build/camphorwell-measure takeover KILLS
//   CAMPHORWELL_BIN=build build/camphorwell-measure idle SECONDS
//   CAMPHORWELL_BIN=build build/camphorwell-measure load RATE SECONDS [keyed]
#include "tests/process/deployment.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace camphorwell;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr int64_t leaseMs = 2000;

json testEntries()
{
    return json::parse(R"([
      {"name":"route-plan","owner":"cart","class":"latency-critical","limits":{"cpuMilli":10,"concurrent":100000}}
    ])");
}

double elapsedMs(steady_clock::time_point then)
{
    return std::chrono::duration<double, std::milli>(steady_clock::now() - then).count();
}

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    auto index = static_cast<size_t>(std::ceil(q * static_cast<double>(values.size()))) - 1;
    return values.at(std::min(index, values.size() - 1));
}

// Returns the CPU time in seconds and the resident memory in MiB of a process.
std::pair<double, double> processUsage(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string field;
    std::vector<std::string> fields;
    while (stat >> field)
        fields.push_back(field);
    double ticks = std::stod(fields.at(13)) + std::stod(fields.at(14));
    double pages = std::stod(fields.at(23));
    return { ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
        pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576 };
}

size_t usableWorkers(deployment& d, const std::vector<std::string>& instances)
{
    size_t out = 0;
    for (const auto& each : instances) {
        json status = d.getJson(d.entryPort(each), "/v1/status");
        out += status.is_object() ? status.value("workers_usable", size_t { 0 }) : 0;
    }
    return out;
}

int measureTakeover(int kills)
{
    deployment d(deployment_options { 22000, { "north" }, 4, 8, leaseMs, 200 });
    if (!d.start(testEntries()))
        return 1;
    std::vector<double> times;
    for (int i = 0; i < kills; i++) {
        auto all = d.instances();
        std::string victim = all[static_cast<size_t>(i) % all.size()];
        std::vector<std::string> survivors;
        std::copy_if(all.begin(), all.end(), std::back_inserter(survivors),
            [&](const auto& each) { return each != victim; });
        auto killed = steady_clock::now();
        d.kill(victim);
        bool served = d.waitUntil(30'000, [&] { return usableWorkers(d, survivors) == 8; });
        times.push_back(served ? elapsedMs(killed) : 1e9);
        d.restart(victim);
        d.waitUntil(30'000, [&] {
            return d.viewComplete(all.front()) && d.viewComplete(victim) && usableWorkers(d, all) == 8;
        });
    }
    json out = { { "kills", kills }, { "lease_ms", leaseMs }, { "p50_ms", quantile(times, 0.5) },
        { "p99_ms", quantile(times, 0.99) }, { "max_ms", quantile(times, 1.0) } };
    std::cout << out.dump() << "\n";
    return 0;
}

int measureIdle(int seconds)
{
    deployment d(deployment_options { 22100, { "north" }, 8, 16, leaseMs, 200 });
    if (!d.start(testEntries()))
        return 1;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::map<std::string, double> before;
    std::map<std::string, double> bytes;
    auto peerBytes = [&](const std::string& instance) {
        std::string text = d.call(d.entryPort(instance), "GET", "/metrics").body();
        size_t at = text.find("\ncamphorwell_peer_bytes_sent_total ");
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + 35));
    };
    for (const auto& each : d.instances()) {
        before[each] = processUsage(d.pidOf(each)).first;
        bytes[each] = peerBytes(each);
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    std::vector<double> shares;
    std::vector<double> memory;
    std::vector<double> rates;
    for (const auto& each : d.instances()) {
        auto [used, resident] = processUsage(d.pidOf(each));
        shares.push_back((used - before[each]) / seconds * 100);
        memory.push_back(resident);
        rates.push_back((peerBytes(each) - bytes[each]) / seconds);
    }
    json out = { { "instances", 8 }, { "workers", 16 }, { "seconds", seconds },
        { "core_percent_median", quantile(shares, 0.5) }, { "core_percent_max", quantile(shares, 1) },
        { "resident_mb_max", quantile(memory, 1) }, { "peer_bytes_per_second_max", quantile(rates, 1) } };
    std::cout << out.dump() << "\n";
    return 0;
}

// Starts a deployment and runs camphorwell-load alternately against one entry instance and one worker.
int measureLoad(const std::string& rate, const std::string& seconds, bool keyed)
{
    deployment d(deployment_options { 22200, { "north" }, 3, 4, leaseMs, 200 });
    if (!d.start(testEntries()))
        return 1;
    const char* bin = std::getenv("CAMPHORWELL_BIN");
    std::string command = std::string(bin ? bin : ".")
        + "/camphorwell-load --target 127.0.0.1:" + std::to_string(d.entryPort("north-1"))
        + " --direct 127.0.0.1:" + std::to_string(d.workerPort("north-w1")) + " --rate " + rate
        + " --seconds " + seconds + (keyed ? " --keyed --home north" : "");
    auto cost = processUsage(d.pidOf("north-1")).first;
    int failed = std::system(command.c_str());
    std::cout << "{\"entry_core_percent\": "
              << (processUsage(d.pidOf("north-1")).first - cost) / std::stod(seconds) * 100 << "}\n";
    return failed;
}

} // namespace

int main(int argc, char** argv)
{
    std::string what = argc > 1 ? argv[1] : "";
    if (what == "takeover" && argc == 3)
        return measureTakeover(std::atoi(argv[2]));
    if (what == "idle" && argc == 3)
        return measureIdle(std::atoi(argv[2]));
    if (what == "load" && argc >= 4)
        return measureLoad(argv[2], argv[3], argc > 4);
    std::cerr << "usage: camphorwell-measure takeover KILLS | idle SECONDS | load RATE SECONDS [keyed]\n";
    return 2;
}
