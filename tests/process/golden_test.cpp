// Compares the bytes that callers receive in whole sessions with golden files. Values that differ from run to
// run are replaced by placeholders.
//
// CAMPHORWELL_GOLDEN_WRITE=1 writes the files instead of comparing.
#define BOOST_TEST_MODULE golden_sessions
#include <boost/test/unit_test.hpp>

#include "tests/process/deployment.h"

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

using namespace camphorwell;
using nlohmann::json;

namespace {

json testEntries()
{
    return json::parse(R"([
      {"name":"route-plan","owner":"nube-dulce","class":"latency-critical","limits":{"cpuMilli":500,"deadlineMs":1500}},
      {"name":"tally-payment","owner":"nube-dulce","class":"latency-critical","idempotent":false},
      {"name":"album-proof","owner":"papelera-lanus","class":"batch","limits":{"cpuMilli":2000}},
      {"name":"poster","owner":"papelera-lanus","class":"batch","limits":{"accelerators":2}}
    ])");
}

struct fixture {
    fixture()
        : d(deployment_options { 21100, { "north", "south" }, 2, 2, 1000, 200 })
    {
        started = d.start(testEntries());
    }
    deployment d;
    bool started = false;
};

// All cases share one fixture, since starting two data centres takes seconds.
fixture& sharedFixture()
{
    static fixture one;
    return one;
}

// Replaces the values that differ from run to run: instance incarnations and sequence numbers in the ids of
// unkeyed work, content lengths and dates. Line ends become LF.
std::string normalise(std::string text)
{
    text = std::regex_replace(text, std::regex("~u~([a-z0-9-]+)~[0-9]+~[0-9]+"), "~u~$1~INCARNATION~N");
    text = std::regex_replace(text, std::regex("Content-Length: [0-9]+"), "Content-Length: N");
    text = std::regex_replace(
        text, std::regex("Date: [A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} [0-9]{4} [0-9:]{8} GMT"), "Date: T");
    text = std::regex_replace(text, std::regex("\r\n"), "\n");
    return text;
}

class session {
public:
    explicit session(std::string name)
        : m_name(std::move(name))
    {
    }

    raw_answer call(const std::string& instance, const std::string& method, const std::string& path,
        const header_list& headers = {}, const std::string& body = {})
    {
        auto& d = sharedFixture().d;
        m_text << "> " << instance << " " << method << " " << path << "\n";
        for (const auto& [name, value] : headers)
            m_text << "> " << name << ": " << value << "\n";
        if (!body.empty())
            m_text << "> " << body << "\n";
        raw_answer answer = d.call(d.entryPort(instance), method, path, headers, body);
        m_text << normalise(answer.bytes) << "\n";
        return answer;
    }

    void addNote(const std::string& what) { m_text << "# " << what << "\n"; }

    void compare()
    {
        std::string path = std::string(CAMPHORWELL_GOLDEN_DIRECTORY) + "/" + m_name + ".txt";
        if (std::getenv("CAMPHORWELL_GOLDEN_WRITE")) {
            std::ofstream(path) << m_text.str();
            return;
        }
        std::ifstream in(path);
        std::stringstream expected;
        expected << in.rdbuf();
        BOOST_TEST(m_text.str() == expected.str());
    }

private:
    std::string m_name;
    std::ostringstream m_text;
};

} // namespace

BOOST_AUTO_TEST_CASE(deployment_starts) { BOOST_REQUIRE(sharedFixture().started); }

BOOST_AUTO_TEST_CASE(route_plan)
{
    session s("route-plan");
    s.call("north-1", "POST", "/v1/work/route-plan", {}, R"({"n":7,"work_ms":5})");
    s.call("north-2", "POST", "/v1/work/route-plan", { { "Idempotency-Key", "north/plan-7" } },
        R"({"n":8,"work_ms":5})");
    s.compare();
}

