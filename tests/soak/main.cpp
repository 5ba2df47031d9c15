// camphorwell-soak: seeded runs of the scheduler as real processes under overlapping faults. Exits with 1 if
// a run breaks a promise, and prints its seed and the directory of its logs.
//
// A request may be carried out long after it was sent: its instance was stopped, or the store was slow. A
// repeated submission is recognised for `keepSeconds`, so these delays together stay below it.
#include "tests/soak/observer.h"

#include <csignal>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <random>

namespace {

using namespace camphorwell;
using namespace camphorwell::soak;
using nlohmann::json;

constexpr int64_t callTimeoutMs = 3000;
constexpr int64_t repeatTimeLeftMs = 800;
constexpr int64_t maxStoreDelayMs = 600;
constexpr int64_t graceMs = 7000; // `graceSeconds` and the time to notice the end.
constexpr int64_t settleMs = 6000; // Tasks of service jobs run again this long after the last fault.
constexpr int64_t finishMs = 25'000; // Jobs are over this long after the last fault.
constexpr int submitTries = 6;
constexpr int stateAsks = 12;
constexpr size_t connectionsPerInstance = 32;
const char* const host = "127.0.0.1";
const std::vector<std::string> topics { "keyed.jobs-0", "keyed.progress-0", "keyed.claims", "keyed.servers",
    "keyed.instances" };

int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(event_loop::now()).count(); }

// What follows from the seed.
struct soak_plan {
    int instances = 3;
    int keepSeconds = 3;
    int64_t durationMs = 0;
    int64_t maxStopMs = 0;
    int64_t maxRepeatMs = 0; // Submissions are repeated within this time after they were accepted.
    int64_t readBytes = 0; // Bound on a read; 0: the platform's.
};

soak_plan planOf(uint64_t seed)
{
    std::mt19937_64 random(seed);
    soak_plan plan;
    plan.instances = 3 + static_cast<int>(random() % 4);
    bool longStops = random() % 3 == 0;
    // A stop that outlasts every lease needs a retention that outlasts the stop.
    plan.keepSeconds = longStops ? 14 : 3;
    plan.maxStopMs = longStops ? 9000 : 1000;
    plan.maxRepeatMs = longStops ? 3000 : 500;
    plan.durationMs
        = static_cast<int64_t>(longStops ? 40'000 + random() % 20'000 : 20'000 + random() % 20'000);
    plan.readBytes = random() % 4 == 0 ? 2000 : 0;
    return plan;
}

// One seeded run: a deployment, its callers and its faults.
class soak_run {
public:
    soak_run(uint64_t seed, uint16_t firstPort)
        : m_seed(seed)
        , m_random(seed)
        , m_plan(planOf(seed))
        , m_deployment({ .firstPort = firstPort,
              .instances = m_plan.instances,
              .keepSeconds = m_plan.keepSeconds,
              .host = host })
        , m_trace(m_deployment.directory() + "/soak.log")
    {
        for (const auto& name : m_deployment.instances()) {
            m_clients[name] = std::make_unique<http_client>(
                m_loop, host, m_deployment.callerPort(name), connectionsPerInstance);
            m_states[name] = instance_state::up;
        }
    }

    bool run()
    {
        if (!m_deployment.start()) {
            m_observer.addViolation("the deployment did not start");
        } else {
            if (m_plan.readBytes)
                m_deployment.setStore({ { "read_bytes", m_plan.readBytes } });
            m_loop.every(50, [this] { checkProcesses(); });
            submitNew();
            scheduleFault();
            runFor(m_plan.durationMs);
            finish();
        }
        for (const auto& violation : m_observer.violations())
            trace("violation " + violation);
        if (m_observer.violations().empty())
            return true;
        m_deployment.keepDirectory();
        return false;
    }

