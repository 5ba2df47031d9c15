// Tests of the HTTP server: requests split into pieces, oversized bodies, delayed responses and callers that
// disconnect.
#define BOOST_TEST_MODULE net
#include "net/net.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace camphorwell;

namespace {

constexpr uint16_t port = 19790;
constexpr int64_t testTimeoutMs = 20'000; // Ends a test that hangs.

int connectTo(uint16_t portNumber)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(portNumber);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

int listenOn(uint16_t portNumber)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(portNumber);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    BOOST_REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(listen(fd, 1) == 0);
    return fd;
}

// Sends one of `pieces` every 2 ms and reads until the response contains the expected text or the connection
// closes.
struct raw_caller {
    event_loop& loop;
    int fd;
    std::vector<std::string> pieces;
    size_t nextPiece = 0;
    std::string response;

    raw_caller(event_loop& eventLoop, uint16_t portNumber, std::vector<std::string> requestPieces)
        : loop(eventLoop)
        , fd(connectTo(portNumber))
        , pieces(std::move(requestPieces))
    {
    }
    ~raw_caller() { close(fd); }
    void run(const std::string& expected)
    {
        loop.every(2, [this, expected] {
            if (nextPiece < pieces.size()) {
                BOOST_REQUIRE(write(fd, pieces[nextPiece].data(), pieces[nextPiece].size())
                    == static_cast<ssize_t>(pieces[nextPiece].size()));
                nextPiece++;
            }
            char buffer[4096];
            ssize_t receivedBytes = read(fd, buffer, sizeof buffer);
            if (receivedBytes > 0)
                response.append(buffer, static_cast<size_t>(receivedBytes));
            if (receivedBytes == 0 || response.find(expected) != std::string::npos)
                loop.stop();
        });
        loop.after(testTimeoutMs, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

// Guards against a parser that adds a byte to a path split between two TCP segments, as libevhtp's did.
BOOST_AUTO_TEST_CASE(a_request_may_be_split_anywhere)
{
    const std::string request = "GET /state/fb9ed05c280b64bf?part=17 HTTP/1.1\r\nHost: nony24.example\r\n"
                                "Time-Left-Ms: 2500\r\n\r\n";
    for (size_t splitAt = 1; splitAt + 1 < request.size(); splitAt++) {
        event_loop loop;
        std::vector<http_request> requests;
        http_server server(loop, {}, [&](http_request received, const std::shared_ptr<http_reply>& reply) {
            requests.push_back(std::move(received));
            reply->send(200, {}, "done");
        });
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
        raw_caller caller(loop, port, { request.substr(0, splitAt), request.substr(splitAt) });
        caller.run("done");
        BOOST_REQUIRE(requests.size() == 1);
        BOOST_TEST(
            requests[0].path == "/state/fb9ed05c280b64bf", "cut at " << splitAt << ": " << requests[0].path);
        BOOST_TEST(requests[0].query == "part=17", "cut at " << splitAt << ": " << requests[0].query);
        BOOST_REQUIRE(requests[0].header("host"));
        BOOST_TEST(*requests[0].header("host") == "nony24.example", "cut at " << splitAt);
        BOOST_REQUIRE(requests[0].header("time-left-ms"));
        BOOST_TEST(*requests[0].header("time-left-ms") == "2500", "cut at " << splitAt);
    }
}

BOOST_AUTO_TEST_CASE(a_request_may_arrive_byte_by_byte)
{
    const std::string request
        = "POST /lohu930/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
          "12345";
    std::vector<std::string> pieces;
    for (char byte : request)
        pieces.emplace_back(1, byte);
    event_loop loop;
    std::vector<http_request> requests;
    http_server server(loop, {}, [&](http_request received, const std::shared_ptr<http_reply>& reply) {
        requests.push_back(std::move(received));
        reply->send(200, {}, "done");
    });
    BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
    raw_caller caller(loop, port, pieces);
    caller.run("done");
    BOOST_REQUIRE(requests.size() == 1);
    BOOST_TEST(requests[0].path == "/lohu930/5c0e7a21d94b36f8");
    BOOST_TEST(requests[0].body == "12345");
}

BOOST_AUTO_TEST_CASE(a_reply_may_be_delayed_or_its_caller_disconnected)
{
    event_loop loop;
    std::shared_ptr<http_reply> delayedReply;
    http_server server(loop, {},
        [&](const http_request&, const std::shared_ptr<http_reply>& reply) { delayedReply = reply; });
    BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
    {
        raw_caller caller(loop, port, { "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" });
        loop.after(200, [&] { delayedReply->send(200, { { "X-Kept", "1" } }, "late"); });
        caller.run("late");
        BOOST_TEST(caller.response.find("X-Kept: 1") != std::string::npos);
    }
    event_loop second;
    http_server other(second, {},
        [&](const http_request&, const std::shared_ptr<http_reply>& reply) { delayedReply = reply; });
    BOOST_REQUIRE(static_cast<bool>(other.listen("127.0.0.1", port + 1)));
    int fd = connectTo(port + 1);
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_REQUIRE(write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    second.after(100, [&] { close(fd); });
    second.after(300, [&] {
        BOOST_TEST(delayedReply->callerDisconnected());
        delayedReply->send(200, {}, "nobody");
        second.stop();
    });
    second.run();
}

BOOST_AUTO_TEST_CASE(a_body_over_the_limit_is_marked_oversized)
{
    event_loop loop;
    bool oversized = false;
    http_server server(
        loop, { 100, 30'000 }, [&](http_request received, const std::shared_ptr<http_reply>& reply) {
            oversized = received.oversized;
            reply->send(413, {}, "too much");
        });
    BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
    raw_caller caller(loop, port,
        { "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n", std::string(3000, 'x') });
    caller.run("too much");
    BOOST_TEST(oversized);
}

// The server does not read, as if the network held what is sent. Most of the request waits in the client's
// kernel.
BOOST_AUTO_TEST_CASE(a_call_that_was_given_up_is_not_delivered_later)
{
    constexpr size_t bodyBytes = 32 << 20;
    int listener = listenOn(port);
    event_loop loop;
    http_client client(loop, "127.0.0.1", port, 1);
    client.call("POST", "/", {}, std::string(bodyBytes, 'x'), 300, [&](const http_response& response) {
        BOOST_TEST(response.status == 0);
        loop.after(50, [&] { loop.stop(); });
    });
    loop.run();
    int fd = accept(listener, nullptr, nullptr);
    BOOST_REQUIRE(fd >= 0);
    std::vector<char> buffer(1 << 20);
    ssize_t received = 0;
    do {
        received = read(fd, buffer.data(), buffer.size());
    } while (received > 0);
    BOOST_TEST(received == -1);
    BOOST_TEST(errno == ECONNRESET);
    close(fd);
    close(listener);
}
