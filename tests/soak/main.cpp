// camphorwell-soak: seeded runs of the scheduler as real processes under overlapping faults. Exits with 1 if
// a run breaks a promise, and prints its seed and the directory of its logs.
//
// A request may be carried out long after it was sent: its instance was stopped, or the store was slow. A
// repeated submission is recognised for `keepSeconds`, so these delays together stay below it.
#include "tests/soak/observer.h"
#include "tests/soak/recut_plan.h"

#include <algorithm>
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
constexpr int64_t lostWorkerSettleMs = 9000; // The same if the last fault may be the loss of workers.
constexpr int64_t maxZonedFaultMs = 9000;
constexpr int64_t maxZoneCutMs = 6000;
constexpr int64_t maxPowerOffMs = 3000; // Of instances.
constexpr int64_t finishMs = 25'000; // Jobs are over this long after the last fault.
constexpr int aniversaWorkers = 66;
constexpr int recutWorkers = 15;
constexpr int64_t earlyServicesMs = 2500;
constexpr int stateAsks = 12;
constexpr size_t connectionsPerInstance = 32;
const char* const host = "127.0.0.1";
const std::vector<std::string> topics { "keyed.jobs-0", "keyed.progress-0", "keyed.claims", "keyed.servers",
    "keyed.instances" };

int64_t nowMs() { return std::chrono::duration_cast<milliseconds>(event_loop::now()).count(); }

enum class soak_shape : uint8_t { mixed, aniversa, recut };

enum class zoned_fault : uint8_t {
    workers_off,
    workers_cut,
    workers_gone,
    leader_and_workers_gone,
    all_instances_off,
    zone_cut,
    store,
    instance,
};
constexpr int64_t zonedFaults = 8;

struct planned_fault {
    int64_t atMs = 0; // After the start of the traffic.
    zoned_fault kind = zoned_fault::instance;
    int64_t forMs = 0;
};

// What follows from the shape and the seed.
struct soak_plan {
    soak_shape shape = soak_shape::mixed;
    int instances = 3;
    int workers = 6;
    std::vector<std::string> zones { "north" };
    int64_t maxLeaseMs = 6000;
    int64_t heartbeatMs = 500;
    int keepSeconds = 3;
    int submitTries = 6;
    int earlyServices = 0; // Service jobs that are submitted before the other ones.
    int64_t durationMs = 0;
    int64_t maxStopMs = 0;
    int64_t maxRepeatMs = 0; // Submissions are repeated within this time after they were accepted.
    int64_t readBytes = 0; // Bound on a read; 0: the platform's.
    std::vector<planned_fault> faults; // Besides those that are drawn during the run.
    std::vector<planned_recut> recuts;
};

