// Randomised simulation of one cell in virtual time. Leaders crash or lose the store and are replaced,
// workers crash, drain, lose the network or answer late, orders are lost or delivered seconds late, answers
// are lost, and appends of a replaced leader are refused. Invariants are checked only against what the
// workers ran and the job states that callers can see.
#pragma once

#include "standins/fleet_models.h"

#include <queue>

namespace camphorwell::testing {

using fleet::model_worker;
using fleet::observed_attempt;

struct world_settings {
    uint64_t seed = 1;
    int workers = 8;
    int jobs = 25;
    ms faultPhase = 25'000; // Faults are injected and jobs submitted during this phase.
    ms settlePhase = 45'000; // Time after the fault phase in which all jobs must finish.
    bool workersCheckCapacity = true; // Workers refuse starts that exceed their capacity.
    cell_fault fault = cell_fault::none;
};

class world {
public:
    explicit world(world_settings);
    ~world();
    // Runs the simulation to its end and returns the violated invariants, one line each.
    std::vector<std::string> run();
    // Log lines of all leaders, each with the time and the leader's token.
    std::vector<std::string> log() const { return m_log; }
    // Number of leaders started, including the first.
    int takeovers() const { return m_takeovers; }

private:
    struct leader_instance;
    struct event {
        ms dueAt = 0;
        uint64_t sequence = 0;
        std::function<void()> callback;
        bool operator>(const event& other) const
        {
            return std::tie(dueAt, sequence) > std::tie(other.dueAt, other.sequence);
        }
    };
    struct submitted_job {
        job_record record;
        ms acceptedAt = 0;
        std::optional<ms> cancelledAt;
        bool completionSeen = false;
    };

    void runAfter(ms delay, std::function<void()>);
    ms randomInt(ms low, ms high);
    bool chance(double probability);
    job_record randomJob();
    void submit();
    void takeOver();
    void tickLeader(const std::shared_ptr<leader_instance>&);
    void processActions(const std::shared_ptr<leader_instance>&);
    void append(const std::shared_ptr<leader_instance>&);
    void perform(const std::shared_ptr<leader_instance>&, const action&);
    // Runs an order on the worker and delivers its answer to the leader. During the fault phase orders may be
    // delayed and answers lost; `onAnswer` then gets no_answer after a timeout.
    void call(const std::shared_ptr<leader_instance>&, const worker_id&,
        std::function<order_outcome(model_worker&)> order, std::function<void(order_outcome)> onAnswer);
    void injectFault();
    // Checks the invariants of a start that a worker has carried out. `earlierAttempts` is the length of
    // m_history before it.
    void checkStart(const start_action&, const leader_instance&, size_t earlierAttempts);
    void checkFinalState();
    void reportViolation(std::string);
    const step_spec* stepOf(const task_ref&) const;

    world_settings m_settings;
    std::mt19937_64 m_random;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    uint64_t m_nextSequence = 0;
    ms m_now = 100'000;
    ms m_start = 100'000;
    std::map<worker_id, std::unique_ptr<model_worker>> m_workers;
    std::vector<observed_attempt> m_history;
    std::map<job_id, submitted_job> m_jobs;
    std::vector<std::pair<job_id, bool>> m_jobLog; // Accepted jobs and, with `true`, cancellations, in order.
    std::map<job_id, std::string> m_progress;
    uint64_t m_latestToken = 0;
    ms m_storeDownUntil = 0;
    std::vector<std::shared_ptr<leader_instance>> m_leaders;
    std::shared_ptr<queue_table> m_queues;
    std::vector<std::string> m_violations;
    std::vector<std::string> m_log;
    int m_takeovers = 0;
};

} // namespace camphorwell::testing
