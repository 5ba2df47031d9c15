// Answers of the store, of workers and of the advice service that other systems got wrong.
#define BOOST_TEST_MODULE foreign_answers
#include "net/connection/encoding.h"
#include "platform/platform.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr uint16_t port = 19797;
constexpr ms testTimeoutMs = 20'000; // Stops a test that hangs.
const std::string address = "127.0.0.1:" + std::to_string(port);

// A server that gives the same answer to every request, or one for each page of a list.
struct fake_platform {
    using responder = std::function<std::pair<int, std::string>(const http_request&)>;
    explicit fake_platform(responder answerTo)
        : server(loop, {},
            [this, answerTo = std::move(answerTo)](
                const http_request& request, const std::shared_ptr<http_reply>& reply) {
                requests.push_back(request);
                auto [status, body] = answerTo(request);
                reply->send(status, {}, body);
            })
    {
        BOOST_REQUIRE(static_cast<bool>(server.listen("127.0.0.1", port)));
        loop.after(testTimeoutMs, [this] { loop.stop(); });
        store.onUnreadable([this](const std::string&, const std::string& key, const std::string& error) {
            unreadable.push_back(key + " " + error);
        });
    }

    // Makes a call and runs the loop until its handler ran.
    template <typename answer> answer run(const std::function<void(std::function<void(const answer&)>)>& call)
    {
        std::optional<answer> out;
        call([&](const answer& received) {
            BOOST_TEST(!out.has_value());
            out = received;
            loop.stop();
        });
        if (!out)
            loop.run();
        BOOST_REQUIRE(out.has_value());
        return *out;
    }
    platform::append_answer append()
    {
        return run<platform::append_answer>([&](auto done) {
            store.append({ "t", 0, { "record" }, {}, {} }, 2000, done);
        });
    }
    platform::read_answer read()
    {
        return run<platform::read_answer>([&](auto done) { store.read("t", 0, 5, 0, done); });
    }
    platform::newest_answer readNewest()
    {
        return run<platform::newest_answer>([&](auto done) { store.readNewestByKey("t", 0, done); });
    }
    order_outcome start(const worker_id& worker)
    {
        start_action order { worker, { "5c0e7a21d94b36f8", 0, 0, 0 }, 1,
            std::make_shared<const std::string>("text"), {}, {}, 1, 0 };
        return run<order_outcome>([&](auto done) {
            workers.start(address, order, 1, [done](const order_answer& answer) { done(answer.outcome); });
        });
    }
    order_outcome poll()
    {
        return run<order_outcome>([&](auto done) {
            workers.poll(address, { "w", 0, std::nullopt, 0, 0 }, 1,
                [done](order_outcome outcome, const worker_report&) { done(outcome); });
        });
    }
    platform::store_outcome advise()
    {
        return run<platform::store_outcome>([&](auto done) {
            advice.ask({ { "5c0e7a21d94b36f8", 0, 0, 0 }, { "w" } },
                [done](
                    platform::store_outcome outcome, const std::vector<advised_worker>&) { done(outcome); });
        });
    }

    event_loop loop;
    std::vector<http_request> requests;
    std::vector<std::string> unreadable;
    http_server server;
    platform::store store { loop, { address, 1, 1 << 20 } };
    platform::worker_calls workers { loop };
    platform::advice_calls advice { loop, address };
};

std::string repeated(const std::string& text, int times)
{
    std::string out;
    for (int i = 0; i < times; i++)
        out += text;
    return out;
}

// Values of the wrong type, out of range or nested too deep, for a field of an answer.
const std::vector<std::string> oddValues { "\"x\"", "7", "-1", "1e300", "1e999", "99999999999999999999",
    "true", "null", "[]", "{}", "[1]", "{\"a\":1}", "\"\xff\"", "\"\\udcff\"",
    repeated("[", 100'000) + repeated("]", 100'000),
    repeated("{\"a\":", 100'000) + "1" + repeated("}", 100'000) };

std::string item(const std::string& key, const std::string& value, int offset)
{
    return json { { "Key", key }, { "Value", encodeBase64(value) }, { "Offset", offset } }.dump();
}

} // namespace

