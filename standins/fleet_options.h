// Command line, configuration, workers and faults of camphorwell-standin-fleet.
//
// The configuration has one service and two queues of the host --host, quick at /quick/ and batch at /batch/.
// A task runs for the milliseconds that its payload asks for ("work_ms=300"), and fails if the payload
// contains "fail".
//
// Its faults, as fields of POST /admin:
//   worker_fault   "power_off": tasks end, and the worker returns as a new incarnation under the same id.
//                  Connections from before are lost, and new ones reach that incarnation (power_gate.h);
//                  "cut_off": the worker goes on, and carries out late what it is sent, also what the caller
//                  has given up on
//   workers, zone  ids of the workers that it affects, or their zone; they are silent meanwhile
//   entry_lag_ms   time from the return of the power until the new incarnation can write its entry
//   store_cut      a zone; calls on the zone's port of the store are neither done nor answered
//   for_ms         how long the fault lasts (default: for good)
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

constexpr const char* usage = "usage: camphorwell-standin-fleet --port PORT [--workers N] [--host NAME]\n"
                              "           [--zones NAME,...] [--max-lease-ms N] [--heartbeat-ms N]\n";
standin_options parseOptions(int argc, char** argv);
// The operator's configuration: the queues quick and batch of `host`.
nlohmann::json configurationFor(const std::string& host);
// The record of a worker, counted from 0, whose port follows that of the store and of the workers before it.
worker_record recordOfWorker(const standin_options&, const std::string& host, int number);

} // namespace camphorwell::fleet
