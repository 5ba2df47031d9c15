// Which workers the advice service is asked about, when it is asked, and how long its answers are used.
#define BOOST_TEST_MODULE advice
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

constexpr int workersPerCall = 30; // Of cell_settings::workersPerAdvice.
constexpr int workersPerGangCall = 100; // Of cell_settings::workersPerGangAdvice.
constexpr ms longValidityMs = 60'000;
constexpr ms reportPeriodMs = 100;
// Users count a task as lost that waits for this long while there is capacity for it.
constexpr ms longestWaitMs = 3'000;

// Handles the calls of one machine in turn. A call that was given up is finished if it has begun, and is not
// begun otherwise.
struct advice_service {
    struct ticket {
        std::string step;
        worker_id worker;
        ms validUntil = 0;
    };
    struct call {
        advice_action request;
        bool abandoned = false;
    };
    queue_policy terms; // As the service works, whatever the operator's configuration says.
    std::function<bool(const worker_id&)> permits = [](const worker_id&) { return true; };
    std::deque<call> waiting;
    ms answersAt = 0; // Of the first call, if it has begun; otherwise 0.
    bool silent = false; // It begins no call.
    std::map<std::string, ticket> tickets; // All that were issued.

    // Returns the answer that is due.
    std::optional<std::pair<call, std::vector<advised_worker>>> handle(ms now)
    {
        while (answersAt == 0 && !waiting.empty() && waiting.front().abandoned)
            waiting.pop_front();
        if (waiting.empty() || silent)
            return std::nullopt;
        const std::vector<worker_id>& workers = waiting.front().request.workers;
        if (answersAt == 0)
            answersAt = now + terms.adviceCallMs(workers.size());
        if (now < answersAt)
            return std::nullopt;
        answersAt = 0;
        call answered = waiting.front();
        waiting.pop_front();
        std::vector<advised_worker> advised;
        for (const worker_id& id : answered.request.workers) {
            if (!permits(id))
                continue;
            advised.push_back({ id, "ticket-" + std::to_string(tickets.size()) });
            tickets[advised.back().ticket] = { answered.request.step.str(), id, now + terms.adviceValidMs };
        }
        return std::pair(answered, advised);
    }
    bool accepts(const start_action& start, ms now) const
    {
        auto found = tickets.find(start.ticket);
        task_ref step = start.task;
        step.index = 0;
        return found != tickets.end() && found->second.worker == start.worker
            && found->second.step == step.str() && now <= found->second.validUntil;
    }
};

// The queue `batch`, whose steps need advice, and workers that accept each start with a valid ticket.
struct advised_cell : cell_driver {
    std::map<worker_id, worker_report> reports;
    std::vector<start_action> starts; // All starts that were accepted.
    int refusedStarts = 0;
    std::set<worker_id> asked; // Workers that advice was asked for.
    std::vector<advice_action> calls;
    int abandonedCalls = 0;
    ms reportedAt = 0;
    bool callUnderWay = false;
    bool gangs = false;
    advice_service ownService;
    advice_service* service = &ownService;
    queue_policy terms = batchQueue()->at("batch");

