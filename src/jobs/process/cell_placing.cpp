// Order of work and choice of workers.
//
// Order: by the queue's priority, then by the time until which the job meets its objective, lasting tasks
// after the others of their priority, but for those that were at work and are due again. Jobs that have
// missed it come after those that still can, and those past three times the objective last. Answers the load
// of a full service: room goes to the work that still helps its caller.
//
// Lasting tasks that have not run yet leave quick work the room that it is about to need
// (short_task_reserve.h).
//
// Choice: lasting tasks go beside others of their image, which fillers disturb alike, at most about a third
// of a job together, so that the loss of a worker costs each job little. Among those, and for all others that
// book processors, the tightest fit is taken, which keeps large holes for large tasks. Fillers book no
// processors; they go where they can expect the most pace and the others leave most, and leave workers that
// suit many fillers to those that find few. Slow workers, racks far from the data and the worker where the
// task failed last come last.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr ms placeEveryMs = 15; // What comes within it is placed together;
    constexpr int64_t workersAMs
        = 8; // and longer, by a millisecond for so many workers, so that a pass stays cheap.
    constexpr ms orderEveryMs = 400; // Period in which deadlines that have passed change the order.
    constexpr double servingUse = 0.45; // Share of their booked processors that lasting tasks use.
    constexpr double fillerRoom = 0.9; // A filler needs this share of its processors left over.
    constexpr double paceWanted = 0.8; // A filler waits for a worker where it can expect this pace,
    constexpr double paceAccepted = 0.5; // after a while this,
    constexpr ms patienceMs = 1500;
    constexpr ms lastPatienceMs
        = 2000; // and at last whatever it can get: nothing that has room waits for longer.
    constexpr double suitedWeight = 25'000; // Thousandths of a core for a worker that suits every filler.
    constexpr double paceWeight = 60'000; // Thousandths of a core for the whole of a pace.
    // Weights in thousandths of a core: against copies of one job on a worker, and more than a part of them,
    // lasting tasks of other images, racks far from the data, slow workers, and the one where the task failed
    // last.
    constexpr double sameJobWeight = 2000;
    constexpr double togetherShare = 0.34;
    constexpr double togetherWeight = 1e5;
    constexpr double strangerWeight = 1e6;
    constexpr double farWeight = 1e7;
    constexpr double slowWeight = 5e7;
    constexpr double failedWeight = 1e8;
    constexpr double shunnedWeight = 1e9;
    constexpr ms adviceAgainMs = 500;
    constexpr ms shunYieldsMs = 1000; // A third of what a lasting task may be kept from room that there is.
    constexpr ms freshMs = 1500; // A worker must have answered so recently, beyond the wait of a look.

    // A size for which no worker of a service had room. For a filler the strain that its image adds counts
    // too, and how long it has waited: after a while it takes what it refused before.
    struct full_shape {
        const step_run* step = nullptr;
        const queue_policy* policy = nullptr;
        int patience = 0;

        bool covers(const step_run& other, const queue_policy& by, int patienceSpent) const
        {
            const step_spec* spec = step->spec;
            const step_spec& asked = *other.spec;
            return policy->service == by.service && spec->isBestEffort == asked.isBestEffort
                && spec->cpuMilli <= asked.cpuMilli && spec->memoryMb <= asked.memoryMb
                && spec->accelerators <= asked.accelerators
                && (!asked.isBestEffort || (step->image == other.image && patienceSpent <= patience));
        }
    };

    // How far the step that has waited longest has come: 0 at first, 1 after `patienceMs`, 2 at last.
    int patienceSpent(const step_run& step, ms now)
    {
        ms waited = 0;
        for (int index : step.waiting)
            waited = std::max(waited, now - step.tasks[static_cast<size_t>(index)].waitingSince);
        return (waited >= patienceMs) + (waited >= lastPatienceMs);
    }

    int copiesOn(const step_run& step, const worker_state& worker)
    {
        int count = 0;
        for (const placement& each : worker.placed)
            count += each.step == &step;
        return count;
    }

    // Lasting tasks of other images there.
    int strangersOn(const step_run& step, const worker_state& worker)
    {
        int count = 0;
        for (const placement& each : worker.placed)
            count += each.step->spec->isService && each.step->image != step.image;
        return count;
    }

} // namespace

// Whether anything can be started there now.
bool cell_model::usable(const worker_state& worker) const
{
    return worker.listed && worker.adopted && !worker.info.draining && worker.refusesUntil <= now
        && worker.failedLooks == 0 && worker.unknownRuns == 0
        && now - worker.answeredAt < settings.lookWaitMs + freshMs;
}

