// See store_standin.h.
#include "standins/store_standin.h"

#include "net/connection/encoding.h"

#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr size_t maxNewestItems = 500; // In one answer.
    constexpr ms unlimitedMs = 1LL << 40;
    const std::string keyedPrefix = "keyed.";

    ms nowMs() { return std::chrono::duration_cast<milliseconds>(event_loop::now()).count(); }

    std::map<std::string, std::string> parseQuery(const std::string& query)
    {
        std::map<std::string, std::string> out;
        size_t start = 0;
        while (start < query.size()) {
            size_t end = std::min(query.find('&', start), query.size());
            size_t equals = query.find('=', start);
            if (equals < end)
                out[query.substr(start, equals - start)] = query.substr(equals + 1, end - equals - 1);
            start = end + 1;
        }
        return out;
    }

    std::string encodeBigEndian(uint64_t value, size_t bytes)
    {
        std::string out(8, '\0');
        boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(out.data()), value);
        return out.substr(8 - bytes);
    }

    // Passes the response to a function instead of the caller.
    class intercepted_reply : public http_reply {
    public:
        using handler = std::function<void(int, const std::string&)>;
        intercepted_reply(std::shared_ptr<http_reply> reply, handler onSend)
            : m_reply(std::move(reply))
            , m_onSend(std::move(onSend))
        {
        }
        void send(int status, const header_list&, const std::string& body) override
        {
            m_onSend(status, body);
        }
        bool callerDisconnected() const override { return m_reply->callerDisconnected(); }

    private:
        std::shared_ptr<http_reply> m_reply;
        handler m_onSend;
    };

    std::optional<store_fault_kind> readFaultKind(const std::string& name)
    {
        static const std::map<std::string, store_fault_kind> kinds { { "refused", store_fault_kind::refused },
            { "unanswered", store_fault_kind::unanswered }, { "lost", store_fault_kind::lost },
            { "answered_late", store_fault_kind::answered_late },
            { "done_late", store_fault_kind::done_late } };
        auto found = kinds.find(name);
        return found == kinds.end() ? std::nullopt : std::optional(found->second);
    }

} // namespace

bool store_standin::serve(const http_request& request, const reply_ptr& reply)
{
    if (request.path == "/admin") {
        administer(request, reply);
        return true;
    }
    bool isAppend = request.path == "/log-append";
    if (!isAppend && request.path != "/log-read" && request.path != "/log-newest")
        return false;
    auto fault = takeFault(parseQuery(request.query)["Topic"], isAppend);
    if (!fault) {
        perform(request, reply);
        return true;
    }
    switch (fault->kind) {
    case store_fault_kind::refused:
        reply->send(503, {}, "");
        break;
    case store_fault_kind::unanswered:
        m_unanswered.push_back(reply);
        perform(request, std::make_shared<intercepted_reply>(reply, [](int, const std::string&) {}));
        break;
    case store_fault_kind::lost:
        m_unanswered.push_back(reply);
        break;
    case store_fault_kind::answered_late:
        perform(request,
            std::make_shared<intercepted_reply>(
                reply, [this, reply, delay = fault->delayMs](int status, const std::string& body) {
                    m_delayedCalls.push_back(
                        { nowMs() + delay, [reply, status, body] { reply->send(status, {}, body); } });
                }));
        break;
    case store_fault_kind::done_late:
        m_delayedCalls.push_back(
            { nowMs() + fault->delayMs, [this, request, reply] { perform(request, reply); } });
        break;
    }
    return true;
}

void store_standin::administer(const http_request& request, const reply_ptr& reply)
{
    json order = json::parse(request.body, nullptr, false);
    if (!order.is_object())
        return reply->send(400, {}, "");
    if (order.value("clear_faults", false))
        m_faults.clear();
    m_maxReadBytes = order.value("read_bytes", m_maxReadBytes);
    std::string dropped = order.value("drop_history", std::string());
    for (auto& [name, log] : m_partitions) {
        if (!dropped.empty() && name.starts_with(dropped + "/"))
            log.first = log.records.size();
    }
    answerReads();
    if (order.contains("fault")) {
        auto kind = readFaultKind(order["fault"]);
        if (!kind)
            return reply->send(400, {}, "");
        m_faults.push_back({ *kind, order.value("topic", std::string()), order.value("appends_only", false),
            order.value("calls", int64_t { INT64_MAX }), nowMs() + order.value("for_ms", unlimitedMs),
            order.value("delay_ms", ms { 0 }) });
    }
    reply->send(200, {}, "");
}

std::optional<store_fault> store_standin::takeFault(const std::string& topic, bool isAppend)
{
    m_faults.remove_if(
        [](const store_fault& fault) { return fault.callsLeft <= 0 || fault.until <= nowMs(); });
    for (store_fault& fault : m_faults) {
        if ((!fault.topic.empty() && fault.topic != topic) || (fault.appendsOnly && !isAppend))
            continue;
        fault.callsLeft--;
        return fault;
    }
    return std::nullopt;
}

void store_standin::perform(const http_request& request, const reply_ptr& reply)
{
    if (request.path == "/log-append")
        append(request, reply);
    else if (request.path == "/log-read")
        read(request, reply);
    else
        readNewestByKey(request, reply);
}

