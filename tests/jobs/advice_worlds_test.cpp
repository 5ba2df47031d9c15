// Randomised worlds with queues that need advice (world_advice.cpp).
#define BOOST_TEST_MODULE advice_worlds
#include "tests/jobs/world.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell::testing;

BOOST_AUTO_TEST_CASE(worlds_with_advice_violate_no_invariant)
{
    world_counts totals;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        world_settings settings;
        settings.seed = seed;
        settings.hasLatencyCritical = seed % 2 == 1;
        settings.hasAdvice = true;
        settings.settlePhase = world_settings::adviceSettlePhase;
        world simulation(settings);
        for (const auto& violation : simulation.run())
            BOOST_ERROR("seed " << seed << ": " << violation);
        totals += simulation.counts();
    }
    BOOST_TEST(totals.adviceCalls > 100);
    BOOST_TEST(totals.abandonedAdviceCalls > 0);
}
