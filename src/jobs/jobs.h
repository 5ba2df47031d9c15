// The jobs library: the jobs that callers submit and every decision about running them. It does no input or
// output and takes the time as a parameter, so that a test can simulate a whole deployment in one process.
//
//   cell scheduler(settings, queues, log);
//   scheduler.setClock(now, unixMs);
//   scheduler.restoreProgress(id, bytes);          // as recorded by earlier leaders of the cell
//   scheduler.addJob(id, record);                  // in the order of the log
//   scheduler.setWorker(worker, now);
//   scheduler.begin(now, unixMs);
//   for (const action& each : scheduler.takeActions())
//       perform(each);                             // results come back through onStarted, onReport, ...
//   if (auto batch = scheduler.takeWrite(now))
//       append(*batch);                            // then scheduler.onWritten(now)
//
// A task is started only after the record that names its attempt and worker is durable, and a completion is
// acknowledged to its worker only after the record of it is durable. A new leader therefore knows every
// worker on which a task may be running, and a worker keeps each completion until it has been recorded.
//
// Units: times are milliseconds on the instance's boot clock, unless a name ends in `UnixMs` (Unix time) or
// `WorkerMs` (the worker's clock); processors are thousandths of a core, memory is MiB.
// Errors: outcomes are values; a record that cannot be decoded yields an empty optional.
// Threading: one thread.
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

// One step of a job: `count` tasks with the same requirements.
struct step_spec {
    int count = 1;
    int64_t cpuMilli = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;
    ms estimateMs = 0; // The caller's rough estimate of a task's duration.
    std::vector<int> dependsOn; // Indices of earlier steps that must be done before this one opens.
    bool checkpoints = false; // Tasks save checkpoints from which a later attempt resumes.
    bool gang = false; // All tasks run at the same time or none does.
    bool sameRack = false; // Places a gang on one rack if a rack has capacity for all of it.
    std::string requiredLabel; // Label that a worker must have; empty: any worker.
    std::string preferredRack; // Rack that holds the step's data; empty: any rack.
    int maxPerWorker = 0; // Tasks of the step on one worker; 0: no limit.
    bool speculative = false; // Stored with the job; no decision depends on it.
    bool isService = false; // Tasks run until the job is cancelled.
    std::string image; // Program that the tasks run; interference is learnt for each image.
    ms tailLatencyTargetMs = 0; // Target for the tail latency of latency-critical tasks; 0 for other tasks.
    bool isBestEffort = false; // Uses processors that other tasks leave idle and reserves none.
    int maxUnavailable = 0; // Stored with the job; no decision depends on it.
    // Whether the tasks reserve processors and release them when they are done.
    bool isShort() const { return !isService && !isBestEffort; }
    bool isLatencyCritical() const { return tailLatencyTargetMs > 0; }
    bool operator==(const step_spec&) const = default;
};

struct job_spec {
    std::string payload; // Passed unchanged to every task.
    std::vector<step_spec> steps;
    int64_t repeatCount = 0; // Number of occurrences; 0: the steps run once, immediately.
    int64_t startAtUnixMs = 0; // Start of the first occurrence.
    ms intervalMs = 0; // Time between the starts of two occurrences.
    bool operator==(const job_spec&) const = default;
};

// The log record of an accepted job.
struct job_record {
    std::string queue;
    int64_t acceptedUnixMs = 0;
    job_spec spec;
    bool operator==(const job_record&) const = default;
};

std::string encodeJob(const job_record&);
std::optional<job_record> decodeJob(std::string_view bytes);
// The first error in a submitted job, for example "steps/1/dependsOn/0: ..."; nothing if the job is valid.
std::optional<std::string> validationError(const job_spec&);

enum class job_state : uint8_t { queued, running, completed, failed, cancelled };
std::string_view toString(job_state);