// A shunned worker is left to lasting tasks that have waited: nothing else has room for them, and they may
// fail as often as they like.
bool cell_model::usableFor(const worker_state& worker, const step_run& step, const task_run& task) const
{
    bool shunned = worker.shunnedUntil > now;
    return usable(worker) && (!shunned || (step.spec->isService && now - task.waitingSince >= shunYieldsMs));
}

// Whether the step may run there at all, room left aside, with so many members of its gang planned there.
bool cell_model::allowed(
    const step_run& step, const queue_policy& policy, const worker_state& worker, int members) const
{
    const step_spec& spec = *step.spec;
    if (policy.service != worker.info.service)
        return false;
    const auto& labels = worker.info.labels;
    if (!spec.requiredLabel.empty()
        && std::find(labels.begin(), labels.end(), spec.requiredLabel) == labels.end())
        return false;
    if (spec.maxPerWorker > 0 && copiesOn(step, worker) + members >= spec.maxPerWorker)
        return false;
    if (!policy.requiresAdvice)
        return true;
    auto found = step.tickets.find(worker.info.id);
    return found != step.tickets.end() && found->second.until > now;
}

// What held-back fillers do not use is left for others.
int64_t cell_model::leftForFillers(const worker_state& worker)
{
    auto unused = static_cast<int64_t>(static_cast<double>(worker.servingCpu) * (1 - servingUse));
    double inUse = worker.fillers.pacedShare() * static_cast<double>(worker.info.capacity.cpuMilli);
    return worker.info.capacity.cpuMilli - worker.booked.cpuMilli + unused - static_cast<int64_t>(inUse);
}

bool cell_model::hasLeftOver(const worker_state& worker, const step_spec& spec)
{
    return static_cast<double>(leftForFillers(worker)) >= static_cast<double>(spec.cpuMilli) * fillerRoom;
}

// Whether a filler finds processors left over there and gets on without disturbing a serving task.
bool cell_model::fillerFits(const worker_state& worker, const step_run& step, ms waited) const
{
    if (!hasLeftOver(worker, *step.spec))
        return false;
    if (roomy && waited >= lastPatienceMs)
        return true;
    return !overByFillers(worker)
        && expectedPace(worker, step) >= (waited >= patienceMs ? paceAccepted : paceWanted);
}

// The greater, the better the step's next task is placed there.
double cell_model::scoreOf(const step_run& step, const task_run& task, const worker_state& worker) const
{
    const step_spec& spec = *step.spec;
    double score = -static_cast<double>(worker.room().cpuMilli);
    if (spec.isBestEffort)
        score = static_cast<double>(leftForFillers(worker)) + paceWeight * expectedPace(worker, step)
            - suitedWeight * worker.suitedShare;
    if (spec.isService) {
        int copies = copiesOn(step, worker);
        score -= sameJobWeight * copies + strangerWeight * strangersOn(step, worker);
        if (copies >= std::max(1.0, togetherShare * spec.count))
            score -= togetherWeight;
    }
    if (!spec.preferredRack.empty() && spec.preferredRack != worker.info.rack)
        score -= farWeight;
    if (worker.slow)
        score -= slowWeight;
    if (worker.shunnedUntil > now)
        score -= shunnedWeight;
    if (task.failedOn == &worker)
        score -= failedWeight;
    return score;
}

// The worker's score for the task; nothing if it cannot be started there now.
std::optional<double> cell_model::rate(const step_run& step, const task_run& task, const queue_policy& policy,
    const worker_state& worker, int members) const
{
    const step_spec& spec = *step.spec;
    if (!usableFor(worker, step, task) || !(bookingOf(spec) * (members + 1)).fits(worker.room()))
        return std::nullopt;
    if (spec.isBestEffort && !fillerFits(worker, step, now - task.waitingSince))
        return std::nullopt;
    if (!allowed(step, policy, worker, members))
        return std::nullopt;
    return scoreOf(step, task, worker);
}

// The best worker for the next member of a gang; nothing when none has room beside the others.
worker_state* cell_model::chooseMember(
    const step_run& step, const task_run& task, const std::string* rack, const gang_plan& beside)
{
    const queue_policy* policy = policyOf(*step.job);
    worker_state* best = nullptr;
    double bestScore = 0;
    for (worker_state* each : workers.all()) {
        if (!policy || (rack && each->info.rack != *rack))
            continue;
        auto score = rate(step, task, *policy, *each, beside.on(*each));
        if (score && (!best || *score > bestScore)) {
            best = each;
            bestScore = *score;
        }
    }
    return best;
}

