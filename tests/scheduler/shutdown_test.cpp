// When an instance that shuts down may exit.
#define BOOST_TEST_MODULE shutdown
#include "net/net.h"
#include "scheduler/process/shutdown_check.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace camphorwell;

namespace {

constexpr ms graceMs = 6'000;
constexpr ms servingEndMs = 3'400; // Just over the share of the grace period in which callers are served.
constexpr uint16_t port = 19795;

// A server that answers its only call in the loop iteration of the first shutdown check.
struct single_call_server {
    event_loop loop;
    std::shared_ptr<http_reply> reply;
    size_t openCalls = 0;
    uint64_t receivedCalls = 0;
    http_server server { loop, {}, [this](const http_request&, const std::shared_ptr<http_reply>& replyTo) {
                            reply = replyTo;
                            openCalls++;
                            receivedCalls++;
                            loop.after(50, [this] { answerAndCheck(); });
                        } };
    shutdown_check shutdownCheck { graceMs };

    void answerAndCheck()
    {
        reply->send(200, {}, "whole");
        openCalls--;
        check();
    }
    void check()
    {
        if (shutdownCheck.mayExit(servingEndMs, openCalls, receivedCalls))
            loop.stop();
        else
            loop.after(20, [this] { check(); });
    }
    // Returns what the caller has received when the loop stops.
    std::string run()
    {
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
        BOOST_REQUIRE(write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
        loop.after(5'000, [this] { loop.stop(); });
        loop.run();
        char buffer[4096];
        ssize_t received = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        close(fd);
        return received > 0 ? std::string(buffer, static_cast<size_t>(received)) : std::string();
    }
};

} // namespace

// The process exited in the loop iteration that answered its last call, before the answer was written
// (nubedulce-sched-grown hunt-7773-15, LOST).
BOOST_AUTO_TEST_CASE(last_answer_is_written_before_exit)
{
    single_call_server fixture;
    BOOST_TEST(fixture.run().find("whole") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(call_between_two_checks_delays_exit)
{
    shutdown_check shutdownCheck(graceMs);
    BOOST_TEST(!shutdownCheck.mayExit(servingEndMs, 0, 7));
    BOOST_TEST(!shutdownCheck.mayExit(servingEndMs + 100, 0, 8)); // One call received and answered since.
    BOOST_TEST(!shutdownCheck.mayExit(servingEndMs + 200, 1, 9));
    BOOST_TEST(!shutdownCheck.mayExit(servingEndMs + 300, 0, 9));
    BOOST_TEST(shutdownCheck.mayExit(servingEndMs + 400, 0, 9));
}

BOOST_AUTO_TEST_CASE(callers_are_served_for_a_share_of_the_grace_period)
{
    shutdown_check shutdownCheck(graceMs);
    for (ms elapsed = 0; elapsed < 3'300; elapsed += 100)
        BOOST_TEST(!shutdownCheck.mayExit(elapsed, 0, 1));
    BOOST_TEST(shutdownCheck.mayExit(3'400, 0, 1));
    shutdown_check busy(graceMs);
    BOOST_TEST(!busy.mayExit(5'200, 3, 1));
    BOOST_TEST(busy.mayExit(5'400, 3, 1));
}
