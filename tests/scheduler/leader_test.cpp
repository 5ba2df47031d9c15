// What the leader of a cell does when the store, the workers or its own process misbehave.
#define BOOST_TEST_MODULE leader
#include "scheduler/scheduler.h"
#include "tests/jobs/cell_driver.h"
#include "tests/scheduler/log_store.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <unistd.h>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

// Three ports, different in processes that run at once, below those of deployments and other tests.
const auto storePort = static_cast<uint16_t>(11'000 + getpid() % 2'500 * 3);
const auto workerPort = static_cast<uint16_t>(storePort + 1);
const auto otherWorkerPort = static_cast<uint16_t>(storePort + 2);
constexpr int64_t workerStartMs = 10;
const std::string jobsTopic = platform::keyedTopic("jobs-0");
const std::string progressTopic = platform::keyedTopic("progress-0");
const std::string claimsTopic = platform::keyedTopic("claims");

std::string jobId(int number)
{
    std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

scheduler_settings leaderSettings()
{
    scheduler_settings out;
    out.instance = "north-1";
    out.address = "127.0.0.1";
    out.store.address = "127.0.0.1:" + std::to_string(storePort);
    out.incarnation = 1;
    return out;
}

// An instance that takes part in the election of its only cell's leader.
struct instance {
    event_loop& loop;
    scheduler_settings settings;
    platform::store store { loop, settings.store };
    event_log log { 1000 };
    counters counts;
    scheduler_context context { loop, settings, store, log, counts };
    cell_host host { context, 0 };

    explicit instance(event_loop& eventLoop, scheduler_settings given = leaderSettings())
        : loop(eventLoop)
        , settings(std::move(given))
    {
        host.setQueues(batchQueue());
    }
    void runFor(ms length)
    {
        loop.after(length, [this] { loop.stop(); });
        loop.run();
    }
    // Runs until the condition holds, or until the time is over.
    void runUntil(ms atMost, const std::function<bool()>& condition)
    {
        for (ms end = bootNow() + atMost; bootNow() < end && !condition();)
            runFor(20);
    }
};

// A store, a worker and an instance on one loop.
struct fixture {
    event_loop loop;
    log_store log { loop, storePort };
    loopback_worker worker { loop, workerPort, workerStartMs };
    instance leader;

    explicit fixture(const scheduler_settings& settings = leaderSettings())
        : leader(loop, settings)
    {
        BOOST_REQUIRE(log.listening);
        BOOST_REQUIRE(worker.listening);
    }
    void putJob(int number) { log.put(jobsTopic, jobId(number), encodeJob(singleStepJob(1))); }
    void lead()
    {
        leader.host.start();
        leader.runUntil(5'000, [this] { return leader.host.active(); });
        BOOST_REQUIRE(leader.host.active());
    }
};

bool isRequest(const http_request& request, const std::string& path, const std::string& topic)
{
    return request.path == path && queryOf(request)["Topic"] == topic;
}

// Size of the largest record in the body of an append.
size_t largestRecord(const std::string& body)
{
    size_t out = 0;
    for (size_t position = 0; position + 4 <= body.size();) {
        size_t length
            = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data() + position));
        out = std::max(out, length);
        position += 4 + length;
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(job_whose_record_is_not_read_yet_is_not_reported_as_unknown)
{
    fixture f;
    f.lead();
    constexpr ms readMs = 400;
    // Each read returns one of the records only.
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (!isRequest(request, "/log-read", jobsTopic))
            return false;
        size_t from = std::stoul(queryOf(request)["From"]);
        const auto& records = f.log.topics[jobsTopic];
        std::vector<std::string> page;
        if (from < records.size())
            page.push_back(records[from]);
        f.loop.after(
            readMs, [reply, page, end = records.size()] { reply->send(200, {}, readBody(end, page)); });
        return true;
    };
    constexpr int jobs = 20;
    for (int i = 0; i < jobs; i++)
        f.putJob(i);
    f.leader.runFor(3'500);
    BOOST_TEST(f.leader.host.stateOf(jobId(0)).value().found);
    BOOST_TEST(!f.leader.host.stateOf(jobId(jobs - 1)).has_value());
}

BOOST_AUTO_TEST_CASE(records_appended_during_recovery_do_not_count_as_read)
{
    fixture f;
    constexpr ms recoveryReadMs = 1'500;
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (isRequest(request, "/log-newest", jobsTopic)) {
            // The store's answer is of the time of the request.
            std::string body = log_store::newestBody(f.log.topics[jobsTopic]);
            f.putJob(1);
            f.loop.after(recoveryReadMs, [reply, body] { reply->send(200, {}, body); });
            return true;
        }
        if (isRequest(request, "/log-read", jobsTopic)) {
            reply->send(503, {}, "");
            return true;
        }
        return false;
    };
    f.lead();
    f.leader.runFor(1'800);
    BOOST_TEST(!f.leader.host.stateOf(jobId(1)).has_value());
}

BOOST_AUTO_TEST_CASE(read_position_advances_while_reads_expire)
{
    fixture f;
    f.lead();
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (!isRequest(request, "/log-read", jobsTopic))
            return false;
        f.loop.after(50, [reply] { reply->send(410, {}, R"({"First":0})"); });
        return true;
    };
    f.leader.runFor(3'500);
    auto unknown = f.leader.host.stateOf(jobId(1));
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST(!unknown->found);
}

BOOST_AUTO_TEST_CASE(leader_whose_appends_are_out_of_order_gives_up_and_leads_again)
{
    fixture f;
    std::set<std::string> epochs;
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (!isRequest(request, "/log-append", progressTopic) || request.body.empty())
            return false;
        epochs.insert(queryOf(request)["epoch"]);
        if (epochs.size() > 1)
            return false;
        reply->send(409, {}, R"({"Reason":"seq","Expected":9})");
        return true;
    };
    f.log.putWorker("w", workerPort, workerStartMs);
    f.putJob(1);
    f.lead();
    f.leader.runUntil(5'000, [&] { return f.worker.starts > 0; });
    BOOST_TEST(f.worker.starts == 1);
    BOOST_TEST(epochs.size() == 2);
}

BOOST_AUTO_TEST_CASE(progress_that_exceeds_one_append_is_written_in_several)
{
    scheduler_settings settings = leaderSettings();
    settings.store.maxAppendBytes = 600;
    fixture f(settings);
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (!isRequest(request, "/log-append", progressTopic) || request.body.size() <= 600)
            return false;
        reply->send(400, {}, "");
        return true;
    };
    constexpr int jobs = 60;
    f.log.putWorker("w", workerPort, workerStartMs, jobs);
    for (int i = 0; i < jobs; i++)
        f.putJob(i);
    f.lead();
    f.leader.runUntil(5'000, [&] { return f.worker.starts >= jobs; });
    BOOST_TEST(f.worker.starts == jobs);
}

// The tasks of one job have no room in a record. The jobs before and after it run, and so does a later one.
BOOST_AUTO_TEST_CASE(record_over_the_limit_of_the_store_holds_up_no_other)
{
    constexpr size_t maxRecordBytes = 1'000;
    constexpr int largeJob = 5;
    constexpr int tasksOfLargeJob = 140;
    constexpr int jobs = 11;
    scheduler_settings settings = leaderSettings();
    settings.cell.maxRecordBytes = maxRecordBytes;
    fixture f(settings);
    int rejected = 0;
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (!isRequest(request, "/log-append", progressTopic)
            || largestRecord(request.body) <= maxRecordBytes)
            return false;
        rejected++;
        reply->send(400, {}, "");
        return true;
    };
    f.log.putWorker("w", workerPort, workerStartMs, 2 * tasksOfLargeJob);
    for (int i = 0; i < jobs; i++)
        f.log.put(jobsTopic, jobId(i), encodeJob(singleStepJob(i == largeJob ? tasksOfLargeJob : 1)));
    f.lead();
    f.leader.runUntil(5'000, [&] { return f.worker.starts >= jobs - 1; });
    BOOST_TEST(f.worker.starts == jobs - 1);
    f.leader.runUntil(3'000, [&] {
        auto large = f.leader.host.stateOf(jobId(largeJob));
        return large && large->state == job_state::failed;
    });
    auto large = f.leader.host.stateOf(jobId(largeJob));
    BOOST_REQUIRE(large.has_value());
    BOOST_TEST(toString(large->state) == toString(job_state::failed));
    int rejectedBefore = rejected;
    f.putJob(jobs);
    f.leader.runUntil(5'000, [&] { return f.worker.starts >= jobs; });
    BOOST_TEST(f.worker.starts == jobs);
    BOOST_TEST(rejected == rejectedBefore);
    for (const auto& running : f.worker.running)
        BOOST_TEST(!running[0].get<std::string>().starts_with(jobId(largeJob)));
}

// The leader is paused while an append is in flight, for longer than its leadership lasts.
BOOST_AUTO_TEST_CASE(append_confirmed_during_a_pause_starts_nothing)
{
    constexpr ms pauseMs = 600;
    scheduler_settings settings = leaderSettings();
    settings.cell.leaseTerms.renewalMs = 1'300; // No task is started with less than a second left of it.
    settings.election.renewIntervalMs = 100;
    std::atomic<bool> stopping = false;
    std::atomic<bool> appended = false;
    std::atomic<int> starts = 0;
    std::thread others([&] {
        event_loop loop;
        log_store log(loop, storePort);
        loopback_worker worker(loop, workerPort, workerStartMs);
        log.putWorker("w", workerPort, workerStartMs);
        log.put(jobsTopic, jobId(1), encodeJob(singleStepJob(1)));
        log.intercept = [&](const http_request& request, const reply_ptr& reply) {
            if (isRequest(request, "/log-append", progressTopic) && !request.body.empty() && !appended) {
                appended = true;
                // Another instance claims the cell meanwhile.
                log.put(claimsTopic, "owner", encodeClaim({ "north-2", 1, "127.0.0.1:1", 0, false, 1 }));
                loop.after(pauseMs / 2, [&log, request, reply] { log.serve(request, reply); });
                return true;
            }
            return false;
        };
        loop.every(10, [&] {
            starts = worker.starts.load();
            if (stopping)
                loop.stop();
        });
        loop.run();
    });
    {
        event_loop loop;
        instance leader(loop, settings);
        leader.host.start();
        leader.runUntil(5'000, [&] { return appended.load(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
        leader.runFor(500);
    }
    stopping = true;
    others.join();
    BOOST_TEST(appended);
    BOOST_TEST(starts == 0);
}

BOOST_AUTO_TEST_CASE(task_of_a_worker_lost_with_the_leader_starts_again_within_nine_seconds)
{
    scheduler_settings settings = leaderSettings();
    settings.cell.maxLeaseMs = 10'000;
    settings.cell.leaseMs = 9'800;
    event_loop lostLoop; // Of the processes that are lost: it is not run any more then.
    event_loop loop;
    log_store log(loop, storePort);
    loopback_worker lostWorker(lostLoop, workerPort, workerStartMs);
    instance lostLeader(lostLoop, settings);
    settings.instance = "north-2";
    loopback_worker worker(loop, otherWorkerPort, workerStartMs);
    instance nextLeader(loop, settings);
    log.putWorker("lost", workerPort, workerStartMs);
    log.put(jobsTopic, jobId(1), encodeJob(singleStepJob(1)));
    lostLeader.host.start();
    auto runBoth = [&](ms length) {
        for (ms end = bootNow() + length; bootNow() < end;) {
            lostLeader.runFor(2);
            nextLeader.runFor(2);
        }
    };
    runBoth(1'000);
    BOOST_REQUIRE(lostWorker.starts == 1);
    log.putWorker("w", otherWorkerPort, workerStartMs);
    nextLeader.host.start();
    runBoth(1'000);
    BOOST_REQUIRE(worker.starts == 0);
    nextLeader.runUntil(9'000, [&] { return worker.starts > 0; });
    BOOST_TEST(worker.starts == 1);
}

BOOST_AUTO_TEST_CASE(record_of_an_earlier_incarnation_does_not_redirect_a_worker)
{
    fixture f;
    loopback_worker other(f.loop, otherWorkerPort, workerStartMs);
    BOOST_REQUIRE(other.listening);
    f.log.putWorker("w", workerPort, workerStartMs);
    f.putJob(1);
    f.lead();
    f.leader.runUntil(5'000, [&] { return f.worker.starts > 0; });
    f.log.putWorker("w", otherWorkerPort, workerStartMs - 1);
    f.leader.runFor(1'000);
    BOOST_TEST(other.polls == 0);
    int polls = f.worker.polls;
    f.leader.runFor(500);
    BOOST_TEST(f.worker.polls > polls);
}

BOOST_AUTO_TEST_CASE(records_of_a_cancelled_job_leave_the_log_the_cancel_last)
{
    fixture f;
    const std::string cancelKey = "x" + jobId(1);
    f.putJob(1);
    f.log.put(jobsTopic, cancelKey, "x");
    f.lead();
    std::vector<std::string> deletedKeys;
    f.leader.runUntil(15'000, [&] {
        deletedKeys.clear();
        for (const auto& record : f.log.topics[jobsTopic]) {
            if (auto item = platform::decodeKeyedRecord(record); item->value.empty())
                deletedKeys.push_back(item->key);
        }
        return deletedKeys.size() == 2;
    });
    BOOST_REQUIRE(deletedKeys.size() == 2);
    BOOST_TEST(deletedKeys[0] == jobId(1));
    BOOST_TEST(deletedKeys[1] == cancelKey);
    BOOST_TEST((f.leader.host.stateOf(jobId(1)).value().state == job_state::cancelled));
}

// Regression: with fixed timeouts, no instance led a cell in a store whose calls take as long as its settings
// state.
BOOST_AUTO_TEST_CASE(calls_to_the_store_get_the_time_that_its_settings_state)
{
    constexpr ms appendMs = 1'700;
    constexpr ms pageMs = 2'500;
    scheduler_settings settings = leaderSettings();
    settings.store.appendMs = appendMs;
    settings.store.readMbPerS = 0.42; // A page of a megabyte in 2.5 s.
    fixture f(settings);
    f.putJob(0);
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        bool isPage = request.path == "/log-newest";
        if (!isPage && request.path != "/log-append")
            return false;
        f.loop.after(isPage ? pageMs : appendMs, [&f, request, reply] { f.log.serve(request, reply); });
        return true;
    };
    f.log.putWorker("w", workerPort, workerStartMs);
    f.leader.host.start();
    f.leader.runUntil(20'000, [&] { return f.worker.starts > 0; });
    BOOST_TEST(f.worker.starts == 1);
    BOOST_TEST(f.leader.counts["claim_no_answer"] == 0);
}
