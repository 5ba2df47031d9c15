// The jobs library: what callers hand in, and every decision about running it. Nothing here does input or
// output, and time is always a parameter, so a whole deployment can be played in one process.
//
//   cell scheduler(settings, token, queues);
//   scheduler.restoreProgress(id, bytes);          // what an earlier owner of the cell recorded
//   scheduler.addJob(id, record);                  // in the order of the log
//   scheduler.setWorker(worker);
//   scheduler.begin(now);
//   for (const action& each : scheduler.takeActions())
//       perform(each);                             // answers come back through onStarted, onReport, ...
//   if (auto batch = scheduler.takeWrite(now))
//       append(*batch);                            // then scheduler.onWritten(now)
//
// A task is started only after the record that names its run and worker is durable, and an end is
// acknowledged to its worker only after the record that tells of it is. So a later owner knows every worker
// on which a task may run, and the worker itself keeps each end that is not recorded yet.
//
// Units: times are milliseconds on the instance's boot clock, unless a name says `unixMs` or `workerMs`;
// processors are thousandths of a core, memory MiB. Errors: outcomes are values; a record that cannot be
// decoded is an empty optional. Threading: one thread.
#pragma once

#include "base/base.h"

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace camphorwell {

using job_id = std::string;
using ms = int64_t;

// One step of a job: `count` tasks of the same size.
struct step_spec {
    int count = 1;
    int64_t cpuMilli = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;
    ms estimateMs = 0; // The caller's rough estimate of a task's duration.
    std::vector<int> dependsOn; // Earlier steps that must be done first.
    bool checkpoints = false;
    bool gang = false; // All tasks run together or not at all.
    bool sameRack = false;
    std::string requiredLabel; // Empty: any worker.
    std::string preferredRack; // The rack that holds the data; empty: no matter.
    int maxPerWorker = 0; // 0: no limit.
    bool speculative = false;
    bool isService = false; // Runs until the job is cancelled.
    std::string image;
    ms tailLatencyTargetMs = 0; // For lasting tasks that serve: the tail of their response times.
    bool isBestEffort = false; // Runs on what other tasks leave; its processors are not booked.
    int maxUnavailable = 0;
    // Books processors and gives them back when it is done.
    bool isShort() const { return !isService && !isBestEffort; }
    bool operator==(const step_spec&) const = default;
};

struct job_spec {
    std::string payload; // Handed to every task as it is.
    std::vector<step_spec> steps;
    int64_t repeatCount = 0; // 0: the steps run once, at once.
    int64_t startAtUnixMs = 0;
    ms intervalMs = 0;
    bool operator==(const job_spec&) const = default;
};

// What the log holds of an accepted job.
struct job_record {
    std::string queue;
    int64_t acceptedUnixMs = 0;
    job_spec spec;
    bool operator==(const job_record&) const = default;
};

std::string encodeJob(const job_record&);
std::optional<job_record> decodeJob(std::string_view bytes);
// The first fault of a job that a caller handed in, such as "steps/1/dependsOn/0: ...", or nothing.
std::optional<std::string> validationError(const job_spec&);

enum class job_state : uint8_t { queued, running, completed, failed, cancelled };
std::string_view toString(job_state);

// How the catalogue says a queue's jobs are run.
struct queue_policy {
    std::string name;
    std::string service;
    int priority = 0; // 0 comes first.
    int maxAttempts = 1;
    double targetStretch = 1;
    ms targetLatencyMs = 0;
    bool requiresAdvice = false; // Only workers that the advice service names may run a step.
    ms adviceValidMs = 0;
    bool operator==(const queue_policy&) const = default;
};
using queue_table = std::map<std::string, queue_policy>;

struct worker_record {
    worker_id id;
    std::string address; // HOST:PORT
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    int64_t startedUnixMs = 0; // Start of this life; another value is another life under the same id.
    bool draining = false;
    ms remainingMs = -1; // While draining: the least time left; -1: not known.
    bool operator==(const worker_record&) const = default;
};

struct task_ref {
    job_id job;
    int64_t occurrence = 0;
    int step = 0;
    int index = 0;
    auto operator<=>(const task_ref&) const = default;
    std::string str() const;
};

enum class completion_kind : uint8_t { done, failed, stopped, lapsed, broken, alone };
std::string_view toString(completion_kind);

struct running_task {
    task_ref task;
    uint32_t attempt = 0;
    std::string checkpoint;
    int progressPercent = 0;
    int64_t measurement = 0; // Serving tasks: tail latency in ms; others: processors in use, in thousandths.
};

struct task_completion {
    uint64_t sequence = 0; // Rises within a worker's life.
    task_ref task;
    uint32_t attempt = 0;
    completion_kind kind = completion_kind::failed;
    std::string checkpoint;
};

// What a worker says of itself when it is looked at.
struct worker_report {
    ms clockWorkerMs = 0;
    int64_t startedUnixMs = 0;
    std::vector<running_task> running;
    std::vector<task_completion> completions;
};

// Why a worker's answer was not what was asked.
enum class order_outcome : uint8_t {
    done,
    fenced, // A higher token has been seen there.
    superseded, // That run, or a later one, has ended or been stopped there.
    late, // The lease that came with the order is over.
    no_room,
    bad_ticket,
    unhealthy, // The worker did nothing.
    reborn, // Another life answers at that address.
    malformed,
    no_answer // May have been carried out, or may be later.
};
std::string_view toString(order_outcome);

struct start_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    std::string ticket;
    ms leaseUntilWorkerMs = 0;
    uint32_t incarnation = 0; // Of the worker, counted by this owner; raises the token within its own.
};
struct stop_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    uint32_t incarnation = 0;
};
struct pace_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    int pacePercent = 100;
    uint32_t incarnation = 0;
};
// Renews the lease, acknowledges ends and asks for a report that waits for the next end.
struct poll_action {
    worker_id worker;
    uint64_t acknowledged = 0;
    std::optional<ms> leaseUntilWorkerMs;
    ms waitMs = 0;
    uint32_t incarnation = 0;
};
struct advice_action {
    task_ref step; // `index` has no meaning.
    std::vector<worker_id> workers;
};
struct forget_job_action { // The record of the accepted job is of no more use.
    job_id job;
};
using action
    = std::variant<start_action, stop_action, pace_action, poll_action, advice_action, forget_job_action>;

