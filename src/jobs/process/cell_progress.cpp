// Progress records and the write barrier. All changes since the last append go into the next one, and only
// one append is in flight at a time. Starts, acknowledgements of completions and terminal states shown to
// callers wait until the append that records them is durable.
//
// A record of the store has a limited size. The tasks of a large job are therefore spread over parts: further
// records, each of at most `tasksPerRecord` tasks of one step of one occurrence. Which part a task belongs to
// depends on the job's specification alone, so each task is in exactly one record, also when a leader is lost
// between two calls of one write. The parts of a write come before the job's first record, which lists the
// open steps: parts of other steps do not count, since no task of them has been started. Parts that are not
// needed any more are deleted after it.
#include "jobs/process/cell_model.h"
#include "jobs/request/record_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorwell {

namespace {

    using nlohmann::json;
    constexpr int progressFormat = 1;
    // 2 is the unknown format of restart_test.
    constexpr int splitProgressFormat = 3; // Earlier versions do not know of parts, and must not run the job.
    constexpr int partFormat = 1;
    constexpr char partSeparator = '~'; // Not part of a job id.

    void writeTask(record_writer& out, int index, const task_run& task, const step_spec& spec)
    {
        bool longLease = std::any_of(task.attempts.begin(), task.attempts.end(),
            [](const task_attempt& attempt) { return attempt.longLease; });
        bool confirmed = !task.attempts.empty()
            && std::all_of(
                task.attempts.begin(), task.attempts.end(), &cell_model::isConfirmedByRecordedIncarnation);
        bool gangFailed = spec.gang && task.failures > 0;
        size_t fields = confirmed ? 9 : longLease ? 8 : gangFailed ? 7 : task.checkpoint.empty() ? 5 : 6;
        out.array(fields);
        out.number(index).number(task.lastAttempt).number(task.failures).number(task.done ? 1 : 0);
        out.array(2 * task.attempts.size());
        for (const auto& attempt : task.attempts)
            out.number(attempt.number).text(attempt.worker->info.id);
        if (fields > 5)
            out.text(task.checkpoint);
        if (fields > 6)
            out.number(task.lastFailedAttempt);
        if (fields > 7)
            out.flag(longLease);
        if (fields > 8)
            out.flag(confirmed);
    }

    // A member of a gang may be done without an attempt that this leader knows of.
    bool hasProgress(const task_run& task) { return task.lastAttempt > 0 || task.done; }

    // Writes those of the tasks from `begin` to before `end` that have progress.
    void writeTasks(record_writer& out, const step_run& step, int begin, int end)
    {
        auto tasks = std::count_if(step.tasks.begin() + begin, step.tasks.begin() + end, hasProgress);
        out.array(static_cast<size_t>(tasks));
        for (int i = begin; i < end; i++) {
            const task_run& task = step.tasks[static_cast<size_t>(i)];
            if (hasProgress(task))
                writeTask(out, i, task, *step.spec);
        }
    }

    void writeStep(record_writer& out, const step_run& step, bool withTasks)
    {
        out.array(2).number(step.number);
        writeTasks(out, step, 0, withTasks ? static_cast<int>(step.tasks.size()) : 0);
    }

    void writeOccurrence(record_writer& out, const occurrence_run& occurrence, bool withTasks)
    {
        auto openSteps = std::count_if(
            occurrence.steps.begin(), occurrence.steps.end(), [](const step_run& step) { return step.open; });
        out.array(2).number(occurrence.number).array(static_cast<size_t>(openSteps));
        for (const auto& step : occurrence.steps) {
            if (step.open)
                writeStep(out, step, withTasks);
        }
    }

    // The members of a gang have one attempt number, so they are recorded together.
    int tasksPerPart(const step_spec& spec, const cell_settings& settings)
    {
        return spec.gang ? std::max(spec.count, 1) : settings.tasksPerRecord;
    }

    int partsOf(const step_spec& spec, const cell_settings& settings)
    {
        int size = tasksPerPart(spec, settings);
        return (spec.count + size - 1) / size;
    }

    // Whether the job of the record of a finished job was submitted. Records of earlier versions do not say.
    bool readSubmitted(const json& row)
    {
        return row.size() < 3 || !row[2].is_boolean() || row[2].get<bool>();
    }

