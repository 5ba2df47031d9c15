// See world.h.
#include "tests/sim/world.h"

#include "tests/sim/observer.h"

#include <algorithm>
#include <map>
#include <random>

namespace camphorwell::sim {

namespace {

    constexpr int64_t tickMs = 50;
    constexpr int64_t listIntervalMs = 500;
    constexpr int64_t listLagMs = 1500;
    constexpr int64_t callTimeoutMs = 1000;
    // Time from the durability of an append to its answer.
    constexpr int64_t minAppendAnswerUs = 500;
    constexpr int64_t maxAppendAnswerUs = 3000;
    constexpr int64_t retentionMs = 60'000;
    constexpr double maxDrift = 0.015; // Largest relative error of a clock's rate.

    using event_callback = std::function<void()>;

    struct sim_worker {
        std::unique_ptr<worker_model> model;
        std::string dataCentre;
        bool up = true;
        bool leaving = false;
        instant leavingSince { 0 };
        instant lastUp { 0 };
        double rate = 1.0;
        uint64_t epoch = 0;
        std::map<std::pair<work_id, uint64_t>, std::vector<std::function<void(const worker_answer&)>>>
            waiting;
    };

    struct sim_node {
        node_options options;
        std::unique_ptr<node> core;
        bool up = false;
        bool leaving = false;
        instant pausedUntil { 0 };
        double rate = 1.0;
        instant offset { 0 };
        uint64_t epoch = 0;
        std::vector<event> deferredEvents; // Arrived during a pause; delivered after it.
        int64_t catalogueNext = 0;
    };

