// Incarnations of workers that have not answered yet, or are not known yet.
//
// A worker that has started again takes orders before its entry can be read. The clock in its answer shows
// that it is a later incarnation. If there is no answer, its lease is not known: the order's deadline was a
// time on the earlier clock. An attempt is therefore kept beyond the lease, until the longest one that any
// incarnation may hold is over, unless the incarnation that the start was sent to has listed the attempt or
// answered the start.
//
// An order that was not answered may be carried out seconds later, and by a later incarnation of the worker:
// that knows neither the token of the order's sender nor the stop that followed, and its clock begins anew,
// so the order's deadline does not bound the lease either. Only an answer of the later incarnation to a
// request with a higher token shows that it refuses earlier orders. Until then its attempts are kept, however
// long ago their leases should have ended, unless the platform has not listed the worker for `goneAfterMs`.
//
// The next leader has to know which incarnation the recorded attempts were sent to. With the attempts, the
// progress topic records that of each worker under a key of its own, before the first start is sent there.
// The record of a task says in addition whether that incarnation has confirmed its attempts, which have then
// ended when a later one is seen. The others are kept by the next leader as if it had sent their starts
// itself when it took over: until then the earlier leader may have sent them.
#include "jobs/process/cell_model.h"
#include "jobs/request/record_writer.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {

    using nlohmann::json;
    constexpr int recordFormat = 1;
    constexpr size_t maxKeyBytes = 255; // Of a record in the store.
    // How long a worker that does not answer may be off the platform's list before its attempts count as
    // ended. The platform removes a worker after three missed heartbeats, also one that is only cut off, and
    // lists it again within two seconds. A task of a lost worker waits for the sum of both times.
    constexpr ms goneAfterMs = 7000;

    // How long after a takeover workers that have not reported are recorded.
    constexpr ms unreachedDelayMs = 800;

    std::string keyOf(const worker_id& id) { return std::string(cell::incarnationKeyPrefix).append(id); }

} // namespace

bool cell::isIncarnationKey(std::string_view key) { return key.starts_with(incarnationKeyPrefix); }

bool cell_model::mayStartLate(const worker_state& worker) const
{
    if (!worker.awaitsFirstAnswer || hasFault(cell_fault::end_unanswered_incarnations))
        return false;
    return worker.listed || now - std::max(worker.unlistedSince, beganAt) <= goneAfterMs;
}

// The start was sent to the present incarnation, which has not confirmed it. A later one may have received
// it, and runs it under a lease of the worker's maximum from the last order on that grants a lease.
bool cell_model::mayRunUnseen(const task_attempt& attempt) const
{
    if (!attempt.startSent || attempt.confirmedByStartedUnixMs != 0)
        return false;
    ms sentAt = std::max(attempt.worker->leaseSentAt, earlierOrdersEnd(*attempt.worker));
    return now <= sentAt + longestOrderDelayMs + worstLeaseMs(settings.maxLeaseMs)
        && !hasFault(cell_fault::end_unanswered_incarnations);
}

// A later incarnation has started after the poll was sent that the last report answers, and its clock shows
// at most the time since then.
bool cell_model::isOfReportedIncarnation(const order_answer& answer, const worker_state& worker) const
{
    if (hasFault(cell_fault::end_unanswered_incarnations))
        return true;
    if (!worker.hasReported || !answer.clockWorkerMs)
        return false;
    auto sinceMs = static_cast<double>(now - worker.answeredPollSentAt);
    return static_cast<double>(*answer.clockWorkerMs) > sinceMs * clockErrorFactor;
}

void cell_model::confirmAttempt(task_attempt& attempt, const step_run& step, int64_t startedUnixMs)
{
    bool first = std::exchange(attempt.confirmedByStartedUnixMs, startedUnixMs) != startedUnixMs;
    if (first)
        markDirty(*step.job); // The record tells the next leader.
}

// The clock may be slow, and was read before the report arrived.
ms cell_model::leastClock(const worker_state& worker) const
{
    if (!worker.hasReported)
        return 0;
    return worker.clockWorkerMs
        + static_cast<ms>(static_cast<double>(now - worker.clockAt) / clockErrorFactor);
}

// The clock of an incarnation never goes back, and that of a later one begins anew. A refusal by another
// worker at the address tells the time on that worker's clock.
void cell_model::noteClockOfAnswer(
    const worker_id& id, uint32_t incarnation, ms leastClockWorkerMs, const order_answer& answer)
{
    if (answer.outcome == order_outcome::other_incarnation)
        return;
    worker_state* worker = workers.find(id);
    if (worker && worker->incarnation == incarnation && answer.clockWorkerMs
        && *answer.clockWorkerMs < leastClockWorkerMs && !hasFault(cell_fault::end_unanswered_incarnations))
        handleNewIncarnation(*worker, "answer");
}