    // The state in a progress record, if the record has a format that this version reads.
    std::optional<job_state> readState(const json& row)
    {
        if (!row.is_array() || row.size() < 2 || (row[0] != progressFormat && row[0] != splitProgressFormat)
            || !row[1].is_number_unsigned()
            || row[1].get<uint64_t>() > static_cast<uint64_t>(job_state::cancelled))
            return std::nullopt;
        return static_cast<job_state>(row[1].get<int>());
    }

} // namespace

// Format: [format, state, next occurrence, [[occurrence, [[step, [task, ...]]]]], started], where a task is
// [index, last attempt, failures, done, [attempt, worker, attempt, worker, ...], checkpoint, last failed
// attempt, long lease, confirmed by the worker's recorded incarnation]. Fields at the end are left out: the
// last two if they are false, the one before them unless the first member of a gang has failed, and then an
// empty checkpoint. The record of a finished job is [format, state], and [format, state, false] if only a
// cancel of it was read. The record of a job with parts has a format of its own and lists no tasks.
std::string cell_model::encodeProgress(const job_run& job) const
{
    record_writer out;
    size_t fields = !job.isOver() ? 5 : job.submitted ? 2 : 3;
    bool split = isSplit(job);
    out.array(fields).number(split ? splitProgressFormat : progressFormat);
    out.number(static_cast<int>(job.state));
    if (job.isOver())
        return job.submitted ? out.take() : out.flag(false).take();
    auto unfinished = std::count_if(job.liveOccurrences.begin(), job.liveOccurrences.end(),
        [](const auto& entry) { return entry.second->remainingSteps > 0; });
    out.number(job.nextOccurrence).array(static_cast<size_t>(unfinished));
    for (const auto& [number, occurrence] : job.liveOccurrences) {
        if (occurrence->remainingSteps > 0)
            writeOccurrence(out, *occurrence, !split);
    }
    return out.flag(job.started).take();
}

bool cell_model::isSplit(const job_run& job) const
{
    if (job.isOver())
        return false;
    int64_t tasks = 0;
    for (const step_spec& spec : job.record.spec.steps)
        tasks += spec.count;
    return tasks > settings.tasksPerRecord;
}

// Format: [format, occurrence, step, [task, ...]]. Parts without progress are left out. The key is the job's
// id and the number of the part, counted from 1 over all steps of all occurrences.
std::vector<progress_record> cell_model::encodeParts(const job_run& job) const
{
    std::vector<progress_record> out;
    if (!isSplit(job))
        return out;
    int64_t partsOfOccurrence = 0;
    for (const step_spec& spec : job.record.spec.steps)
        partsOfOccurrence += partsOf(spec, settings);
    for (const auto& [number, occurrence] : job.liveOccurrences) {
        int64_t firstPart = 1 + number * partsOfOccurrence;
        for (const step_run& step : occurrence->steps) {
            int parts = partsOf(*step.spec, settings);
            int size = tasksPerPart(*step.spec, settings);
            bool counts = occurrence->remainingSteps > 0 && step.open;
            for (int part = 0; part < parts && counts; part++) {
                int begin = part * size;
                int end = std::min(begin + size, step.spec->count);
                if (std::none_of(step.tasks.begin() + begin, step.tasks.begin() + end, hasProgress))
                    continue;
                record_writer record;
                record.array(4).number(partFormat).number(number).number(step.number);
                writeTasks(record, step, begin, end);
                out.push_back({ job.id + partSeparator + std::to_string(firstPart + part), record.take() });
            }
            firstPart += parts;
        }
    }
    return out;
}

// Parts that have not changed since they were written last are not written again.
void cell_model::writeProgress(write_batch& batch, job_run& job)
{
    std::map<std::string, uint64_t> before = std::exchange(job.recordedParts, {});
    for (progress_record& part : encodeParts(job)) {
        uint64_t hash = stableHash(part.bytes);
        auto written = before.find(part.key);
        bool changed = written == before.end() || written->second != hash;
        if (written != before.end())
            before.erase(written);
        job.recordedParts.emplace(part.key, hash);
        if (changed)
            batch.records.push_back(std::move(part));
    }
    batch.records.push_back({ job.id, encodeProgress(job) });
    for (const auto& [key, hash] : before)
        batch.records.push_back({ key, {} });
}

bool cell::isPartKey(std::string_view key)
{
    return !isIncarnationKey(key) && key.find(partSeparator) != std::string_view::npos;
}

void cell_model::restorePart(const std::string& key, std::string_view bytes)
{
    restoredParts[key.substr(0, key.find(partSeparator))].push_back({ key, std::string(bytes) });
}

