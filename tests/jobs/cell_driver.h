// Drives a cell in unit tests, and builds the jobs, queues and workers that they need.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell::testing {

// A job of the queue `batch` with one step of `count` tasks, each of one core and 100 MiB.
inline job_record singleStepJob(int count)
{
    job_record out { "batch", 1'000, { "text", {}, 0, 0, 0 } };
    step_spec step;
    step.count = count;
    step.cpuMilli = 1000;
    step.memoryMb = 100;
    out.spec.steps.push_back(step);
    return out;
}

// A job of one service task with a latency target, which makes it latency-critical.
inline job_record latencyCriticalJob(ms tailLatencyTargetMs)
{
    job_record out = singleStepJob(1);
    out.spec.steps[0].isService = true;
    out.spec.steps[0].image = "s";
    out.spec.steps[0].tailLatencyTargetMs = tailLatencyTargetMs;
    return out;
}

inline job_record bestEffortJob()
{
    job_record out = singleStepJob(1);
    out.spec.steps[0].isBestEffort = true;
    out.spec.steps[0].image = "f";
    return out;
}

inline std::shared_ptr<queue_table> batchQueue()
{
    auto table = std::make_shared<queue_table>();
    (*table)["batch"] = { "batch", "service", 2, 3, 2.0, 1000, false, 0 };
    return table;
}

// A worker of 8 cores and 16000 MiB.
inline worker_record workerRecord(const std::string& id)
{
    worker_record out;
    out.id = id;
    out.address = "10.0.0.1:80";
    out.service = "service";
    out.capacity = { 8000, 16000, 0, 0 };
    out.startedUnixMs = 5;
    return out;
}

constexpr int64_t laterLifeMs = 9; // Start of a later incarnation than that of workerRecord().

inline worker_record entryOfLaterLife()
{
    worker_record out = workerRecord("w");
    out.startedUnixMs = laterLifeMs;
    return out;
}

inline worker_report reportOfLaterLife()
{
    worker_report out;
    out.startedUnixMs = laterLifeMs;
    return out;
}

// Of the incarnation of workerRecord(), on which the first attempt of the task runs.
inline worker_report reportOfRunning(const task_ref& task)
{
    worker_report out;
    out.running.push_back({ task, 1, "", 10, 0 });
    return out;
}

// A cell whose event loop, clock and store are simulated. The test takes its actions and delivers the
// answers.
struct cell_driver {
    cell scheduler;
    ms now = 1'000;
    std::vector<action> actions; // Collected from the cell and not taken by the test yet.
    std::map<job_id, std::string> progress; // Newest confirmed record of each job.

    explicit cell_driver(const cell_settings& settings = {})
        : scheduler(settings, batchQueue(), [](const log_line&) {})
    {
        scheduler.setClock(now, now);
    }
    // Runs one iteration of the event loop. The clock advances by 20 ms, more than the interval between
    // placement passes. Unless `durable`, a write is taken but not confirmed.
    void runOnce(bool durable = true)
    {
        now += 20;
        scheduler.setRenewedAt(now);
        scheduler.tick(now, now);
        collectActions();
        if (auto batch = scheduler.takeWrite(now)) {
            if (!durable)
                return;
            for (const auto& record : batch->records)
                progress[record.key] = record.bytes;
            scheduler.onWritten(now);
        }
        collectActions();
    }
    void collectActions()
    {
        for (action& next : scheduler.takeActions())
            actions.push_back(std::move(next));
    }
    // Removes and returns the collected actions of one kind.
    template <typename action_kind> std::vector<action_kind> take()
    {
        std::vector<action_kind> out;
        for (const action& candidate : actions) {
            if (const auto* found = std::get_if<action_kind>(&candidate))
                out.push_back(*found);
        }
        std::erase_if(
            actions, [](const action& candidate) { return std::holds_alternative<action_kind>(candidate); });
        return out;
    }
    // Delivers a worker's answer to a poll. A report without a birth time gets that of workerRecord().
    void report(const worker_id& id, worker_report report)
    {
        report.startedUnixMs = report.startedUnixMs ? report.startedUnixMs : 5;
        report.clockWorkerMs = now;
        scheduler.onReport(id, report, now, now);
    }
};

} // namespace camphorwell::testing
