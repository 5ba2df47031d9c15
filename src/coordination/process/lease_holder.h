// The holder's side: leases on workers, bookings, and the tasks that run there.
//
// One instance holds a worker at a time. The lease's token is unique to one acquisition, and the worker
// refuses calls that carry any other, so the task list that comes with a granted lease is final: nothing
// that an earlier holder sent can start afterwards. A start whose answer is lost is settled by a revoke,
// or by the task list of the next lease, or, when the platform has dropped the worker, by the lapse of its
// task lease. Under a new view a held worker is taken again with a higher token: from then on no holder of
// a lower view can get it. A worker not held before is used once every member has confirmed it.
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
    // Another member has taken `worker`.
    void onTakenByOther(const worker_id& worker);
    // Returns false when the call is not one of the holder's.
    bool onReply(const worker_reply&);
    // Ends the leases whose time has passed. Called before every event.
    void expire();
    // Gives every worker back. Tasks go on under their own leases.
    void releaseAll();

    // True while at least one usable lease has been held without a gap since `resetHeldContinuously`.
    bool heldContinuously() const { return m_heldContinuously; }
    void resetHeldContinuously();
    // True when every lease taken under the promised view was lost. Another view may then have been closed
    // without this instance, so it takes, confirms and starts nothing until it promises a new one.
    bool allLeasesLost() const { return m_allLeasesLost; }
    size_t heldCount() const;
    size_t usableCount() const;
    resources largestFreeCapacity() const;
    int64_t freeSlots() const;
    // The largest capacity seen, per dimension of one worker; empty while none is held.
    std::optional<std::string> exceededDimension(const resources& need) const;
    bool idle() const;
    void checkInvariants() const;
    std::string describeWorkers() const;

private:
    enum class lease_state : uint8_t { none, requested, held };
    enum class task_phase : uint8_t { starting, resolving, running, completed };
    struct task {
        task_report report;
        work spec; // Kept while the start may still be refused.
        task_phase phase = task_phase::running;
        bool kept = false; // The owner has confirmed the end.
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
        bool assigned = false; // Assigned to this instance under the promised view.
        bool leaving = false; // By the worker's own word.
        bool wasHeld = false; // Held at least once and not taken by another since.
        bool reacquire = false; // Held under an earlier view; to be taken again.
        uint64_t requestedToken = 0; // Token of the lease call under way.
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
        std::set<work_id> activeTasks; // Tasks that a tick may have to do something for.
        std::deque<std::pair<instant, work_id>> completedOrder; // For dropping ended tasks in time.
        uint32_t failures = 0; // Consecutive failed tasks of different work.
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
    void end(worker_record&, task&, task_state);
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
    // Starts that were answered, so that a repeated message does not start the attempt again.
    struct past_start {
        instant at { 0 };
        bool refused = false;
    };
    std::map<std::pair<work_id, uint64_t>, past_start> m_pastStarts;
    std::deque<std::pair<instant, std::pair<work_id, uint64_t>>> m_pastOrder;
    uint64_t m_tokenFloor = 0;
    instant m_nextExpiry { 0 }; // No lease ends before this.
    bool m_heldContinuously = false;
    bool m_heldAny = false; // Some worker was taken under the promised view.
    bool m_allLeasesLost = false;
};

} // namespace camphorwell
