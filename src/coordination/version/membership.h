// Membership of a data centre: who is believed alive, the promised view, and the closure of its workers.
//
// Belief comes from heartbeats and only decides when a view is proposed; a wrong belief costs time, never
// safety. The lowest live id proposes. A proposal with a higher number than the promised one is promised by
// every member it names, and each member acknowledges to each other one. The view is complete when all have
// acknowledged, and closed when every known worker is accounted for by a member. An instance that sees a
// higher view without itself gives up its workers unless it is taken back within the peer timeout.
#pragma once

#include "coordination/process/context.h"

namespace camphorwell {

class membership {
public:
    explicit membership(context&);

    // Returns a view to propose when this instance should propose one now.
    std::optional<view> proposal();
    // Records a heartbeat.
    void onHeartbeat(const member& from, const heartbeat&);
    void peerDown(const instance_id&);
    // True when `candidate` becomes the promised view; the caller then acknowledges to its members.
    bool acknowledgeView(const view& candidate);
    // Forgets the promised view. The instance is inactive until it is in a new one.
    void abandon();

    void onAcknowledge(const instance_id& from, const view_id&);
    // A worker has granted a token of view `number`, so a proposal must be higher.
    void raiseHighestNumber(uint64_t number) { m_highestNumber = std::max(m_highestNumber, number); }
    uint64_t highestNumber() const { return m_highestNumber; }
    // The member that took `worker` under the promised view; empty when none has.
    instance_id currentHolder(const worker_id& worker) const;
    // True when the platform has not listed `worker` for so long that its tasks have stopped.
    bool isGone(const worker_id& worker) const;
    void setHolder(const worker_id& worker, const instance_id& holder);
    void updateList(const platform_list&);

    const view& acknowledgedView() const { return m_view; }
    bool inView() const
    {
        return m_view.contains(m_context.options.self.id, m_context.options.self.incarnation);
    }
    bool hasAcknowledged(const instance_id& id) const { return m_acknowledged.count(id) != 0; }
    bool allAcknowledged() const;
    bool transferComplete() const;
    std::vector<worker_id> unaccounted() const;
    std::vector<instance_id> missingAcknowledgements() const;
    std::vector<member> aliveMembers() const;
    bool isAlive(const instance_id&) const;
    // True when this instance was left out of the highest view seen for longer than the peer timeout.
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
    std::optional<std::pair<std::vector<member>, instant>> m_pending; // Desired members, and since when.
    std::map<instance_id, instant> m_excludedUntil; // Members left out because acknowledgements never came.
    instant m_acknowledgedAt { 0 };
    bool m_hasList = false;
    bool m_leaving = false;
};

} // namespace camphorwell
