// Models of what a cell meets, in virtual time: workers that run tasks under leases, and the log that its
// records go to. They behave as the platform promises and no better.
#pragma once

#include "jobs/jobs.h"

#include <random>

namespace camphorwell::fleet {

// What the observer sees of one run on a worker.
struct seen_run {
    task_ref task;
    uint32_t run = 0;
    worker_id worker;
    ms startedAt = 0;
    std::optional<ms> endedAt;
    end_kind how = end_kind::stopped;
    bool noted = false; // The worker was told that its end was taken note of.
    bool lapsedSince = false; // The worker's lease ran out between the end and the note.
};

class model_worker {
public:
    model_worker(worker_record, bool enforcesCapacity, double clockRate, std::vector<seen_run>& history);

    order_outcome start(const start_action&, uint64_t token, ms now, ms work, bool fails);
    order_outcome stop(const stop_action&, uint64_t token, ms now);
    order_outcome look(const look_action&, uint64_t token, ms now, worker_report&);
    void advance(ms now); // Ends what is due.
    void crash(ms now); // Everything ends, nothing is known any more.
    void revive(ms now);

    worker_record record;
    bool up = true;
    bool reachable = true;
    resources used() const;
    bool idle() const { return m_running.empty(); }

private:
    struct running {
        size_t seen = 0; // Index in the history.
        step_spec need;
        ms endsAt = 0;
        bool fails = false;
    };
    ms clock(ms now) const;
    void end(size_t index, end_kind how, ms now);
    bool m_guards;
    double m_rate;
    std::vector<seen_run>& m_history;
    std::vector<running> m_running;
    struct listed_end {
        uint64_t number = 0;
        size_t seen = 0;
    };
    std::vector<listed_end> m_ends;
    uint64_t m_nextEnd = 1;
    uint64_t m_token = 0;
    ms m_leaseUntil = 0;
    ms m_bornAt = 0;
    std::map<task_ref, uint32_t> m_highest; // Of a run that ended or was stopped here.

public:
    // Sizes of the tasks, which the model knows from the jobs.
    std::function<const step_spec*(const task_ref&)> sizeOf;
    bool overCapacity = false;
};

} // namespace camphorwell::fleet
