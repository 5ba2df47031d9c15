// A store and workers on loopback for tests of a leader. The store keeps its topics in memory; a test can
// answer any request itself before the store does.
#pragma once

#include "platform/platform.h"

#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace camphorwell::testing {

using reply_ptr = std::shared_ptr<http_reply>;

// Parameters of a query.
inline std::map<std::string, std::string> queryOf(const http_request& request)
{
    std::map<std::string, std::string> out;
    size_t start = 0;
    while (start < request.query.size()) {
        size_t end = std::min(request.query.find('&', start), request.query.size());
        size_t equals = request.query.find('=', start);
        if (equals < end)
            out[request.query.substr(start, equals - start)]
                = request.query.substr(equals + 1, end - equals - 1);
        start = end + 1;
    }
    return out;
}

inline std::string bigEndian(uint64_t value, size_t bytes)
{
    std::string out(8, '\0');
    boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(out.data()), value);
    return out.substr(8 - bytes);
}

inline std::string base64(const std::string& bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    out.resize(static_cast<size_t>(length));
    return out;
}

// The body of an answer to a read: the end, the first offset, and the records.
inline std::string readBody(uint64_t end, const std::vector<std::string>& records)
{
    std::string body = bigEndian(end, 8) + bigEndian(0, 8);
    for (const auto& record : records)
        body += bigEndian(record.size(), 4) + record;
    return body;
}

struct log_store {
    log_store(event_loop& eventLoop, uint16_t port)
        : loop(eventLoop)
        , server(loop, { maxBodyBytes }, [this](const http_request& request, const reply_ptr& reply) {
            if (!intercept || !intercept(request, reply))
                serve(request, reply);
        })
    {
        listening = static_cast<bool>(server.listen("127.0.0.1", port));
    }

    static constexpr size_t maxBodyBytes = 4 << 20;
    static constexpr ms readWaitMs = 20; // Interval between answers to a reader that has read everything.

    void serve(const http_request& request, const reply_ptr& reply)
    {
        auto query = queryOf(request);
        auto& records = topics[query["Topic"]];
        if (request.path == "/log-append") {
            append(request, query, reply);
        } else if (request.path == "/log-read") {
            size_t from = std::stoul(query["From"]);
            if (from < records.size())
                reply->send(200, {},
                    readBody(records.size(), { records.begin() + static_cast<long>(from), records.end() }));
            else
                loop.after(
                    readWaitMs, [reply, end = records.size()] { reply->send(200, {}, readBody(end, {})); });
        } else {
            reply->send(200, {}, newestBody(records));
        }
    }

    void append(
        const http_request& request, std::map<std::string, std::string>& query, const reply_ptr& reply)
    {
        auto& records = topics[query["Topic"]];
        size_t end = records.size();
        if (query.contains("At") && std::stoul(query["At"]) != end) {
            reply->send(412, {}, "{}");
            return;
        }
        for (size_t position = 0; position + 4 <= request.body.size();) {
            size_t length = boost::endian::load_big_u32(
                reinterpret_cast<const unsigned char*>(request.body.data() + position));
            records.push_back(request.body.substr(position + 4, length));
            position += 4 + length;
        }
        reply->send(200, {}, nlohmann::json { { "Offset", end }, { "End", records.size() } }.dump());
    }

    static std::string newestBody(const std::vector<std::string>& records)
    {
        std::map<std::string, nlohmann::json> newest;
        for (size_t i = 0; i < records.size(); i++) {
            auto item = platform::decodeKeyedRecord(records[i]);
            newest[item->key] = { { "Key", item->key }, { "Value", base64(item->value) }, { "Offset", i } };
            if (item->value.empty())
                newest.erase(item->key);
        }
        nlohmann::json items = nlohmann::json::array();
        for (const auto& [key, item] : newest)
            items.push_back(item);
        return nlohmann::json { { "items", items }, { "HasMore", false }, { "End", records.size() } }.dump();
    }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        topics[topic].push_back(platform::encodeKeyedRecord(key, value));
    }
    // Lists a worker of `cores` cores that listens on loopback.
    void putWorker(const worker_id& id, uint16_t port, int64_t startedUnixMs, int cores = 8)
    {
        nlohmann::json capacity { { "Cpu", 1000 * cores }, { "MemMb", 16'000 } };
        put(platform::workerTopic, id,
            nlohmann::json { { "Service", "service" }, { "Address", "127.0.0.1:" + std::to_string(port) },
                { "Zone", "z" }, { "State", "ready" }, { "Capacity", capacity }, { "born", startedUnixMs } }
                .dump());
    }

    event_loop& loop;
    std::map<std::string, std::vector<std::string>> topics;
    // Answers the request and returns true, or returns false to let the store answer.
    std::function<bool(const http_request&, const reply_ptr&)> intercept;
    http_server server;
    bool listening = false;
};

// A worker that runs every task it is told to, without end.
struct loopback_worker {
    loopback_worker(event_loop& eventLoop, uint16_t port, int64_t startedUnixMs)
        : loop(eventLoop)
        , server(loop, {}, [this, startedUnixMs](const http_request& request, const reply_ptr& reply) {
            auto body = nlohmann::json::parse(request.body, nullptr, false);
            starts += request.path == "/run-start";
            polls += request.path == "/hold";
            if (request.path == "/run-start")
                running.push_back(nlohmann::json::array({ body["Task"], body["Run"], "", 1 }));
            nlohmann::json answer { { "ClockMs", bootClock() }, { "born", startedUnixMs },
                { "Running", running }, { "Finished", nlohmann::json::array() } };
            loop.after(pollMs, [reply, text = answer.dump()] { reply->send(200, {}, text); });
        })
    {
        listening = static_cast<bool>(server.listen("127.0.0.1", port));
    }

    static constexpr ms pollMs = 20;
    static ms bootClock()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(event_loop::now()).count();
    }

    event_loop& loop;
    std::atomic<int> starts = 0;
    std::atomic<int> polls = 0;
    nlohmann::json running = nlohmann::json::array();
    http_server server;
    bool listening = false;
};

} // namespace camphorwell::testing
