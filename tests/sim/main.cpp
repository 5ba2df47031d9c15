// camphorwell-sim: runs randomised simulations and prints the seeds that violate a checked property.
//
//   camphorwell-sim --from 1 --count 1000 [--fault NUMBER] [--centres 2] [--verbose] [--trace TEXT]
#include "tests/sim/world.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <map>

int main(int argc, char** argv)
{
    using namespace camphorwell;
    uint64_t from = 1;
    uint64_t count = 100;
    int centres = 0; // 0: two when the seed is a multiple of 3, otherwise one.
    int faultNumber = 0;
    bool verbose = false;
    std::string trace;
    const option longOptions[] = { { "from", required_argument, nullptr, 'f' },
        { "count", required_argument, nullptr, 'n' }, { "fault", required_argument, nullptr, 'x' },
        { "centres", required_argument, nullptr, 'c' }, { "verbose", no_argument, nullptr, 'v' },
        { "trace", required_argument, nullptr, 't' }, { nullptr, 0, nullptr, 0 } };
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (optionCode == 'f')
            from = std::strtoull(optarg, nullptr, 10);
        else if (optionCode == 'n')
            count = std::strtoull(optarg, nullptr, 10);
        else if (optionCode == 'x')
            faultNumber = std::atoi(optarg);
        else if (optionCode == 'c')
            centres = std::atoi(optarg);
        else if (optionCode == 't')
            trace = optarg;
        else if (optionCode == 'v')
            verbose = true;
        else
            return 2;
    }
    std::map<std::string, uint64_t> violationCounts;
    sim::world_report total;
    uint64_t failingSeeds = 0;
    for (uint64_t seed = from; seed < from + count; seed++) {
        sim::world_options options;
        options.seed = seed;
        options.dataCentres = centres ? centres : (seed % 3 == 0 ? 2 : 1);
        options.deliberate = static_cast<fault>(faultNumber);
        options.trace = trace;
        auto report = sim::runWorld(options);
        failingSeeds += report.violations.empty() ? 0 : 1;
        for (const auto& each : report.violations) {
            violationCounts[each.property]++;
            if (verbose || violationCounts[each.property] <= 3)
                std::printf("seed %llu: %s: %s\n", static_cast<unsigned long long>(seed),
                    each.property.c_str(), each.detail.c_str());
        }
        total.events += report.events;
        total.requests += report.requests;
        total.done += report.done;
        total.accepted += report.accepted;
        total.refusedNotRun += report.refusedNotRun;
        total.unknown += report.unknown;
        total.connectionLost += report.connectionLost;
        total.runs += report.runs;
        total.evictions += report.evictions;
        total.kills += report.kills;
        total.appends += report.appends;
    }
    auto show = [](const char* name, uint64_t value) {
        std::printf("%s=%llu ", name, static_cast<unsigned long long>(value));
    };
    show("seeds", count);
    show("bad_seeds", failingSeeds);
    show("events", total.events);
    show("requests", total.requests);
    show("done", total.done);
    show("accepted", total.accepted);
    show("refused_ran_no", total.refusedNotRun);
    show("unknown", total.unknown);
    show("connection_lost", total.connectionLost);
    show("runs", total.runs);
    show("evictions", total.evictions);
    show("kills", total.kills);
    show("appends", total.appends);
    std::printf("\n");
    for (const auto& [property, times] : violationCounts)
        std::printf("broken: %s: %llu\n", property.c_str(), static_cast<unsigned long long>(times));
    return failingSeeds == 0 ? 0 : 1;
}
