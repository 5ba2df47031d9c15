// Model of a worker that runs tasks under a lease, in virtual time. It gives the guarantees that the platform
// documents and no stronger ones.
#pragma once

#include "jobs/jobs.h"

#include <nlohmann/json_fwd.hpp>
#include <random>

namespace camphorwell::fleet {

// One attempt on a worker, as recorded for a test.
struct observed_attempt {
    task_ref task;
    uint32_t attempt = 0;
    worker_id worker;
    ms startedAt = 0;
    std::optional<ms> endedAt;
    completion_kind completion = completion_kind::stopped;
    bool completionAcknowledged = false; // The scheduler acknowledged the completion to the worker.
    bool lapsedBeforeAck = false; // The worker's lease ran out before the acknowledgement.
};

// A row for each attempt: task, number, worker, completion ("runs" if it has not ended), start, end (null if
// it runs), whether the end was acknowledged, and whether the lease ran out before.
nlohmann::json historyRows(const std::vector<observed_attempt>&);

// Times are in milliseconds of virtual time. Leases are on the worker's own clock, which starts at 0 with the
// worker.
class model_worker {
public:
    // Time from the start of a latency-critical task until it is at work.
    static constexpr ms startupMs = 500;

    // With `enforcesCapacity`, the worker rejects a start that exceeds its capacity; otherwise it accepts it
    // and sets `overCapacity`. `clockRate` is the speed of its clock relative to virtual time. Attempts are
    // added to `history`, which must outlive the worker.
    model_worker(
        worker_record, bool enforcesCapacity, double clockRate, std::vector<observed_attempt>& history);

    // The attempt runs for `duration`, and fails then if `fails` is set.
    order_outcome start(const start_action&, uint64_t token, ms now, ms duration, bool fails);
    // Ends the attempt, and refuses later starts of it and of earlier attempts.
    order_outcome stop(const stop_action&, uint64_t token, ms now);
    // Sets the pace of the attempt. One that has ended is left alone.
    order_outcome pace(const pace_action&, uint64_t token, ms now);
    // Renews the lease, forgets acknowledged completions and fills the report.
    order_outcome poll(const poll_action&, uint64_t token, ms now, worker_report&);
    // Completes the attempts that are due, and all attempts once the lease has run out.
    void advance(ms now);
    // Ends all attempts and discards the worker's state.
    void crash(ms now);
    // Starts a crashed worker again, as a new incarnation that knows nothing of the earlier one.
    void restart(ms now);

    worker_record record;
    ms maxLeaseMs = 6000; // Longer leases are cut to this length.
    bool up = true;
    bool reachable = true;
    // Resources that the running tasks reserve. Best-effort tasks reserve no processors.
    resources used() const;
    int64_t bestEffortCpu() const; // Processors of the running best-effort tasks at full size.
    bool idle() const { return m_running.empty(); }
    ms clock(ms now) const; // The worker's own clock.
    bool hasCompletions() const { return !m_completions.empty(); }

private:
    struct running {
        size_t historyIndex = 0;
        step_spec spec;
        ms endsAt = 0;
        bool fails = false;
        int pacePercent = 100;
        ms leftMs = 0; // Work left at full pace at `pacedAt`.
        ms pacedAt = 0; // When the pace was set last.
    };
    void complete(size_t index, completion_kind kind, ms now);
    running_task stateOf(const running&, ms now) const;
    // Tail latency of a latency-critical task beside the best-effort tasks on the worker.
    int64_t tailLatencyMs(const step_spec&) const;
    bool m_enforcesCapacity;
    double m_clockRate;
    std::vector<observed_attempt>& m_history;
    std::vector<running> m_running;
    struct unacknowledged_completion {
        uint64_t number = 0;
        size_t historyIndex = 0;
    };
    std::vector<unacknowledged_completion> m_completions;
    uint64_t m_nextCompletion = 1;
    uint64_t m_token = 0;
    ms m_leaseUntil = 0;
    ms m_startedAt = 0;
    std::map<task_ref, uint32_t> m_highestAttempt; // Latest attempt that ended or was stopped here.

public:
    // Returns the step of a task, which holds its resource demand. Must be set before the first start.
    std::function<const step_spec*(const task_ref&)> specOf;
    bool overCapacity = false; // The last start that was accepted exceeded the capacity.
};

} // namespace camphorwell::fleet
