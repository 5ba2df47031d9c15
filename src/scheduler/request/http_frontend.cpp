// Serves callers' requests, the load balancer's readiness check and requests of other instances.
//
// A job is accepted once its record is in the log. Its state is known to the leader of its cell, which is
// queried when it is another instance. A job is answered as not run only when its record is certainly not in
// the log.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {

    constexpr ms defaultWaitMs = 3000; // Used when the caller states no time.
    constexpr double answerTimeShare = 0.93; // The final answer is due after this share of the caller's wait.
    constexpr ms leaderQueryTimeoutMs = 600;
    constexpr ms leaderRetryMs = 100;
    // The instance is not ready when the store has been silent for this long and no peer reaches it.
    constexpr ms unreadySilenceMs = 800;
    constexpr ms storeCheckPeriodMs = 50; // An eighth of the lowest silence threshold.
    constexpr ms undecidedRetryMs = 40;
    constexpr size_t probesPerRound = 4; // Half of them go to other data centres.
    constexpr ms slowAnswerMs = 100; // 25 times the store's usual 4 ms.
    constexpr ms aggregatorTimeoutMs = 1500; // The append in flight there, the record's own, and a margin.
    constexpr ms appendRetryMs = 150;
    // Maximum number of forwards of a record, since each may use most of the caller's time.
    constexpr int maxForwards = 2;
    constexpr size_t maxRequestBytes = 1 << 20;
    constexpr int64_t connectionIdleMs = 60'000;
    constexpr size_t maxQueuedRecords = 2000; // While more records wait, jobs are refused with 503.
    constexpr size_t connectionsPerPeer = 4;
    const char* const cancelPrefix = "x";
    const char* const recordPath = "/record/"; // Path prefix of forwarded records, before the record's key.
    const char* const storePath = "/store";

    bool isId(const std::string& text)
    {
        return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
    }

} // namespace

// A caller's request until it is answered.
struct http_frontend::call {
    http_request request;
    std::shared_ptr<http_reply> reply;
    const platform::route* route = nullptr; // Valid only until onCallerRequest returns.
    std::string queue;
    std::string id;
    std::string recordKey; // Key of the record that accepts or cancels the job.
    std::string recordValue;
    ms receivedAt = 0;
    ms deadline = 0; // When the final answer is due.
    bool answered = false;
    bool maybeRecorded = false; // An append or a forward got no definite answer.
    int forwards = 0; // Forwards so far, not counting those to an aggregator.
    bool sentToAggregator = false;
};

http_frontend::http_frontend(scheduler_context& context, catalogue_follower& catalogue,
    instance_directory& directory, job_log& jobs, std::vector<std::unique_ptr<cell_host>>& cells)
    : m_context(context)
    , m_catalogue(catalogue)
    , m_directory(directory)
    , m_jobLog(jobs)
    , m_cells(cells)
{
}

http_frontend::~http_frontend() = default;

result<void> http_frontend::listen()
{
    http_limits limits { maxRequestBytes, connectionIdleMs };
    auto makeServer
        = [&](auto handler) { return std::make_unique<http_server>(m_context.loop, limits, handler); };
    m_callerServer = makeServer([this](http_request request, std::shared_ptr<http_reply> reply) {
        onCallerRequest(std::move(request), std::move(reply));
    });
    m_readinessServer
        = makeServer([this](const http_request&, std::shared_ptr<http_reply> reply) { onReadiness(reply); });
    m_peerServer = makeServer([this](const http_request& request, std::shared_ptr<http_reply> reply) {
        onPeerRequest(request, reply);
    });
    m_context.loop.every(storeCheckPeriodMs, [this] { watchStore(); });
    auto [callerHost, callerPort] = platform::splitAddress(m_context.settings.callers);
    BOOST_LEAF_CHECK(m_callerServer->listen(callerHost, callerPort));
    auto [readyHost, readyPort] = platform::splitAddress(m_context.settings.readiness);
    BOOST_LEAF_CHECK(m_readinessServer->listen(readyHost, readyPort));
    return m_peerServer->listen(m_context.settings.address, m_context.settings.internalPort);
}

store_route http_frontend::storeRoute()
{
    ms now = bootNow();
    m_reachability.observe(m_context.store.unresponsiveMs(), m_context.store.recentMaxLatencyMs(), now);
    return m_reachability.chooseRoute(now);
}

