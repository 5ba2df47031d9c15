// Latency-critical tasks that are moved, and tasks that are held back.
#define BOOST_TEST_MODULE consolidation
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

// Workers of 8 cores that host latency-critical tasks close to their target, so that best-effort tasks are
// refused for their expected pace.
struct busy_service : cell_driver {
    static constexpr ms targetMs = 18;
    static constexpr ms tailMs = 17;

    std::map<worker_id, worker_report> reports;
    std::set<worker_id> silent; // Workers that do not answer.
    std::map<worker_id, uint64_t> completionCounts;
    std::map<std::string, int> stops; // By task.

    void addWorker(const worker_id& id, const std::string& rack = "", const std::string& service = "service")
    {
        worker_record record = workerRecord(id);
        record.rack = rack;
        record.service = service;
        scheduler.setWorker(record, now);
        reports[id] = {};
    }
    // Adds a job of `count` latency-critical tasks of two cores each.
    void addLatencyCriticalJob(const job_id& id, int count, const std::string& rack = "")
    {
        job_record job = latencyCriticalJob(targetMs);
        job.spec.steps[0].count = count;
        job.spec.steps[0].cpuMilli = 2'000;
        job.spec.steps[0].preferredRack = rack;
        scheduler.addJob(id, job);
    }
    void addBestEffortJob(int count, const std::string& label = "")
    {
        job_record job = bestEffortJob();
        job.spec.steps[0].count = count;
        job.spec.steps[0].requiredLabel = label;
        scheduler.addJob("best-effort", job);
    }
    void start(const start_action& start)
    {
        if (silent.contains(start.worker))
            return;
        scheduler.onStarted(start, order_outcome::done, now);
        reports[start.worker].running.push_back({ start.task, start.attempt, "", 100, tailMs });
    }
    void stop(const stop_action& stop)
    {
        stops[stop.task.str()]++;
        if (silent.contains(stop.worker))
            return;
        worker_report& report = reports[stop.worker];
        auto ended = std::erase_if(report.running, [&](const running_task& running) {
            return running.task == stop.task && running.attempt == stop.attempt;
        });
        if (ended > 0)
            report.completions.push_back(
                { ++completionCounts[stop.worker], stop.task, stop.attempt, completion_kind::stopped, "" });
        scheduler.onStopped(stop, order_outcome::done, now);
    }
    void simulate(ms duration)
    {
        for (ms until = now + duration; now < until;) {
            runOnce();
            for (const auto& action : take<stop_action>())
                stop(action);
            for (const auto& action : take<start_action>())
                start(action);
            for (const auto& poll : take<poll_action>()) {
                if (silent.contains(poll.worker))
                    scheduler.onPollFailed(poll, order_outcome::no_answer, now);
            }
            if (now % 200 != 0)
                continue;
            for (const auto& [id, report] : reports) {
                if (!silent.contains(id))
                    this->report(id, report);
            }
        }
    }
};

} // namespace