// A leader that was lost while it wrote has left parts of jobs that are over or unknown.
void cell_model::dropUnusedParts()
{
    std::erase_if(restoredParts, [this](const auto& entry) {
        auto found = jobs.find(entry.first);
        job_run* job = found == jobs.end() ? nullptr : found->second.get();
        if (job && (job->progressUnreadable || (!job->isOver() && !job->hasRecord)))
            return false;
        for (const progress_record& part : entry.second) {
            if (job && !job->isOver())
                job->recordedParts.emplace(part.key, 0);
            else
                obsoleteParts.push_back(part.key);
        }
        return true;
    });
}

void cell::restoreProgress(const std::string& key, std::string_view bytes)
{
    if (isIncarnationKey(key))
        m_model->restoreIncarnation(key.substr(std::string_view(incarnationKeyPrefix).size()), bytes);
    else if (isPartKey(key))
        m_model->restorePart(key, bytes);
    else
        m_model->restoreProgress(key, bytes);
}

void cell_model::restoreProgress(const job_id& id, std::string_view bytes)
{
    auto& slot = jobs[id];
    if (!slot) {
        slot = std::make_unique<job_run>();
        slot->id = id;
    }
    slot->hasProgress = true;
    slot->submitted = true;
    json row = json::from_cbor(bytes, true, false);
    auto state = readState(row);
    if (!state) {
        setProgressUnreadable(*slot, "format or state");
        return;
    }
    if (*state >= job_state::completed) {
        slot->submitted = readSubmitted(row);
        slot->state = slot->durableState = *state;
        slot->finishedAt = now;
        retain(*slot);
        return;
    }
    slot->unappliedProgress = bytes;
}

// A record that cannot be read was damaged or has a newer format. The job counts as failed, since its tasks
// might otherwise run twice, and its records are kept for a leader that can read them.
void cell_model::setProgressUnreadable(job_run& job, std::string_view error)
{
    log(log_line("progress_unreadable").add("job", job.id).add("error", error));
    job.progressUnreadable = true;
    job.state = job.durableState = job_state::failed;
    job.finishedAt = now;
    for (auto& [number, occurrence] : job.liveOccurrences) {
        for (step_run& step : occurrence->steps) {
            for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
                auto& attempts = step.tasks[static_cast<size_t>(i)].attempts;
                while (!attempts.empty())
                    removeAttempt(step, i, *attempts.back().worker, attempts.back().number);
            }
        }
    }
    job.liveOccurrences.clear();
}

void cell_model::applyProgress(job_run& job, std::string_view bytes)
{
    try {
        json row = json::from_cbor(bytes, true, false);
        std::set<std::pair<int64_t, int>> openSteps;
        for (const auto& occurrenceEntry : row.at(3)) {
            int64_t number = openOccurrence(job, occurrenceEntry.at(0)).number;
            for (const auto& stepEntry : occurrenceEntry.at(1))
                openSteps.emplace(number, stepEntry.at(0).get<int>());
        }
        applyParts(job, openSteps);
        for (const auto& occurrenceEntry : row.at(3)) {
            occurrence_run& occurrence = openOccurrence(job, occurrenceEntry.at(0));
            for (const auto& stepEntry : occurrenceEntry.at(1)) {
                step_run& step = occurrence.steps.at(stepEntry.at(0).get<size_t>());
                for (const auto& taskEntry : stepEntry.at(1))
                    applyTask(step, taskEntry);
            }
            occurrence.remainingSteps = static_cast<int>(std::count_if(occurrence.steps.begin(),
                occurrence.steps.end(), [](const auto& step) { return step.remainingTasks > 0; }));
        }
        job.nextOccurrence = row.at(2);
        // Records of an earlier version lack the flag. A task recorded there was started, or about to be.
        job.started |= row.size() > 4 ? row[4].get<bool>() : !row.at(3).empty();
    } catch (const std::exception& error) {
        setProgressUnreadable(job, error.what());
    }
}

void cell_model::applyParts(job_run& job, const std::set<std::pair<int64_t, int>>& openSteps)
{
    auto found = restoredParts.find(job.id);
    if (found == restoredParts.end())
        return;
    std::vector<progress_record> parts = std::move(found->second);
    restoredParts.erase(found);
    for (const progress_record& part : parts) {
        json row = json::from_cbor(part.bytes, true, false);
        if (row.is_discarded() || row.at(0).get<int>() != partFormat)
            throw std::runtime_error("format of part " + part.key);
        std::pair<int64_t, int> at { row.at(1).get<int64_t>(), row.at(2).get<int>() };
        bool counts = openSteps.contains(at);
        job.recordedParts.emplace(part.key, counts ? stableHash(part.bytes) : 0);
        if (!counts)
            continue;
        step_run& step = job.liveOccurrences.at(at.first)->steps.at(static_cast<size_t>(at.second));
        for (const auto& taskEntry : row.at(3))
            applyTask(step, taskEntry);
    }
}