struct advised_worker {
    worker_id worker;
    std::string ticket;
};

struct progress_record {
    job_id job;
    std::string bytes; // Empty: drop the job.
};

// The token of an order: by the owner's own first, then by the lives of the worker that it has seen. An order
// to an earlier life that is carried out late is refused by a later one that has been looked at.
uint64_t orderFencingToken(uint64_t leaderToken, uint32_t incarnation);

// What the scheduler decided or learnt, for the log.
class decision_log {
public:
    using sink = std::function<void(const log_line&)>;
    // Whether the next line would be written; counts it as dropped where not.
    using line_limiter = std::function<bool()>;

    template <typename writer>
    requires(std::invocable<writer, const log_line&> && !std::same_as<std::decay_t<writer>, decision_log>)
        decision_log(writer write, line_limiter limiter = {})
        : m_write(std::move(write))
        , m_limiter(std::move(limiter))
    {
    }
    void operator()(const log_line& line) const { m_write(line); }
    // For lines of which there are thousands a second: those beyond the log's rate are not even built.
    template <typename builder> void rateLimited(builder&& build) const
    {
        if (!m_limiter || m_limiter())
            m_write(build());
    }

private:
    sink m_write;
    line_limiter m_limiter;
};

} // namespace camphorwell

#include "jobs/process/cell.h"
#include "jobs/version/leader_election.h"
