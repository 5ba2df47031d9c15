// Gangs: workers are chosen for all members before capacity is reserved, job states and pending counts are
// correct, and members end together.
#define BOOST_TEST_MODULE gang
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

job_record gangJob(int members, int64_t cpuMilli)
{
    job_record out = singleStepJob(members);
    out.spec.steps[0].gang = true;
    out.spec.steps[0].cpuMilli = cpuMilli;
    return out;
}

// A cell with `count` workers of 8 cores, all of which have reported.
struct idle_fleet : cell_driver {
    explicit idle_fleet(int workers)
        : count(workers)
    {
        for (int i = 0; i < count; i++)
            scheduler.setWorker(workerRecord(workerName(i)), now);
        scheduler.begin(now, now);
        runOnce();
        reportAll();
    }
    static std::string workerName(int i) { return "w" + std::to_string(i); }
    void reportAll()
    {
        for (int i = 0; i < count; i++)
            report(workerName(i), {});
    }
    std::vector<start_action> startsAfter(int iterations)
    {
        for (int i = 0; i < iterations; i++)
            runOnce();
        return take<start_action>();
    }
    void confirmStarts(const std::vector<start_action>& starts)
    {
        for (const auto& start : starts)
            scheduler.onStarted(start, order_outcome::done, now);
        collectActions();
    }
    int count;
};

} // namespace

// Regression: a gang that could not be placed counted as started from then on, so too few jobs were reported
// as pending ("18 jobs are said to wait; 65 have waited").
BOOST_AUTO_TEST_CASE(a_gang_without_capacity_stays_queued)
{
    idle_fleet fleet(2);
    fleet.scheduler.addJob("gang", gangJob(3, 8000));
    BOOST_TEST(fleet.startsAfter(10).empty());
    BOOST_TEST(fleet.scheduler.pending("batch") == 1);
    BOOST_TEST((fleet.scheduler.stateOf("gang") == job_state::queued));
    BOOST_TEST(fleet.scheduler.collectStatistics().cpuReserved == 0);
}

BOOST_AUTO_TEST_CASE(a_job_is_running_once_a_worker_confirms_a_start)
{
    idle_fleet fleet(1);
    fleet.scheduler.addJob("job", singleStepJob(1));
    auto starts = fleet.startsAfter(2);
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(fleet.scheduler.pending("batch") == 1);
    fleet.confirmStarts(starts);
    BOOST_TEST(fleet.scheduler.pending("batch") == 0);
    BOOST_TEST((fleet.scheduler.stateOf("job") == job_state::running));
}

BOOST_AUTO_TEST_CASE(the_next_leader_counts_the_same_pending_jobs)
{
    for (bool confirmed : { false, true }) {
        idle_fleet fleet(1);
        fleet.scheduler.addJob("job", singleStepJob(1));
        auto starts = fleet.startsAfter(2);
        BOOST_REQUIRE(starts.size() == 1);
        if (confirmed)
            fleet.confirmStarts(starts);
        fleet.runOnce();
        cell_driver nextLeader;
        nextLeader.scheduler.restoreProgress("job", fleet.progress.at("job"));
        nextLeader.scheduler.addJob("job", singleStepJob(1));
        nextLeader.scheduler.begin(nextLeader.now, nextLeader.now);
        BOOST_TEST(nextLeader.scheduler.pending("batch") == (confirmed ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(members_share_one_attempt_number_after_failed_placements)
{
    idle_fleet fleet(2);
    fleet.scheduler.addJob("gang", gangJob(3, 8000));
    fleet.startsAfter(10);
    fleet.scheduler.setWorker(workerRecord("w9"), fleet.now);
    fleet.runOnce();
    fleet.report("w9", {});
    fleet.reportAll();
    auto starts = fleet.startsAfter(4);
    BOOST_REQUIRE(starts.size() == 3);
    for (const auto& start : starts)
        BOOST_TEST(start.attempt == 1);
}

// Two members fit on one worker only when its capacity suffices for both together.
BOOST_AUTO_TEST_CASE(members_on_one_worker_share_its_capacity)
{
    idle_fleet fleet(1);
    fleet.scheduler.addJob("gang", gangJob(2, 5000));
    BOOST_TEST(fleet.startsAfter(10).empty());
    fleet.scheduler.addJob("smaller", gangJob(2, 4000));
    BOOST_TEST(fleet.startsAfter(10).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_gang_is_not_started_when_a_worker_drains_first)
{
    idle_fleet fleet(2);
    fleet.scheduler.addJob("gang", gangJob(2, 8000));
    fleet.runOnce(false);
    auto drainingWorker = workerRecord("w1");
    drainingWorker.draining = true;
    fleet.scheduler.setWorker(drainingWorker, fleet.now);
    fleet.scheduler.onWritten(fleet.now);
    fleet.collectActions();
    BOOST_TEST(fleet.take<start_action>().empty());
}

BOOST_AUTO_TEST_CASE(a_lost_member_restarts_the_whole_gang)
{
    idle_fleet fleet(3);
    fleet.scheduler.addJob("gang", gangJob(2, 8000));
    auto starts = fleet.startsAfter(2);
    BOOST_REQUIRE(starts.size() == 2);
    fleet.confirmStarts(starts);
    fleet.scheduler.onPollFailed(
        { starts[0].worker, 0, std::nullopt, 0, 0 }, order_outcome::other_incarnation, fleet.now);
    fleet.collectActions();
    auto stops = fleet.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    BOOST_TEST(stops[0].worker == starts[1].worker);
    BOOST_TEST(fleet.startsAfter(5).empty());
    worker_report report;
    report.completions.push_back({ 1, starts[1].task, 1, completion_kind::stopped, "" });
    fleet.report(starts[1].worker, report);
    auto newIncarnation = workerRecord(starts[0].worker);
    newIncarnation.startedUnixMs = 6;
    fleet.scheduler.setWorker(newIncarnation, fleet.now);
    auto restarts = fleet.startsAfter(5);
    BOOST_REQUIRE(restarts.size() == 2);
    BOOST_TEST(restarts[0].attempt == 2);
    BOOST_TEST(restarts[1].attempt == 2);
}

// Two members that failed in one run counted as two failures of the gang, also under the next leader.
BOOST_AUTO_TEST_CASE(a_run_of_a_gang_fails_once)
{
    for (bool leaderChanges : { false, true }) {
        idle_fleet first(2);
        idle_fleet second(2);
        first.scheduler.addJob("gang", gangJob(2, 8000));
        auto starts = first.startsAfter(10);
        BOOST_REQUIRE(starts.size() == 2);
        auto fail = [&](idle_fleet& fleet, size_t member, uint64_t sequence, uint32_t attempt) {
            fleet.report(starts[member].worker,
                { 0, 0, {}, { { sequence, starts[member].task, attempt, completion_kind::failed, "" } }, 0 });
            fleet.runOnce();
        };
        fail(first, 0, 1, 1);
        if (leaderChanges) {
            second.scheduler.restoreProgress("gang", first.progress.at("gang"));
            second.scheduler.addJob("gang", gangJob(2, 8000));
        }
        idle_fleet& fleet = leaderChanges ? second : first;
        fail(fleet, 1, 1, 1);
        starts = fleet.startsAfter(10);
        BOOST_REQUIRE(starts.size() == 2);
        fail(fleet, 0, 2, 2);
        BOOST_TEST((fleet.scheduler.stateOf("gang") == job_state::running));
    }
}
