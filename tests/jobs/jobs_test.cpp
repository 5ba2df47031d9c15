// The jobs library: its records, ownership, interference, and randomised worlds.
#define BOOST_TEST_MODULE jobs
#include "jobs/process/interference.h"
#include "tests/jobs/driven.h"
#include "tests/jobs/world.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using camphorwell::testing::batchQueue;
using camphorwell::testing::driven;
using camphorwell::testing::fillerJob;
using camphorwell::testing::oneStep;
using camphorwell::testing::servingJob;
using camphorwell::testing::worker;
using camphorwell::testing::world;
using camphorwell::testing::world_settings;

namespace {

std::vector<std::string> play(uint64_t seed, cell_fault fault = cell_fault::none)
{
    world_settings settings;
    settings.seed = seed;
    settings.guards = seed % 3 != 0;
    settings.fault = fault;
    return world(settings).run();
}

} // namespace

BOOST_AUTO_TEST_CASE(job_records_survive_the_codec)
{
    job_record record = oneStep(3);
    record.spec.repeatCount = 4;
    step_spec step;
    step.dependsOn = { 0 };
    step.gang = step.sameRack = step.isBestEffort = step.isService = step.speculative = step.checkpoints
        = true;
    step.requiredLabel = "a";
    step.preferredRack = "r1";
    step.maxPerWorker = 2;
    step.image = "image";
    step.tailLatencyTargetMs = 18;
    step.maxUnavailable = 1;
    record.spec.steps.push_back(step);
    auto read = decodeJob(encodeJob(record));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == record));
}

BOOST_AUTO_TEST_CASE(foreign_records_are_refused)
{
    std::string good = encodeJob(oneStep(3));
    BOOST_TEST(!decodeJob(""));
    BOOST_TEST(!decodeJob("\xff\xff"));
    BOOST_TEST(!decodeClaim("no claim"));
    std::mt19937 random(7);
    for (int i = 0; i < 20'000; i++) {
        std::string bad = good;
        for (int k = 0; k < 3; k++)
            bad[random() % bad.size()] = static_cast<char>(random());
        bad.resize(random() % (bad.size() + 1));
        decodeJob(bad);
        decodeClaim(bad);
    }
}

BOOST_AUTO_TEST_CASE(faults_of_jobs_name_the_field)
{
    job_spec spec = oneStep(3).spec;
    BOOST_TEST(!validationError(spec));
    spec.steps[0].dependsOn = { 0 };
    BOOST_TEST(validationError(spec).value().starts_with("steps/0/dependsOn"));
    spec.steps.clear();
    BOOST_TEST(validationError(spec).value().starts_with("steps"));
}

