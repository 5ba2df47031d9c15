// The job log of a world: callers that submit and cancel jobs at any instance, leaders that read the log, and
// tombstones of finished jobs. The log's appends aren't fenced, so a replaced leader's tombstones still land.
#include "tests/jobs/world.h"

#include <algorithm>

namespace camphorwell::testing {

namespace {
    constexpr ms retryMs = 150;
    constexpr ms appendTimeoutMs = 1500;
    constexpr char cancelKeyPrefix = 'x'; // No job id starts with it.
    constexpr ms readWaitMs = 1000; // Longest wait of a read for the next record.
    constexpr ms longestLateAppendMs = 12'000;

    std::string encodeKey(const job_record_key& key)
    {
        return key.kind == job_record_kind::cancel ? cancelKeyPrefix + key.job : key.job;
    }
} // namespace

void world::submit()
{
    job_id id = "job" + std::to_string(m_jobs.size());
    m_jobs[id].record = randomJob();
    sendSubmission(id);
    if (chance(0.15))
        runAfter(randomInt(10, 6000), [this, id] { sendCancel(id); });
    else if (chance(0.05))
        runAfter(randomInt(6000, 20'000), [this, id] { sendCancel(id); });
}

bool world::sendToLog(std::function<void(size_t partition)> land)
{
    auto partition = static_cast<size_t>(randomInt(0, static_cast<ms>(m_jobLog.partitions()) - 1));
    bool answered = undisturbed() || !chance(0.1);
    bool late = !answered && chance(0.5);
    runAfter(late ? randomInt(500, longestLateAppendMs) : randomInt(2, 20),
        [land = std::move(land), partition] { land(partition); });
    return answered;
}

void world::sendSubmission(const job_id& id)
{
    bool answered = sendToLog([this, id](size_t partition) { landSubmission(id, partition); });
    if (!answered)
        runAfter(randomInt(300, 2000), [this, id] { sendSubmission(id); });
    else if (chance(0.3))
        runAfter(randomInt(50, 8000), [this, id] { sendSubmission(id); });
}

void world::sendCancel(const job_id& id)
{
    if (!m_jobs.at(id).acceptedAt) {
        runAfter(retryMs, [this, id] { sendCancel(id); });
        return;
    }
    bool answered = sendToLog([this, id](size_t partition) { landCancel(id, partition); });
    if (!answered || chance(0.2))
        runAfter(randomInt(300, 4000), [this, id] { sendCancel(id); });
}

void world::landSubmission(const job_id& id, size_t partition)
{
    if (m_now < m_storeDownUntil) {
        runAfter(retryMs, [this, id, partition] { landSubmission(id, partition); });
        return;
    }
    submitted_job& job = m_jobs.at(id);
    if (mayBeForgotten(job))
        return; // A submission after the retention is a new job.
    m_counts.repeatedSubmissions += job.acceptedAt.has_value();
    job.acceptedAt = job.acceptedAt.value_or(m_now);
    job_record record = job.record;
    record.acceptedUnixMs = unixOriginMs + m_now;
    m_jobLog.append(partition, id, encodeJob(record));
    if (std::exchange(m_expireNextRecord, false))
        m_jobLog.expire();
}

void world::landCancel(const job_id& id, size_t partition)
{
    if (m_now < m_storeDownUntil) {
        runAfter(retryMs, [this, id, partition] { landCancel(id, partition); });
        return;
    }
    submitted_job& job = m_jobs.at(id);
    job.cancelledAt = job.cancelledAt.value_or(m_now);
    m_jobLog.append(partition, encodeKey({ id, job_record_kind::cancel }), "x");
}

bool world::readsJobLog(const leader_instance& leader) const
{
    return reachesStore(*leader.owner) && m_now >= m_readsDownUntil;
}

ms world::readAnswerMs(leader_instance& leader)
{
    if (undisturbed() || !chance(m_slowReads))
        return randomInt(1, 8);
    ms out = randomInt(500, 3000);
    leader.readsSlowUntil = std::max(leader.readsSlowUntil, m_now + out);
    noteFault(m_now + out);
    return out;
}

void world::readNewest(const leader_ptr& leader, size_t partition, on_newest done)
{
    auto state = std::make_shared<newest_read>();
    state->sentAt = m_now;
    readNextPage(leader, partition, state, done);
}

void world::readNextPage(
    const leader_ptr& leader, size_t partition, const std::shared_ptr<newest_read>& state, on_newest done)
{
    if (!leader->alive)
        return;
    if (!readsJobLog(*leader)) {
        leader->readsSlowUntil = m_now;
        runAfter(retryMs, [this, leader, partition, done] { readNewest(leader, partition, done); });
        return;
    }
    std::string after = state->items.empty() ? std::string() : state->items.back().key;
    auto page = m_jobLog.readNewest(partition, after, m_itemsPerRead);
    runAfter(readAnswerMs(*leader), [this, leader, partition, state, done, page = std::move(page)] {
        if (!leader->alive)
            return;
        state->end = state->end.value_or(page.end);
        state->items.insert(state->items.end(), page.items.begin(), page.items.end());
        if (page.hasMore)
            readNextPage(leader, partition, state, done);
        else
            done(*state);
    });
}

void world::recoverJobs(const leader_ptr& leader, size_t partition)
{
    readNewest(leader, partition, [this, leader, partition](const newest_read& read) {
        leader->cursors[partition] = { *read.end, read.sentAt };
        for (const auto& item : read.items)
            leader->recoveredJobs.emplace_back(partition, item);
        onRecoveryStepDone(leader);
    });
}

void world::onRecoveryStepDone(const leader_ptr& leader)
{
    if (--leader->recoveryStepsLeft > 0)
        return;
    std::stable_sort(leader->recoveredJobs.begin(), leader->recoveredJobs.end(),
        [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; });
    for (const auto& [partition, item] : leader->recoveredJobs)
        applyJobRecord(*leader, partition, item);
    leader->recoveredJobs.clear();
    for (const auto& [id, worker] : m_workers) {
        if (worker->up)
            leader->scheduler->setWorker(worker->record, m_now);
    }
    leader->scheduler->setEarlierLeases(leader->owner->election->earlierLeases());
    leader->scheduler->setTakeovers(leader->owner->election->token(), leader->owner->election->takeovers());
    leader->scheduler->begin(m_now, unixOriginMs + m_now);
    leader->owner->election->onBegun(m_now);
    for (size_t partition = 0; partition < m_jobLog.partitions(); partition++)
        followJobs(leader, partition);
    appendTombstones(leader, 0);
    tickLeader(leader);
}

void world::followJobs(const leader_ptr& leader, size_t partition)
{
    runAfter(randomInt(1, 8),
        [this, leader, partition, sentAt = m_now] { requestItems(leader, partition, sentAt); });
}

// The store's side of a read. It waits for the next record if there is none.
void world::requestItems(const leader_ptr& leader, size_t partition, ms sentAt)
{
    if (!leader->alive)
        return;
    if (!readsJobLog(*leader)) {
        leader->readsSlowUntil = m_now;
        runAfter(retryMs, [this, leader, partition] { followJobs(leader, partition); });
        return;
    }
    auto answer = m_jobLog.read(partition, leader->cursors[partition].nextOffset, m_itemsPerRead);
    bool waits = !answer.expired && answer.items.empty() && m_now - sentAt < readWaitMs;
    if (waits) {
        runAfter(randomInt(10, 40),
            [this, leader, partition, sentAt] { requestItems(leader, partition, sentAt); });
        return;
    }
    runAfter(readAnswerMs(*leader), [this, leader, partition, sentAt, answer = std::move(answer)] {
        if (leader->alive)
            receiveItems(leader, partition, sentAt, answer);
    });
}

void world::receiveItems(
    const leader_ptr& leader, size_t partition, ms sentAt, const keyed_log::read_result& answer)
{
    if (answer.expired) {
        m_counts.lostPositions++;
        readAgain(leader, partition);
        return;
    }
    auto& cursor = leader->cursors[partition];
    cursor.nextOffset = answer.nextOffset;
    if (answer.upToEnd)
        cursor.readUpTo = sentAt;
    for (const auto& item : answer.items)
        applyJobRecord(*leader, partition, item);
    followJobs(leader, partition);
}

// Continues after the records at the read position have expired.
void world::readAgain(const leader_ptr& leader, size_t partition)
{
    readNewest(leader, partition, [this, leader, partition](const newest_read& read) {
        leader->cursors[partition] = { *read.end, read.sentAt };
        for (const auto& item : read.items)
            applyJobRecord(*leader, partition, item);
        followJobs(leader, partition);
    });
}

void world::applyJobRecord(leader_instance& leader, size_t partition, const keyed_log::item& item)
{
    if (item.value.empty())
        return;
    if (item.key[0] == cancelKeyPrefix) {
        job_record_key key { item.key.substr(1), job_record_kind::cancel };
        leader.tombstones.onRecord(static_cast<int>(partition), key);
        leader.scheduler->cancel(key.job);
        return;
    }
    auto record = decodeJob(item.value);
    if (!record) {
        reportViolation("record of the job log is unreadable: " + item.key);
        return;
    }
    leader.tombstones.onRecord(static_cast<int>(partition), { item.key, job_record_kind::submission });
    leader.scheduler->addJob(item.key, *record);
}

ms world::jobLogReadUpTo(const leader_instance& leader)
{
    return std::min_element(leader.cursors.begin(), leader.cursors.end(), [](const auto& a, const auto& b) {
        return a.readUpTo < b.readUpTo;
    })->readUpTo;
}

void world::appendTombstones(const leader_ptr& leader, int partition)
{
    if (!leader->alive)
        return;
    job_tombstones::batch batch;
    while (batch.keys.empty() && partition < static_cast<int>(m_jobLog.partitions()))
        batch = leader->tombstones.takeBatch(partition++, m_tombstonesPerAppend);
    if (batch.keys.empty()) {
        runAfter(m_tombstonePeriodMs, [this, leader] { appendTombstones(leader, 0); });
        return;
    }
    auto answer = [this, leader, partition, batch](bool durable) {
        if (!leader->alive)
            return;
        onTombstonesAppended(leader, batch, durable);
        appendTombstones(leader, partition);
    };
    if (!undisturbed() && chance(0.1))
        replaceLeader(randomInt(50, 3000));
    bool refused = !reachesStore(*leader->owner) || m_now < m_tombstonesRefusedUntil;
    if (refused) {
        runAfter(randomInt(2, 20), [answer] { answer(false); });
        return;
    }
    bool answered = undisturbed() || !chance(0.3);
    bool executed = answered || !chance(0.3);
    bool late = !answered && chance(0.5);
    if (executed)
        runAfter(late ? randomInt(500, longestLateAppendMs) : randomInt(1, 10),
            [this, batch] { landTombstones(batch); });
    runAfter(answered ? randomInt(11, 30) : appendTimeoutMs, [answer, answered] { answer(answered); });
}

void world::landTombstones(const job_tombstones::batch& batch)
{
    for (const job_record_key& key : batch.keys)
        m_jobLog.append(static_cast<size_t>(batch.partition), encodeKey(key), "");
}

void world::onTombstonesAppended(const leader_ptr& leader, const job_tombstones::batch& batch, bool durable)
{
    m_counts.unconfirmedTombstones += !durable;
    leader->tombstones.onAppended(batch, durable);
    for (const forget_job_action& deleted : leader->tombstones.takeDeleted())
        leader->scheduler->onJobRecordsDeleted(deleted, m_now);
}

} // namespace camphorwell::testing
