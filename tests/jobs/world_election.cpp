// Instances of a world, which elect the leader of the cell by conditional appends to a log of claims. Appends
// may be late or their answers lost, and claims may be read late.
#include "tests/jobs/world.h"

#include <algorithm>

namespace camphorwell::testing {

namespace {
    constexpr ms tickIntervalMs = 25;
    constexpr ms retryMs = 200;
    constexpr ms claimTimeoutMs = 1000;
    constexpr ms claimWaitMs = 1500; // Longest wait of a read for the next claim.
    constexpr ms leaderCheckMs = 200;
    constexpr ms longestLateAppendMs = 12'000;
    constexpr ms claimDelayStepMs = 100; // Between the claim delays of two instances.
    constexpr ms stopMs = 300; // From the release of the cell to the end of the instance.
    constexpr size_t claimPartition = 0;
    constexpr const char* claimKey = "cell";
} // namespace

void world::startInstance(size_t number)
{
    auto started = std::make_shared<instance>();
    started->number = number;
    election_settings settings;
    settings.claimDelayMs = static_cast<ms>(number) * claimDelayStepMs;
    claim_record self;
    self.instance = "i" + std::to_string(number);
    self.incarnation = static_cast<uint64_t>(m_now);
    started->election = std::make_unique<leader_election>(settings, self);
    if (m_instances.size() <= number)
        m_instances.push_back(started);
    else
        m_instances[number] = started;
    readClaims(started);
    tickInstance(started);
}

void world::crashInstance(const instance_ptr& crashed, ms pause)
{
    if (!crashed->up)
        return;
    noteFault();
    crashed->up = false;
    stepDown(*crashed);
    runAfter(pause, [this, number = crashed->number] {
        noteFault();
        startInstance(number);
    });
}

void world::cutInstance(const instance_ptr& cut, ms duration)
{
    noteFault();
    cut->cutUntil = m_now + duration;
    runAfter(duration, [this] { noteFault(); });
}

void world::releaseLeadership(const instance_ptr& released, ms pause)
{
    noteFault();
    released->election->release();
    runAfter(stopMs, [this, released, pause] { crashInstance(released, pause); });
}

void world::tickInstance(const instance_ptr& ticked)
{
    if (!ticked->up)
        return;
    leader_election& election = *ticked->election;
    leader_ptr leader = ticked->leader;
    if (leader && (!leader->alive || !election.isLeader() || election.token() != leader->token))
        stepDown(*ticked);
    auto step = election.next(m_now);
    if (step != leader_election::step::none)
        appendClaim(ticked, step);
    runAfter(tickIntervalMs, [this, ticked] { tickInstance(ticked); });
}

ms world::claimReadMs()
{
    if (undisturbed() || !chance(m_slowReads))
        return randomInt(1, 8);
    ms out = randomInt(500, 3000);
    noteFault(m_now + out);
    return out;
}

void world::readClaims(const instance_ptr& reader)
{
    if (!reader->up)
        return;
    if (!reachesStore(*reader)) {
        reader->election->onReadFailed();
        runAfter(retryMs, [this, reader] { readClaims(reader); });
        return;
    }
    auto page = m_claims.readNewest(claimPartition, {}, 1);
    runAfter(claimReadMs(), [this, reader, page = std::move(page)] {
        if (!reader->up)
            return;
        std::optional<claim_record> newest;
        if (!page.items.empty())
            newest = decodeClaim(page.items.front().value);
        reader->election->onClaimRead(newest, page.end, m_now);
        followClaims(reader);
    });
}

void world::followClaims(const instance_ptr& reader)
{
    if (!reader->up)
        return;
    if (reader->election->mustRead())
        readClaims(reader);
    else if (reader->election->isLeader())
        runAfter(leaderCheckMs, [this, reader] { followClaims(reader); });
    else
        requestClaims(reader, m_now);
}

// The store's side of a read. It waits for the next claim if there is none.
void world::requestClaims(const instance_ptr& reader, ms sentAt)
{
    if (!reader->up)
        return;
    if (!reachesStore(*reader)) {
        reader->election->onReadFailed();
        runAfter(retryMs, [this, reader] { followClaims(reader); });
        return;
    }
    auto answer = m_claims.read(claimPartition, reader->election->expectedOffset(), 100);
    if (answer.items.empty() && m_now - sentAt < claimWaitMs) {
        runAfter(randomInt(5, 20), [this, reader, sentAt] { requestClaims(reader, sentAt); });
        return;
    }
    runAfter(claimReadMs(), [this, reader, answer = std::move(answer)] {
        if (!reader->up)
            return;
        if (answer.items.empty())
            reader->election->onReadOk(m_now);
        else
            reader->election->onClaimRead(decodeClaim(answer.items.back().value), answer.nextOffset, m_now);
        followClaims(reader);
    });
}

void world::appendClaim(const instance_ptr& from, leader_election::step step)
{
    bool releasing = from->election->isReleasing();
    std::string claim = encodeClaim(from->election->record(step, releasing, m_now));
    uint64_t offset = from->election->expectedOffset();
    bool reaches = reachesStore(*from);
    bool answered = reaches && (undisturbed() || !chance(0.05));
    bool executed = answered || (reaches && chance(0.7));
    bool late = !answered && chance(0.5);
    if (!answered)
        noteFault(m_now + claimTimeoutMs);
    if (executed && !answered) {
        runAfter(late ? randomInt(500, longestLateAppendMs) : randomInt(1, 10), [this, offset, claim] {
            noteFault();
            if (m_now >= m_storeDownUntil)
                m_claims.appendAt(claimPartition, offset, claimKey, claim);
        });
    }
    if (!answered) {
        runAfter(claimTimeoutMs, [this, from] {
            from->election->onAppendFailed(true, m_now);
            onClaimAnswered(from);
        });
        return;
    }
    runAfter(randomInt(1, 10), [this, from, step, offset, claim, releasing, sentAt = m_now] {
        bool done = m_claims.appendAt(claimPartition, offset, claimKey, claim);
        runAfter(randomInt(1, 10), [this, from, step, offset, releasing, sentAt, done] {
            if (done)
                from->election->onAppended(step, offset, sentAt, releasing);
            else
                from->election->onConflict();
            onClaimAnswered(from);
        });
    });
}

void world::onClaimAnswered(const instance_ptr& from)
{
    if (!from->up)
        return;
    if (from->election->isLeader() && !from->leader)
        takeOver(from);
    else if (!from->election->isLeader() && from->leader)
        stepDown(*from);
}

void world::stepDown(instance& stepping)
{
    if (stepping.leader)
        stepping.leader->alive = false;
    stepping.leader.reset();
    if (stepping.election->isLeader())
        stepping.election->stepDown();
}

// Refuses appends of progress under earlier tokens, then reads what they have left.
void world::takeOver(const instance_ptr& owner)
{
    uint64_t token = owner->election->token();
    if (token < m_latestToken) {
        owner->election->stepDown();
        return;
    }
    m_counts.takeovers++;
    m_latestToken = token;
    auto leader = std::make_shared<leader_instance>();
    leader->token = token;
    leader->owner = owner;
    owner->leader = leader;
    leader->cursors.resize(m_jobLog.partitions());
    cell_settings settings;
    settings.maxLeaseMs = m_maxLeaseMs;
    settings.leaseMs = m_maxLeaseMs - 200;
    settings.pollWaitMs = 200;
    settings.finishedRetentionMs = m_retentionMs;
    settings.fault = m_settings.fault;
    // Every other world records its jobs in parts.
    constexpr int tasksPerSmallRecord = 2;
    if (m_settings.seed % 2 == 0)
        settings.tasksPerRecord = tasksPerSmallRecord;
    leader->scheduler = std::make_unique<cell>(settings, m_queues, [this, token](const log_line& line) {
        m_log.push_back(std::to_string(m_now) + " leader=" + std::to_string(token) + " " + line.str());
        noteMove(line.str());
    });
    leader->scheduler->setClock(m_now, unixOriginMs + m_now);
    for (const auto& [id, bytes] : m_progress)
        leader->scheduler->restoreProgress(id, bytes);
    m_leaders.push_back(leader);
    checkStates(*leader);
    // Reading the log takes time, during which the previous leader continues to run.
    leader->recoveryStepsLeft = static_cast<int>(m_jobLog.partitions());
    for (size_t partition = 0; partition < m_jobLog.partitions(); partition++)
        runAfter(randomInt(5, 100), [this, leader, partition] { recoverJobs(leader, partition); });
}

} // namespace camphorwell::testing
