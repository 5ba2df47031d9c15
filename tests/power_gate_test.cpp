// What a machine's loss of power does to its connections.
#define BOOST_TEST_MODULE power_gate
#include "standins/power_gate.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;

namespace {

constexpr uint16_t port = 28993;
const std::string address = "127.0.0.1";
const std::string serverAddress = "127.0.0.2";
constexpr int64_t callTimeoutMs = 600;
constexpr int64_t settleMs = 100;
constexpr int64_t afterTimeoutMs = 800;

struct gate_fixture {
    gate_fixture()
    {
        BOOST_REQUIRE(static_cast<bool>(server.listen(serverAddress, port)));
        BOOST_REQUIRE(static_cast<bool>(gate.listen(address, port, serverAddress)));
    }

    void call(http_client& client, const std::string& path)
    {
        client.call("POST", path, {}, "text", callTimeoutMs,
            [this, path](const http_response& response) { statuses[path] = response.status; });
    }

    void runFor(int64_t durationMs)
    {
        loop.after(durationMs, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    std::vector<std::string> received;
    http_server server { loop, {},
        [this](const http_request& request, const std::shared_ptr<http_reply>& reply) {
            received.push_back(request.path);
            reply->send(200, {}, "");
        } };
    power_gate gate { loop };
    std::map<std::string, int> statuses; // By path; 0: no response.
    http_client earlier { loop, address, port, 1 };
    http_client later { loop, address, port, 1 };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(connection_that_is_opened_without_power_reaches_the_later_life, gate_fixture)
{
    gate.powerOff();
    call(later, "/new");
    runFor(settleMs);
    BOOST_TEST(received.empty());
    gate.powerOn();
    runFor(settleMs);
    BOOST_TEST(statuses.at("/new") == 200);
}

BOOST_FIXTURE_TEST_CASE(request_whose_caller_gave_up_without_power_is_lost, gate_fixture)
{
    gate.powerOff();
    call(later, "/new");
    runFor(afterTimeoutMs);
    gate.powerOn();
    runFor(settleMs);
    BOOST_TEST(statuses.at("/new") == 0);
    BOOST_TEST(received.empty());
}

BOOST_FIXTURE_TEST_CASE(request_on_an_earlier_connection_is_lost, gate_fixture)
{
    call(earlier, "/first");
    runFor(settleMs);
    BOOST_TEST(statuses.at("/first") == 200);
    gate.powerOff();
    call(earlier, "/lost");
    runFor(settleMs);
    BOOST_TEST(!statuses.contains("/lost"));
    gate.powerOn();
    runFor(settleMs);
    BOOST_TEST(statuses.at("/lost") == 0);
    BOOST_TEST(received.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(earlier_connection_is_reset_when_it_is_used_with_power_again, gate_fixture)
{
    call(earlier, "/first");
    runFor(settleMs);
    gate.powerOff();
    gate.powerOn();
    call(earlier, "/lost");
    runFor(settleMs);
    BOOST_TEST(statuses.at("/lost") == 0);
    call(earlier, "/new");
    runFor(settleMs);
    BOOST_TEST(statuses.at("/new") == 200);
    BOOST_TEST(received.size() == 2);
}
