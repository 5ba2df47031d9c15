// Tasks that have run, or may still run, are not started again.
#define BOOST_TEST_MODULE restart
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorwell;
using camphorwell::testing::batchQueue;
using camphorwell::testing::cell_driver;
using camphorwell::testing::entryOfLaterLife;
using camphorwell::testing::laterLifeMs;
using camphorwell::testing::reportOfLaterLife;
using camphorwell::testing::singleStepJob;
using camphorwell::testing::workerRecord;

namespace {

constexpr ms longestLeaseMs = 10'000; // The longest lease that a worker accepts.
// The same on the clock of the leader, if that of the worker is 2% slow.
constexpr ms longestLeaseAtLeaderMs = longestLeaseMs * 100 / 98 + 1;

cell_settings settingsOfLongLeases()
{
    cell_settings out;
    out.leaseMs = 9'800;
    out.maxLeaseMs = longestLeaseMs;
    return out;
}

// The later life answers the poll that shows it, and then one whose token refuses orders to the earlier life.
void answerAsLaterLife(cell_driver& driver, const worker_report& report = reportOfLaterLife())
{
    driver.report("w", report);
    driver.report("w", report);
}

// Begins with the given jobs and one worker that has reported.
void begin(cell_driver& driver, const std::map<job_id, job_record>& jobs)
{
    for (const auto& [id, record] : jobs)
        driver.scheduler.addJob(id, record);
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    driver.report("w", {});
    driver.runOnce();
}

// Adds a second worker that has reported.
void addSecondWorker(cell_driver& driver)
{
    driver.scheduler.setWorker(workerRecord("w2"), driver.now);
    driver.runOnce();
    driver.report("w2", {});
    driver.runOnce();
}

// Hands everything that the earlier leader recorded to the next one.
void restoreAll(cell_driver& next, const cell_driver& earlier)
{
    for (const auto& [key, bytes] : earlier.progress) {
        if (!bytes.empty())
            next.scheduler.restoreProgress(key, bytes);
    }
}

// Lets the next leader begin with the job's recorded progress, and returns the time until it starts the task
// on another worker than `w`, which does not answer.
ms takeOverWithoutWorker(const cell_driver& earlier, ms earlierLeasesEnd)
{
    cell_driver driver(settingsOfLongLeases());
    driver.now = earlier.now;
    driver.scheduler.setClock(driver.now, driver.now);
    restoreAll(driver, earlier);
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.scheduler.setEarlierLeases({ earlierLeasesEnd, 0, 0 });
    driver.scheduler.begin(driver.now, driver.now);
    addSecondWorker(driver);
    while (driver.take<start_action>().empty() && driver.now < earlier.now + 60'000) {
        driver.report("w2", {});
        driver.runOnce();
    }
    return driver.now - earlier.now;
}

// Starts a task, which a later life of its worker receives and reports.
void startOnLaterLife(cell_driver& driver)
{
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    worker_report report = reportOfLaterLife();
    report.running.push_back({ starts[0].task, 1, "", 0 });
    answerAsLaterLife(driver, report);
}

} // namespace

BOOST_AUTO_TEST_CASE(job_with_unreadable_progress_is_not_run_as_new)
{
    using nlohmann::json;
    constexpr int laterFormat = 2;
    std::string laterRecord;
    json::to_cbor(json::array({ laterFormat, 1, 1, json::array(), true }), laterRecord);
    std::string unknownState;
    json::to_cbor(json::array({ 1, 77, 1, json::array(), true }), unknownState);
    for (const std::string& bytes : { std::string("\xff\xff"), laterRecord, unknownState }) {
        cell_driver driver;
        driver.scheduler.restoreProgress("j", bytes);
        begin(driver, { { "j", singleStepJob(1) } });
        BOOST_TEST(driver.take<start_action>().empty());
        BOOST_TEST((driver.scheduler.stateOf("j") == job_state::failed));
    }
}

