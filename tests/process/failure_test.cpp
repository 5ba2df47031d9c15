// Tests of failures with real processes: killed and suspended instances, log outages, unresponsive workers,
// graceful stops and malformed requests.
#define BOOST_TEST_MODULE process_failures
#include <boost/test/unit_test.hpp>

#include "tests/process/deployment.h"

#include <csignal>
#include <future>
#include <thread>

using namespace camphorwell;
using nlohmann::json;

namespace {

json testEntries()
{
    return json::parse(R"([
      {"name":"plan","owner":"cart","class":"latency-critical","limits":{"cpuMilli":500,"deadlineMs":3000}},
      {"name":"tally","owner":"cart","class":"latency-critical","idempotent":false,"limits":{"deadlineMs":3000}},
      {"name":"album","owner":"press","class":"batch","limits":{"cpuMilli":2000}}
    ])");
}

constexpr int64_t recoveryTimeoutMs = 15'000; // Far above any expected recovery time.

struct failure_fixture {
    explicit failure_fixture(uint16_t port)
        : d(deployment_options { port, { "north" }, 3, 4, 1000, 200 })
    {
        BOOST_REQUIRE(d.start(testEntries()));
    }

    ~failure_fixture()
    {
        auto broken = executionViolations(d.history());
        BOOST_TEST(broken.empty(), (broken.empty() ? std::string() : broken.front()));
    }

    raw_answer plan(const std::string& at, int64_t ms, const std::string& key = {})
    {
        header_list headers;
        if (!key.empty())
            headers.emplace_back("Idempotency-Key", key);
        return d.call(
            d.entryPort(at), "POST", "/v1/work/plan", headers, "{\"work_ms\":" + std::to_string(ms) + "}");
    }

    raw_answer tally(const std::string& at, const std::string& key, int64_t ms = 5)
    {
        return d.call(d.entryPort(at), "POST", "/v1/work/tally", { { "Idempotency-Key", key } },
            "{\"work_ms\":" + std::to_string(ms) + "}");
    }

    std::string album(const std::string& at, const std::string& key, int64_t ms)
    {
        auto accepted = d.call(d.entryPort(at), "POST", "/v1/work/album", { { "Idempotency-Key", key } },
            "{\"work_ms\":" + std::to_string(ms) + "}");
        BOOST_TEST(accepted.status == 202, accepted.bytes);
        return workIdOf(accepted);
    }

    bool waitForCompleteView(const std::vector<std::string>& instances)
    {
        return d.waitUntil(recoveryTimeoutMs, [&] {
            for (const auto& each : instances) {
                json status = d.getJson(d.entryPort(each), "/v1/status");
                bool good = status.is_object() && status.value("closed", false)
                    && status["members"].size() == instances.size();
                if (!good)
                    return false;
            }
            return true;
        });
    }

    deployment d;
};

std::string refusalReason(const raw_answer& answer)
{
    json body = json::parse(answer.body(), nullptr, false);
    return body.is_object() ? body.value("reason", "") : std::string();
}

} // namespace

BOOST_AUTO_TEST_CASE(killed_instance_loses_no_accepted_work)
{
    failure_fixture r(21200);
    std::vector<std::string> ids;
    for (int i = 0; i < 12; i++)
        ids.push_back(r.album("north-" + std::to_string(1 + i % 3), "k" + std::to_string(i), 1500));
    r.d.kill("north-2");
    BOOST_TEST(r.waitForCompleteView({ "north-1", "north-3" }));
    for (const auto& id : ids) {
        bool done = r.d.waitUntil(recoveryTimeoutMs,
            [&] { return r.d.call(r.d.entryPort("north-1"), "GET", "/v1/work/" + id).status == 200; });
        BOOST_TEST(done, id);
    }
    r.d.restart("north-2");
    BOOST_TEST(r.waitForCompleteView({ "north-1", "north-2", "north-3" }));
    BOOST_TEST(r.plan("north-3", 5).status == 200);
}

BOOST_AUTO_TEST_CASE(suspended_instance_resumes_safely)
{
    failure_fixture r(21240);
    std::vector<std::string> ids;
    for (int i = 0; i < 9; i++)
        ids.push_back(r.album("north-1", "f" + std::to_string(i), 2500));
    r.d.signal("north-1", SIGSTOP);
    BOOST_TEST(r.waitForCompleteView({ "north-2", "north-3" }));
    for (int i = 0; i < 6; i++)
        BOOST_TEST(r.tally("north-2", "t" + std::to_string(i)).status == 200);
    r.d.signal("north-1", SIGCONT);
    BOOST_TEST(r.waitForCompleteView({ "north-1", "north-2", "north-3" }));
    for (const auto& id : ids) {
        bool done = r.d.waitUntil(recoveryTimeoutMs,
            [&] { return r.d.call(r.d.entryPort("north-1"), "GET", "/v1/work/" + id).status == 200; });
        BOOST_TEST(done, id);
    }
    for (int i = 0; i < 6; i++)
        BOOST_TEST(r.tally("north-1", "t" + std::to_string(i)).status == 200, "the kept answer is given");
}

