// Jobs that exceed the store's limit for a record, at hand-in.
#define BOOST_TEST_MODULE job_size
#include "scheduler/scheduler.h"
#include "tests/scheduler/log_store.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

// Four ports, different in processes that run at once, below those of deployments and other tests.
const auto storePort = static_cast<uint16_t>(11'000 + getpid() % 2'000 * 4);
const auto callerPort = static_cast<uint16_t>(storePort + 1);
const auto readinessPort = static_cast<uint16_t>(storePort + 2);
const auto peerPort = static_cast<uint16_t>(storePort + 3);
constexpr size_t maxRecordBytes = 4'096;

scheduler_settings frontendSettings()
{
    scheduler_settings out;
    out.instance = "north-1";
    out.address = "127.0.0.1";
    out.callers = "127.0.0.1:" + std::to_string(callerPort);
    out.readiness = "127.0.0.1:" + std::to_string(readinessPort);
    out.internalPort = peerPort;
    out.store.address = "127.0.0.1:" + std::to_string(storePort);
    out.cell.maxRecordBytes = maxRecordBytes;
    return out;
}

// A store, and an instance that accepts jobs and does not take part in the election.
struct fixture {
    event_loop loop;
    log_store log { loop, storePort };
    scheduler_settings settings = frontendSettings();
    platform::store store { loop, settings.store };
    event_log lines { 1000 };
    counters counts;
    scheduler_context context { loop, settings, store, lines, counts };
    catalogue_follower catalogue { context, [] {} };
    instance_directory directory { context };
    job_log jobs { context };
    std::vector<std::unique_ptr<cell_host>> cells;
    http_frontend frontend { context, catalogue, directory, jobs, cells };
    http_client caller { loop, "127.0.0.1", callerPort, 1 };

    fixture()
    {
        BOOST_REQUIRE(log.listening);
        cells.push_back(std::make_unique<cell_host>(context, 0));
        nlohmann::json route { { "Name", "batch" }, { "Host", "h" }, { "PathPrefix", "/batch/" },
            { "Kind", "unsafe" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 1000 }, { "Priority", 0 },
            { "Service", "service" }, { "MaxAttempts", 3 }, { "Stretch", 2.0 } };
        log.put(platform::operatorTopic, platform::configurationKey,
            nlohmann::json { { "Version", 1 }, { "Routes", { route } } }.dump());
        catalogue.start();
        BOOST_REQUIRE(static_cast<bool>(frontend.listen()));
        runFor(500);
        BOOST_REQUIRE(catalogue.current());
    }
    void runFor(ms length)
    {
        loop.after(length, [this] { loop.stop(); });
        loop.run();
    }
    // Hands in a job whose tasks get a payload of so many bytes. Returns the status of the answer.
    int submit(const std::string& id, size_t payloadBytes)
    {
        nlohmann::json job { { "Spec", std::string(payloadBytes, 'x') },
            { "Steps", { { { "Count", 1 }, { "Cpu", 100 }, { "MemMb", 100 }, { "EstimateMs", 500 } } } } };
        int status = 0;
        caller.call("POST", "/batch/" + id, { { "Host", "h" } }, job.dump(), 3'000,
            [&](const http_response& response) { status = response.status; });
        runFor(1'500);
        return status;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(job_over_the_limit_of_a_record_is_refused)
{
    fixture f;
    size_t appends = 0;
    f.log.intercept = [&](const http_request& request, const reply_ptr& reply) {
        if (request.path != "/log-append" || request.body.size() <= maxRecordBytes + 4)
            return false;
        appends++;
        reply->send(400, {}, "");
        return true;
    };
    BOOST_TEST(f.submit("000000000000000a", maxRecordBytes) == 413);
    BOOST_TEST(appends == 0);
    BOOST_TEST(f.submit("000000000000000b", maxRecordBytes / 2) == 200);
}
