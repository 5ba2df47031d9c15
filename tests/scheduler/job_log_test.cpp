// Hand-ins on their way into the log of a store that is slow or does not answer.
#define BOOST_TEST_MODULE job_log
#include "scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr uint16_t port = 19795;
constexpr ms mostMs = 20'000; // A run that hangs ends after this.

// A store on loopback that answers each append after `delayMs`, or never.
struct slow_store {
    explicit slow_store(ms delay)
        : delayMs(delay)
        , server(loop, {}, [this](const http_request& asked, std::shared_ptr<http_reply> reply) {
            appends += asked.path == "/log-append";
            if (delayMs < 0) {
                kept.push_back(std::move(reply));
                return;
            }
            loop.after(
                delayMs, [reply = std::move(reply)] { reply->send(200, {}, R"({"Offset":1,"End":2})"); });
        })
    {
        settings.instance = "north-1";
        settings.store.address = "127.0.0.1:" + std::to_string(port);
        settings.store.partitions = 1;
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
        loop.after(mostMs, [this] { loop.stop(); });
    }

    event_loop loop;
    ms delayMs;
    int appends = 0;
    std::vector<std::shared_ptr<http_reply>> kept;
    http_server server;
    scheduler_settings settings;
    platform::store store { loop,
        platform::store_settings { "127.0.0.1:" + std::to_string(port), 1, 1 << 20 } };
    event_log log { 100 };
    counters counts;
    scheduler_context context { loop, settings, store, log, counts };
    job_log jobs { context };

    // What came of a hand-in, and after how long.
    std::pair<job_log::outcome, ms> handIn(ms within)
    {
        std::optional<job_log::outcome> got;
        ms begun = bootNow();
        jobs.append(0, "5c0e7a21d94b36f8", "record", begun + within, [&](job_log::outcome what) {
            BOOST_TEST(!got.has_value());
            got = what;
            loop.stop();
        });
        loop.run();
        BOOST_REQUIRE(got.has_value());
        return { *got, bootNow() - begun };
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_hand_in_is_told_at_its_deadline_while_its_append_is_under_way)
{
    slow_store s(600);
    auto [what, took] = s.handIn(200);
    BOOST_TEST((what == job_log::outcome::unknown));
    BOOST_TEST(took >= 200);
    BOOST_TEST(took < 500);
}

// An append that is given up waits at the store all the same: given up at 0.7 s each time, hand-ins of a
// store that needs 0.9 s were never told of.
BOOST_AUTO_TEST_CASE(an_append_that_got_no_answer_is_followed_by_one_with_more_time)
{
    slow_store s(900);
    auto [first, took] = s.handIn(2'800);
    BOOST_TEST((first == job_log::outcome::unknown));
    BOOST_TEST(s.jobs.unanswered());
    auto [again, tookAgain] = s.handIn(2'000);
    BOOST_TEST((again == job_log::outcome::accepted));
    BOOST_TEST(!s.jobs.unanswered());
}

BOOST_AUTO_TEST_CASE(what_a_silent_store_may_have_taken_is_not_called_refused)
{
    slow_store s(-1);
    auto [what, took] = s.handIn(2'000);
    BOOST_TEST((what == job_log::outcome::unknown));
}

BOOST_AUTO_TEST_CASE(a_slow_answer_counts_as_the_time_of_the_store)
{
    slow_store s(300);
    BOOST_TEST(s.store.recentMaxLatencyMs() == 0);
    s.handIn(2'000);
    BOOST_TEST(s.store.recentMaxLatencyMs() >= 290);
}
