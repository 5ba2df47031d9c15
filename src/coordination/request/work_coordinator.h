// The work that this instance leads, from the request to the answer.
//
// Work is recording (its opening record is being appended to the log), queued, placed with a lease holder,
// or finished. It returns from placed to queued only when the attempt is known not to run: the holder
// refused the start, the attempt ended without a result, or every worker was leased under a new view and
// none reported the attempt. Non-idempotent work never returns to the queue after a possible start.
#pragma once

#include "coordination/process/lease_holder.h"
#include "coordination/request/write_ahead_log.h"

namespace camphorwell {

answer refusedAnswer(const work_id&, reason, const std::string& detail);

class work_coordinator {
public:
    // Receives the answer to a ticket that was passed to `onRequest`.
    using answer_callback = std::function<void(uint64_t ticket, const answer&)>;

    work_coordinator(
        context&, membership&, lease_holder&, write_ahead_log&, const catalogue&, answer_callback);

    void onRequest(uint64_t ticket, const request&);
    // Drops a ticket whose caller no longer waits; the work itself continues.
    void removeWaiter(uint64_t ticket);
    void onTick();
    void onNewView();
    // Places the queued work that is due and for which a holder is found. Called after every event.
    void dispatch();
    void onWorkerTaken(const instance_id& from, const worker_taken&);
    void onUpdate(const instance_id& from, const task_update&);
    void onRefused(const member& from, const start_refused&);
    void onHeartbeat(const instance_id& from, const heartbeat&);
    void onLogSettled();
    // True when this instance leads the work and may start it now.
    bool active(const work_id& id) const;
    // True when this instance is the leader of the work in the acknowledged view, active or not.
    bool leads(const work_id& id) const;
    // Gives up continuous ownership after a gap in the worker leases. Called before every event, after the
    // leases were checked.
    void checkContinuousOwnership();

    size_t queuedCount() const { return m_queue.size(); }
    size_t placedCount() const { return m_placedCount; }
    size_t keptCount() const { return m_keptAnswers.size(); }
    bool idle() const;
    explanation explain(const work_id&) const;
    void checkInvariants() const;

private:
    struct recording {
        std::string recordId;
    };
    struct queued {
        instant notBefore { 0 };
        reason last = reason::no_room; // Why the work is queued.
    };
    struct placed {
        member holder;
        bool acknowledged = false; // The holder has reported the attempt as running.
        instant nextSend { 0 };
        worker_id worker;
        view_id view; // View under which the start was sent or the attempt was last reported.
        // The attempt has not been reported under the acknowledged view. If that is still so when the state
        // transfer is complete, no worker runs it.
        bool unconfirmed = false;
    };
    using phase_type = std::variant<recording, queued, placed>;

    struct item {
        camphorwell::work work;
        std::string bodyHash;
        phase_type phase;
        bool requestKnown = true; // False when the work is known only from a holder's report.
        bool logged = false;
        bool durable = false; // The opening record is in the log.
        bool mayHaveStarted = false; // Some attempt may have run.
        // Another leader may have finished the work; it is not placed before the log has been read.
        bool unverified = false;
        uint64_t highestAttempt = 0; // Highest attempt number used here, recorded in the log or reported.
        std::set<uint64_t> endedAttempts; // Attempts known to have ended; bounded.
        // A live attempt that another leader placed, held back while a start from here is undecided.
        std::optional<std::pair<instance_id, task_report>> otherAttempt;
        bool cancelling = false;
        bool expired = false; // The deadline has passed and the waiting callers were answered.
        uint32_t failures = 0;
        instant created { 0 };
        instant deadline { 0 };
        std::vector<std::pair<uint64_t, bool>> waiters; // Ticket, and whether `accepted` answers it.
        std::vector<std::string> history; // Shown by `explain`; bounded.
    };

