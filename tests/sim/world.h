// A deterministic simulation for randomised tests: nodes, workers and a log connected by unreliable links.
//
// The seed determines every event. Faults are injected at random during the fault phase; then they are
// cleared and the simulation goes on so that open work can complete. An observer compares the attempts that
// the workers ran with the answers that callers received, without using the nodes' own state.
#pragma once

#include "coordination/coordination.h"
#include "standins/models.h"

#include <queue>

namespace camphorwell::sim {

struct world_options {
    uint64_t seed = 1;
    int dataCentres = 1;
    int nodesPerCentre = 5;
    int workersPerCentre = 8;
    int64_t faultPhaseMs = 40'000;
    int64_t recoveryPhaseMs = 60'000;
    fault deliberate = fault::none;
    // Kinds of fault and other disturbances to inject.
    bool kills = true;
    bool pauses = true;
    bool cuts = true;
    bool lossyLinks = true;
    bool logFaults = true;
    bool workerDeaths = true;
    bool drift = true;
    bool operators = true;
    bool leaving = true;
    double requestsPerSecond = 25;
    int64_t maxShortTaskMs = 3000; // Longest run time of short tasks; their deadline is 2500 ms.
    // If not empty, prints faults, log lines and the messages that contain this text; "all" prints every
    // message.
    std::string trace;
};

struct violation {
    std::string property;
    std::string detail;
};

struct world_report {
    std::vector<violation> violations;
    uint64_t events = 0;
    uint64_t requests = 0;
    uint64_t done = 0;
    uint64_t accepted = 0;
    uint64_t refusedNotRun = 0;
    uint64_t unknown = 0;
    uint64_t connectionLost = 0; // The instance was killed before it answered.
    uint64_t runs = 0;
    uint64_t evictions = 0;
    uint64_t kills = 0;
    uint64_t appends = 0;
};

// Runs one simulation. The same options give the same report.
world_report runWorld(const world_options&);

} // namespace camphorwell::sim