    std::string summary() const
    {
        int accepted = 0;
        for (const auto& [id, job] : m_observer.jobs)
            accepted += job.acceptedAt.has_value();
        json figures { { "instances", m_plan.instances }, { "seconds", m_plan.durationMs / 1000 },
            { "keep_seconds", m_plan.keepSeconds }, { "jobs", m_observer.jobs.size() },
            { "accepted", accepted }, { "attempts", m_attempts }, { "faults", m_faults } };
        std::string out = "seed " + std::to_string(m_seed)
            + (m_observer.violations().empty() ? ": ok" : ": FAILED, logs in " + m_deployment.directory())
            + " " + figures.dump();
        for (const auto& violation : m_observer.violations())
            out += "\n  " + violation;
        return out;
    }

private:
    enum class instance_state : uint8_t { up, down, stopped, terminating };
    struct submission {
        std::string id;
        std::string path;
        std::string body;
        int triesLeft = 0;
    };
    using submission_ptr = std::shared_ptr<submission>;

    bool chance(int percent) { return between(1, 100) <= percent; }

    void runFor(int64_t durationMs)
    {
        m_loop.after(durationMs, [this] { m_loop.stop(); });
        m_loop.run();
    }

    int64_t between(int64_t low, int64_t high)
    {
        return std::uniform_int_distribution<int64_t>(low, high)(m_random);
    }

    void trace(const std::string& text) { m_trace << nowMs() << " " << text << std::endl; }

    std::string pickInstance()
    {
        auto next = m_clients.begin();
        std::advance(next, between(0, static_cast<int64_t>(m_clients.size()) - 1));
        return next->first;
    }

    http_client& anyInstance() { return *m_clients.at(pickInstance()); }

