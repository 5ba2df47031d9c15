// Models of two systems that camphorwell depends on: a worker and the platform's log.
//
// Both are state machines without a clock: every call takes the current time. The stand-in daemons and the
// randomised tests share them. They record every attempt and every log record, which the tests compare with
// the answers that callers received.
#pragma once

#include "coordination/coordination.h"

#include <deque>

namespace camphorwell {

// One attempt that a worker started, with its completion if it has ended.
struct attempt_record {
    worker_id worker;
    work_id id;
    uint64_t attempt = 0;
    instant started { 0 };
    std::optional<instant> ended;
    task_state state = task_state::running;
};

class worker_model {
public:
    // `boot` must differ from that of an earlier process of the same worker.
    worker_model(worker_id id, resources capacity, uint64_t boot = 1);

    worker_answer handle(instant now, const worker_call&);
    // Completes the tasks that are due and marks the running tasks of an expired task lease as lost.
    void advance(instant now);
    // Returns the reports of the tasks that completed since the last call.
    std::vector<task_report> takeCompleted();
    std::optional<task_report> find(const work_id&, uint64_t attempt) const;
    // The next time at which a task completes or its lease expires; empty when no task runs.
    std::optional<instant> nextEvent() const;
    // Simulates a restart of the machine: running tasks are lost, all tasks are forgotten and the lease ends.
    // The history is kept.
    void restart(instant now);

    void setSpeed(double factor) { m_speed = factor; } // Multiplies the run time of new tasks.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    void setFailing(bool failing) { m_failing = failing; } // Makes every new task fail.
    const std::vector<attempt_record>& attempts() const { return m_history; }
    const worker_id& id() const { return m_id; }
    size_t runningCount() const;

private:
    struct task {
        task_report report;
        instant started { 0 };
        instant due { 0 };
        uint64_t seq = 0;
        size_t attemptIndex = 0;
        bool fails = false;
        int64_t number = 0;
        int64_t workMs = 0;
    };
    worker_answer on(instant now, const lease_call&);
    worker_answer on(instant now, const release_call&);
    worker_answer on(instant now, const start_call&);
    worker_answer on(instant now, const revoke_call&);
    worker_answer on(instant now, const stop_call&);
    worker_answer refuse(worker_verdict) const;
    bool hasValidLease(instant now, uint64_t token) const;
    void finish(instant now, task&, task_state, std::string result);
    resources used() const;

    worker_id m_id;
    resources m_capacity;
    std::string m_holder;
    uint64_t m_token = 0;
    uint64_t m_maxToken = 0;
    instant m_leaseEnds { 0 };
    instant m_taskLeaseEnds { 0 };
    uint64_t m_seq = 0;
    uint64_t m_boot;
    double m_speed = 1.0;
    bool m_failing = false;
    bool m_leaving = false;
    using task_key = std::pair<work_id, uint64_t>;
    std::map<task_key, task> m_tasks;
    std::set<task_key> m_running;
    std::deque<std::pair<instant, task_key>> m_completionOrder;
    std::vector<task_report> m_completed;
    std::vector<attempt_record> m_history;
};

// Returns the run time in milliseconds that a request body requests in "work_ms", or the default of its
// class.
int64_t requestedWorkMs(const std::string& body, bool batch);

class log_model {
public:
    explicit log_model(int64_t retentionMs)
        : m_retentionMs(retentionMs)
    {
    }
    std::vector<int64_t> append(
        instant now, const std::string& stream, const std::vector<std::string>& records);
    read_reply read(instant now, const std::string& stream, int64_t from, size_t limit);
    uint64_t appendCount() const { return m_appends; }
    // Returns every record ever appended to `stream`, including expired ones.
    std::vector<log_entry> allRecords(const std::string& stream) const;

private:
    struct stored_record {
        instant at { 0 };
        std::string data;
    };
    struct stream_state {
        int64_t first = 0;
        std::vector<stored_record> records; // Indexed by offset; expired records are kept for the tests.
    };
    int64_t m_retentionMs;
    uint64_t m_appends = 0;
    std::map<std::string, stream_state> m_streams;
};

} // namespace camphorwell