// Groups of faults at almost the same moment. Two kinds are in every run.
std::vector<planned_fault> planZonedFaults(std::mt19937_64& random, int64_t durationMs)
{
    auto draw = [&](int64_t low, int64_t high) {
        return std::uniform_int_distribution<int64_t>(low, high)(random);
    };
    std::vector<planned_fault> out;
    for (int64_t at = draw(500, 3000); at < durationMs; at += draw(2000, 15'000)) {
        for (int64_t i = 0, count = draw(1, 3); i < count; i++) {
            auto kind = static_cast<zoned_fault>(draw(0, zonedFaults - 1));
            out.push_back({ at + draw(0, 300), kind, draw(500, maxZonedFaultMs) });
        }
    }
    out[static_cast<size_t>(draw(0, static_cast<int64_t>(out.size()) - 1))].kind
        = zoned_fault::leader_and_workers_gone;
    out.push_back({ draw(0, durationMs), zoned_fault::all_instances_off, draw(500, maxZonedFaultMs) });
    return out;
}

// The users' deployment. The retention outlasts a stop, a zone that is cut off, and the repeats of a caller.
soak_plan aniversaPlan(uint64_t seed)
{
    std::mt19937_64 random(seed);
    soak_plan plan;
    plan.shape = soak_shape::aniversa;
    plan.instances = 6;
    plan.workers = aniversaWorkers;
    plan.zones = { "north", "south", "west" };
    plan.maxLeaseMs = 10'000;
    plan.heartbeatMs = 1100;
    plan.keepSeconds = 14;
    plan.submitTries = 3;
    plan.earlyServices = 30;
    plan.maxStopMs = 3000;
    plan.maxRepeatMs = 3000;
    plan.durationMs = static_cast<int64_t>(45'000 + random() % 15'000);
    plan.faults = planZonedFaults(random, plan.durationMs);
    return plan;
}

// Long tasks on workers that return under their ids and are cut off soon after.
soak_plan recutPlan(uint64_t seed)
{
    std::mt19937_64 random(seed);
    soak_plan plan;
    plan.shape = soak_shape::recut;
    plan.instances = 3 + static_cast<int>(random() % 2);
    plan.workers = recutWorkers;
    plan.zones = { "north", "south", "west" };
    plan.maxLeaseMs = 10'000;
    plan.heartbeatMs = 1500;
    plan.keepSeconds = 14;
    plan.submitTries = 3;
    plan.earlyServices = 3;
    plan.maxStopMs = maxLeaderTroubleMs;
    plan.maxRepeatMs = 3000;
    plan.durationMs = static_cast<int64_t>(30'000 + random() % 10'000);
    plan.recuts = planRecuts(random, plan.durationMs, plan.zones, plan.workers);
    return plan;
}

soak_plan planOf(soak_shape shape, uint64_t seed)
{
    if (shape == soak_shape::recut)
        return recutPlan(seed);
    if (shape == soak_shape::aniversa)
        return aniversaPlan(seed);
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
    soak_run(soak_shape shape, uint64_t seed, uint16_t firstPort)
        : m_seed(seed)
        , m_random(seed)
        , m_plan(planOf(shape, seed))
        , m_deployment({ .firstPort = firstPort,
              .instances = m_plan.instances,
              .workers = m_plan.workers,
              .keepSeconds = m_plan.keepSeconds,
              .host = host,
              .zones = m_plan.zones,
              .maxLeaseMs = m_plan.maxLeaseMs,
              .heartbeatMs = m_plan.heartbeatMs })
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
            if (m_plan.earlyServices)
                submitEarlyServices();
            submitNew();
            switch (m_plan.shape) {
            case soak_shape::mixed:
                scheduleFault();
                break;
            case soak_shape::aniversa:
                scheduleZonedFaults();
                break;
            case soak_shape::recut:
                scheduleRecuts();
                break;
            }
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
        switch (m_plan.shape) {
        case soak_shape::mixed:
            submitOneStep();
            break;
        case soak_shape::aniversa:
            submitWithSteps();
            break;
        case soak_shape::recut:
            submitLong();
            break;
        }
        m_loop.after(between(10, 120), [this] { submitNew(); });
    }

    std::string nextId() const
    {
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(m_seed),
            static_cast<unsigned>(m_observer.jobs.size()));
        return id;
    }

    // Waits until the tasks of the accepted jobs run.
    void submitEarlyServices()
    {
        for (int i = 0; i < m_plan.earlyServices; i++)
            submitService(chance(15));
        runFor(earlyServicesMs);
    }

    void submitService(bool fails)
    {
        std::string id = nextId();
        tracked_job& job = m_observer.jobs[id];
        job.kind = job_kind::service;
        job.fails = fails;
        job.tasks = static_cast<int>(between(3, 9));
        json step { { "Count", job.tasks }, { "Cpu", 500 }, { "MemMb", 100 }, { "LongRunning", true } };
        std::string payload
            = fails ? "work_ms=" + std::to_string(between(3000, 12'000)) + " fail" : "work_ms=600000";
        submitJob(id, job, payload, json::array({ step }));
    }

    // One or two steps; the second depends on the first.
    void submitWithSteps()
    {
        if (chance(2))
            return submitService(false);
        std::string id = nextId();
        tracked_job& job = m_observer.jobs[id];
        job.kind = chance(12) ? job_kind::failing : job_kind::plain;
        json steps = json::array();
        for (int64_t i = 0, count = between(1, 2); i < count; i++) {
            job.steps.push_back(static_cast<int>(between(1, 6)));
            job.tasks += job.steps.back();
            json step { { "Count", job.steps.back() }, { "Cpu", 100 }, { "MemMb", 50 } };
            if (i > 0)
                step["DependsOn"] = { i - 1 };
            steps.push_back(step);
        }
        std::string payload
            = "work_ms=" + std::to_string(chance(10) ? between(1000, 4000) : between(100, 900));
        submitJob(id, job, payload + (job.kind == job_kind::failing ? " fail" : ""), steps);
    }

    void submitJob(const std::string& id, tracked_job& job, const std::string& payload, const json& steps)
    {
        job.path = std::string(chance(50) ? "/quick/" : "/batch/") + id;
        json body { { "Spec", payload }, { "Steps", steps } };
        submit(std::make_shared<submission>(submission { id, job.path, body.dump(), m_plan.submitTries }));
    }

    void submitOneStep()
    {
        std::string id = nextId();
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
        submitJob(id, job, payload, json::array({ step }));
    }

    // Two in three of the tasks are long.
    void submitLong()
    {
        std::string id = nextId();
        tracked_job& job = m_observer.jobs[id];
        job.tasks = static_cast<int>(between(1, 2));
        json step { { "Count", job.tasks }, { "Cpu", 200 }, { "MemMb", 50 } };
        std::string payload
            = "work_ms=" + std::to_string(chance(66) ? between(5000, 20'000) : between(100, 900));
        submitJob(id, job, payload, json::array({ step }));
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
        // An order that is held by the longest cut is carried out later than the bound on cancels allows for.
        if (m_plan.shape != soak_shape::recut
            && chance(job.kind == job_kind::service && m_plan.shape == soak_shape::mixed ? 60 : 6))
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

    void scheduleZonedFaults()
    {
        for (const planned_fault& fault : m_plan.faults)
            m_loop.after(fault.atMs, [this, fault] { injectZonedFault(fault); });
    }

    void injectZonedFault(const planned_fault& fault)
    {
        if (!m_taking)
            return;
        m_faults++;
        switch (fault.kind) {
        case zoned_fault::workers_off:
            return loseWorkers("power_off", between(1, m_plan.workers / 4), fault.forMs);
        case zoned_fault::workers_cut:
            return loseWorkers("cut_off", between(1, m_plan.workers / 4), fault.forMs);
        case zoned_fault::workers_gone:
            return loseWorkersForGood();
        case zoned_fault::leader_and_workers_gone: {
            std::string leader = m_deployment.leader();
            loseWorkersForGood();
            return killInstances({ leader }, std::min(fault.forMs, maxPowerOffMs));
        }
        case zoned_fault::all_instances_off:
            return killInstances(m_deployment.instances(), std::min(fault.forMs, maxPowerOffMs));
        case zoned_fault::zone_cut:
            return cutZone(std::min(fault.forMs, maxZoneCutMs));
        case zoned_fault::store:
            return disturbStore();
        case zoned_fault::instance:
            return disturbAnyInstance();
        }
    }

    void scheduleRecuts()
    {
        for (const planned_recut& recut : m_plan.recuts)
            m_loop.after(recut.atMs, [this, recut] { injectRecut(recut); });
    }

    void injectRecut(const planned_recut& recut)
    {
        m_faults++;
        json affected = recut.zone.empty() ? json { { "workers", pickWorkers(recut.workers) } }
                                           : json { { "zone", recut.zone } };
        json powerOff = affected;
        powerOff.update({ { "worker_fault", "power_off" }, { "for_ms", recut.offMs },
            { "entry_lag_ms", recut.entryLagMs } });
        setPlatform(powerOff, recut.offMs + recut.entryLagMs);
        m_loop.after(recut.offMs + recut.cutAfterMs, [this, affected, recut] {
            json cut = affected;
            cut.update({ { "worker_fault", "cut_off" }, { "for_ms", recut.cutMs } });
            setPlatform(cut, recut.cutMs);
        });
        m_loop.after(recut.troubleAfterMs, [this, recut] { troubleLeader(recut); });
    }

    void troubleLeader(const planned_recut& recut)
    {
        std::string leader = m_deployment.leader();
        if (!m_taking || leader.empty() || m_states[leader] != instance_state::up)
            return;
        switch (recut.trouble) {
        case leader_trouble::none:
            return;
        case leader_trouble::frozen:
            return freezeInstance(leader, recut.troubleMs);
        case leader_trouble::killed:
            return killInstance(leader, recut.troubleMs);
        case leader_trouble::replaced:
            return terminateInstance(leader);
        case leader_trouble::cut_from_store:
            return setPlatform(
                { { "store_cut", m_deployment.zoneOf(leader) }, { "for_ms", recut.troubleMs } },
                recut.troubleMs);
        }
    }

    // The workers that remain have room for all tasks.
    void loseWorkersForGood()
    {
        int64_t count = std::min<int64_t>(m_plan.workers / 4, m_plan.workers / 2 - m_workersGone);
        if (count <= 0)
            return loseWorkers("power_off", m_plan.workers / 4, between(500, maxZonedFaultMs));
        m_workersGone += count;
        loseWorkers("power_off", count, std::nullopt);
    }

    // Half of them are workers that run tasks, as far as there are so many.
    std::vector<std::string> pickWorkers(int64_t count)
    {
        std::set<std::string> busy;
        for (const fleet_attempt& attempt : m_deployment.history()) {
            if (!attempt.endedAt)
                busy.insert(attempt.worker);
        }
        std::vector<std::string> names;
        for (int i = 0; i < m_plan.workers; i++)
            names.push_back("worker-" + std::to_string(i));
        std::shuffle(names.begin(), names.end(), m_random);
        auto idle = std::stable_partition(
            names.begin(), names.end(), [&](const std::string& name) { return busy.contains(name); });
        names.erase(std::min(idle, names.begin() + (count + 1) / 2), idle);
        names.resize(std::min(names.size(), static_cast<size_t>(count)));
        return names;
    }

    void loseWorkers(const std::string& fault, int64_t count, std::optional<int64_t> forMs)
    {
        json order { { "worker_fault", fault }, { "workers", pickWorkers(count) } };
        if (forMs)
            order["for_ms"] = *forMs;
        setPlatform(order, forMs.value_or(0));
    }

    void cutZone(int64_t forMs)
    {
        const std::string& zone
            = m_plan.zones[static_cast<size_t>(between(0, static_cast<int64_t>(m_plan.zones.size()) - 1))];
        json order { { "store_cut", zone }, { "for_ms", forMs } };
        if (chance(70))
            order.update({ { "worker_fault", chance(70) ? "cut_off" : "power_off" }, { "zone", zone } });
        setPlatform(order, forMs);
    }

    // Ends the processes at the same moment.
    void killInstances(const std::vector<std::string>& names, int64_t pauseMs)
    {
        for (const std::string& name : names) {
            if (!name.empty() && m_states[name] == instance_state::up)
                m_deployment.signal(name, SIGKILL);
        }
        for (const std::string& name : names) {
            if (!name.empty() && m_states[name] == instance_state::up)
                killInstance(name, pauseMs);
        }
    }

    void killInstance(const std::string& name, int64_t pauseMs)
    {
        trace("kill " + name);
        m_deployment.kill(name);
        m_states[name] = instance_state::down;
        m_observer.addDisturbance(nowMs(), nowMs() + pauseMs);
        restartLater(name, pauseMs);
    }

    void injectFault()
    {
        m_faults++;
        if (chance(45))
            return disturbStore();
        disturbAnyInstance();
    }

    void disturbAnyInstance()
    {
        std::string name = chance(60) ? m_deployment.leader() : pickInstance();
        if (!name.empty() && m_states[name] == instance_state::up)
            disturbInstance(name);
    }

    void disturbInstance(const std::string& name)
    {
        int64_t pause = between(200, 3000);
        switch (between(1, 3)) {
        case 1:
            return killInstance(name, pause);
        case 2:
            return freezeInstance(name, between(200, m_plan.maxStopMs));
        default:
            return terminateInstance(name);
        }
    }

    void freezeInstance(const std::string& name, int64_t pauseMs)
    {
        trace("stop " + name + " for " + std::to_string(pauseMs));
        m_deployment.signal(name, SIGSTOP);
        m_states[name] = instance_state::stopped;
        m_observer.addDisturbance(nowMs(), nowMs() + pauseMs);
        m_loop.after(pauseMs, [this, name] {
            trace("continue " + name);
            m_deployment.signal(name, SIGCONT);
            m_states[name] = instance_state::up;
        });
    }

    void terminateInstance(const std::string& name)
    {
        int64_t until = nowMs() + graceMs;
        trace("terminate " + name);
        m_deployment.signal(name, SIGTERM);
        m_states[name] = instance_state::terminating;
        m_observer.addDisturbance(nowMs(), until);
        watchTermination(name, until);
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
        setPlatform(order, forMs);
    }

    void setPlatform(const json& order, int64_t disturbedMs)
    {
        trace("platform " + order.dump());
        int64_t sentAt = nowMs();
        m_deployment.setStore(order);
        m_observer.addDisturbance(sentAt, nowMs() + disturbedMs);
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
        runFor(m_plan.shape == soak_shape::mixed ? settleMs : lostWorkerSettleMs);
        m_observer.checkServices(m_deployment.history());
        int64_t servicesUntil = nowMs();
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
        m_observer.checkRestarts(history, servicesUntil);
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
    int64_t m_workersGone = 0; // For good.
};

} // namespace

int main(int argc, char** argv)
{
    const option options[] = { { "from", required_argument, nullptr, 'f' },
        { "count", required_argument, nullptr, 'c' }, { "shape", required_argument, nullptr, 's' },
        { "port", required_argument, nullptr, 'p' }, { nullptr, 0, nullptr, 0 } };
    uint64_t from = 1;
    uint64_t count = 1;
    uint16_t port = 23100;
    soak_shape shape = soak_shape::mixed;
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", options, nullptr)) != -1) {
        if (optionCode == 'f') {
            from = std::stoull(optarg);
        } else if (optionCode == 'c') {
            count = std::stoull(optarg);
        } else if (optionCode == 's' && optarg == std::string("aniversa")) {
            shape = soak_shape::aniversa;
        } else if (optionCode == 's' && optarg == std::string("recut")) {
            shape = soak_shape::recut;
        } else if (optionCode == 'p') {
            port = static_cast<uint16_t>(std::stoi(optarg));
        } else {
            std::cerr << "usage: camphorwell-soak [--from SEED] [--count N] [--shape aniversa|recut] "
                         "[--port FIRST_PORT]\n";
            return 2;
        }
    }
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (uint64_t seed = from; seed < from + count; seed++) {
        soak_run run(shape, seed, port);
        failed += !run.run();
        std::cout << run.summary() << std::endl;
    }
    std::cout << count << " seeds, " << failed << " failed" << std::endl;
    return failed ? 1 : 0;
}
