// Records of progress and the write barrier. All changes since the last append go into the next one, one
// append is under way at a time, and what depends on it (starts, acknowledged ends, answers to callers)
// waits.
#include "jobs/process/cell_model.h"
#include "jobs/request/record_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {

    using nlohmann::json;
    constexpr int progressFormat = 1;

    void writeTask(record_writer& out, int index, const task_run& task)
    {
        out.array(task.checkpoint.empty() ? 5 : 6);
        out.number(index).number(task.lastRun).number(task.failures).number(task.done ? 1 : 0);
        out.array(2 * task.copies.size());
        for (const auto& each : task.copies)
            out.number(each.run).text(each.on->info.id);
        if (!task.checkpoint.empty())
            out.text(task.checkpoint);
    }

    void writeStep(record_writer& out, const step_run& step)
    {
        auto begun = std::count_if(
            step.tasks.begin(), step.tasks.end(), [](const task_run& each) { return each.lastRun > 0; });
        out.array(2).number(step.number).array(static_cast<size_t>(begun));
        for (int i = 0; i < static_cast<int>(step.tasks.size()); i++) {
            const task_run& task = step.tasks[static_cast<size_t>(i)];
            if (task.lastRun > 0)
                writeTask(out, i, task);
        }
    }

    void writeOccurrence(record_writer& out, const occurrence_run& live)
    {
        auto open = std::count_if(
            live.steps.begin(), live.steps.end(), [](const step_run& each) { return each.open; });
        out.array(2).number(live.number).array(static_cast<size_t>(open));
        for (const auto& step : live.steps) {
            if (step.open)
                writeStep(out, step);
        }
    }

} // namespace

// [format, state, next occurrence, [[occurrence, [[step, [[task, last run, failures, done, copies, ...]]]]]],
// started]
std::string cell_model::encodeProgress(const job_run& job) const
{
    record_writer out;
    out.array(job.over() ? 2 : 5).number(progressFormat).number(static_cast<int>(job.state));
    if (job.over())
        return out.take();
    auto left = std::count_if(
        job.live.begin(), job.live.end(), [](const auto& each) { return each.second->stepsLeft > 0; });
    out.number(job.nextOccurrence).array(static_cast<size_t>(left));
    for (const auto& [number, live] : job.live) {
        if (live->stepsLeft > 0)
            writeOccurrence(out, *live);
    }
    return out.flag(job.started).take();
}

void cell::restoreProgress(const job_id& id, std::string_view bytes)
{
    auto& held = m_model->jobs[id];
    if (!held) {
        held = std::make_unique<job_run>();
        held->id = id;
    }
    json row = json::from_cbor(bytes, true, false);
    if (!row.is_array() || row.size() < 2 || !row[1].is_number_integer()) {
        m_model->log(log_line("progress_unreadable").add("job", id));
        return;
    }
    auto state = static_cast<job_state>(row[1].get<int>());
    if (state >= job_state::completed) {
        held->state = held->durableState = state;
        m_model->finished.emplace_back(m_model->now, id);
        return;
    }
    held->restored = bytes;
}

void cell_model::applyProgress(job_run& job, std::string_view bytes)
{
    try {
        json row = json::from_cbor(bytes, true, false);
        for (const auto& occurrence : row.at(3)) {
            occurrence_run& live = openOccurrence(job, occurrence.at(0));
            for (const auto& stepEntry : occurrence.at(1)) {
                step_run& step = live.steps.at(stepEntry.at(0).get<size_t>());
                for (const auto& entry : stepEntry.at(1)) {
                    int index = entry.at(0);
                    task_run& task = step.tasks.at(static_cast<size_t>(index));
                    task.lastRun = entry.at(1);
                    task.failures = entry.at(2);
                    task.done = entry.at(3).get<int>() != 0;
                    step.undone -= task.done;
                    if (entry.size() > 5)
                        task.checkpoint = entry.at(5);
                    const json& copies = entry.at(4);
                    for (size_t i = 0; i + 1 < copies.size() && !has(cell_fault::forget_restored); i += 2) {
                        task_copy& restored = place(step, index, workerNamed(copies[i + 1]), copies[i]);
                        restored.ordered = true;
                        restored.phase = copy_phase::restored;
                        if (step.spec->gang)
                            step.gangRun = restored.run;
                    }
                    job.started |= task.done;
                }
            }
            live.stepsLeft = static_cast<int>(std::count_if(
                live.steps.begin(), live.steps.end(), [](const auto& each) { return each.undone > 0; }));
        }
        job.nextOccurrence = row.at(2);
        // Records of an earlier version do not tell: what was recorded was started there, but for moments.
        job.started |= row.size() > 4 ? row[4].get<bool>() : !row.at(3).empty();
    } catch (const std::exception& error) {
        // Written by this library under a fence, so this is a defect or a newer format: leave the job alone
        // rather than run a task twice.
        log(log_line("progress_unreadable").add("job", job.id).add("error", error.what()));
        job.state = job.durableState = job_state::failed;
    }
}