BOOST_AUTO_TEST_CASE(fields_of_the_wrong_type_in_an_answer_do_not_end_the_process)
{
    using platform::store_outcome;
    std::string body;
    int status = 200;
    fake_platform p([&](const http_request&) { return std::pair(status, body); });
    auto inField = [](const std::string& field, const std::string& value) {
        return "{\"" + field + "\":" + value + "}";
    };
    for (const auto& value : oddValues) {
        status = 200;
        body = value;
        BOOST_TEST((p.append().outcome == store_outcome::no_answer));
        BOOST_TEST((p.readNewest().outcome == store_outcome::malformed));
        BOOST_TEST((p.poll() == order_outcome::malformed));
        BOOST_TEST((p.advise() == store_outcome::refused));
        body = inField("Good", value);
        p.advise();
        if (value != "7") {
            body = inField("Offset", value);
            BOOST_TEST((p.append().outcome == store_outcome::no_answer));
            body = inField("End", value);
            BOOST_TEST((p.readNewest().outcome == store_outcome::malformed));
        }
        body = "{\"End\":3,\"items\":" + value + "}";
        p.readNewest();
        body = "{\"End\":3,\"items\":[" + value + "]}";
        p.readNewest();
        body = "{\"End\":3,\"items\":[],\"HasMore\":" + value + "}";
        p.readNewest();
        status = 409;
        body = inField("Reason", value);
        BOOST_TEST((p.start("w") == order_outcome::no_answer));
        body = value;
        BOOST_TEST((p.start("w") == order_outcome::no_answer));
    }
}

BOOST_AUTO_TEST_CASE(an_item_that_cannot_be_read_is_reported_and_the_others_hold)
{
    for (const auto& value : oddValues) {
        std::string odd = R"({"Key":"odd","Offset":1,"Value":)" + value + "}";
        bool unreadableDocument = value == "1e999";
        fake_platform p([&](const http_request&) {
            return std::pair(200,
                "{\"End\":9,\"items\":[" + item("a", "1", 3) + "," + odd + "," + item("b", "2", 4) + "]}");
        });
        auto answer = p.readNewest();
        if (unreadableDocument) {
            BOOST_TEST((answer.outcome == platform::store_outcome::malformed));
            continue;
        }
        BOOST_TEST((answer.outcome == platform::store_outcome::done));
        BOOST_REQUIRE(answer.items.size() == 2);
        BOOST_TEST(answer.items[1].value == "2");
        BOOST_REQUIRE(p.unreadable.size() == 1);
        BOOST_TEST(p.unreadable[0].starts_with("odd Value: "));
    }
}

BOOST_AUTO_TEST_CASE(a_key_that_is_no_unicode_leaves_the_other_items_readable)
{
    for (const std::string key : { "odd\xff\xfe", "odd\\udcff", "odd\\ud800x" }) {
        fake_platform p([&](const http_request&) {
            return std::pair(200,
                "{\"End\":9,\"items\":[" + item("a", "1", 3) + R"(,{"Key":")" + key
                    + R"(","Value":"","Offset":1},)" + item("b\xc3\xb1", "2", 4) + "]}");
        });
        auto answer = p.readNewest();
        BOOST_TEST((answer.outcome == platform::store_outcome::done));
        BOOST_TEST(answer.items.size() == 3u);
    }
}

BOOST_AUTO_TEST_CASE(a_value_that_is_not_base64_is_not_skipped_silently)
{
    for (const char* text : { "abc", "ab=c", "a===", "====", "ab c", "abc ", " abc", "!!!!", "YWJj\n" }) {
        BOOST_TEST(!decodeBase64(text), text);
        fake_platform p([&](const http_request&) {
            json odd { { "Key", "odd" }, { "Value", text }, { "Offset", 1 } };
            return std::pair(200, json { { "End", 9 }, { "items", { odd } } }.dump());
        });
        BOOST_TEST(p.readNewest().items.empty());
        BOOST_TEST(p.unreadable == std::vector<std::string> { "odd Value: must be base64" },
            boost::test_tools::per_element());
    }
    for (int length = 0; length < 70; length++) {
        std::string bytes;
        for (int i = 0; i < length; i++)
            bytes += static_cast<char>(i * 37 + length);
        BOOST_TEST((decodeBase64(encodeBase64(bytes)) == bytes));
    }
}

