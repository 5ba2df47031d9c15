// The route for records while the store does not answer an instance.
#define BOOST_TEST_MODULE store_reachability
#include "scheduler/request/store_reachability.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr ms usualAnswerMs = 4;

// An instance whose store has not answered since time 0.
struct silent_store {
    store_reachability reachability;
    ms now = 0;
    int probeRounds = 0;

    void advance(ms length)
    {
        for (ms until = now + length; now < until; now += 50) {
            reachability.observe(now, usualAnswerMs, now);
            probeRounds += reachability.shouldProbePeers(now);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(responsive_store_is_used_directly)
{
    store_reachability reachability;
    reachability.observe(240, usualAnswerMs, 1'000); // 60 times the usual 4 ms.
    BOOST_TEST((reachability.chooseRoute(1'000) == store_route::log));
    BOOST_TEST(!reachability.shouldProbePeers(1'000));
}

BOOST_AUTO_TEST_CASE(instance_without_peer_answers_is_cut_off)
{
    silent_store s;
    s.advance(store_reachability::minSilenceMs + 100);
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::undecided));
    s.advance(store_reachability::probeWaitMs);
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::cut_off));
}

BOOST_AUTO_TEST_CASE(peer_with_store_access_is_chosen)
{
    silent_store s;
    s.advance(store_reachability::minSilenceMs + 50);
    s.reachability.onProbeAnswer("10.0.0.2:1", false, s.now);
    s.reachability.onProbeAnswer("10.0.0.3:1", true, s.now);
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::peer));
    BOOST_TEST(s.reachability.peerWithStore(s.now) == "10.0.0.3:1");
    s.advance(store_reachability::probeValidMs + 100); // The peer has not confirmed it since.
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::cut_off));
}

BOOST_AUTO_TEST_CASE(store_is_down_when_no_peer_reaches_it)
{
    silent_store s;
    s.advance(store_reachability::minSilenceMs + store_reachability::probeWaitMs + 100);
    s.reachability.onProbeAnswer("10.0.0.2:1", false, s.now);
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::store_down));
    s.reachability.observe(0, usualAnswerMs, s.now);
    BOOST_TEST((s.reachability.chooseRoute(s.now) == store_route::log));
}

BOOST_AUTO_TEST_CASE(peers_are_probed_at_a_bounded_rate)
{
    silent_store s;
    s.advance(10'000);
    BOOST_TEST(s.probeRounds >= 40);
    BOOST_TEST(s.probeRounds <= 10'000 / store_reachability::probePeriodMs + 1);
}

// A store 98 times slower than usual, with 6 instances appending to one partition, was taken for silent
// (large trouble-2 at 12.0 s).
BOOST_AUTO_TEST_CASE(slow_store_is_not_reported_silent)
{
    store_reachability reachability;
    reachability.observe(450, 98 * usualAnswerMs, 1'000);
    BOOST_TEST((reachability.chooseRoute(1'000) == store_route::log));
    reachability.observe(store_reachability::maxSilenceMs, 98 * usualAnswerMs, 2'000);
    BOOST_TEST(reachability.storeSilent());
    reachability.observe(450, usualAnswerMs, 3'000);
    BOOST_TEST(reachability.storeSilent());
}

// A caller makes five attempts, each after the Retry-After of the one before. The last one must come after an
// outage of 4.2 s that begins with the first attempt, and after one of 7 s that begins at time 0.
BOOST_AUTO_TEST_CASE(retry_after_spans_the_outage)
{
    constexpr ms callerWaitMs = 20'000;
    for (ms first : { 0, 500, 2'000, 4'000 }) {
        ms at = first;
        for (int attempt = 1; attempt < 5; attempt++)
            at += 1000 * store_reachability::retryAfterSeconds(store_route::store_down, at, callerWaitMs);
        BOOST_TEST(at - first >= 4'200);
        BOOST_TEST(at >= 7'000);
    }
    BOOST_TEST(store_reachability::retryAfterSeconds(store_route::store_down, 100, callerWaitMs) == 1);
    BOOST_TEST(store_reachability::retryAfterSeconds(store_route::store_down, 4'000, 2'200) == 2);
    BOOST_TEST(store_reachability::retryAfterSeconds(store_route::cut_off, 5'000, callerWaitMs) == 0);
}