BOOST_AUTO_TEST_CASE(unreadable_progress_is_kept_for_a_leader_that_can_read_it)
{
    using nlohmann::json;
    // The second task's index is out of range.
    std::string bytes;
    json task = json::array({ 0, 1, 0, 0, json::array({ 1, "w" }) });
    json badTask = json::array({ 7, 1, 0, 0, json::array({ 1, "w" }) });
    json step = json::array({ 0, json::array({ task, badTask }) });
    json::to_cbor(
        json::array({ 1, 1, 1, json::array({ json::array({ 0, json::array({ step }) }) }), true }), bytes);
    for (const std::string& record : { std::string("\xff\xff"), bytes }) {
        cell_driver driver;
        driver.scheduler.restoreProgress("j", record);
        begin(driver, { { "j", singleStepJob(1) } });
        driver.scheduler.addJob("j", singleStepJob(1));
        driver.runOnce();
        BOOST_TEST(driver.take<forget_job_action>().empty());
        BOOST_TEST(!driver.progress.contains("j"));
    }
}

BOOST_AUTO_TEST_CASE(completion_of_an_unrecorded_attempt_is_kept_for_the_next_leader)
{
    cell_driver first;
    first.scheduler.addJob("j", singleStepJob(2));
    first.scheduler.setWorker(workerRecord("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    worker_report report;
    report.completions.push_back({ 1, { "j", 0, 0, 0 }, 1, completion_kind::done, "" });
    first.runOnce();
    first.report("w", report);
    first.runOnce();
    cell_driver second;
    second.scheduler.restoreProgress("j", first.progress.at("j"));
    begin(second, { { "j", singleStepJob(2) } });
    for (const auto& start : second.take<start_action>())
        BOOST_TEST(start.task.index == 1);
}

BOOST_AUTO_TEST_CASE(end_of_an_unrecorded_gang_is_kept_for_the_next_leader)
{
    job_record record = singleStepJob(2);
    record.spec.steps.push_back(record.spec.steps[0]);
    record.spec.steps[0].gang = true;
    record.spec.steps[1].dependsOn = { 0 };
    cell_driver first;
    first.scheduler.addJob("j", record);
    first.scheduler.setWorker(workerRecord("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    worker_report report;
    report.completions.push_back({ 1, { "j", 0, 0, 0 }, 1, completion_kind::done, "" });
    first.runOnce();
    first.report("w", report);
    first.runOnce();
    cell_driver second;
    second.scheduler.restoreProgress("j", first.progress.at("j"));
    begin(second, { { "j", record } });
    for (const auto& start : second.take<start_action>())
        BOOST_TEST(start.task.step == 1);
}

BOOST_AUTO_TEST_CASE(task_follows_the_numbers_of_attempts_that_a_worker_lists)
{
    cell_driver driver;
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    worker_report report;
    report.running.push_back({ { "j", 0, 0, 0 }, 4, "", 10, 0 });
    driver.report("w", report);
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    driver.report("w", {});
    driver.runOnce();
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].attempt == 5);
}

BOOST_AUTO_TEST_CASE(superseded_start_waits_for_the_workers_lists)
{
    cell_driver driver;
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    addSecondWorker(driver);
    driver.scheduler.onStarted(starts[0], order_outcome::superseded, driver.now);
    for (int i = 0; i < 10; i++)
        driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    worker_report report;
    report.completions.push_back({ 1, starts[0].task, 1, completion_kind::done, "" });
    driver.report("w", report);
    driver.runOnce();
    BOOST_TEST((driver.scheduler.stateOf("j") == job_state::completed));
}

BOOST_AUTO_TEST_CASE(superseded_start_that_did_not_run_is_placed_again)
{
    cell_driver driver;
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    driver.scheduler.onStarted(starts[0], order_outcome::superseded, driver.now);
    driver.runOnce();
    auto stops = driver.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    driver.scheduler.onStopped(stops[0], order_outcome::done, driver.now);
    driver.now += 200;
    driver.report("w", {});
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().size() == 1);
}

BOOST_AUTO_TEST_CASE(late_answer_of_an_earlier_incarnation_ends_nothing_on_the_later_one)
{
    cell_driver driver;
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    answerAsLaterLife(driver);
    driver.scheduler.addJob("k", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    auto laterStarts = driver.take<start_action>();
    BOOST_REQUIRE(laterStarts.size() == 1);
    driver.scheduler.onStarted(laterStarts[0], order_outcome::done, driver.now);
    addSecondWorker(driver);
    driver.scheduler.onStarted(starts[0], order_outcome::other_incarnation, driver.now);
    for (int i = 0; i < 10; i++)
        driver.runOnce();
    for (const auto& start : driver.take<start_action>())
        BOOST_TEST(start.task.job == "j");
}

BOOST_AUTO_TEST_CASE(poll_after_a_failed_one_acknowledges_nothing)
{
    cell_driver driver;
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    worker_report report;
    report.completions.push_back({ 57, starts[0].task, 1, completion_kind::done, "" });
    driver.report("w", report);
    driver.runOnce();
    driver.take<poll_action>();
    driver.report("w", {});
    driver.runOnce();
    auto polls = driver.take<poll_action>();
    BOOST_REQUIRE(polls.size() == 1);
    BOOST_TEST(polls[0].acknowledgedSequence == 57);
    driver.scheduler.onPollFailed(polls[0], order_outcome::no_answer, driver.now);
    driver.now += 1'000;
    driver.runOnce();
    polls = driver.take<poll_action>();
    BOOST_REQUIRE(polls.size() == 1);
    BOOST_TEST(polls[0].acknowledgedSequence == 0);
    driver.report("w", {});
    driver.runOnce();
    polls = driver.take<poll_action>();
    BOOST_REQUIRE(polls.size() == 1);
    BOOST_TEST(polls[0].acknowledgedSequence == 57);
}

BOOST_AUTO_TEST_CASE(worker_that_started_again_with_an_earlier_clock_is_not_used)
{
    cell_driver driver;
    begin(driver, { { "j", singleStepJob(1) } });
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    worker_report report;
    report.completions.push_back({ 57, starts[0].task, 1, completion_kind::done, "" });
    driver.report("w", report);
    driver.runOnce();
    worker_report earlierClock;
    earlierClock.startedUnixMs = workerRecord("w").startedUnixMs - 1;
    driver.report("w", earlierClock);
    driver.take<poll_action>();
    driver.scheduler.addJob("k", singleStepJob(1));
    driver.now += 300;
    driver.runOnce();
    driver.runOnce();
    auto polls = driver.take<poll_action>();
    BOOST_REQUIRE(polls.size() == 1);
    BOOST_TEST(polls[0].acknowledgedSequence == 0);
    BOOST_TEST(!polls[0].leaseUntilWorkerMs.has_value());
    BOOST_TEST(driver.take<start_action>().empty());
}

BOOST_AUTO_TEST_CASE(task_on_a_worker_that_had_started_again_does_not_run_twice_after_a_lost_leader)
{
    cell_driver driver(settingsOfLongLeases());
    begin(driver, {});
    answerAsLaterLife(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    ms reportedAt = driver.now;
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    BOOST_REQUIRE(driver.take<start_action>().size() == 1);
    ms leasesEnd = driver.now + worstLeaseMs(lease_terms().renewalMs);
    ms waited = takeOverWithoutWorker(driver, leasesEnd);
    BOOST_TEST(driver.now + waited - reportedAt > longestLeaseAtLeaderMs);
}

BOOST_AUTO_TEST_CASE(start_that_reached_a_later_incarnation_does_not_run_twice_after_a_lost_leader)
{
    cell_driver driver(settingsOfLongLeases());
    startOnLaterLife(driver);
    ms reportedAt = driver.now;
    driver.runOnce();
    ms waited = takeOverWithoutWorker(driver, driver.now + worstLeaseMs(lease_terms().renewalMs));
    BOOST_TEST(driver.now + waited - reportedAt > longestLeaseAtLeaderMs);
}

BOOST_AUTO_TEST_CASE(next_leader_counts_the_longest_lease_of_an_answered_life_from_its_takeover)
{
    cell_driver driver(settingsOfLongLeases());
    startOnLaterLife(driver);
    driver.runOnce();
    ms waited = takeOverWithoutWorker(driver, driver.now + worstLeaseMs(lease_terms().renewalMs));
    BOOST_TEST(waited < longestLeaseAtLeaderMs + 500);
}

BOOST_AUTO_TEST_CASE(restart_of_a_worker_long_ago_does_not_keep_its_tasks_away_after_a_lost_leader)
{
    cell_driver driver(settingsOfLongLeases());
    begin(driver, {});
    answerAsLaterLife(driver);
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    auto starts = driver.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    worker_report report = reportOfLaterLife();
    report.running.push_back({ starts[0].task, 1, "", 0 });
    for (ms end = driver.now + 12'000; driver.now < end;) {
        driver.report("w", report);
        driver.runOnce();
    }
    ms wait = worstLeaseMs(lease_terms().renewalMs);
    BOOST_TEST(takeOverWithoutWorker(driver, driver.now + wait) < wait + 500);
}

BOOST_AUTO_TEST_CASE(late_first_report_of_a_later_incarnation_does_not_shorten_its_longest_lease)
{
    cell_driver driver(settingsOfLongLeases());
    begin(driver, {});
    driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
    for (int i = 0; i < 400; i++)
        driver.runOnce();
    answerAsLaterLife(driver);
    ms reportedAt = driver.now;
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    BOOST_REQUIRE(driver.take<start_action>().size() == 1);
    driver.take<poll_action>();
    addSecondWorker(driver);
    while (driver.take<start_action>().empty() && driver.now < reportedAt + 60'000) {
        driver.report("w2", {});
        driver.runOnce();
    }
    BOOST_TEST(driver.now - reportedAt > longestLeaseAtLeaderMs);
}

BOOST_AUTO_TEST_CASE(attempt_is_not_absent_from_a_full_list_with_an_unreadable_row)
{
    constexpr size_t listLimit = 500;
    cell_driver first;
    begin(first, { { "j", singleStepJob(1) } });
    cell_driver driver;
    driver.scheduler.restoreProgress("j", first.progress.at("j"));
    driver.scheduler.addJob("j", singleStepJob(1));
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    worker_report report;
    for (size_t i = 1; i < listLimit; i++)
        report.completions.push_back({ i, { "other", 0, 0, 0 }, 1, completion_kind::done, "" });
    report.listedCompletions = listLimit;
    driver.report("w", report);
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    worker_report rest;
    rest.completions.push_back({ listLimit + 1, { "j", 0, 0, 0 }, 1, completion_kind::done, "" });
    driver.report("w", rest);
    driver.runOnce();
    BOOST_TEST((driver.scheduler.stateOf("j") == job_state::completed));
}

// A leader that had not read the configuration counted the last permitted failure and started the task again.
BOOST_AUTO_TEST_CASE(a_task_that_used_up_its_attempts_before_the_configuration_was_read_is_not_started)
{
    cell_driver earlier;
    begin(earlier, { { "j", singleStepJob(1) } });
    const uint32_t maxAttempts = 3;
    for (uint32_t attempt = 1; attempt < maxAttempts; attempt++) {
        earlier.report(
            "w", { 0, 0, {}, { { attempt, { "j", 0, 0, 0 }, attempt, completion_kind::failed, "" } }, 0 });
        for (int i = 0; i < 10; i++)
            earlier.runOnce();
    }
    BOOST_REQUIRE(earlier.take<start_action>().size() == maxAttempts);

    cell_driver next;
    next.scheduler.setQueues(std::make_shared<queue_table>());
    next.scheduler.restoreProgress("j", earlier.progress.at("j"));
    next.scheduler.addJob("j", singleStepJob(1));
    next.scheduler.setWorker(workerRecord("w"), next.now);
    next.scheduler.begin(next.now, next.now);
    next.runOnce();
    next.report("w",
        { 0, 0, {}, { { maxAttempts, { "j", 0, 0, 0 }, maxAttempts, completion_kind::failed, "" } }, 0 });
    next.runOnce();
    next.scheduler.setQueues(batchQueue());
    for (int i = 0; i < 10; i++)
        next.runOnce();
    BOOST_TEST(next.take<start_action>().empty());
    BOOST_TEST((next.scheduler.stateOf("j") == job_state::failed));
}

// Regression (soak, shape aniversa, seed 9).
BOOST_AUTO_TEST_CASE(service_task_avoids_a_worker_that_holds_a_long_lease_after_its_restart)
{
    job_record job = singleStepJob(1);
    job.spec.steps[0].isService = true;
    for (bool hasSecondWorker : { true, false }) {
        cell_driver driver(settingsOfLongLeases());
        driver.scheduler.setEarlierLeases({});
        begin(driver, {});
        if (hasSecondWorker)
            addSecondWorker(driver);
        answerAsLaterLife(driver);
        driver.scheduler.setWorker(entryOfLaterLife(), driver.now);
        driver.scheduler.addJob("j", job);
        driver.runOnce();
        auto starts = driver.take<start_action>();
        BOOST_REQUIRE(starts.size() == 1);
        BOOST_TEST(starts[0].worker == (hasSecondWorker ? "w2" : "w"));
    }
}

// Regression: workers that came back as another kind got tasks whose label they lacked.
BOOST_AUTO_TEST_CASE(worker_that_started_again_is_not_used_before_its_entry_is_read)
{
    job_record job = singleStepJob(1);
    job.spec.steps[0].requiredLabel = "b";
    cell_driver driver;
    begin(driver, {});
    worker_record entry = workerRecord("w");
    entry.labels = { "b" };
    driver.scheduler.setWorker(entry, driver.now);
    answerAsLaterLife(driver);
    driver.scheduler.addJob("j", job);
    driver.runOnce();
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    driver.scheduler.setWorker(entry, driver.now); // The entry of the earlier life is read again.
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    worker_record otherKind = entryOfLaterLife();
    otherKind.labels = { "c" };
    driver.scheduler.setWorker(otherKind, driver.now);
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
    driver.scheduler.addJob("k", singleStepJob(1));
    driver.runOnce();
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().size() == 1);
}

BOOST_AUTO_TEST_CASE(smaller_worker_that_started_again_is_not_filled_beyond_its_capacity)
{
    cell_driver driver;
    begin(driver, {});
    answerAsLaterLife(driver);
    driver.scheduler.addJob("j", singleStepJob(8));
    driver.runOnce();
    driver.runOnce();
    worker_record smaller = entryOfLaterLife();
    smaller.capacity.cpuMilli = 3000;
    driver.scheduler.setWorker(smaller, driver.now);
    driver.runOnce();
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().size() == 3);
}

BOOST_AUTO_TEST_CASE(start_that_was_planned_for_an_earlier_life_is_not_sent_to_a_worker_of_another_kind)
{
    job_record job = singleStepJob(1);
    job.spec.steps[0].requiredLabel = "b";
    cell_driver driver;
    begin(driver, {});
    worker_record entry = workerRecord("w");
    entry.labels = { "b" };
    driver.scheduler.setWorker(entry, driver.now);
    driver.scheduler.addJob("j", job);
    driver.runOnce(false); // The record of the attempt is being appended.
    worker_record otherKind = entryOfLaterLife();
    otherKind.labels = { "c" };
    driver.scheduler.setWorker(otherKind, driver.now);
    answerAsLaterLife(driver);
    driver.scheduler.onWritten(driver.now);
    driver.runOnce();
    BOOST_TEST(driver.take<start_action>().empty());
}