BOOST_AUTO_TEST_CASE(a_list_that_is_cut_is_not_taken_for_the_whole)
{
    int pages = 0;
    fake_platform p([&](const http_request&) {
        std::string key = "k" + std::to_string(pages++);
        return std::pair(200, "{\"End\":9,\"HasMore\":true,\"items\":[" + item(key, "1", 3) + "]}");
    });
    BOOST_TEST((p.readNewest().outcome == platform::store_outcome::malformed));
    BOOST_TEST(pages == 1000);
    BOOST_REQUIRE(p.unreadable.size() == 1);
    BOOST_TEST(p.unreadable[0] == "k999 the list has no end");
}

BOOST_AUTO_TEST_CASE(a_list_that_repeats_its_page_is_not_read_without_end)
{
    fake_platform p([&](const http_request&) {
        return std::pair(200, "{\"End\":9,\"HasMore\":true,\"items\":[" + item("k", "1", 3) + "]}");
    });
    BOOST_TEST((p.readNewest().outcome == platform::store_outcome::malformed));
    BOOST_TEST(p.requests.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_page_continues_after_any_key)
{
    const std::vector<std::pair<std::string, std::string>> encodedKeys { { "i-7f3a91c2", "i-7f3a91c2" },
        { "a&From=1", "a%26From%3D1" }, { "a b%#", "a%20b%25%23" }, { "a\r\nX: y", "a%0D%0AX%3A%20y" } };
    for (const auto& each : encodedKeys) {
        const std::string& key = each.first;
        fake_platform p([&](const http_request& request) {
            bool first = request.query.find("DependsOn") == std::string::npos;
            return std::pair(200,
                std::string("{\"End\":9,\"HasMore\":") + (first ? "true" : "false") + ",\"items\":["
                    + item(first ? key : "z", "1", 3) + "]}");
        });
        auto answer = p.readNewest();
        BOOST_TEST((answer.outcome == platform::store_outcome::done));
        BOOST_TEST(answer.items.size() == 2u);
        BOOST_REQUIRE(p.requests.size() == 2);
        BOOST_TEST(p.requests[1].query == "Topic=t&part=0&DependsOn=" + each.second);
    }
}

BOOST_AUTO_TEST_CASE(a_record_cut_at_the_start_of_an_answer_is_malformed)
{
    std::string body(16, '\0');
    body += std::string("\0\0\x01\0abc", 7);
    fake_platform p([&](const http_request&) { return std::pair(200, body); });
    BOOST_TEST((p.read().outcome == platform::store_outcome::malformed));
    body.insert(16, std::string("\0\0\0\x01r", 5));
    auto answer = p.read();
    BOOST_TEST((answer.outcome == platform::store_outcome::done));
    BOOST_TEST(answer.nextOffset == 6u);
}

BOOST_AUTO_TEST_CASE(an_order_is_not_sent_without_its_intended_incarnation)
{
    fake_platform p([](const http_request&) { return std::pair(200, std::string("{}")); });
    for (const worker_id& worker : { worker_id("w\r\nA: b"), worker_id("w\n"), worker_id("w\0", 2) })
        BOOST_TEST((p.start(worker) == order_outcome::no_answer));
    BOOST_TEST(p.requests.empty());
    BOOST_TEST((p.start("w") == order_outcome::done));
    BOOST_REQUIRE(p.requests.size() == 1);
    BOOST_TEST(p.requests[0].headers.at("expect-instance") == "w");
}

BOOST_AUTO_TEST_CASE(a_key_of_over_255_bytes_is_not_encoded_as_another)
{
    int broken = 0;
    setInvariantHandler([&](const std::string&) { broken++; });
    BOOST_TEST(
        platform::decodeKeyedRecord(platform::encodeKeyedRecord(std::string(255, 'k'), "v"))->value == "v");
    BOOST_TEST(broken == 0);
    platform::encodeKeyedRecord(std::string(256, 'k'), "v");
    BOOST_TEST(broken == 1);
    setInvariantHandler({});
    fake_platform p([](const http_request&) {
        return std::pair(200, "{\"End\":9,\"items\":[" + item(std::string(256, 'k'), "1", 3) + "]}");
    });
    BOOST_TEST(p.readNewest().items.empty());
    BOOST_TEST(p.unreadable.size() == 1u);
}
