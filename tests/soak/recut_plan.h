// Seeded plan of workers that return under their ids and are cut off soon after, beside a disturbed leader.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace camphorwell::soak {

enum class leader_trouble : uint8_t { none, frozen, killed, replaced, cut_from_store };

// Times are in milliseconds; `atMs` counts from the start of the traffic.
struct planned_recut {
    int64_t atMs = 0; // The workers lose power.
    std::string zone; // Empty: workers of any zone.
    int64_t workers = 0; // How many, if of any zone.
    int64_t offMs = 0;
    int64_t entryLagMs = 0; // From the return of a worker until its entry can appear.
    int64_t cutAfterMs = 0; // From the return of the workers until they are cut off.
    int64_t cutMs = 0;
    leader_trouble trouble = leader_trouble::none;
    int64_t troubleAfterMs = 0; // From the loss of power.
    int64_t troubleMs = 0;
};

constexpr int64_t maxLeaderTroubleMs = 6000;
constexpr int64_t maxRecutOverrunMs = 4000; // All cuts end this long after the traffic at the latest.

std::vector<planned_recut> planRecuts(
    std::mt19937_64&, int64_t durationMs, const std::vector<std::string>& zones, int64_t workers);

} // namespace camphorwell::soak
