// A stand-in for workers on real time, after PROTOCOL.md: runs under leases, fencing tokens, numbered ends,
// checkpoints, and gangs whose members work only together. Everything that happens is recorded.
//
// The payload of a job ("Spec") says how its tasks behave, as words NAME=VALUE:
//   work_ms   the work of a task (default 200)
//   stagger_ms  further work of a task for each task before it in its step (default 0)
//   gang      number of members of its gang (default: no gang)
//   save_ms   a checkpoint is produced with each such amount of work (default: no checkpoints)
//   advised   1: a start needs a ticket of the advice service
//   save_bytes  the length of a checkpoint (default 16)
#pragma once

#include "net/net.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

int64_t nowMs();

// One line for each start, end and acknowledgement of an end:
//   TIME start WORKER TASK RUN CHECKPOINT SPEC
//   TIME end   WORKER TASK RUN HOW CHECKPOINT
//   TIME noted WORKER TASK RUN HOW
//   TIME lost  WORKER TASK RUN        (the worker crashed)
//   TIME advice STEP WORKERS OUTCOME   (a call of the advice service has been handled)
// TIME is in milliseconds since the start of the stand-in; an empty text is written as "-".
class event_record {
public:
    event_record();
    void add(const std::string& line);
    std::string text() const;

private:
    int64_t m_begin;
    std::string m_lines;
};

struct run_state {
    std::string task;
    int64_t number = 0;
    int64_t workMs = 0;
    int64_t saveMs = 0; // 0: no checkpoints.
    size_t saveBytes = 16;
    size_t gangSize = 0; // 0: no gang.
    int64_t doneMs = 0; // Work done up to `since`.
    int64_t since = 0; // When it began to work; 0: its gang is not complete.
    int64_t arrivedAt = 0;
    std::string checkpoint;

    int64_t workDone(int64_t now) const { return since == 0 ? doneMs : doneMs + (now - since); }
    std::string gangName() const; // Of the run of its gang: the task's name without its index, and the run.
};

// One worker. `fleet` lists all workers, since the members of a gang may run on several.
class worker {
public:
    worker(event_record&, std::vector<std::unique_ptr<worker>>& fleet, std::string id, int64_t maxHoldMs);
    // Returns the status and the body of the answer, or nothing if the answer has to wait.
    std::pair<int, std::string> order(const std::string& path, const nlohmann::json& body);
    // As above for /hold. `first`: the call has just arrived.
    std::pair<int, std::string> hold(const nlohmann::json& body, bool first);
    bool hasEnds() const { return !m_ends.empty(); }
    void advance();
    // Ends everything without a trace, and forgets everything. A later `restart` begins a new life.
    void crash();
    void restart();
    bool isUp() const { return m_up; }
    int64_t born() const { return m_bornUnixMs; }
    const std::string& id() const { return m_id; }
    // Whether the ticket permits this worker, in the life that was born then, to run the step.
    std::function<bool(const std::string& step, const std::string& ticket, int64_t born)> ticketIsValid;

private:
    struct ended_run {
        uint64_t number = 0;
        run_state run;
        std::string how;
    };
    int64_t clock() const { return nowMs() - m_startedAt; }
    std::pair<int, std::string> refuse(const char* reason) const;
    std::string clockBody() const;
    void end(const std::string& task, const std::string& how);
    void endOtherMembers(const run_state&, const std::string& how);
    void extendLease(int64_t deadline);
    void advanceGang(run_state&);
    static void save(run_state&, int64_t now, bool stopped);

    event_record& m_record;
    std::vector<std::unique_ptr<worker>>& m_fleet;
    std::string m_id;
    int64_t m_maxHoldMs;
    bool m_up = true;
    int64_t m_startedAt = 0;
    int64_t m_bornUnixMs = 0;
    uint64_t m_token = 0;
    int64_t m_leaseUntil = 0;
    std::map<std::string, run_state> m_running; // By task.
    std::map<std::string, int64_t> m_highestEnded; // By task: the highest run ended or stopped here.
    std::vector<ended_run> m_ends;
    uint64_t m_nextEnd = 1;
};

} // namespace review
