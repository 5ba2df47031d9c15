// Where work can be accepted while the store does not answer an instance.
#define BOOST_TEST_MODULE reach
#include "scheduler/request/store_reachability.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr ms usualMs = 4; // An answer of the store.

// A store that fell silent at 0, as an instance sees it.
struct silent_store {
    store_reach reach;
    ms now = 0;
    int asked = 0;

    void pass(ms length)
    {
        for (ms until = now + length; now < until; now += 50) {
            reach.observe(now, usualMs, now);
            asked += reach.mustAsk(now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_store_that_answers_is_used)
{
    store_reach reach;
    reach.observe(240, usualMs, 1'000); // 60 times as slow as usual.
    BOOST_TEST((reach.choose(1'000) == way_in::log));
    BOOST_TEST(!reach.mustAsk(1'000));
}

BOOST_AUTO_TEST_CASE(an_instance_that_nobody_answers_is_cut_off)
{
    silent_store s;
    s.pass(store_reach::silentMs + 100);
    BOOST_TEST((s.reach.choose(s.now) == way_in::undecided));
    s.pass(store_reach::patienceMs);
    BOOST_TEST((s.reach.choose(s.now) == way_in::cut_off));
}

BOOST_AUTO_TEST_CASE(another_instance_that_has_the_store_takes_the_work)
{
    silent_store s;
    s.pass(store_reach::silentMs + 50);
    s.reach.onPeer("10.0.0.2:1", false, s.now);
    s.reach.onPeer("10.0.0.3:1", true, s.now);
    BOOST_TEST((s.reach.choose(s.now) == way_in::peer));
    BOOST_TEST(s.reach.peer(s.now) == "10.0.0.3:1");
    s.pass(store_reach::freshMs + 100); // It has not said so again.
    BOOST_TEST((s.reach.choose(s.now) == way_in::cut_off));
}

BOOST_AUTO_TEST_CASE(a_store_that_nobody_has_is_down)
{
    silent_store s;
    s.pass(store_reach::silentMs + store_reach::patienceMs + 100);
    s.reach.onPeer("10.0.0.2:1", false, s.now);
    BOOST_TEST((s.reach.choose(s.now) == way_in::store_down));
    s.reach.observe(0, usualMs, s.now);
    BOOST_TEST((s.reach.choose(s.now) == way_in::log));
}

BOOST_AUTO_TEST_CASE(others_are_asked_at_a_bounded_rate)
{
    silent_store s;
    s.pass(10'000);
    BOOST_TEST(s.asked >= 40);
    BOOST_TEST(s.asked <= 10'000 / store_reach::askEveryMs + 1);
}

// 98 times as slow as usual, with 6 instances that append to one partition (large trouble-2 at 12.0 s).
BOOST_AUTO_TEST_CASE(a_slow_store_is_not_a_silent_one)
{
    store_reach reach;
    reach.observe(450, 98 * usualMs, 1'000);
    BOOST_TEST((reach.choose(1'000) == way_in::log));
    reach.observe(store_reach::silentMostMs, 98 * usualMs, 2'000);
    BOOST_TEST(reach.troubled());
    reach.observe(450, usualMs, 3'000);
    BOOST_TEST(reach.troubled());
}

// Five tries, each as late as it is told to: a store that is down for 4.2 s, or for 7 s, is back by the last.
BOOST_AUTO_TEST_CASE(the_tries_of_a_caller_reach_beyond_an_outage)
{
    constexpr ms patient = 20'000;
    for (ms first : { 0, 500, 2'000, 4'000 }) {
        ms at = first;
        for (int tries = 1; tries < 5; tries++)
            at += 1000 * store_reach::retryAfterS(way_in::store_down, at, patient);
        BOOST_TEST(at - first >= 4'200);
        BOOST_TEST(at >= 7'000);
    }
    BOOST_TEST(store_reach::retryAfterS(way_in::store_down, 100, patient) == 1);
    BOOST_TEST(store_reach::retryAfterS(way_in::store_down, 4'000, 2'200) == 2);
    BOOST_TEST(store_reach::retryAfterS(way_in::cut_off, 5'000, patient) == 0);
}