// Chooses workers for all members, in that rack only if one is given; nothing when one finds no room.
std::optional<gang_plan> cell_model::planGang(step_run& step, const std::string* rack)
{
    gang_plan plan;
    for (const task_run& task : step.tasks) {
        worker_state* worker = chooseMember(step, task, rack, plan);
        if (!worker)
            return std::nullopt;
        plan.workers.push_back(worker);
    }
    return plan;
}

bool cell_model::placeGang(step_run& step)
{
    uint32_t run = 0;
    for (const auto& task : step.tasks) {
        if (!task.copies.empty() || task.notBefore > now)
            return false;
        run = std::max(run, task.lastRun + 1);
    }
    std::set<std::string> racks;
    if (step.spec->sameRack) {
        for (const worker_state* worker : workers.all())
            racks.insert(worker->info.rack);
    }
    std::optional<gang_plan> plan;
    for (auto rack = racks.begin(); rack != racks.end() && !plan; ++rack)
        plan = planGang(step, &*rack);
    if (!plan)
        plan = planGang(step, nullptr);
    if (!plan)
        return false;
    step.gangRun = run;
    for (size_t i = 0; i < step.tasks.size(); i++)
        commit(step, static_cast<int>(i), *plan->workers[i], run);
    step.waiting.clear();
    return true;
}

// Books the worker, and has the start sent once its record is durable.
void cell_model::commit(step_run& step, int index, worker_state& worker, uint32_t run)
{
    task_run& task = step.tasks[static_cast<size_t>(index)];
    auto pace = static_cast<int64_t>(step.spec->isBestEffort ? 100 * expectedPace(worker, step) : 100);
    task.waiting = false;
    rooms[worker.info.service].spare -= bookingOf(*step.spec).cpuMilli;
    task_copy& copy = place(step, index, worker, run);
    if (auto found = step.tickets.find(worker.info.id); found != step.tickets.end())
        copy.ticket = found->second.value;
    planned.push_back({ &step, index, run });
    touch(*step.job);
    log.rateLimited([&] {
        return log_line("task_placed")
            .add("task", step.ref(index).str())
            .add("run", run)
            .add("worker", worker.info.id)
            .add("room_left", worker.room().cpuMilli)
            .add("look_age_ms", now - worker.answeredAt)
            .add("waited_ms", now - task.waitingSince)
            .add("image", step.spec->image)
            .add("pace_percent", pace);
    });
}

// All that lets the tasks of a step differ in the workers that they may have.
cell_model::task_group cell_model::groupOf(const step_run& step, const task_run& task) const
{
    ms waited = now - task.waitingSince;
    if (step.spec->isBestEffort)
        return { (waited >= patienceMs) + (waited >= lastPatienceMs), task.failedOn };
    return { step.spec->isService && waited >= shunYieldsMs, task.failedOn };
}

// The workers that can start a task of the step, the best first. A placement changes the score of its worker
// alone, so the rest of the step needs no further scan.
class cell_model::candidates {
public:
    candidates(cell_model& model, step_run& step, const queue_policy& policy)
        : m_model(model)
        , m_step(step)
        , m_policy(policy)
    {
    }

    worker_state* best(const task_run& task)
    {
        task_group group = m_model.groupOf(m_step, task);
        if (m_group != group)
            collect(group, task);
        while (!m_heap.empty()) {
            std::pop_heap(m_heap.begin(), m_heap.end(), worse);
            candidate top = m_heap.back();
            m_heap.pop_back();
            auto score = m_model.rate(m_step, task, m_policy, *top.worker, 0);
            if (score && *score == top.score)
                return top.worker;
            if (score)
                push({ *score, top.place, top.worker });
        }
        return nullptr;
    }

    // After a placement there.
    void again(worker_state& worker, const task_run& like)
    {
        if (auto score = m_model.rate(m_step, like, m_policy, worker, 0))
            push({ *score, worker.place, &worker });
    }

private:
    struct candidate {
        double score = 0;
        size_t place = 0; // Decides between equal scores.
        worker_state* worker = nullptr;
    };
    static bool worse(const candidate& a, const candidate& b)
    {
        return a.score != b.score ? a.score < b.score : a.place > b.place;
    }
    void push(const candidate& each)
    {
        m_heap.push_back(each);
        std::push_heap(m_heap.begin(), m_heap.end(), worse);
    }
    void collect(const task_group& group, const task_run& task)
    {
        m_group = group;
        m_heap.clear();
        for (worker_state* worker : m_model.workers.all()) {
            if (auto score = m_model.rate(m_step, task, m_policy, *worker, 0))
                m_heap.push_back({ *score, worker->place, worker });
        }
        std::make_heap(m_heap.begin(), m_heap.end(), worse);
    }