BOOST_AUTO_TEST_CASE(no_start_before_its_record_is_durable)
{
    driven d;
    d.scheduler.addJob("j", oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step(false);
    BOOST_TEST(d.take<start_action>().empty());
    d.scheduler.onWritten(d.now);
    d.collect();
    BOOST_TEST(d.take<start_action>().size() == 1);
}

BOOST_AUTO_TEST_CASE(an_end_is_acknowledged_only_when_durable)
{
    driven d;
    d.scheduler.addJob("j", oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    auto starts = d.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    d.scheduler.onStarted(starts[0], order_outcome::done, d.now);
    d.step();
    d.take<poll_action>();
    worker_report report;
    report.completions.push_back({ 1, starts[0].task, 1, completion_kind::done, "" });
    d.now += 500;
    d.report("w", report);
    d.now += 500;
    d.step(false);
    for (const auto& look : d.take<poll_action>())
        BOOST_TEST(look.acknowledged == 0);
    BOOST_TEST((d.scheduler.stateOf("j") == job_state::running));
    d.scheduler.onWritten(d.now);
    BOOST_TEST((d.scheduler.stateOf("j") == job_state::completed));
    d.report("w", report);
    d.now += 500;
    d.step();
    auto looks = d.take<poll_action>();
    BOOST_REQUIRE(!looks.empty());
    BOOST_TEST(looks.back().acknowledged == 1);
}

// A step that was done under an earlier owner was left out of the next record, and ran again after one more
// takeover.
BOOST_AUTO_TEST_CASE(done_steps_survive_two_takeovers)
{
    job_record record = oneStep(1);
    record.spec.steps.push_back(record.spec.steps[0]);
    record.spec.steps[1].dependsOn = { 0 };
    std::map<job_id, std::string> progress;
    for (int takeover = 0; takeover < 3; takeover++) {
        driven d;
        for (const auto& [id, bytes] : progress)
            d.scheduler.restoreProgress(id, bytes);
        d.scheduler.addJob("j", record);
        d.scheduler.setWorker(worker("w"), d.now);
        d.scheduler.begin(d.now, d.now);
        d.step();
        d.report("w", {});
        d.step();
        d.step();
        for (const auto& start : d.take<start_action>()) {
            BOOST_TEST(start.task.step == (takeover == 0 ? 0 : 1));
            if (takeover > 0)
                continue;
            d.scheduler.onStarted(start, order_outcome::done, d.now);
            worker_report report;
            report.completions.push_back({ 1, start.task, 1, completion_kind::done, "" });
            d.report("w", report);
            d.step();
        }
        progress = d.progress;
    }
}

// Each failed look used to count as a longer lease, so that the lease of a dead worker never ran out.
BOOST_AUTO_TEST_CASE(the_lease_of_a_silent_worker_runs_out)
{
    driven d;
    d.scheduler.addJob("j", oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    auto starts = d.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    d.scheduler.onStarted(starts[0], order_outcome::done, d.now);
    d.scheduler.setWorker(worker("v"), d.now);
    bool restarted = false;
    for (int i = 0; i < 400 && !restarted; i++) {
        d.now += 25;
        d.step();
        for (const auto& look : d.take<poll_action>()) {
            if (look.worker == "w")
                d.scheduler.onLookFailed(look, order_outcome::no_answer, d.now);
            else
                d.report("v", {});
        }
        for (const auto& start : d.take<start_action>()) {
            restarted = true;
            BOOST_TEST(start.worker == "v");
            BOOST_TEST(start.attempt == 2);
            BOOST_TEST(d.now >= 1'000 + 5'000);
        }
    }
    BOOST_TEST(restarted);
}

BOOST_AUTO_TEST_CASE(an_unanswered_start_is_stopped_before_the_task_runs_elsewhere)
{
    driven d;
    d.scheduler.addJob("j", oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    auto starts = d.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    d.scheduler.onStarted(starts[0], order_outcome::no_answer, d.now);
    d.collect();
    auto stops = d.take<stop_action>();
    BOOST_REQUIRE(stops.size() == 1);
    d.report("w", {});
    d.step();
    BOOST_TEST(d.take<start_action>().empty());
    d.scheduler.onStopped(stops[0], order_outcome::done, d.now);
    d.now += 10;
    d.report("w", {});
    d.step();
    auto again = d.take<start_action>();
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(again[0].attempt == 2);
}

// A worker that was forgotten and came back was ordered under its first token again: late orders to its
// earlier life were obeyed, and its own refusals were taken for those of another owner (worlds 15460 and
// 18055).
BOOST_AUTO_TEST_CASE(a_worker_that_comes_back_gets_a_higher_token)
{
    driven d;
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    auto first = d.take<poll_action>();
    BOOST_REQUIRE(!first.empty());
    d.report("w", {});
    d.scheduler.removeWorker("w", d.now);
    for (int i = 0; i < 500; i++) {
        d.now += 25;
        d.step();
        for (const auto& look : d.take<poll_action>())
            d.scheduler.onLookFailed(look, order_outcome::no_answer, d.now);
    }
    d.scheduler.setWorker(worker("w"), d.now);
    d.step();
    auto again = d.take<poll_action>();
    BOOST_REQUIRE(!again.empty());
    BOOST_TEST(fencingToken(5, again[0].incarnation) > fencingToken(5, first[0].incarnation));
    BOOST_TEST(fencingToken(6, 0) > fencingToken(5, again[0].incarnation));
}

// A run that no record asks for takes room until it has ended (worlds, seed 63828: a worker without a guard
// was given more than it has after the owner that had cancelled the run's job was replaced).
BOOST_AUTO_TEST_CASE(nothing_is_placed_beside_an_unknown_run)
{
    driven d;
    d.scheduler.addJob("j", oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    worker_report report;
    report.running.push_back({ { "earlier", 0, 0, 0 }, 1, "", 10, 900 });
    for (int i = 0; i < 10; i++) {
        d.report("w", report);
        d.step();
        BOOST_TEST(d.take<start_action>().empty());
    }
    BOOST_TEST(!d.take<stop_action>().empty());
    d.report("w", {});
    d.step();
    BOOST_TEST(d.take<start_action>().size() == 1);
}

// Four failures in one report shunned a worker for 24 s, though its trouble was over after 2 s (scale-2 of
// nubedulce-sched at 14.3 s).
BOOST_AUTO_TEST_CASE(failures_in_one_report_shun_a_worker_once)
{
    driven d;
    constexpr int failing = 8;
    for (int i = 0; i < failing; i++)
        d.scheduler.addJob("j" + std::to_string(i), oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    worker_report report;
    for (const auto& start : d.take<start_action>()) {
        d.scheduler.onStarted(start, order_outcome::done, d.now);
        report.completions.push_back(
            { report.completions.size() + 1, start.task, start.attempt, completion_kind::failed, "" });
    }
    BOOST_REQUIRE(report.completions.size() == failing);
    ms failedAt = d.now;
    d.report("w", report);
    ms tried = 0;
    while (d.now < failedAt + 10'000 && tried == 0) {
        d.step();
        d.report("w", {});
        tried = d.take<start_action>().empty() ? 0 : d.now;
    }
    BOOST_TEST(tried > failedAt + 2'900);
    BOOST_TEST(tried < failedAt + 3'500);
}

// A lasting task that finds no other room goes to a shunned worker: the room counts as room to those who wait
// for it, and three seconds are the most that they may.
BOOST_AUTO_TEST_CASE(a_lasting_task_does_not_wait_for_a_shunned_worker)
{
    driven d;
    for (int i = 0; i < 3; i++)
        d.scheduler.addJob("j" + std::to_string(i), oneStep(1));
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    worker_report report;
    for (const auto& start : d.take<start_action>()) {
        d.scheduler.onStarted(start, order_outcome::done, d.now);
        report.completions.push_back(
            { report.completions.size() + 1, start.task, start.attempt, completion_kind::failed, "" });
    }
    d.report("w", report);
    job_record lasting = servingJob(100);
    lasting.acceptedUnixMs = d.now;
    d.scheduler.addJob("lasting", lasting);
    ms since = d.now;
    ms placed = 0;
    while (d.now < since + 2'900 && placed == 0) {
        d.step();
        d.report("w", {});
        for (const auto& start : d.take<start_action>())
            placed = start.task.job == "lasting" ? d.now : placed;
    }
    BOOST_TEST(placed > since + 900);
    BOOST_TEST(placed < since + 1'500);
}

// Three workers, of which the one that gets the first task does no work.
struct fleet_with_a_still_worker {
    std::map<worker_id, worker_report> reports { { "w1", {} }, { "w2", {} }, { "w3", {} } };
    std::map<std::string, std::pair<worker_id, ms>> startedAt; // By task.
    worker_id still;
    bool left = false; // A task of the still worker was started elsewhere.

    static job_record job()
    {
        job_record out = oneStep(4);
        out.spec.steps[0].estimateMs = 3'000;
        out.spec.steps[0].maxPerWorker = 2;
        return out;
    }
    void begin(driven& d) const
    {
        for (const auto& [id, report] : reports)
            d.scheduler.setWorker(worker(id), d.now);
        d.scheduler.begin(d.now, d.now);
    }
    void turn(driven& d)
    {
        d.step();
        for (const auto& start : d.take<start_action>()) {
            still = still.empty() ? start.worker : still;
            left = left || startedAt.contains(start.task.str());
            BOOST_TEST((!left || start.worker != still));
            startedAt[start.task.str()] = { start.worker, d.now };
            reports[start.worker].running.push_back({ start.task, start.attempt, "", 0, 900 });
            d.scheduler.onStarted(start, order_outcome::done, d.now);
        }
        for (const auto& stop : d.take<stop_action>()) {
            BOOST_TEST(stop.worker == still);
            auto& running = reports[stop.worker].running;
            std::erase_if(running, [&](const auto& each) { return each.task == stop.task; });
            reports[stop.worker].completions.push_back({ reports[stop.worker].completions.size() + 1,
                stop.task, stop.attempt, completion_kind::stopped, "" });
            d.scheduler.onStopped(stop, order_outcome::done, d.now);
        }
        for (auto& [id, report] : reports) {
            for (auto& each : report.running) {
                auto [on, since] = startedAt[each.task.str()];
                each.progressPercent
                    = id == still ? 0 : static_cast<int>(std::min<ms>(99, (d.now - since) / 30));
            }
            d.report(id, report);
        }
    }
};

// A worker that answers and does no work: its tasks go on elsewhere, and nothing new is placed there.
BOOST_AUTO_TEST_CASE(tasks_leave_a_worker_that_stands_still)
{
    driven d;
    fleet_with_a_still_worker fleet;
    d.scheduler.addJob("j", fleet.job());
    fleet.begin(d);
    for (int i = 0; i < 150; i++)
        fleet.turn(d);
    BOOST_TEST(fleet.left);
    BOOST_TEST(fleet.reports[fleet.still].running.empty());
}

// The same for tasks that an earlier owner started: their pace counted as unknown, which kept their progress
// from being measured.
BOOST_AUTO_TEST_CASE(tasks_of_an_earlier_owner_leave_it_too)
{
    driven first;
    fleet_with_a_still_worker fleet;
    first.scheduler.addJob("j", fleet.job());
    fleet.begin(first);
    for (int i = 0; i < 10; i++)
        fleet.turn(first);
    BOOST_REQUIRE(fleet.startedAt.size() == 4);
    driven second;
    second.now = first.now;
    second.scheduler.setClock(second.now, second.now);
    for (const auto& [id, bytes] : first.progress)
        second.scheduler.restoreProgress(id, bytes);
    second.scheduler.addJob("j", fleet.job());
    fleet.begin(second);
    for (int i = 0; i < 150; i++)
        fleet.turn(second);
    BOOST_TEST(fleet.left);
    BOOST_TEST(fleet.reports[fleet.still].running.empty());
}

// A filler that had just come and found every worker strained kept one that had waited long enough from being
// placed in spite of that (trouble-2: at the end of a day a task did not run with most of the room free).
BOOST_AUTO_TEST_CASE(a_filler_that_has_waited_is_not_held_back_by_a_newer_one)
{
    driven d;
    job_record serving = servingJob(100);
    job_record filler = fillerJob();
    d.scheduler.addJob("serving", serving);
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    auto starts = d.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    d.scheduler.onStarted(starts[0], order_outcome::done, d.now);
    worker_report report;
    report.running.push_back({ starts[0].task, 1, "", 100, 95 });
    auto turn = [&] {
        d.step();
        d.report("w", report);
    };
    for (int i = 0; i < 30; i++)
        turn();
    filler.acceptedUnixMs = d.now + 10;
    d.scheduler.addJob("older", filler);
    ms older = d.now;
    while (d.now < older + 1'000)
        turn();
    filler.acceptedUnixMs = older; // Its objective is over first, so it comes first in the order.
    d.scheduler.addJob("newer", filler);
    ms placed = 0;
    while (d.now < older + 3'500 && placed == 0) {
        turn();
        for (const auto& start : d.take<start_action>()) {
            if (start.task.job == "older")
                placed = d.now;
        }
    }
    BOOST_TEST(placed > older + 1'000);
    BOOST_TEST(placed < older + 2'200);
}

// A filler that an earlier owner had paused stood still for ever, and so did one whose serving neighbours had
// gone (trouble-1 seed 273839101475).
BOOST_AUTO_TEST_CASE(a_paused_filler_is_let_go_by_the_next_owner)
{
    job_record filler = fillerJob();
    driven first;
    first.scheduler.addJob("j", filler);
    first.scheduler.setWorker(worker("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.step();
    first.report("w", {});
    first.step();
    auto starts = first.take<start_action>();
    BOOST_REQUIRE(starts.size() == 1);
    driven second;
    for (const auto& [id, bytes] : first.progress)
        second.scheduler.restoreProgress(id, bytes);
    second.scheduler.addJob("j", filler);
    second.scheduler.setWorker(worker("w"), second.now);
    second.scheduler.begin(second.now, second.now);
    second.step();
    worker_report report;
    report.running.push_back({ starts[0].task, 1, "", 10, 0 });
    second.report("w", report);
    second.step();
    auto paces = second.take<pace_action>();
    BOOST_REQUIRE(paces.size() == 1);
    BOOST_TEST(paces[0].pacePercent == 100);
}

BOOST_AUTO_TEST_CASE(a_paused_filler_is_let_go_when_no_serving_task_is_left)
{
    driven d;
    job_record serving = servingJob(100);
    job_record filler = fillerJob();
    d.scheduler.addJob("serving", serving);
    d.scheduler.addJob("filler", filler);
    d.scheduler.setWorker(worker("w"), d.now);
    d.scheduler.begin(d.now, d.now);
    d.step();
    d.report("w", {});
    d.step();
    auto starts = d.take<start_action>();
    BOOST_REQUIRE(starts.size() == 2);
    worker_report report;
    for (const auto& each : starts) {
        d.scheduler.onStarted(each, order_outcome::done, d.now);
        bool serves = each.task.job == "serving"; // At work, that is at 100.
        report.running.push_back({ each.task, 1, "", serves ? 100 : 50, serves ? 400 : 900 });
    }
    int pace = 100;
    auto turns = [&](int count) {
        for (int i = 0; i < count; i++) {
            d.step();
            d.report("w", report);
            for (const auto& each : d.take<pace_action>())
                pace = each.pacePercent;
        }
    };
    turns(70);
    BOOST_TEST(pace == 0);
    d.scheduler.cancel("serving");
    worker_report after;
    for (const auto& each : report.running) {
        if (each.task.job == "filler")
            after.running.push_back(each);
        else
            after.completions.push_back({ 1, each.task, 1, completion_kind::stopped, "" });
    }
    report = after;
    turns(70);
    BOOST_TEST(pace == 100);
}

BOOST_AUTO_TEST_CASE(one_instance_at_a_time_owns_a_cell)
{
    election_settings settings;
    settings.claimDelayMs = 50;
    leader_election first(settings, { "a", 1, "10.0.0.1:1", 0, false });
    leader_election second(settings, { "b", 1, "10.0.0.2:1", 0, false });
    first.onClaimRead(std::nullopt, 0, 0);
    second.onClaimRead(std::nullopt, 0, 0);
    BOOST_TEST((first.next(10) == leader_election::step::none));
    BOOST_TEST((first.next(60) == leader_election::step::claim));
    BOOST_TEST((second.next(60) == leader_election::step::claim));
    first.onAppended(leader_election::step::claim, 0, 60, false);
    second.onConflict();
    BOOST_TEST(first.isLeader());
    BOOST_TEST(!second.isLeader());
    BOOST_TEST(second.mustRead());
    BOOST_TEST((second.next(5000) == leader_election::step::none));
    second.onClaimRead(claim_record { "a", 1, "10.0.0.1:1", 0, false }, 1, 100);
    BOOST_TEST((second.next(1000) == leader_election::step::none));
    // A claim without a proof yet is given the time to take the cell over (a grown site changed owners
    // without end), a proven one the silence of three proofs.
    BOOST_TEST((second.next(2000) == leader_election::step::none));
    BOOST_TEST((second.next(100 + settings.takeoverTimeoutMs + 50) == leader_election::step::claim));
    second.onAppendFailed(false, 1000);
    second.onClaimRead(claim_record { "a", 1, "10.0.0.1:1", 1, false }, 2, 100);
    BOOST_TEST((second.next(1000) == leader_election::step::none));
    BOOST_TEST((second.next(2000) == leader_election::step::claim));
    second.onAppended(leader_election::step::claim, 2, 2000, false);
    BOOST_TEST(second.token() > first.token());
    BOOST_TEST(!first.mayGrant(60 + settings.grantWindowMs + 1));
    first.onClaimRead(claim_record { "b", 1, "10.0.0.2:1", 0, false }, 3, 2100);
    BOOST_TEST(!first.isLeader());
}

// A refused proof was sent again at every turn (incident inc-c66e).
BOOST_AUTO_TEST_CASE(a_refused_proof_is_sent_again_after_a_pause)
{
    election_settings settings;
    leader_election owner(settings, { "a", 1, "10.0.0.1:1", 0, false });
    owner.onClaimRead(std::nullopt, 0, 0);
    BOOST_REQUIRE((owner.next(500) == leader_election::step::claim));
    owner.onAppended(leader_election::step::claim, 0, 500, false);
    int proofs = 0;
    for (ms now = 1'100; now < 6'100; now += 25) {
        if (owner.next(now) == leader_election::step::renew) {
            proofs++;
            owner.onAppendFailed(false, now);
        }
    }
    BOOST_TEST(proofs == 5'000 / settings.appendRetryMs);
    BOOST_TEST(owner.isLeader());
}

// A proof that was under way when the instance was told to stop counted as its release, of which the others
// never heard: they waited 1.8 s for the next proof (trouble-2 seed 13 at 7.0 s).
BOOST_AUTO_TEST_CASE(a_release_is_told_after_a_proof_that_was_under_way)
{
    election_settings settings;
    leader_election owner(settings, { "a", 1, "10.0.0.1:1", 0, false });
    owner.onClaimRead(std::nullopt, 0, 0);
    BOOST_REQUIRE((owner.next(500) == leader_election::step::claim));
    owner.onAppended(leader_election::step::claim, 0, 500, false);
    BOOST_REQUIRE((owner.next(500 + settings.renewEveryMs) == leader_election::step::renew));
    owner.release();
    owner.onAppended(leader_election::step::renew, 1, 1'100, false);
    BOOST_TEST(owner.isLeader());
    BOOST_REQUIRE((owner.next(1'110) == leader_election::step::renew));
    BOOST_TEST(owner.record(leader_election::step::renew, owner.isReleasing()).released);
    owner.onAppended(leader_election::step::renew, 2, 1'110, true);
    BOOST_TEST(!owner.isLeader());
    BOOST_TEST((owner.next(10'000) == leader_election::step::none));
}

// An instance of 0.069 cores claimed a cell of 350 workers while the strong ones had no store, and kept it: a
// job's first start took 23 s, and lasting tasks were away for 12 s (pbfo-sched-grown, incident inc-f7d7).
BOOST_AUTO_TEST_CASE(a_weak_owner_is_replaced_by_a_strong_instance)
{
    election_settings settings;
    auto claimBy = [](const char* name, double processors, uint64_t token) {
        return claim_record { name, 1, "10.0.0.1:1", token, false, processors };
    };
    // The owner proves its claim every 600 ms all the while.
    auto claimsAfter = [&](double own, double owner) {
        leader_election standby(settings, claimBy("strong", own, 0));
        uint64_t end = 1;
        for (ms now = 0; now < 10'000; now += 25) {
            if (now % settings.renewEveryMs == 0)
                standby.onClaimRead(claimBy("owner", owner, 1), end++, now);
            if (standby.next(now) == leader_election::step::claim)
                return now;
        }
        return ms { -1 };
    };
    BOOST_TEST(claimsAfter(0.5, 0.069) >= settings.weakLeaderTermMs);
    BOOST_TEST(claimsAfter(0.5, 0.069) <= settings.weakLeaderTermMs + 100);
    BOOST_TEST(claimsAfter(0.5, 0.5) == -1);
    BOOST_TEST(claimsAfter(0.5, 0.3) == -1); // No change of owner for a small gain.
    BOOST_TEST(claimsAfter(0.069, 0.5) == -1);
    BOOST_TEST(claimsAfter(0.5, 0) == -1); // Of an earlier version, which does not tell.
    auto read = decodeClaim(encodeClaim(claimBy("a", 0.5, 7)));
    BOOST_REQUIRE(read);
    BOOST_TEST((*read == claimBy("a", 0.5, 7)));
}

BOOST_AUTO_TEST_CASE(silence_counts_only_while_reads_work)
{
    election_settings settings;
    leader_election standby(settings, { "b", 1, "10.0.0.2:1", 0, false });
    standby.onClaimRead(claim_record { "a", 1, "10.0.0.1:1", 1, false }, 1, 0);
    standby.onReadFailed();
    BOOST_TEST((standby.next(10'000) == leader_election::step::none));
    standby.onReadOk(10'000);
    BOOST_TEST((standby.next(10'100) == leader_election::step::none));
    BOOST_TEST((standby.next(10'000 + settings.leaderTimeoutMs) == leader_election::step::claim));
}

BOOST_AUTO_TEST_CASE(interference_finds_the_pairs_that_disturb)
{
    std::mt19937 random(3);
    std::uniform_real_distribution<> uniform(0, 1);
    interference_model learnt;
    const image_id serving = learnt.internImage("s");
    std::vector<image_id> fillers;
    for (const char* name : { "f0", "f1", "f2", "f3", "f4", "f5" })
        fillers.push_back(learnt.internImage(name));
    std::vector<interference_model::image_share> before;
    double strainBefore = 0;
    for (int i = 0; i < 1500; i++) {
        std::vector<interference_model::image_share> beside;
        double strain = 0.42 + 0.2 * std::sin(i / 7.0);
        for (size_t f = 0; f < fillers.size(); f++) {
            if (uniform(random) > 0.25)
                continue;
            double share = (1 + 3 * uniform(random)) / 32;
            beside.push_back({ fillers[f], share });
            strain += f == 2 ? 0.06 * 32 * share : 0;
        }
        learnt.observeTailRatio(serving, 0.22 / (1 - std::min(strain, 0.99)));
        double seen = learnt.utilisation(serving, 0.22 / (1 - std::min(strain, 0.99)));
        auto rises = beside;
        for (const auto& each : before)
            rises.push_back({ each.image, -each.share });
        if (i > 0)
            learnt.observeRise(serving, seen - strainBefore, rises, 0.12);
        strainBefore = seen;
        before = std::move(beside);
        if (i % 50 == 0)
            learnt.refit();
    }
    learnt.refit();
    for (const auto& each : fillers) {
        if (each == fillers[2])
            BOOST_TEST(learnt.coefficient(each, serving) > 0.035 * 32);
        else
            BOOST_TEST(learnt.coefficient(each, serving) < 0.02 * 32);
    }
}

// Two kinds of fillers, and serving images that mind one kind each. A third of the pairs is never seen.
struct two_kinds {
    static constexpr size_t count = 9; // Images of each side.
    interference_model learnt;
    std::vector<image_id> serving;
    std::vector<image_id> fillers;

    two_kinds()
    {
        for (size_t i = 0; i < count; i++) {
            serving.push_back(learnt.internImage("s" + std::to_string(i)));
            fillers.push_back(learnt.internImage("f" + std::to_string(i)));
        }
    }
    static bool hidden(size_t s, size_t f) { return (s + f) % 3 == 0; }
    static double truth(size_t s, size_t f) { return s % 2 == f % 2 ? 1.6 : 0.15; }

    void learn()
    {
        std::mt19937 random(4);
        std::uniform_real_distribution<> share(-0.12, 0.12);
        std::normal_distribution<> rough(0, 0.08);
        for (int i = 0; i < 60; i++) {
            for (size_t s = 0; s < count; s++) {
                for (size_t f = 0; f < count; f++) {
                    double change = share(random);
                    if (!hidden(s, f))
                        learnt.observeRise(serving[s], truth(s, f) * change + rough(random),
                            { { fillers[f], change } }, 0.08);
                }
            }
            learnt.refit();
        }
    }
};

BOOST_AUTO_TEST_CASE(a_pair_is_expected_to_be_like_those_of_its_images)
{
    two_kinds images;
    images.learn();
    for (size_t s = 0; s < images.count; s++) {
        for (size_t f = 0; f < images.count; f++) {
            double taken = images.learnt.coefficient(images.fillers[f], images.serving[s]);
            BOOST_TEST(std::abs(taken - images.truth(s, f)) < 0.4);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_next_owner_knows_the_pairs)
{
    two_kinds images;
    images.learn();
    interference_model next;
    next.restore(images.learnt.encode());
    for (size_t s = 0; s < images.count; s++) {
        for (size_t f = 0; f < images.count; f++) {
            image_id serving = next.internImage("s" + std::to_string(s));
            image_id filler = next.internImage("f" + std::to_string(f));
            BOOST_TEST(std::abs(next.coefficient(filler, serving) - images.truth(s, f)) < 0.4);
        }
    }
    interference_model other;
    other.restore("not what was encoded");
    BOOST_TEST(other.coefficient(other.internImage("f"), other.internImage("s")) == 0.5);
}

BOOST_AUTO_TEST_CASE(worlds_keep_every_promise)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        auto broken = play(seed);
        for (const auto& each : broken)
            BOOST_ERROR("seed " << seed << ": " << each);
    }
}

// A check that cannot fail shows nothing: each deliberate fault must be caught by some world.
BOOST_AUTO_TEST_CASE(deliberate_faults_are_caught)
{
    for (auto fault : { cell_fault::acknowledge_early, cell_fault::start_unrecorded,
             cell_fault::trust_silence, cell_fault::forget_restored, cell_fault::restart_unanswered,
             cell_fault::ignore_order, cell_fault::ignore_attempts, cell_fault::early_occurrences,
             cell_fault::book_nothing, cell_fault::deaf_to_cancels }) {
        bool caught = false;
        for (uint64_t seed = 1; seed <= 60 && !caught; seed++)
            caught = !play(seed, fault).empty();
        BOOST_TEST(caught, "fault " << static_cast<int>(fault) << " is not caught");
    }
}