// Logs when the store falls silent or answers again. While it is silent, probes some of the peers in turn.
void http_frontend::watchStore()
{
    ms now = bootNow();
    ms silent = m_context.store.unresponsiveMs();
    storeRoute();
    if (m_reachability.storeSilent() && m_storeLostAt == 0) {
        m_storeLostAt = now - silent;
        m_context.log.writeAlways(log_line("store_lost")
                                      .add("silent_ms", silent)
                                      .add("others", static_cast<int64_t>(m_directory.others().size())));
    } else if (!m_reachability.storeSilent() && m_storeLostAt != 0) {
        m_context.log.writeAlways(log_line("store_back").add("away_ms", now - m_storeLostAt));
        m_storeLostAt = 0;
    }
    if (!m_reachability.shouldProbePeers(now))
        return;
    const auto& others = m_directory.others();
    for (size_t i = 0; i < std::min(probesPerRound, others.size()); i++) {
        const std::string& address = others[m_nextProbe++ % others.size()];
        peerClient(address).call("GET", storePath, {}, {}, store_reachability::probeValidMs,
            [this, address](const http_response& response) {
                if (response.status != 0)
                    m_reachability.onProbeAnswer(address, response.status == 200, bootNow());
            });
    }
}

bool http_frontend::ready() const
{
    bool storeReachable = m_context.store.unresponsiveMs() < unreadySilenceMs
        || m_reachability.chooseRoute(bootNow()) == store_route::peer;
    return !m_draining && m_catalogue.current() && storeReachable;
}

void http_frontend::onReadiness(const std::shared_ptr<http_reply>& reply)
{
    reply->send(ready() ? 200 : 503, {}, "");
}

int http_frontend::cellOf(const job_id& id) const
{
    return static_cast<int>(stableHash(id) % static_cast<uint64_t>(m_cells.size()));
}

http_client& http_frontend::peerClient(const std::string& address)
{
    auto& client = m_peerClients[address];
    if (!client) {
        auto [host, port] = platform::splitAddress(address);
        client = std::make_unique<http_client>(m_context.loop, host, port, connectionsPerPeer);
    }
    return *client;
}