    explicit advised_cell(ms validityMs, ms decideMs = 0, ms perWorkerMs = 0)
    {
        terms.requiresAdvice = true;
        terms.adviceValidMs = validityMs;
        terms.adviceDecideMs = decideMs;
        terms.advicePerWorkerMs = perWorkerMs;
        service->terms = terms;
        configure();
    }
    // Passes the terms to the cell.
    void configure()
    {
        auto table = batchQueue();
        table->at("batch") = terms;
        scheduler.setQueues(table);
    }
    void addWorker(worker_record record)
    {
        scheduler.setWorker(record, now);
        reports[record.id].startedUnixMs = record.startedUnixMs;
    }
    void addWorkers(const std::string& prefix, int count, int64_t cpuMilli)
    {
        for (int i = 0; i < count; i++) {
            worker_record record = workerRecord(prefix + std::to_string(i));
            record.capacity.cpuMilli = cpuMilli;
            addWorker(record);
        }
    }
    void beginWithWorkers(int count)
    {
        addWorkers("w", count, 8000);
        scheduler.begin(now, now);
    }
    // The first task that was started is done.
    void completeFirst()
    {
        const start_action& first = starts[0];
        reports[first.worker].running.clear();
        reports[first.worker].completions = { { 1, first.task, first.attempt, completion_kind::done, "" } };
    }
    void run(ms length)
    {
        for (ms end = now + length; now < end;)
            iterate();
    }
    // Runs until so many starts were accepted. Returns whether that was within the time.
    bool runUntilStarted(size_t count, ms atMost)
    {
        for (ms end = now + atMost; now < end && starts.size() < count;)
            iterate();
        return starts.size() >= count;
    }
    void iterate()
    {
        if (now - reportedAt >= reportPeriodMs) {
            reportedAt = now;
            for (auto& [id, current] : reports)
                report(id, current);
        }
        runOnce();
        for (const auto& start : take<start_action>()) {
            if (!service->accepts(start, now)) {
                refusedStarts++;
                scheduler.onStarted(start, order_outcome::bad_ticket, now);
                continue;
            }
            starts.push_back(start);
            reports[start.worker].running.push_back({ start.task, start.attempt, "", 100, 0 });
            scheduler.onStarted(start, order_outcome::done, now);
        }
        take<poll_action>();
        passOnCalls();
        while (auto answer = service->handle(now)) {
            if (answer->first.abandoned)
                continue;
            callUnderWay = false;
            scheduler.onAdvice(answer->first.request, answer->second, now);
            collectActions();
            passOnCalls();
        }
    }
    // Gives the calls that the cell asked for to the service.
    void passOnCalls()
    {
        std::vector<action> taken;
        taken.swap(actions);
        for (action& each : taken) {
            if (const auto* request = std::get_if<advice_action>(&each)) {
                BOOST_TEST(!callUnderWay);
                BOOST_TEST(request->workers.size() <= (gangs ? workersPerGangCall : workersPerCall));
                callUnderWay = true;
                asked.insert(request->workers.begin(), request->workers.end());
                calls.push_back(*request);
                service->waiting.push_back({ *request });
            } else if (std::holds_alternative<abandon_advice_action>(each)) {
                callUnderWay = false;
                abandonedCalls++;
                abandonCalls();
            } else {
                actions.push_back(std::move(each));
            }
        }
    }
    void abandonCalls()
    {
        for (advice_service::call& each : service->waiting)
            each.abandoned = true;
    }
    void addJobs(int count, const job_record& job)
    {
        for (int i = 0; i < count; i++)
            scheduler.addJob("j" + std::to_string(i), job);
    }
};

} // namespace

// Regression: a step with a label was never started beside 30 emptier workers without the label.
BOOST_AUTO_TEST_CASE(advice_is_asked_for_workers_that_have_the_steps_label)
{
    advised_cell cell(longestWaitMs);
    cell.addWorkers("empty", workersPerCall, 8000);
    worker_record labelled = workerRecord("labelled");
    labelled.labels = { "b" };
    labelled.capacity.cpuMilli = 4000;
    cell.addWorker(labelled);
    cell.scheduler.begin(cell.now, cell.now);
    job_record job = singleStepJob(2);
    job.spec.steps[0].requiredLabel = "b";
    cell.scheduler.addJob("j", job);
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 2);
    BOOST_TEST(cell.asked.size() == 1);
}

BOOST_AUTO_TEST_CASE(advice_is_asked_for_workers_of_the_queues_service)
{
    advised_cell cell(longestWaitMs);
    for (int i = 0; i < workersPerCall; i++) {
        worker_record other = workerRecord("other" + std::to_string(i));
        other.service = "other";
        cell.addWorker(other);
    }
    cell.addWorkers("own", 1, 4000);
    cell.scheduler.begin(cell.now, cell.now);
    cell.scheduler.addJob("j", singleStepJob(1));
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(workers_that_were_refused_are_asked_about_again_after_all_others)
{
    advised_cell cell(longestWaitMs);
    cell.addWorkers("refused", 5 * workersPerCall, 8000);
    cell.addWorkers("good", 1, 4000);
    cell.service->permits = [](const worker_id& id) { return id.starts_with("good"); };
    cell.scheduler.begin(cell.now, cell.now);
    cell.scheduler.addJob("j", singleStepJob(1));
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(advice_leaves_out_workers_at_the_limit_of_the_steps_tasks)
{
    advised_cell cell(longValidityMs);
    cell.beginWithWorkers(2 * workersPerCall);
    job_record job = singleStepJob(2 * workersPerCall);
    job.spec.steps[0].maxPerWorker = 1;
    cell.scheduler.addJob("j", job);
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 2 * workersPerCall);
}

// Regression: a lasting task whose worker had crashed waited until its tickets expired.
BOOST_AUTO_TEST_CASE(tickets_of_workers_without_room_do_not_end_the_search)
{
    advised_cell cell(longValidityMs);
    cell.addWorkers("first", 4, 8000);
    cell.scheduler.begin(cell.now, cell.now);
    job_record job = singleStepJob(4);
    job.spec.steps[0].isService = true;
    job.spec.steps[0].maxPerWorker = 1;
    cell.scheduler.addJob("j", job);
    cell.run(longestWaitMs);
    BOOST_REQUIRE(cell.starts.size() == 4);
    cell.addWorkers("second", 4, 8000);
    cell.run(500);
    worker_record restarted = workerRecord("first0");
    restarted.startedUnixMs++;
    restarted.capacity.cpuMilli = 100;
    cell.addWorker(restarted);
    cell.reports["first0"].running.clear();
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 5);
}