task_copy* cell_model::findCopy(const placement& at)
{
    for (task_copy& each : at.step->tasks[static_cast<size_t>(at.index)].copies) {
        if (each.run == at.run)
            return &each;
    }
    return nullptr;
}

std::optional<write_batch> cell_model::takeWrite()
{
    if (writeUnderWay)
        return std::nullopt;
    retire();
    if (dirty.empty() && toDrop.empty()) {
        for (worker_state* worker : workers.all())
            worker->acknowledged = worker->processed;
        return std::nullopt;
    }
    write_batch batch;
    for (job_run* job : dirty) {
        job->dirty = false;
        batch.records.push_back({ job->id, encodeProgress(*job) });
    }
    writingJobs.swap(dirty);
    dirty.clear();
    std::vector<job_id> kept;
    for (const job_id& id : toDrop) {
        auto found = jobs.find(id);
        if (found == jobs.end())
            continue;
        job_run* job = found->second.get();
        if (!job->live.empty()
            || std::find(writingJobs.begin(), writingJobs.end(), job) != writingJobs.end()) {
            kept.push_back(id);
            continue;
        }
        std::erase(retiring, job);
        jobs.erase(found);
        batch.records.push_back({ id, {} });
    }
    toDrop.swap(kept);
    writing.swap(planned);
    planned.clear();
    if (has(cell_fault::start_unrecorded))
        startWritten();
    writingEnds.clear();
    for (worker_state* worker : workers.all()) {
        if (worker->processed != worker->acknowledged)
            writingEnds.emplace_back(worker, worker->processed);
    }
    writeUnderWay = true;
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
    CAMPHORWELL_INVARIANT(writeUnderWay, "a write was confirmed that was not under way");
    writeUnderWay = false;
    for (auto& [worker, number] : writingEnds)
        worker->acknowledged = std::max(worker->acknowledged, std::min(number, worker->processed));
    startWritten();
    for (job_run* job : writingJobs) {
        // A change after the record was taken makes the job dirty again, and the next append tells of it.
        if (job->over() && !job->dirty && job->durableState != job->state) {
            job->durableState = job->state;
            actions.push_back(forget_job_action { job->id });
            retiring.push_back(job);
        }
    }
    writingJobs.clear();
}

// Whether what was planned can still be started there. The members of a gang start together or not at all.
bool cell_model::startable(const placement& at) const
{
    auto ready = [&](const task_run& task) {
        return std::all_of(task.copies.begin(), task.copies.end(), [&](const task_copy& each) {
            return each.phase != copy_phase::doomed && usableFor(*each.on, *at.step, task);
        });
    };
    const auto& tasks = at.step->tasks;
    if (!mayGrant)
        return false;
    if (!at.step->spec->gang)
        return ready(tasks[static_cast<size_t>(at.index)]);
    return std::all_of(tasks.begin(), tasks.end(),
        [&](const task_run& task) { return !task.copies.empty() && ready(task); });
}

// Orders the starts whose records are durable.
void cell_model::startWritten()
{
    std::vector<placement> starts;
    starts.swap(writing);
    for (const placement& each : starts) {
        task_copy* copy = findCopy(each);
        if (!copy)
            continue;
        worker_state& worker = *copy->on;
        ms lease = worker.workerNow(now) + settings.leaseMs;
        if (copy->phase != copy_phase::planned || !startable(each)) {
            removeCopy(*each.step, each.index, worker, each.run);
            touch(*each.step->job);
            requeue(*each.step, each.index);
            continue;
        }
        copy->phase = copy_phase::ordered;
        copy->ordered = true;
        copy->percentAt = now;
        worker.leaseUntilWorkerMs = std::max(worker.leaseUntilWorkerMs, lease);
        actions.push_back(start_action { worker.info.id, each.step->ref(each.index), each.run,
            each.step->job->payload, each.step->tasks[static_cast<size_t>(each.index)].checkpoint,
            copy->ticket, lease, worker.life });
    }
}

// Frees what a finished job held once nothing of it runs.
void cell_model::retire()
{
    if (!planned.empty())
        return;
    std::erase_if(retiring, [](job_run* job) {
        for (const auto& [number, live] : job->live) {
            for (const auto& step : live->steps) {
                for (const auto& task : step.tasks) {
                    if (!task.copies.empty())
                        return false;
                }
            }
        }
        job->live.clear();
        job->record.spec = {};
        job->payload.reset();
        return true;
    });
}

} // namespace camphorwell
