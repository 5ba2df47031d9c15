// The coordination library: who decides what in a data centre, without any input or output.
//
// A `node` is one entry instance. It takes an event and the time and returns actions:
//
//   node n(options, seed);
//   for (auto& act : n.handle(now, submission { ticket, request }))
//       std::visit(driver, act);
//
// The daemon and the randomised tests drive the same class. Three kinds of decision have one writer each:
//
//   what a worker runs          its holder, by a worker lease with a fencing token
//   whether keyed work runs     the owner of the key's shard, by a view that every holder has promised
//   what the catalogue says     the order of the platform's log
//
// Views. A view is a numbered list of instances. A member that promises a view refuses starts under every
// other one. Shards and workers are assigned to members by rendezvous hashing. A holder takes each of its
// workers again under every new view, with a token that carries the view's number, and tells each member
// which tasks run there. The owner of a shard starts work when it owned the shard before and has kept a
// worker lease ever since (no successor can then have finished its take-over), or when every member has
// promised the view and every worker of the data centre was taken under it. A worker that a holder did not
// hold before is used only once every member has confirmed it under the same view.
//
// Running once. A start is idempotent by (work, attempt) at the holder and at the worker. Work is placed
// again only after the holder has answered that it never started, that it ended, or that the worker's task
// lease has lapsed. Non-idempotent work has a durable intent before its only start.
//
// Units: `instant` in microseconds; durations in milliseconds. Errors: every refusal is a value with a
// `reason`. Threading: one loop on one thread; a node is not safe for concurrent use.
// Memory: bounded by the `limits` in `node_options`.
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

struct member {
    instance_id id;
    uint64_t incarnation = 0;
    bool leaving = false; // Holds nothing and owns nothing; finishes what it has.
    auto operator<=>(const member&) const = default;
};

struct view_id {
    uint64_t number = 0;
    instance_id proposer;
    auto operator<=>(const view_id&) const = default;
    std::string str() const { return std::to_string(number) + "/" + proposer; }
};

struct view {
    view_id id;
    std::vector<member> members; // Sorted by id.
    const member* find(const instance_id&) const;
    bool contains(const instance_id& id, uint64_t incarnation) const;
    // The member that should hold `worker`; empty when every member is leaving.
    instance_id holderOf(const worker_id& worker) const;
    // The member that owns `shard`.
    instance_id leaderOfShard(uint32_t shard) const;
    // The member that owns the work: by shard for keyed work, by name for the rest.
    instance_id leaderOfWork(const work_id&) const;
    bool operator==(const view&) const = default;
};

constexpr uint32_t shardCount = 64; // Shards of a data centre's key space.

// Work ids name the home data centre and either the hash of entry and key, or the receiving instance.
work_id keyedWorkId(const std::string& dataCentre, const entry_name&, const std::string& key);
work_id unkeyedWorkId(const std::string& dataCentre, const member& receiver, uint64_t sequence);
std::string homeOfWork(const work_id&); // Empty for a malformed id.
bool isKeyed(const work_id&);
uint32_t shardOf(const work_id&);
// The data centre that decides about a key: a pure function of the key and the list of data centres.
std::string homeOfKey(const std::string& key, const std::vector<std::string>& dataCentres);

// ---- Work ---------------------------------------------------------------------------------------------

enum class task_state : uint8_t { running, done, failed, stopped, evicted, lost, never_started };
std::string_view toString(task_state);

// What a worker is asked to run.
struct work {
    work_id id;
    uint64_t attempt = 0; // Unique for the work: the view number that placed it, and a count.
    entry_name entry;
    std::string owner;
    bool batch = false;
    bool idempotent = true;
    bool urgent = false;
    resources need;
    std::string body;
    std::string checkpoint; // Reference to resume from; empty for a first attempt.
    int64_t deadlineMs = 0; // Remaining time when the message was sent.
    bool operator==(const work&) const = default;
};

// The state of one attempt, as a worker or a holder reports it.
struct task_report {
    work_id id;
    uint64_t attempt = 0;
    worker_id worker;
    task_state state = task_state::running;
    std::string result;
    std::string checkpoint;
    // What was booked, so that a holder that adopts the task can book it again.
    resources need;
    bool batch = false;
    bool idempotent = true;
    entry_name entry;
    bool operator==(const task_report&) const = default;
};

enum class verb : uint8_t { submit, poll, cancel };