BOOST_AUTO_TEST_CASE(ticket_of_a_workers_earlier_life_is_not_used)
{
    advised_cell cell(longValidityMs);
    cell.beginWithWorkers(1);
    job_record job = singleStepJob(1);
    job.spec.steps[0].isService = true;
    cell.scheduler.addJob("j", job);
    cell.run(longestWaitMs);
    BOOST_REQUIRE(cell.starts.size() == 1);
    worker_record restarted = workerRecord("w0");
    restarted.startedUnixMs++;
    cell.addWorker(restarted);
    cell.reports["w0"].running.clear();
    cell.asked.clear();
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == 2);
    BOOST_TEST(cell.asked.contains("w0"));
}

BOOST_AUTO_TEST_CASE(advice_is_asked_until_a_gang_finds_workers_for_all_members)
{
    constexpr int members = 5;
    advised_cell cell(longValidityMs);
    cell.gangs = true;
    cell.addWorkers("bad", workersPerGangCall - 3, 8000);
    cell.addWorkers("good", members, 8000);
    cell.service->permits = [](const worker_id& id) { return id.starts_with("good"); };
    cell.scheduler.begin(cell.now, cell.now);
    job_record gang = singleStepJob(members);
    gang.spec.steps[0].gang = true;
    gang.spec.steps[0].maxPerWorker = 1;
    cell.scheduler.addJob("j", gang);
    cell.run(longestWaitMs);
    BOOST_TEST(cell.starts.size() == members);
}

