// Routes requests of callers and of other instances to the leader of the work and returns the answers.
//
// A pending request records the instance it was sent to. It is sent again when the leader changes, the
// connection breaks or no answer arrives; the leader recognises the work by its id, so a repetition joins the
// first request. A caller receives `ran: no` only when every leader that received the request has refused it
// without a start.
#pragma once

#include "coordination/request/work_coordinator.h"

namespace camphorwell {

struct local_origin {
    uint64_t ticket = 0;
};
struct peer_origin {
    instance_id from;
    uint64_t ticket = 0;
    auto operator<=>(const peer_origin&) const = default;
};
// The source of a request: a caller of this instance, or another instance.
using origin_type = std::variant<local_origin, peer_origin>;

class router {
public:
    router(context&, membership&);
    // Sets the coordinator of the work that this instance leads. Called once, before the first event.
    void setCoordinator(work_coordinator* owner) { m_coordinator = owner; }

    void onSubmission(const submission&);
    void onForward(const instance_id& from, const forward&);
    void onAnswer(const member& from, const forwarded_answer&);
    // Takes an answer to one of the router's tickets.
    void deliver(uint64_t ticket, const answer&);
    void onNewView();
    void onPeerDown(const instance_id&);
    void onRemoteHeard(const std::string& dataCentre, const member&, const heartbeat&);
    void onTick();

    bool idle() const { return m_pending.empty(); }
    // Appends to `inForce` the data centres whose known instances all report a next catalogue offset of at
    // least `nextOffset`, and to `notYet` all others.
    void catalogueCoverage(
        int64_t nextOffset, std::vector<std::string>& inForce, std::vector<std::string>& notYet) const;

private:
    struct pending {
        origin_type origin;
        camphorwell::request request;
        instance_id target;
        // Number of hand-overs to a leader that have not been refused; each of them may run the work.
        int unresolved = 0;
        uint64_t sendId = 0; // Ticket of the last forward to another instance; 0 without one.
        std::vector<uint64_t> sends; // Tickets of all forwards.
        instant deadline { 0 };
        instant nextTry { 0 };
        reason lastRefusal = reason::owner_unsettled;
    };
    struct send_record {
        uint64_t ticket = 0;
        uint64_t incarnation = 0; // Incarnation of the instance that received the forward.
    };
    struct remote_peer {
        uint64_t incarnation = 0;
        std::string dataCentre;
        instant lastHeard { 0 };
        int64_t catalogueNext = 0;
    };

    void add(origin_type, request, int unresolved);
    void route(uint64_t ticket);
    instance_id targetOf(const pending&) const;
    instance_id remoteTarget(const std::string& dataCentre, const work_id&) const;
    uint64_t incarnationOf(const instance_id&) const;
    void rememberAnswered(const peer_origin&, const answer&);
    void erase(uint64_t ticket);
    void reply(const origin_type&, const answer&);
    void expire(uint64_t ticket);

    context& m_context;
    membership& m_members;
    work_coordinator* m_coordinator = nullptr;
    std::map<uint64_t, pending> m_pending;
    std::map<peer_origin, uint64_t> m_byPeer;
    std::map<uint64_t, send_record> m_sends; // Unanswered forwards by send id.
    // Answered forwards from other instances. Holds the answer only for a refusal without a start, which is
    // repeated to a repeated forward; after any other answer the work may have run.
    std::map<peer_origin, std::optional<answer>> m_answered;
    std::deque<std::pair<instant, peer_origin>> m_answeredOrder;
    std::map<instance_id, remote_peer> m_remote;
    std::set<std::string> m_heardDataCentres; // Data centres with at least one heartbeat since the start.
    uint64_t m_nextSend;
    uint64_t m_nextTicket = 1;
    uint64_t m_nextUnkeyed = 1;
};

} // namespace camphorwell