// Scheduling policy of a queue, from the catalogue.
struct queue_policy {
    std::string name;
    std::string service; // The service whose workers run the queue's jobs.
    int priority = 0; // 0 is the highest.
    int maxAttempts = 1; // Failed attempts of a task after which its job fails; service tasks have no limit.
    // A job is due this multiple of its estimated critical path, plus `targetLatencyMs`, after its acceptance
    // or the start of its occurrence.
    double targetStretch = 1;
    ms targetLatencyMs = 0;
    bool requiresAdvice = false; // A step may run only on workers that the advice service names for it.
    ms adviceValidMs = 0; // Validity of an answer of the advice service.
    ms adviceDecideMs = 0; // Time that the advice service takes for a call,
    ms advicePerWorkerMs = 0; // and for each worker in it.
    // Time that the advice service takes for a call about so many workers.
    ms adviceCallMs(size_t workers) const
    {
        return adviceDecideMs + advicePerWorkerMs * static_cast<ms>(workers);
    }
    bool operator==(const queue_policy&) const = default;
};
using queue_table = std::map<std::string, queue_policy>; // By name of the queue.

struct worker_record {
    worker_id id;
    std::string address; // HOST:PORT
    std::string service;
    std::string dataCentre;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    // Start time of the worker's current incarnation; a later value is a new incarnation under the same id.
    int64_t startedUnixMs = 0;
    bool draining = false;
    ms remainingMs = -1; // While draining: least time until the worker goes away; -1: unknown.
    bool operator==(const worker_record&) const = default;
};

struct task_ref {
    job_id job;
    int64_t occurrence = 0;
    int step = 0;
    int index = 0;
    auto operator<=>(const task_ref&) const = default;
    std::string str() const; // JOB.OCCURRENCE.STEP.INDEX
};

// How an attempt ended, as its worker reports it. `lapsed`: the worker's lease expired. Only `failed` counts
// as a failed attempt; after any other kind but `done` the task is queued again.
enum class completion_kind : uint8_t { done, failed, stopped, lapsed, broken, alone };
std::string_view toString(completion_kind);

struct running_task {
    task_ref task;
    uint32_t attempt = 0;
    std::string checkpoint;
    int progressPercent = 0;
    // Tail latency in milliseconds for a latency-critical task, else processors in use in thousandths of a
    // core.
    int64_t measurement = 0;
};

struct task_completion {
    uint64_t sequence = 0; // Increases within an incarnation of the worker.
    task_ref task;
    uint32_t attempt = 0;
    completion_kind kind = completion_kind::failed;
    std::string checkpoint;
};

// A worker's answer to a poll.
struct worker_report {
    ms clockWorkerMs = 0;
    int64_t startedUnixMs = 0;
    std::vector<running_task> running;
    std::vector<task_completion> completions; // Those that have not been acknowledged.
    // Number of completions that the worker listed, including those that could not be read.
    size_t listedCompletions = 0;
};

// Result of a call to a worker. Except after `done`, `superseded` and `no_answer` the order was not carried
// out.
enum class order_outcome : uint8_t {
    done,
    fenced, // The worker has seen a higher fencing token.
    superseded, // That attempt or a later one has ended or been stopped on the worker. It may have run.
    late, // The lease sent with the order has expired.
    no_capacity, // The worker has too little free capacity.
    bad_ticket, // The worker refused the advice service's ticket.
    unhealthy, // The worker refused because it is unhealthy.
    other_incarnation, // Another incarnation answers at that address.
    malformed,
    no_answer // The order may have been carried out, or may still be.
};
std::string_view toString(order_outcome);

// A worker's answer to a start or a stop.
struct order_answer {
    order_answer(order_outcome result, std::optional<ms> clock = std::nullopt)
        : outcome(result)
        , clockWorkerMs(clock)
    {
    }
    order_outcome outcome;
    std::optional<ms> clockWorkerMs; // Time on the worker's clock; empty if the answer does not tell it.
    bool operator==(const order_answer&) const = default;
};

// The longest time that a call to a worker may be under way before it is given up.
constexpr ms longestOrderDelayMs = 2200;

// The longest time that a lease of `leaseMs` on a worker's clock may last, including the kill at its end and
// the delay of answers.
ms worstLeaseMs(ms leaseMs);