void http_frontend::answer(const call_ptr& call, int status, const std::string& body, std::string_view why)
{
    if (call->answered)
        return;
    call->answered = true;
    m_openCalls--;
    header_list headers;
    if (!body.empty())
        headers.emplace_back("Content-Type", "application/json");
    if (status == 503 || status == 429) {
        store_route route = storeRoute();
        ms now = bootNow();
        int seconds = store_reachability::retryAfterSeconds(
            route, m_reachability.silentFor(now), call->deadline - now);
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    if (m_draining)
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

void http_frontend::onCallerRequest(http_request request, std::shared_ptr<http_reply> reply)
{
    auto received = std::make_shared<call>();
    received->request = std::move(request);
    received->reply = std::move(reply);
    received->receivedAt = bootNow();
    ms wait = platform::timeLeft(received->request).value_or(defaultWaitMs);
    received->deadline = received->receivedAt + static_cast<ms>(static_cast<double>(wait) * answerTimeShare);
    m_openCalls++;
    m_receivedCalls++;
    const platform::configuration* current = m_catalogue.current();
    if (!current)
        return answer(received, 503, "", "no_configuration");
    const std::string* host = received->request.header("host");
    std::string hostName = host ? host->substr(0, host->find(':')) : std::string();
    const platform::route* route = m_catalogue.findRoute(hostName, received->request.path);
    if (!route)
        return answer(received, 404, "", "no_such_queue");
    received->route = route;
    received->queue = route->queue.name;
    received->id = received->request.path.substr(route->prefix.size());
    if (received->request.oversized
        || (current->maxBodyBytes > 0 && received->request.body.size() > current->maxBodyBytes))
        return answer(received, 413, "", "body_too_large");
    const std::string& method = received->request.method;
    if (method == "GET" && received->id.empty())
        return answerPending(received);
    if (!isId(received->id))
        return answer(received, 400, "", "malformed_id");
    if (method == "POST")
        return submit(received);
    if (method == "GET")
        return answerState(received);
    if (method == "DELETE")
        return cancel(received);
    answer(received, 405, "", "method");
}

void http_frontend::submit(const call_ptr& call)
{
    auto read = platform::readJob(call->request.body);
    if (auto* fault = std::get_if<std::string>(&read))
        return answer(call, 400, "", *fault);
    if (m_jobLog.queuedRecords() >= maxQueuedRecords)
        return answer(call, 503, "", "log_backlog");
    job_record job { call->queue, unixNow(), std::move(std::get<job_spec>(read)) };
    call->request.body.clear();
    call->request.body.shrink_to_fit();
    call->recordKey = call->id;
    call->recordValue = encodeJob(job);
    if (platform::encodeKeyedRecord(call->recordKey, call->recordValue).size()
        > m_context.settings.cell.maxRecordBytes)
        return answer(call, 413, "", "job_too_large");
    persist(call);
}

void http_frontend::cancel(const call_ptr& call)
{
    call->recordKey = cancelPrefix + call->id;
    call->recordValue = "x";
    persist(call);
}

void http_frontend::persist(const call_ptr& call)
{
    switch (storeRoute()) {
    case store_route::log:
        if (auto aggregator = aggregatorFor(call)) {
            call->sentToAggregator = true;
            ms append = m_context.settings.store.appendDurationMs(call->recordValue.size());
            return forward(call, *aggregator, aggregatorTimeoutMs + 2 * append);
        }
        m_jobLog.append(cellOf(call->id), call->recordKey, call->recordValue, call->deadline,
            [this, call](job_log::outcome outcome) {
                call->maybeRecorded |= outcome == job_log::outcome::unknown;
                if (outcome == job_log::outcome::accepted)
                    answer(call, 200, "", "recorded");
                else if (storeRoute() != store_route::log && bootNow() < call->deadline)
                    persist(call);
                else
                    retryAppend(call);
            });
        return;
    case store_route::peer:
        if (call->forwards < maxForwards) {
            call->forwards++;
            return forward(call, m_reachability.peerWithStore(bootNow()), call->deadline - bootNow());
        }
        return retryAppend(call);
    case store_route::undecided:
        if (bootNow() + undecidedRetryMs >= call->deadline)
            return answerUnrecorded(call);
        m_context.loop.after(undecidedRetryMs, [this, call] { persist(call); });
        return;
    case store_route::store_down:
    case store_route::cut_off:
        retryAppend(call);
    }
}

std::optional<std::string> http_frontend::aggregatorFor(const call_ptr& call) const
{
    bool slow = m_context.store.recentMaxLatencyMs() >= slowAnswerMs || m_jobLog.lastAppendUnanswered();
    return slow && !call->sentToAggregator ? m_directory.aggregator(bootNow()) : std::nullopt;
}

void http_frontend::forward(const call_ptr& call, const std::string& address, ms timeout)
{
    m_context.counts["relayed"]++;
    ms timeLeft = std::clamp<ms>(call->deadline - bootNow(), 1, std::max<ms>(1, timeout));
    peerClient(address).call("POST", recordPath + call->recordKey, {}, call->recordValue, timeLeft,
        [this, call, address](const http_response& response) {
            call->maybeRecorded |= response.status == 0 || response.status == 504;
            if (response.status == 0)
                m_directory.excludeAggregator(address, bootNow());
            if (response.status == 200)
                answer(call, 200, "", "recorded_by_" + address);
            else if (bootNow() < call->deadline)
                persist(call);
            else
                answerUnrecorded(call);
        });
}

void http_frontend::retryAppend(const call_ptr& call)
{
    bool cutOff = storeRoute() == store_route::cut_off; // The caller should try another instance at once.
    if (!call->maybeRecorded || cutOff || bootNow() + appendRetryMs >= call->deadline)
        return answerUnrecorded(call);
    m_context.loop.after(appendRetryMs, [this, call] {
        m_jobLog.append(cellOf(call->id), call->recordKey, call->recordValue, call->deadline,
            [this, call](job_log::outcome outcome) {
                if (outcome == job_log::outcome::accepted)
                    answer(call, 200, "", "recorded");
                else
                    retryAppend(call);
            });
    });
}

// Final answer to a call whose record was not confirmed: 503 when the record is certainly not in the log and
// never will be, else 504.
void http_frontend::answerUnrecorded(const call_ptr& call)
{
    answer(call, call->maybeRecorded ? 504 : 503, "", toString(storeRoute()));
}

// Handles a record that another instance sent with `forward`.
void http_frontend::onForwardedRecord(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    std::string key = request.path.substr(std::string(recordPath).size());
    std::string id = key.starts_with(cancelPrefix) ? key.substr(1) : key;
    if (!isId(id) || request.body.empty())
        return reply->send(400, {}, "");
    if (m_reachability.storeSilent())
        return reply->send(503, {}, "");
    m_jobLog.append(cellOf(id), key, request.body, bootNow() + defaultWaitMs / 2,
        [this, reply, key](job_log::outcome outcome) {
            bool done = outcome == job_log::outcome::accepted;
            m_context.log.write(log_line("record_relayed").add("key", key).add("done", done ? 1 : 0));
            reply->send(done ? 200 : outcome == job_log::outcome::refused ? 503 : 504, {}, "");
        });
}

void http_frontend::answerState(const call_ptr& call)
{
    auto answerLookup = [this, call](const job_lookup& lookup) {
        if (lookup.found)
            answer(call, 200, platform::writeState(lookup.state), "state");
        else
            answer(call, 410, "", "no_such_job");
    };
    if (auto lookup = cellOfCall(call).stateOf(call->id))
        return answerLookup(*lookup);
    queryLeader(call, "/state/" + call->id, &http_frontend::answerState,
        [this, call, answerLookup](const http_response& response) {
            if (response.status == 410)
                answerLookup({});
            else if (response.status == 200)
                answer(call, 200, response.body, "state_of_owner");
        });
}

void http_frontend::answerPending(const call_ptr& call)
{
    if (auto count = cellOfCall(call).pending(call->queue))
        return answer(call, 200, platform::writePending(*count), "pending");
    queryLeader(call, "/pending/" + call->queue, &http_frontend::answerPending,
        [this, call](const http_response& response) {
            if (response.status == 200)
                answer(call, 200, response.body, "pending_of_owner");
        });
}

cell_host& http_frontend::cellOfCall(const call_ptr& call)
{
    return *m_cells[call->id.empty() ? 0 : static_cast<size_t>(cellOf(call->id))];
}

// Queries the leader of the call's cell. If `onAnswer` does not answer the call, `retryCall` runs after a
// pause, until the call's deadline; this instance may have become the leader by then.
void http_frontend::queryLeader(const call_ptr& call, const std::string& path,
    void (http_frontend::*retryCall)(const call_ptr&), std::function<void(const http_response&)> onAnswer)
{
    if (call->reply->callerDisconnected())
        return answer(call, 503, "", "caller_gone");
    if (bootNow() + leaderRetryMs >= call->deadline || storeRoute() == store_route::cut_off)
        return answer(call, 503, "", "no_owner");
    auto retry = [this, call, retryCall] {
        m_context.loop.after(leaderRetryMs, [this, call, retryCall] {
            if (!call->answered)
                (this->*retryCall)(call);
        });
    };
    auto leader = cellOfCall(call).leaderAddress();
    if (!leader)
        return retry();
    peerClient(*leader).call("GET", path, {}, {}, leaderQueryTimeoutMs,
        [call, retry, onAnswer = std::move(onAnswer)](const http_response& response) {
            onAnswer(response);
            if (!call->answered)
                retry();
        });
}

void http_frontend::onPeerRequest(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
    const std::string statePath = "/state/";
    const std::string pendingPath = "/pending/";
    if (request.path == storePath)
        return reply->send(m_reachability.storeSilent() ? 503 : 200, {}, "");
    if (request.path.starts_with(recordPath) && request.method == "POST")
        return onForwardedRecord(request, reply);
    if (request.path.starts_with(statePath)) {
        std::string id = request.path.substr(statePath.size());
        auto lookup = m_cells[static_cast<size_t>(cellOf(id))]->stateOf(id);
        if (lookup && !lookup->found)
            m_context.log.writeAlways(log_line("state_unknown").add("id", id));
        if (!lookup)
            reply->send(503, {}, "");
        else
            reply->send(
                lookup->found ? 200 : 410, {}, lookup->found ? platform::writeState(lookup->state) : "");
        return;
    }
    if (request.path.starts_with(pendingPath)) {
        auto count = m_cells.front()->pending(request.path.substr(pendingPath.size()));
        reply->send(count ? 200 : 503, {}, count ? platform::writePending(*count) : "");
        return;
    }
    if (request.path == "/metrics") {
        std::string text;
        for (const auto& [name, value] : m_context.counts)
            text += "camphorwell_" + name + " " + std::to_string(value) + "\n";
        reply->send(200, { { "Content-Type", "text/plain" } }, text);
        return;
    }
    reply->send(404, {}, "");
}

} // namespace camphorwell
