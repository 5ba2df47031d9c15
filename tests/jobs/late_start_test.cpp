// Starts that a later incarnation of their worker may carry out are not repeated elsewhere.
#define BOOST_TEST_MODULE late_start
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

constexpr ms silenceMs = 20'000; // Longer than all leases.
constexpr ms earlierLeasesMs = 6'500;
// From the last answer of a worker on, its lease and the longest one of a life that was not seen are over.
constexpr ms afterLeaseMs = 9'000;

worker_report reportOfDoneTask()
{
    worker_report out;
    out.completions.push_back({ 1, { "j", 0, 0, 0 }, 1, completion_kind::done, "" });
    return out;
}

// A start of the job `j` is sent to the worker `w` and not answered.
start_action startUnanswered(cell_driver& driver)
{
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    driver.report("w", {});
    driver.runOnce();
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    driver.scheduler.setWorker(workerRecord("idle"), driver.now);
    return starts[0];
}

// Runs while only the worker `idle` answers, and returns the starts.
std::vector<start_action> runWithoutWorker(cell_driver& driver, ms length)
{
    for (ms end = driver.now + length; driver.now < end;) {
        driver.report("idle", {});
        driver.runOnce();
    }
    return driver.take<start_action>();
}

void restoreAll(cell_driver& next, const cell_driver& earlier, const job_record& job = singleStepJob(1))
{
    next.now = earlier.now;
    next.scheduler.setClock(next.now, next.now);
    for (const auto& [key, bytes] : earlier.progress) {
        if (!bytes.empty())
            next.scheduler.restoreProgress(key, bytes);
    }
    next.scheduler.addJob("j", job);
    next.scheduler.setEarlierLeases({ next.now + earlierLeasesMs, 0, 0 });
}

void begin(cell_driver& next)
{
    next.scheduler.begin(next.now, next.now);
    next.scheduler.setWorker(workerRecord("idle"), next.now);
}

// The later life carries the start out, and the task is done there.
void finishOnLaterLife(cell_driver& driver)
{
    worker_report report = reportOfLaterLife();
    report.running.push_back({ { "j", 0, 0, 0 }, 1, "", 10, 0 });
    driver.report("w", report);
    driver.report("w", report);
    BOOST_TEST(runWithoutWorker(driver, 500).empty());
    report.running.clear();
    report.completions.push_back({ 1, { "j", 0, 0, 0 }, 1, completion_kind::done, "" });
    driver.report("w", report);
    driver.runOnce();
    BOOST_TEST((driver.scheduler.stateOf("j") == job_state::completed));
}

} // namespace

