// Takes each request from its caller, or from another instance, to the owner of the work and brings the
// answer back.
//
// A pending request knows where it was sent. It is sent again when the owner changes, the link breaks, or
// no answer comes; the owner recognises the work by its id, so a repetition joins the first. A caller
// is told `ran: no` only when every owner that was given the request has definitely refused it.
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
// Where a request came from.
using origin_type = std::variant<local_origin, peer_origin>;

class router {
public:
    router(context&, membership&);
    // The ledger that requests of this instance go to; set once before the first event.
    void setCoordinator(work_coordinator* owner) { m_coordinator = owner; }

    void onSubmission(const submission&);
    void onForward(const instance_id& from, const forward&);
    void onAnswer(const member& from, const forwarded_answer&);
    // The ledger's answer to one of the router's tickets.
    void deliver(uint64_t ticket, const answer&);
    void onNewView();
    void onPeerDown(const instance_id&);
    void onRemoteHeard(const std::string& dataCentre, const member&, const heartbeat&);
    void onTick();

    bool idle() const { return m_pending.empty(); }
    // Data centres whose instances report a catalogue of at least `nextOffset`, and those that do not.
    void catalogueCoverage(
        int64_t nextOffset, std::vector<std::string>& inForce, std::vector<std::string>& notYet) const;

private:
    struct pending {
        origin_type origin;
        camphorwell::request request;
        instance_id target;
        // Times it was handed to an owner without a definite refusal since; the work may run for each.
        int unresolved = 0;
        uint64_t sendId = 0; // The ticket under which it was last sent to another instance.
        std::vector<uint64_t> sends; // All such tickets.
        instant deadline { 0 };
        instant nextTry { 0 };
        reason lastRefusal = reason::owner_unsettled;
    };
    struct send_record {
        uint64_t ticket = 0;
        uint64_t incarnation = 0; // Of the instance it went to.
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
    std::map<uint64_t, send_record> m_sends; // By send id, for each send without an answer.
    // Forwards that were answered. A repetition of a refused one gets the same refusal; one that was
    // answered otherwise may have run.
    std::map<peer_origin, std::optional<answer>> m_answered;
    std::deque<std::pair<instant, peer_origin>> m_answeredOrder;
    std::map<instance_id, remote_peer> m_remote;
    std::set<std::string> m_heardDataCentres; // Data centres of which some instance was ever heard.
    uint64_t m_nextSend;
    uint64_t m_nextTicket = 1;
    uint64_t m_nextUnkeyed = 1;
};

} // namespace camphorwell