// Regression: steps that waited for slow advice were never started (review case 12).
BOOST_AUTO_TEST_CASE(each_step_is_started_whatever_time_the_advice_service_takes)
{
    constexpr int tasks = 4;
    for (ms decideMs : { 0, 50, 2'300, 9'000 }) {
        for (ms perWorkerMs : { 0, 60, 300 }) {
            for (ms validMs : { 300, 60'000 }) {
                for (int jobs : { 1, 12 }) {
                    advised_cell cell(validMs, decideMs, perWorkerMs);
                    cell.beginWithWorkers(36);
                    cell.addJobs(jobs, singleStepJob(tasks));
                    ms callMs = cell.terms.adviceCallMs(workersPerCall);
                    bool started = cell.runUntilStarted(
                        static_cast<size_t>(jobs * tasks), 1'000 + jobs * (callMs + 100));
                    BOOST_TEST(started, decideMs << " " << perWorkerMs << " " << validMs << " " << jobs);
                    BOOST_TEST(cell.abandonedCalls == 0);
                    BOOST_TEST(cell.refusedStarts == 0);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(advice_is_awaited_when_its_service_is_slower_than_configured)
{
    struct service_times {
        ms decideMs, perWorkerMs;
        int slowness;
    };
    for (auto [decideMs, perWorkerMs, slowness] :
        { service_times { 500, 20, 2 }, { 500, 20, 8 }, { 20, 1, 100 } }) {
        advised_cell cell(3'000, decideMs, perWorkerMs);
        cell.service->terms.adviceDecideMs *= slowness;
        cell.service->terms.advicePerWorkerMs *= slowness;
        cell.beginWithWorkers(36);
        cell.addJobs(2, singleStepJob(1));
        BOOST_TEST(cell.runUntilStarted(2, 6 * cell.service->terms.adviceCallMs(workersPerCall)));
    }
}

BOOST_AUTO_TEST_CASE(slowness_of_the_advice_service_is_remembered)
{
    constexpr int jobs = 10;
    advised_cell cell(3'000, 500, 60);
    cell.service->terms.adviceDecideMs = 2'500;
    cell.service->terms.advicePerWorkerMs = 200;
    cell.beginWithWorkers(36);
    cell.addJobs(jobs, singleStepJob(4));
    BOOST_TEST(cell.runUntilStarted(4 * jobs, jobs * 5'000 + 20'000));
    BOOST_TEST(cell.abandonedCalls <= 3);
}

BOOST_AUTO_TEST_CASE(advice_call_is_awaited_when_its_time_is_raised_while_it_waits)
{
    advised_cell cell(3'000, 100, 0);
    cell.beginWithWorkers(36);
    cell.addJobs(1, singleStepJob(1));
    cell.service->terms.adviceDecideMs = 8'000;
    cell.run(1'000);
    BOOST_REQUIRE(cell.callUnderWay);
    cell.terms.adviceDecideMs = 8'000;
    cell.configure();
    BOOST_TEST(cell.runUntilStarted(1, 8'000));
    BOOST_TEST(cell.calls.size() == 1);
}

BOOST_AUTO_TEST_CASE(advice_calls_follow_settings_that_change)
{
    advised_cell cell(3'000, 500, 20);
    cell.beginWithWorkers(36);
    constexpr int jobs = 20;
    constexpr ms longestCallMs = 2'000 + 160 * workersPerCall;
    for (int i = 0; i < jobs; i++) {
        cell.scheduler.addJob("j" + std::to_string(i), singleStepJob(1));
        cell.terms.adviceDecideMs = i % 3 * 1'000;
        cell.terms.advicePerWorkerMs = i % 5 * 40;
        cell.configure();
        cell.run(300);
        cell.service->terms = cell.terms; // The service reads them later.
    }
    BOOST_TEST(cell.runUntilStarted(jobs, jobs * longestCallMs));
}

BOOST_AUTO_TEST_CASE(advice_is_not_asked_for_steps_of_cancelled_jobs)
{
    advised_cell cell(3'000, 2'000, 0);
    cell.beginWithWorkers(36);
    cell.addJobs(20, singleStepJob(1));
    cell.run(500);
    for (int i = 0; i < 19; i++)
        cell.scheduler.cancel("j" + std::to_string(i));
    // The call under way is for the first job.
    BOOST_TEST(cell.runUntilStarted(1, 2 * 2'000 + 100));
    BOOST_TEST(cell.starts[0].task.job == "j19");
    BOOST_TEST(cell.calls.size() == 2);
}

BOOST_AUTO_TEST_CASE(advice_call_without_an_answer_is_repeated)
{
    advised_cell cell(3'000, 100, 0);
    cell.beginWithWorkers(36);
    cell.addJobs(3, singleStepJob(1));
    cell.service->silent = true;
    cell.run(20'000);
    cell.service->silent = false;
    BOOST_TEST(cell.abandonedCalls >= 2);
    BOOST_TEST(cell.runUntilStarted(3, 3'000));
}

BOOST_AUTO_TEST_CASE(advice_call_that_fails_is_repeated_for_each_step)
{
    advised_cell cell(3'000, 100, 0);
    cell.beginWithWorkers(36);
    cell.addJobs(3, singleStepJob(1));
    for (int i = 0; i < 200; i++) {
        cell.runOnce();
        for (const auto& request : cell.take<advice_action>()) {
            cell.calls.push_back(request);
            cell.scheduler.onAdviceFailed(request, "refused", cell.now);
        }
        cell.report("w0", cell.reports["w0"]);
    }
    std::set<job_id> jobs;
    for (const auto& request : cell.calls)
        jobs.insert(request.step.job);
    BOOST_TEST(jobs.size() == 3);
    BOOST_TEST(cell.calls.size() <= 8); // 4 s, and a call every 500 ms at most.
    BOOST_TEST(cell.runUntilStarted(3, 2'000));
}

BOOST_AUTO_TEST_CASE(first_advice_call_waits_for_one_of_an_earlier_leader_on_the_machine)
{
    advised_cell earlier(3'000, 2'000, 20);
    earlier.beginWithWorkers(36);
    earlier.addJobs(1, singleStepJob(1));
    earlier.run(200);
    BOOST_REQUIRE(earlier.callUnderWay);
    earlier.abandonCalls();
    advised_cell cell(3'000, 2'000, 20);
    cell.now = earlier.now;
    cell.service = earlier.service;
    cell.beginWithWorkers(36);
    cell.addJobs(1, singleStepJob(1));
    BOOST_TEST(cell.runUntilStarted(1, 2 * cell.terms.adviceCallMs(workersPerCall) + 200));
    BOOST_TEST(cell.abandonedCalls == 0);
}

BOOST_AUTO_TEST_CASE(step_that_finds_no_worker_leaves_others_their_turn)
{
    advised_cell cell(3'000, 500, 20);
    cell.beginWithWorkers(60);
    cell.service->permits = [](const worker_id&) { return false; };
    cell.addJobs(2, singleStepJob(1));
    cell.run(8'000);
    cell.scheduler.addJob("late", singleStepJob(1));
    cell.service->permits = [](const worker_id&) { return true; };
    BOOST_TEST(cell.runUntilStarted(3, 5 * cell.terms.adviceCallMs(workersPerCall)));
}

BOOST_AUTO_TEST_CASE(queue_of_higher_priority_is_advised_first)
{
    advised_cell cell(3'000, 1'000, 0);
    auto table = batchQueue();
    table->at("batch") = cell.terms;
    (*table)["urgent"] = cell.terms;
    table->at("urgent").name = "urgent";
    table->at("urgent").priority = 0;
    cell.scheduler.setQueues(table);
    cell.beginWithWorkers(36);
    cell.addJobs(10, singleStepJob(1));
    cell.run(1'500);
    job_record urgent = singleStepJob(1);
    urgent.queue = "urgent";
    cell.scheduler.addJob("u", urgent);
    cell.run(2'000);
    BOOST_REQUIRE(cell.starts.size() == 3);
    BOOST_TEST(cell.starts[2].task.job == "u");
}

BOOST_AUTO_TEST_CASE(answer_about_a_worker_that_starts_again_meanwhile_is_not_used)
{
    advised_cell cell(longValidityMs, 1'000, 0);
    cell.beginWithWorkers(1);
    cell.addJobs(1, singleStepJob(1));
    cell.run(500);
    BOOST_REQUIRE(cell.callUnderWay);
    worker_record restarted = workerRecord("w0");
    restarted.startedUnixMs++;
    cell.addWorker(restarted);
    BOOST_TEST(cell.runUntilStarted(1, 3'000));
    BOOST_TEST(cell.calls.size() == 2);
}

// Regression: a gang was never started, since the tickets of one answer expired before the next answer.
BOOST_AUTO_TEST_CASE(gang_is_started_when_its_tickets_expire_before_the_next_answer)
{
    constexpr int members = 6;
    for (ms validMs : { 300, 3'000 }) {
        advised_cell cell(validMs, 500, 60);
        cell.gangs = true;
        cell.addWorkers("w", 15 * members, 8000);
        cell.service->permits = [](const worker_id& id) { return std::stoi(id.substr(1)) % 15 == 0; };
        cell.scheduler.begin(cell.now, cell.now);
        job_record gang = singleStepJob(members);
        gang.spec.steps[0].gang = true;
        gang.spec.steps[0].maxPerWorker = 1;
        cell.addJobs(1, gang);
        BOOST_TEST(cell.runUntilStarted(members, 3 * cell.terms.adviceCallMs(workersPerGangCall)));
    }
}

BOOST_AUTO_TEST_CASE(steps_wait_for_a_part_of_the_workers_only)
{
    constexpr int jobs = 12;
    advised_cell cell(3'000, 500, 300);
    cell.beginWithWorkers(36);
    cell.addJobs(jobs, singleStepJob(4));
    BOOST_TEST(cell.runUntilStarted(4 * jobs, jobs * cell.terms.adviceCallMs(workersPerCall) / 3));
}

BOOST_AUTO_TEST_CASE(workers_that_may_run_the_step_are_asked_about_first_when_tickets_have_expired)
{
    advised_cell cell(300, 100, 60);
    cell.addWorkers("w", 36, 8000);
    cell.service->permits = [](const worker_id& id) { return id == "w7"; };
    cell.scheduler.begin(cell.now, cell.now);
    job_record job = singleStepJob(1);
    job.spec.steps[0].isService = true;
    cell.addJobs(1, job);
    BOOST_REQUIRE(cell.runUntilStarted(1, 6'000));
    cell.run(1'000);
    cell.calls.clear();
    task_completion end { 1, cell.starts[0].task, cell.starts[0].attempt, completion_kind::failed, "" };
    cell.reports["w7"].running.clear();
    cell.reports["w7"].completions = { end };
    BOOST_TEST(cell.runUntilStarted(2, 1'000));
    BOOST_REQUIRE(cell.calls.size() == 1);
    BOOST_TEST(cell.calls[0].workers[0] == "w7");
}

// Regression: jobs that no worker can take came first in each search for the next step, and the search ended
// before the others.
BOOST_AUTO_TEST_CASE(steps_that_no_worker_can_take_do_not_keep_others_from_their_turn)
{
    constexpr int hopelessJobs = 300;
    for (int workers : { 36, 400, 3'500 }) {
        advised_cell cell(longValidityMs);
        cell.beginWithWorkers(workers);
        for (int i = 0; i < hopelessJobs; i++) {
            job_record job = singleStepJob(1);
            if (i % 2)
                job.spec.steps[0].requiredLabel = "none" + std::to_string(i);
            else
                job.spec.steps[0].cpuMilli = 9'000 + i;
            cell.scheduler.addJob("a" + std::to_string(i), job);
        }
        cell.run(1'000);
        cell.addJobs(2, singleStepJob(1));
        BOOST_TEST(cell.runUntilStarted(2, longestWaitMs), workers << " workers");
    }
}

// The same with steps whose workers have room for one member each.
BOOST_AUTO_TEST_CASE(gangs_that_do_not_fit_do_not_keep_others_from_their_turn)
{
    constexpr int workers = 3'500;
    constexpr int gangs = 24;
    constexpr ms longestSearchMs = 10'000;
    advised_cell cell(longValidityMs);
    cell.gangs = true;
    cell.beginWithWorkers(workers);
    for (int i = 0; i < gangs; i++) {
        job_record gang = singleStepJob(workers + 1);
        gang.spec.steps[0].gang = true;
        gang.spec.steps[0].maxPerWorker = 1;
        cell.scheduler.addJob("a" + std::to_string(i), gang);
    }
    cell.run(1'000);
    cell.addJobs(2, singleStepJob(1));
    BOOST_TEST(cell.runUntilStarted(2, longestSearchMs));
}

// Regression: such a step had its turn again and again, while others waited for theirs.
BOOST_AUTO_TEST_CASE(advice_is_not_asked_for_best_effort_tasks_while_no_processors_are_left)
{
    advised_cell cell(300, 2'300, 0);
    cell.addWorkers("w", 4, 1'000);
    cell.scheduler.begin(cell.now, cell.now);
    cell.addJobs(1, singleStepJob(4));
    BOOST_REQUIRE(cell.runUntilStarted(4, longestWaitMs));
    cell.calls.clear();
    cell.scheduler.addJob("best-effort", bestEffortJob());
    cell.run(10'000);
    BOOST_TEST(cell.calls.empty());
    cell.completeFirst();
    BOOST_TEST(cell.runUntilStarted(5, longestWaitMs));
}

// Regression: a gang that does not fit asked about all workers, again and again.
BOOST_AUTO_TEST_CASE(advice_is_not_asked_for_a_gang_while_its_members_do_not_fit)
{
    advised_cell cell(300, 500, 20);
    cell.gangs = true;
    cell.addWorkers("w", 4, 1'000);
    cell.scheduler.begin(cell.now, cell.now);
    cell.addJobs(1, singleStepJob(1));
    BOOST_REQUIRE(cell.runUntilStarted(1, longestWaitMs));
    cell.calls.clear();
    job_record gang = singleStepJob(4);
    gang.spec.steps[0].gang = true;
    cell.scheduler.addJob("gang", gang);
    cell.run(10'000);
    BOOST_TEST(cell.calls.empty());
    cell.completeFirst();
    BOOST_TEST(cell.runUntilStarted(5, longestWaitMs));
}
