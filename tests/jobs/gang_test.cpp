// Gangs: chosen as a whole before anything is booked, told truly, and ended as a whole.
#define BOOST_TEST_MODULE gang
#include "tests/jobs/driven.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

job_record gangOf(int members, int64_t cpuMilli)
{
    job_record out = oneStep(members);
    out.spec.steps[0].gang = true;
    out.spec.steps[0].cpuMilli = cpuMilli;
    return out;
}

// A cell with so many workers of 8 cores, all of which have reported.
struct fleet : driven {
    explicit fleet(int workers)
        : count(workers)
    {
        for (int i = 0; i < count; i++)
            scheduler.setWorker(worker(name(i)), now);
        scheduler.begin(now, now);
        step();
        reportAll();
    }
    static std::string name(int i) { return "w" + std::to_string(i); }
    void reportAll()
    {
        for (int i = 0; i < count; i++)
            report(name(i), {});
    }
    std::vector<start_action> startsAfter(int turns)
    {
        for (int i = 0; i < turns; i++)
            step();
        return take<start_action>();
    }
    void confirm(const std::vector<start_action>& starts)
    {
        for (const auto& each : starts)
            scheduler.onStarted(each, order_outcome::done, now);
        collect();
    }
    int count;
};

} // namespace

// A gang that was only tried counted as begun for ever: "18 jobs are said to wait; 65 have waited".
BOOST_AUTO_TEST_CASE(a_gang_without_room_has_not_begun)
{
    fleet d(2);
    d.scheduler.addJob("gang", gangOf(3, 8000));
    BOOST_TEST(d.startsAfter(10).empty());
    BOOST_TEST(d.scheduler.pending("batch") == 1);
    BOOST_TEST((d.scheduler.stateOf("gang") == job_state::queued));
    BOOST_TEST(d.scheduler.collectStatistics().cpuReserved == 0);
}

BOOST_AUTO_TEST_CASE(a_job_has_begun_when_a_worker_has_confirmed_it)
{
    fleet d(1);
    d.scheduler.addJob("job", oneStep(1));
    auto starts = d.startsAfter(2);
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(d.scheduler.pending("batch") == 1);
    d.confirm(starts);
    BOOST_TEST(d.scheduler.pending("batch") == 0);
    BOOST_TEST((d.scheduler.stateOf("job") == job_state::running));
}

BOOST_AUTO_TEST_CASE(the_next_owner_tells_the_same)
{
    for (bool confirmed : { false, true }) {
        fleet d(1);
        d.scheduler.addJob("job", oneStep(1));
        auto starts = d.startsAfter(2);
        BOOST_REQUIRE(starts.size() == 1);
        if (confirmed)
            d.confirm(starts);
        d.step();
        driven next;
        next.scheduler.restoreProgress("job", d.progress.at("job"));
        next.scheduler.addJob("job", oneStep(1));
        next.scheduler.begin(next.now, next.now);
        BOOST_TEST(next.scheduler.pending("batch") == (confirmed ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(members_share_one_run_number_however_often_they_were_tried)
{
    fleet d(2);
    d.scheduler.addJob("gang", gangOf(3, 8000));
    d.startsAfter(10);
    d.scheduler.setWorker(worker("w9"), d.now);
    d.step();
    d.report("w9", {});
    d.reportAll();
    auto starts = d.startsAfter(4);
    BOOST_REQUIRE(starts.size() == 3);
    for (const auto& each : starts)
        BOOST_TEST(each.run == 1);
}

// Two members fit on a worker when both have room there, not when each has.
BOOST_AUTO_TEST_CASE(members_on_one_worker_share_its_room)
{
    fleet d(1);
    d.scheduler.addJob("gang", gangOf(2, 5000));
    BOOST_TEST(d.startsAfter(10).empty());
    d.scheduler.addJob("smaller", gangOf(2, 4000));
    BOOST_TEST(d.startsAfter(10).size() == 2);
}

BOOST_AUTO_TEST_CASE(a_gang_of_which_one_worker_left_before_the_start_is_not_started)
{
    fleet d(2);
    d.scheduler.addJob("gang", gangOf(2, 8000));
    d.step(false);
    auto leaving = worker("w1");
    leaving.draining = true;
    d.scheduler.setWorker(leaving, d.now);
    d.scheduler.onWritten(d.now);
    d.collect();
    BOOST_TEST(d.take<start_action>().empty());
}

BOOST_AUTO_TEST_CASE(a_lost_member_ends_the_others_and_all_start_anew)
{
    fleet d(3);
    d.scheduler.addJob("gang", gangOf(2, 8000));
    auto starts = d.startsAfter(2);
    BOOST_REQUIRE(starts.size() == 2);
    d.confirm(starts);
    d.scheduler.onPollFailed({ starts[0].worker, 0, std::nullopt, 0, 0 }, order_outcome::reborn, d.now);
    d.collect();
    auto stops = d.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    BOOST_TEST(stops[0].worker == starts[1].worker);
    BOOST_TEST(d.startsAfter(5).empty());
    worker_report report;
    report.ended.push_back({ 1, starts[1].task, 1, end_kind::stopped, "" });
    d.report(starts[1].worker, report);
    auto reborn = worker(starts[0].worker);
    reborn.bornUnixMs = 6;
    d.scheduler.setWorker(reborn, d.now);
    auto again = d.startsAfter(5);
    BOOST_REQUIRE(again.size() == 2);
    BOOST_TEST(again[0].run == 2);
    BOOST_TEST(again[1].run == 2);
}
