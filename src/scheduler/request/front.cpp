// Callers' requests, the balancer's check, and questions of other instances.
//
// A job is accepted once its record is in the log. What became of it is known to the owner of its cell, which
// is asked when it is another instance. A refusal says "not run" only when the record is surely not in the
// log.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {

    constexpr ms waitDefaultMs = 3000; // How long a caller waits who does not say.
    constexpr double waitShare = 0.93; // Of the caller's time is used before the answer is final.
    constexpr ms askTimeoutMs = 600;
    constexpr ms askAgainMs = 100;
    constexpr ms unreadyMs = 800; // Without the store for so long, and without an instance that has it.
    constexpr ms watchEveryMs = 50; // An eighth of the silence that counts.
    constexpr ms decideAgainMs = 40; // While others may still say whether they have the store.
    constexpr size_t askedAtOnce = 4; // Others, each time; half of another data centre.
    constexpr ms slowStoreMs = 100; // 25 times its usual 4 ms.
    constexpr ms collectMs = 1500; // For a record that is handed to a collector: two appends and some.
    constexpr ms insistEveryMs = 150;
    constexpr int relaysAtMost = 2; // Of one record; each may take most of the caller's time.
    constexpr size_t bodyBytesAtMost = 1 << 20;
    constexpr int64_t idleMs = 60'000;
    constexpr size_t waitingAtMost = 2000; // Records that wait for the log.
    constexpr size_t connectionsToInstance = 4;
    const char* const cancelPrefix = "x";
    const char* const recordPath = "/record/"; // Of another instance; the rest is the key.
    const char* const storePath = "/store";

    bool isId(const std::string& text)
    {
        return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    }

} // namespace

struct front::call {
    http_request request;
    std::shared_ptr<http_reply> reply;
    const platform::route* route = nullptr; // Only until the handler returns.
    std::string queue;
    std::string id;
    std::string key; // Of the record that accepts or cancels the job,
    std::string value; // and what it says.
    ms receivedAt = 0;
    ms deadline = 0;
    bool answered = false;
    bool maybeRecorded = false;
    int relays = 0;
    bool collected = false; // Was handed to a collector.
};

front::front(scheduler_context& context, catalogue_follower& catalogue, instance_directory& directory,
    job_log& jobs, std::vector<std::unique_ptr<cell_host>>& cells)
    : m_context(context)
    , m_catalogue(catalogue)
    , m_directory(directory)
    , m_jobs(jobs)
    , m_cells(cells)
{
}

front::~front() = default;

result<void> front::listen()
{
    http_limits limits { bodyBytesAtMost, idleMs };
    auto open = [&](auto handler) { return std::make_unique<http_server>(m_context.loop, limits, handler); };
    m_callers = open([this](http_request asked, std::shared_ptr<http_reply> reply) {
        onCaller(std::move(asked), std::move(reply));
    });
    m_readiness
        = open([this](const http_request&, std::shared_ptr<http_reply> reply) { onReadiness(reply); });
    m_instances = open(
        [this](const http_request& asked, std::shared_ptr<http_reply> reply) { onInstance(asked, reply); });
    m_context.loop.every(watchEveryMs, [this] { watchStore(); });
    auto [callerHost, callerPort] = platform::splitAddress(m_context.settings.callers);
    BOOST_LEAF_CHECK(m_callers->listen(callerHost, callerPort));
    auto [readyHost, readyPort] = platform::splitAddress(m_context.settings.readiness);
    BOOST_LEAF_CHECK(m_readiness->listen(readyHost, readyPort));
    return m_instances->listen(m_context.settings.address, m_context.settings.internalPort);
}

way_in front::wayIn()
{
    ms now = bootNow();
    m_reach.observe(m_context.store.silentMs(), m_context.store.slowestMs(), now);
    return m_reach.choose(now);
}

