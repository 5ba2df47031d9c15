// Command line of camphorwell-standin-fleet.
#pragma once

#include "jobs/jobs.h"

#include <nlohmann/json_fwd.hpp>

namespace camphorwell::fleet {

struct standin_options {
    int port = 0; // 0: the arguments are wrong.
    int workers = 4;
    std::string host = "localhost";
    std::vector<std::string> zones { "north" }; // The workers are dealt to them in equal blocks.
    ms maxLeaseMs = 6000;
    ms heartbeatMs = 500;
};

standin_options parseOptions(int argc, char** argv);
// The operator's configuration: the queues quick and batch of `host`.
nlohmann::json configurationFor(const std::string& host);

} // namespace camphorwell::fleet
