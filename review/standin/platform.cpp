// camphorwell-review-platform: a stand-in for the users' platform on loopback addresses, for the scripts of
// the review: the store, the operator's configuration, and workers that run tasks as the protocol page says.
//
// The store listens on --port, worker I (from 0) on --port + 1 + I. Everything that the workers are told and
// do is appended to --record, one event a line. Orders to the stand-in itself, on the store's port:
//
//   POST /jobs/ID        the body of a job that a client is about to submit; workers learn the steps from it
//   POST /config         the operator writes this configuration
//   POST /crash          {"Worker": id, "DownMs": n, "Labels": [..]}: the worker loses power, and comes back
//                        after DownMs under the same id, with these labels if they are given
//   POST /entry          {"Id": id, "Entry": {..}}: another writer than the worker puts this entry under the
//   id POST /admin          faults of the store, see standins/store_standin.h
//
// A task works for the milliseconds that its Spec names ("work_ms=300"). Units: milliseconds.
#include "standins/store_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

namespace {

using namespace camphorwell;
using nlohmann::json;
using reply_ptr = std::shared_ptr<http_reply>;

constexpr const char* loopback = "127.0.0.1";
constexpr ms heartbeatMs = 1500;
constexpr ms maxLeaseMs = 6000;
constexpr ms stopMs = 200;
constexpr ms gangTimeoutMs = 3000;
constexpr ms checkpointMs = 500;
constexpr ms restoreMs = 100;
constexpr ms lastingStartupMs = 500;
constexpr size_t maxRecordBytes = 262'144;
constexpr size_t maxListedEnds = 500;
constexpr int workersPerRack = 8;

ms nowMs() { return std::chrono::duration_cast<milliseconds>(event_loop::now()).count(); }

int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct options {
    int port = 0;
    int workers = 6;
    int64_t cpuMilli = 32'000;
    int64_t memoryMb = 128'000;
    std::string record;
};

// Writes one line for each event, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& file)
        : m_out(file, std::ios::app)
        , m_startedAt(nowMs())
    {
    }
    void write(const std::string& line) { m_out << nowMs() - m_startedAt << " " << line << std::endl; }

private:
    std::ofstream m_out;
    ms m_startedAt;
};

struct task_name {
    std::string job, occurrence;
    int step = 0, index = 0;
    std::string stepName() const { return job + "." + occurrence + "." + std::to_string(step); }
};

std::optional<task_name> parseTaskName(const std::string& text)
{
    std::vector<std::string> parts { "" };
    for (char character : text) {
        if (character == '.')
            parts.emplace_back();
        else
            parts.back() += character;
    }
    if (parts.size() != 4)
        return std::nullopt;
    return task_name { parts[0], parts[1], std::stoi(parts[2]), std::stoi(parts[3]) };
}

struct running_task {
    std::string name;
    task_name parsed;
    uint64_t run = 0;
    json step; // As the client submitted it.
    ms workMs = 0;
    ms resumedFromMs = 0; // Work that the checkpoint stands for.
    ms workSince = 0; // 0: a member of a gang that waits for the others.
    ms startedAt = 0;
    ms stopAt = 0; // 0: not asked to stop.
    int pacePercent = 100;
    ms doneMs(ms now) const
    {
        return workSince == 0 ? resumedFromMs
                              : resumedFromMs + std::max<ms>(0, now - workSince) * pacePercent / 100;
    }
    void setPace(int percent, ms now)
    {
        resumedFromMs = doneMs(now);
        workSince = workSince == 0 ? 0 : std::max(now, workSince);
        pacePercent = percent;
    }
    // A rough figure: the tail for a task that serves, else the processors in use.
    ms figure() const
    {
        ms target = step.value("TargetMs", ms { 0 });
        return target > 0 ? std::max<ms>(1, target * 3 / 10) + std::rand() % 2
                          : step.value("Cpu", ms { 0 }) * pacePercent / 100;
    }
};

struct ended_task {
    uint64_t number = 0;
    std::string name;
    uint64_t run = 0;
    std::string how, saved;
};

// A checkpoint names the work in milliseconds, in eight hexadecimal digits, and the step.
std::string checkpointOf(const task_name& task, ms work)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(work),
        static_cast<unsigned long long>(std::hash<std::string>()(task.stepName()) & 0xffffffffULL));
    return text;
}

