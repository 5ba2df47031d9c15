// Finished jobs across changes of leader and of the store, with real processes.
#define BOOST_TEST_MODULE fleet_process
#include "tests/process/fleet_deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr int jobs = 12;
constexpr int64_t keepMs = 1000;
constexpr int64_t longKeepSeconds = 8; // Longer than the period of the leader's deletions.
constexpr int64_t settleMs = 1500; // A new leader places what it holds for unfinished at once.
constexpr int64_t deletionTimeoutMs = 15'000;
const json jobLog = "keyed.jobs-0";

std::string path(int number)
{
    char id[32];
    std::snprintf(id, sizeof id, "/quick/%016x", static_cast<unsigned>(number));
    return id;
}

struct fleet_fixture {
    fleet_deployment d;

    explicit fleet_fixture(int keepSeconds = keepMs / 1000)
        : d(fleet_options { .keepSeconds = keepSeconds })
    {
        BOOST_REQUIRE(d.start());
    }

    void pause(int64_t ms)
    {
        d.waitUntil(ms, [] { return false; });
    }

    std::string follower()
    {
        std::string leader = d.waitForLeader();
        for (const auto& each : d.instances()) {
            if (each != leader)
                return each;
        }
        return {};
    }

    void finishJobs(const std::string& instance)
    {
        for (int i = 0; i < jobs; i++)
            BOOST_REQUIRE(d.submitTask(instance, path(i), "work_ms=50"));
        for (int i = 0; i < jobs; i++)
            BOOST_REQUIRE(d.waitForState(instance, path(i), "completed"));
    }

    void replaceLeader()
    {
        std::string killed = d.waitForLeader();
        BOOST_REQUIRE(!killed.empty());
        d.kill(killed);
        BOOST_REQUIRE(!d.waitForLeader(killed).empty());
        d.restart(killed);
        BOOST_REQUIRE(d.waitUntil(10'000, [&] { return d.ready(killed); }));
    }

    void waitForCounter(const std::string& name, int64_t atLeast)
    {
        BOOST_REQUIRE(
            d.waitUntil(deletionTimeoutMs, [&] { return d.counter(d.waitForLeader(), name) >= atLeast; }));
    }

    void checkEachTaskRanOnce(int tasks = jobs)
    {
        pause(settleMs);
        std::map<std::string, int> attempts;
        for (const auto& attempt : d.history())
            attempts[attempt.task]++;
        BOOST_TEST(attempts.size() == static_cast<size_t>(tasks));
        for (const auto& [task, count] : attempts)
            BOOST_TEST(count == 1, "task " << task << " has " << count << " attempts");
    }

    void deletionFailsOnce(const std::string& fault, const std::string& outcome)
    {
        finishJobs(follower());
        d.setStore({ { "fault", fault }, { "topic", jobLog }, { "appends_only", true } });
        waitForCounter("job_deletion_" + outcome, 1);
        d.setStore({ { "clear_faults", true } });
        pause(2 * keepMs);
        replaceLeader();
        checkEachTaskRanOnce();
    }
};

struct long_retention_fixture : fleet_fixture {
    long_retention_fixture()
        : fleet_fixture(longKeepSeconds)
    {
    }

    // Repeats the submissions after the first records were deleted, and waits for the end of the retention.
    void repeatSubmissions(const std::string& instance)
    {
        finishJobs(instance);
        waitForCounter("job_records_deleted", jobs);
        for (int i = 0; i < jobs; i++)
            BOOST_REQUIRE(d.submitTask(instance, path(i), "work_ms=50"));
        pause(longKeepSeconds * 1000 + settleMs);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(jobs_that_end_before_the_leader_is_killed_run_once, fleet_fixture)
{
    finishJobs(follower());
    replaceLeader();
    pause(2 * keepMs);
    replaceLeader();
    checkEachTaskRanOnce();
}

BOOST_FIXTURE_TEST_CASE(submission_repeated_after_the_end_runs_once, long_retention_fixture)
{
    repeatSubmissions(follower());
    replaceLeader();
    checkEachTaskRanOnce();
}

BOOST_FIXTURE_TEST_CASE(refused_deletion_of_a_finished_job_runs_nothing_again, fleet_fixture)
{
    deletionFailsOnce("refused", "refused");
}

BOOST_FIXTURE_TEST_CASE(unanswered_deletion_of_a_finished_job_runs_nothing_again, fleet_fixture)
{
    deletionFailsOnce("lost", "no_answer");
}

// The stopped leader reads up to the first of two new records, and the second is dropped before it asks.
BOOST_FIXTURE_TEST_CASE(dropped_history_of_the_job_log_runs_nothing_again, long_retention_fixture)
{
    std::string instance = follower();
    std::string leader = d.waitForLeader();
    repeatSubmissions(instance);
    BOOST_REQUIRE(d.waitForLeader() == leader);
    d.signal(leader, SIGSTOP);
    for (int i = 0; i < 2; i++)
        BOOST_REQUIRE(d.submitTask(instance, path(jobs + i), "work_ms=50"));
    d.setStore({ { "drop_history", jobLog } });
    d.signal(leader, SIGCONT);
    checkEachTaskRanOnce(jobs + 2);
}
