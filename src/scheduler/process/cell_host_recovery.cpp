// Taking a cell over: the stream of progress is fenced against the earlier owner, then what it recorded, the
// accepted jobs and the workers are read, all from the newest record of each key. Workers are taken by the
// first look at each, which carries the new token.
#include "scheduler/process/cell_host_state.h"

#include <algorithm>

namespace camphorwell {

namespace {
    constexpr ms fenceTimeoutMs = 1000;
    constexpr ms retryMs = 150;
} // namespace

void cell_host::state::takeOver()
{
    generation++;
    token = ownership.token();
    takenAt = bootNow();
    begun = false;
    owned = std::make_unique<cell>(context.settings.cell, queues,
        decision_log([this](const log_line& line) { context.log.write(line); },
            [this] { return context.log.open(); }));
    owned->setClock(takenAt, unixNow());
    tails.clear();
    for (int i = 0; i < context.settings.store.partitions; i++)
        tails.push_back({ i, 0, 0, {} });
    recoveryLeft = 2 + static_cast<int>(tails.size());
    context.counts["cells_taken"]++;
    context.log.writeAlways(
        log_line("cell_claimed").add("cell", number).add("token", static_cast<int64_t>(token)));
    fence(generation);
}

void cell_host::state::fence(uint64_t current)
{
    sequence = 0;
    platform::append_request request { progressTopic, 0, {}, {},
        platform::producer_mark { "owner", token, sequence } };
    context.store.append(request, fenceTimeoutMs, [this, current](const platform::append_answer& answer) {
        if (!holds(current))
            return;
        if (answer.outcome == platform::store_outcome::fenced) {
            drop("fenced_at_store");
            return;
        }
        if (answer.outcome != platform::store_outcome::done) {
            context.log.write(log_line("fence_failed").add("outcome", toString(answer.outcome)));
            again(current, retryMs, [this, current] { fence(current); });
            return;
        }
        recoverProgress(current);
        for (const auto& tail : tails)
            recoverJobs(current, tail.partition);
        recoverWorkers(current);
    });
}

void cell_host::state::recoverProgress(uint64_t current)
{
    context.store.newest(progressTopic, 0, [this, current](const platform::newest_answer& answer) {
        if (!holds(current))
            return;
        if (answer.outcome != platform::store_outcome::done) {
            again(current, retryMs, [this, current] { recoverProgress(current); });
            return;
        }
        context.log.writeAlways(log_line("progress_read")
                                    .add("cell", number)
                                    .add("records", static_cast<int64_t>(answer.items.size()))
                                    .add("end", static_cast<int64_t>(answer.end)));
        for (const auto& each : answer.items) {
            if (each.key == learntKey)
                owned->restoreLoadModel(each.value);
            else if (!each.value.empty())
                owned->restoreProgress(each.key, each.value);
        }
        recoveryStep(current);
    });
}

void cell_host::state::recoverJobs(uint64_t current, int partition)
{
    context.store.newest(
        jobsTopic, partition, [this, current, partition](const platform::newest_answer& answer) {
            if (!holds(current))
                return;
            if (answer.outcome != platform::store_outcome::done) {
                again(current, retryMs, [this, current, partition] { recoverJobs(current, partition); });
                return;
            }
            job_tail& tail = tails[static_cast<size_t>(partition)];
            tail.next = answer.end;
            tail.freshAt = bootNow();
            for (const auto& each : answer.items)
                recoveredJobs.emplace_back(static_cast<uint64_t>(partition), each);
            recoveryStep(current);
        });
}

void cell_host::state::recoverWorkers(uint64_t current)
{
    context.store.newest(platform::workerTopic, 0, [this, current](const platform::newest_answer& answer) {
        if (!holds(current))
            return;
        if (answer.outcome != platform::store_outcome::done) {
            again(current, retryMs, [this, current] { recoverWorkers(current); });
            return;
        }
        // While it is recovered only; a later reading also drops the workers that it does not list.
        std::set<worker_id> listed;
        for (const auto& each : answer.items) {
            listed.insert(each.key);
            takeWorkerRecord(each);
        }
        std::vector<worker_id> gone;
        for (const auto& [id, address] : addresses) {
            if (!listed.contains(id))
                gone.push_back(id);
        }
        for (const auto& id : gone)
            takeWorkerRecord({ id, {}, 0 });
        workersNext = answer.end;
        if (begun)
            followWorkers(current);
        else
            recoveryStep(current);
    });
}

void cell_host::state::recoveryStep(uint64_t current)
{
    if (--recoveryLeft > 0)
        return;
    // Records of a job come before its cancel, and jobs in the order of their acceptance.
    std::stable_sort(recoveredJobs.begin(), recoveredJobs.end(),
        [](const auto& a, const auto& b) { return a.second.offset < b.second.offset; });
    for (const auto& [partition, item] : recoveredJobs)
        takeJobRecord(static_cast<int>(partition), item);
    recoveredJobs.clear();
    recoveredJobs.shrink_to_fit();
    begun = true;
    owned->begin(bootNow(), unixNow());
    auto figures = owned->collectStatistics();
    context.log.writeAlways(log_line("cell_taken")
                                .add("cell", number)
                                .add("token", static_cast<int64_t>(token))
                                .add("took_ms", bootNow() - takenAt)
                                .add("jobs", figures.jobs)
                                .add("running", figures.runningTasks)
                                .add("workers", figures.workers));
    for (const auto& tail : tails)
        followJobs(current, tail.partition);
    followWorkers(current);
    flushDrops(current);
    tick();
}

} // namespace camphorwell
