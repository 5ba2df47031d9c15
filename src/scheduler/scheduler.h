// The scheduler daemon: one instance of the scheduler in front of the workers.
//
//   event_loop loop;
//   scheduler_daemon daemon(loop, settings);
//   daemon.start();
//   loop.run();
//
// Every instance takes jobs from callers and answers for them. One instance owns each cell (see jobs.h) and
// is replaced by any other when it goes. What must last is in the platform's store:
//
//   jobs-C      accepted jobs and cancels of cell C, by id
//   progress-C  what was started and has ended, by job; written by the owner alone, fenced by its token
//   claims      partition C: who owns cell C
//   instances   the instances, by name
//
// Parts, by life span: request/ (a caller's request: front.cpp, and where it can be accepted: reach.h),
// version/ (the configuration in force, the other instances), process/ (the owner's work, the instance).
//
// Units: milliseconds on the boot clock. Errors: settings that cannot be used are `e_settings` with the path
// of each wrong field. Threading: one loop on one thread.
#pragma once

#include "platform/platform.h"
#include "scheduler/request/store_reachability.h"
#include "schema/schema.h"

namespace camphorwell {

struct e_scheduler_settings {
    std::vector<field_error> faults;
};

struct scheduler_settings {
    instance_id instance;
    std::string dataCentre;
    std::string address; // IP address of this instance.
    std::string callers; // HOST:PORT for callers.
    std::string readiness; // HOST:PORT for the balancer's check.
    uint16_t internalPort = 0; // For other instances.
    platform::store_settings store;
    std::string advice; // HOST:PORT; empty: there is none.
    double processors = 1; // Of this instance, in cores.
    int cells = 1;
    ms graceMs = 6000; // From SIGTERM to SIGKILL.
    cell_settings cell;
    election_settings election;
    int64_t incarnation = 0;
};
result<scheduler_settings> parseSchedulerSettings(const nlohmann::json&);
result<scheduler_settings> readSchedulerSettings(const std::string& file);
// The settings that take effect without a restart: `now` as far as it can follow `wanted`. Names what cannot.
std::vector<std::string> adoptSettings(scheduler_settings& current, const scheduler_settings& loaded);

// Time that counts on while the machine is suspended.
ms bootNow();
int64_t unixNow();

// Writes structured lines to standard output. Never blocks: lines beyond the rate, or that the reader does
// not take, are dropped and counted.
class event_log {
public:
    explicit event_log(int linesPerSecond);
    void write(const log_line&);
    // Whether `write` would take a line now; counts one as dropped where not.
    bool admitLine();
    // Lines that matter to every incident pass the rate.
    void writeAlways(const log_line&);

private:
    void put(const std::string&);
    int m_rate;
    double m_tokens;
    ms m_refilledAt = 0;
    int64_t m_dropped = 0;
};

using counters = std::map<std::string, int64_t>;

// What the parts of an instance share.
struct scheduler_context {
    event_loop& loop;
    const scheduler_settings& settings;
    platform::store& store;
    event_log& log;
    counters& counts;
};

// The configuration in force. Versions only rise.
class catalogue_follower {
public:
    catalogue_follower(scheduler_context&, std::function<void()> onChange);
    void start();
    const platform::configuration* current() const { return m_current ? &*m_current : nullptr; }
    std::shared_ptr<const queue_table> queues() const { return m_queues; }
    // The route of a caller's request: same host, longest prefix of the path.
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

// The other instances, as they announce themselves in the store.
class instance_directory {
public:
    explicit instance_directory(scheduler_context&);
    void start();
    // Withdraws the announcement of this instance.
    void withdraw();
    // HOST:PORT of each, those of the own and of other data centres by turns.
    const std::vector<std::string>& others() const { return m_others; }
    // The instance of this data centre that appends for all of it while the store is slow, so that they do
    // not wait for each other's appends; nothing when it is this one, or when there is a partition for each.
    std::optional<std::string> aggregator(ms now) const;
    // It does not answer: another one collects for a while.
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
    std::vector<std::string> m_aggregatorOrder; // Of this data centre and itself, the first to collect first.
    std::map<std::string, ms> m_excludedUntil;
};

// Appends accepted jobs and cancels, those that arrive meanwhile together.
class job_log {
public:
    enum class outcome { accepted, refused, unknown };
    using handler = std::function<void(outcome)>;
    explicit job_log(scheduler_context&);
    // Tries until `deadline`, or until the store falls silent, and says what came of it then. `refused` means
    // that the record is not in the log and never will be.
    void append(int cell, std::string key, std::string value, ms deadline, handler);
    size_t queuedRecords() const;
    // The last append got no answer.
    bool lastAppendUnanswered() const { return m_nextTimeout > 0; }

private:
    struct entry {
        std::string record;
        ms deadline = 0;
        handler done;
        bool maybeAppended = false;
        void finish(outcome);
    };
    using batch = std::shared_ptr<std::vector<entry>>;
    void flush(int cell);
    batch takeBatch(size_t cell);
    void onAppended(size_t cell, const batch&, const platform::append_answer&);
    // Ends what is over its deadline.
    void expire(size_t cell);
    scheduler_context& m_context;
    int m_partition;
    std::vector<std::vector<entry>> m_queued;
    ms m_nextTimeout = 0; // For the next append, after one that got no answer; 0: there was none.
    std::vector<batch> m_inFlight; // By cell; none: no append is under way.
};

struct job_lookup {
    bool found = false; // False: no such job.
    job_state state = job_state::queued;
};

// One cell as this instance sees it: who owns it, and all the work of owning it.
class cell_host {
public:
    cell_host(scheduler_context&, int cellNumber);
    ~cell_host();
    void start();
    void setQueues(std::shared_ptr<const queue_table>);
    void setSettings(const cell_settings&);
    bool active() const;
    // HOST:PORT of the owner, when another instance is it.
    std::optional<std::string> leaderAddress() const;
    // Nothing when this instance cannot tell.
    std::optional<job_lookup> stateOf(const job_id&) const;
    std::optional<int64_t> pending(const std::string& queue) const;
    // Gives the cell to whoever claims it next.
    void release();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// Answers callers, the balancer and other instances.
class http_frontend {
public:
    http_frontend(scheduler_context&, catalogue_follower&, instance_directory&, job_log&,
        std::vector<std::unique_ptr<cell_host>>&);
    ~http_frontend();
    result<void> listen();
    void startDraining() { m_draining = true; }
    size_t openCalls() const { return m_openCalls; } // Calls that are not answered yet.
    uint64_t receivedCalls() const { return m_receivedCalls; } // All calls so far.

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;
    void onCallerRequest(http_request, std::shared_ptr<http_reply>);
    void onPeerRequest(const http_request&, const std::shared_ptr<http_reply>&);
    void onReadiness(const std::shared_ptr<http_reply>&);
    void onForwardedRecord(const http_request&, const std::shared_ptr<http_reply>&);
    void submit(const call_ptr&);
    void cancel(const call_ptr&);
    // Brings the call's record into the log, here or at another instance, and answers.
    void persist(const call_ptr&);
    void forward(const call_ptr&, const std::string& address, ms timeout);
    // The collector to hand the record to instead of appending it here.
    std::optional<std::string> aggregatorFor(const call_ptr&) const;
    // The record is, or may be, in the log: it is brought there until the caller's time is over.
    void retryAppend(const call_ptr&);
    void answerUnrecorded(const call_ptr&);
    void watchStore();
    // Where work can be accepted, by the silence of the store as it is now.
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
    job_log& m_jobs;
    store_reachability m_reachability;
    ms m_storeLostAt = 0; // When the store fell silent; 0: it answers.
    size_t m_nextProbe = 0; // Place in the directory of the last instance that was asked about the store.
    std::vector<std::unique_ptr<cell_host>>& m_cells;
    std::unique_ptr<http_server> m_callerServer, m_readinessServer, m_peerServer;
    std::map<std::string, std::unique_ptr<http_client>> m_peerClients;
    bool m_draining = false;
    size_t m_openCalls = 0;
    uint64_t m_receivedCalls = 0;
};

class scheduler_daemon {
public:
    scheduler_daemon(event_loop&, scheduler_settings);
    ~scheduler_daemon();
    result<void> start();
    // Takes over from the settings file what can change while the instance runs. Settings with a fault change
    // nothing.
    void reload(const std::string& file);
    // Stops taking new connections, gives its cells away, answers what is open, and ends the loop.
    void shutDown();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace camphorwell