// Bounds on the leases that a leader grants to workers. A lease lasts until the end of the renewal term, or
// of the quorum term if that is later, but never beyond the longest term.
struct lease_terms {
    ms renewalMs = 6000; // From the time at which the leader's last renewal was sent.
    ms quorumMs = 3000; // From the time since when three fifths of the workers have answered the leader.
    ms longestMs = 15'000; // From the time at which the leader's last renewal was sent.
};

// When the leases of earlier leaders have ended, in the clock of the present one: at `endAt`, or `quorumMs`
// after half of the workers have answered the present leader if that is later, but not after `longestEndAt`.
struct earlier_leases {
    ms endAt = 0;
    ms quorumMs = 0;
    ms longestEndAt = 0;
    bool operator==(const earlier_leases&) const = default;
};

// A takeover of a cell, in the clock of the present leader. It bounds what leaders before it have left on a
// worker that no leader has reached since.
struct cell_takeover {
    uint64_t token = 0; // Of the leader that took the cell over; identifies the takeover.
    ms beganAt = 0; // Leaders before it have sent no order later than this.
    earlier_leases leases;
    bool operator==(const cell_takeover&) const = default;
};

struct start_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    std::string ticket;
    ms leaseUntilWorkerMs = 0;
    // Number of incarnations of the worker that this leader has seen; see `fencingToken`.
    uint32_t incarnation = 0;
    // The least that the clock of this incarnation shows when it answers. The answer of a later one, whose
    // clock has begun anew, shows less.
    ms leastClockWorkerMs = 0;
};
struct stop_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    uint32_t incarnation = 0;
    ms leastClockWorkerMs = 0; // As in a start.
};
struct pace_action {
    worker_id worker;
    task_ref task;
    uint32_t attempt = 0;
    int pacePercent = 100; // Of full speed; 0 suspends the task.
    uint32_t incarnation = 0;
};
// Renews the lease, acknowledges completions and requests a report, which is sent at the next completion or
// after `waitMs`.
struct poll_action {
    worker_id worker;
    uint64_t acknowledgedSequence = 0; // Sequence number of the newest completion whose record is durable.
    std::optional<ms> leaseUntilWorkerMs;
    ms waitMs = 0;
    uint32_t incarnation = 0;
};
// Asks the advice service which of the workers may run the step. No other call is under way.
struct advice_action {
    task_ref step; // `index` is unused.
    std::vector<worker_id> workers;
    uint64_t call = 0; // Number of the call.
};
// Gives up the call to the advice service that is under way: its connection is closed.
struct abandon_advice_action {
    uint64_t call = 0;
};
// Requests the deletion of the finished job's log records, submissions and cancels, that have been read so
// far. Sent again when another record of the job is read.
struct forget_job_action {
    job_id job;
    uint32_t recordsRead = 0; // Number of records of the job that this leader has read.
};
using action = std::variant<start_action, stop_action, pace_action, poll_action, advice_action,
    abandon_advice_action, forget_job_action>;

struct advised_worker {
    worker_id worker;
    std::string ticket; // Proves the advice to the worker in a start.
};

struct progress_record {
    std::string key; // See cell::restoreProgress.
    std::string bytes; // Empty: deletes the record.
};

// Fencing token of an order. It grows with the leader's token first, then with the number of incarnations of
// the worker that the leader has seen. An order to an earlier incarnation that arrives late is therefore
// refused by a later incarnation once that has been polled.
uint64_t fencingToken(uint64_t leaderToken, uint32_t incarnation);

// Receives the scheduler's decisions and observations as log lines.
class decision_log {
public:
    using sink = std::function<void(const log_line&)>;
    // Whether the next line would be written; counts the line as dropped if not.
    using line_limiter = std::function<bool()>;

    template <typename writer>
    requires(std::invocable<writer, const log_line&> && !std::same_as<std::decay_t<writer>, decision_log>)
        decision_log(writer write, line_limiter limiter = {})
        : m_write(std::move(write))
        , m_limiter(std::move(limiter))
    {
    }
    void operator()(const log_line& line) const { m_write(line); }
    // For lines that may come thousands of times a second: `build` is not called for a line over the log's
    // rate limit.
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
