// camphorwell-worlds: many randomised worlds of a cell, or one in full.
#include "tests/jobs/world.h"

#include <getopt.h>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace camphorwell::testing;
    const option options[]
        = { { "from", required_argument, nullptr, 'f' }, { "count", required_argument, nullptr, 'c' },
              { "jobs", required_argument, nullptr, 'j' }, { "workers", required_argument, nullptr, 'w' },
              { "trace", required_argument, nullptr, 't' }, { nullptr, 0, nullptr, 0 } };
    uint64_t from = 1;
    uint64_t count = 100;
    world_settings settings;
    std::string trace;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        switch (chosen) {
        case 'f':
            from = std::stoull(optarg);
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
        default:
            std::cerr << "usage: camphorwell-worlds [--from SEED] [--count N] [--jobs N] [--workers N]\n"
                         "                          [--trace TEXT]   prints the log lines that hold TEXT\n";
            return 2;
        }
    }
    uint64_t violations = 0;
    int takeovers = 0;
    for (uint64_t seed = from; seed < from + count; seed++) {
        settings.seed = seed;
        settings.guards = seed % 3 != 0;
        world played(settings);
        auto broken = played.run();
        takeovers += played.takeovers();
        violations += !broken.empty();
        for (const auto& each : broken)
            std::cout << "seed " << seed << ": " << each << "\n";
        for (const auto& line : played.log()) {
            if (!trace.empty() && line.find(trace) != std::string::npos)
                std::cout << line << "\n";
        }
    }
    std::cout << count << " worlds, " << takeovers << " takeovers, " << violations
              << " with a broken promise\n";
    return violations > 0;
}