// A task that an earlier version recorded in the job's first record may be in a part as well, which is newer
// and applied before.
void cell_model::applyTask(step_run& step, const json& entry)
{
    int index = entry.at(0);
    task_run& task = step.tasks.at(static_cast<size_t>(index));
    if (hasProgress(task))
        return;
    task.lastAttempt = entry.at(1);
    task.failures = entry.at(2);
    task.done = entry.at(3).get<int>() != 0;
    step.remainingTasks -= task.done;
    if (entry.size() > 5)
        task.checkpoint = entry.at(5);
    if (entry.size() > 6)
        task.lastFailedAttempt = entry.at(6);
    bool longLease = entry.size() > 7 && entry.at(7).get<bool>();
    bool confirmed = entry.size() > 8 && entry.at(8).get<bool>();
    const json& attemptList = entry.at(4);
    for (size_t i = 0; i + 1 < attemptList.size() && !hasFault(cell_fault::forget_restored); i += 2) {
        task_attempt& attempt = place(step, index, findOrAddWorker(attemptList[i + 1]), attemptList[i]);
        attempt.startSent = true;
        attempt.phase = attempt_phase::restored;
        if (confirmed)
            attempt.confirmedByStartedUnixMs = attempt.worker->recordedIncarnation.startedUnixMs;
        attempt.longLease |= longLease;
        attempt.worker->hasLongLeases |= longLease;
        attempt.worker->restoredLongLeases |= longLease;
        if (step.spec->gang)
            step.gangAttempt = attempt.number;
    }
    step.job->started |= task.done;
}

task_attempt* cell_model::findAttempt(const task_placement& placement)
{
    for (task_attempt& attempt : placement.step->tasks[static_cast<size_t>(placement.index)].attempts) {
        if (attempt.number == placement.attempt)
            return &attempt;
    }
    return nullptr;
}

// Removes the jobs whose retention is over, and adds the deletions of their progress records to the batch.
void cell_model::forgetJobs(write_batch& batch)
{
    std::vector<job_id> postponed;
    for (const job_id& id : jobsToDrop) {
        auto found = jobs.find(id);
        if (found == jobs.end())
            continue;
        job_run* job = found->second.get();
        if (!retentionIsOver(*job))
            continue; // Another record of it was read, which is to be deleted first.
        if (!job->liveOccurrences.empty()
            || std::find(writingJobs.begin(), writingJobs.end(), job) != writingJobs.end()) {
            postponed.push_back(id);
            continue;
        }
        std::erase(retiringJobs, job);
        log.rateLimited([&] {
            return log_line("job_forgotten")
                .add("id", id)
                .add("state", toString(job->state))
                .add("ended_ms_ago", now - job->finishedAt);
        });
        for (const auto& [key, hash] : job->recordedParts)
            batch.records.push_back({ key, {} });
        jobs.erase(found);
        batch.records.push_back({ id, {} });
    }
    jobsToDrop.swap(postponed);
}

std::optional<write_batch> cell_model::takeWrite()
{
    if (writeInFlight)
        return std::nullopt;
    releaseFinishedJobs();
    write_batch batch;
    for (const std::string& key : std::exchange(obsoleteParts, {}))
        batch.records.push_back({ key, {} });
    for (job_run* job : dirty) {
        job->dirty = false;
        writeProgress(batch, *job);
    }
    writingJobs.swap(dirty);
    dirty.clear();
    forgetJobs(batch);
    if (reachChanged || !batch.records.empty())
        recordIncarnations(batch);
    if (batch.records.empty()) {
        for (worker_state* worker : workers.all())
            worker->acknowledgedSequence = worker->processedSequence;
        return std::nullopt;
    }
    writingStarts.swap(plannedStarts);
    plannedStarts.clear();
    if (hasFault(cell_fault::start_without_record))
        sendRecordedStarts();
    writingCompletions.clear();
    for (worker_state* worker : workers.all()) {
        if (worker->processedSequence != worker->acknowledgedSequence)
            writingCompletions.emplace_back(worker, worker->processedSequence);
    }
    writeInFlight = true;
    return batch;
}

