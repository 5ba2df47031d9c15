// Models of what a cell meets, in virtual time: workers that run tasks under leases, and the log that its
// records go to. They behave as the platform promises and no better.
#pragma once

#include "jobs/jobs.h"

#include <random>

namespace camphorwell::fleet {

// What the observer sees of one run on a worker.
struct observed_attempt {
    task_ref task;
    uint32_t attempt = 0;
    worker_id worker;
    ms startedAt = 0;
    std::optional<ms> endedAt;
    completion_kind completion = completion_kind::stopped;
    bool completionAcknowledged = false; // The worker was told that its end was taken note of.
    bool lapsedBeforeAck = false; // The worker's lease ran out between the end and the note.
};

class model_worker {
public:
    model_worker(
        worker_record, bool enforcesCapacity, double clockRate, std::vector<observed_attempt>& history);

    order_outcome start(const start_action&, uint64_t token, ms now, ms duration, bool fails);
    order_outcome stop(const stop_action&, uint64_t token, ms now);
    order_outcome poll(const poll_action&, uint64_t token, ms now, worker_report&);
    void advance(ms now); // Ends what is due.
    void crash(ms now); // Everything ends, nothing is known any more.
    void restart(ms now);

    worker_record record;
    bool up = true;
    bool reachable = true;
    resources used() const;
    bool idle() const { return m_running.empty(); }

private:
    struct running {
        size_t historyIndex = 0; // Index in the history.
        step_spec spec;
        ms endsAt = 0;
        bool fails = false;
    };
    ms clock(ms now) const;
    void complete(size_t index, completion_kind kind, ms now);
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
    std::map<task_ref, uint32_t> m_highestAttempt; // Of a run that ended or was stopped here.

public:
    // Sizes of the tasks, which the model knows from the jobs.
    std::function<const step_spec*(const task_ref&)> specOf;
    bool overCapacity = false;
};

} // namespace camphorwell::fleet
