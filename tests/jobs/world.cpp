// See world.h.
#include "tests/jobs/world.h"

#include <algorithm>

namespace camphorwell::testing {

namespace {
    constexpr ms tickMs = 25;
    constexpr ms grantForMs = 3000;
    constexpr ms answerTimeoutMs = 1200;
    constexpr ms cancelMs = 3000; // From a cancel to the last start.
    constexpr ms restartMs = 2000; // A lasting task is at work again after so long.
    constexpr int64_t unixOrigin = 1'700'000'000'000;
    constexpr const char* quick = "quick";
    constexpr const char* batch = "batch";
} // namespace

struct world::owner {
    uint64_t token = 0;
    ms provedAt = 0;
    bool alive = true;
    bool atStore = true; // Hears from the store.
    size_t read = 0; // Of the accepted jobs.
    std::unique_ptr<cell> scheduler;
    std::optional<write_batch> writing;
};

world::world(world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_queues(std::make_shared<queue_table>())
{
    (*m_queues)[quick] = { quick, "service", 0, 3, 1.5, 250, false, 0 };
    (*m_queues)[batch] = { batch, "service", 2, 3, 2.0, 1000, false, 0 };
    for (int i = 0; i < settings.workers; i++) {
        worker_record record;
        record.id = "w" + std::to_string(i);
        record.address = "10.0.0." + std::to_string(i) + ":80";
        record.service = "service";
        record.rack = "r" + std::to_string(i / 3);
        record.labels = { i % 2 ? "a" : "b", record.rack };
        record.capacity = { 8000, 16000, 0, 0 };
        record.startedUnixMs = 1;
        double rate = 0.98 + 0.04 * static_cast<double>(pick(0, 100)) / 100;
        auto worker = std::make_unique<model_worker>(record, settings.guards, rate, m_history);
        worker->sizeOf = [this](const task_ref& task) { return sizeOf(task); };
        m_workers[record.id] = std::move(worker);
    }
}

world::~world() = default;

void world::after(ms delay, std::function<void()> what)
{
    m_events.push({ m_now + delay, m_order++, std::move(what) });
}

ms world::pick(ms least, ms most) { return std::uniform_int_distribution<ms>(least, most)(m_random); }
bool world::chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
void world::broken(std::string what) { m_broken.push_back(std::move(what)); }

const step_spec* world::sizeOf(const task_ref& task) const
{
    return &m_jobs.at(task.job).record.spec.steps.at(static_cast<size_t>(task.step));
}

job_record world::randomJob()
{
    job_record out;
    out.queue = chance(0.5) ? quick : batch;
    out.acceptedUnixMs = unixOrigin + m_now;
    out.spec.payload = "payload";
    auto steps = pick(1, 3);
    for (ms i = 0; i < steps; i++) {
        step_spec step;
        step.count = static_cast<int>(pick(1, 6));
        step.cpuMilli = pick(1, 6) * 500;
        step.memoryMb = pick(1, 8) * 256;
        step.estimateMs = pick(100, 3000);
        if (i > 0 && chance(0.8))
            step.dependsOn.push_back(static_cast<int>(i - 1));
        step.isBestEffort = out.queue == batch && chance(0.5);
        step.gang = !step.isBestEffort && step.count <= 4 && chance(0.15);
        step.maxPerWorker = !step.gang && chance(0.2) ? 2 : 0;
        if (chance(0.1))
            step.requiredLabel = "a";
        out.spec.steps.push_back(step);
    }
    if (chance(0.15)) {
        out.spec.steps.resize(1);
        out.spec.steps[0].isService = true;
        out.spec.steps[0].isBestEffort = out.spec.steps[0].gang = false;
        out.spec.steps[0].cpuMilli = 500;
    } else if (chance(0.1)) {
        out.spec.repeatCount = pick(2, 4);
        out.spec.startAtUnixMs = out.acceptedUnixMs + pick(0, 3000);
        out.spec.intervalMs = pick(500, 3000);
    }
    return out;
}

void world::submit()
{
    job_id id = "job" + std::to_string(m_jobs.size());
    m_jobs[id] = { randomJob(), m_now, std::nullopt, false };
    m_accepted.emplace_back(id, false);
    if (chance(0.15)) {
        after(pick(10, 6000), [this, id] {
            m_jobs[id].cancelledAt = m_now;
            m_accepted.emplace_back(id, true);
        });
    }
}

void world::takeOver()
{
    m_takeovers++;
    m_token++;
    auto fresh = std::make_shared<owner>();
    fresh->token = m_token;
    fresh->provedAt = m_now;
    cell_settings settings;
    settings.leaseMs = 5000;
    settings.priorGrantMs = grantForMs;
    settings.lookWaitMs = 200;
    settings.fault = m_settings.fault;
    fresh->scheduler
        = std::make_unique<cell>(settings, m_queues, [this, token = m_token](const log_line& line) {
              m_log.push_back(std::to_string(m_now) + " owner=" + std::to_string(token) + " " + line.str());
          });
    fresh->scheduler->setClock(m_now, unixOrigin + m_now);
    for (const auto& [id, bytes] : m_progress)
        fresh->scheduler->restoreProgress(id, bytes);
    m_owners.push_back(fresh);
    // Reading takes a while, in which the earlier owner goes on.
    after(pick(20, 300), [this, fresh] {
        if (!fresh->alive)
            return;
        for (; fresh->read < m_accepted.size(); fresh->read++) {
            const auto& [id, cancels] = m_accepted[fresh->read];
            if (cancels)
                fresh->scheduler->cancel(id);
            else
                fresh->scheduler->addJob(id, m_jobs.at(id).record);
        }
        for (const auto& [id, worker] : m_workers) {
            if (worker->up)
                fresh->scheduler->setWorker(worker->record, m_now);
        }
        fresh->scheduler->begin(m_now, unixOrigin + m_now);
        tickOwner(fresh);
    });
}

void world::tickOwner(const std::shared_ptr<owner>& by)
{
    if (!by->alive)
        return;
    if (by->scheduler->fenced()) {
        by->alive = false;
        return;
    }
    bool current = by->token == m_token && by->atStore && m_now >= m_storeDownUntil;
    if (current) {
        by->provedAt = m_now;
        for (; by->read < m_accepted.size(); by->read++) {
            const auto& [id, cancels] = m_accepted[by->read];
            if (cancels)
                by->scheduler->cancel(id);
            else
                by->scheduler->addJob(id, m_jobs.at(id).record);
        }
        for (const auto& [id, worker] : m_workers) {
            if (worker->up)
                by->scheduler->setWorker(worker->record, m_now);
            else
                by->scheduler->removeWorker(id, m_now);
        }
    }
    by->scheduler->setMayGrant(m_now - by->provedAt <= grantForMs);
    by->scheduler->tick(m_now, unixOrigin + m_now);
    pump(by);
    for (auto& [jobId, job] : m_jobs) {
        const job_id& id = jobId;
        auto state = by->scheduler->stateOf(id);
        if (!state || *state != job_state::completed || job.completedShown)
            continue;
        job.completedShown = true;
        for (size_t step = 0; step < job.record.spec.steps.size(); step++) {
            for (int index = 0; index < job.record.spec.steps[step].count; index++) {
                bool gang = job.record.spec.steps[step].gang;
                bool done = std::any_of(m_history.begin(), m_history.end(), [&](const seen_run& each) {
                    return each.task.job == id && each.task.step == static_cast<int>(step)
                        && (gang || each.task.index == index) && each.how == completion_kind::done
                        && each.endedAt;
                });
                if (!done)
                    broken("completed but not done: " + id + " step " + std::to_string(step));
            }
        }
    }
    after(tickMs, [this, by] { tickOwner(by); });
}

void world::pump(const std::shared_ptr<owner>& by)
{
    for (const action& each : by->scheduler->takeActions())
        perform(by, each);
    if (by->writing)
        return;
    by->writing = by->scheduler->takeWrite(m_now);
    if (by->writing)
        after(pick(2, 20), [this, by] { append(by); });
    for (const action& each : by->scheduler->takeActions())
        perform(by, each);
}

// An append is repeated until the store answers; a later owner's fence refuses it for good.
void world::append(const std::shared_ptr<owner>& by)
{
    if (!by->alive)
        return;
    if (!by->atStore || m_now < m_storeDownUntil) {
        after(150, [this, by] { append(by); });
        return;
    }
    if (by->token != m_token) {
        by->alive = false;
        return;
    }
    for (const auto& each : by->writing->records) {
        if (each.bytes.empty())
            m_progress.erase(each.job);
        else
            m_progress[each.job] = each.bytes;
    }
    after(pick(1, 30), [this, by] {
        if (!by->alive)
            return;
        by->writing.reset();
        by->scheduler->onWritten(m_now);
        pump(by);
    });
}

void world::call(const std::shared_ptr<owner>& by, const worker_id& id,
    std::function<order_outcome(model_worker&)> order, std::function<void(order_outcome)> answer)
{
    model_worker& worker = *m_workers.at(id);
    auto answered = std::make_shared<bool>(false);
    auto reply = [by, answer, answered](order_outcome outcome) {
        if (*answered || !by->alive)
            return;
        *answered = true;
        answer(outcome);
    };
    after(answerTimeoutMs, [this, by, reply] {
        reply(order_outcome::no_answer);
        pump(by);
    });
    bool calm = m_now > m_start + m_settings.trouble;
    bool late = !calm && chance(0.03);
    bool lost = !calm && chance(0.02);
    int64_t life = worker.record.startedUnixMs;
    after(late ? pick(2000, 12000) : pick(1, 8), [this, &worker, by, order, reply, late, lost, life] {
        // Whether an order may reach a later life is an open question (docs/QUESTIONS.md).
        if (!worker.up || !worker.reachable || worker.record.startedUnixMs != life)
            return;
        order_outcome outcome = order(worker);
        if (late || lost)
            return;
        after(pick(1, 8), [this, by, reply, outcome] {
            reply(outcome);
            if (by->alive)
                pump(by);
        });
    });
}

void world::perform(const std::shared_ptr<owner>& by, const action& what)
{
    if (const auto* order = std::get_if<start_action>(&what)) {
        ms work = sizeOf(order->task)->isService ? pick(8000, 60000) : pick(50, 2500);
        // Some jobs can never be done.
        bool fails = chance(0.05) || order->task.job.back() == '7';
        ms sentAt = m_now;
        call(
            by, order->worker,
            [this, by, order = *order, work, fails, sentAt](model_worker& worker) {
                size_t before = m_history.size();
                order_outcome outcome
                    = worker.start(order, fencingToken(by->token, order.incarnation), m_now, work, fails);
                if (m_history.size() > before) {
                    checkStart(order, *by, before);
                    const auto& job = m_jobs.at(order.task.job);
                    if (job.cancelledAt && sentAt > *job.cancelledAt + cancelMs && by->token == m_token
                        && by->atStore && m_now - sentAt < 1000)
                        broken("started after its cancel: " + order.task.str());
                }
                return outcome;
            },
            [this, by, order = *order](
                order_outcome outcome) { by->scheduler->onStarted(order, outcome, m_now); });
    } else if (const auto* order = std::get_if<stop_action>(&what)) {
        call(
            by, order->worker,
            [this, by, order = *order](model_worker& worker) {
                return worker.stop(order, fencingToken(by->token, order.incarnation), m_now);
            },
            [this, by, order = *order](
                order_outcome outcome) { by->scheduler->onStopped(order, outcome, m_now); });
    } else if (const auto* order = std::get_if<poll_action>(&what)) {
        auto report = std::make_shared<worker_report>();
        ms sentAt = m_now;
        call(
            by, order->worker,
            [this, by, order = *order, report](model_worker& worker) {
                return worker.look(order, fencingToken(by->token, order.incarnation), m_now, *report);
            },
            [this, by, order = *order, report, sentAt](order_outcome outcome) {
                if (outcome == order_outcome::done)
                    by->scheduler->onReport(order.worker, *report, sentAt, m_now);
                else
                    by->scheduler->onLookFailed(order, outcome, m_now);
            });
    }
}

void world::checkStart(const start_action& order, const owner& by, size_t before)
{
    const auto& job = m_jobs.at(order.task.job);
    const step_spec& step = *sizeOf(order.task);
    std::string name
        = order.task.str() + " run " + std::to_string(order.attempt) + " by " + std::to_string(by.token);
    int failures = 0;
    for (size_t i = 0; i < before; i++) {
        const seen_run& other = m_history[i];
        if (other.task != order.task)
            continue;
        if (!other.endedAt && m_workers.at(other.worker)->up)
            broken("runs twice at once: " + name);
        bool ended = other.endedAt && other.noted && !other.lapsedSince;
        if (ended && other.how == completion_kind::done && !step.isService)
            broken("started after it was done: " + name);
        failures += ended && other.how == completion_kind::failed;
    }
    if (!step.isService && failures >= m_queues->at(job.record.queue).maxAttempts)
        broken("started beyond its attempts: " + name);
    for (int each : step.dependsOn) {
        const step_spec& needed = job.record.spec.steps[static_cast<size_t>(each)];
        for (int index = 0; index < needed.count; index++) {
            bool done = std::any_of(m_history.begin(), m_history.end(), [&](const seen_run& other) {
                return other.task.job == order.task.job && other.task.occurrence == order.task.occurrence
                    && other.task.step == each && (needed.gang || other.task.index == index) && other.endedAt
                    && other.how == completion_kind::done;
            });
            if (!done) {
                broken("started before what it depends on: " + name);
                break;
            }
        }
    }
    if (job.record.spec.repeatCount > 0
        && unixOrigin + m_now
            < job.record.spec.startAtUnixMs + order.task.occurrence * job.record.spec.intervalMs)
        broken("started before its time: " + name);
    if (*order.payload != job.record.spec.payload)
        broken("started with another payload: " + name);
    const model_worker& worker = *m_workers.at(order.worker);
    if (worker.overCapacity)
        broken("over the worker's capacity: " + name);
    const auto& labels = worker.record.labels;
    if (!step.requiredLabel.empty()
        && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end())
        broken("on a worker without its label: " + name);
    int beside = 0;
    for (const seen_run& other : m_history)
        beside += !other.endedAt && other.worker == order.worker && other.task.job == order.task.job
            && other.task.step == order.task.step && other.task.occurrence == order.task.occurrence;
    if (step.maxPerWorker > 0 && beside > step.maxPerWorker)
        broken("too many of a step on a worker: " + name);
}

void world::trouble()
{
    auto any = [this] {
        auto at = m_workers.begin();
        std::advance(at, pick(0, static_cast<ms>(m_workers.size()) - 1));
        return at->second.get();
    };
    switch (pick(0, 5)) {
    case 0: { // A worker crashes, and comes back with another life.
        model_worker* worker = any();
        if (!worker->up)
            break;
        worker->crash(m_now);
        after(pick(500, 9000), [this, worker] { worker->revive(m_now); });
        break;
    }
    case 1: { // A worker is cut off and runs on.
        model_worker* worker = any();
        worker->reachable = false;
        after(pick(500, 10000), [worker] { worker->reachable = true; });
        break;
    }
    case 2: // The owner dies.
        m_owners.back()->alive = false;
        after(pick(50, 3000), [this] { takeOver(); });
        break;
    case 3: // The owner loses the store, goes on, and is replaced.
        m_owners.back()->atStore = false;
        after(pick(500, 3000), [this] { takeOver(); });
        break;
    case 4:
        m_storeDownUntil = m_now + pick(500, 5000);
        break;
    case 5: { // A worker leaves.
        model_worker* worker = any();
        if (!worker->up || worker->record.draining)
            break;
        worker->record.draining = true;
        after(pick(2500, 5000), [this, worker] {
            worker->crash(m_now);
            worker->record.draining = false;
            after(3000, [this, worker] { worker->revive(m_now); });
        });
        break;
    }
    }
}

std::vector<std::string> world::run()
{
    takeOver();
    ms end = m_settings.trouble;
    for (int i = 0; i < m_settings.jobs; i++)
        after(pick(0, end), [this] { submit(); });
    for (ms at = pick(500, 3000); at < end; at += pick(300, 4000))
        after(at, [this] { trouble(); });
    after(end, [this] {
        for (auto& [id, worker] : m_workers)
            worker->reachable = true;
    });
    ms last = m_start + m_settings.trouble + m_settings.calm;
    ms advanced = 0;
    while (!m_events.empty() && m_events.top().at <= last) {
        event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        if (m_now != advanced) {
            for (auto& [id, worker] : m_workers)
                worker->advance(m_now);
            advanced = m_now;
        }
        next.what();
    }
    checkEnd();
    return m_broken;
}

// After the calm, everything has finished or runs.
void world::checkEnd()
{
    const owner& last = *m_owners.back();
    if (!last.alive) {
        broken("no owner at the end");
        return;
    }
    for (const auto& [jobId, job] : m_jobs) {
        const job_id& id = jobId;
        auto state = last.scheduler->stateOf(id);
        if (!state) {
            broken("not known at the end: " + id);
            continue;
        }
        const auto& steps = job.record.spec.steps;
        if (job.cancelledAt) {
            bool runs = std::any_of(m_history.begin(), m_history.end(),
                [&](const seen_run& each) { return each.task.job == id && !each.endedAt; });
            if (runs)
                broken("cancelled and still runs: " + id);
        } else if (steps[0].isService) {
            for (int index = 0; index < steps[0].count; index++) {
                bool runs = std::any_of(m_history.begin(), m_history.end(), [&](const seen_run& each) {
                    return each.task.job == id && each.task.index == index
                        && (!each.endedAt || *each.endedAt > m_now - restartMs);
                });
                if (!runs)
                    broken("lasting task does not run: " + id + " " + std::to_string(index));
            }
        } else if (*state != job_state::completed && *state != job_state::failed) {
            broken("not finished: " + id + " is " + std::string(toString(*state)));
        } else if (*state == job_state::failed) {
            int failures = 0;
            for (const seen_run& each : m_history)
                failures += each.task.job == id && each.endedAt && each.how == completion_kind::failed;
            if (failures < m_queues->at(job.record.queue).maxAttempts)
                broken("failed without cause: " + id);
        }
    }
}

} // namespace camphorwell::testing