// Two tasks of each step, on w0 and w1 or on w2 and w3.
BOOST_AUTO_TEST_CASE(no_task_is_moved_while_another_of_its_step_is_on_a_silent_worker)
{
    busy_service service;
    for (int i = 0; i < 4; i++)
        service.addWorker("w" + std::to_string(i));
    for (int i = 0; i < 8; i++)
        service.addLatencyCriticalJob("serving" + std::to_string(i), 2);
    service.scheduler.begin(service.now, service.now);
    service.simulate(3'000);
    for (int ended : { 2, 3, 6, 7 })
        service.scheduler.cancel("serving" + std::to_string(ended));
    service.simulate(4'000);
    service.stops.clear();
    BOOST_REQUIRE(service.reports["w1"].running.size() == 2);
    service.silent.insert("w1");
    service.addBestEffortJob(6);
    service.simulate(2'500);
    for (const running_task& unknown : service.reports["w1"].running) {
        for (int i = 0; i < 2; i++) {
            task_ref task = unknown.task;
            task.index = i;
            BOOST_TEST(service.stops[task.str()] == 0, task.str() << " was stopped");
        }
    }
}

// The silent workers have eight tasks of two cores, and the others eight cores in all for them.
BOOST_AUTO_TEST_CASE(no_task_is_moved_while_tasks_of_silent_workers_need_the_capacity)
{
    constexpr int workers = 5;
    busy_service service;
    for (int i = 0; i < workers; i++)
        service.addWorker("w" + std::to_string(i));
    for (int i = 0; i < 4 * workers; i++)
        service.addLatencyCriticalJob("serving" + std::to_string(i), 1);
    service.scheduler.begin(service.now, service.now);
    service.simulate(3'000);
    // Leaves three tasks on w0 and w1, and two on w2.
    for (const auto& [id, ended] : std::map<worker_id, size_t> { { "w0", 1 }, { "w1", 1 }, { "w2", 2 } }) {
        BOOST_REQUIRE(service.reports[id].running.size() == 4);
        for (size_t i = 0; i < ended; i++)
            service.scheduler.cancel(service.reports[id].running[i].task.job);
    }
    service.simulate(4'000);
    service.stops.clear();
    service.silent = { "w3", "w4" };
    service.simulate(1'000);
    service.addBestEffortJob(12);
    service.simulate(9'000);
    for (const auto& [task, count] : service.stops)
        BOOST_ERROR(task << " was stopped");
}

BOOST_AUTO_TEST_CASE(no_task_is_moved_for_best_effort_tasks_that_wait_for_a_label)
{
    busy_service service;
    for (int i = 0; i < 4; i++)
        service.addWorker("w" + std::to_string(i));
    for (int i = 0; i < 16; i++)
        service.addLatencyCriticalJob("serving" + std::to_string(i), 1);
    service.scheduler.begin(service.now, service.now);
    service.simulate(3'000);
    for (int i = 0; i < 16; i += 2)
        service.scheduler.cancel("serving" + std::to_string(i));
    service.simulate(4'000);
    service.stops.clear();
    service.addBestEffortJob(6, "absent");
    service.simulate(20'000);
    BOOST_TEST(service.stops.size() == 0);
}

// Placement prefers the rack to a worker that is not kept clear, so the task would return.
BOOST_AUTO_TEST_CASE(no_task_is_moved_again_and_again_for_its_preferred_rack)
{
    busy_service service;
    for (int i = 0; i < 4; i++)
        service.addWorker("w" + std::to_string(i), i == 0 ? "near" : "far");
    for (int i = 0; i < 16; i++)
        service.addLatencyCriticalJob("serving" + std::to_string(i), 1, i < 4 ? "near" : "");
    service.scheduler.begin(service.now, service.now);
    service.simulate(3'000);
    for (int i = 0; i < 16; i += 2)
        service.scheduler.cancel("serving" + std::to_string(i));
    service.simulate(4'000);
    service.stops.clear();
    service.addBestEffortJob(6);
    service.simulate(20'000);
    for (const auto& [task, count] : service.stops)
        BOOST_TEST(count <= 1, task << " was stopped " << count << " times");
}

// Under half of the service is in use; the other service is full.
BOOST_AUTO_TEST_CASE(best_effort_tasks_of_a_lightly_loaded_service_do_not_wait_for_another_service)
{
    busy_service service;
    auto queues = batchQueue();
    (*queues)["other"] = (*queues)["batch"];
    (*queues)["other"].service = "other";
    service.scheduler.setQueues(queues);
    service.addWorker("w0");
    for (int i = 1; i < 4; i++)
        service.addWorker("w" + std::to_string(i), "", "other");
    service.addLatencyCriticalJob("serving", 1);
    job_record full = singleStepJob(3);
    full.queue = "other";
    full.spec.steps[0].isService = true;
    full.spec.steps[0].cpuMilli = 8'000;
    service.scheduler.addJob("full", full);
    service.scheduler.begin(service.now, service.now);
    service.simulate(4'000);
    service.addBestEffortJob(1);
    service.simulate(3'000);
    BOOST_TEST(service.reports["w0"].running.size() == 2);
}

// The short task may not take the quarantined worker; the service task may after 1 s.
BOOST_AUTO_TEST_CASE(a_short_task_that_waits_for_a_quarantined_worker_holds_no_service_task_back)
{
    busy_service service;
    service.addWorker("w");
    service.addLatencyCriticalJob("serving", 1);
    for (int i = 0; i < 2; i++)
        service.scheduler.addJob("failing" + std::to_string(i), singleStepJob(1));
    service.scheduler.begin(service.now, service.now);
    service.simulate(1'000);
    worker_report& report = service.reports["w"];
    BOOST_REQUIRE(report.running.size() == 3);
    for (const running_task& failed : report.running)
        report.completions.push_back(
            { ++service.completionCounts["w"], failed.task, failed.attempt, completion_kind::failed, "" });
    report.running.clear();
    service.simulate(200);
    job_record shortJob = singleStepJob(1);
    shortJob.acceptedUnixMs = service.now;
    shortJob.spec.steps[0].estimateMs = 1'500;
    service.scheduler.addJob("short", shortJob);
    service.simulate(1'500);
    BOOST_TEST(report.running.size() == 1);
}

// Nine workers host only a task of a step that may not be moved, since one of its tasks is not at work.
BOOST_AUTO_TEST_CASE(workers_that_cannot_be_cleared_do_not_keep_others_from_it)
{
    constexpr int unsettledTasks = 9;
    constexpr int workers = 12;
    busy_service service;
    for (int i = 0; i < workers; i++)
        service.addWorker("w" + std::to_string(i));
    job_record unsettled = latencyCriticalJob(busy_service::targetMs);
    unsettled.spec.steps[0].count = unsettledTasks;
    unsettled.spec.steps[0].maxPerWorker = 1;
    unsettled.spec.steps[0].cpuMilli = 2'000;
    service.scheduler.addJob("unsettled", unsettled);
    for (int i = 0; i < 4 * workers - unsettledTasks; i++)
        service.addLatencyCriticalJob("serving" + std::to_string(i), 1);
    service.scheduler.begin(service.now, service.now);
    service.simulate(3'000);
    for (auto& [id, report] : service.reports) {
        BOOST_REQUIRE(report.running.size() == 4);
        bool hostsUnsettled = report.running.front().task.job == "unsettled";
        if (hostsUnsettled && report.running.front().task.index == 0)
            report.running.front().progressPercent = 50;
        for (size_t i = hostsUnsettled ? 1 : 2; i < 4; i++)
            service.scheduler.cancel(report.running[i].task.job);
    }
    service.simulate(4'000);
    service.stops.clear();
    service.addBestEffortJob(6);
    service.simulate(4'000);
    BOOST_TEST(service.stops.size() == 2);
}
