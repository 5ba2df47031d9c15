// See membership.h for the algorithm.
#include "coordination/version/membership.h"

#include <algorithm>

namespace camphorwell {

namespace {

    // In peer timeouts: how long a member whose acknowledgements are missing is excluded from new views.
    constexpr int64_t exclusionTimeouts = 8;
    // In peer timeouts: the age at which a view without all acknowledgements is replaced.
    constexpr int64_t incompleteViewTimeouts = 2;
    // Maximum number of instances of a data centre whose view numbers are distinct.
    constexpr uint64_t viewNumberStride = 16;
    // In peer timeouts: how long a new instance that has heard of no peer waits before it proposes a view.
    constexpr int64_t startupTimeouts = 1;

} // namespace

membership::membership(context& shared)
    : m_context(shared)
{
}

std::vector<member> membership::aliveMembers() const
{
    member self = m_context.options.self;
    self.leaving = m_leaving;
    std::vector<member> out { self };
    for (const auto& [id, other] : m_peers) {
        if (isAlive(id))
            out.push_back(other.identity);
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

std::vector<member> membership::desiredMembers() const
{
    auto out = aliveMembers();
    out.erase(std::remove_if(out.begin(), out.end(),
                  [&](const member& m) {
                      auto found = m_excludedUntil.find(m.id);
                      return found != m_excludedUntil.end() && found->second > m_context.now;
                  }),
        out.end());
    return out;
}

// Returns the lowest number above every number seen that equals this instance's rank modulo
// `viewNumberStride`, so that no two instances propose the same number.
uint64_t membership::nextViewNumber() const
{
    std::vector<instance_id> everyone = m_context.options.peers;
    everyone.push_back(m_context.options.self.id);
    std::sort(everyone.begin(), everyone.end());
    auto place = std::find(everyone.begin(), everyone.end(), m_context.options.self.id);
    uint64_t rank = static_cast<uint64_t>(place - everyone.begin()) % viewNumberStride;
    uint64_t round = m_highestNumber / viewNumberStride;
    uint64_t candidate = round * viewNumberStride + rank;
    return candidate > m_highestNumber ? candidate : candidate + viewNumberStride;
}

std::optional<view> membership::proposal()
{
    // A new instance waits for heartbeats first, so that it does not propose a view with itself as the only
    // member.
    instant started = milliseconds(m_context.options.peerTimeoutMs * startupTimeouts);
    if (!m_hasList
        || (m_highestNumber == 0 && m_peers.empty() && m_context.now < started
            && !m_context.options.peers.empty()))
        return std::nullopt;
    const auto everyone = aliveMembers();
    if (everyone.front().id != m_context.options.self.id)
        return std::nullopt;

    instant incomplete = milliseconds(m_context.options.peerTimeoutMs * incompleteViewTimeouts);
    if (inView() && !allAcknowledged() && m_context.now - m_acknowledgedAt > incomplete) {
        // A view cannot complete while two members cannot reach each other. Excludes the member whose
        // acknowledgement is missing at most members for `exclusionTimeouts`.
        std::map<instance_id, int> missCounts;
        for (const auto& id : missingAcknowledgements())
            missCounts[id]++;
        for (const auto& [id, other] : m_peers) {
            if (!isAlive(id) || other.last.promised != m_view.id)
                continue;
            for (const auto& missing : other.last.acksMissing)
                missCounts[missing]++;
        }
        missCounts.erase(m_context.options.self.id);
        auto worst = std::max_element(missCounts.begin(), missCounts.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; });
        if (worst != missCounts.end()) {
            m_excludedUntil[worst->first]
                = m_context.now + milliseconds(m_context.options.peerTimeoutMs * exclusionTimeouts);
            m_acknowledgedAt = m_context.now;
        }
    }

    auto wanted = desiredMembers();
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
    next.id = { nextViewNumber(), m_context.options.self.id };
    next.members = wanted;
    return next;
}

void membership::onHeartbeat(const member& from, const heartbeat& beat)
{
    auto& known = m_peers[from.id];
    if (known.identity.incarnation > from.incarnation)
        return; // A late message of an earlier incarnation.
    known.identity = from;
    known.identity.leaving = beat.leaving;
    known.lastHeard = m_context.now;
    known.last = beat;
    raiseHighestNumber(std::max(beat.promised.number, beat.highestNumber));
}

void membership::peerDown(const instance_id& id)
{
    // A closed connection is stronger evidence of a failure than missing heartbeats, so the rest of the peer
    // timeout is cut to two heartbeat intervals. A peer that is alive sends a heartbeat in that time.
    auto found = m_peers.find(id);
    if (found == m_peers.end())
        return;
    instant almostOver = m_context.now - milliseconds(m_context.options.peerTimeoutMs)
        + milliseconds(m_context.options.heartbeatMs * 2);
    found->second.lastHeard = std::min(found->second.lastHeard, almostOver);
}

bool membership::acknowledgeView(const view& candidate)
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
    m_acknowledgedAt = m_context.now;
    m_acknowledged.clear();
    m_currentHolders.clear();
    return true;
}

void membership::abandon()
{
    m_view.members.clear();
    m_acknowledged.clear();
    m_currentHolders.clear();
    m_excludedSince.reset();
}

bool membership::excluded() const
{
    return m_excludedSince
        && m_context.now - *m_excludedSince > milliseconds(m_context.options.peerTimeoutMs);
}

void membership::onAcknowledge(const instance_id& from, const view_id& id)
{
    if (id == m_view.id)
        m_acknowledged.insert(from);
}

instance_id membership::currentHolder(const worker_id& worker) const
{
    auto found = m_currentHolders.find(worker);
    return found == m_currentHolders.end() ? instance_id() : found->second;
}

bool membership::isGone(const worker_id& worker) const
{
    auto found = m_workers.find(worker);
    return found == m_workers.end() || isGone(found->second);
}

void membership::setHolder(const worker_id& worker, const instance_id& holder)
{
    m_currentHolders[worker] = holder;
    // A member has just reached the worker, so it counts as listed until the next list.
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

bool membership::isGone(const known_worker& known) const
{
    if (known.listed)
        return false;
    instant needed = m_context.driftUpperBound(m_context.options.listDropMs + m_context.options.taskLeaseMs);
    return m_context.now - known.lastListed > needed;
}

bool membership::allAcknowledged() const
{
    return inView() && m_acknowledged.size() >= m_view.members.size();
}

bool membership::transferComplete() const
{
    return m_hasList && allAcknowledged() && !m_currentHolders.empty() && unaccounted().empty();
}

std::vector<worker_id> membership::unaccounted() const
{
    std::vector<worker_id> out;
    for (const auto& [id, known] : m_workers) {
        if (!m_currentHolders.count(id) && !isGone(known))
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
