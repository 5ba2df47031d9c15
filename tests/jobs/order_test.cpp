// Placement order on a saturated service.
#define BOOST_TEST_MODULE order
#include "jobs/process/short_task_reserve.h"
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

// One worker with capacity for two tasks. Short tasks take 1 s and three arrive in that time, so some that
// can still meet their deadline are always waiting.
struct saturated_service : cell_driver {
    static constexpr ms shortTaskMs = 1'000;
    static constexpr ms shortTaskPeriodMs = 320;
    static constexpr int64_t taskCpuMilli = 4'000; // Half of the worker's processors.

    struct active_attempt {
        start_action start;
        ms endsAt = 0; // 0 for the service task.
    };
    worker_id worker = "w";
    std::vector<active_attempt> attempts;
    std::vector<task_completion> completions;
    uint64_t completionCount = 0;
    int shortTasksDone = 0;

    saturated_service()
    {
        scheduler.begin(now, now);
        addWorker();
    }
    void addWorker()
    {
        scheduler.setWorker(workerRecord(worker), now);
        runOnce();
        report(worker, {});
    }
    // The worker does not answer any more, and another one is added.
    void replaceWorker()
    {
        for (const auto& poll : take<poll_action>())
            scheduler.onPollFailed(poll, order_outcome::no_answer, now);
        attempts.clear();
        completions.clear();
        worker = "other";
        addWorker();
    }
    void submit(const job_id& id, bool isService)
    {
        job_record record = singleStepJob(1);
        record.acceptedUnixMs = now;
        step_spec& spec = record.spec.steps[0];
        spec.cpuMilli = taskCpuMilli;
        spec.estimateMs = shortTaskMs;
        spec.isService = isService;
        scheduler.addJob(id, record);
    }
    void complete(const active_attempt& attempt, completion_kind kind)
    {
        completions.push_back({ ++completionCount, attempt.start.task, attempt.start.attempt, kind, "" });
        shortTasksDone += kind == completion_kind::done;
    }
    void iterate()
    {
        if (now % shortTaskPeriodMs == 0)
            submit("quick" + std::to_string(now), false);
        runOnce();
        for (const auto& start : take<start_action>()) {
            scheduler.onStarted(start, order_outcome::done, now);
            attempts.push_back({ start, start.task.job == "service" ? 0 : now + shortTaskMs });
        }
        std::erase_if(attempts, [&](const active_attempt& attempt) {
            bool finished = attempt.endsAt != 0 && attempt.endsAt <= now;
            if (finished)
                complete(attempt, completion_kind::done);
            return finished;
        });
        worker_report workerReport;
        for (const active_attempt& attempt : attempts)
            workerReport.running.push_back({ attempt.start.task, attempt.start.attempt, "", 50, 1'000 });
        workerReport.completions.swap(completions);
        report(worker, workerReport);
    }
    bool serviceTaskRuns() const
    {
        return std::any_of(attempts.begin(), attempts.end(),
            [](const active_attempt& attempt) { return attempt.endsAt == 0; });
    }
    void failServiceTask()
    {
        std::erase_if(attempts, [&](const active_attempt& attempt) {
            if (attempt.endsAt == 0)
                complete(attempt, completion_kind::failed);
            return attempt.endsAt == 0;
        });
    }
};

} // namespace

// Regression (large scale-1 seed 132582322912 at 16.6 s): short tasks that could still meet their deadline
// preceded service tasks of their priority without a bound, so that on a saturated service a service task did
// not run for 12 s. It must run again within 9 s of its last attempt.
BOOST_AUTO_TEST_CASE(short_tasks_do_not_starve_a_restarting_service_task)
{
    constexpr ms maxAbsenceMs = 9'000;
    saturated_service service;
    service.submit("service", true);
    for (int i = 0; i < 10 && !service.serviceTaskRuns(); i++)
        service.iterate();
    BOOST_REQUIRE(service.serviceTaskRuns());
    for (ms until = service.now + 6'000; service.now < until;)
        service.iterate();
    service.failServiceTask();
    ms failedAt = service.now;
    while (!service.serviceTaskRuns() && service.now < failedAt + 30'000)
        service.iterate();
    BOOST_TEST(service.now - failedAt <= maxAbsenceMs);
    BOOST_TEST(service.shortTasksDone > 10);
}

// The time for which the leases of the lost worker last counts as well.
BOOST_AUTO_TEST_CASE(short_tasks_do_not_starve_a_service_task_of_a_lost_worker)
{
    constexpr ms maxAbsenceMs = 9'000;
    saturated_service service;
    service.submit("service", true);
    for (int i = 0; i < 10 && !service.serviceTaskRuns(); i++)
        service.iterate();
    BOOST_REQUIRE(service.serviceTaskRuns());
    service.replaceWorker();
    ms lostAt = service.now;
    while (!service.serviceTaskRuns() && service.now < lostAt + 30'000)
        service.iterate();
    BOOST_TEST(service.now - lostAt <= maxAbsenceMs);
    BOOST_TEST(service.shortTasksDone > 10);
}

BOOST_AUTO_TEST_CASE(statistics_tell_how_long_a_service_task_has_waited_to_run_again)
{
    saturated_service service;
    service.submit("service", true);
    for (int i = 0; i < 10 && !service.serviceTaskRuns(); i++)
        service.iterate();
    BOOST_REQUIRE(service.serviceTaskRuns());
    BOOST_TEST(service.scheduler.collectStatistics().displacedTasks == 0);
    service.replaceWorker();
    for (int i = 0; i < 1'000 && service.scheduler.collectStatistics().displacedTasks == 0; i++)
        service.iterate();
    for (int i = 0; i < 5; i++)
        service.iterate();
    cell::statistics statistics = service.scheduler.collectStatistics();
    BOOST_REQUIRE(!service.serviceTaskRuns());
    BOOST_TEST(statistics.displacedTasks == 1);
    BOOST_TEST(statistics.longestDisplacedMs == 100);
    BOOST_TEST(statistics.cpuShortTasks == 2 * saturated_service::taskCpuMilli);
    BOOST_TEST(statistics.largestFreeCpu == 0);
}

// A short task frees its capacity soon, so it does not wait for a service task that arrived just before it.
BOOST_AUTO_TEST_CASE(short_tasks_precede_a_new_service_task)
{
    saturated_service service;
    for (int i = 0; i < 100; i++)
        service.iterate();
    service.submit("service", true);
    int doneBefore = service.shortTasksDone;
    for (ms until = service.now + 1'500; service.now < until;)
        service.iterate();
    BOOST_TEST(service.shortTasksDone - doneBefore >= 2);
    BOOST_TEST(!service.serviceTaskRuns());
}

namespace {

// Four workers with capacity for 16 tasks in total.
struct four_worker_service : cell_driver {
    std::map<worker_id, std::vector<start_action>> attempts;
    std::map<worker_id, uint64_t> completionCounts;

    four_worker_service()
    {
        for (int i = 0; i < 4; i++)
            scheduler.setWorker(workerRecord("w" + std::to_string(i)), now);
        scheduler.begin(now, now);
        runOnce();
        for (int i = 0; i < 4; i++)
            report("w" + std::to_string(i), {});
    }
    void submit(const job_id& id, int count, bool isService)
    {
        job_record record = singleStepJob(count);
        record.acceptedUnixMs = now;
        step_spec& spec = record.spec.steps[0];
        spec.cpuMilli = 2'000;
        spec.isService = isService;
        spec.estimateMs = 1'000;
        scheduler.addJob(id, record);
    }
    // Returns the number of tasks started in that many iterations. No attempt ends meanwhile.
    size_t startsWithin(int iterations)
    {
        size_t count = 0;
        for (int i = 0; i < iterations; i++) {
            runOnce();
            for (const auto& start : take<start_action>()) {
                scheduler.onStarted(start, order_outcome::done, now);
                attempts[start.worker].push_back(start);
                count++;
            }
            reportAll(completion_kind::stopped, "");
        }
        return count;
    }
    void completeJob(const job_id& id) { reportAll(completion_kind::done, id); }
    // Reports all attempts; those of `endingJob` end with `kind`.
    void reportAll(completion_kind kind, const job_id& endingJob)
    {
        for (int i = 0; i < 4; i++) {
            worker_id id = "w" + std::to_string(i);
            worker_report workerReport;
            std::erase_if(attempts[id], [&](const start_action& attempt) {
                bool finished = attempt.task.job == endingJob;
                if (finished)
                    workerReport.completions.push_back(
                        { ++completionCounts[id], attempt.task, attempt.attempt, kind, "" });
                else
                    workerReport.running.push_back({ attempt.task, attempt.attempt, "", 100, 1'000 });
                return finished;
            });
            report(id, workerReport);
        }
    }
};

} // namespace

// Regression (large trouble-1): service tasks submitted between two bursts of short tasks took the whole
// service, and short tasks waited for seconds (1.5 s for one in ten).
BOOST_AUTO_TEST_CASE(new_service_tasks_leave_the_short_task_reserve_free)
{
    four_worker_service service;
    service.submit("first", 4, false);
    BOOST_REQUIRE(service.startsWithin(3) == 4);
    service.completeJob("first");
    service.submit("service", 40, true);
    BOOST_TEST(service.startsWithin(3) == 12); // 16 fit; the reserve of 4 stays free.
    service.submit("second", 4, false);
    BOOST_TEST(service.startsWithin(3) == 4);
}

// A reserve that no short task uses is withheld from service tasks for a bounded time only.
BOOST_AUTO_TEST_CASE(new_service_tasks_are_held_back_for_a_bounded_time)
{
    constexpr int maxHoldIterations = 5'300 / 20; // The limit of 5 s and a margin, in iterations of 20 ms.
    four_worker_service service;
    service.submit("first", 4, false);
    BOOST_REQUIRE(service.startsWithin(3) == 4);
    service.completeJob("first");
    service.submit("service", 40, true);
    BOOST_TEST(service.startsWithin(3) == 12);
    BOOST_TEST(service.startsWithin(maxHoldIterations) == 4);
}

BOOST_AUTO_TEST_CASE(the_short_task_reserve_is_bounded_and_decays)
{
    short_task_reserve reserve;
    reserve.observe(0, 1'000, 100, 10'000, 0);
    BOOST_TEST(reserve.reservedCpu() == 1'000);
    reserve.observe(600, 600, 100, 10'000, 0);
    BOOST_TEST(reserve.reservedCpu() == 400);
    reserve.observe(0, 0, 0, 10'000, 10'000);
    BOOST_TEST(reserve.reservedCpu() == 500);
    reserve.observe(0, 8'000, 100, 10'000, 10'000);
    BOOST_TEST(reserve.reservedCpu() == 2'500);
    BOOST_TEST(reserve.usableCpu(250) == 200);
}

// A job due many times since 1970 opened all its occurrences at once.
BOOST_AUTO_TEST_CASE(occurrences_that_are_due_at_once_are_opened_in_parts)
{
    constexpr int64_t maxTasks = 10'000;
    cell_driver driver;
    job_record record = singleStepJob(1);
    record.spec.repeatCount = 100'000;
    record.spec.intervalMs = 1;
    driver.now = record.spec.repeatCount + 1'000;
    driver.scheduler.setClock(driver.now, driver.now);
    driver.scheduler.addJob("j", record);
    driver.scheduler.setWorker(workerRecord("w"), driver.now);
    driver.scheduler.begin(driver.now, driver.now);
    driver.runOnce();
    driver.report("w", {});
    driver.runOnce();
    auto tasks = [&] {
        auto statistics = driver.scheduler.collectStatistics();
        return statistics.waitingTasks + statistics.runningTasks;
    };
    BOOST_TEST(tasks() == maxTasks);
    worker_report report;
    for (const auto& start : driver.take<start_action>())
        report.completions.push_back(
            { report.completions.size() + 1, start.task, start.attempt, completion_kind::done, "" });
    BOOST_TEST(!report.completions.empty());
    driver.report("w", report);
    BOOST_TEST(tasks() < maxTasks);
    driver.runOnce();
    BOOST_TEST(tasks() == maxTasks);
}
