// A start that an unseen life of its worker may run is not repeated by the next leader.
#define BOOST_TEST_MODULE unseen_life_takeover
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

// Neither its entry nor a report shows the later life to the lost leader or to the next one.
BOOST_AUTO_TEST_CASE(next_leader_does_not_repeat_a_start_that_an_unseen_life_may_run)
{
    constexpr ms longestLeaseMs = 10'000;
    cell_settings settings;
    settings.leaseMs = 9'800;
    settings.maxLeaseMs = longestLeaseMs;
    cell_driver first(settings);
    first.scheduler.addJob("j", singleStepJob(1));
    first.scheduler.setWorker(workerRecord("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("w", {});
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1); // Right before the leader is lost.

    cell_driver next(settings);
    next.now = first.now;
    next.scheduler.setClock(next.now, next.now);
    for (const auto& [key, bytes] : first.progress)
        next.scheduler.restoreProgress(key, bytes);
    next.scheduler.addJob("j", singleStepJob(1));
    lease_terms terms;
    next.scheduler.setEarlierLeases({ next.now + worstLeaseMs(terms.renewalMs), worstLeaseMs(terms.quorumMs),
        next.now + worstLeaseMs(terms.longestMs) });
    next.scheduler.begin(next.now, next.now);
    next.scheduler.setWorker(workerRecord("idle"), next.now);
    while (next.now < first.now + longestLeaseMs) {
        next.report("idle", {});
        next.runOnce();
    }
    BOOST_TEST(next.take<start_action>().empty());
}
