// Log records of jobs, as CBOR arrays. The first element is the version of the format: a reader accepts every
// version up to its own, so that instances of two releases can run together during a rolling restart.
#include "jobs/jobs.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr int jobFormat = 1;
    constexpr int maxTasksPerStep = 5000;
    constexpr int maxSteps = 200;

    enum encoded_flag {
        checkpoints = 1,
        gang = 2,
        same_rack = 4,
        speculative = 8,
        service_task = 16,
        best_effort = 32
    };

    int flagsOf(const step_spec& s)
    {
        return (s.checkpoints ? checkpoints : 0) | (s.gang ? gang : 0) | (s.sameRack ? same_rack : 0)
            | (s.speculative ? speculative : 0) | (s.isService ? service_task : 0)
            | (s.isBestEffort ? best_effort : 0);
    }

    json toJson(const step_spec& s)
    {
        return json::array({ s.count, s.cpuMilli, s.memoryMb, s.accelerators, s.estimateMs, s.dependsOn,
            flagsOf(s), s.requiredLabel, s.preferredRack, s.maxPerWorker, s.image, s.tailLatencyTargetMs,
            s.maxUnavailable });
    }

    step_spec stepOf(const json& row)
    {
        step_spec s;
        s.count = row.at(0);
        s.cpuMilli = row.at(1);
        s.memoryMb = row.at(2);
        s.accelerators = row.at(3);
        s.estimateMs = row.at(4);
        s.dependsOn = row.at(5).get<std::vector<int>>();
        int flags = row.at(6);
        s.checkpoints = flags & checkpoints;
        s.gang = flags & gang;
        s.sameRack = flags & same_rack;
        s.speculative = flags & speculative;
        s.isService = flags & service_task;
        s.isBestEffort = flags & best_effort;
        s.requiredLabel = row.at(7);
        s.preferredRack = row.at(8);
        s.maxPerWorker = row.at(9);
        s.image = row.at(10);
        s.tailLatencyTargetMs = row.at(11);
        s.maxUnavailable = row.at(12);
        return s;
    }

} // namespace

std::string encodeJob(const job_record& record)
{
    json steps = json::array();
    for (const auto& each : record.spec.steps)
        steps.push_back(toJson(each));
    json row = json::array({ jobFormat, record.queue, record.acceptedUnixMs, record.spec.payload,
        std::move(steps), record.spec.repeatCount, record.spec.startAtUnixMs, record.spec.intervalMs });
    std::string out;
    json::to_cbor(row, out);
    return out;
}

std::optional<job_record> decodeJob(std::string_view bytes)
{
    // nlohmann::json throws on wrong types; a malformed record is rejected.
    try {
        json row = json::from_cbor(bytes, true, false);
        if (!row.is_array() || row.at(0).get<int>() > jobFormat)
            return std::nullopt;
        job_record out;
        out.queue = row.at(1);
        out.acceptedUnixMs = row.at(2);
        out.spec.payload = row.at(3);
        for (const auto& each : row.at(4))
            out.spec.steps.push_back(stepOf(each));
        out.spec.repeatCount = row.at(5);
        out.spec.startAtUnixMs = row.at(6);
        out.spec.intervalMs = row.at(7);
        if (validationError(out.spec))
            return std::nullopt;
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> validationError(const job_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > maxSteps)
        return "steps: " + std::to_string(spec.steps.size()) + ": must be 1 to " + std::to_string(maxSteps);
    for (size_t i = 0; i < spec.steps.size(); i++) {
        const step_spec& step = spec.steps[i];
        std::string path = "steps/" + std::to_string(i);
        if (step.count < 1 || step.count > maxTasksPerStep)
            return path + "/count: " + std::to_string(step.count) + ": must be 1 to "
                + std::to_string(maxTasksPerStep);
        if (step.cpuMilli < 0 || step.memoryMb < 0 || step.accelerators < 0 || step.estimateMs < 0)
            return path + ": resources and the estimate must not be negative";
        for (int dependency : step.dependsOn) {
            if (dependency < 0 || dependency >= static_cast<int>(i))
                return path + "/dependsOn: " + std::to_string(dependency) + ": must name an earlier step";
        }
    }
    if (spec.repeatCount < 0 || spec.intervalMs < 0)
        return "repeatCount, intervalMs: must not be negative";
    return std::nullopt;
}

std::string_view toString(job_state state)
{
    constexpr std::string_view names[] = { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<size_t>(state)];
}

std::string_view toString(completion_kind kind)
{
    constexpr std::string_view names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
    return names[static_cast<size_t>(kind)];
}

std::string_view toString(order_outcome outcome)
{
    constexpr std::string_view names[] = { "done", "fenced", "superseded", "late", "no_room", "bad_ticket",
        "unhealthy", "reborn", "malformed", "no_answer" };
    return names[static_cast<size_t>(outcome)];
}

uint64_t fencingToken(uint64_t leaderToken, uint32_t incarnation)
{
    constexpr uint64_t maxIncarnations = 1 << 20;
    return leaderToken * maxIncarnations + std::min<uint64_t>(incarnation, maxIncarnations - 1);
}

std::string task_ref::str() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

} // namespace camphorwell
