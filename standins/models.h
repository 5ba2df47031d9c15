// Models of the systems that camphorwell is served by: a worker and the platform's log.
//
// Both are plain state machines on the time that is passed in; the stand-in daemons and the randomised
// tests use the same ones. They keep a history of what really happened, which the tests compare with what
// callers were told.
#pragma once

#include "coordination/coordination.h"

#include <deque>

namespace camphorwell {

// One run of an attempt, as it really happened.
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
    // Ends what is due and stops the tasks of a lapsed lease.
    void advance(instant now);
    // Reports that ended since the last call.
    std::vector<task_report> takeCompleted();
    std::optional<task_report> find(const work_id&, uint64_t attempt) const;
    // The next time at which `advance` has something to do.
    std::optional<instant> nextEvent() const;
    // Forgets everything but the history, as a machine that restarts.
    void restart(instant now);

    void setSpeed(double factor) { m_speed = factor; } // Run times are multiplied by this.
    void setLeaving(bool leaving) { m_leaving = leaving; }
    void setFailing(bool failing) { m_failing = failing; } // Every task fails.
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

// The run time in milliseconds that a request's body asks for: its "work_ms", or a default by class.
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
    // Every record ever appended to `stream`, expired ones included.
    std::vector<log_entry> allRecords(const std::string& stream) const;

private:
    struct stored_record {
        instant at { 0 };
        std::string data;
    };
    struct stream_state {
        int64_t first = 0;
        std::vector<stored_record> records; // From offset 0; expired ones stay for the tests.
    };
    int64_t m_retentionMs;
    uint64_t m_appends = 0;
    std::map<std::string, stream_state> m_streams;
};

} // namespace camphorwell
