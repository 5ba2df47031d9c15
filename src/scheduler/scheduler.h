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
    ownership_settings ownership;
    int64_t incarnation = 0;
};
result<scheduler_settings> parseSchedulerSettings(const nlohmann::json&);
result<scheduler_settings> readSchedulerSettings(const std::string& file);
// The settings that take effect without a restart: `now` as far as it can follow `wanted`. Names what cannot.
std::vector<std::string> adoptSettings(scheduler_settings& now, const scheduler_settings& wanted);

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
    bool open();
    // Lines that matter to every incident pass the rate.
    void writeAlways(const log_line&);

private:
    void put(const std::string&);
    int m_rate;
    double m_allowance;
    ms m_filledAt = 0;
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
    const platform::route* find(const std::string& host, const std::string& path) const;

private:
    void readNewest();
    void follow();
    void take(const platform::keyed_item&);
    scheduler_context& m_context;
    std::function<void()> m_onChange;
    std::optional<platform::configuration> m_current;
    std::shared_ptr<const queue_table> m_queues = std::make_shared<queue_table>();
    uint64_t m_next = 0;
};

// The other instances, as they announce themselves in the store.
class instance_directory {
public:
    explicit instance_directory(scheduler_context&);
    void start();
    // Withdraws the announcement of this instance.
    void leave();
    // HOST:PORT of each, those of the own and of other data centres by turns.
    const std::vector<std::string>& others() const { return m_others; }
    // The instance of this data centre that appends for all of it while the store is slow, so that they do
    // not wait for each other's appends; nothing when it is this one, or when there is a partition for each.
    std::optional<std::string> collector(ms now) const;
    // It does not answer: another one collects for a while.
    void avoid(const std::string& address, ms now);

private:
    void announce();
    void read();
    void take(const std::vector<platform::keyed_item>&);
    scheduler_context& m_context;
    std::string m_topic;
    std::string m_self;
    bool m_left = false;
    std::vector<std::string> m_others;
    std::vector<std::string> m_near; // Of this data centre and itself, the first to collect first.
    std::map<std::string, ms> m_avoidedUntil;
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
    size_t waiting() const;
    // The last append got no answer.
    bool unanswered() const { return m_patience > 0; }

private:
    struct entry {
        std::string record;
        ms deadline = 0;
        handler done;
        bool maybeDone = false;
        void end(outcome);
    };
    using batch = std::shared_ptr<std::vector<entry>>;
    void flush(int cell);
    batch takeBatch(size_t cell);
    void onAppended(size_t cell, const batch&, const platform::append_answer&);
    // Ends what is over its deadline.
    void expire(size_t cell);
    scheduler_context& m_context;
    int m_partition;
    std::vector<std::vector<entry>> m_waiting;
    ms m_patience = 0; // For the next append, after one that got no answer; 0: there was none.
    std::vector<batch> m_writing; // By cell; none: no append is under way.
};

struct job_answer {
    bool known = false; // False: no such job.
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
    std::optional<std::string> ownerAddress() const;
    // Nothing when this instance cannot tell.
    std::optional<job_answer> stateOf(const job_id&) const;
    std::optional<int64_t> pending(const std::string& queue) const;
    // Gives the cell to whoever claims it next.
    void release();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

// Answers callers, the balancer and other instances.
class front {
public:
    front(scheduler_context&, catalogue_follower&, instance_directory&, job_log&,
        std::vector<std::unique_ptr<cell_host>>&);
    ~front();
    result<void> listen();
    void leave() { m_leaving = true; }
    size_t open() const { return m_open; } // Calls that are not answered yet.
    uint64_t taken() const { return m_taken; } // All calls so far.

private:
    struct call;
    using call_ptr = std::shared_ptr<call>;
    void onCaller(http_request, std::shared_ptr<http_reply>);
    void onInstance(const http_request&, const std::shared_ptr<http_reply>&);
    void onReadiness(const std::shared_ptr<http_reply>&);
    void onRelayed(const http_request&, const std::shared_ptr<http_reply>&);
    void submit(const call_ptr&);
    void cancel(const call_ptr&);
    // Brings the call's record into the log, here or at another instance, and answers.
    void record(const call_ptr&);
    void relay(const call_ptr&, const std::string& address, ms timeout);
    // The collector to hand the record to instead of appending it here.
    std::optional<std::string> collectorFor(const call_ptr&) const;
    // The record is, or may be, in the log: it is brought there until the caller's time is over.
    void insist(const call_ptr&);
    void refuse(const call_ptr&);
    void watchStore();
    // Where work can be accepted, by the silence of the store as it is now.
    way_in wayIn();
    void tellState(const call_ptr&);
    void tellPending(const call_ptr&);
    cell_host& cellOfCall(const call_ptr&);
    void askOwner(const call_ptr&, const std::string& path, void (front::*again)(const call_ptr&),
        std::function<void(const http_response&)> take);
    void answer(const call_ptr&, int status, const std::string& body, std::string_view why);
    bool ready() const;
    int cellOf(const job_id&) const;
    http_client& instanceAt(const std::string& address);

    scheduler_context& m_context;
    catalogue_follower& m_catalogue;
    instance_directory& m_directory;
    job_log& m_jobs;
    store_reach m_reach;
    ms m_storeLostAt = 0; // When the store fell silent; 0: it answers.
    size_t m_askedLast = 0; // Place in the directory of the last instance that was asked about the store.
    std::vector<std::unique_ptr<cell_host>>& m_cells;
    std::unique_ptr<http_server> m_callers, m_readiness, m_instances;
    std::map<std::string, std::unique_ptr<http_client>> m_others;
    bool m_leaving = false;
    size_t m_open = 0;
    uint64_t m_taken = 0;
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
    void leave();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace camphorwell