// A caller's request, as an entry instance passes it to the owner of the work.
struct request {
    camphorwell::verb verb = verb::submit;
    work_id id;
    entry_name entry;
    std::string body;
    bool respondAsync = false; // Answer once accepted; the result is polled.
    int64_t deadlineMs = 0; // Remaining time when the message was sent.
    uint8_t hops = 0;
    int64_t catalogueNext = 0; // Catalogue offset at the instance that took the request.
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
    view_id promised;
    std::vector<member> heard; // Members heard from within the peer timeout.
    std::vector<instance_id> acksMissing; // Members whose acknowledgement of `promised` has not come.
    uint64_t highestNumber = 0; // Highest view number seen, in messages or in a worker's token.
    bool leaving = false;
    resources freeCapacity; // Largest free room on one usable worker.
    int64_t freeSlots = 0; // Over all usable workers.
    int64_t catalogueNext = 0;
};
struct propose {
    camphorwell::view view;
};
struct acknowledge {
    view_id id;
};
struct worker_taken {
    view_id id;
    worker_id worker;
    std::vector<task_report> tasks; // Those whose owner is the receiver.
};
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
    bool byWorker = false; // The worker's own word that it never started; true whoever passes it on.
};
struct task_update {
    view_id id; // The sender's promised view; empty when it only passes on what the worker said.
    task_report report;
};
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
    std::string holder; // Instance and incarnation.
    int64_t leaseMs = 0;
    int64_t taskLeaseMs = 0;
    uint64_t sinceSeq = 0; // Only tasks that changed after this sequence number are reported.
};
struct release_call {
    uint64_t token = 0;
};
struct start_call {
    uint64_t token = 0;
    camphorwell::work work;
};
// Asks for the state of an attempt; an attempt not yet started never will be.
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
    resources capacity; // With a granted lease.
    uint64_t seq = 0; // With a granted lease: the highest sequence number reported.
    uint64_t maxToken = 0; // The highest token the worker has granted.
    uint64_t boot = 0; // Differs after each restart of the worker, which forgets its tasks.
    bool leaving = false; // The worker's own word, with a granted lease.
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
    // Absent when the call failed; it may have taken effect.
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
    int64_t first = 0; // Offset of the oldest record that the log still keeps.
    int64_t next = 0; // Offset to read from next.
    bool atEnd = false;
};
// The platform's lagging list.
struct platform_list {
    struct worker {
        worker_id id;
        std::string rack;
        bool leaving = false;
    };
    std::vector<worker> workers; // Of this data centre.
    std::vector<instance_id> instances; // Of this data centre.
};
struct submission {
    uint64_t ticket = 0;
    camphorwell::request request; // With an empty id for unkeyed work.
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
    std::optional<fold_verdict> verdict;
    uint64_t version = 0;
    std::vector<std::string> inForce; // Data centres that report the change.
    std::vector<std::string> notYet;
};
struct log_action {
    std::string line;
};
using action = std::variant<send_action, call_action, append_action, read_action, answer_action,
    change_action, log_action>;

// ---- Options ----------------------------------------------------------------------------------------------

// Deliberate faults for the tests that show that a check can fail. Never set by the daemon.
enum class fault : uint8_t {
    none,
    start_before_state_transfer, // An owner starts work before every worker is accounted for.
    holder_ignores_view, // A holder accepts starts under an older view.
    place_without_revoke, // Work whose start had no answer is placed elsewhere at once.
    intent_not_durable, // Non-idempotent work starts before its intent is durable.
    rerun_unknown, // Non-idempotent work with an unknown outcome runs again.
    reserve_over_capacity, // The holder books without looking at the room.
    resume_twice, // An evicted task is queued twice.
    refuse_after_start, // A deadline refusal says `ran: no` after the start.
    reuse_lapsed_lease, // A holder goes on after its lease lapsed.
    accept_before_durable, // Batch work is accepted before its record is durable.
    skip_confirmation, // A worker taken under a view is used before the members confirm it.
    catalogue_reverts, // A lower catalogue version replaces a higher one.
    lease_after_lapse, // A holder that lost every lease takes new ones under the same view.
    leaving_still_used, // A leaving worker receives new work.
};

struct node_options {
    member self;
    std::string dataCentre;
    std::vector<instance_id> peers; // Other instances of this data centre.
    std::map<std::string, std::vector<instance_id>> remote; // Instances of the other data centres.

    int64_t heartbeatMs = 250;
    int64_t peerTimeoutMs = 1500; // A silent peer is believed dead after this.
    int64_t settleMs = 100; // A change of belief must last this long before a view is proposed.
    int64_t leaseMs = 2000; // Worker lease.
    int64_t taskLeaseMs = 6000; // Tasks stop when the worker's lease was not renewed for this long.
    double driftAllowance = 0.02; // Clock rates differ by at most this share.
    int64_t renewMs = 600;
    int64_t callTimeoutMs = 1000; // A worker call without an answer is settled after this.
    int64_t resendMs = 200;
    int64_t listDropMs = 8000; // A worker absent from the platform's list this long is gone.
    int64_t resultRetentionMs = 600'000; // Answers are kept for retries this long.
    int64_t logPollMs = 1000; // Interval between reads of each log stream.
    size_t appendBatch = 256; // Records in one append.
    int64_t logRetentionMs = 3'600'000;
    size_t maxQueued = 10'000; // Work waiting for a worker.
    size_t maxKeptAnswers = 100'000; // Answers kept.
    size_t maxWaiters = 64; // Requests waiting for one piece of work.
    uint64_t maxAttempts = 20;
    fault injectedFault = fault::none;

    std::vector<std::string> dataCentres() const;
};

// One finding of `node::explain`.
struct explanation {
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;
};

struct node_status {
    view_id promised;
    bool acknowledged = false; // Every member has acknowledged the view.
    bool transferComplete = false; // Every worker is accounted for.
    bool ready = false;
    bool leaving = false;
    bool drained = false; // Leaving, and nothing is left to finish.
    size_t members = 0;
    size_t workersHeld = 0;
    size_t workersUsable = 0;
    size_t queued = 0;
    size_t placed = 0;
    size_t keptAnswers = 0;
    size_t unaccountedWorkers = 0; // Workers not accounted for.
    int64_t catalogueNext = 0;
    bool logAvailable = true;
};

class node {
public:
    node(node_options, uint64_t seed);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    // Handles one event at `now`, which must not decrease, and returns what to do.
    std::vector<action> handle(instant now, const event&);

    const catalogue& currentCatalogue() const;
    const view& currentView() const;
    node_status status() const;
    explanation explain(const work_id&) const;
    // How often each reason was given, indexed by `reason`.
    const std::vector<uint64_t>& counters() const;
    // Checks every internal invariant; called by the tests after each event.
    void checkInvariants() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace camphorwell
