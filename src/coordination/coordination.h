// The coordination protocol between the entry instances of a data centre, as a state machine without I/O.
//
// A `node` is the state machine of one entry instance. It takes an event and the time and returns actions:
//
//   node n(options, seed);
//   for (auto& act : n.handle(now, submission { ticket, request }))
//       std::visit(driver, act);
//
// The daemon and the randomised tests drive the same class. Each kind of decision has a single writer:
//
//   Tasks on a worker: its lease holder, through a worker lease with a fencing token.
//   Placement of keyed work: the leader of the key's shard, in a view that every holder has acknowledged.
//   Catalogue contents: the record order of the platform's log.
//
// Views. A membership view is a numbered list of instances. A member that has acknowledged a view refuses
// starts under every other view. Rendezvous hashing assigns shards and workers to members. In every new
// view a lease holder renews the lease of each of its workers with a fencing token that contains the view's
// number, and reports the worker's tasks to the members. A shard leader starts work in either of two cases:
// it led the shard before and has held a worker lease without a gap since (so no successor can have
// completed a take-over), or the state transfer is complete: every member has acknowledged the view and
// every worker of the data centre was leased under it. A holder uses a newly leased worker only after every
// member has confirmed it under the same view.
//
// At-most-once start of an attempt. A start is idempotent by (work, attempt) at the holder and at the
// worker. Work is placed again only after its attempt is known not to have started, to have ended, or to
// have been stopped by the expiry of the worker's task lease. Non-idempotent work has a durable intent
// record before its only start.
//
// Units: `instant` is in microseconds, durations are in milliseconds. Errors: every refusal is a value with a
// `reason`. Threading: a node belongs to the thread of one event loop and is not safe for concurrent use.
// Memory: bounded by the limits in `node_options`.
#pragma once

#include "base/base.h"
#include "catalogue/catalogue.h"

#include <compare>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace camphorwell {

// ---- Views -------------------------------------------------------------------------------------------

// One instance in a membership view.
struct member {
    instance_id id;
    uint64_t incarnation = 0;
    bool leaving = false; // Draining: is assigned no workers or shards and finishes the work it has.
    auto operator<=>(const member&) const = default;
};

// Identifies a view; ordered by number, then by proposer.
struct view_id {
    uint64_t number = 0;
    instance_id proposer;
    auto operator<=>(const view_id&) const = default;
    std::string str() const { return std::to_string(number) + "/" + proposer; }
};

// A membership view: the instances of a data centre that share its workers and shards.
struct view {
    view_id id;
    std::vector<member> members; // Sorted by id.
    const member* find(const instance_id&) const;
    bool contains(const instance_id& id, uint64_t incarnation) const;
    // Returns the member that is assigned the lease of `worker`; empty when every member is leaving.
    instance_id holderOf(const worker_id& worker) const;
    // Returns the leader of `shard`.
    instance_id leaderOfShard(uint32_t shard) const;
    // Returns the leader of the work: the shard leader for keyed work, the receiving instance for unkeyed
    // work. Empty when the receiving instance has left the view or restarted.
    instance_id leaderOfWork(const work_id&) const;
    bool operator==(const view&) const = default;
};

constexpr uint32_t shardCount = 64; // Shards in the key space of a data centre.

// A work id contains the home data centre and either the hash of entry and key, or the receiving instance.
work_id keyedWorkId(const std::string& dataCentre, const entry_name&, const std::string& key);
work_id unkeyedWorkId(const std::string& dataCentre, const member& receiver, uint64_t sequence);
// Returns the home data centre of the work; empty for a malformed id.
std::string homeOfWork(const work_id&);
bool isKeyed(const work_id&);
uint32_t shardOf(const work_id&);
// Returns the home data centre of a key, a pure function of the key and the list of data centres.
std::string homeOfKey(const std::string& key, const std::vector<std::string>& dataCentres);

// ---- Work ---------------------------------------------------------------------------------------------

enum class task_state : uint8_t { running, done, failed, stopped, evicted, lost, never_started };
std::string_view toString(task_state);