    cell_model& m_model;
    step_run& m_step;
    const queue_policy& m_policy;
    std::optional<task_group> m_group;
    std::vector<candidate> m_heap;
};

bool cell_model::placeStep(step_run& step)
{
    const queue_policy* policy = policyOf(*step.job);
    if (!policy)
        return true;
    if (policy->requiresAdvice)
        askAdvice(step);
    if (step.spec->isBestEffort)
        kindOf(step);
    if (step.spec->gang)
        return placeGang(step);
    std::vector<int> left;
    candidates workersFor(*this, step, *policy);
    bool full = false;
    for (int index : step.waiting) {
        task_run& task = step.tasks[static_cast<size_t>(index)];
        worker_state* worker = nullptr;
        if (task.notBefore <= now && !full && mayTakeRoom(step, task, *policy)) {
            worker = workersFor.best(task);
            full = !worker;
        }
        if (!worker) {
            left.push_back(index);
            continue;
        }
        commit(step, index, *worker, task.lastRun + 1);
        workersFor.again(*worker, task);
    }
    step.waiting.swap(left);
    return !full;
}

void cell_model::placeWaiting()
{
    ms pause = std::max<ms>(placeEveryMs, static_cast<ms>(workers.size()) / workersAMs);
    if (!begun || !mayGrant || now - placedAt < pause)
        return;
    placedAt = now;
    placeNeeded = false;
    if (now - orderedAt >= orderEveryMs) {
        orderedAt = now;
        std::set<std::pair<work_order, step_run*>> anew;
        for (auto& [order, step] : ready) {
            step->order = orderOf(*step);
            anew.insert({ step->order, step });
        }
        ready.swap(anew);
    }
    weighRooms();
    std::vector<full_shape> full;
    std::vector<step_run*> order;
    order.reserve(ready.size());
    for (const auto& [key, step] : ready)
        order.push_back(step);
    for (step_run* step : order) {
        const queue_policy* policy = policyOf(*step->job);
        int spent = step->spec->isBestEffort ? patienceSpent(*step, now) : 0;
        if (!policy || std::any_of(full.begin(), full.end(), [&](const full_shape& each) {
                return each.covers(*step, *policy, spent);
            }))
            continue;
        bool constrained = !step->spec->requiredLabel.empty() || step->spec->maxPerWorker > 0
            || step->spec->gang || policy->requiresAdvice;
        if (!placeStep(*step) && !constrained)
            full.push_back({ step, policy, spent });
        if (step->waiting.empty())
            unqueue(*step);
    }
}

// Asks which workers may run the step: those with most room that have no valid ticket yet.
void cell_model::askAdvice(step_run& step)
{
    if (step.adviceAsked || now < step.adviceAgainAt)
        return;
    int valid = 0;
    for (const auto& [id, held] : step.tickets)
        valid += held.until > now;
    if (valid >= static_cast<int>(std::min<size_t>(step.waiting.size(), 3)))
        return;
    std::vector<std::pair<int64_t, worker_id>> candidates;
    resources need = bookingOf(*step.spec);
    for (const worker_state* worker : workers.all()) {
        const worker_id& id = worker->info.id;
        if (usable(*worker) && worker->shunnedUntil <= now && need.fits(worker->room())
            && !step.adviceRefused.contains(id))
            candidates.emplace_back(-worker->room().cpuMilli, id);
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates.empty()) {
        step.adviceRefused.clear();
        step.adviceAgainAt = now + adviceAgainMs;
        return;
    }
    advice_action ask { step.ref(0), {} };
    for (const auto& [room, id] : candidates) {
        if (static_cast<int>(ask.workers.size()) < settings.advisedAtOnce)
            ask.workers.push_back(id);
    }
    step.adviceAsked = true;
    actions.push_back(std::move(ask));
}

void cell::onAdvice(
    const task_ref& ref, const std::vector<worker_id>& asked, const std::vector<advised_worker>& good, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    step_run* step = m.findStep(ref);
    if (!step)
        return;
    step->adviceAsked = false;
    const queue_policy* policy = m.policyOf(*step->job);
    ms valid = policy ? policy->adviceValidMs : 0;
    for (const auto& each : asked)
        step->adviceRefused.insert(each);
    for (const auto& each : good) {
        step->adviceRefused.erase(each.worker);
        step->tickets[each.worker] = { each.ticket, now + valid * 9 / 10 };
    }
    m.placeNeeded = true;
}

void cell::onAdviceFailed(const task_ref& ref, ms now)
{
    m_model->now = now;
    if (step_run* step = m_model->findStep(ref)) {
        step->adviceAsked = false;
        step->adviceAgainAt = now + adviceAgainMs;
    }
}

} // namespace camphorwell