store_standin::partition& store_standin::partitionOf(parameters& query)
{
    return m_partitions[query["Topic"] + "/" + query["part"]];
}

void store_standin::append(const http_request& request, const reply_ptr& reply)
{
    auto query = parseQuery(request.query);
    partition& log = partitionOf(query);
    uint64_t end = log.records.size();
    if (query.contains("At") && std::stoull(query["At"]) != end)
        return reply->send(412, {}, json { { "End", end } }.dump());
    if (query.contains("Producer")) {
        producer& state = log.producers[query["Producer"]];
        uint64_t epoch = std::stoull(query["epoch"]);
        uint64_t sequence = std::stoull(query["Sequence"]);
        if (epoch < state.epoch)
            return reply->send(409, {}, json { { "Reason", "fenced" } }.dump());
        if (epoch == state.epoch && !request.body.empty()) {
            if (sequence == state.sequence && !state.answer.empty())
                return reply->send(200, {}, state.answer);
            if (sequence != state.sequence + 1)
                return reply->send(409, {}, json { { "Reason", "seq" } }.dump());
        }
        // A late repetition of the call that set the epoch leaves the sequence as it is.
        if (epoch > state.epoch || !request.body.empty())
            state.sequence = sequence;
        state.epoch = epoch;
    }
    size_t position = 0;
    while (position + 4 <= request.body.size()) {
        size_t length = boost::endian::load_big_u32(
            reinterpret_cast<const unsigned char*>(request.body.data() + position));
        put(query["Topic"], log, request.body.substr(position + 4, length));
        position += 4 + length;
    }
    std::string answer = json { { "Offset", end }, { "End", log.records.size() } }.dump();
    if (query.contains("Producer"))
        log.producers[query["Producer"]].answer = answer;
    reply->send(200, {}, answer);
    answerReads();
}

void store_standin::read(const http_request& request, const reply_ptr& reply)
{
    auto query = parseQuery(request.query);
    ms wait = query.contains("WaitMs") ? std::stoll(query["WaitMs"]) : 0;
    m_waitingReads.push_back(
        { query["Topic"] + "/" + query["part"], std::stoull(query["From"]), nowMs() + wait, reply });
    answerReads();
}

void store_standin::readNewestByKey(const http_request& request, const reply_ptr& reply)
{
    auto query = parseQuery(request.query);
    partition& log = partitionOf(query);
    json items = json::array();
    auto next = query.contains("DependsOn") ? log.newest.upper_bound(query["DependsOn"]) : log.newest.begin();
    for (; next != log.newest.end() && items.size() < maxNewestItems; ++next)
        items.push_back({ { "Key", next->first }, { "Value", encodeBase64(next->second.second) },
            { "Offset", next->second.first } });
    json body { { "items", items }, { "HasMore", next != log.newest.end() }, { "End", log.records.size() } };
    // Keys may be any bytes.
    reply->send(200, {}, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void store_standin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    put(topic, m_partitions[topic + "/0"], platform::encodeKeyedRecord(key, value));
    answerReads();
}

void store_standin::put(const std::string& topic, partition& log, std::string record)
{
    if (topic.starts_with(keyedPrefix)) {
        if (auto item = platform::decodeKeyedRecord(record)) {
            if (item->value.empty())
                log.newest.erase(item->key);
            else
                log.newest[item->key] = { log.records.size(), item->value };
        }
    }
    log.records.push_back(std::move(record));
}

// Returns at least one record, and further ones within the bound.
void store_standin::answerRead(const partition& log, uint64_t from, const reply_ptr& reply) const
{
    if (from < log.first)
        return reply->send(410, {}, json { { "First", log.first } }.dump());
    std::string body = encodeBigEndian(log.records.size(), 8) + encodeBigEndian(log.first, 8);
    size_t headerBytes = body.size();
    for (size_t i = from; i < log.records.size(); i++) {
        const std::string& record = log.records[i];
        if (i > from && body.size() - headerBytes + 4 + record.size() > m_maxReadBytes)
            break;
        body += encodeBigEndian(record.size(), 4) + record;
    }
    reply->send(200, {}, body);
}

void store_standin::answerReads()
{
    for (auto it = m_waitingReads.begin(); it != m_waitingReads.end();) {
        const partition& log = m_partitions[it->partitionKey];
        if (it->from >= log.first && log.records.size() <= it->from && nowMs() < it->deadline) {
            ++it;
            continue;
        }
        answerRead(log, it->from, it->reply);
        it = m_waitingReads.erase(it);
    }
}

void store_standin::tick()
{
    ms now = nowMs();
    std::list<delayed_call> due;
    for (auto it = m_delayedCalls.begin(); it != m_delayedCalls.end();) {
        auto next = std::next(it);
        if (it->due <= now)
            due.splice(due.end(), m_delayedCalls, it);
        it = next;
    }
    for (const delayed_call& call : due)
        call.run();
    m_unanswered.remove_if([](const reply_ptr& reply) { return reply->callerDisconnected(); });
    answerReads();
}

} // namespace camphorwell