// A unit of work as it is sent to a worker.
struct work {
    work_id id;
    uint64_t attempt = 0; // Unique per work: the number of the placing view in the high bits, above a count.
    entry_name entry;
    std::string owner;
    bool batch = false;
    bool idempotent = true;
    bool urgent = false;
    resources need;
    std::string body;
    std::string checkpoint; // Reference to resume from; empty without a checkpoint.
    int64_t deadlineMs = 0; // Time left until the deadline when the message was sent.
    bool operator==(const work&) const = default;
};

// The state of one attempt as reported by a worker or a lease holder.
struct task_report {
    work_id id;
    uint64_t attempt = 0;
    worker_id worker;
    task_state state = task_state::running;
    std::string result;
    std::string checkpoint;
    // The reserved resources; a holder that adopts the task reserves them again.
    resources need;
    bool batch = false;
    bool idempotent = true;
    entry_name entry;
    bool operator==(const task_report&) const = default;
};

enum class verb : uint8_t { submit, poll, cancel };

// A caller's request, as an entry instance forwards it to the leader of the work.
struct request {
    camphorwell::verb verb = verb::submit;
    work_id id;
    entry_name entry;
    std::string body;
    bool respondAsync = false; // Answer on acceptance; the caller polls for the result.
    int64_t deadlineMs = 0; // Time left until the deadline when the message was sent.
    uint8_t hops = 0;
    int64_t catalogueNext = 0; // Next catalogue offset at the instance that received the request.
};

enum class answer_state : uint8_t { done, accepted, running, refused };

struct answer {
    answer_state state = answer_state::refused;
    work_id id;
    std::string result;
    refusal why;
    uint64_t attempt = 0;
    worker_id worker;
};

// ---- Messages between instances -------------------------------------------------------------------------

struct heartbeat {
    view_id promised; // The view that the sender has acknowledged.
    std::vector<member> heard; // Members with a heartbeat within the peer timeout.
    std::vector<instance_id> acksMissing; // Members whose acknowledgement of `promised` is missing.
    uint64_t highestNumber = 0; // Highest view number seen in a message or in a worker's fencing token.
    bool leaving = false;
    resources freeCapacity; // Largest free capacity of a single usable worker.
    int64_t freeSlots = 0; // Sum over all usable workers.
    int64_t catalogueNext = 0;
};
struct propose {
    camphorwell::view view;
};
struct acknowledge {
    view_id id;
};
// State transfer for one worker: its holder has leased it under the view `id`.
struct worker_taken {
    view_id id;
    worker_id worker;
    std::vector<task_report> tasks; // The worker's tasks whose leader is the receiver.
};
// Acknowledges `worker_taken`.
struct worker_confirmed {
    view_id id;
    worker_id worker;
};
struct start_work {
    view_id id;
    camphorwell::work work;
};
struct start_refused {
    work_id id;
    uint64_t attempt = 0;
    reason why = reason::no_room;
    bool byWorker = false; // The worker reported that the attempt never started; valid from any sender.
};
struct task_update {
    view_id id; // The view that the sender has acknowledged; empty when it only relays the worker's report.
    task_report report;
};
// Acknowledges a `task_update`; the sender need not repeat it.
struct task_update_kept {
    work_id id;
    uint64_t attempt = 0;
};
struct stop_work {
    work_id id;
    uint64_t attempt = 0;
};
struct forward {
    uint64_t ticket = 0;
    camphorwell::request request;
};
struct forwarded_answer {
    uint64_t ticket = 0;
    camphorwell::answer answer;
};
struct catalogue_update {
    std::vector<catalogue_record> records; // A snapshot.
    int64_t nextOffset = 0;
};

using message = std::variant<heartbeat, propose, acknowledge, worker_taken, worker_confirmed, start_work,
    start_refused, task_update, task_update_kept, stop_work, forward, forwarded_answer, catalogue_update>;

nlohmann::json toJson(const message&);
// Throws nlohmann::json::exception on a malformed message.
message messageFromJson(const nlohmann::json&);

// ---- Calls to workers -------------------------------------------------------------------------------------

