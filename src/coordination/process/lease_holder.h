// Worker leases of this instance, reservations on the leased workers, and the tasks that run there.
//
// At most one instance holds the lease of a worker. The fencing token of a lease is unique to one acquisition
// and the worker refuses calls with any other token. The task list that comes with a granted lease is
// therefore final: no start that an earlier lease holder sent can take effect afterwards.
//
// A start without an answer is resolved by a revoke call, by the task list of the next lease, or, when the
// platform no longer lists the worker, by the expiry of its task lease. Under a new view, a held worker is
// leased again with a higher token, after which no holder under a lower view can lease it. A worker that
// was not usable before is used only once every member has confirmed its lease under the view.
#pragma once

#include "coordination/version/membership.h"

namespace camphorwell {

class lease_holder {
public:
    lease_holder(context&, membership&);

    void onTick();
    void onNewView();
    void onStart(const instance_id& from, const start_work&);
    void onStop(const stop_work&);
    void onUpdateKept(const task_update_kept&);
    void onConfirmed(const instance_id& from, const worker_confirmed&);
    // Another member has taken the lease of `worker`.
    void onTakenByOther(const worker_id& worker);
    // Returns false when the reply belongs to no call of this object.
    bool onReply(const worker_reply&);
    // Drops the leases that have expired. Called before every event.
    void expire();
    // Releases the lease of every worker. Tasks continue under their task leases.
    void releaseAll();

    // True while at least one usable lease has been held at all times since `resetHeldContinuously`.
    bool heldContinuously() const { return m_heldContinuously; }
    void resetHeldContinuously();
    // True when every lease taken under the acknowledged view was lost. The state transfer of another view
    // may then have completed without this instance, so it requests no lease, confirms no lease of another
    // member and starts no task until it acknowledges a new view.
    bool allLeasesLost() const { return m_allLeasesLost; }
    size_t heldCount() const;
    size_t usableCount() const;
    resources largestFreeCapacity() const;
    int64_t freeSlots() const;
    // The dimension in which `need` exceeds the capacity of a worker, when no worker seen so far could hold
    // it even without other tasks; empty otherwise.
    std::optional<std::string> exceededDimension(const resources& need) const;
    bool idle() const;
    void checkInvariants() const;
    std::string describeWorkers() const;

private:
    enum class lease_state : uint8_t { none, requested, held };
    enum class task_phase : uint8_t { starting, resolving, running, completed };
    struct task {
        task_report report;
        work spec; // Cleared on completion.
        task_phase phase = task_phase::running;
        bool completionConfirmed = false; // The owner has confirmed the report of the completion.
        bool stopping = false;
        bool reserved = false;
        instant completedAt { 0 };
        instant nextSend { 0 };
    };
    struct worker_record {
        worker_id id;
        lease_state lease = lease_state::none;
        uint64_t token = 0;
        bool usable = false;
        bool assigned = false; // Assigned to this instance under the acknowledged view.
        bool leaving = false; // As reported by the worker.
        bool wasHeld = false; // Held before, and not taken by another member since.
        bool reacquire = false; // Held under an earlier view and to be leased again under this one.
        uint64_t requestedToken = 0; // Token of the latest lease call.
        instant nextAnnounce { 0 };
        instant leaseEnds { 0 };
        instant nextLeaseRequest { 0 };
        instant leaseRequestedAt { 0 };
        uint64_t leaseCall = 0;
        uint64_t seq = 0;
        uint64_t boot = 0;
        std::set<instance_id> confirmedBy;
        view_id leaseView;
        resources capacity;
        resources reserved;
        std::map<work_id, task> tasks;
        std::set<work_id> activeTasks; // Tasks whose completion is not confirmed; checked on every tick.
        std::deque<std::pair<instant, work_id>> completedOrder; // Completed tasks by time of completion.
        uint32_t failures = 0; // Failed tasks since the last successful one.
        instant quarantinedUntil { 0 };
    };
    enum class call_kind : uint8_t { lease, start, revoke, stop, release };
    struct pending_call {
        call_kind kind;
        worker_id worker;
        uint64_t token = 0;
        work_id id;
        uint64_t attempt = 0;
    };

    void requestLease(worker_record&);
    void onLeaseReply(worker_record&, const std::optional<worker_answer>&);
    void applyInventory(worker_record&, const worker_answer&, bool fresh);
    void onStartReply(const pending_call&, const std::optional<worker_answer>&);
    void applyReport(worker_record&, const task_report&);
    void completeTask(worker_record&, task&, task_state);
    void resolveStart(worker_record&, task&);
    void neverStarted(worker_record&, const work_id&);
    void loseTasksIfGone(worker_record&);
    void announce(worker_record&);
    void refreshUsable(worker_record&);
    void release(worker_record&);
    void sendTaken(worker_record&, const instance_id& to);
    bool confirmedByAll(const worker_record&) const;
    uint64_t nextToken();
    void loseLease(worker_record&);
    void refreshAssignment(worker_record&);
    bool heldUnderView(const worker_record&) const;
    void onRefused(worker_record&, const worker_answer&);
    void sendUpdate(task&);
    void reserve(worker_record&, task&);
    void unreserve(worker_record&, task&);
    void trackHealth(worker_record&, task_state);
    worker_record* chooseWorker(const work&);
    void evictFor(const work&);
    bool acceptsNewTasks(const worker_record&) const;
    void rememberStart(const work_id&, uint64_t attempt, bool refused);
    bool answerRepeated(const instance_id& from, const work&);
    task* findTask(worker_record&, const work_id&, uint64_t attempt);
    void checkTasks(worker_record&);
    void dropExpiredTasks(worker_record&);
    uint64_t sendCall(call_kind, worker_record&, const task_report&, worker_call);

    context& m_context;
    membership& m_members;
    std::map<worker_id, worker_record> m_workers;
    std::map<uint64_t, pending_call> m_calls;
    // Starts accepted or refused before, so that a repeated message does not start the attempt again.
    struct past_start {
        instant at { 0 };
        bool refused = false;
    };
    std::map<std::pair<work_id, uint64_t>, past_start> m_pastStarts;
    std::deque<std::pair<instant, std::pair<work_id, uint64_t>>> m_pastOrder;
    uint64_t m_tokenFloor = 0;
    instant m_nextExpiry { 0 }; // No lease expires before this time.
    bool m_heldContinuously = false;
    bool m_heldAny = false; // A worker was leased under the acknowledged view.
    bool m_allLeasesLost = false;
};

} // namespace camphorwell