// While the store is in trouble, asks some of the others in turn whether they have it.
void front::watchStore()
{
    ms now = bootNow();
    ms silent = m_context.store.silentMs();
    wayIn();
    if (m_reach.troubled() && m_storeLostAt == 0) {
        m_storeLostAt = now - silent;
        m_context.log.writeAlways(log_line("store_lost")
                                      .add("silent_ms", silent)
                                      .add("others", static_cast<int64_t>(m_directory.others().size())));
    } else if (!m_reach.troubled() && m_storeLostAt != 0) {
        m_context.log.writeAlways(log_line("store_back").add("away_ms", now - m_storeLostAt));
        m_storeLostAt = 0;
    }
    if (!m_reach.mustAsk(now))
        return;
    const auto& others = m_directory.others();
    for (size_t i = 0; i < std::min(askedAtOnce, others.size()); i++) {
        const std::string& address = others[m_askedLast++ % others.size()];
        instanceAt(address).call(
            "GET", storePath, {}, {}, store_reach::freshMs, [this, address](const http_response& got) {
                if (got.status != 0)
                    m_reach.onPeer(address, got.status == 200, bootNow());
            });
    }
}

bool front::ready() const
{
    bool reaches = m_context.store.silentMs() < unreadyMs || m_reach.choose(bootNow()) == way_in::peer;
    return !m_leaving && m_catalogue.current() && reaches;
}

void front::onReadiness(const std::shared_ptr<http_reply>& reply)
{
    reply->send(ready() ? 200 : 503, {}, "");
}

int front::cellOf(const job_id& id) const
{
    return static_cast<int>(stableHash(id) % static_cast<uint64_t>(m_cells.size()));
}

http_client& front::instanceAt(const std::string& address)
{
    auto& held = m_others[address];
    if (!held) {
        auto [host, port] = platform::splitAddress(address);
        held = std::make_unique<http_client>(m_context.loop, host, port, connectionsToInstance);
    }
    return *held;
}

