// See recut_plan.h. A start that a later life takes before the leader knows of it needs a cut that begins
// before the first poll reaches that life. A poll to a worker that has lost its power fails after 0.9 to 1.9
// s, so two cuts in three begin within a second of the return.
#include "tests/soak/recut_plan.h"

#include <algorithm>

namespace camphorwell::soak {

std::vector<planned_recut> planRecuts(
    std::mt19937_64& random, int64_t durationMs, const std::vector<std::string>& zones, int64_t workers)
{
    auto draw = [&random](int64_t low, int64_t high) {
        return std::uniform_int_distribution<int64_t>(low, high)(random);
    };
    std::vector<planned_recut> out;
    for (int64_t at = draw(4000, 6000); at + 5000 < durationMs; at += draw(3000, 9000)) {
        planned_recut recut;
        recut.atMs = at;
        if (draw(1, 3) > 1)
            recut.zone = zones[static_cast<size_t>(draw(0, static_cast<int64_t>(zones.size()) - 1))];
        recut.workers = draw(2, workers / 2);
        recut.offMs = draw(300, 1500);
        recut.entryLagMs = draw(0, 2500);
        recut.cutAfterMs = draw(1, 3) > 1 ? draw(0, 1000) : draw(1000, 3000);
        int64_t cutAt = at + recut.offMs + recut.cutAfterMs;
        recut.cutMs = std::min(draw(3000, 20'000), durationMs + maxRecutOverrunMs - cutAt);
        recut.trouble = static_cast<leader_trouble>(draw(0, 4));
        recut.troubleAfterMs = draw(0, recut.offMs + recut.cutAfterMs + 3000);
        recut.troubleMs = draw(500, maxLeaderTroubleMs);
        out.push_back(recut);
    }
    return out;
}

} // namespace camphorwell::soak