BOOST_AUTO_TEST_CASE(log_outage_affects_only_work_that_needs_the_log)
{
    failure_fixture r(21280);
    BOOST_TEST(r.tally("north-1", "before").status == 200);
    r.d.setPlatform({ { "log", "down" } });
    size_t served = 0;
    for (int i = 0; i < 40; i++)
        served += r.plan("north-" + std::to_string(1 + i % 3), 5, i % 2 ? "p" + std::to_string(i) : "").status
            == 200;
    BOOST_TEST(served == 40u);
    // The first request to need the log detects the outage; it is refused without being run.
    auto refused = r.tally("north-1", "during");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refusalReason(refused) == "log_unavailable");
    BOOST_TEST(refused.body().find("\"ran\":\"no\"") != std::string::npos);
    BOOST_TEST(r.tally("north-2", "before").status == 200, "a kept answer needs no log");
    r.d.setPlatform({ { "log", "up" } });
    bool again = r.d.waitUntil(recoveryTimeoutMs, [&] { return r.tally("north-1", "during").status == 200; });
    BOOST_TEST(again);
}

BOOST_AUTO_TEST_CASE(lost_append_replies_are_resolved_by_reading)
{
    failure_fixture r(21320);
    r.d.setPlatform({ { "log", "lose_answers" } });
    auto first = std::async(std::launch::async, [&] { return r.tally("north-1", "lost", 5); });
    std::this_thread::sleep_for(milliseconds(500));
    r.d.setPlatform({ { "log", "up" } });
    auto answer = first.get();
    // Either the record is found in the log within the deadline, or the caller gets a refusal that is
    // correct: the deadline has passed or the outcome is unknown.
    BOOST_TEST((answer.status == 200 || refusalReason(answer) == "deadline_passed"
                   || refusalReason(answer) == "outcome_unknown"),
        answer.bytes);
    auto retry = r.tally("north-2", "lost", 5);
    size_t runs = 0;
    for (const auto& run : r.d.history())
        runs += run["id"] == "north~k~" + hashHex("tally\nlost") ? 1 : 0;
    BOOST_TEST(runs <= 1u);
    BOOST_TEST((retry.status == 200) == (runs == 1u));
}

BOOST_AUTO_TEST_CASE(unresponsive_worker_blocks_no_request)
{
    failure_fixture r(21360);
    for (const auto& worker : { "north-w1", "north-w2" })
        r.d.setWorker(worker, { { "mute", true } });
    std::vector<std::future<raw_answer>> calls;
    for (int i = 0; i < 24; i++)
        calls.push_back(std::async(
            std::launch::async, [&r, i] { return r.plan("north-" + std::to_string(1 + i % 3), 5); }));
    for (auto& each : calls)
        BOOST_TEST(each.get().status != 0, "every request is answered by its deadline");
    // The leases of the unresponsive workers expire, and the other workers serve all requests.
    bool recovered = r.d.waitUntil(recoveryTimeoutMs, [&] {
        int good = 0;
        for (int i = 0; i < 10; i++)
            good += r.plan("north-" + std::to_string(1 + i % 3), 5).status == 200;
        return good == 10;
    });
    BOOST_TEST(recovered);
    for (const auto& worker : { "north-w1", "north-w2" })
        r.d.setWorker(worker, { { "mute", false } });
}

BOOST_AUTO_TEST_CASE(graceful_stop_completes_running_requests)
{
    failure_fixture r(21400);
    std::vector<std::future<raw_answer>> calls;
    for (int i = 0; i < 12; i++)
        calls.push_back(std::async(std::launch::async, [&r] { return r.plan("north-1", 900); }));
    std::string id = r.album("north-1", "stop", 2000);
    std::this_thread::sleep_for(milliseconds(200));
    r.d.signal("north-1", SIGTERM);
    BOOST_TEST(r.d.waitUntil(2000, [&] { return !r.d.ready("north-1"); }));
    for (auto& each : calls) {
        auto answer = each.get();
        BOOST_TEST(answer.status == 200, answer.bytes);
    }
    BOOST_TEST(r.d.waitExit("north-1", recoveryTimeoutMs) == 0);
    BOOST_TEST(r.waitForCompleteView({ "north-2", "north-3" }));
    bool done = r.d.waitUntil(recoveryTimeoutMs,
        [&] { return r.d.call(r.d.entryPort("north-2"), "GET", "/v1/work/" + id).status == 200; });
    BOOST_TEST(done);
}

