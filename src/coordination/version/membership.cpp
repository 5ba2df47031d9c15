// See membership.h for the algorithm.
#include "coordination/version/membership.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr int64_t penaltyTimeouts = 8; // Peer timeouts for which an unreachable member is left out.
    constexpr int64_t incompleteTimeouts = 2; // Peer timeouts after which an incomplete view is replaced.
    constexpr uint64_t numberStride = 16; // Instances of a data centre that can have numbers of their own.
    constexpr int64_t startTimeouts = 1; // Peer timeouts an instance listens before it proposes alone.

} // namespace

membership::membership(context& shared)
    : m_context(shared)
{
}

std::vector<member> membership::alive() const
{
    member self = m_context.options.self;
    self.leaving = m_leaving;
    std::vector<member> out { self };
    for (const auto& [id, other] : m_peers) {
        if (isAlive(id))
            out.push_back(other.who);
    }
    std::sort(out.begin(), out.end());
    return out;
}

bool membership::isAlive(const instance_id& id) const
{
    if (id == m_context.options.self.id)
        return true;
    auto found = m_peers.find(id);
    if (found == m_peers.end())
        return false;
    return m_context.now - found->second.lastHeard < milliseconds(m_context.options.peerTimeoutMs);
}

std::vector<member> membership::desired() const
{
    auto out = alive();
    out.erase(std::remove_if(out.begin(), out.end(),
                  [&](const member& m) {
                      auto found = m_penalty.find(m.id);
                      return found != m_penalty.end() && found->second > m_context.now;
                  }),
        out.end());
    return out;
}

// The lowest number above every one seen that is this instance's to use: no two instances propose the same.
uint64_t membership::nextNumber() const
{
    std::vector<instance_id> everyone = m_context.options.peers;
    everyone.push_back(m_context.options.self.id);
    std::sort(everyone.begin(), everyone.end());
    auto place = std::find(everyone.begin(), everyone.end(), m_context.options.self.id);
    uint64_t rank = static_cast<uint64_t>(place - everyone.begin()) % numberStride;
    uint64_t round = m_highestNumber / numberStride;
    uint64_t candidate = round * numberStride + rank;
    return candidate > m_highestNumber ? candidate : candidate + numberStride;
}