std::optional<write_batch> cell::takeWrite(ms now)
{
    m_model->now = now;
    return m_model->takeWrite();
}

void cell::onWritten(ms now)
{
    m_model->now = now;
    m_model->onWritten();
}

void cell_model::onWritten()
{
    CAMPHORWELL_INVARIANT(writeInFlight, "onWritten was called without an append in flight");
    writeInFlight = false;
    for (auto& [worker, number] : writingCompletions)
        worker->acknowledgedSequence
            = std::max(worker->acknowledgedSequence, std::min(number, worker->processedSequence));
    for (const worker_id& id : std::exchange(writingReached, {})) {
        worker_state* worker = workers.find(id);
        if (worker && worker->recordedIncarnation.unreachedSince == 0)
            worker->mayBeRecordedUnreached = false;
    }
    sendRecordedStarts();
    for (job_run* job : writingJobs) {
        // A job that changed after it was encoded is dirty again and part of the next append.
        if (job->isOver() && !job->dirty && job->durableState != job->state) {
            job->durableState = job->state;
            requestDeletion(*job);
            retain(*job);
            retiringJobs.push_back(job);
        }
    }
    writingJobs.clear();
}

void cell::onRecordRejected(const std::string& key, ms now)
{
    m_model->now = now;
    m_model->onRecordRejected(key);
}

// Completions stay unacknowledged until the next write, which records the failure of the job: a leader that
// takes over before then still sees them.
void cell_model::onRecordRejected(const std::string& key)
{
    CAMPHORWELL_INVARIANT(writeInFlight, "onRecordRejected was called without an append in flight");
    auto found = jobs.find(key.substr(0, key.find(partSeparator)));
    if (found == jobs.end())
        return;
    job_run& job = *found->second;
    std::erase(writingJobs, &job);
    writingCompletions.clear();
    if (!job.isOver())
        finishJob(job, job_state::failed);
}

// Whether a planned attempt can still be started on its worker. The members of a gang start together or not
// at all.
bool cell_model::startable(const task_placement& placement) const
{
    auto ready = [&](const task_run& task) {
        return std::all_of(task.attempts.begin(), task.attempts.end(), [&](const task_attempt& attempt) {
            return attempt.phase != attempt_phase::stopping
                && usableFor(*attempt.worker, *placement.step, task);
        });
    };
    const auto& tasks = placement.step->tasks;
    if (!mayStartTasks())
        return false;
    if (!placement.step->spec->gang)
        return ready(tasks[static_cast<size_t>(placement.index)]);
    return std::all_of(tasks.begin(), tasks.end(),
        [&](const task_run& task) { return !task.attempts.empty() && ready(task); });
}

// Sends the starts whose records are durable.
void cell_model::sendRecordedStarts()
{
    std::vector<task_placement> starts;
    starts.swap(writingStarts);
    for (const task_placement& placement : starts) {
        task_attempt* attempt = findAttempt(placement);
        if (!attempt)
            continue;
        worker_state& worker = *attempt->worker;
        ms lease = startLeaseEnd(worker);
        if (attempt->phase != attempt_phase::planned || !startable(placement)) {
            removeAttempt(*placement.step, placement.index, worker, placement.attempt);
            markDirty(*placement.step->job);
            requeue(*placement.step, placement.index);
            continue;
        }
        attempt->phase = attempt_phase::starting;
        attempt->startSent = true;
        attempt->percentChangedAt = now;
        worker.leaseUntilWorkerMs = std::max(worker.leaseUntilWorkerMs, lease);
        worker.leaseSentAt = now;
        actions.push_back(start_action { worker.info.id, placement.step->ref(placement.index),
            placement.attempt, placement.step->job->payload,
            placement.step->tasks[static_cast<size_t>(placement.index)].checkpoint, attempt->ticket, lease,
            worker.incarnation, leastClock(worker) });
    }
}

// Frees the memory of finished jobs that have no attempts left.
void cell_model::releaseFinishedJobs()
{
    if (!plannedStarts.empty())
        return;
    std::erase_if(retiringJobs, [](job_run* job) {
        for (const auto& [number, occurrence] : job->liveOccurrences) {
            for (const auto& step : occurrence->steps) {
                for (const auto& task : step.tasks) {
                    if (!task.attempts.empty())
                        return false;
                }
            }
        }
        job->liveOccurrences.clear();
        job->record.spec = {};
        job->payload.reset();
        return true;
    });
}

} // namespace camphorwell
