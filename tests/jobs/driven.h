// A cell driven by hand, with records and workers to go with it.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell::testing {

inline job_record oneStep(int count)
{
    job_record out { "batch", 1'000, { "text", {}, 0, 0, 0 } };
    step_spec step;
    step.count = count;
    step.cpuMilli = 1000;
    step.memoryMb = 100;
    out.spec.steps.push_back(step);
    return out;
}

// A task that serves its own users.
inline job_record servingJob(ms tailTargetMs)
{
    job_record out = oneStep(1);
    out.spec.steps[0].lasting = true;
    out.spec.steps[0].image = "s";
    out.spec.steps[0].tailTargetMs = tailTargetMs;
    return out;
}

inline job_record fillerJob()
{
    job_record out = oneStep(1);
    out.spec.steps[0].filler = true;
    out.spec.steps[0].image = "f";
    return out;
}

inline std::shared_ptr<queue_table> batchQueue()
{
    auto table = std::make_shared<queue_table>();
    (*table)["batch"] = { "batch", "service", 2, 3, 2.0, 1000, false, 0 };
    return table;
}

inline worker_record worker(const std::string& id)
{
    worker_record out;
    out.id = id;
    out.address = "10.0.0.1:80";
    out.service = "service";
    out.capacity = { 8000, 16000, 0, 0 };
    out.bornUnixMs = 5;
    return out;
}

// A cell driven by hand.
struct driven {
    cell scheduler;
    ms now = 1'000;
    std::vector<action> actions;
    std::map<job_id, std::string> progress;

    driven()
        : scheduler(cell_settings {}, batchQueue(), [](const log_line&) {})
    {
        scheduler.setClock(now, now);
    }
    // One turn of the loop; work is placed at most every few milliseconds.
    void step(bool durable = true)
    {
        now += 20;
        scheduler.setMayGrantLeases(true);
        scheduler.tick(now, now);
        collect();
        if (auto batch = scheduler.takeWrite(now)) {
            if (!durable)
                return;
            for (const auto& each : batch->records)
                progress[each.job] = each.bytes;
            scheduler.onWritten(now);
        }
        collect();
    }
    void collect()
    {
        for (action& each : scheduler.takeActions())
            actions.push_back(std::move(each));
    }
    template <typename Kind> std::vector<Kind> take()
    {
        std::vector<Kind> out;
        for (const action& each : actions) {
            if (const auto* found = std::get_if<Kind>(&each))
                out.push_back(*found);
        }
        std::erase_if(actions, [](const action& each) { return std::holds_alternative<Kind>(each); });
        return out;
    }
    // Answers the look at a worker.
    void report(const worker_id& id, worker_report report)
    {
        report.bornUnixMs = report.bornUnixMs ? report.bornUnixMs : 5;
        report.clockWorkerMs = now;
        scheduler.onReport(id, report, now, now);
    }
};

} // namespace camphorwell::testing