    struct kept_answer {
        camphorwell::answer answer;
        std::string bodyHash;
        std::string recordId; // Id of the outcome record until it is durable, then empty.
        uint64_t attempt = 0;
        instant at { 0 };
        std::vector<std::pair<uint64_t, bool>> waiters; // Answered when the outcome is durable.
    };
    struct queue_key {
        int rank = 0; // 0 for urgent work, 1 for other work, 2 for batch work.
        instant deadline { 0 };
        work_id id;
        auto operator<=>(const queue_key&) const = default;
    };
    struct capacity_hint {
        resources freeCapacity;
        int64_t freeSlots = 0;
    };

    void sendStart(item&, const placed&);
    std::optional<refusal> admit(const request&, const entry&) const;
    void submit(uint64_t ticket, const request&);
    void poll(uint64_t ticket, const request&);
    void cancel(uint64_t ticket, const request&);
    bool answerKept(uint64_t ticket, const work_id&, const std::string& bodyHash, bool checkHash);
    void open(uint64_t ticket, const request&, const entry&);
    void join(uint64_t ticket, const request&, item&);
    void refuse(uint64_t ticket, const work_id&, reason, const std::string& detail);
    bool needsRecovery(const work_id&) const;
    void setPhase(item&, phase_type);
    // Changes the deadline and, since the queue is ordered by it, reinserts a queued item.
    void setDeadline(item&, instant);
    void enqueue(item&, instant notBefore, reason why);
    queue_key keyOf(const item&) const;
    void place(item&, const member& target);
    std::optional<member> chooseHolder(const item&);
    void finish(item&, const answer&, record_kind);
    void answerWaiters(item&, const answer&);
    void acceptWaiters(item&);
    void expire(item&);
    void resolveUnconfirmed();
    void resolveUnconfirmedItem(item&);
    void applyReport(const instance_id& from, const view_id& id, const task_report&);
    void onEnded(item&, const task_report&);
    answer cancelledAnswer(const item&) const;
    void retry(item&, reason why, instant pause);
    bool replacesAttempt(const instance_id& from, const view_id&, const task_report&, item&);
    void recordEnded(item&, uint64_t attempt);
    void adoptUnknownWork(const instance_id& from, const task_report&);
    void acknowledgeUpdate(const instance_id& to, const task_report&);
    void createFromReport(const task_report&, bool logged);
    item& createFromLog(const work_id&, const durable_state&);
    void restoreAnswer(const work_id&, const durable_state&);
    void finishFromLog(item&, const durable_state&);
    void completeFromLog(item&, const durable_state&);
    void recover(const work_id&);
    void recoverAll();
    void note(item&, const std::string& text);
    int64_t countEntry(const entry_name&) const;
    int64_t shareOf(int64_t limit) const;
    void rememberDropped(const work_id&, uint64_t attempt);
    void eraseItem(const work_id&);
    void trimKept();

    context& m_context;
    membership& m_members;
    lease_holder& m_holder;
    write_ahead_log& m_log;
    const catalogue& m_catalogue;
    answer_callback m_sendAnswer;
    std::map<work_id, item> m_items;
    std::map<work_id, kept_answer> m_keptAnswers;
    std::deque<std::pair<instant, work_id>> m_keptOrder;
    // Opening and outcome records that are not durable yet, by record id.
    std::map<std::string, work_id> m_pendingRecords;
    // Updates to acknowledge when the outcome record with this id is durable.
    std::map<std::string, std::pair<instance_id, task_report>> m_acknowledgeWhenDurable;
    std::set<queue_key> m_queue;
    std::map<entry_name, int64_t> m_entryCounts;
    std::map<uint64_t, work_id> m_ticketWork;
    std::map<instance_id, capacity_hint> m_capacityHints;
    // Highest ended attempt of dropped work. A late report of such an attempt does not create the work again
    // unless it carries a result.
    std::map<work_id, uint64_t> m_droppedAttempts;
    std::deque<work_id> m_droppedOrder;
    // Shards led since a completed state transfer without a gap in the worker leases.
    std::vector<bool> m_continuouslyOwned;
    std::vector<bool> m_logCompared; // Shards whose log records are all reflected here.
    instant m_nextScan { 0 };
    bool m_wasClosed = false;
    bool m_logScanned = false; // The whole log was compared with the items under this view.
    size_t m_placedCount = 0;
};

} // namespace camphorwell