class worker;

struct world {
    options given;
    recorder record;
    store_standin store;
    std::map<std::string, json> jobs; // By id.
    std::vector<std::unique_ptr<worker>> workers;

    const json* stepOf(const task_name& task) const
    {
        auto found = jobs.find(task.job);
        if (found == jobs.end() || !found->second["Steps"].is_array()
            || task.step >= static_cast<int>(found->second["Steps"].size()))
            return nullptr;
        return &found->second["Steps"][static_cast<size_t>(task.step)];
    }
    int gangMembersPresent(const running_task&);
    void startGang(const running_task&);
    // Ends the other members of the gang in the same way.
    void endGang(const running_task&, const std::string& how);
    bool endingGang = false;
};

class worker {
public:
    worker(event_loop& loop, world& surroundings, int number)
        : m_loop(loop)
        , m_world(surroundings)
        , m_port(static_cast<uint16_t>(surroundings.given.port + 1 + number))
        , m_labels({ "a", "r1-" + std::to_string(number / workersPerRack) })
    {
        char text[16];
        std::snprintf(text, sizeof text, "i-%010x", 0x1000 + number * 17);
        id = text;
    }

    void powerOn()
    {
        m_server = std::make_unique<http_server>(m_loop, http_limits { 1 << 20, 60'000 },
            [this](http_request request, const reply_ptr& reply) { serve(request, reply); });
        bool listening = boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(m_server->listen(loopback, m_port));
                return true;
            },
            [] { return false; });
        if (!listening) {
            std::cerr << "worker cannot listen on port " << m_port << "\n";
            std::exit(3);
        }
        m_born = unixMs();
        m_startedAt = nowMs();
        m_token = m_nextNumber = 0;
        m_leaseUntil = 0;
        m_heartbeatAt = 0;
        m_sequence = 0;
        m_up = true;
        m_world.record.write("worker " + id + " up labels " + json(m_labels).dump());
    }

    void powerOff(ms downMs, const json& labels)
    {
        m_world.record.write("worker " + id + " loses power for " + std::to_string(downMs));
        m_up = false;
        std::list<running_task> lost;
        lost.swap(m_running);
        for (const running_task& task : lost) {
            m_world.record.write("gone " + task.name + " run " + std::to_string(task.run) + " on " + id);
            m_world.endGang(task, "broken");
        }
        m_ended.clear();
        m_highestRun.clear();
        m_polls.clear();
        m_server.reset();
        if (labels.is_array())
            m_labels = labels.get<std::vector<std::string>>();
        m_loop.after(downMs, [this] { powerOn(); });
    }

    void tick()
    {
        if (!m_up)
            return;
        advance();
        answerPolls();
        if (m_heartbeatAt == 0 || nowMs() - m_heartbeatAt >= heartbeatMs)
            writeEntry();
    }

    std::list<running_task>& running() { return m_running; }

    void end(const running_task& ended, const std::string& how, ms now)
    {
        running_task task = ended;
        m_running.remove_if([&](const running_task& each) { return &each == &ended; });
        std::string saved;
        if (task.step.value("Checkpointing", false) && task.doneMs(now) > 0)
            saved = checkpointOf(task.parsed, task.doneMs(now));
        m_highestRun[task.name] = std::max(m_highestRun[task.name], task.run);
        m_ended.push_back({ ++m_nextNumber, task.name, task.run, how, saved });
        m_world.record.write("end " + task.name + " run " + std::to_string(task.run) + " on " + id + " how "
            + how + " saved '" + saved + "'");
        if (how != "broken" && !m_world.endingGang)
            m_world.endGang(task, how == "done" ? "done" : "broken");
    }

    std::string id;

