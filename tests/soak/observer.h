// What callers of a soak run were told, and the check of it against the attempts that the workers ran.
#pragma once

#include "tests/process/fleet_deployment.h"

#include <set>

namespace camphorwell::soak {

enum class job_kind : uint8_t { plain, failing, service };

struct tracked_job {
    job_kind kind = job_kind::plain;
    std::string path;
    int tasks = 0;
    std::vector<int> steps; // Tasks of each step; a step depends on the one before it.
    bool fails = false; // Its tasks fail; those of a service job run again then.
    bool refusedOnly = true; // Every answer so far was a refusal.
    std::optional<int64_t> acceptedAt; // First answer that it is accepted.
    std::optional<int64_t> cancelSentAt;
    std::optional<int64_t> cancelledAt; // The cancel was acknowledged.
    std::optional<int64_t> completedAt; // First shown as completed.
};

// All times are those of `event_loop::now`, in milliseconds.
class observer {
public:
    std::map<std::string, tracked_job> jobs; // By id.

    // Something was disturbed from `from` to `to`.
    void addDisturbance(int64_t from, int64_t to) { m_disturbances.emplace_back(from, to); }
    void addViolation(const std::string& text) { m_violations.insert(text); }
    // The state of a job as a caller was told it; 410: no such job.
    void onState(const std::string& id, int status, const std::string& state, int64_t askedAt, int64_t now);
    // Checks everything that was told against the attempts.
    void check(const std::vector<fleet_attempt>&);
    // Checks that the tasks of service jobs ran again in time after each end, until `until`. Assumes that
    // there was capacity for them.
    void checkRestarts(const std::vector<fleet_attempt>&, int64_t until);
    // Checks that all tasks of the service jobs run. Nothing was disturbed for a while.
    void checkServices(const std::vector<fleet_attempt>&);
    // Accepted jobs that are not over yet, by the attempts.
    std::vector<std::string> unfinished(const std::vector<fleet_attempt>&) const;
    const std::set<std::string>& violations() const { return m_violations; }

private:
    bool calm(int64_t from, int64_t to) const;
    int64_t restartBound(int64_t endedAt) const;
    void checkOrder(const std::string& id, const tracked_job&, const std::vector<fleet_attempt>&);
    void checkTask(const std::string& task, const tracked_job&, const std::vector<fleet_attempt>&);
    std::vector<std::pair<std::string, int64_t>> m_unknown; // Jobs answered 410, and when that was asked.
    std::vector<std::pair<int64_t, int64_t>> m_disturbances;
    std::set<std::string> m_violations;
};

} // namespace camphorwell::soak