    void submitNew()
    {
        if (!m_taking)
            return;
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(m_seed),
            static_cast<unsigned>(m_observer.jobs.size()));
        tracked_job& job = m_observer.jobs[id];
        job.kind = chance(4) ? job_kind::service : chance(5) ? job_kind::failing : job_kind::plain;
        job.tasks = static_cast<int>(between(1, 4));
        json step { { "Count", job.tasks }, { "Cpu", 50 }, { "MemMb", 10 } };
        std::string payload = "work_ms=" + std::to_string(chance(10) ? between(500, 3000) : between(10, 300));
        if (job.kind == job_kind::service) {
            step["LongRunning"] = true;
            payload = "work_ms=600000";
        }
        if (job.kind == job_kind::failing)
            payload += " fail";
        job.path = std::string(chance(50) ? "/quick/" : "/batch/") + id;
        json body { { "Spec", payload }, { "Steps", json::array({ step }) } };
        submit(std::make_shared<submission>(submission { id, job.path, body.dump(), submitTries }));
        m_loop.after(between(10, 120), [this] { submitNew(); });
    }

    void submit(const submission_ptr& sent)
    {
        sent->triesLeft--;
        anyInstance().call("POST", sent->path, {}, sent->body, callTimeoutMs,
            [this, sent](const http_response& response) { onSubmitted(sent, response); });
    }

    void onSubmitted(const submission_ptr& sent, const http_response& response)
    {
        tracked_job& job = m_observer.jobs.at(sent->id);
        if (response.status == 200)
            return onAccepted(sent);
        if (response.status == 503 || response.status == 429)
            return;
        if (response.status >= 400 && response.status < 500)
            m_observer.addViolation("job " + sent->id + " was answered " + std::to_string(response.status));
        job.refusedOnly = false;
        if (sent->triesLeft > 0)
            m_loop.after(between(1, 100), [this, sent] { submit(sent); });
    }

    void onAccepted(const submission_ptr& sent)
    {
        tracked_job& job = m_observer.jobs.at(sent->id);
        job.refusedOnly = false;
        job.acceptedAt = nowMs();
        if (chance(30))
            m_loop.after(between(1, m_plan.maxRepeatMs), [this, sent] { repeat(sent); });
        if (chance(job.kind == job_kind::service ? 60 : 6))
            m_loop.after(between(1, 4000), [this, sent] { cancel(sent->id); });
        askState(sent, stateAsks);
    }

    void repeat(const submission_ptr& sent)
    {
        anyInstance().call("POST", sent->path, { { "Time-Left-Ms", std::to_string(repeatTimeLeftMs) } },
            sent->body, repeatTimeLeftMs, [](const http_response&) {});
    }

    void askState(const submission_ptr& sent, int asksLeft)
    {
        if (asksLeft == 0)
            return;
        m_loop.after(between(50, 1500), [this, sent, asksLeft] {
            int64_t askedAt = nowMs();
            anyInstance().call("GET", sent->path, {}, {}, callTimeoutMs,
                [this, sent, asksLeft, askedAt](const http_response& response) {
                    json body = json::parse(response.body, nullptr, false);
                    std::string state = body.is_object() ? body.value("State", std::string()) : std::string();
                    m_observer.onState(sent->id, response.status, state, askedAt, nowMs());
                    if (!m_observer.jobs.at(sent->id).completedAt)
                        askState(sent, asksLeft - 1);
                });
        });
    }

    // Repeats the cancel until it is acknowledged.
    void cancel(const std::string& id)
    {
        tracked_job& job = m_observer.jobs.at(id);
        if (job.cancelledAt)
            return;
        if (!job.cancelSentAt)
            job.cancelSentAt = nowMs();
        anyInstance().call(
            "DELETE", job.path, {}, {}, callTimeoutMs, [this, id](const http_response& response) {
                if (response.status == 200 || response.status == 410)
                    m_observer.jobs.at(id).cancelledAt = nowMs();
                else
                    m_loop.after(between(20, 200), [this, id] { cancel(id); });
            });
    }

    void scheduleFault()
    {
        m_loop.after(between(300, 3500), [this] {
            if (!m_taking)
                return;
            injectFault();
            scheduleFault();
        });
    }

    void injectFault()
    {
        m_faults++;
        if (chance(45))
            return disturbStore();
        std::string name = chance(60) ? m_deployment.leader() : pickInstance();
        if (!name.empty() && m_states[name] == instance_state::up)
            disturbInstance(name);
    }

    void disturbInstance(const std::string& name)
    {
        int64_t now = nowMs();
        int64_t pause = between(200, 3000);
        switch (between(1, 3)) {
        case 1:
            trace("kill " + name);
            m_deployment.kill(name);
            m_states[name] = instance_state::down;
            m_observer.addDisturbance(now, now + pause);
            return restartLater(name, pause);
        case 2:
            pause = between(200, m_plan.maxStopMs);
            trace("stop " + name + " for " + std::to_string(pause));
            m_deployment.signal(name, SIGSTOP);
            m_states[name] = instance_state::stopped;
            m_observer.addDisturbance(now, now + pause);
            m_loop.after(pause, [this, name] {
                trace("continue " + name);
                m_deployment.signal(name, SIGCONT);
                m_states[name] = instance_state::up;
            });
            return;
        default:
            trace("terminate " + name);
            m_deployment.signal(name, SIGTERM);
            m_states[name] = instance_state::terminating;
            m_observer.addDisturbance(now, now + graceMs);
            return watchTermination(name, now + graceMs);
        }
    }

    void watchTermination(const std::string& name, int64_t until)
    {
        m_loop.after(50, [this, name, until] {
            if (!m_deployment.running(name)) {
                m_states[name] = instance_state::down;
                return restartLater(name, between(100, 1500));
            }
            if (nowMs() <= until)
                return watchTermination(name, until);
            m_observer.addViolation("instance " + name + " did not end after SIGTERM");
            m_deployment.kill(name);
            restartLater(name, 0);
        });
    }

    void restartLater(const std::string& name, int64_t pauseMs)
    {
        m_loop.after(pauseMs, [this, name] {
            trace("start " + name);
            m_deployment.restart(name);
            m_states[name] = instance_state::up;
        });
    }

    void disturbStore()
    {
        const std::string& topic
            = topics[static_cast<size_t>(between(0, static_cast<int64_t>(topics.size()) - 1))];
        int64_t delay = between(20, maxStoreDelayMs);
        const std::vector<json> faults { { { "fault", "refused" } }, { { "fault", "lost" } },
            { { "fault", "answered_late" }, { "delay_ms", delay } },
            { { "fault", "done_late" }, { "delay_ms", delay } },
            { { "fault", "unanswered" }, { "appends_only", true } },
            { { "fault", chance(50) ? "refused" : "unanswered" }, { "topic", topic },
                { "appends_only", true }, { "calls", between(1, 5) } } };
        auto index = static_cast<size_t>(between(0, static_cast<int64_t>(faults.size())));
        if (index < faults.size())
            return setStoreFault(faults[index], between(200, 4000));
        trace("drop history of " + topic);
        m_deployment.setStore({ { "drop_history", topic } });
    }

    void setStoreFault(const json& fault, int64_t forMs)
    {
        json order = fault;
        order["for_ms"] = forMs;
        trace("store " + order.dump());
        m_deployment.setStore(order);
        m_observer.addDisturbance(nowMs(), nowMs() + forMs);
    }

    void checkProcesses()
    {
        for (const auto& [name, state] : m_states) {
            bool expected = state == instance_state::up || state == instance_state::stopped;
            if (expected && m_deployment.pidOf(name) > 0 && !m_deployment.running(name))
                m_observer.addViolation("instance " + name + " ended by itself");
        }
    }

    // Ends the faults, cancels the service jobs, and checks all promises once the jobs are over.
    void finish()
    {
        m_taking = false;
        trace("finish");
        runFor(m_plan.maxStopMs + graceMs);
        m_deployment.setStore({ { "clear_faults", true } });
        runFor(settleMs);
        m_observer.checkServices(m_deployment.history());
        for (const auto& [id, job] : m_observer.jobs) {
            if (job.kind == job_kind::service && job.acceptedAt && !job.cancelSentAt)
                cancel(id);
        }
        int64_t until = nowMs() + finishMs;
        std::vector<std::string> unfinished;
        std::vector<fleet_attempt> history;
        do {
            runFor(500);
            history = m_deployment.history();
            unfinished = m_observer.unfinished(history);
        } while (!unfinished.empty() && nowMs() < until);
        m_attempts = history.size();
        for (const auto& id : unfinished)
            m_observer.addViolation("LOST job " + id + " is not over");
        m_observer.check(history);
    }

    uint64_t m_seed;
    std::mt19937_64 m_random;
    soak_plan m_plan;
    fleet_deployment m_deployment;
    event_loop m_loop;
    std::ofstream m_trace;
    observer m_observer;
    std::map<std::string, std::unique_ptr<http_client>> m_clients;
    std::map<std::string, instance_state> m_states;
    bool m_taking = true; // New jobs and faults are still created.
    size_t m_attempts = 0;
    int m_faults = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const option options[]
        = { { "from", required_argument, nullptr, 'f' }, { "count", required_argument, nullptr, 'c' },
              { "port", required_argument, nullptr, 'p' }, { nullptr, 0, nullptr, 0 } };
    uint64_t from = 1;
    uint64_t count = 1;
    uint16_t port = 23100;
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (optionCode == 'f') {
            from = std::stoull(optarg);
        } else if (optionCode == 'c') {
            count = std::stoull(optarg);
        } else if (optionCode == 'p') {
            port = static_cast<uint16_t>(std::stoi(optarg));
        } else {
            std::cerr << "usage: camphorwell-soak [--from SEED] [--count N] [--port FIRST_PORT]\n";
            return 2;
        }
    }
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (uint64_t seed = from; seed < from + count; seed++) {
        soak_run run(seed, port);
        failed += !run.run();
        std::cout << run.summary() << std::endl;
    }
    std::cout << count << " seeds, " << failed << " failed" << std::endl;
    return failed ? 1 : 0;
}