BOOST_AUTO_TEST_CASE(leaving_worker_receives_no_new_tasks)
{
    failure_fixture r(21440);
    r.d.signal("north-w3", SIGUSR1);
    std::this_thread::sleep_for(milliseconds(3000));
    size_t before = r.d.getJson(r.d.workerPort("north-w3"), "/history").size();
    for (int i = 0; i < 60; i++)
        BOOST_TEST(r.plan("north-" + std::to_string(1 + i % 3), 2).status == 200);
    BOOST_TEST(r.d.getJson(r.d.workerPort("north-w3"), "/history").size() == before);
}

BOOST_AUTO_TEST_CASE(concurrent_catalogue_changes_have_one_winner)
{
    failure_fixture r(21480);
    for (int round = 0; round < 5; round++) {
        uint64_t version = r.d.getJson(r.d.entryPort("north-1"), "/v1/catalogue/album")["version"];
        std::vector<std::future<int>> writers;
        for (int i = 0; i < 3; i++) {
            writers.push_back(std::async(std::launch::async, [&r, i, version, round] {
                std::string body
                    = R"({"name":"album","owner":"press","class":"batch","limits":{"concurrent":)"
                    + std::to_string(100 + round * 10 + i) + "}}";
                return r.d
                    .call(r.d.entryPort("north-" + std::to_string(1 + i)), "PUT", "/v1/catalogue/album",
                        { { "If-Match", "\"" + std::to_string(version) + "\"" } }, body)
                    .status;
            }));
        }
        int won = 0;
        int conflicts = 0;
        for (auto& each : writers) {
            int status = each.get();
            won += status == 200 ? 1 : 0;
            conflicts += status == 412 ? 1 : 0;
        }
        BOOST_TEST(won == 1);
        BOOST_TEST(conflicts == 2);
        bool same = r.d.waitUntil(recoveryTimeoutMs, [&] {
            json first = r.d.getJson(r.d.entryPort("north-1"), "/v1/catalogue/album");
            return first["version"].get<uint64_t>() > version
                && first == r.d.getJson(r.d.entryPort("north-2"), "/v1/catalogue/album")
                && first == r.d.getJson(r.d.entryPort("north-3"), "/v1/catalogue/album");
        });
        BOOST_TEST(same);
    }
}

BOOST_AUTO_TEST_CASE(malformed_requests_do_not_affect_other_callers)
{
    failure_fixture r(21520);
    uint16_t port = r.d.entryPort("north-1");
    BOOST_TEST(r.d.send(port, "GARBAGE\r\n\r\n", 1000).status != 200);
    BOOST_TEST(r.d.send(port, std::string(200'000, 'A'), 1000).status != 200);
    BOOST_TEST(
        r.d.send(port, "POST /v1/work/plan HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort", 500)
            .status
        != 200);
    auto big = r.d.call(port, "POST", "/v1/work/plan", {}, std::string(3'000'000, 'x'));
    BOOST_TEST(big.status == 413);
    std::vector<std::future<void>> slow;
    for (int i = 0; i < 20; i++) {
        slow.push_back(std::async(std::launch::async, [&r, port] {
            r.d.sendAndClose(port, "POST /v1/work/plan HTTP/1.1\r\nHost: h\r\nContent-Le", 1500);
        }));
    }
    for (int i = 0; i < 50; i++)
        BOOST_TEST(r.plan("north-1", 2).status == 200);
    // A peer with a wrong key is refused, and the refusal is counted.
    auto handshake = r.d.send(static_cast<uint16_t>(port + 1),
        "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: "
        "13\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nX-Camphorwell-Key: wrong\r\n\r\n",
        1500);
    BOOST_TEST(handshake.bytes.find("401") != std::string::npos, handshake.bytes);
    std::string metrics = r.d.call(port, "GET", "/metrics").body();
    BOOST_TEST(metrics.find("reason=\"peer_wrong_key\"} 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(odd_machine_in_the_platforms_list_does_not_end_an_instance)
{
    failure_fixture f(21950);
    const std::vector<std::string> fields { R"("kind":7)", R"("kind":"worker","port":"x")",
        R"("kind":"worker","port":99999)", R"("kind":"worker","port":1e300)",
        R"("kind":"worker","address":[])", R"("kind":"worker","rack":{},"port":1)",
        R"("kind":"worker","leaving":"no","port":1)",
        R"("kind":"worker","address":"worker.invalid","port":80)" };
    constexpr int64_t listedMs = 1500; // Several reads of the list.
    auto until = event_loop::now() + milliseconds(listedMs);
    while (event_loop::now() < until) {
        for (size_t i = 0; i < fields.size(); i++) {
            std::string body = R"({"dc":"north","id":"odd)" + std::to_string(i) + "\"," + fields[i] + "}";
            BOOST_REQUIRE(f.d.call(f.d.platformPort(), "POST", "/register", {}, body).status == 200);
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    for (const auto& instance : f.d.instances()) {
        BOOST_TEST(f.d.ready(instance), instance);
        BOOST_TEST(f.plan(instance, 5).status == 200, instance);
    }
}