BOOST_AUTO_TEST_CASE(tally_payment)
{
    session s("tally-payment");
    s.call("north-1", "POST", "/v1/work/tally-payment", { { "Idempotency-Key", "north/tally-1" } },
        R"({"n":1})");
    s.addNote("the same key through an instance of the other data centre gets the same answer");
    s.call("south-1", "POST", "/v1/work/tally-payment", { { "Idempotency-Key", "north/tally-1" } },
        R"({"n":1})");
    s.addNote("the same key with another body is refused");
    s.call("north-2", "POST", "/v1/work/tally-payment", { { "Idempotency-Key", "north/tally-1" } },
        R"({"n":2})");
    s.compare();
    size_t runs = 0;
    for (const auto& run : sharedFixture().d.history())
        runs += run["id"] == "north~k~" + hashHex("tally-payment\nnorth/tally-1") ? 1 : 0;
    BOOST_TEST(runs == 1u);
}

BOOST_AUTO_TEST_CASE(album_proof)
{
    session s("album-proof");
    auto accepted = s.call("south-1", "POST", "/v1/work/album-proof",
        { { "Idempotency-Key", "north/album-1" } }, R"({"n":3,"work_ms":400})");
    std::string id = workIdOf(accepted);
    auto& d = sharedFixture().d;
    bool done = d.waitUntil(
        10'000, [&] { return d.call(d.entryPort("south-2"), "GET", "/v1/work/" + id).status == 200; });
    BOOST_TEST(done);
    s.addNote("later, at another instance");
    s.call("south-2", "GET", "/v1/work/" + id);
    s.addNote("the same key again gets the result");
    s.call("north-1", "POST", "/v1/work/album-proof", { { "Idempotency-Key", "north/album-1" } },
        R"({"n":3,"work_ms":400})");
    s.compare();
}

BOOST_AUTO_TEST_CASE(refusals)
{
    session s("refusals");
    s.call("north-1", "POST", "/v1/work/no-such-entry", {}, "{}");
    s.call("north-1", "POST", "/v1/work/tally-payment", {}, "{}");
    s.call("north-1", "POST", "/v1/work/poster", { { "Idempotency-Key", "north/poster" } }, "{}");
    s.call("north-1", "POST", "/v1/work/route-plan", { { "X-Deadline-Ms", "soon" } }, "{}");
    s.call("north-1", "GET", "/v1/work/nonsense");
    s.call("north-1", "GET", "/v1/work/" + std::string("north~k~00000000000000000000000000000000"));
    s.call("north-1", "PUT", "/v1/catalogue/poster", { { "If-Match", "\"1\"" } },
        R"({"name":"poster","owner":"papelera-lanus","class":"batch"})");
    s.call("north-1", "PUT", "/v1/catalogue/poster", { { "If-Match", "\"4\"" } },
        R"({"name":"poster","class":"quick"})");
    s.call("north-1", "POST", "/v1/work/route-plan", {}, std::string(70'000, 'x'));
    s.compare();
}

BOOST_AUTO_TEST_CASE(lost_connection)
{
    auto& d = sharedFixture().d;
    session s("lost-connection");
    s.addNote("the caller goes away while its request runs, and asks again with the same key");
    std::string body = R"({"n":9,"work_ms":300})";
    d.sendAndClose(d.entryPort("north-1"),
        "POST /v1/work/tally-payment HTTP/1.1\r\nHost: h\r\nIdempotency-Key: north/lost-1\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body,
        100);
    s.call("north-2", "POST", "/v1/work/tally-payment", { { "Idempotency-Key", "north/lost-1" } }, body);
    s.compare();
    size_t runs = 0;
    for (const auto& run : d.history())
        runs += run["id"] == "north~k~" + hashHex("tally-payment\nnorth/lost-1") ? 1 : 0;
    BOOST_TEST(runs == 1u);
    BOOST_TEST(executionViolations(d.history()).empty());
}
