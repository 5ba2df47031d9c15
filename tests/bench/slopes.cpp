// Measures how the cost of one instance grows with the number of workers, starts and running tasks, for
// docs/CAPACITY.md.
//
// Runs a single node in virtual time against worker models. Processor time is counted for the node only, not
// for the models. Prints one JSON object with the points (four sizes or more) and the least-squares line of
// each slope.
#include "coordination/coordination.h"
#include "standins/models.h"

#include <deque>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr int64_t tickMs = 20;
const resources workerCapacity { 1'000'000, 1'000'000, 0, 1000 };

double residentMb()
{
    std::ifstream in("/proc/self/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
}

json fitLine(const std::vector<std::pair<double, double>>& points)
{
    double n = static_cast<double>(points.size());
    double sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (const auto& [x, y] : points) {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    json out = { { "slope", slope }, { "intercept", (sy - slope * sx) / n }, { "points", json::array() } };
    for (const auto& [x, y] : points)
        out["points"].push_back({ x, y });
    return out;
}

class bench {
public:
    explicit bench(int workers)
        : m_log(3'600'000)
    {
        node_options options;
        options.self = { "a", 1, false };
        options.dataCentre = "dc";
        options.leaseMs = 6000;
        options.renewMs = 2000;
        options.taskLeaseMs = 18'000;
        m_node = std::make_unique<node>(options, 1);
        for (int i = 0; i < workers; i++) {
            std::string id = "worker-" + std::to_string(i);
            m_workers.emplace(id, worker_model(id, workerCapacity));
            m_list.workers.push_back({ id, "r", false });
        }
        feed(m_list);
        run(10'000);
        catalogue_change change;
        change.ticket = 1;
        change.record.changeId = "c1";
        change.record.name = "plan";
        change.record.body
            = R"({"name":"plan","owner":"o","class":"latency-critical","limits":{"cpuMilli":100,"memoryMb":1,"concurrent":1000000,"deadlineMs":1000000}})";
        feed(change);
        change.ticket = 2;
        change.record.changeId = "c2";
        change.record.name = "album";
        change.record.body
            = R"({"name":"album","owner":"o","class":"batch","limits":{"cpuMilli":100,"memoryMb":1,"concurrent":1000000}})";
        feed(change);
        run(5000);
    }

    void run(int64_t ms)
    {
        for (int64_t i = 0; i < ms / tickMs; i++) {
            m_now += milliseconds(tickMs);
            if (i % 25 == 0)
                feed(m_list);
            feed(tick {});
        }
    }

    void submit(const std::string& entry, const std::string& key, int64_t workMs)
    {
        submission submitted;
        submitted.ticket = ++m_tickets;
        submitted.request.entry = entry;
        submitted.request.body = "{\"work_ms\":" + std::to_string(workMs) + "}";
        submitted.request.deadlineMs = 1'000'000;
        submitted.request.respondAsync = entry == "album";
        if (!key.empty())
            submitted.request.id = keyedWorkId("dc", entry, key);
        feed(submitted);
    }

    void resetCost()
    {
        m_nodeTime = std::chrono::nanoseconds(0);
        m_callBytes = 0;
        m_calls = 0;
        m_appends = 0;
    }
    double nodeTimeUs() const { return static_cast<double>(m_nodeTime.count()) / 1000; }
    double callBytes() const { return static_cast<double>(m_callBytes); }
    uint64_t calls() const { return m_calls; }
    uint64_t appends() const { return m_appends; }
    node_status status() const { return m_node->status(); }

private:
    void feed(const event& first)
    {
        std::deque<event> queue { first };
        while (!queue.empty()) {
            event next = std::move(queue.front());
            queue.pop_front();
            auto begin = std::chrono::steady_clock::now();
            auto actions = m_node->handle(m_now, next);
            m_nodeTime += std::chrono::steady_clock::now() - begin;
            for (auto& each : actions)
                perform(each, queue);
        }
    }

    void perform(action& each, std::deque<event>& queue)
    {
        if (const auto* call = std::get_if<call_action>(&each)) {
            m_calls++;
            worker_answer answer = m_workers.at(call->worker).handle(m_now, call->payload);
            if (m_countBytes)
                m_callBytes += toJson(call->payload).dump().size() + toJson(answer).dump().size();
            queue.push_back(worker_reply { call->call, answer });
        } else if (const auto* append = std::get_if<append_action>(&each)) {
            m_appends++;
            m_log.append(m_now, append->stream, append->records);
            queue.push_back(append_reply { append->call, append_status::durable });
        } else if (const auto* read = std::get_if<read_action>(&each)) {
            read_reply reply = m_log.read(m_now, read->stream, read->from, 1000);
            reply.call = read->call;
            queue.push_back(reply);
        }
    }

    std::unique_ptr<node> m_node;
    std::map<worker_id, worker_model> m_workers;
    log_model m_log;
    platform_list m_list;
    instant m_now { 0 };
    std::chrono::nanoseconds m_nodeTime { 0 };
    uint64_t m_callBytes = 0;
    uint64_t m_calls = 0;
    uint64_t m_appends = 0;
    uint64_t m_tickets = 10;
    bool m_countBytes = true;
};

} // namespace

int main()
{
    std::vector<std::pair<double, double>> idleCpu;
    std::vector<std::pair<double, double>> leaseBytes;
    std::vector<std::pair<double, double>> startCost;
    for (int workers : { 20, 40, 80, 160, 320 }) {
        bench b(workers);
        b.resetCost();
        b.run(20'000);
        idleCpu.emplace_back(workers, b.nodeTimeUs() / 20); // Microseconds per second.
        leaseBytes.emplace_back(workers, b.callBytes() / 20);
        constexpr int starts = 2000;
        b.resetCost();
        for (int i = 0; i < starts; i++)
            b.submit("plan", {}, 0);
        startCost.emplace_back(workers, b.nodeTimeUs() / starts);
    }
    std::vector<std::pair<double, double>> taskCpu;
    std::vector<std::pair<double, double>> taskMemory;
    for (int tasks : { 500, 1000, 2000, 4000 }) {
        double before = residentMb();
        bench b(40);
        for (int i = 0; i < tasks; i++)
            b.submit("album", "k" + std::to_string(i), 3'600'000);
        b.resetCost();
        b.run(10'000);
        taskCpu.emplace_back(tasks, b.nodeTimeUs() / 10);
        taskMemory.emplace_back(tasks, residentMb() - before);
    }
    heartbeat beat;
    beat.promised = { 1000, "north-1" };
    beat.catalogueNext = 10'000;
    beat.freeCapacity = { 16000, 60000, 0, 8 };
    beat.freeSlots = 100;
    size_t heartbeatBytes = json::to_cbor(toJson(message(beat))).size();
    worker_taken taken;
    taken.id = { 1000, "north-1" };
    taken.worker = "worker-123";
    size_t emptyTaken = json::to_cbor(toJson(message(taken))).size();
    task_report report;
    report.id = keyedWorkId("north", "album", "k");
    report.attempt = 1'024'001;
    report.worker = "worker-123";
    report.need = { 1000, 256, 0, 1 };
    report.batch = true;
    report.entry = "album-proof";
    taken.tasks.push_back(report);
    size_t oneTaken = json::to_cbor(toJson(message(taken))).size();
    json out = { { "idle_us_per_second_by_workers", fitLine(idleCpu) },
        { "lease_bytes_per_second_by_workers", fitLine(leaseBytes) },
        { "start_us_by_workers", fitLine(startCost) }, { "us_per_second_by_running_batch", fitLine(taskCpu) },
        { "resident_mb_by_running_batch_with_models", fitLine(taskMemory) },
        { "heartbeat_bytes", heartbeatBytes }, { "worker_taken_bytes", emptyTaken },
        { "task_report_bytes", oneTaken - emptyTaken } };
    std::cout << out.dump(2) << "\n";
    return 0;
}
