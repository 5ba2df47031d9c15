// Membership of a data centre: failure detection, the acknowledged membership view, and state transfer.
//
// Failure detection uses heartbeats and only decides when a view is proposed: a wrong suspicion delays work
// but does not affect safety. The live instance with the lowest id proposes. Every member named in a proposal
// acknowledges it to every other member if its number is higher than that of its current view. A view is
// complete when all members have acknowledged it. Its state transfer is complete when, in addition, a member
// has taken the lease of every known worker. An instance that sees a higher view without itself releases its
// workers unless it is included again within the peer timeout.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

class membership {
public:
    explicit membership(context&);

    // Returns the view that this instance should propose now, if any.
    std::optional<view> proposal();
    // Records the time and content of a heartbeat; ignores one of an earlier incarnation.
    void onHeartbeat(const member& from, const heartbeat&);
    void peerDown(const instance_id&);
    // Makes `candidate` the acknowledged view if its number is higher and it contains this instance. Returns
    // true when it does; the caller then sends the acknowledgement to every member.
    bool acknowledgeView(const view& candidate);
    // Discards the acknowledged view. The instance is inactive until a new view contains it.
    void abandon();

    void onAcknowledge(const instance_id& from, const view_id&);
    // Raises the highest view number seen, in a message or in a worker's fencing token. A proposal of this
    // instance has a higher number.
    void raiseHighestNumber(uint64_t number) { m_highestNumber = std::max(m_highestNumber, number); }
    uint64_t highestNumber() const { return m_highestNumber; }
    // The member that took the lease of `worker` under the acknowledged view; empty when none has.
    instance_id currentHolder(const worker_id& worker) const;
    // True when the platform has not listed `worker` for longer than the list delay and the task lease, so
    // that its tasks have stopped.
    bool isGone(const worker_id& worker) const;
    // Records that `holder` took the lease of `worker` under the acknowledged view.
    void setHolder(const worker_id& worker, const instance_id& holder);
    void updateList(const platform_list&);

    const view& acknowledgedView() const { return m_view; }
    bool inView() const
    {
        return m_view.contains(m_context.options.self.id, m_context.options.self.incarnation);
    }
    bool hasAcknowledged(const instance_id& id) const { return m_acknowledged.count(id) != 0; }
    // True when every member has acknowledged the view.
    bool allAcknowledged() const;
    // True when every member has acknowledged the view and every known worker was taken under it.
    bool transferComplete() const;
    // Known workers that no member has taken under the acknowledged view.
    std::vector<worker_id> unaccounted() const;
    // Members that have not acknowledged the view.
    std::vector<instance_id> missingAcknowledgements() const;
    // This instance and the peers heard from within the peer timeout, sorted by id.
    std::vector<member> aliveMembers() const;
    bool isAlive(const instance_id&) const;
    // True when views without this instance have superseded its own for longer than the peer timeout.
    bool excluded() const;
    bool hasList() const { return m_hasList; }
    bool isListed(const worker_id&) const;
    bool workerLeaving(const worker_id&) const;
    std::vector<worker_id> listedWorkers() const;
    const heartbeat* lastHeartbeat(const instance_id&) const;
    void setLeaving() { m_leaving = true; }
    bool leaving() const { return m_leaving; }

private:
    struct peer {
        member identity;
        instant lastHeard { 0 };
        heartbeat last;
    };
    struct known_worker {
        instant lastListed { 0 };
        bool listed = false;
        bool leaving = false;
    };
    // The live members without those that are excluded for missing acknowledgements.
    std::vector<member> desiredMembers() const;
    uint64_t nextViewNumber() const;
    bool isGone(const known_worker&) const;

    context& m_context;
    view m_view;
    uint64_t m_highestNumber = 0;
    std::optional<instant> m_excludedSince;
    std::set<instance_id> m_acknowledged;
    std::map<worker_id, instance_id> m_currentHolders;
    std::map<worker_id, known_worker> m_workers;
    std::map<instance_id, peer> m_peers;
    // A new list of members to propose, and the time at which it was first desired.
    std::optional<std::pair<std::vector<member>, instant>> m_pending;
    // Members excluded from new views for missing acknowledgements.
    std::map<instance_id, instant> m_excludedUntil;
    instant m_acknowledgedAt { 0 };
    bool m_hasList = false;
    bool m_leaving = false;
};

} // namespace camphorwell
