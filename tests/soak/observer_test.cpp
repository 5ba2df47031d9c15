// The soak's checks on histories that break one promise each.
#define BOOST_TEST_MODULE soak_observer
#include "tests/soak/observer.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::soak;

namespace {

constexpr int64_t acceptedAt = 1000;
constexpr int64_t endOfRun = 100'000;
const std::string id = "00000000000000aa";

struct observer_fixture {
    observer o;
    std::vector<fleet_attempt> history;

    tracked_job& addJob(job_kind kind, const std::vector<int>& steps)
    {
        tracked_job& job = o.jobs[id];
        job.kind = kind;
        job.steps = steps;
        for (int tasks : steps)
            job.tasks += tasks;
        job.refusedOnly = false;
        job.acceptedAt = acceptedAt;
        return job;
    }

    // `endedAt` 0: it runs.
    fleet_attempt& addAttempt(
        const std::string& task, int64_t startedAt, int64_t endedAt, const std::string& completion)
    {
        fleet_attempt attempt { id + task, static_cast<int64_t>(history.size()) + 1, "worker-1", completion,
            startedAt, std::nullopt, true, false };
        if (endedAt)
            attempt.endedAt = endedAt;
        history.push_back(attempt);
        return history.back();
    }

    // A service task that loses power at 10 s and starts again at `restartedAt`; 0: it does not.
    void addRestart(int64_t restartedAt)
    {
        addJob(job_kind::service, { 1 });
        addAttempt(".0.0.0", 2000, 10'000, "lapsed").acknowledged = false;
        if (restartedAt)
            addAttempt(".0.0.0", restartedAt, 0, "runs");
    }

    // Violations whose text begins with `rule`.
    size_t count(const std::string& rule)
    {
        o.check(history);
        o.checkRestarts(history, endOfRun);
        return static_cast<size_t>(std::count_if(o.violations().begin(), o.violations().end(),
            [&](const auto& text) { return text.starts_with(rule); }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(service_task_that_is_back_after_nine_seconds_is_not_lost, observer_fixture)
{
    addRestart(19'000);
    BOOST_TEST(count("LOST") == 0);
}

BOOST_FIXTURE_TEST_CASE(service_task_that_is_away_for_longer_is_lost, observer_fixture)
{
    addRestart(19'001);
    BOOST_TEST(count("LOST") == 1);
}

BOOST_FIXTURE_TEST_CASE(service_task_that_never_returns_is_lost, observer_fixture)
{
    addRestart(0);
    BOOST_TEST(count("LOST") == 1);
}

BOOST_FIXTURE_TEST_CASE(disturbances_in_the_last_seven_seconds_extend_the_bound, observer_fixture)
{
    addRestart(30'000);
    o.addDisturbance(10'000, 10'000);
    o.addDisturbance(12'000, 16'000);
    o.addDisturbance(22'500, 23'000);
    BOOST_TEST(count("LOST") == 0);
}

BOOST_FIXTURE_TEST_CASE(task_away_in_calm_between_disturbances_is_lost, observer_fixture)
{
    addRestart(40'000);
    o.addDisturbance(11'000, 12'500);
    o.addDisturbance(19'600, 30'000);
    BOOST_TEST(count("LOST") == 1);
}

BOOST_FIXTURE_TEST_CASE(service_task_of_a_cancelled_job_is_not_owed, observer_fixture)
{
    addRestart(0);
    o.jobs.at(id).cancelSentAt = 18'999;
    BOOST_TEST(count("LOST") == 0);
}

BOOST_FIXTURE_TEST_CASE(attempt_beside_a_running_one_is_twice, observer_fixture)
{
    addJob(job_kind::plain, { 1 });
    addAttempt(".0.0.0", 2000, 3000, "done").acknowledged = false;
    addAttempt(".0.0.0", 2999, 4000, "done");
    BOOST_TEST(count("TWICE") == 1);
}

BOOST_FIXTURE_TEST_CASE(attempt_after_the_worker_lost_power_is_not_twice, observer_fixture)
{
    addJob(job_kind::plain, { 1 });
    addAttempt(".0.0.0", 2000, 3000, "lapsed").acknowledged = false;
    addAttempt(".0.0.0", 3000, 4000, "done");
    BOOST_TEST(count("TWICE") == 0);
}

BOOST_FIXTURE_TEST_CASE(attempt_after_three_failures_is_over_budget, observer_fixture)
{
    addJob(job_kind::failing, { 1 });
    for (int64_t at = 2000; at < 6000; at += 1000)
        addAttempt(".0.0.0", at, at + 500, "failed");
    BOOST_TEST(count("BUDGET") == 1);
}

BOOST_FIXTURE_TEST_CASE(failure_that_was_not_acknowledged_is_not_counted, observer_fixture)
{
    addJob(job_kind::failing, { 1 });
    for (int64_t at = 2000; at < 6000; at += 1000)
        addAttempt(".0.0.0", at, at + 500, "failed").acknowledged = at != 2000;
    BOOST_TEST(count("BUDGET") == 0);
}

BOOST_FIXTURE_TEST_CASE(step_that_starts_before_the_one_it_depends_on_is_out_of_order, observer_fixture)
{
    addJob(job_kind::plain, { 2, 1 });
    addAttempt(".0.0.0", 2000, 3000, "done");
    addAttempt(".0.0.1", 2000, 3500, "done");
    addAttempt(".0.1.0", 3499, 4000, "done");
    BOOST_TEST(count("ORDER") == 1);
}
