// Leases while the store is away, and how long the next leader waits for them.
#define BOOST_TEST_MODULE lease
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using camphorwell::testing::cell_driver;
using camphorwell::testing::singleStepJob;
using camphorwell::testing::workerRecord;

namespace {

constexpr int workers = 10;
const lease_terms terms;

std::string workerName(int number) { return "w" + std::to_string(number); }

// A leader of ten workers whose last renewal was sent at the beginning.
struct outage : cell_driver {
    ms renewedAt = now;
    std::map<worker_id, ms> leaseEnds; // Of the clocks of the workers, which are those of the test.

    outage()
    {
        for (int i = 0; i < workers; i++)
            scheduler.setWorker(workerRecord(workerName(i)), now);
        scheduler.begin(now, now);
    }
    // The first `answering` workers answer their polls.
    void run(ms length, int answering)
    {
        for (ms end = now + length; now < end;) {
            now += 20;
            scheduler.setRenewedAt(renewedAt);
            scheduler.tick(now, now);
            collectActions();
            for (const poll_action& poll : take<poll_action>())
                answer(poll, answering);
        }
    }
    void answer(const poll_action& poll, int answering)
    {
        if (poll.leaseUntilWorkerMs)
            leaseEnds[poll.worker] = *poll.leaseUntilWorkerMs;
        if (std::stoi(poll.worker.substr(1)) < answering)
            report(poll.worker, {});
        else
            scheduler.onPollFailed(poll, order_outcome::no_answer, now);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(leases_last_through_an_outage_of_the_store_while_most_workers_answer)
{
    outage leader;
    leader.run(12'000, 7);
    for (int i = 0; i < 7; i++) {
        BOOST_TEST(leader.leaseEnds[workerName(i)] > leader.now + 1'000);
        BOOST_TEST(leader.leaseEnds[workerName(i)] <= leader.now + terms.quorumMs);
    }
    leader.run(5'000, 7);
    BOOST_TEST(leader.leaseEnds["w0"] <= leader.renewedAt + terms.longestMs);
}

BOOST_AUTO_TEST_CASE(leases_end_with_the_renewal_when_many_workers_are_out_of_reach)
{
    outage leader;
    leader.run(1'000, workers);
    leader.run(12'000, 6);
    for (int i = 0; i < workers; i++)
        BOOST_TEST(leader.leaseEnds[workerName(i)] <= leader.renewedAt + terms.renewalMs);
}

// A worker that has started again may have forgotten the token of another leader.
BOOST_AUTO_TEST_CASE(restarted_workers_do_not_extend_leases_without_a_renewal)
{
    outage leader;
    leader.run(3'000, workers);
    for (int i = 0; i < 4; i++) {
        worker_report restarted;
        restarted.startedUnixMs = 9;
        leader.report(workerName(i), restarted);
    }
    leader.run(9'000, workers);
    BOOST_TEST(leader.leaseEnds["w9"] <= leader.renewedAt + terms.renewalMs);
}

// The attempt of an earlier leader on a silent worker, as the next leader counts it.
BOOST_AUTO_TEST_CASE(next_leader_waits_for_leases_that_a_quorum_may_have_extended)
{
    cell_driver first;
    first.scheduler.addJob("j", singleStepJob(1));
    first.scheduler.setWorker(workerRecord("silent"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("silent", {});
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1);
    first.report("silent", testing::reportOfRunning({ "j", 0, 0, 0 }));
    first.runOnce();
    struct expectation {
        int answering = 0;
        earlier_leases leases;
        ms startsAfterMs = 0;
    };
    // The leader begins at 1,000 and hears of its workers in the first iteration.
    for (const auto& [answering, leases, startsAfterMs] : {
             expectation { 2, { 3'000, 1'500, 20'000 }, 2'000 },
             expectation { 2, { 1'500, 4'000, 20'000 }, 4'000 },
             expectation { 2, { 1'500, 4'000, 3'000 }, 2'000 },
             expectation { 1, { 3'000, 1'500, 9'000 }, 8'000 },
         }) {
        cell_driver next;
        for (const auto& [key, bytes] : first.progress)
            next.scheduler.restoreProgress(key, bytes);
        next.scheduler.addJob("j", singleStepJob(1));
        for (const char* id : { "silent", "w1", "w2" })
            next.scheduler.setWorker(workerRecord(id), next.now);
        next.scheduler.setEarlierLeases(leases);
        next.scheduler.begin(next.now, next.now);
        std::vector<start_action> starts;
        ms beganAt = next.now;
        while (starts.empty() && next.now < beganAt + 12'000) {
            next.runOnce();
            for (const poll_action& poll : next.take<poll_action>()) {
                if (poll.worker != "silent" && std::stoi(poll.worker.substr(1)) <= answering)
                    next.report(poll.worker, {});
                else
                    next.scheduler.onPollFailed(poll, order_outcome::no_answer, next.now);
            }
            starts = next.take<start_action>();
        }
        BOOST_REQUIRE(starts.size() == 1);
        BOOST_TEST(next.now >= beganAt + startsAfterMs);
        BOOST_TEST(next.now <= beganAt + startsAfterMs + 200);
    }
}

// Entries of workers that are cut off from the store lapse, while an earlier leader on their side goes on.
BOOST_AUTO_TEST_CASE(workers_that_leave_the_list_do_not_make_the_rest_a_majority)
{
    cell_driver first;
    first.scheduler.addJob("j", singleStepJob(1));
    first.scheduler.setWorker(workerRecord("w9"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("w9", {});
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1);
    cell_driver leader;
    leader.scheduler.restoreProgress("j", first.progress.at("j"));
    leader.scheduler.addJob("j", singleStepJob(1));
    for (int i = 0; i < workers; i++)
        leader.scheduler.setWorker(workerRecord(workerName(i)), leader.now);
    earlier_leases leases { leader.now + 1'000, 1'000, leader.now + 12'000 };
    leader.scheduler.setEarlierLeases(leases);
    leader.scheduler.begin(leader.now, leader.now);
    ms beganAt = leader.now;
    std::vector<start_action> starts;
    while (starts.empty() && leader.now < beganAt + 15'000) {
        if (leader.now - beganAt == 3'000) {
            for (int i = 3; i < workers; i++)
                leader.scheduler.removeWorker(workerName(i), leader.now);
        }
        leader.runOnce();
        for (const poll_action& poll : leader.take<poll_action>()) {
            if (std::stoi(poll.worker.substr(1)) < 3)
                leader.report(poll.worker, {});
            else
                leader.scheduler.onPollFailed(poll, order_outcome::no_answer, leader.now);
        }
        starts = leader.take<start_action>();
    }
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(leader.now > leases.longestEndAt);
}

BOOST_AUTO_TEST_CASE(start_on_a_worker_that_has_fallen_silent_does_not_extend_its_lease)
{
    cell_driver leader;
    leader.scheduler.setWorker(workerRecord("w0"), leader.now);
    leader.scheduler.setEarlierLeases({});
    leader.scheduler.begin(leader.now, leader.now);
    leader.runOnce();
    leader.report("w0", {});
    leader.runOnce();
    ms granted = 0;
    for (const poll_action& poll : leader.take<poll_action>())
        granted = std::max(granted, poll.leaseUntilWorkerMs.value_or(0));
    BOOST_REQUIRE(granted > 0);
    for (ms end = leader.now + 1'500; leader.now < end;)
        leader.runOnce();
    leader.scheduler.addJob("j", singleStepJob(1));
    leader.runOnce();
    auto starts = leader.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].leaseUntilWorkerMs <= granted);
}

namespace {

// A service task that runs on `lost`. The other workers answer their polls at the end of the requested wait.
struct lost_service : cell_driver {
    std::map<worker_id, ms> reportedAt;
    std::map<worker_id, ms> silentFrom; // Workers that do not answer after that time.
    std::vector<start_action> starts;

    lost_service()
    {
        scheduler.setEarlierLeases({});
        scheduler.begin(now, now);
        addWorker("lost");
        job_record job = singleStepJob(1);
        job.spec.steps[0].isService = true;
        scheduler.addJob("service", job);
        run(200);
        BOOST_REQUIRE(starts.size() == 1);
        scheduler.onStarted(starts[0], order_outcome::done, now);
        m_running.push_back({ starts[0].task, starts[0].attempt, "", 0, 0 });
        starts.clear();
    }
    void addWorker(const worker_id& id)
    {
        scheduler.setWorker(workerRecord(id), now);
        run(100);
    }
    void run(ms length)
    {
        for (ms end = now + length; now < end && starts.empty();) {
            runOnce();
            for (const poll_action& poll : take<poll_action>())
                m_polls.push_back({ poll, now + poll.waitMs });
            std::erase_if(m_polls, [this](const sent_poll& sent) { return answer(sent); });
            for (const start_action& start : take<start_action>())
                starts.push_back(start);
        }
    }

private:
    struct sent_poll {
        poll_action poll;
        ms dueAt = 0;
    };
    static constexpr ms pollTimeoutMs = 900; // After the requested wait.

    bool answer(const sent_poll& sent)
    {
        const worker_id& id = sent.poll.worker;
        bool silent = silentFrom.contains(id) && sent.dueAt >= silentFrom.at(id);
        if (now < sent.dueAt + (silent ? pollTimeoutMs : 0))
            return false;
        if (silent) {
            scheduler.onPollFailed(sent.poll, order_outcome::no_answer, now);
        } else {
            worker_report answered;
            if (id == "lost")
                answered.running = m_running;
            report(id, answered);
            reportedAt[id] = now;
        }
        return true;
    }
    std::vector<running_task> m_running; // On `lost`.
    std::vector<sent_poll> m_polls;
};

} // namespace

// Regression (soak, shape aniversa, seed 9).
BOOST_AUTO_TEST_CASE(lost_service_task_is_not_placed_on_a_worker_whose_poll_is_overdue)
{
    constexpr ms longestSilenceMs = cell_settings().pollWaitMs + 500;
    int silentWhenPlaced = 0;
    for (int i = 0; i < 100; i++) {
        // The moment of the loss within the poll of the silent worker, and that at which it falls silent.
        ms phase = i % 20 * 50;
        ms silentAfter = 3'500 + i / 20 * 500;
        lost_service leader;
        leader.run(phase);
        leader.addWorker("silent");
        leader.addWorker("sound");
        leader.silentFrom["lost"] = leader.now;
        leader.silentFrom["silent"] = leader.now + silentAfter;
        leader.run(9'000);
        BOOST_REQUIRE(leader.starts.size() == 1);
        ms silence = leader.now - leader.reportedAt.at(leader.starts[0].worker);
        BOOST_TEST(
            silence <= longestSilenceMs, phase << ", " << silentAfter << ": silent for " << silence << " ms");
        silentWhenPlaced += leader.now - leader.reportedAt.at("silent") > longestSilenceMs;
    }
    BOOST_TEST(silentWhenPlaced > 0);
}

BOOST_AUTO_TEST_CASE(service_task_is_placed_once_an_overdue_poll_is_answered)
{
    cell_driver leader;
    leader.scheduler.setWorker(workerRecord("w0"), leader.now);
    leader.scheduler.setEarlierLeases({});
    leader.scheduler.begin(leader.now, leader.now);
    leader.runOnce();
    leader.report("w0", {});
    for (ms end = leader.now + cell_settings().pollWaitMs + 500; leader.now < end;)
        leader.runOnce();
    job_record job = singleStepJob(1);
    job.spec.steps[0].isService = true;
    leader.scheduler.addJob("service", job);
    leader.runOnce();
    BOOST_TEST(leader.take<start_action>().empty());
    leader.report("w0", {});
    leader.runOnce();
    BOOST_TEST(leader.take<start_action>().size() == 1);
}