struct lease_call {
    uint64_t token = 0;
    std::string holder; // Instance id and incarnation of the caller.
    int64_t leaseMs = 0;
    int64_t taskLeaseMs = 0;
    uint64_t sinceSeq = 0; // The worker reports only tasks that changed after this sequence number.
};
struct release_call {
    uint64_t token = 0;
};
struct start_call {
    uint64_t token = 0;
    camphorwell::work work;
};
// Asks for the state of an attempt and prevents its start if it has not started yet.
struct revoke_call {
    uint64_t token = 0;
    work_id id;
    uint64_t attempt = 0;
};
struct stop_call {
    uint64_t token = 0;
    work_id id;
    uint64_t attempt = 0;
    bool checkpoint = false;
};
using worker_call = std::variant<lease_call, release_call, start_call, revoke_call, stop_call>;

enum class worker_verdict : uint8_t { ok, stale_token, held_by_other, no_lease, over_capacity };
std::string_view toString(worker_verdict);

struct worker_answer {
    worker_verdict verdict = worker_verdict::ok;
    resources capacity; // Set with a granted lease.
    uint64_t seq = 0; // Highest sequence number reported; set with a granted lease.
    uint64_t maxToken = 0; // Highest fencing token that the worker has granted a lease for.
    uint64_t boot = 0; // Changes with each restart of the worker; a restart loses its tasks.
    bool leaving = false; // The worker reports that it is draining; set with a granted lease.
    std::vector<task_report> tasks;
};

nlohmann::json toJson(const worker_call&);
worker_call workerCallFromJson(const nlohmann::json&);
nlohmann::json toJson(const worker_answer&);
worker_answer workerAnswerFromJson(const nlohmann::json&);

// ---- Events and actions -----------------------------------------------------------------------------------

struct tick { };
struct peer_message {
    member from;
    std::string dataCentre;
    camphorwell::message message;
};
struct peer_down {
    instance_id peer;
};
struct worker_reply {
    uint64_t call = 0;
    // Absent when the call failed; the call may still have taken effect.
    std::optional<worker_answer> answer;
};
enum class append_status : uint8_t { durable, refused, unknown };
struct append_reply {
    uint64_t call = 0;
    append_status status = append_status::unknown;
};
struct log_entry {
    int64_t offset = 0;
    std::string data;
};
struct read_reply {
    uint64_t call = 0;
    bool ok = false;
    std::vector<log_entry> records;
    int64_t first = 0; // Offset of the oldest record that the log retains.
    int64_t next = 0; // Offset of the next read.
    bool atEnd = false;
};
// The platform's list of workers and instances, which may be out of date.
struct platform_list {
    struct worker {
        worker_id id;
        std::string rack;
        bool leaving = false;
    };
    std::vector<worker> workers; // Workers of this data centre.
    std::vector<instance_id> instances; // Instances of this data centre.
};
struct submission {
    uint64_t ticket = 0;
    camphorwell::request request; // The id is empty for unkeyed work.
};
struct catalogue_change {
    uint64_t ticket = 0;
    catalogue_record record;
};
struct begin_leaving { };

using event = std::variant<tick, peer_message, peer_down, worker_reply, append_reply, read_reply,
    platform_list, submission, catalogue_change, begin_leaving>;

struct send_action {
    instance_id to;
    camphorwell::message message;
};
struct call_action {
    uint64_t call = 0;
    worker_id worker;
    worker_call payload;
};
struct append_action {
    uint64_t call = 0;
    std::string stream;
    std::vector<std::string> records;
};
struct read_action {
    uint64_t call = 0;
    std::string stream;
    int64_t from = 0;
};
struct answer_action {
    uint64_t ticket = 0;
    camphorwell::answer answer;
};
struct change_action {
    uint64_t ticket = 0;
    append_status status = append_status::unknown;
    std::optional<change_verdict> verdict;
    uint64_t version = 0;
    std::vector<std::string> inForce; // Data centres whose instances report the change as applied.
    std::vector<std::string> notYet; // All other data centres.
};
struct log_action {
    std::string line;
};
using action = std::variant<send_action, call_action, append_action, read_action, answer_action,
    change_action, log_action>;

// ---- Options ----------------------------------------------------------------------------------------------

