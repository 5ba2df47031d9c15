// Checks the answers that callers received against the attempts that workers ran, independently of the state
// of the nodes.
#pragma once

#include "tests/sim/world.h"

namespace camphorwell::sim {

// One request from its caller's point of view.
struct request_record {
    int64_t number = 0;
    camphorwell::verb verb = verb::submit;
    bool pollOnly = false;
    work_id id;
    entry_name entry;
    std::string body;
    bool batch = false;
    bool idempotent = true;
    int64_t deadlineMs = 0;
    instant sentAt { 0 };
    bool paused = false; // The instance was paused while the request was open, so the answer may be late.
    bool answered = false;
    instant answeredAt { 0 };
    camphorwell::answer answer;
};

class observer {
public:
    void add(const request_record& record) { m_requests.push_back(record); }
    void workerRestarted(const worker_id& id, instant localTime) { m_restarts[id].push_back(localTime); }
    void setTimeConversion(std::function<instant(const worker_id&, instant)> toTrueTime)
    {
        m_toTrueTime = std::move(toTrueTime);
    }
    void check(std::vector<attempt_record> runs, world_report&);

private:
    using attempt_list = std::vector<attempt_record>;
    void checkAttempts(const work_id&, const attempt_list&, bool idempotent, world_report&) const;
    void checkAnswers(
        const work_id&, const std::vector<const request_record*>&, const attempt_list&, world_report&) const;
    bool restartedAfter(const worker_id&, instant trueTime) const;

    std::vector<request_record> m_requests;
    std::map<worker_id, std::vector<instant>> m_restarts;
    std::function<instant(const worker_id&, instant)> m_toTrueTime;
};

} // namespace camphorwell::sim
