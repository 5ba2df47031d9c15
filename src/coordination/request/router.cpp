// See router.h for the algorithm.
#include "coordination/request/router.h"

namespace camphorwell {

namespace {

    constexpr int64_t resendForwardMs = 1000;
    constexpr int64_t unsettledRetryMs = 40; // Pause before a retry at a leader that is not active.
    // The leader answers at the deadline; the grace covers the latency of the reply.
    constexpr int64_t deadlineGraceMs = 150;
    constexpr int64_t answeredKeepMs = 120'000; // Retention of answered forwards.
    constexpr unsigned incarnationShift = 20; // Keeps the send ids of successive incarnations distinct.
    constexpr uint8_t maxHops = 4;
    constexpr size_t maxPending = 20'000;

} // namespace

router::router(context& shared, membership& members)
    : m_context(shared)
    , m_members(members)
    , m_nextSend(shared.options.self.incarnation << incarnationShift)
{
}

void router::onSubmission(const submission& given)
{
    if (m_pending.size() >= maxPending) {
        m_context.out.push_back(answer_action { given.ticket,
            refusedAnswer(
                given.request.id, reason::queue_full, std::to_string(maxPending) + " requests wait") });
        return;
    }
    request incoming = given.request;
    if (incoming.id.empty())
        incoming.id = unkeyedWorkId(m_context.options.dataCentre, m_context.options.self, m_nextUnkeyed++);
    add(local_origin { given.ticket }, std::move(incoming), 0);
}

void router::onForward(const instance_id& from, const forward& sent)
{
    peer_origin source { from, sent.ticket };
    if (m_byPeer.count(source))
        return; // A repetition; the first forward is still pending.
    auto answered = m_answered.find(source);
    if (answered != m_answered.end() && answered->second) {
        m_context.send(from, forwarded_answer { sent.ticket, *answered->second });
        return;
    }
    if (sent.request.hops >= maxHops || m_pending.size() >= maxPending) {
        reason code = sent.request.hops >= maxHops ? reason::owner_unsettled : reason::queue_full;
        reply(source, refusedAnswer(sent.request.id, code, "at instance " + m_context.options.self.id));
        return;
    }
    add(source, sent.request, answered != m_answered.end() ? 1 : 0);
}

void router::add(origin_type source, request incoming, int unresolved)
{
    uint64_t ticket = m_nextTicket++;
    pending& entry = m_pending[ticket];
    entry.origin = source;
    entry.unresolved = unresolved;
    entry.request = std::move(incoming);
    entry.deadline = m_context.now + milliseconds(entry.request.deadlineMs);
    if (const auto* peer = std::get_if<peer_origin>(&source))
        m_byPeer[*peer] = ticket;
    route(ticket);
}

instance_id router::remoteTarget(const std::string& dataCentre, const work_id& id) const
{
    // Picks the same instance for the same work while the set of live instances is unchanged, so that a
    // repetition reaches the instance that has the first request.
    std::vector<instance_id> live;
    for (const auto& [peer, seen] : m_remote) {
        bool recent = m_context.now - seen.lastHeard < milliseconds(m_context.options.peerTimeoutMs * 2);
        if (seen.dataCentre == dataCentre && recent)
            live.push_back(peer);
    }
    if (live.empty())
        return {};
    return live[stableHash(id) % live.size()];
}

instance_id router::targetOf(const pending& entry) const
{
    std::string home = homeOfWork(entry.request.id);
    if (home != m_context.options.dataCentre)
        return remoteTarget(home, entry.request.id);
    if (!m_members.inView())
        return {};
    return m_members.acknowledgedView().leaderOfWork(entry.request.id);
}

void router::route(uint64_t ticket)
{
    pending& entry = m_pending.at(ticket);
    if (m_context.now >= entry.deadline) {
        // After a pause of the process, requests may be pending whose deadline has passed.
        entry.nextTry = entry.deadline + milliseconds(deadlineGraceMs);
        return;
    }
    instance_id target = targetOf(entry);
    bool remote = homeOfWork(entry.request.id) != m_context.options.dataCentre;
    entry.nextTry = m_context.now + milliseconds(resendForwardMs);
    if (target.empty()) {
        entry.lastRefusal = remote ? reason::home_unreachable
            : m_members.inView()   ? reason::unknown_work
                                   : reason::not_ready;
        entry.nextTry = m_context.now + milliseconds(unsettledRetryMs);
        // Refuses at once when a data centre that was heard before is unreachable, or when the receiving
        // instance of unkeyed work is gone. Before the first heartbeat of a data centre the request waits.
        bool heardBefore = m_heardDataCentres.count(homeOfWork(entry.request.id)) != 0;
        if ((remote && heardBefore) || entry.lastRefusal == reason::unknown_work) {
            bool possible = entry.unresolved > 0 && entry.request.verb == verb::submit;
            reason code = possible ? reason::outcome_unknown : entry.lastRefusal;
            deliver(ticket, refusedAnswer(entry.request.id, code, "home of work " + entry.request.id));
        }
        return;
    }
    auto last = m_sends.find(entry.sendId);
    bool repetition = last != m_sends.end() && entry.target == target
        && last->second.incarnation == incarnationOf(target);
    entry.target = target;
    request onward = entry.request;
    onward.deadlineMs = std::max<int64_t>((entry.deadline - m_context.now).count() / 1000, 1);
    if (!repetition) {
        entry.unresolved++;
        entry.sendId = 0;
    }
    if (target == m_context.options.self.id) {
        m_coordinator->onRequest(ticket, onward);
        return;
    }
    if (!repetition) {
        entry.sendId = m_nextSend++;
        m_sends[entry.sendId] = { ticket, incarnationOf(target) };
        entry.sends.push_back(entry.sendId);
    }
    onward.hops++;
    m_context.send(target, forward { entry.sendId, std::move(onward) });
}

void router::onAnswer(const member& from, const forwarded_answer& sent)
{
    auto send = m_sends.find(sent.ticket);
    if (send == m_sends.end())
        return;
    send_record sentAs = send->second;
    auto found = m_pending.find(sentAs.ticket);
    if (found == m_pending.end())
        return;
    pending& entry = found->second;
    bool notRun = sent.answer.state == answer_state::refused
        && reasonInfo(sent.answer.why.code).ran == was_executed::no;
    bool current = entry.sendId == sent.ticket;
    if (current)
        entry.sendId = 0;
    if (notRun && from.incarnation != sentAs.incarnation) {
        // A restarted instance does not know the starts of its predecessor.
        entry.target.clear();
        entry.nextTry = m_context.now + milliseconds(unsettledRetryMs);
        return;
    }
    m_sends.erase(send);
    if (!current && notRun) {
        // The refusal of an earlier leader; the answer of the current one is still pending.
        entry.unresolved--;
        return;
    }
    deliver(sentAs.ticket, sent.answer);
}

void router::deliver(uint64_t ticket, const answer& given)
{
    auto found = m_pending.find(ticket);
    if (found == m_pending.end())
        return;
    pending& entry = found->second;
    bool refused = given.state == answer_state::refused;
    bool notRun = refused && reasonInfo(given.why.code).ran == was_executed::no;
    if (notRun && entry.unresolved > 0)
        entry.unresolved--;
    bool unsettled = refused && given.why.code == reason::owner_unsettled;
    bool mayWait = std::holds_alternative<local_origin>(entry.origin) || entry.unresolved > 0;
    if (unsettled && mayWait && m_context.now < entry.deadline) {
        m_context.count(reason::retry_forward);
        entry.lastRefusal = given.why.code;
        entry.nextTry = m_context.now + m_context.jitter(unsettledRetryMs);
        entry.target.clear();
        return;
    }
    if (notRun && entry.unresolved > 0 && entry.request.verb == verb::submit) {
        // This leader refused, but an earlier one may have run the work.
        answer unknown = refusedAnswer(given.id, reason::outcome_unknown, given.why.detail);
        entry.unresolved = 0;
        deliver(ticket, unknown);
        return;
    }
    origin_type source = entry.origin;
    erase(ticket);
    reply(source, given);
}

void router::reply(const origin_type& source, const answer& given)
{
    if (const auto* local = std::get_if<local_origin>(&source)) {
        if (given.state == answer_state::refused)
            m_context.count(given.why.code);
        m_context.out.push_back(answer_action { local->ticket, given });
        return;
    }
    const auto& peer = std::get<peer_origin>(source);
    rememberAnswered(peer, given);
    m_context.send(peer.from, forwarded_answer { peer.ticket, given });
}

void router::erase(uint64_t ticket)
{
    pending& entry = m_pending.at(ticket);
    if (const auto* peer = std::get_if<peer_origin>(&entry.origin))
        m_byPeer.erase(*peer);
    for (uint64_t send : entry.sends)
        m_sends.erase(send);
    m_pending.erase(ticket);
}

uint64_t router::incarnationOf(const instance_id& id) const
{
    auto remote = m_remote.find(id);
    if (remote != m_remote.end())
        return remote->second.incarnation;
    const member* local = m_members.acknowledgedView().find(id);
    return local ? local->incarnation : 0;
}

void router::rememberAnswered(const peer_origin& source, const answer& given)
{
    bool refused = given.state == answer_state::refused && reasonInfo(given.why.code).ran == was_executed::no;
    m_answered[source] = refused ? std::optional<answer>(given) : std::nullopt;
    m_answeredOrder.emplace_back(m_context.now, source);
    while (!m_answeredOrder.empty()
        && (m_context.now - m_answeredOrder.front().first > milliseconds(answeredKeepMs)
            || m_answeredOrder.size() > maxPending)) {
        m_answered.erase(m_answeredOrder.front().second);
        m_answeredOrder.pop_front();
    }
}

void router::onNewView()
{
    std::vector<uint64_t> moved;
    for (const auto& [ticket, entry] : m_pending) {
        if (targetOf(entry) != entry.target)
            moved.push_back(ticket);
    }
    for (uint64_t ticket : moved) {
        if (!m_pending.count(ticket))
            continue;
        m_context.count(reason::retry_forward);
        route(ticket);
    }
}

void router::onPeerDown(const instance_id& peer)
{
    for (auto& [ticket, entry] : m_pending) {
        if (entry.target == peer)
            entry.nextTry = m_context.now;
    }
    m_remote.erase(peer);
}

void router::onRemoteHeard(const std::string& dataCentre, const member& from, const heartbeat& beat)
{
    m_heardDataCentres.insert(dataCentre);
    m_remote[from.id] = { from.incarnation, dataCentre, m_context.now, beat.catalogueNext };
}

void router::expire(uint64_t ticket)
{
    const pending& entry = m_pending.at(ticket);
    bool atOwner = entry.target == m_context.options.self.id;
    bool mayRun = entry.request.verb == verb::submit && entry.unresolved > 0;
    reason code = mayRun ? reason::outcome_unknown : entry.lastRefusal;
    if (atOwner)
        m_coordinator->removeWaiter(ticket);
    std::string detail = "no answer for work " + entry.request.id + " before the deadline";
    answer out = refusedAnswer(entry.request.id, code, detail);
    origin_type source = entry.origin;
    erase(ticket);
    reply(source, out);
}

void router::onTick()
{
    std::vector<uint64_t> overdue;
    std::vector<uint64_t> again;
    for (const auto& [ticket, entry] : m_pending) {
        if (m_context.now >= entry.deadline + milliseconds(deadlineGraceMs))
            overdue.push_back(ticket);
        else if (m_context.now >= entry.nextTry && entry.target != m_context.options.self.id)
            again.push_back(ticket);
    }
    for (uint64_t ticket : overdue) {
        if (m_pending.count(ticket))
            expire(ticket);
    }
    for (uint64_t ticket : again) {
        if (m_pending.count(ticket))
            route(ticket);
    }
}

void router::catalogueCoverage(
    int64_t nextOffset, std::vector<std::string>& inForce, std::vector<std::string>& notYet) const
{
    std::map<std::string, bool> reached;
    for (const auto& dataCentre : m_context.options.dataCentres())
        reached[dataCentre] = false;
    reached[m_context.options.dataCentre] = true;
    std::map<std::string, bool> behind;
    for (const auto& [peer, seen] : m_remote) {
        if (seen.catalogueNext >= nextOffset)
            reached[seen.dataCentre] = true;
        else
            behind[seen.dataCentre] = true;
    }
    for (const auto& [dataCentre, yes] : reached) {
        if (yes && !behind[dataCentre])
            inForce.push_back(dataCentre);
        else
            notYet.push_back(dataCentre);
    }
}

} // namespace camphorwell
