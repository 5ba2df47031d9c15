// See fleet_options.h.
#include "standins/fleet_options.h"

#include <getopt.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace camphorwell::fleet {

namespace {

    constexpr int workersPerRack = 8;

    std::vector<std::string> splitNames(const std::string& text)
    {
        std::vector<std::string> out;
        std::stringstream in(text);
        for (std::string name; std::getline(in, name, ',');)
            out.push_back(name);
        return out;
    }

} // namespace

standin_options parseOptions(int argc, char** argv)
{
    const option known[] = { { "port", required_argument, nullptr, 'p' },
        { "workers", required_argument, nullptr, 'w' }, { "host", required_argument, nullptr, 'h' },
        { "zones", required_argument, nullptr, 'z' }, { "max-lease-ms", required_argument, nullptr, 'l' },
        { "heartbeat-ms", required_argument, nullptr, 'b' }, { nullptr, 0, nullptr, 0 } };
    standin_options out;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        if (code == 'p')
            out.port = std::stoi(optarg);
        else if (code == 'w')
            out.workers = std::stoi(optarg);
        else if (code == 'h')
            out.host = optarg;
        else if (code == 'z')
            out.zones = splitNames(optarg);
        else if (code == 'l')
            out.maxLeaseMs = std::stoll(optarg);
        else if (code == 'b')
            out.heartbeatMs = std::stoll(optarg);
        else
            return {};
    }
    return out;
}

nlohmann::json configurationFor(const std::string& host)
{
    using nlohmann::json;
    json routes = json::array();
    int priority = 0;
    for (const char* name : { "quick", "batch" }) {
        routes.push_back({ { "Name", name }, { "Host", host },
            { "PathPrefix", "/" + std::string(name) + "/" }, { "Service", "service" },
            { "Priority", priority }, { "MaxAttempts", 3 }, { "Stretch", 2.0 }, { "TargetLatencyMs", 500 } });
        priority += 2;
    }
    return { { "Version", 1 }, { "Routes", routes }, { "Services", json::array() },
        { "Limits", { { "MaxBodyBytes", 65536 } } } };
}

worker_record recordOfWorker(const standin_options& options, const std::string& host, int number)
{
    worker_record out;
    out.id = "worker-" + std::to_string(number);
    out.address = host + ":" + std::to_string(options.port + 1 + number);
    out.service = "service";
    size_t zone = static_cast<size_t>(number) * options.zones.size();
    out.dataCentre = options.zones[zone / static_cast<size_t>(options.workers)];
    out.rack = out.dataCentre + "-r" + std::to_string(number / workersPerRack);
    out.labels = { "a", out.rack };
    out.capacity = { 8000, 16000, 0, 0 };
    return out;
}

} // namespace camphorwell::fleet
