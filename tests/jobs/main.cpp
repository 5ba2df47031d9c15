// camphorwell-worlds: simulates a cell in randomised worlds, one per seed, and prints the violated
// invariants. Exits with 1 when there are any.
#include "tests/jobs/world.h"

#include <getopt.h>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace camphorwell::testing;
    using camphorwell::cell_fault;
    const option options[]
        = { { "from", required_argument, nullptr, 'f' }, { "count", required_argument, nullptr, 'c' },
              { "jobs", required_argument, nullptr, 'j' }, { "workers", required_argument, nullptr, 'w' },
              { "trace", required_argument, nullptr, 't' }, { "fault", required_argument, nullptr, 'd' },
              { "late-orders", no_argument, nullptr, 'l' }, { "late-entries", no_argument, nullptr, 'e' },
              { "advice", no_argument, nullptr, 'a' }, { nullptr, 0, nullptr, 0 } };
    uint64_t firstSeed = 1;
    uint64_t count = 100;
    world_settings settings;
    std::string trace;
    int opt = 0;
    while ((opt = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        switch (opt) {
        case 'f':
            firstSeed = std::stoull(optarg);
            break;
        case 'c':
            count = std::stoull(optarg);
            break;
        case 'j':
            settings.jobs = std::stoi(optarg);
            break;
        case 'w':
            settings.workers = std::stoi(optarg);
            break;
        case 't':
            trace = optarg;
            break;
        case 'l':
            settings.lateOrdersReachLaterIncarnations = true;
            break;
        case 'e':
            settings.entriesLag = true;
            break;
        case 'a':
            settings.hasAdvice = true;
            settings.settlePhase = world_settings::adviceSettlePhase;
            break;
        case 'd':
            settings.fault = static_cast<cell_fault>(std::stoi(optarg));
            break;
        default:
            std::cerr
                << "usage: camphorwell-worlds [--from SEED] [--count N] [--jobs N] [--workers N]\n"
                   "                          [--fault N]      injects a deliberate fault (cell_fault)\n"
                   "                          [--late-orders]  late orders reach later incarnations\n"
                   "                          [--late-entries] entries of workers appear late\n"
                   "                          [--advice]       steps of some queues need advice\n"
                   "                          [--trace TEXT]   prints the log lines that contain TEXT\n";
            return 2;
        }
    }
    uint64_t failedWorlds = 0;
    world_counts totals;
    for (uint64_t seed = firstSeed; seed < firstSeed + count; seed++) {
        settings.seed = seed;
        settings.workersCheckCapacity = seed % 3 != 0;
        settings.hasLatencyCritical = seed % 2 == 1;
        world simulation(settings);
        auto violations = simulation.run();
        totals += simulation.counts();
        failedWorlds += !violations.empty();
        for (const auto& violation : violations)
            std::cout << "seed " << seed << ": " << violation << "\n";
        for (const auto& line : simulation.log()) {
            if (!trace.empty() && line.find(trace) != std::string::npos)
                std::cout << line << "\n";
        }
    }
    std::cout << count << " worlds, " << totals.takeovers << " takeovers, " << totals.forgottenJobs
              << " forgotten jobs, " << totals.repeatedSubmissions << " repeated submissions, "
              << totals.lostPositions << " lost read positions, " << totals.unconfirmedTombstones
              << " unconfirmed appends of tombstones, " << totals.checkedLosses
              << " checked losses of lasting tasks, " << totals.moves << " moves in "
              << totals.worldsWithMoves << " worlds (" << totals.movesOfLimited << " of tasks with a limit, "
              << totals.disturbedMoves << " disturbed), longest checked wait " << totals.longestWaitMs
              << " ms, " << totals.adviceCalls << " calls for advice (" << totals.abandonedAdviceCalls
              << " given up), longest wait of a task that needs it " << totals.longestAdviceWaitMs << " ms, "
              << failedWorlds << " with violated invariants\n";
    return failedWorlds > 0;
}