// Faults that tests inject to show that their checks can fail. The daemon never sets one.
enum class fault : uint8_t {
    none,
    start_before_state_transfer, // A shard leader starts work before every worker is accounted for.
    holder_ignores_view, // A lease holder accepts starts under an older view.
    place_without_revoke, // Work with an unanswered start is placed elsewhere at once.
    intent_not_durable, // Non-idempotent work starts before its intent record is durable.
    rerun_unknown, // Non-idempotent work with an unknown outcome runs again.
    reserve_over_capacity, // A holder reserves resources without checking the free capacity.
    resume_twice, // An evicted task resumes as two attempts.
    refuse_after_start, // A refusal at the deadline reports `ran: no` for work that was started.
    reuse_lapsed_lease, // A holder uses a worker after the lease has expired.
    accept_before_durable, // Batch work is accepted before its record is durable.
    skip_confirmation, // A newly leased worker is used before the members confirm it.
    catalogue_reverts, // A lower catalogue version replaces a higher one.
    lease_after_lapse, // A holder whose leases have all expired takes new ones under the same view.
    leaving_still_used, // A draining worker receives new work.
};

struct node_options {
    member self;
    std::string dataCentre;
    std::vector<instance_id> peers; // Other instances of this data centre.
    std::map<std::string, std::vector<instance_id>> remote; // Instances of the other data centres.

    int64_t heartbeatMs = 250;
    int64_t peerTimeoutMs = 1500; // A peer without heartbeats for this time is suspected dead.
    int64_t settleMs = 100; // A membership change must persist for this time before a view is proposed.
    int64_t leaseMs = 2000; // Duration of a worker lease.
    int64_t taskLeaseMs = 6000; // A worker stops its tasks when its lease was not renewed for this time.
    double driftAllowance = 0.02; // Upper bound on the relative difference of clock rates.
    int64_t renewMs = 600; // Interval between renewals of a worker lease.
    int64_t callTimeoutMs = 1000; // A worker call is treated as unanswered after this time.
    int64_t resendMs = 200; // Interval between repetitions of an unacknowledged message.
    int64_t listDropMs = 8000; // A worker missing from the platform's list for this time is removed.
    int64_t resultRetentionMs = 600'000; // Retention of answers for retried requests.
    int64_t logPollMs = 1000; // Interval between reads of each log stream.
    size_t appendBatch = 256; // Maximum number of records in one append.
    int64_t logRetentionMs = 3'600'000; // Retention of records in the platform's log.
    size_t maxQueued = 10'000; // Maximum number of units of work in the queue.
    size_t maxKeptAnswers = 100'000; // Maximum number of retained answers.
    size_t maxWaiters = 64; // Maximum number of requests that wait for the same work.
    uint64_t maxAttempts = 20;
    fault injectedFault = fault::none;

    std::vector<std::string> dataCentres() const;
};

// The result of `node::explain`: why a piece of work is in its present state.
struct explanation {
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct node_status {
    view_id promised; // The view that this instance has acknowledged.
    bool acknowledged = false; // Every member has acknowledged the view.
    bool transferComplete = false; // Every worker is accounted for.
    bool ready = false;
    bool leaving = false;
    bool drained = false; // Leaving, with no unfinished work.
    size_t members = 0;
    size_t workersHeld = 0;
    size_t workersUsable = 0;
    size_t queued = 0;
    size_t placed = 0;
    size_t keptAnswers = 0;
    size_t unaccountedWorkers = 0; // Workers not yet leased under the view.
    int64_t catalogueNext = 0;
    bool logAvailable = true;
};

class node {
public:
    node(node_options, uint64_t seed);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Handles one event and returns the actions to execute. `now` must not decrease between calls.
    std::vector<action> handle(instant now, const event&);

    const catalogue& currentCatalogue() const;
    const view& currentView() const;
    node_status status() const;
    explanation explain(const work_id&) const;
    // Returns the number of times each reason was given, indexed by `reason`.
    const std::vector<uint64_t>& counters() const;
    // Checks every internal invariant; tests call it after each event.
    void checkInvariants() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace camphorwell