private:
    struct waiting_poll {
        ms deadline = 0;
        reply_ptr reply;
    };

    ms clock() const { return nowMs() - m_startedAt; }

    void writeEntry()
    {
        m_heartbeatAt = nowMs();
        json entry { { "Service", "huvo11a" },
            { "Address", std::string(loopback) + ":" + std::to_string(m_port) }, { "Zone", "quito-norte" },
            { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
            { "Capacity",
                { { "Cpu", m_world.given.cpuMilli }, { "MemMb", m_world.given.memoryMb }, { "Gpu", 0 } } },
            { "Labels", m_labels }, { "ClockMs", clock() }, { "Sequence", ++m_sequence },
            { "born", m_born } };
        m_world.store.put(platform::workerTopic, id, entry.dump());
    }

    void answer(const reply_ptr& reply, int status, const std::string& reason = {})
    {
        json body { { "ClockMs", clock() } };
        if (!reason.empty())
            body["Reason"] = reason;
        reply->send(status, {}, body.dump());
    }

    // Ends the tasks that are due, and all tasks once the lease has expired.
    void advance()
    {
        ms now = nowMs();
        bool again = true;
        while (again) {
            again = false;
            for (const running_task& task : m_running) {
                std::string how;
                if (clock() > m_leaseUntil)
                    how = "lapsed";
                else if (task.stopAt != 0 && now >= task.stopAt)
                    how = "stopped";
                else if (task.workSince == 0 && now - task.startedAt >= gangTimeoutMs)
                    how = "alone";
                else if (!task.step.value("LongRunning", false) && task.workSince != 0
                    && task.doneMs(now) >= task.workMs)
                    how = "done";
                if (how.empty())
                    continue;
                end(task, how, now);
                again = true;
                break;
            }
        }
    }

    void extendLease(ms until)
    {
        m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + maxLeaseMs));
    }

    void serve(const http_request& request, const reply_ptr& reply)
    {
        const std::string* expected = request.header("expect-instance");
        if (expected && *expected != id)
            return reply->send(421, {}, "");
        json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return reply->send(400, {}, "");
        advance();
        auto token = body.value("FencingToken", uint64_t { 0 });
        if (token < m_token)
            return answer(reply, 409, "fence");
        m_token = token;
        if (request.path == "/hold")
            return hold(body, reply);
        std::string name = body.value("Task", std::string());
        auto parsed = parseTaskName(name);
        if (!parsed)
            return answer(reply, 400);
        auto run = body.value("Run", uint64_t { 0 });
        if (request.path == "/run-start")
            return start(body, name, *parsed, run, reply);
        if (request.path == "/pace") {
            for (running_task& task : m_running) {
                if (task.name == name && task.run == run)
                    task.setPace(std::clamp(body.value("Percent", 100), 0, 100), nowMs());
            }
        }
        if (request.path == "/run-stop") {
            m_highestRun[name] = std::max(m_highestRun[name], run);
            for (running_task& task : m_running) {
                if (task.name == name && task.run == run && task.stopAt == 0)
                    task.stopAt = nowMs() + stopMs / 2;
            }
            m_world.record.write("stop " + name + " run " + std::to_string(run) + " on " + id);
        }
        answer(reply, 200);
    }

    int64_t used(const char* field) const
    {
        int64_t sum = 0;
        for (const running_task& task : m_running)
            sum += std::string(field) == "Cpu" && task.step.value("Fills", false)
                ? 0
                : task.step.value(field, int64_t { 0 });
        return sum;
    }

    void start(const json& body, const std::string& name, const task_name& parsed, uint64_t run,
        const reply_ptr& reply)
    {
        std::string saved = body.value("Checkpoint", std::string());
        auto refuse = [&](const std::string& reason) {
            m_world.record.write(
                "refused " + name + " run " + std::to_string(run) + " on " + id + " " + reason);
            answer(reply, 409, reason);
        };
        for (const running_task& task : m_running) {
            if (task.name == name && task.run == run)
                return answer(reply, 200);
        }
        ms until = body.value("DeadlineMs", ms { 0 });
        auto highest = m_highestRun.find(name);
        bool isOld = highest != m_highestRun.end() && run <= highest->second;
        if (until <= clock() && !isOld)
            return refuse("late");
        extendLease(until);
        if (isOld)
            return refuse("old");
        const json* step = m_world.stepOf(parsed);
        if (!step) {
            m_world.record.write("unasked " + name + " run " + std::to_string(run) + " on " + id);
            return answer(reply, 400);
        }
        bool fits = used("MemMb") + step->value("MemMb", int64_t { 0 }) <= m_world.given.memoryMb
            && (step->value("Fills", false)
                || used("Cpu") + step->value("Cpu", int64_t { 0 }) <= m_world.given.cpuMilli);
        if (!fits)
            return refuse("room");
        running_task task { name, parsed, run, *step, 0, 0, 0, nowMs(), 0 };
        std::string spec = body.value("Spec", std::string());
        size_t workAt = spec.find("work_ms=");
        task.workMs = workAt == std::string::npos ? 200 : std::stoll(spec.substr(workAt + 8));
        if (saved.size() >= 8)
            task.resumedFromMs = static_cast<ms>(std::stoull(saved.substr(0, 8), nullptr, 16));
        m_running.push_back(task);
        m_world.record.write(
            "start " + name + " run " + std::to_string(run) + " on " + id + " checkpoint '" + saved + "'");
        if (!step->value("Gang", false))
            m_running.back().workSince = nowMs() + (saved.empty() ? 0 : restoreMs);
        else if (m_world.gangMembersPresent(task) == step->value("Count", 1))
            m_world.startGang(task);
        answer(reply, 200);
    }

    void hold(const json& body, const reply_ptr& reply)
    {
        if (body.contains("DeadlineMs"))
            extendLease(body["DeadlineMs"].get<ms>());
        auto seen = body.value("LastSeen", uint64_t { 0 });
        m_ended.remove_if([&](const ended_task& each) {
            bool noted = each.number <= seen;
            if (noted)
                m_world.record.write("noted " + each.name + " run " + std::to_string(each.run) + " on " + id
                    + " how " + each.how);
            return noted;
        });
        m_polls.push_back({ nowMs() + body.value("WaitMs", ms { 0 }), reply });
        answerPolls();
    }

    void answerPolls()
    {
        for (auto it = m_polls.begin(); it != m_polls.end();) {
            if (m_ended.empty() && nowMs() < it->deadline) {
                ++it;
                continue;
            }
            it->reply->send(200, {}, lists().dump());
            it = m_polls.erase(it);
        }
    }

    json lists() const
    {
        ms now = nowMs();
        json running = json::array();
        for (const running_task& task : m_running) {
            bool lasts = task.step.value("LongRunning", false);
            ms done = task.doneMs(now);
            ms whole = done / checkpointMs * checkpointMs;
            std::string saved;
            if (task.step.value("Checkpointing", false) && whole > 0)
                saved = checkpointOf(task.parsed, whole);
            ms percent = lasts ? (done >= lastingStartupMs ? 100 : 0)
                               : std::min<ms>(100, 100 * done / std::max<ms>(1, task.workMs));
            running.push_back({ task.name, task.run, saved, percent, task.figure() });
        }
        json ended = json::array();
        for (const ended_task& each : m_ended) {
            if (ended.size() < maxListedEnds)
                ended.push_back({ each.number, each.name, each.run, each.how, each.saved });
        }
        return { { "ClockMs", clock() }, { "born", m_born }, { "Running", running }, { "Finished", ended } };
    }

    event_loop& m_loop;
    world& m_world;
    uint16_t m_port;
    std::vector<std::string> m_labels;
    std::unique_ptr<http_server> m_server;
    std::list<running_task> m_running;
    std::list<ended_task> m_ended;
    std::map<std::string, uint64_t> m_highestRun; // Highest run that ended or was stopped, by task.
    std::list<waiting_poll> m_polls;
    bool m_up = false;
    int64_t m_born = 0;
    ms m_startedAt = 0;
    ms m_leaseUntil = 0; // On the worker's clock.
    ms m_heartbeatAt = 0;
    int64_t m_sequence = 0;
    uint64_t m_token = 0;
    uint64_t m_nextNumber = 0;
};

