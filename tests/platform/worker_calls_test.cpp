// Calls to a worker that does not answer.
#define BOOST_TEST_MODULE worker_calls
#include "platform/platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr uint16_t port = 28995;
const std::string address = "127.0.0.1:28995";
constexpr int64_t pollArrivalMs = 300;
constexpr int64_t afterOrderTimeoutMs = 2000;

struct silent_worker {
    silent_worker()
        : server(loop, {}, [this](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            paths.push_back(request.path);
            unanswered.push_back(reply);
        })
    {
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
    }

    void start(int index)
    {
        start_action order { "w", { "5c0e7a21d94b36f8", 0, 0, index }, 1,
            std::make_shared<const std::string>("text"), {}, {}, 1, 0 };
        workers.start(
            address, order, 1, [this](const order_answer& answer) { outcomes.push_back(answer.outcome); });
    }

    void runFor(int64_t durationMs)
    {
        loop.after(durationMs, [this] { loop.stop(); });
        loop.run();
    }

    // Starts a task at a port that is not the server's, and returns the time until the outcome.
    int64_t timeOfStartAt(const std::string& other)
    {
        auto begin = event_loop::now();
        int64_t elapsedMs = -1;
        start_action order { "w", { "5c0e7a21d94b36f8", 0, 0, 0 }, 1,
            std::make_shared<const std::string>("text"), {}, {}, 1, 0 };
        workers.start(other, order, 1, [&](const order_answer&) {
            elapsedMs
                = std::chrono::duration_cast<std::chrono::milliseconds>(event_loop::now() - begin).count();
        });
        runFor(4000);
        return elapsedMs;
    }

    size_t received(const std::string& path) const
    {
        return static_cast<size_t>(std::count(paths.begin(), paths.end(), path));
    }

    event_loop loop;
    std::vector<std::string> paths;
    std::vector<std::shared_ptr<http_reply>> unanswered;
    std::vector<order_outcome> outcomes;
    http_server server;
    platform::worker_calls workers { loop };
};

// A listening socket that accepts connections only after `refill` has taken those that fill its queue, like
// that of a worker that has just started again: a connection is opened a second after it was tried first.
struct slow_listener {
    slow_listener()
    {
        descriptor = socket(AF_INET, SOCK_STREAM, 0);
        int enabled = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in place = placeOf();
        BOOST_REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&place), sizeof place) == 0);
        BOOST_REQUIRE(listen(descriptor, 0) == 0);
        for (int i = 0; i < fillers; i++) {
            opened.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            connect(opened.back(), reinterpret_cast<sockaddr*>(&place), sizeof place);
        }
    }

    ~slow_listener()
    {
        for (int open : opened)
            close(open);
        close(descriptor);
    }

    static sockaddr_in placeOf()
    {
        sockaddr_in out {};
        out.sin_family = AF_INET;
        out.sin_port = htons(listenerPort);
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return out;
    }

    void acceptFillers()
    {
        for (int accepted; (accepted = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
            opened.push_back(accepted);
            if (opened.size() >= 2 * fillers)
                return;
        }
    }

    static constexpr uint16_t listenerPort = 28996;
    static constexpr int fillers = 1;
    int descriptor = -1;
    std::vector<int> opened;
};

} // namespace

// Its lease is counted from the latest time at which the order may have arrived.
BOOST_FIXTURE_TEST_CASE(start_on_a_connection_that_opens_late_is_given_up_in_time, silent_worker)
{
    constexpr int64_t orderTimeoutMs = 1200;
    constexpr int64_t slackMs = 300;
    slow_listener listener;
    loop.after(500, [&] { listener.acceptFillers(); });
    int64_t elapsedMs = timeOfStartAt("127.0.0.1:28996");
    BOOST_TEST(elapsedMs >= orderTimeoutMs);
    BOOST_TEST(elapsedMs < orderTimeoutMs + slackMs);
}

// The worker may have lost power meanwhile, and its next life would run the start.
BOOST_FIXTURE_TEST_CASE(start_queued_behind_a_silent_worker_is_not_sent_later, silent_worker)
{
    constexpr int starts = 10;
    for (int i = 0; i < starts; i++)
        start(i);
    runFor(pollArrivalMs);
    size_t sentAtOnce = received("/run-start");
    BOOST_TEST(sentAtOnce < starts);
    runFor(afterOrderTimeoutMs);
    BOOST_TEST(received("/run-start") == sentAtOnce);
    BOOST_TEST(outcomes.size() == starts);
    for (order_outcome outcome : outcomes)
        BOOST_TEST((outcome == order_outcome::no_answer));
}

// A delayed poll would acknowledge completions of the worker's next life.
BOOST_FIXTURE_TEST_CASE(poll_does_not_wait_for_unanswered_starts, silent_worker)
{
    for (int i = 0; i < 10; i++)
        start(i);
    workers.poll(address, { "w", 7, std::nullopt, 0, 0 }, 1, [](order_outcome, const worker_report&) {});
    runFor(pollArrivalMs);
    BOOST_TEST(received("/hold") == 1);
}