std::optional<view> membership::proposal()
{
    // A new instance first listens, so that it does not propose a view of itself alone.
    instant started = milliseconds(m_context.options.peerTimeoutMs * startTimeouts);
    if (!m_hasList
        || (m_highestNumber == 0 && m_peers.empty() && m_context.now < started
            && !m_context.options.peers.empty()))
        return std::nullopt;
    const auto everyone = alive();
    if (everyone.front().id != m_context.options.self.id)
        return std::nullopt;

    instant incomplete = milliseconds(m_context.options.peerTimeoutMs * incompleteTimeouts);
    if (inView() && !complete() && m_context.now - m_promisedAt > incomplete) {
        // Members that cannot reach each other keep a view from completing; the one that is missed by
        // most is left out for a while.
        std::map<instance_id, int> missed;
        for (const auto& id : missingAcknowledgements())
            missed[id]++;
        for (const auto& [id, other] : m_peers) {
            if (!isAlive(id) || other.last.promised != m_view.id)
                continue;
            for (const auto& missing : other.last.acksMissing)
                missed[missing]++;
        }
        missed.erase(m_context.options.self.id);
        auto worst = std::max_element(
            missed.begin(), missed.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (worst != missed.end()) {
            m_penalty[worst->first]
                = m_context.now + milliseconds(m_context.options.peerTimeoutMs * penaltyTimeouts);
            m_promisedAt = m_context.now;
        }
    }

    auto wanted = desired();
    bool current = wanted == m_view.members && m_highestNumber == m_view.id.number;
    if (current) {
        m_pending.reset();
        return std::nullopt;
    }
    if (!m_pending || m_pending->first != wanted) {
        m_pending.emplace(wanted, m_context.now);
        return std::nullopt;
    }
    if (m_context.now - m_pending->second < milliseconds(m_context.options.settleMs))
        return std::nullopt;
    m_pending.reset();
    view next;
    next.id = { nextNumber(), m_context.options.self.id };
    next.members = wanted;
    return next;
}

void membership::heard(const member& from, const heartbeat& beat)
{
    auto& known = m_peers[from.id];
    if (known.who.incarnation > from.incarnation)
        return; // A late message of an earlier incarnation.
    known.who = from;
    known.who.leaving = beat.leaving;
    known.lastHeard = m_context.now;
    known.last = beat;
    sawNumber(std::max(beat.promised.number, beat.highestNumber));
}

void membership::peerDown(const instance_id& id)
{
    // A closed connection is stronger evidence than silence; the peer is heard again if it lives.
    auto found = m_peers.find(id);
    if (found == m_peers.end())
        return;
    instant almostOver = m_context.now - milliseconds(m_context.options.peerTimeoutMs)
        + milliseconds(m_context.options.heartbeatMs * 2);
    found->second.lastHeard = std::min(found->second.lastHeard, almostOver);
}

bool membership::promise(const view& candidate)
{
    m_highestNumber = std::max(m_highestNumber, candidate.id.number);
    if (candidate.id <= m_view.id)
        return false;
    if (!candidate.contains(m_context.options.self.id, m_context.options.self.incarnation)) {
        if (!m_excludedSince)
            m_excludedSince = m_context.now;
        return false;
    }
    m_excludedSince.reset();
    m_view = candidate;
    m_promisedAt = m_context.now;
    m_acknowledged.clear();
    m_accounted.clear();
    return true;
}

void membership::abandon()
{
    m_view.members.clear();
    m_acknowledged.clear();
    m_accounted.clear();
    m_excludedSince.reset();
}

bool membership::excluded() const
{
    return m_excludedSince
        && m_context.now - *m_excludedSince > milliseconds(m_context.options.peerTimeoutMs);
}

void membership::acknowledged(const instance_id& from, const view_id& id)
{
    if (id == m_view.id)
        m_acknowledged.insert(from);
}

instance_id membership::takenBy(const worker_id& worker) const
{
    auto found = m_accounted.find(worker);
    return found == m_accounted.end() ? instance_id() : found->second;
}

bool membership::gone(const worker_id& worker) const
{
    auto found = m_workers.find(worker);
    return found == m_workers.end() || gone(found->second);
}

void membership::account(const worker_id& worker, const instance_id& holder)
{
    m_accounted[worker] = holder;
    // A member has just reached it, so it lives until a later list says otherwise.
    known_worker& known = m_workers[worker];
    known.listed = true;
    known.lastListed = m_context.now;
}

void membership::updateList(const platform_list& list)
{
    m_hasList = true;
    for (auto& [id, known] : m_workers)
        known.listed = false;
    for (const auto& worker : list.workers) {
        auto& known = m_workers[worker.id];
        known.listed = true;
        known.leaving = worker.leaving;
        known.lastListed = m_context.now;
    }
}

bool membership::gone(const known_worker& known) const
{
    if (known.listed)
        return false;
    instant needed = m_context.longest(m_context.options.listDropMs + m_context.options.taskLeaseMs);
    return m_context.now - known.lastListed > needed;
}

bool membership::complete() const { return inView() && m_acknowledged.size() >= m_view.members.size(); }

bool membership::closed() const
{
    return m_hasList && complete() && !m_accounted.empty() && unaccounted().empty();
}

std::vector<worker_id> membership::unaccounted() const
{
    std::vector<worker_id> out;
    for (const auto& [id, known] : m_workers) {
        if (!m_accounted.count(id) && !gone(known))
            out.push_back(id);
    }
    return out;
}

std::vector<instance_id> membership::missingAcknowledgements() const
{
    std::vector<instance_id> out;
    for (const auto& m : m_view.members) {
        if (!m_acknowledged.count(m.id))
            out.push_back(m.id);
    }
    return out;
}

bool membership::isListed(const worker_id& id) const
{
    auto found = m_workers.find(id);
    return found != m_workers.end() && found->second.listed;
}

bool membership::workerLeaving(const worker_id& id) const
{
    auto found = m_workers.find(id);
    return found != m_workers.end() && found->second.leaving;
}

std::vector<worker_id> membership::listedWorkers() const
{
    std::vector<worker_id> out;
    for (const auto& [id, known] : m_workers) {
        if (known.listed)
            out.push_back(id);
    }
    return out;
}

const heartbeat* membership::lastHeartbeat(const instance_id& id) const
{
    auto found = m_peers.find(id);
    return found == m_peers.end() ? nullptr : &found->second.last;
}

} // namespace camphorwell