bool sameGang(const running_task& a, const running_task& b)
{
    return a.step.value("Gang", false) && a.parsed.stepName() == b.parsed.stepName() && a.run == b.run;
}

int world::gangMembersPresent(const running_task& member)
{
    int count = 0;
    for (auto& each : workers) {
        for (const running_task& task : each->running())
            count += sameGang(task, member) && task.workSince == 0;
    }
    return count;
}

void world::startGang(const running_task& member)
{
    running_task first = member;
    for (auto& each : workers) {
        for (running_task& task : each->running()) {
            if (sameGang(task, first))
                task.workSince = nowMs() + (task.resumedFromMs > 0 ? restoreMs : 0);
        }
    }
    record.write("gang works " + first.parsed.stepName() + " run " + std::to_string(first.run));
}

void world::endGang(const running_task& ended, const std::string& how)
{
    if (!ended.step.value("Gang", false))
        return;
    ms now = nowMs();
    endingGang = true;
    for (auto& each : workers) {
        bool again = true;
        while (again) {
            again = false;
            for (const running_task& task : each->running()) {
                if (!sameGang(task, ended) || task.name == ended.name)
                    continue;
                each->end(task, how, now);
                again = true;
                break;
            }
        }
    }
    endingGang = false;
}

// Whether each record of an append is within the limit of the store.
bool recordsFit(const std::string& body)
{
    size_t position = 0;
    while (position + 4 <= body.size()) {
        size_t length = 0;
        for (size_t i = 0; i < 4; i++)
            length = length << 8 | static_cast<unsigned char>(body[position + i]);
        if (length > maxRecordBytes)
            return false;
        position += 4 + length;
    }
    return true;
}

