// A test deployment of the scheduler on the loopback interface: the stand-in of the platform and a number of
// scheduler instances as separate processes.
#pragma once

#include "tests/process/process_group.h"

namespace camphorwell {

struct fleet_options {
    uint16_t firstPort = 23000; // The deployment uses 100 ports, or 200 with more than 30 workers.
    int instances = 3;
    int workers = 6;
    int partitions = 4;
    int keepSeconds = 1; // Retention of finished jobs.
    std::string host = "camphorwell"; // Host header of callers.
    // Zones of the workers, in equal blocks, and of the instances, in turn.
    std::vector<std::string> zones { "north" };
    int64_t maxLeaseMs = 6000; // The longest lease that a worker accepts.
    int64_t heartbeatMs = 500;
};

// One attempt as a worker saw it. Times are those of `event_loop::now`, in milliseconds.
struct fleet_attempt {
    std::string task;
    int64_t number = 0;
    std::string worker;
    std::string completion; // "runs" if it has not ended.
    int64_t startedAt = 0;
    std::optional<int64_t> endedAt;
    bool acknowledged = false;
    bool lapsedBeforeAck = false; // The worker's lease ran out before the acknowledgement.
};

class fleet_deployment : public process_group {
public:
    explicit fleet_deployment(fleet_options);

    // Starts all processes and waits until every instance is ready and one leads. Returns false on a timeout.
    bool start();
    std::vector<std::string> instances() const;
    uint16_t callerPort(const std::string& instance) const;
    const std::string& zoneOf(const std::string& instance) const;
    bool ready(const std::string& instance);
    // The instance that leads the cell; empty if none says so.
    std::string leader();
    // Waits for a leader other than `previous`; empty on a timeout.
    std::string waitForLeader(const std::string& previous = {});
    // A counter of the instance's metrics; 0 if it is missing.
    int64_t counter(const std::string& instance, const std::string& name);

    // The path of a job names its queue, "/quick/ID".
    int submit(const std::string& instance, const std::string& path, const std::string& body);
    // Submits a job with one step of one task until it is accepted. Returns false on a timeout.
    bool submitTask(const std::string& instance, const std::string& path, const std::string& payload);
    // The job's state, or the status of another answer than 200.
    std::string stateOf(const std::string& instance, const std::string& path);
    bool waitForState(const std::string& instance, const std::string& path, const std::string& state);
    // See store_standin.h and fleet_main.cpp.
    void setStore(const nlohmann::json& admin);
    // Empty if the stand-in does not answer.
    std::vector<fleet_attempt> history();

private:
    static constexpr const char* standinName = "platform";
    void writeSettings(const std::string& instance);
    size_t zoneIndex(const std::string& instance) const;
    uint16_t portOf(const std::string& instance, uint16_t base) const;
    fleet_options m_options;
    std::map<std::string, int> m_numbers; // By instance, from 1.
};

} // namespace camphorwell
