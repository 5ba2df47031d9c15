// The scheduler daemon: one instance of the scheduler.
//
//   event_loop loop;
//   scheduler_daemon daemon(loop, settings);
//   daemon.start();
//   loop.run();
//
// Every instance accepts jobs from callers and answers questions about them. Each cell (see jobs.h) is led by
// one instance at a time; any other instance can take over from it. Durable state is kept in the platform's
// store, in topics that retain the newest record of each key:
//
//   jobs-C      accepted jobs and cancels of cell C, by job id
//   progress-C  attempts started and completed, by job; written by the leader only, fenced by its token
//   claims      partition C: the leader of cell C
//   instances   address and data centre of each instance, by name
//
// Folders, by the lifetime of what they hold: request/ (calls of callers, the route to the store), version/
// (the current configuration, the other instances), process/ (leading a cell, the instance as a whole).
//
// Units: milliseconds on the boot clock. Errors: invalid settings are reported as `e_scheduler_settings` with
// the path of each invalid field. Threading: one event loop on one thread.
#pragma once

#include "platform/platform.h"
#include "scheduler/request/store_reachability.h"
#include "schema/schema.h"

namespace camphorwell {

// The faults of a settings document.
struct e_scheduler_settings {
    std::vector<field_error> faults;
};

struct scheduler_settings {
    instance_id instance;
    std::string dataCentre;
    std::string address; // IP address of this instance.
    std::string callers; // HOST:PORT to listen on for callers.
    std::string readiness; // HOST:PORT to listen on for the load balancer's readiness check.
    uint16_t internalPort = 0; // Port on `address` for other instances.
    platform::store_settings store;
    std::string advice; // HOST:PORT of the advice service; empty: none.
    double processors = 1; // Cores available to this instance.
    int cells = 1;
    ms graceMs = 6000; // Time between SIGTERM and SIGKILL.
    cell_settings cell;
    election_settings election;
    int64_t incarnation = 0; // Start time of the process, in Unix milliseconds.
};
// Validates a settings document and fills in defaults. Errors: `e_scheduler_settings`.
result<scheduler_settings> parseSchedulerSettings(const nlohmann::json&);
// Reads and validates a settings file. Errors: `e_scheduler_settings`.
result<scheduler_settings> readSchedulerSettings(const std::string& file);
// Copies from `loaded` to `current` the settings that take effect without a restart. Returns the names of the
// other settings that differ.
std::vector<std::string> adoptSettings(scheduler_settings& current, const scheduler_settings& loaded);

// Milliseconds since boot, including time during which the machine is suspended.
ms bootNow();
// Milliseconds since the Unix epoch.
int64_t unixNow();

// Writes structured lines to standard output without blocking. Lines over the rate limit, and lines that
// the reader is too slow for, are dropped and counted.
class event_log {
public:
    explicit event_log(int linesPerSecond);
    void write(const log_line&);
    // Returns whether the rate limit admits a line now; if not, counts one line as dropped.
    bool admitLine();
    // Writes a line regardless of the rate limit. Used for events that every incident analysis needs.
    void writeAlways(const log_line&);

private:
    void put(const std::string&);
    int m_rate; // Lines per second.
    double m_tokens; // Lines that may be written now.
    ms m_refilledAt = 0;
    int64_t m_dropped = 0;
};

using counters = std::map<std::string, int64_t>;

// State shared by the parts of an instance.
struct scheduler_context {
    event_loop& loop;
    const scheduler_settings& settings;
    platform::store& store;
    event_log& log;
    counters& counts;
};

// Follows the operator's configuration in the store. Versions lower than or equal to the current one are
// ignored.
class catalogue_follower {
public:
    catalogue_follower(scheduler_context&, std::function<void()> onChange);
    void start();
    // nullptr until a configuration has been read.
    const platform::configuration* current() const { return m_current ? &*m_current : nullptr; }
    // Policies of all queues seen so far; a queue whose route was removed keeps its last policy.
    std::shared_ptr<const queue_table> queues() const { return m_queues; }
    // Returns the route with the same host and the longest matching path prefix, or nullptr.
    const platform::route* findRoute(const std::string& host, const std::string& path) const;

private:
    void readNewest();
    void follow();
    void apply(const platform::keyed_item&);
    scheduler_context& m_context;
    std::function<void()> m_onChange;
    std::optional<platform::configuration> m_current;
    std::shared_ptr<const queue_table> m_queues = std::make_shared<queue_table>();
    uint64_t m_nextOffset = 0;
};

// The other instances, as announced by themselves in the store.
class instance_directory {
public:
    explicit instance_directory(scheduler_context&);
    void start();
    // Removes the announcement of this instance.
    void withdraw();
    // HOST:PORT of the other instances, alternating between this data centre and others.
    const std::vector<std::string>& others() const { return m_others; }
    // HOST:PORT of the instance that appends the records of all instances of this data centre while the store
    // is slow, so that appends to a shared partition do not wait for each other. Empty when this instance is
    // the aggregator, or when there are at least as many partitions as instances.
    std::optional<std::string> aggregator(ms now) const;
    // Chooses another aggregator for a while, since the one at `address` did not answer.
    void excludeAggregator(const std::string& address, ms now);

private:
    void announce();
    void read();
    void onAnnouncements(const std::vector<platform::keyed_item>&);
    scheduler_context& m_context;
    std::string m_topic;
    std::string m_self;
    bool m_withdrawn = false;
    std::vector<std::string> m_others;
    // Instances of this data centre, including this one, in the order in which they become aggregator.
    std::vector<std::string> m_aggregatorOrder;
    std::map<std::string, ms> m_excludedUntil;
};

// Appends accepted jobs and cancels to the store. Records that arrive during an append form the next batch.
class job_log {
public:
    // accepted: the record is in the log; refused: it is not and never will be; unknown: it may be.
    enum class outcome { accepted, refused, unknown };
    using handler = std::function<void(outcome)>;
    explicit job_log(scheduler_context&);
    // Appends a record, retrying until `deadline` or until the store stops answering, and calls the handler
    // once with the outcome.
    void append(int cell, std::string key, std::string value, ms deadline, handler);
    // Number of records that wait for an append.
    size_t queuedRecords() const;
    bool lastAppendUnanswered() const { return m_nextTimeout > 0; }

private:
    struct entry {
        std::string record;
        ms deadline = 0;
        handler done;
        bool maybeAppended = false;
        // Calls the handler unless it has been called.
        void finish(outcome);
    };
    using batch = std::shared_ptr<std::vector<entry>>;
    void flush(int cell);
    batch takeBatch(size_t cell);
    void onAppended(size_t cell, const batch&, const platform::append_answer&);
    // Finishes the records whose deadline has passed.
    void expire(size_t cell);
    scheduler_context& m_context;
    int m_partition;
    std::vector<std::vector<entry>> m_queued; // By cell.
    ms m_nextTimeout = 0; // Lower bound for the next timeout after an unanswered append; otherwise 0.
    std::vector<batch> m_inFlight; // By cell; null when no append is in flight.
};

// Result of looking up a job.
struct job_lookup {
    bool found = false;
    job_state state = job_state::queued;
};

// One cell on this instance: takes part in the election of its leader, and runs the cell while leading it.
class cell_host {
public:
    cell_host(scheduler_context&, int cellNumber);
    ~cell_host();
    void start();
    void setQueues(std::shared_ptr<const queue_table>);
    void setSettings(const cell_settings&);
    // Whether this instance leads the cell and has recovered its state.
    bool active() const;
    // HOST:PORT of the leader; empty when it is this instance, has released the cell or is not known.
    std::optional<std::string> leaderAddress() const;
    // Empty when the cell is not active here, or when recently accepted jobs may not have been read yet.
    std::optional<job_lookup> stateOf(const job_id&) const;
    // Accepted jobs of the queue of which no task has started; empty when the cell is not active here.
    std::optional<int64_t> pending(const std::string& queue) const;
    // Gives up the leadership, so that another instance can claim the cell at once.
    void release();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// The HTTP servers for callers, for the load balancer's readiness check and for other instances.
class http_frontend {
public:
    http_frontend(scheduler_context&, catalogue_follower&, instance_directory&, job_log&,
        std::vector<std::unique_ptr<cell_host>>&);
    ~http_frontend();
    result<void> listen();
    // Reports the instance as not ready and closes connections after their next answer.
    void startDraining() { m_draining = true; }
    // Callers' calls that are not answered yet.
    size_t openCalls() const { return m_openCalls; }
    // Callers' calls since the start.
    uint64_t receivedCalls() const { return m_receivedCalls; }

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;
    void onCallerRequest(http_request, std::shared_ptr<http_reply>);
    void onPeerRequest(const http_request&, const std::shared_ptr<http_reply>&);
    void onReadiness(const std::shared_ptr<http_reply>&);
    void onForwardedRecord(const http_request&, const std::shared_ptr<http_reply>&);
    void submit(const call_ptr&);
    void cancel(const call_ptr&);
    // Appends the call's record to the log, through another instance where needed, and answers the call.
    void persist(const call_ptr&);
    // Sends the call's record to another instance, which appends it.
    void forward(const call_ptr&, const std::string& address, ms timeout);
    // The aggregator to forward the record to; empty when this instance appends it itself.
    std::optional<std::string> aggregatorFor(const call_ptr&) const;
    // Appends a record that may already be in the log again until the call's deadline. Answers at once when
    // the record is certainly not in the log.
    void retryAppend(const call_ptr&);
    void answerUnrecorded(const call_ptr&);
    void watchStore();
    // Updates the store's reachability and returns the route for a record now.
    store_route storeRoute();
    void answerState(const call_ptr&);
    void answerPending(const call_ptr&);
    cell_host& cellOfCall(const call_ptr&);
    void queryLeader(const call_ptr&, const std::string& path,
        void (http_frontend::*retryCall)(const call_ptr&),
        std::function<void(const http_response&)> onAnswer);
    void answer(const call_ptr&, int status, const std::string& body, std::string_view why);
    bool ready() const;
    int cellOf(const job_id&) const;
    http_client& peerClient(const std::string& address);

    scheduler_context& m_context;
    catalogue_follower& m_catalogue;
    instance_directory& m_directory;
    job_log& m_jobLog;
    store_reachability m_reachability;
    ms m_storeLostAt = 0; // When the store stopped answering; 0: it answers.
    size_t m_nextProbe = 0; // Index in the directory of the instance to probe next, modulo its size.
    std::vector<std::unique_ptr<cell_host>>& m_cells;
    std::unique_ptr<http_server> m_callerServer, m_readinessServer, m_peerServer;
    std::map<std::string, std::unique_ptr<http_client>> m_peerClients;
    bool m_draining = false;
    size_t m_openCalls = 0;
    uint64_t m_receivedCalls = 0;
};

// One instance of the scheduler with all its parts.
class scheduler_daemon {
public:
    scheduler_daemon(event_loop&, scheduler_settings);
    ~scheduler_daemon();
    result<void> start();
    // Applies the settings of the file that can change at run time. An invalid file changes nothing.
    void reload(const std::string& file);
    // Reports not ready, withdraws the announcement, releases the cells and stops the loop once open calls
    // are answered or the grace period is almost over.
    void shutDown();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace camphorwell