BOOST_AUTO_TEST_CASE(unanswered_start_is_not_repeated_while_a_later_life_has_not_answered)
{
    cell_driver driver;
    start_action start = startUnanswered(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    driver.scheduler.onStarted(start, order_outcome::no_answer, driver.now);
    BOOST_TEST(runWithoutWorker(driver, silenceMs).empty());
    finishOnLaterLife(driver);
}

// The later life answers a poll that was sent to the earlier one, so it still accepts the start.
BOOST_AUTO_TEST_CASE(answer_to_a_poll_of_an_earlier_life_does_not_bound_the_lease)
{
    cell_driver driver;
    startUnanswered(driver);
    driver.report("w", reportOfLaterLife());
    BOOST_TEST(runWithoutWorker(driver, silenceMs).empty());
    finishOnLaterLife(driver);
}

BOOST_AUTO_TEST_CASE(
    answer_to_a_poll_in_flight_when_the_entry_of_a_later_life_is_read_does_not_bound_the_lease)
{
    cell_driver driver;
    startUnanswered(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    driver.report("w", reportOfLaterLife());
    BOOST_TEST(runWithoutWorker(driver, silenceMs).empty());
    finishOnLaterLife(driver);
}

BOOST_AUTO_TEST_CASE(worker_that_missed_a_poll_is_to_answer_the_next_one_at_once)
{
    constexpr ms longestRetryMs = 1'000;
    cell_driver driver;
    startUnanswered(driver);
    auto polls = driver.take<poll_action>();
    BOOST_REQUIRE(!polls.empty());
    BOOST_TEST(polls.back().waitMs > 0);
    driver.scheduler.onPollFailed(polls.back(), order_outcome::no_answer, driver.now);
    runWithoutWorker(driver, longestRetryMs);
    polls = driver.take<poll_action>();
    std::erase_if(polls, [](const poll_action& poll) { return poll.worker != "w"; });
    BOOST_REQUIRE(polls.size() == 1);
    BOOST_TEST(polls[0].waitMs == 0);
}

// The clock of the later life has begun anew. It is cut off before anything else shows that it is there.
BOOST_AUTO_TEST_CASE(start_that_an_unseen_life_has_answered_is_not_repeated_elsewhere)
{
    cell_driver driver;
    start_action start = startUnanswered(driver);
    driver.scheduler.onStarted(start, { order_outcome::done, 300 }, driver.now);
    BOOST_TEST(runWithoutWorker(driver, silenceMs).empty());
    finishOnLaterLife(driver);
}

// Neither its entry nor a report shows the later life before it is cut off.
BOOST_AUTO_TEST_CASE(unanswered_start_is_not_repeated_while_an_unseen_life_may_run_it)
{
    constexpr ms answerTimeoutMs = 1'200;
    constexpr ms longestLeaseMs = 6'120; // 6 s of a clock that is 2% slow.
    cell_driver driver;
    start_action start = startUnanswered(driver);
    BOOST_TEST(runWithoutWorker(driver, answerTimeoutMs).empty());
    driver.scheduler.onStarted(start, order_outcome::no_answer, driver.now);
    BOOST_TEST(runWithoutWorker(driver, longestLeaseMs).empty());
    BOOST_TEST(runWithoutWorker(driver, 3'000).size() == 1);
}

// The first task was listed, the start of the second one was not answered.
BOOST_AUTO_TEST_CASE(listed_task_is_started_elsewhere_when_its_lease_is_over_beside_an_unanswered_start)
{
    constexpr ms longestLeaseMs = 6'600; // And its slack.
    cell_driver driver;
    start_action first = startUnanswered(driver);
    driver.scheduler.onStarted(first, order_outcome::done, driver.now);
    driver.scheduler.removeWorker("idle", driver.now);
    driver.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    driver.scheduler.addJob("k", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    BOOST_REQUIRE(driver.take<start_action>().size() == 1);
    driver.scheduler.setWorker(workerRecord("idle"), driver.now);
    auto starts = runWithoutWorker(driver, longestLeaseMs);
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].task.job == "j");
    starts = runWithoutWorker(driver, 3'000);
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].task.job == "k");
}

// The report was under way for 1.9 s, and the start waited for its connection.
BOOST_AUTO_TEST_CASE(answer_of_an_unseen_life_that_shows_as_late_a_clock_does_not_confirm_the_start)
{
    constexpr ms reportDelayMs = 1'900;
    constexpr ms longestLeaseMs = 6'000;
    cell_driver driver;
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    driver.now += reportDelayMs;
    worker_report report;
    report.startedUnixMs = workerRecord("w").startedUnixMs;
    report.clockWorkerMs = 2'700;
    driver.scheduler.onReport("w", report, driver.now - reportDelayMs, driver.now);
    for (ms end = driver.now + 2'400; driver.now < end;)
        driver.runOnce();
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    driver.scheduler.setWorker(workerRecord("idle"), driver.now);
    BOOST_TEST(runWithoutWorker(driver, 1'100).empty());
    driver.scheduler.onStarted(starts[0], { order_outcome::done, 5'100 }, driver.now);
    BOOST_TEST(runWithoutWorker(driver, longestLeaseMs).empty());
}

BOOST_AUTO_TEST_CASE(stop_that_an_unseen_life_has_answered_shows_that_life)
{
    cell_driver driver;
    start_action start = startUnanswered(driver);
    driver.scheduler.onStarted(start, order_outcome::no_answer, driver.now);
    driver.collectActions();
    auto stops = driver.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    driver.scheduler.onStopped(stops[0], { order_outcome::done, 300 }, driver.now);
    BOOST_TEST(runWithoutWorker(driver, silenceMs).empty());
    finishOnLaterLife(driver);
}

BOOST_AUTO_TEST_CASE(answer_of_the_same_life_is_not_taken_for_that_of_a_later_one)
{
    for (double clockRate : { 0.98, 1.0, 1.02 }) {
        cell_driver driver;
        ms reportedAt = driver.now + 20;
        start_action start = startUnanswered(driver);
        auto clock = reportedAt + static_cast<ms>(static_cast<double>(driver.now - reportedAt) * clockRate);
        driver.scheduler.onStarted(start, { order_outcome::done, clock }, driver.now);
        BOOST_TEST(runWithoutWorker(driver, silenceMs).size() == 1);
    }
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_repeated_when_the_worker_is_gone)
{
    cell_driver driver;
    start_action start = startUnanswered(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    driver.scheduler.onStarted(start, order_outcome::no_answer, driver.now);
    runWithoutWorker(driver, 4'500);
    driver.scheduler.removeWorker("w", driver.now);
    auto starts = runWithoutWorker(driver, 8'000);
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].worker == "idle");
    BOOST_TEST(starts[0].attempt == 2);
}

BOOST_AUTO_TEST_CASE(unanswered_start_is_placed_again_when_the_later_life_refuses_earlier_orders)
{
    cell_driver driver;
    start_action start = startUnanswered(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    driver.scheduler.onStarted(start, order_outcome::no_answer, driver.now);
    runWithoutWorker(driver, 1'000);
    driver.report("w", reportOfLaterLife()); // To the poll in flight.
    driver.report("w", reportOfLaterLife());
    runWithoutWorker(driver, 1'000);
    auto stops = driver.take<stop_action>();
    BOOST_REQUIRE(!stops.empty());
    driver.scheduler.onStopped(stops.back(), order_outcome::done, driver.now);
    driver.now += 100;
    driver.report("w", reportOfLaterLife());
    BOOST_TEST(runWithoutWorker(driver, 500).size() == 1);
}

// The leader is lost before it sees that the worker has started again.
BOOST_AUTO_TEST_CASE(next_leader_knows_which_life_a_start_was_sent_to)
{
    cell_driver first;
    startUnanswered(first);
    for (bool entryIsReadFirst : { false, true }) {
        cell_driver next;
        if (entryIsReadFirst)
            next.scheduler.setWorker(entryOfLaterLife(), next.now);
        restoreAll(next, first);
        if (!entryIsReadFirst)
            next.scheduler.setWorker(entryOfLaterLife(), next.now);
        begin(next);
        BOOST_TEST(runWithoutWorker(next, silenceMs).empty());
        finishOnLaterLife(next);
    }
}

// The worker's entry has lapsed when the next leader takes over.
BOOST_AUTO_TEST_CASE(next_leader_knows_that_a_later_life_has_not_answered)
{
    cell_driver first;
    startUnanswered(first);
    first.scheduler.setWorker(entryOfLaterLife(), first.now);
    first.runOnce();
    cell_driver next;
    restoreAll(next, first);
    begin(next);
    BOOST_TEST(runWithoutWorker(next, earlierLeasesMs).empty());
    next.scheduler.setWorker(entryOfLaterLife(), next.now);
    BOOST_TEST(runWithoutWorker(next, silenceMs).empty());
    finishOnLaterLife(next);
}

BOOST_AUTO_TEST_CASE(next_leader_waits_for_the_leases_alone_when_the_worker_has_not_started_again)
{
    cell_driver first;
    startUnanswered(first);
    first.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    first.runOnce();
    cell_driver next;
    restoreAll(next, first);
    next.scheduler.setWorker(workerRecord("w"), next.now);
    begin(next);
    BOOST_TEST(runWithoutWorker(next, earlierLeasesMs + 500).size() == 1);
}

// The worker is not at that address any more. The other one's clock tells nothing about it.
BOOST_AUTO_TEST_CASE(refusal_of_another_worker_at_the_address_is_not_taken_for_a_later_life)
{
    cell_driver driver;
    driver.scheduler.addJob("j", singleStepJob(2));
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    driver.report("w", {});
    driver.runOnce();
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 2);
    driver.scheduler.setWorker(workerRecord("idle"), driver.now);
    driver.scheduler.onStarted(starts[0], { order_outcome::other_incarnation, 300 }, driver.now);
    BOOST_TEST(runWithoutWorker(driver, 500).size() == 2);
}

// Its reports are taken for those of an earlier life, but show that it refuses orders to that.
BOOST_AUTO_TEST_CASE(tasks_do_not_wait_for_ever_for_a_later_life_whose_clock_was_set_back)
{
    constexpr ms longestLeaseMs = 6'120; // 6 s of a clock that is 2% slow.
    for (bool shownByEntry : { false, true }) {
        cell_driver driver;
        start_action start = startUnanswered(driver);
        if (shownByEntry)
            driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
        else
            driver.scheduler.onStarted(start, { order_outcome::done, 300 }, driver.now);
        worker_report report;
        report.startedUnixMs = 3;
        size_t starts = 0;
        ms shownAt = driver.now;
        while (driver.now < shownAt + silenceMs) {
            auto polls = driver.take<poll_action>();
            if (std::any_of(polls.begin(), polls.end(), [](const auto& poll) { return poll.worker == "w"; }))
                driver.report("w", report);
            starts += runWithoutWorker(driver, 20).size();
            BOOST_TEST((starts == 0 || driver.now > shownAt + longestLeaseMs));
        }
        BOOST_TEST(starts == 1);
    }
}

// The later life has listed a lasting task. The records are too long for one append, and the leader is lost
// after any part of them.
BOOST_AUTO_TEST_CASE(next_leader_does_not_take_a_task_of_the_present_life_for_one_of_an_earlier_life)
{
    job_record lasting = singleStepJob(1);
    lasting.spec.steps[0].isService = true;
    cell_driver first;
    first.scheduler.addJob("j", lasting);
    first.scheduler.setWorker(workerRecord("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("w", {});
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1);
    first.scheduler.setWorker(entryOfLaterLife(), first.now);
    worker_report report = reportOfLaterLife();
    report.running.push_back({ { "j", 0, 0, 0 }, 1, "", 10, 0 });
    first.report("w", report);
    first.report("w", report);
    auto batch = first.scheduler.takeWrite(first.now);
    BOOST_REQUIRE(batch.has_value());
    for (const auto& record : batch->records) {
        first.progress[record.key] = record.bytes;
        cell_driver next;
        restoreAll(next, first, lasting);
        next.scheduler.setWorker(entryOfLaterLife(), next.now);
        begin(next);
        BOOST_TEST(runWithoutWorker(next, earlierLeasesMs - 500).empty());
    }
}

BOOST_AUTO_TEST_CASE(record_of_a_workers_life_is_deleted_when_the_worker_is_gone)
{
    cell_driver driver;
    startUnanswered(driver);
    std::string key = std::string(cell::incarnationKeyPrefix) + "w";
    BOOST_TEST(!driver.progress.at(key).empty());
    driver.report("w", reportOfDoneTask());
    driver.runOnce();
    driver.scheduler.removeWorker("w", driver.now);
    for (const auto& poll : driver.take<poll_action>())
        driver.scheduler.onPollFailed(poll, order_outcome::no_answer, driver.now);
    runWithoutWorker(driver, silenceMs);
    for (const char* later : { "k", "l" }) { // The worker is forgotten after the next append.
        driver.scheduler.addJob(later, singleStepJob(1));
        BOOST_TEST(runWithoutWorker(driver, 500).size() == 1);
    }
    BOOST_TEST(driver.progress.at(key).empty());
}

// The worker was cut off for longer than its lease, and had finished the task before.
BOOST_AUTO_TEST_CASE(done_end_of_an_attempt_that_was_given_up_ends_the_task)
{
    cell_driver driver;
    startUnanswered(driver);
    auto starts = runWithoutWorker(driver, afterLeaseMs);
    BOOST_REQUIRE(starts.size() == 1);
    driver.scheduler.onStarted(starts[0], order_outcome::done, driver.now);
    driver.report("w", reportOfDoneTask());
    driver.runOnce();
    BOOST_TEST((driver.scheduler.stateOf("j") == job_state::completed));
    auto stops = driver.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    BOOST_TEST(stops[0].worker == "idle");
}

BOOST_AUTO_TEST_CASE(done_end_of_an_attempt_that_was_given_up_withdraws_a_planned_start)
{
    cell_driver driver;
    startUnanswered(driver);
    for (ms end = driver.now + afterLeaseMs; driver.now < end;) {
        driver.report("idle", {});
        driver.runOnce(false); // The record of the second attempt is being appended.
    }
    driver.report("w", reportOfDoneTask());
    driver.scheduler.onWritten(driver.now);
    driver.runOnce();
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    BOOST_TEST((driver.scheduler.stateOf("j") == job_state::completed));
}

BOOST_AUTO_TEST_CASE(worker_that_started_again_with_an_earlier_clock_is_used_by_the_next_leader)
{
    cell_driver first;
    first.scheduler.setWorker(entryOfLaterLife(), first.now);
    first.scheduler.addJob("j", singleStepJob(1));
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("w", reportOfLaterLife());
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1);
    cell_driver next;
    restoreAll(next, first);
    next.scheduler.setWorker(workerRecord("w"), next.now);
    next.scheduler.begin(next.now, next.now);
    for (ms end = next.now + silenceMs; next.now < end;) {
        next.runOnce();
        next.report("w", {});
    }
    BOOST_TEST(next.take<start_action>().size() == 1);
}