void front::answer(const call_ptr& call, int status, const std::string& body, std::string_view why)
{
    if (call->answered)
        return;
    call->answered = true;
    m_open--;
    header_list headers;
    if (!body.empty())
        headers.emplace_back("Content-Type", "application/json");
    if (status == 503 || status == 429) {
        way_in way = wayIn();
        ms now = bootNow();
        int seconds = store_reach::retryAfterS(way, m_reach.troubledFor(now), call->deadline - now);
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    if (m_leaving)
        headers.emplace_back("Connection", "close");
    m_context.counts["answer_" + std::to_string(status)]++;
    if (status != 200 || call->request.method != "GET")
        m_context.log.write(log_line("answer")
                                .add("id", call->id)
                                .add("method", call->request.method)
                                .add("queue", call->queue)
                                .add("status", status)
                                .add("why", why)
                                .add("took_ms", bootNow() - call->receivedAt)
                                .add("store_age_ms", m_context.store.answerAgeMs()));
    call->reply->send(status, headers, body);
}

void front::onCaller(http_request request, std::shared_ptr<http_reply> reply)
{
    auto asked = std::make_shared<call>();
    asked->request = std::move(request);
    asked->reply = std::move(reply);
    asked->receivedAt = bootNow();
    ms wait = platform::timeLeft(asked->request).value_or(waitDefaultMs);
    asked->deadline = asked->receivedAt + static_cast<ms>(static_cast<double>(wait) * waitShare);
    m_open++;
    m_taken++;
    const platform::configuration* current = m_catalogue.current();
    if (!current)
        return answer(asked, 503, "", "no_configuration");
    const std::string* host = asked->request.header("host");
    std::string name = host ? host->substr(0, host->find(':')) : std::string();
    const platform::route* route = m_catalogue.find(name, asked->request.path);
    if (!route)
        return answer(asked, 404, "", "no_such_queue");
    asked->route = route;
    asked->queue = route->queue.name;
    asked->id = asked->request.path.substr(route->prefix.size());
    if (asked->request.oversized
        || (current->maxBodyBytes > 0 && asked->request.body.size() > current->maxBodyBytes))
        return answer(asked, 413, "", "body_too_large");
    const std::string& method = asked->request.method;
    if (method == "GET" && asked->id.empty())
        return tellPending(asked);
    if (!isId(asked->id))
        return answer(asked, 400, "", "malformed_id");
    if (method == "POST")
        return submit(asked);
    if (method == "GET")
        return tellState(asked);
    if (method == "DELETE")
        return cancel(asked);
    answer(asked, 405, "", "method");
}

void front::submit(const call_ptr& call)
{
    auto read = platform::readJob(call->request.body);
    if (auto* fault = std::get_if<std::string>(&read))
        return answer(call, 400, "", *fault);
    if (m_jobs.waiting() >= waitingAtMost)
        return answer(call, 503, "", "log_backlog");
    job_record job { call->queue, unixNow(), std::move(std::get<job_spec>(read)) };
    call->request.body.clear();
    call->request.body.shrink_to_fit();
    call->key = call->id;
    call->value = encodeJob(job);
    record(call);
}

void front::cancel(const call_ptr& call)
{
    call->key = cancelPrefix + call->id;
    call->value = "x";
    record(call);
}

void front::record(const call_ptr& call)
{
    switch (wayIn()) {
    case way_in::log:
        if (auto collector = collectorFor(call)) {
            call->collected = true;
            return relay(call, *collector, collectMs);
        }
        m_jobs.append(
            cellOf(call->id), call->key, call->value, call->deadline, [this, call](job_log::outcome got) {
                call->maybeRecorded |= got == job_log::outcome::unknown;
                if (got == job_log::outcome::accepted)
                    answer(call, 200, "", "recorded");
                else if (wayIn() != way_in::log && bootNow() < call->deadline)
                    record(call);
                else
                    insist(call);
            });
        return;
    case way_in::peer:
        if (call->relays < relaysAtMost) {
            call->relays++;
            return relay(call, m_reach.peer(bootNow()), call->deadline - bootNow());
        }
        return insist(call);
    case way_in::undecided:
        if (bootNow() + decideAgainMs >= call->deadline)
            return refuse(call);
        m_context.loop.after(decideAgainMs, [this, call] { record(call); });
        return;
    case way_in::store_down:
    case way_in::cut_off:
        insist(call);
    }
}

std::optional<std::string> front::collectorFor(const call_ptr& call) const
{
    bool slow = m_context.store.slowestMs() >= slowStoreMs || m_jobs.unanswered();
    return slow && !call->collected ? m_directory.collector(bootNow()) : std::nullopt;
}

void front::relay(const call_ptr& call, const std::string& address, ms timeout)
{
    m_context.counts["relayed"]++;
    ms left = std::clamp<ms>(call->deadline - bootNow(), 1, std::max<ms>(1, timeout));
    instanceAt(address).call("POST", recordPath + call->key, {}, call->value, left,
        [this, call, address](const http_response& got) {
            call->maybeRecorded |= got.status == 0 || got.status == 504;
            if (got.status == 0)
                m_directory.avoid(address, bootNow());
            if (got.status == 200)
                answer(call, 200, "", "recorded_by_" + address);
            else if (bootNow() < call->deadline)
                record(call);
            else
                refuse(call);
        });
}

void front::insist(const call_ptr& call)
{
    bool elsewhere = wayIn() == way_in::cut_off; // Another instance may take it at once.
    if (!call->maybeRecorded || elsewhere || bootNow() + insistEveryMs >= call->deadline)
        return refuse(call);
    m_context.loop.after(insistEveryMs, [this, call] {
        m_jobs.append(
            cellOf(call->id), call->key, call->value, call->deadline, [this, call](job_log::outcome got) {
                if (got == job_log::outcome::accepted)
                    answer(call, 200, "", "recorded");
                else
                    insist(call);
            });
    });
}

// The final answer to what could not be recorded: 503 when it surely never will be.
void front::refuse(const call_ptr& call)
{
    answer(call, call->maybeRecorded ? 504 : 503, "", toString(wayIn()));
}

// The other side of `relay`.
void front::onRelayed(const http_request& asked, const std::shared_ptr<http_reply>& reply)
{
    std::string key = asked.path.substr(std::string(recordPath).size());
    std::string id = key.starts_with(cancelPrefix) ? key.substr(1) : key;
    if (!isId(id) || asked.body.empty())
        return reply->send(400, {}, "");
    if (m_reach.troubled())
        return reply->send(503, {}, "");
    m_jobs.append(
        cellOf(id), key, asked.body, bootNow() + waitDefaultMs / 2, [this, reply, key](job_log::outcome got) {
            bool done = got == job_log::outcome::accepted;
            m_context.log.write(log_line("record_relayed").add("key", key).add("done", done ? 1 : 0));
            reply->send(done ? 200 : got == job_log::outcome::refused ? 503 : 504, {}, "");
        });
}

void front::tellState(const call_ptr& call)
{
    auto give = [this, call](const job_answer& known) {
        if (known.known)
            answer(call, 200, platform::writeState(known.state), "state");
        else
            answer(call, 410, "", "no_such_job");
    };
    if (auto known = cellOfCall(call).stateOf(call->id))
        return give(*known);
    askOwner(call, "/state/" + call->id, &front::tellState, [this, call, give](const http_response& got) {
        if (got.status == 410)
            give({});
        else if (got.status == 200)
            answer(call, 200, got.body, "state_of_owner");
    });
}

void front::tellPending(const call_ptr& call)
{
    if (auto count = cellOfCall(call).pending(call->queue))
        return answer(call, 200, platform::writePending(*count), "pending");
    askOwner(call, "/pending/" + call->queue, &front::tellPending, [this, call](const http_response& got) {
        if (got.status == 200)
            answer(call, 200, got.body, "pending_of_owner");
    });
}

cell_host& front::cellOfCall(const call_ptr& call)
{
    return *m_cells[call->id.empty() ? 0 : static_cast<size_t>(cellOf(call->id))];
}

// Asks the owner of the call's cell, and lets `again` try anew until the caller's time is over. This instance
// may have become the owner itself meanwhile.
void front::askOwner(const call_ptr& call, const std::string& path, void (front::*again)(const call_ptr&),
    std::function<void(const http_response&)> take)
{
    if (call->reply->callerDisconnected())
        return answer(call, 503, "", "caller_gone");
    if (bootNow() + askAgainMs >= call->deadline || wayIn() == way_in::cut_off)
        return answer(call, 503, "", "no_owner");
    auto retry = [this, call, again] {
        m_context.loop.after(askAgainMs, [this, call, again] {
            if (!call->answered)
                (this->*again)(call);
        });
    };
    auto owner = cellOfCall(call).ownerAddress();
    if (!owner)
        return retry();
    instanceAt(*owner).call(
        "GET", path, {}, {}, askTimeoutMs, [call, retry, take = std::move(take)](const http_response& got) {
            take(got);
            if (!call->answered)
                retry();
        });
}

void front::onInstance(const http_request& asked, const std::shared_ptr<http_reply>& reply)
{
    const std::string statePath = "/state/";
    const std::string pendingPath = "/pending/";
    if (asked.path == storePath)
        return reply->send(m_reach.troubled() ? 503 : 200, {}, "");
    if (asked.path.starts_with(recordPath) && asked.method == "POST")
        return onRelayed(asked, reply);
    if (asked.path.starts_with(statePath)) {
        std::string id = asked.path.substr(statePath.size());
        auto known = m_cells[static_cast<size_t>(cellOf(id))]->stateOf(id);
        if (known && !known->known)
            m_context.log.writeAlways(log_line("state_unknown").add("id", id));
        if (!known)
            reply->send(503, {}, "");
        else
            reply->send(known->known ? 200 : 410, {}, known->known ? platform::writeState(known->state) : "");
        return;
    }
    if (asked.path.starts_with(pendingPath)) {
        auto count = m_cells.front()->pending(asked.path.substr(pendingPath.size()));
        reply->send(count ? 200 : 503, {}, count ? platform::writePending(*count) : "");
        return;
    }
    if (asked.path == "/metrics") {
        std::string text;
        for (const auto& [name, value] : m_context.counts)
            text += "camphorwell_" + name + " " + std::to_string(value) + "\n";
        reply->send(200, { { "Content-Type", "text/plain" } }, text);
        return;
    }
    reply->send(404, {}, "");
}

} // namespace camphorwell