void serveStore(world& surroundings, const http_request& request, const reply_ptr& reply)
{
    const std::string jobsPath = "/jobs/";
    json body = json::parse(request.body, nullptr, false);
    if (request.path.starts_with(jobsPath)) {
        surroundings.jobs[request.path.substr(jobsPath.size())] = body;
        return reply->send(200, {}, "");
    }
    if (request.path == "/config") {
        surroundings.store.put(platform::operatorTopic, platform::configurationKey, request.body);
        surroundings.record.write("config acknowledged " + body["Version"].dump());
        return reply->send(200, {}, "");
    }
    if (request.path == "/crash") {
        for (auto& each : surroundings.workers) {
            if (each->id == body.value("Worker", std::string()))
                each->powerOff(body.value("DownMs", ms { 1000 }), body.value("Labels", json()));
        }
        return reply->send(200, {}, "");
    }
    if (request.path == "/mark") {
        surroundings.record.write("mark");
        return reply->send(200, {}, "");
    }
    if (request.path == "/entry") {
        std::string id = body.value("Id", std::string());
        surroundings.store.put(platform::workerTopic, id, body["Entry"].dump());
        surroundings.record.write("another writer puts the entry of " + id + " " + body["Entry"].dump());
        return reply->send(200, {}, "");
    }
    if (request.path == "/log-append" && !recordsFit(request.body)) {
        surroundings.record.write("append of " + std::to_string(request.body.size())
            + " bytes refused: a record is over RecordBytes; " + request.query);
        return reply->send(400, {}, "");
    }
    if (!surroundings.store.serve(request, reply))
        reply->send(404, {}, "");
}

options parseOptions(int argc, char** argv)
{
    const option names[]
        = { { "port", required_argument, nullptr, 'p' }, { "workers", required_argument, nullptr, 'w' },
              { "cpu", required_argument, nullptr, 'c' }, { "mem", required_argument, nullptr, 'm' },
              { "record", required_argument, nullptr, 'r' }, { nullptr, 0, nullptr, 0 } };
    options out;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", names, nullptr)) != -1) {
        switch (chosen) {
        case 'p':
            out.port = std::stoi(optarg);
            break;
        case 'w':
            out.workers = std::stoi(optarg);
            break;
        case 'c':
            out.cpuMilli = std::stoll(optarg);
            break;
        case 'm':
            out.memoryMb = std::stoll(optarg);
            break;
        case 'r':
            out.record = optarg;
            break;
        default:
            std::exit(2);
        }
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    options given = parseOptions(argc, argv);
    if (given.port == 0 || given.record.empty()) {
        std::cerr
            << "usage: camphorwell-review-platform --port PORT --record FILE [--workers N] [--cpu MILLI] "
               "[--mem MB]\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    event_loop loop;
    world surroundings { given, recorder(given.record), {}, {}, {} };
    http_server server(loop, { 1 << 22, 60'000 },
        [&](http_request request, const reply_ptr& reply) { serveStore(surroundings, request, reply); });
    for (int i = 0; i < given.workers; i++)
        surroundings.workers.push_back(std::make_unique<worker>(loop, surroundings, i));
    bool listening = boost::leaf::try_handle_all(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(server.listen(loopback, static_cast<uint16_t>(given.port)));
            return true;
        },
        [] { return false; });
    if (!listening)
        return 3;
    for (auto& each : surroundings.workers)
        each->powerOn();
    loop.every(5, [&] {
        for (auto& each : surroundings.workers)
            each->tick();
        surroundings.store.tick();
    });
    loop.onSignal(SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
