// A small virtual world for randomised tests: nodes, workers and a log joined by unreliable links.
//
// Everything that happens follows from the seed. Faults come in at random while the world is disturbed;
// afterwards it is healed and runs on until the work is done. An observer compares what the workers really
// ran with what each caller was told; it does not look at the nodes' own books.
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
    // Kinds of fault.
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
    int64_t maxShortTaskMs = 3000; // Longest run time of quick work; its deadline is 2500 ms.
    std::string trace; // Events whose text contains this are printed; "all" prints what the nodes log.
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
    uint64_t connectionLost = 0; // The instance died.
    uint64_t runs = 0;
    uint64_t evictions = 0;
    uint64_t kills = 0;
    uint64_t appends = 0;
};

// Runs one world from its seed. The same options give the same report.
world_report runWorld(const world_options&);

} // namespace camphorwell::sim
