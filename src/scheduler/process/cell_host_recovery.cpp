// Recovery of a cell by a new leader. The progress topic is fenced against the previous leader; then the
// progress, the accepted jobs and the workers are read from the newest record of each key. Each worker is
// fenced against the previous leader by the first poll, which carries the new token.
#include "scheduler/process/cell_host_state.h"

#include <algorithm>

namespace camphorwell {

namespace {
    constexpr ms fenceTimeoutMs = 1000;
    constexpr ms retryMs = 150;
} // namespace

void cell_host::state::takeOver()
{
    leaderTerm++;
    token = election.token();
    recoveryStartedAt = bootNow();
    recovered = false;
    loadModelRejected = false;
    ledCell = std::make_unique<cell>(context.settings.cell, queues,
        decision_log([this](const log_line& line) { context.log.write(line); },
            [this] { return context.log.admitLine(); }));
    ledCell->setClock(recoveryStartedAt, unixNow());
    tombstones = {};
    cursors.clear();
    for (int i = 0; i < context.settings.store.partitions; i++)
        cursors.push_back({ i, 0, 0 });
    recoveryStepsLeft = 2 + static_cast<int>(cursors.size());
    context.counts["cells_taken"]++;
    context.log.writeAlways(
        log_line("cell_claimed").add("cell", number).add("token", static_cast<int64_t>(token)));
    fence(leaderTerm);
}

void cell_host::state::fence(uint64_t term)
{
    progressSequence = 0;
    platform::append_request request { progressTopic, 0, {}, {},
        platform::producer_sequence { "owner", token, progressSequence } };
    context.store.append(request, fenceTimeoutMs, [this, term](const platform::append_answer& answer) {
        if (!leadsInTerm(term))
            return;
        if (answer.outcome == platform::store_outcome::fenced) {
            stepDown("fenced_at_store");
            return;
        }
        if (answer.outcome != platform::store_outcome::done) {
            context.log.write(log_line("fence_failed").add("outcome", toString(answer.outcome)));
            scheduleInTerm(term, retryMs, [this, term] { fence(term); });
            return;
        }
        recoverProgress(term);
        for (const auto& cursor : cursors)
            recoverJobs(term, cursor.partition);
        recoverWorkers(term);
    });
}

void cell_host::state::recoverProgress(uint64_t term)
{
    context.store.readNewestByKey(progressTopic, 0, [this, term](const platform::newest_answer& answer) {
        if (!leadsInTerm(term))
            return;
        if (answer.outcome != platform::store_outcome::done) {
            scheduleInTerm(term, retryMs, [this, term] { recoverProgress(term); });
            return;
        }
        context.log.writeAlways(log_line("progress_read")
                                    .add("cell", number)
                                    .add("records", static_cast<int64_t>(answer.items.size()))
                                    .add("end", static_cast<int64_t>(answer.end)));
        for (const auto& item : answer.items) {
            if (item.value.empty())
                continue;
            bool bounded = cborIsBounded(item.value, maxRecordDepth);
            if (item.key != loadModelKey)
                ledCell->restoreProgress(item.key, bounded ? item.value : std::string());
            else if (bounded)
                ledCell->restoreLoadModel(item.value);
        }
        // The progress of these jobs is unreadable, too; without it they would run as new ones.
        for (const auto& key : answer.unreadableKeys) {
            if (key != loadModelKey)
                ledCell->restoreProgress(key, {});
        }
        onRecoveryStepDone(term);
    });
}

void cell_host::state::recoverJobs(uint64_t term, int partition)
{
    ms sentAt = bootNow();
    context.store.readNewestByKey(
        jobsTopic, partition, [this, term, partition, sentAt](const platform::newest_answer& answer) {
            if (!leadsInTerm(term))
                return;
            if (answer.outcome != platform::store_outcome::done) {
                scheduleInTerm(term, retryMs, [this, term, partition] { recoverJobs(term, partition); });
                return;
            }
            job_cursor& cursor = cursors[static_cast<size_t>(partition)];
            cursor.nextOffset = answer.end;
            cursor.readUpTo = sentAt;
            for (const auto& item : answer.items)
                recoveredJobs.emplace_back(static_cast<uint64_t>(partition), item);
            onRecoveryStepDone(term);
        });
}

void cell_host::state::recoverWorkers(uint64_t term)
{
    context.store.readNewestByKey(
        platform::workerTopic, 0, [this, term](const platform::newest_answer& answer) {
            if (!leadsInTerm(term))
                return;
            if (answer.outcome != platform::store_outcome::done) {
                scheduleInTerm(term, retryMs, [this, term] { recoverWorkers(term); });
                return;
            }
            // During recovery no worker is listed yet. Later reads follow the expiry of the records at the
            // read position, which may include the removal of a worker.
            std::set<worker_id> listed;
            for (const auto& item : answer.items) {
                listed.insert(item.key);
                applyWorkerRecord(item);
            }
            for (const auto& id : ledCell->listedWorkers()) {
                if (!listed.contains(id))
                    applyWorkerRecord({ id, {}, 0 });
            }
            nextWorkerOffset = answer.end;
            if (recovered)
                followWorkers(term);
            else
                onRecoveryStepDone(term);
        });
}

void cell_host::state::onRecoveryStepDone(uint64_t term)
{
    if (--recoveryStepsLeft > 0)
        return;
    // Sort by offset: jobs in the order of their acceptance, each before its cancel.
    std::stable_sort(recoveredJobs.begin(), recoveredJobs.end(),
        [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; });
    for (const auto& [partition, item] : recoveredJobs)
        applyJobRecord(static_cast<int>(partition), item);
    recoveredJobs.clear();
    recoveredJobs.shrink_to_fit();
    recovered = true;
    ledCell->setEarlierLeases(election.earlierLeases());
    ledCell->setTakeovers(token, election.takeovers());
    ms beganAt = bootNow();
    ledCell->begin(beganAt, unixNow());
    election.onBegun(beganAt);
    auto statistics = ledCell->collectStatistics();
    context.log.writeAlways(
        log_line("cell_taken")
            .add("cell", number)
            .add("token", static_cast<int64_t>(token))
            .add("took_ms", bootNow() - recoveryStartedAt)
            .add("jobs", statistics.jobs)
            .add("running", statistics.runningTasks)
            .add("workers", statistics.workers)
            .add("leases_end_ms", std::max<ms>(0, election.earlierLeases().endAt - bootNow())));
    for (const auto& cursor : cursors)
        followJobs(term, cursor.partition);
    followWorkers(term);
    appendTombstones(term, 0);
    tick();
}

} // namespace camphorwell
