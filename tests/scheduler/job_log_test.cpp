// Appends of job records to a store that is slow or does not answer.
#define BOOST_TEST_MODULE job_log
#include "scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr uint16_t port = 19795;
constexpr ms testTimeoutMs = 20'000; // Stops a test that hangs.

// A store on loopback that answers each request after `delayMs`, or never if it is negative.
struct slow_store {
    explicit slow_store(ms delay, double appendMs = 0)
        : delayMs(delay)
        , server(loop, {},
              [this](const http_request& request, std::shared_ptr<http_reply> reply) {
                  appends += request.path == "/log-append";
                  if (delayMs < 0) {
                      heldReplies.push_back(std::move(reply));
                      return;
                  }
                  loop.after(delayMs,
                      [reply = std::move(reply)] { reply->send(200, {}, R"({"Offset":1,"End":2})"); });
              })
        , store(loop, { "127.0.0.1:" + std::to_string(port), 1, 1 << 20, appendMs })
    {
        settings.instance = "north-1";
        settings.store.address = "127.0.0.1:" + std::to_string(port);
        settings.store.partitions = 1;
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
        loop.after(testTimeoutMs, [this] { loop.stop(); });
    }

    event_loop loop;
    ms delayMs;
    int appends = 0;
    std::vector<std::shared_ptr<http_reply>> heldReplies;
    http_server server;
    scheduler_settings settings;
    platform::store store;
    event_log log { 100 };
    counters counts;
    scheduler_context context { loop, settings, store, log, counts };
    job_log jobs { context };

    // Appends one record with the given timeout. Returns the outcome and the time until the handler ran.
    std::pair<job_log::outcome, ms> submit(ms timeout)
    {
        std::optional<job_log::outcome> got;
        ms startedAt = bootNow();
        jobs.append(0, "5c0e7a21d94b36f8", "record", startedAt + timeout, [&](job_log::outcome outcome) {
            BOOST_TEST(!got.has_value());
            got = outcome;
            loop.stop();
        });
        loop.run();
        BOOST_REQUIRE(got.has_value());
        return { *got, bootNow() - startedAt };
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(handler_runs_at_the_deadline_during_an_append)
{
    slow_store s(600);
    auto [outcome, took] = s.submit(200);
    BOOST_TEST((outcome == job_log::outcome::unknown));
    BOOST_TEST(took >= 200);
    BOOST_TEST(took < 500);
}

// An append that timed out stays queued at the store. With a fixed timeout of 0.7 s, no append to a store
// that needs 0.9 s was ever confirmed.
BOOST_AUTO_TEST_CASE(timeout_grows_after_an_unanswered_append)
{
    slow_store s(900);
    auto [first, took] = s.submit(2'800);
    BOOST_TEST((first == job_log::outcome::unknown));
    BOOST_TEST(s.jobs.lastAppendUnanswered());
    auto [second, secondTook] = s.submit(2'000);
    BOOST_TEST((second == job_log::outcome::accepted));
    BOOST_TEST(!s.jobs.lastAppendUnanswered());
}

BOOST_AUTO_TEST_CASE(outcome_on_a_silent_store_is_unknown_not_refused)
{
    slow_store s(-1);
    auto [outcome, took] = s.submit(2'000);
    BOOST_TEST((outcome == job_log::outcome::unknown));
}

BOOST_AUTO_TEST_CASE(slow_answer_sets_the_slowest_time)
{
    slow_store s(300);
    BOOST_TEST(s.store.recentMaxLatencyMs() == 0);
    s.submit(2'000);
    BOOST_TEST(s.store.recentMaxLatencyMs() >= 290);
}

// Regression: the timeout did not allow for the time that the store's settings state for an append.
BOOST_AUTO_TEST_CASE(append_gets_the_time_that_the_settings_state)
{
    constexpr ms appendMs = 2'400;
    slow_store s(appendMs, appendMs);
    auto [outcome, took] = s.submit(2'900);
    BOOST_TEST((outcome == job_log::outcome::accepted));
    BOOST_TEST(s.appends == 1);
}
