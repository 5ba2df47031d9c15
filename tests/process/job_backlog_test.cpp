// Answers about accepted jobs while the leader still reads a backlog of the job log.
#define BOOST_TEST_MODULE job_backlog
#include "tests/process/fleet_deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace camphorwell;

namespace {

constexpr int jobs = 120;
constexpr int64_t readDelayMs = 100; // One record a read: 12 s for the backlog.
constexpr int64_t visibleMs = 3000; // An accepted job is known everywhere after this time.
constexpr int64_t deletionTimeoutMs = 15'000;
constexpr int64_t askedMs = 4000;

std::string path(int number)
{
    char id[32];
    std::snprintf(id, sizeof id, "/quick/%016x", static_cast<unsigned>(number));
    return id;
}

struct backlog_fixture {
    fleet_deployment d;
    std::string leader;
    std::string follower;

    explicit backlog_fixture(int keepSeconds = 60)
        : d({ .keepSeconds = keepSeconds })
    {
        BOOST_REQUIRE(d.start());
        leader = d.waitForLeader();
        follower = leader == d.instances().front() ? d.instances().back() : d.instances().front();
    }

    // Has jobs accepted while the leader is stopped, the last of them `last`, and reads of them slow.
    void makeBacklog(int last)
    {
        d.setStore({ { "read_bytes", 1 } });
        d.signal(leader, SIGSTOP);
        for (int i = 1; i < jobs; i++)
            BOOST_REQUIRE(d.submitTask(follower, path(i), "work_ms=10"));
        BOOST_REQUIRE(d.submitTask(follower, path(last), "work_ms=10"));
        d.setStore(
            { { "fault", "answered_late" }, { "topic", "keyed.jobs-0" }, { "delay_ms", readDelayMs } });
        d.signal(leader, SIGCONT);
    }
};

struct short_retention_fixture : backlog_fixture {
    short_retention_fixture()
        : backlog_fixture(2)
    {
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(accepted_job_is_not_unknown_while_the_leader_reads_a_backlog, backlog_fixture)
{
    makeBacklog(jobs);
    d.waitUntil(visibleMs, [] { return false; });
    BOOST_REQUIRE(d.waitForLeader() == leader);
    bool unknown = d.waitUntil(askedMs, [&] { return d.stateOf(follower, path(jobs)) == "410"; });
    BOOST_TEST(!unknown);
    d.setStore({ { "clear_faults", true } });
    BOOST_TEST(d.waitForState(follower, path(jobs), "completed"));
}

BOOST_FIXTURE_TEST_CASE(submission_repeated_behind_a_backlog_runs_once, short_retention_fixture)
{
    BOOST_REQUIRE(d.submitTask(follower, path(0), "work_ms=10"));
    BOOST_REQUIRE(d.waitForState(follower, path(0), "completed"));
    BOOST_REQUIRE(
        d.waitUntil(deletionTimeoutMs, [&] { return d.counter(leader, "job_records_deleted") == 1; }));
    makeBacklog(0);
    auto attempts = [&] {
        size_t out = 0;
        for (const auto& attempt : d.history())
            out += ("/quick/" + attempt.task).starts_with(path(0));
        return out;
    };
    BOOST_TEST(!d.waitUntil(jobs * readDelayMs * 3 / 2, [&] { return attempts() > 1; }));
    BOOST_TEST(attempts() == 1);
}