// Format: [format, start time of the incarnation in Unix milliseconds, whether it has not answered, token of
// the takeover since which it was not reached]. The last field is left out if it is 0. A long batch is
// appended in parts. The records of jobs refer to these, so they come after them.
void cell_model::recordIncarnations(write_batch& batch)
{
    reachChanged = false;
    std::vector<progress_record> jobs = std::exchange(batch.records, {});
    for (const worker_id& id : std::exchange(forgottenIncarnations, {}))
        batch.records.push_back({ keyOf(id), {} });
    for (worker_state* worker : workers.all()) {
        recorded_incarnation newest { worker->info.startedUnixMs, worker->awaitsFirstAnswer,
            worker->unreachedSince };
        if (worker->unreachedSince != 0 && worker->unreachedSince == token && !unreachedRecorded)
            newest.unreachedSince = worker->recordedIncarnation.unreachedSince;
        bool needed = !worker->placements.empty()
            || newest.unreachedSince != worker->recordedIncarnation.unreachedSince;
        if (!needed || newest.startedUnixMs == 0 || newest == worker->recordedIncarnation)
            continue;
        std::string key = keyOf(worker->info.id);
        if (key.size() > maxKeyBytes)
            continue;
        worker->recordedIncarnation = newest;
        if (newest.unreachedSince != 0)
            worker->mayBeRecordedUnreached = true;
        else if (worker->mayBeRecordedUnreached)
            writingReached.push_back(worker->info.id);
        record_writer out;
        out.array(newest.unreachedSince != 0 ? 4 : 3).number(recordFormat);
        out.number(newest.startedUnixMs).flag(newest.awaitsFirstAnswer);
        if (newest.unreachedSince != 0)
            out.number(static_cast<int64_t>(newest.unreachedSince));
        batch.records.push_back({ std::move(key), out.take() });
    }
    std::move(jobs.begin(), jobs.end(), std::back_inserter(batch.records));
}

// The entry of the worker may have been read before, and be that of another incarnation.
void cell_model::restoreIncarnation(const worker_id& id, std::string_view bytes)
{
    json row = json::from_cbor(bytes, true, false);
    if (!row.is_array() || row.size() < 3 || row[0] != recordFormat || !row[1].is_number_integer()
        || !row[2].is_boolean()) {
        log(log_line("worker_incarnation_unreadable").add("worker", id));
        return;
    }
    worker_state& worker = findOrAddWorker(id);
    uint64_t unreachedSince = row.size() > 3 && row[3].is_number_unsigned() ? row[3].get<uint64_t>() : 0;
    worker.recordedIncarnation = { row[1].get<int64_t>(), row[2].get<bool>(), unreachedSince };
    worker.unreachedSince = unreachedSince;
    worker.mayBeRecordedUnreached = unreachedSince != 0;
    int64_t recorded = worker.recordedIncarnation.startedUnixMs;
    if (worker.info.startedUnixMs <= recorded) {
        worker.info.startedUnixMs = recorded;
        worker.awaitsFirstAnswer = worker.recordedIncarnation.awaitsFirstAnswer;
    } else {
        worker.awaitsFirstAnswer = true;
    }
    worker.restoredLongLeases |= worker.awaitsFirstAnswer;
}

bool cell_model::isConfirmedByRecordedIncarnation(const task_attempt& attempt)
{
    int64_t confirmedBy = attempt.confirmedByStartedUnixMs;
    return confirmedBy != 0 && confirmedBy == attempt.worker->info.startedUnixMs;
}

// Ends restored attempts that an incarnation has confirmed, if a later one was seen during the recovery.
void cell_model::endAttemptsOfEarlierIncarnations()
{
    for (worker_state* worker : workers.all()) {
        std::vector<task_placement> ended;
        for (const task_placement& placement : worker->placements) {
            const task_attempt* attempt = findAttempt(placement);
            if (attempt && attempt->confirmedByStartedUnixMs != 0
                && attempt->confirmedByStartedUnixMs < worker->info.startedUnixMs)
                ended.push_back(placement);
        }
        endAttempts(*worker, ended, "gang_member_lost");
    }
}

void cell_model::forgetIncarnation(worker_state& worker)
{
    if (worker.recordedIncarnation.startedUnixMs != 0)
        forgottenIncarnations.push_back(worker.info.id);
}

const cell_takeover* cell_model::takeoverBefore(const worker_state& worker) const
{
    if (worker.unreachedSince == 0)
        return nullptr;
    auto found = std::find_if(takeovers.begin(), takeovers.end(),
        [&](const cell_takeover& takeover) { return takeover.token == worker.unreachedSince; });
    return found == takeovers.end() ? nullptr : &*found;
}

ms cell_model::earlierOrdersEnd(const worker_state& worker) const
{
    const cell_takeover* takeover = takeoverBefore(worker);
    return takeover ? takeover->beganAt : beganAt;
}

// A worker that an earlier leader has not reached since its takeover keeps that one's token while the
// takeover is known.
void cell_model::noteUnreachedWorkers()
{
    for (worker_state* worker : workers.all()) {
        if (!worker->placements.empty() && !takeoverBefore(*worker))
            worker->unreachedSince = token;
    }
}

// Most workers report at once, so only the others are recorded.
void cell_model::recordUnreachedWorkers()
{
    if (unreachedRecorded || token == 0 || now - beganAt < unreachedDelayMs)
        return;
    unreachedRecorded = true;
    reachChanged |= std::any_of(workers.all().begin(), workers.all().end(),
        [&](const worker_state* worker) { return worker->unreachedSince == token; });
}

void cell_model::noteReached(worker_state& worker)
{
    worker.unreachedSince = 0;
    reachChanged |= worker.mayBeRecordedUnreached;
}

} // namespace camphorwell