    struct caller {
        request_record record;
        instance_id instance;
        uint64_t ticket = 0;
    };

} // namespace

class world {
public:
    explicit world(const world_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_log(retentionMs)
    {
        setInvariantHandler([](const std::string& text) { throw std::runtime_error(text); });
        build();
    }

    world_report run()
    {
        instant disturbedEnd = milliseconds(m_options.faultPhaseMs);
        instant end = disturbedEnd + milliseconds(m_options.recoveryPhaseMs);
        after(1000, [this] { seedCatalogue(); });
        after(4000, [this] { scheduleRequest(); });
        after(6000, [this] { scheduleFault(); });
        after(5000, [this] { scheduleOperator(); });
        at(disturbedEnd, [this] { clearFaults(); });
        try {
            while (!m_queue.empty() && m_queue.begin()->first <= end) {
                auto next = m_queue.begin();
                m_now = next->first;
                event_callback what = std::move(next->second);
                m_queue.erase(next);
                m_report.events++;
                what();
            }
        } catch (const std::runtime_error& error) {
            // The final checks are meaningless after an aborted run.
            m_report.violations.push_back({ "invariant", error.what() });
            setInvariantHandler(nullptr);
            return m_report;
        }
        finish();
        setInvariantHandler(nullptr);
        return m_report;
    }

private:
    // ---- Time and randomness ----
    void at(instant when, event_callback what) { m_queue.emplace(when, std::move(what)); }
    void after(int64_t ms, event_callback what) { at(m_now + milliseconds(ms), std::move(what)); }
    void afterUs(int64_t us, event_callback what) { at(m_now + instant(us), std::move(what)); }
    int64_t uniform(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(m_random);
    }
    bool withProbability(double p) { return std::uniform_real_distribution<double>(0, 1)(m_random) < p; }
    bool inFaultPhase() const { return m_now < milliseconds(m_options.faultPhaseMs); }

    // ---- Setup ----
    std::string centreName(int i) const { return i == 0 ? "north" : "south"; }

    void build()
    {
        std::map<std::string, std::vector<instance_id>> all;
        for (int d = 0; d < m_options.dataCentres; d++) {
            for (int i = 0; i < m_options.nodesPerCentre; i++)
                all[centreName(d)].push_back(centreName(d) + "-" + std::to_string(i));
        }
        for (const auto& [centre, names] : all) {
            for (const auto& name : names)
                buildNode(name, centre, all);
            for (int i = 0; i < m_options.workersPerCentre; i++)
                buildWorker(centre + "-w" + std::to_string(i), centre);
        }
        for (auto& [name, n] : m_nodes)
            startNode(name);
    }

    void buildNode(const std::string& name, const std::string& centre,
        const std::map<std::string, std::vector<instance_id>>& all)
    {
        sim_node& n = m_nodes[name];
        n.options.self.id = name;
        n.options.dataCentre = centre;
        for (const auto& peer : all.at(centre)) {
            if (peer != name)
                n.options.peers.push_back(peer);
        }
        for (const auto& [other, names] : all) {
            if (other != centre)
                n.options.remote[other] = names;
        }
        n.options.logRetentionMs = retentionMs;
        n.options.resultRetentionMs = retentionMs / 4;
        n.options.listDropMs = 4000;
        n.options.injectedFault = m_options.deliberate;
        if (m_options.drift)
            n.rate = 1.0 + maxDrift * static_cast<double>(uniform(-1000, 1000)) / 1000;
    }

    void buildWorker(const std::string& name, const std::string& centre)
    {
        sim_worker& w = m_workers[name];
        w.dataCentre = centre;
        w.model = std::make_unique<worker_model>(name, resources { 4000, 8000, 0, 4 });
        if (m_options.drift)
            w.rate = 1.0 + maxDrift * static_cast<double>(uniform(-1000, 1000)) / 1000;
    }

    void startNode(const std::string& name)
    {
        sim_node& n = m_nodes[name];
        n.epoch++;
        n.options.self.incarnation = n.epoch;
        n.core = std::make_unique<node>(n.options, m_random());
        n.up = true;
        n.leaving = false;
        n.deferredEvents.clear();
        n.pausedUntil = instant(0);
        n.offset = instant(uniform(0, 1'000'000'000));
        n.catalogueNext = 0;
        uint64_t epoch = n.epoch;
        afterUs(uniform(0, tickMs * 1000), [this, name, epoch] { tickNode(name, epoch); });
        afterUs(uniform(0, listIntervalMs * 1000), [this, name, epoch] { listNode(name, epoch); });
    }

    instant localTime(const sim_node& n) const
    {
        return n.offset + instant(static_cast<int64_t>(static_cast<double>(m_now.count()) * n.rate));
    }
    instant workerTime(const sim_worker& w) const
    {
        return instant(static_cast<int64_t>(static_cast<double>(m_now.count()) * w.rate));
    }
    instant trueTime(const sim_worker& w, instant local) const
    {
        return instant(static_cast<int64_t>(static_cast<double>(local.count()) / w.rate));
    }

    void tickNode(const std::string& name, uint64_t epoch)
    {
        sim_node& n = m_nodes[name];
        if (!n.up || n.epoch != epoch)
            return;
        deliver(name, tick {});
        if (n.leaving && n.core->status().drained)
            finishLeaving(name);
        after(tickMs, [this, name, epoch] { tickNode(name, epoch); });
    }

    void listNode(const std::string& name, uint64_t epoch)
    {
        sim_node& n = m_nodes[name];
        if (!n.up || n.epoch != epoch)
            return;
        platform_list list;
        for (const auto& [id, w] : m_workers) {
            bool listed = w.up || m_now - w.lastUp < milliseconds(listLagMs);
            if (w.dataCentre != n.options.dataCentre || !listed)
                continue;
            bool leaving = w.leaving && m_now - w.leavingSince > milliseconds(listLagMs);
            list.workers.push_back({ id, "r1", leaving });
        }
        if (!m_nodesCutFromPlatform.count(name))
            deliver(name, list);
        after(listIntervalMs, [this, name, epoch] { listNode(name, epoch); });
    }

    // ---- Tracing ----
    void trace(const std::string& who, const std::string& text)
    {
        bool wanted = m_options.trace == "all" || text.find(m_options.trace) != std::string::npos;
        if (wanted)
            std::printf(
                "%10.3f %s %s\n", static_cast<double>(m_now.count()) / 1000, who.c_str(), text.c_str());
    }
    void traceInjectedFault(const std::string& text)
    {
        if (tracing())
            std::printf("%10.3f FAULT %s\n", static_cast<double>(m_now.count()) / 1000, text.c_str());
    }
    bool tracing() const { return !m_options.trace.empty(); }

    // ---- Nodes ----
    void deliver(const std::string& name, event what)
    {
        sim_node& n = m_nodes[name];
        if (!n.up)
            return;
        if (m_now < n.pausedUntil) {
            if (!std::holds_alternative<tick>(what))
                n.deferredEvents.push_back(std::move(what));
            return;
        }
        auto actions = n.core->handle(localTime(n), what);
        n.core->checkInvariants();
        checkCatalogueOffset(n);
        for (auto& each : actions)
            std::visit([&](auto& act) { perform(name, act); }, each);
    }

    void checkCatalogueOffset(sim_node& n)
    {
        int64_t next = n.core->currentCatalogue().nextOffset();
        if (next < n.catalogueNext)
            m_report.violations.push_back({ "catalogue never reverts", n.options.self.id });
        if (tracing() && n.catalogueNext != next) {
            const auto* spare = n.core->currentCatalogue().find("spare");
            trace(n.options.self.id,
                "catalogue at " + std::to_string(next) + ", spare version "
                    + std::to_string(spare ? spare->version : 0));
        }
        n.catalogueNext = next;
    }

    void deliverLater(const std::string& name, uint64_t epoch, int64_t us, event what)
    {
        afterUs(us, [this, name, epoch, what = std::move(what)] {
            if (m_nodes[name].epoch == epoch)
                deliver(name, what);
        });
    }

    int64_t linkDelayUs()
    {
        if (inFaultPhase() && m_options.lossyLinks && withProbability(0.02))
            return uniform(50'000, 800'000);
        return uniform(200, 3000);
    }
    bool loseMessage() { return inFaultPhase() && m_options.lossyLinks && withProbability(0.01); }
    bool isCut(const std::string& from, const std::string& to) const
    {
        return m_cuts.count({ from, to }) != 0;
    }

    void perform(const std::string& name, send_action& act)
    {
        if (tracing() && !std::holds_alternative<heartbeat>(act.message))
            trace(name + " -> " + act.to, toJson(act.message).dump());
        if (!m_nodes.count(act.to) || isCut(name, act.to) || loseMessage())
            return;
        sim_node& n = m_nodes[name];
        peer_message out { n.options.self, n.options.dataCentre, act.message };
        std::string to = act.to;
        int copies = inFaultPhase() && m_options.lossyLinks && withProbability(0.01) ? 2 : 1;
        for (int i = 0; i < copies; i++)
            afterUs(linkDelayUs(), [this, to, out] { deliver(to, out); });
    }

    void perform(const std::string& name, call_action& act)
    {
        if (tracing())
            trace(name + " -> " + act.worker, toJson(act.payload).dump());
        uint64_t epoch = m_nodes[name].epoch;
        auto noAnswer = [this, name, epoch, call = act.call] {
            deliverLater(name, epoch, callTimeoutMs * 1000, worker_reply { call, std::nullopt });
        };
        if (isCut(name, act.worker) || loseMessage())
            return noAnswer();
        afterUs(linkDelayUs(), [this, name, epoch, act, noAnswer] {
            sim_worker& w = m_workers.at(act.worker);
            if (!w.up)
                return noAnswer();
            deliverCall(name, epoch, act);
        });
    }

    void deliverCall(const std::string& name, uint64_t epoch, const call_action& act)
    {
        sim_worker& w = m_workers.at(act.worker);
        if (const auto* start = std::get_if<start_call>(&act.payload))
            checkLeavingWorker(w, *start);
        worker_answer given = w.model->handle(workerTime(w), act.payload);
        if (tracing())
            trace(act.worker + " answers " + name, toJson(given).dump());
        if (given.verdict == worker_verdict::over_capacity)
            m_report.violations.push_back({ "never over capacity", act.worker });
        scheduleWorker(act.worker);
        const auto* start = std::get_if<start_call>(&act.payload);
        bool replyOnCompletion = start && !start->work.batch && given.verdict == worker_verdict::ok
            && !given.tasks.empty() && given.tasks.front().state == task_state::running;
        auto sendReply
            = [this, name, epoch, worker = act.worker, call = act.call](const worker_answer& answer) {
                  if (isCut(worker, name) || loseMessage())
                      deliverLater(name, epoch, callTimeoutMs * 1000, worker_reply { call, std::nullopt });
                  else
                      deliverLater(name, epoch, linkDelayUs(), worker_reply { call, answer });
              };
        if (replyOnCompletion) {
            w.waiting[{ start->work.id, start->work.attempt }].push_back(sendReply);
            // The node's call times out after the deadline of the work.
            deliverLater(name, epoch, (start->work.deadlineMs + callTimeoutMs) * 1000,
                worker_reply { act.call, std::nullopt });
        } else {
            sendReply(given);
        }
        reportCompletions(w);
    }

    void checkLeavingWorker(const sim_worker& w, const start_call& start)
    {
        bool late = w.leaving && m_now - w.leavingSince > milliseconds(listLagMs + 5000);
        if (late && !w.model->find(start.work.id, start.work.attempt))
            m_report.violations.push_back({ "a leaving worker receives no new work", w.model->id() });
    }

    void scheduleWorker(const worker_id& id)
    {
        sim_worker& w = m_workers.at(id);
        auto next = w.model->nextEvent();
        if (!next)
            return;
        uint64_t epoch = w.epoch;
        at(std::max(m_now, trueTime(w, *next) + instant(2)), [this, id, epoch] {
            sim_worker& later = m_workers.at(id);
            if (later.epoch != epoch)
                return;
            later.model->advance(workerTime(later));
            reportCompletions(later);
        });
    }

    void reportCompletions(sim_worker& w)
    {
        for (const auto& report : w.model->takeCompleted()) {
            auto found = w.waiting.find({ report.id, report.attempt });
            if (found == w.waiting.end())
                continue;
            worker_answer given;
            given.tasks.push_back(report);
            auto handlers = std::move(found->second);
            w.waiting.erase(found);
            for (const auto& handler : handlers)
                handler(given);
        }
    }

    void perform(const std::string& name, append_action& act)
    {
        uint64_t epoch = m_nodes[name].epoch;
        if (m_nodesCutFromPlatform.count(name))
            return;
        if (m_logDown) {
            deliverLater(name, epoch, 2000, append_reply { act.call, append_status::refused });
            return;
        }
        if (tracing()) {
            for (const auto& record : act.records)
                trace(name + " appends", record);
        }
        bool loseAnswer = inFaultPhase() && m_options.logFaults && withProbability(0.05);
        bool loseRequest = inFaultPhase() && m_options.logFaults && withProbability(0.02);
        if (loseRequest)
            return;
        int64_t delay = m_logSlow ? uniform(200'000, 4'000'000) : uniform(1000, 6000);
        afterUs(delay, [this, name, epoch, act, loseAnswer] {
            m_log.append(m_now, act.stream, act.records);
            m_report.appends++;
            if (!loseAnswer)
                deliverLater(name, epoch, uniform(minAppendAnswerUs, maxAppendAnswerUs),
                    append_reply { act.call, append_status::durable });
        });
    }

    void perform(const std::string& name, read_action& act)
    {
        uint64_t epoch = m_nodes[name].epoch;
        if (m_nodesCutFromPlatform.count(name))
            return;
        read_reply reply;
        reply.call = act.call;
        if (!m_logDown) {
            reply = m_log.read(m_now, act.stream, act.from, 200);
            reply.call = act.call;
        }
        deliverLater(name, epoch, m_logSlow ? uniform(100'000, 2'000'000) : uniform(500, 4000), reply);
    }

    void perform(const std::string& name, log_action& act)
    {
        if (tracing())
            std::printf(
                "%10.3f %s %s\n", static_cast<double>(m_now.count()) / 1000, name.c_str(), act.line.c_str());
    }

    // ---- Callers ----
    void perform(const std::string& name, answer_action& act)
    {
        auto found = m_callers.find({ name, m_nodes[name].epoch, act.ticket });
        if (found == m_callers.end())
            return;
        caller& c = found->second;
        if (tracing())
            trace(name + " answers caller",
                act.answer.id + " " + std::string(reasonInfo(act.answer.why.code).name) + " "
                    + act.answer.why.detail + " state " + std::to_string(static_cast<int>(act.answer.state)));
        if (c.record.answered && !c.record.pollOnly)
            m_report.violations.push_back({ "one answer for each request", act.answer.id });
        c.record.answered = true;
        c.record.answeredAt = m_now;
        c.record.answer = act.answer;
        if (c.record.id.empty())
            c.record.id = act.answer.id;
        m_observer.add(c.record);
        m_callers.erase(found);
    }

    void perform(const std::string&, change_action& act)
    {
        auto found = m_changes.find(act.ticket);
        if (found == m_changes.end())
            return;
        if (act.verdict == change_verdict::accepted)
            m_wonChanges.push_back({ found->second.first, found->second.second, act.version });
        m_changes.erase(found);
    }

    std::string randomNode(bool readyOnly)
    {
        std::vector<std::string> names;
        for (const auto& [name, n] : m_nodes) {
            if (n.up && !n.leaving && m_now >= n.pausedUntil && (!readyOnly || n.core->status().ready))
                names.push_back(name);
        }
        if (names.empty())
            return {};
        return names[static_cast<size_t>(uniform(0, static_cast<int64_t>(names.size()) - 1))];
    }

    void scheduleRequest()
    {
        if (!inFaultPhase())
            return;
        submitRequest();
        double meanMs = 1000.0 / m_options.requestsPerSecond;
        int64_t gap
            = static_cast<int64_t>(std::exponential_distribution<double>(1.0 / meanMs)(m_random) * 1000);
        afterUs(gap, [this] { scheduleRequest(); });
    }

    void submitRequest()
    {
        std::string where = randomNode(true);
        if (where.empty())
            return;
        request_record record;
        record.number = static_cast<int64_t>(++m_report.requests);
        int64_t kind = uniform(0, 9);
        std::string entryName = kind < 4 ? "plan" : kind < 7 ? "tally" : "album";
        record.entry = entryName;
        record.batch = entryName == "album";
        record.idempotent = entryName != "tally";
        bool keyed = entryName != "plan" || withProbability(0.5);
        std::string key = "key-" + std::to_string(record.number);
        int64_t workMs = record.batch ? uniform(200, 6000)
            : withProbability(0.1)    ? uniform(500, m_options.maxShortTaskMs)
                                      : uniform(2, 60);
        record.body
            = "{\"n\":" + std::to_string(record.number) + ",\"work_ms\":" + std::to_string(workMs) + "}";
        if (keyed)
            record.id = keyedWorkId(homeOfKey(key, m_nodes[where].options.dataCentres()), entryName, key);
        else if (record.batch)
            record.id = keyedWorkId(m_nodes[where].options.dataCentre, entryName, key);
        send(where, record, verb::submit);
        if (!record.id.empty() && withProbability(0.3))
            after(uniform(1, 4000), [this, record] { resend(record, verb::submit); });
        if (record.batch && withProbability(0.08))
            after(uniform(1, 5000), [this, record] { resend(record, verb::cancel); });
    }

    void resend(const request_record& record, verb what)
    {
        std::string where = randomNode(true);
        if (!where.empty())
            send(where, record, what);
    }

    void send(const std::string& where, request_record record, verb what)
    {
        record.sentAt = m_now;
        record.verb = what;
        record.pollOnly = what != verb::submit;
        request submittedRequest;
        submittedRequest.verb = what;
        submittedRequest.id = record.id;
        submittedRequest.entry = record.entry;
        submittedRequest.body = record.body;
        submittedRequest.respondAsync = record.batch;
        submittedRequest.deadlineMs = record.batch ? 10'000 : 2500;
        submittedRequest.catalogueNext = m_nodes[where].core->currentCatalogue().nextOffset();
        record.deadlineMs = submittedRequest.deadlineMs;
        uint64_t ticket = ++m_nextTicket;
        m_callers[{ where, m_nodes[where].epoch, ticket }] = { record, where, ticket };
        deliver(where, submission { ticket, submittedRequest });
    }

    // ---- Operators ----
    void seedCatalogue()
    {
        std::string where = randomNode(false);
        const char* entries[] = {
            R"({"name":"plan","owner":"cart","class":"latency-critical","limits":{"cpuMilli":1000,"memoryMb":500}})",
            R"({"name":"tally","owner":"cart","class":"latency-critical","idempotent":false,"limits":{"cpuMilli":500,"memoryMb":200,"deadlineMs":2500}})",
            R"({"name":"album","owner":"press","class":"batch","limits":{"cpuMilli":2000,"memoryMb":1500}})",
            R"({"name":"spare","owner":"press","class":"batch"})",
        };
        for (const char* body : entries) {
            std::string name = nlohmann::json::parse(body)["name"];
            change(where, name, body, 0);
        }
    }

    void change(const std::string& where, const std::string& name, const std::string& body, uint64_t base)
    {
        catalogue_change out;
        out.ticket = ++m_nextTicket;
        out.record.changeId = "change-" + std::to_string(out.ticket);
        out.record.name = name;
        out.record.body = body;
        out.record.baseVersion = base;
        m_changes[out.ticket] = { name, body };
        deliver(where, out);
    }

    void scheduleOperator()
    {
        if (!inFaultPhase() || !m_options.operators)
            return;
        int64_t writerCount = uniform(1, 3);
        for (int64_t i = 0; i < writerCount; i++) {
            std::string where = randomNode(true);
            if (where.empty())
                break;
            const auto* current = m_nodes[where].core->currentCatalogue().find("spare");
            std::string body = R"({"name":"spare","owner":"press","class":"batch","limits":{"concurrent":)"
                + std::to_string(uniform(1, 1000)) + "}}";
            change(where, "spare", body, current ? current->version : 0);
        }
        after(uniform(300, 3000), [this] { scheduleOperator(); });
    }

    // ---- Faults ----
    void scheduleFault()
    {
        if (!inFaultPhase())
            return;
        injectFault();
        after(uniform(200, 2500), [this] { scheduleFault(); });
    }

    void injectFault()
    {
        std::string victim = randomNode(false);
        switch (uniform(0, 8)) {
        case 0:
            if (m_options.kills && !victim.empty())
                kill(victim);
            break;
        case 1:
            if (m_options.pauses && !victim.empty())
                pause(victim, uniform(100, 9000));
            break;
        case 2:
            if (m_options.cuts && !victim.empty())
                cutRandomLinks(victim);
            break;
        case 3:
            if (m_options.workerDeaths)
                killWorker();
            break;
        case 4:
            if (m_options.logFaults) {
                m_logDown = true;
                after(uniform(300, 9000), [this] { m_logDown = false; });
            }
            break;
        case 5:
            if (m_options.logFaults) {
                m_logSlow = true;
                after(uniform(300, 6000), [this] { m_logSlow = false; });
            }
            break;
        case 6:
            if (m_options.leaving && !victim.empty())
                leave(victim);
            break;
        case 7:
            if (m_options.leaving)
                leaveWorker();
            break;
        case 8:
            if (m_options.cuts && !victim.empty()) {
                m_nodesCutFromPlatform.insert(victim);
                after(uniform(500, 8000), [this, victim] { m_nodesCutFromPlatform.erase(victim); });
            }
            break;
        }
    }

    void dropCallers(const std::string& name)
    {
        // The callers' connections broke, so no answer reaches them.
        for (auto it = m_callers.begin(); it != m_callers.end();) {
            bool here = it->second.instance == name;
            if (here) {
                m_report.connectionLost++;
                m_observer.add(it->second.record);
            }
            it = here ? m_callers.erase(it) : std::next(it);
        }
    }

    void kill(const std::string& name)
    {
        sim_node& n = m_nodes[name];
        traceInjectedFault("kill " + name);
        m_report.kills++;
        n.up = false;
        n.core.reset();
        dropCallers(name);
        for (const auto& item : m_nodes) {
            std::string other = item.first;
            if (other != name && withProbability(0.7))
                afterUs(uniform(100, 5000), [this, other, name] { deliver(other, peer_down { name }); });
        }
        after(uniform(200, 6000), [this, name] {
            if (!m_nodes[name].up)
                startNode(name);
        });
    }

    void pause(const std::string& name, int64_t ms)
    {
        sim_node& n = m_nodes[name];
        uint64_t epoch = n.epoch;
        n.pausedUntil = m_now + milliseconds(ms);
        for (auto& [key, c] : m_callers)
            c.record.paused = c.record.paused || c.instance == name;
        traceInjectedFault("pause " + name + " " + std::to_string(ms));
        after(ms, [this, name, epoch] {
            sim_node& woken = m_nodes[name];
            if (!woken.up || woken.epoch != epoch)
                return;
            auto deferredEvents = std::move(woken.deferredEvents);
            woken.deferredEvents.clear();
            for (auto& each : deferredEvents)
                deliver(name, std::move(each));
        });
    }

    void cutRandomLinks(const std::string& victim)
    {
        std::vector<std::pair<std::string, std::string>> cutLinks;
        bool oneWay = withProbability(0.4);
        auto cutPair = [&](const std::string& other) {
            cutLinks.emplace_back(victim, other);
            if (!oneWay)
                cutLinks.emplace_back(other, victim);
        };
        double share = withProbability(0.5) ? 1.0 : 0.4;
        for (const auto& [other, o] : m_nodes) {
            if (other != victim && withProbability(share))
                cutPair(other);
        }
        bool workersToo = withProbability(0.4);
        for (const auto& [other, w] : m_workers) {
            if (workersToo && withProbability(share))
                cutPair(other);
        }
        for (const auto& each : cutLinks) {
            m_cuts.insert(each);
            traceInjectedFault("cut " + each.first + " to " + each.second);
        }
        after(uniform(300, 9000), [this, cutLinks] {
            for (const auto& each : cutLinks)
                m_cuts.erase(each);
        });
    }

    void killWorker()
    {
        auto it = m_workers.begin();
        std::advance(it, uniform(0, static_cast<int64_t>(m_workers.size()) - 1));
        sim_worker& w = it->second;
        if (!w.up)
            return;
        w.up = false;
        traceInjectedFault("kill " + it->first);
        w.lastUp = m_now;
        w.epoch++;
        w.waiting.clear();
        w.model->restart(workerTime(w));
        m_observer.workerRestarted(it->first, workerTime(w));
        std::string name = it->first;
        after(uniform(300, 12'000), [this, name] { m_workers.at(name).up = true; });
    }

    void leaveWorker()
    {
        auto it = m_workers.begin();
        std::advance(it, uniform(0, static_cast<int64_t>(m_workers.size()) - 1));
        if (it->second.leaving)
            return;
        it->second.leaving = true;
        it->second.model->setLeaving(true);
        it->second.leavingSince = m_now;
        std::string name = it->first;
        after(uniform(4000, 15'000), [this, name] { returnWorker(name); });
    }

    void returnWorker(const std::string& name)
    {
        m_workers.at(name).leaving = false;
        m_workers.at(name).model->setLeaving(false);
    }

    void leave(const std::string& name)
    {
        sim_node& n = m_nodes[name];
        n.leaving = true;
        deliver(name, begin_leaving {});
    }

    void finishLeaving(const std::string& name)
    {
        sim_node& n = m_nodes[name];
        bool cutOff = std::any_of(m_callers.begin(), m_callers.end(),
            [&](const auto& item) { return item.second.instance == name; });
        if (cutOff)
            m_report.violations.push_back({ "a graceful shutdown answers every open request", name });
        n.up = false;
        n.core.reset();
        after(uniform(200, 3000), [this, name] {
            if (!m_nodes[name].up)
                startNode(name);
        });
    }

    void clearFaults()
    {
        m_cuts.clear();
        m_nodesCutFromPlatform.clear();
        m_logDown = false;
        m_logSlow = false;
        for (auto& [name, w] : m_workers) {
            w.up = true;
            returnWorker(name);
        }
    }

    // ---- Final checks ----
    void finish()
    {
        for (const auto& [key, c] : m_callers) {
            m_report.violations.push_back(
                { "every request is answered", c.record.entry + " " + c.record.id });
            m_observer.add(c.record);
        }
        std::vector<attempt_record> runs;
        for (auto& [name, w] : m_workers) {
            for (const auto& run : w.model->attempts()) {
                attempt_record converted = run;
                converted.started = trueTime(w, run.started);
                if (run.ended)
                    converted.ended = trueTime(w, *run.ended);
                runs.push_back(converted);
            }
        }
        m_observer.setTimeConversion(
            [this](const worker_id& id, instant local) { return trueTime(m_workers.at(id), local); });
        m_observer.check(runs, m_report);
        printTracedState();
        checkCatalogue();
    }

    // Prints each node's final status and its explanation of the traced work.
    void printTracedState()
    {
        for (const auto& [name, n] : m_nodes) {
            if (!tracing() || !n.up)
                continue;
            node_status status = n.core->status();
            std::printf("%s in view %s: complete %d closed %d ready %d leaving %d held %zu usable %zu queued "
                        "%zu placed "
                        "%zu unaccounted %zu log %d\n",
                name.c_str(), status.promised.str().c_str(), status.acknowledged, status.transferComplete,
                status.ready, status.leaving, status.workersHeld, status.workersUsable, status.queued,
                status.placed, status.unaccountedWorkers, status.logAvailable);
            for (const auto& centre : { "north", "south" }) {
                explanation found = n.core->explain(std::string(centre) + "~k~" + m_options.trace);
                std::printf("%s says: %s\n", name.c_str(), found.text.c_str());
                for (const auto& [field, value] : found.fields)
                    std::printf("    %s %s\n", field.c_str(), value.c_str());
            }
        }
    }

    void checkCatalogue()
    {
        const catalogue* first = nullptr;
        for (const auto& [name, n] : m_nodes) {
            if (!n.up)
                continue;
            if (!first)
                first = &n.core->currentCatalogue();
            const auto* mine = n.core->currentCatalogue().find("spare");
            const auto* other = first->find("spare");
            bool same = (!mine && !other) || (mine && other && mine->version == other->version);
            if (!same)
                m_report.violations.push_back({ "one catalogue everywhere",
                    name + " has version " + std::to_string(mine ? mine->version : 0) + ", another "
                        + std::to_string(other ? other->version : 0) });
        }
        // Every accepted change is in force or was replaced by a later one.
        for (const auto& won : m_wonChanges) {
            const auto* current = first ? first->find(won.name) : nullptr;
            if (!current || current->version < won.version)
                m_report.violations.push_back({ "an accepted change is in force", won.name });
        }
    }

    struct caller_key {
        std::string node;
        uint64_t epoch;
        uint64_t ticket;
        auto operator<=>(const caller_key&) const = default;
    };
    struct won_change {
        std::string name;
        std::string body;
        uint64_t version;
    };

    world_options m_options;
    std::mt19937_64 m_random;
    instant m_now { 0 };
    std::multimap<instant, event_callback> m_queue;
    std::map<std::string, sim_node> m_nodes;
    std::map<worker_id, sim_worker> m_workers;
    log_model m_log;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_nodesCutFromPlatform;
    bool m_logDown = false;
    bool m_logSlow = false;
    std::map<caller_key, caller> m_callers;
    std::map<uint64_t, std::pair<std::string, std::string>> m_changes;
    std::vector<won_change> m_wonChanges;
    uint64_t m_nextTicket = 0;
    observer m_observer;
    world_report m_report;
};

world_report runWorld(const world_options& options) { return world(options).run(); }

} // namespace camphorwell::sim
