// Calls to the advice service, which says on which workers a step may run.
//
// The service handles the calls of an instance one after the other, and a call takes as long as the queue's
// policy says. The cell therefore has one call under way at a time. Steps wait for their turn here and not at
// the service, so that a call is made for a step that still waits, about workers that have capacity at that
// moment, under the present policy. The step that has waited longest is next, with a start for queues of
// higher priority.
//
// What the service said about a worker holds for the worker's present life, longer than the ticket. Workers
// that may run the step come first in its next call, and those that may not come last and ever more rarely. A
// call is about as many workers as its step is likely to need, or as many as double its time if that is more,
// since all other steps wait meanwhile.
//
// A call is given up only after the time that it takes and a margin. The service may still work on a call
// that was given up, or on one of an earlier leader on this machine, and may be slower than configured. So
// after each call that is given up, the next one gets twice the time, within a limit, and is about half as
// many workers.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <cmath>

namespace camphorwell {

namespace {

    constexpr ms failureRetryMs = 500; // After a call that the service refused or that could not be sent.
    constexpr ms noCandidateRetryMs = 500; // At least, for a step without a worker to ask about.
    // For a step whose tickets suffice: within this time a placement pass has used them, or they do not.
    constexpr ms placementWaitMs = 100;
    // Delays of the network and of this instance, on top of the time that a call takes at the service.
    constexpr ms callMarginMs = 1500;
    // Limit on the time that a call gets beyond that, since its connection may have gone silent.
    constexpr ms maxExtraMs = 10'000;
    constexpr int maxBackoff = 3;
    // A step waits this much longer for its turn for each level that its queue's priority is lower.
    constexpr ms priorityLevelMs = 5000;
    // Bounds on the cost of a search: steps for which candidates are collected, and workers looked at for
    // them.
    constexpr size_t minStepsPerSearch = 8;
    constexpr size_t maxLooksPerSearch = 10'000;
    // Time after which a worker that was not permitted may be asked about again, doubled with each refusal.
    // Answers about a step do not change, but the service may have learnt of the worker late.
    constexpr ms minRefusalMs = 2000;
    constexpr ms maxRefusalMs = 32'000;
    constexpr double ticketUseShare = 0.9; // Share of a ticket's validity in which starts carry it.
    // A call is about enough workers for this many times the tasks that wait, as some may be taken meanwhile,
    // and for this many workers that are permitted.
    constexpr double placesPerTask = 1.5;
    constexpr double minPermittedWorkers = 2;
    constexpr double maxAnswersCounted = 300; // About workers of one queue; earlier ones count less and less.
    constexpr double serviceMaxShare = 0.34; // Share of a service step that one worker should take.

} // namespace

// The last answer about the worker's present incarnation.
const advice_answer* cell_model::lastAdvice(const step_run& step, const worker_state& worker)
{
    auto found = step.advice.find(worker.info.id);
    bool isPresent = found != step.advice.end() && found->second.incarnation == worker.incarnation;
    return isPresent ? &found->second : nullptr;
}

// The last answer about the worker's present incarnation, if it is still valid.
const advice_answer* cell_model::validAdvice(const step_run& step, const worker_state& worker) const
{
    const advice_answer* last = lastAdvice(step, worker);
    return last && last->validUntil > now ? last : nullptr;
}

// Number of tasks of the step, up to those that wait, that could be placed now on workers with tickets.
size_t cell_model::countPlacesWithTickets(
    const step_run& step, const task_run& task, const queue_policy& policy) const
{
    size_t places = 0;
    for (const auto& [id, answer] : step.advice) {
        const worker_state* worker = answer.permitted ? workers.find(id) : nullptr;
        for (int members = 0;
             worker && places < step.waiting.size() && scoreIfPlaceable(step, task, policy, *worker, members);
             members++)
            places++;
    }
    return places;
}

// The most that is free of each resource on any usable worker of a service with a label; the empty label is
// that of all workers.
std::map<std::string, std::map<std::string, resources>> cell_model::mostFree() const
{
    std::map<std::string, std::map<std::string, resources>> out;
    for (const worker_state* worker : workers.all()) {
        if (!usable(*worker))
            continue;
        resources free = worker->freeCapacity();
        std::map<std::string, resources>& ofService = out[worker->info.service];
        auto raise = [&](const std::string& label) {
            resources& most = ofService[label];
            most.cpuMilli = std::max(most.cpuMilli, free.cpuMilli);
            most.memoryMb = std::max(most.memoryMb, free.memoryMb);
            most.accelerators = std::max(most.accelerators, free.accelerators);
        };
        raise({});
        std::for_each(worker->info.labels.begin(), worker->info.labels.end(), raise);
    }
    return out;
}

// The steps that wait for advice and whose turn comes first, in order. Those for which no worker has room are
// left out: there may be any number of them, and none needs a call.
cell_model::advice_search cell_model::searchStepsForAdvice() const
{
    struct turn {
        ms at = 0;
        size_t position = 0; // In the dispatch order, which breaks ties.
        step_run* step = nullptr;
        auto key() const { return std::pair(at, position); }
    };
    auto room = mostFree();
    auto hasRoom = [this, &room](const step_spec& spec, const queue_policy& policy) {
        auto ofService = room.find(policy.service);
        if (ofService == room.end())
            return false;
        auto most = ofService->second.find(spec.requiredLabel);
        return most != ofService->second.end() && reservationOf(spec).fits(most->second);
    };
    std::vector<turn> turns;
    size_t waiting = 0;
    for (const auto& [dispatchKey, step] : readySteps) {
        const queue_policy* policy = policyOf(*step->job);
        if (!policy || !policy->requiresAdvice || !hasRoom(*step->spec, *policy))
            continue;
        waiting++;
        if (now < step->nextAdviceAt || !firstStartableTask(*step))
            continue;
        const task_run& longest = step->tasks[static_cast<size_t>(step->waiting.front())];
        ms waitsSince = std::max(longest.waitingSince, step->advisedAt);
        turns.push_back({ waitsSince + policy->priority * priorityLevelMs, turns.size(), step });
    }
    size_t atOnce = std::max(minStepsPerSearch, maxLooksPerSearch / std::max<size_t>(1, workers.size()));
    size_t count = std::min(turns.size(), atOnce);
    std::partial_sort(turns.begin(), turns.begin() + static_cast<std::ptrdiff_t>(count), turns.end(),
        [](const turn& a, const turn& b) { return a.key() < b.key(); });
    advice_search out;
    for (size_t i = 0; i < count; i++)
        out.steps.push_back(turns[i].step);
    // All steps are looked at before one without a candidate is looked at again.
    auto searches = static_cast<ms>(waiting / atOnce) + 1;
    out.retryMs = std::max(noCandidateRetryMs, 2 * searches * placingInterval());
    return out;
}

// Asks the advice service about the step whose turn it is, unless a call is under way.
void cell_model::requestAdvice()
{
    if (!advice.inUse || advice.call || now < advice.notBefore)
        return;
    advice_search search = searchStepsForAdvice();
    for (step_run* step : search.steps) {
        askAbout(*step, *policyOf(*step->job), search.retryMs);
        if (advice.call)
            return;
    }
}

// Candidates of a call are ordered by what is known of them.
enum class cell_model::candidate_rank : uint8_t { permitted, unknown, refused };

struct cell_model::advice_candidate {
    bool isFull = false; // It has capacity, but no processors left for a best-effort task.
    candidate_rank rank = candidate_rank::unknown;
    ms answeredAt = 0;
    int64_t negativeFreeCpu = 0; // The most free capacity comes first.
    const worker_state* worker = nullptr;
    double places = 0;
    auto key() const { return std::tie(isFull, rank, answeredAt, negativeFreeCpu, worker->info.id); }
};

// Number of tasks of the step that the worker could take now, capacity and limits considered. `isIdle`: see
// mustNotStayIdle().
double cell_model::placesOn(
    const step_run& step, const task_run& task, const worker_state& worker, bool isIdle) const
{
    const step_spec& spec = *step.spec;
    resources need = reservationOf(spec);
    resources free = worker.freeCapacity();
    if (spec.isBestEffort && !bestEffortFits(worker, step, now - task.waitingSince))
        return isIdle && !spec.gang && !overTargetFromBestEffort(worker) ? 1 : 0;
    auto places = static_cast<double>(step.waiting.size());
    auto limitBy = [&](int64_t available, int64_t needed) {
        if (needed > 0)
            places = std::min(places, static_cast<double>(available / needed));
    };
    limitBy(free.cpuMilli, need.cpuMilli);
    limitBy(free.memoryMb, need.memoryMb);
    limitBy(free.accelerators, need.accelerators);
    limitBy(spec.maxPerWorker, spec.maxPerWorker > 0 ? 1 : 0);
    return places;
}

// The first `limit` workers to ask about, in order; none while no task of the step could be placed on them.
// All members of a gang are placed at once, so its tickets must not expire before the answer.
std::vector<cell_model::advice_candidate> cell_model::adviceCandidates(
    const step_run& step, const task_run& task, const queue_policy& policy, size_t limit) const
{
    ms neededUntil = step.spec->gang ? now + policy.adviceCallMs(limit) : now;
    resources need = reservationOf(*step.spec);
    bool isIdle = mustNotStayIdle(step);
    double places = 0; // On workers that may be permitted.
    double newPlaces = 0; // On candidates.
    std::vector<advice_candidate> out;
    for (const worker_state* worker : workers.all()) {
        const advice_answer* valid = validAdvice(step, *worker);
        if ((valid && !valid->permitted) || !usableFor(*worker, step, task)
            || !need.fits(worker->freeCapacity()) || !mayRunOn(step, policy, *worker, 0))
            continue;
        double onWorker = placesOn(step, task, *worker, isIdle);
        places += onWorker;
        if (valid && valid->validUntil > neededUntil)
            continue;
        newPlaces += onWorker;
        const advice_answer* last = lastAdvice(step, *worker);
        candidate_rank rank = candidate_rank::unknown;
        if (last)
            rank = last->permitted ? candidate_rank::permitted : candidate_rank::refused;
        out.push_back({ onWorker == 0, rank, last ? last->answeredAt : 0, -worker->freeCapacity().cpuMilli,
            worker, onWorker });
    }
    if (newPlaces == 0 || (step.spec->gang && places < static_cast<double>(step.waiting.size())))
        return {};
    auto end = out.begin() + static_cast<std::ptrdiff_t>(std::min(out.size(), limit));
    std::partial_sort(out.begin(), end, out.end(),
        [](const advice_candidate& a, const advice_candidate& b) { return a.key() < b.key(); });
    out.erase(end, out.end());
    return out;
}

// Number of the candidates that a call should be about.
size_t cell_model::countWorthAsking(
    const std::vector<advice_candidate>& candidates, const step_run& step, const queue_policy& policy) const
{
    size_t cheapCount = candidates.size();
    if (policy.advicePerWorkerMs > 0)
        cheapCount = static_cast<size_t>(policy.adviceDecideMs / policy.advicePerWorkerMs);
    cheapCount = std::max<size_t>(1, cheapCount);
    double placesNeeded = placesPerTask * static_cast<double>(step.waiting.size());
    double usualChance = permittedShare(policy.name);
    const step_spec& spec = *step.spec;
    double mostOnWorker = spec.isService ? std::ceil(serviceMaxShare * spec.count) : placesNeeded;
    double places = 0;
    double permitted = 0;
    size_t count = 0;
    for (const advice_candidate& each : candidates) {
        bool suffices = places >= placesNeeded && permitted >= minPermittedWorkers;
        bool isRefused = each.rank == candidate_rank::refused;
        if (count >= cheapCount && (suffices || isRefused))
            break;
        double chance = isRefused ? 0 : usualChance;
        if (each.rank == candidate_rank::permitted)
            chance = 1;
        permitted += chance;
        places += chance * std::min(each.places, mostOnWorker);
        count++;
    }
    return count;
}

// Asks about workers on which a task of the step could be placed, unless those with tickets have room for all
// tasks that wait. Without such workers, the step is looked at again after `retryMs`.
void cell_model::askAbout(step_run& step, const queue_policy& policy, ms retryMs)
{
    const task_run& task = step.tasks[static_cast<size_t>(*firstStartableTask(step))];
    if (countPlacesWithTickets(step, task, policy) >= step.waiting.size()) {
        step.nextAdviceAt = now + placementWaitMs;
        return;
    }
    int maxWorkers = step.spec->gang ? settings.workersPerGangAdvice : settings.workersPerAdvice;
    auto limit = static_cast<size_t>(std::max(1, maxWorkers >> advice.backoff));
    std::vector<advice_candidate> candidates = adviceCandidates(step, task, policy, limit);
    if (candidates.empty()) {
        step.nextAdviceAt = now + retryMs;
        return;
    }
    candidates.resize(countWorthAsking(candidates, step, policy));
    advice_call call { { step.ref(0), {}, ++advice.lastCall }, {}, policy.name, now };
    for (const advice_candidate& each : candidates) {
        call.request.workers.push_back(each.worker->info.id);
        call.incarnations.push_back(each.worker->incarnation);
    }
    call.expectedMs = policy.adviceCallMs(candidates.size());
    step.advisedAt = now;
    advice.call = call;
    log(log_line("advice_asked")
            .add("step", call.request.step.str())
            .add("call", static_cast<int64_t>(call.request.call))
            .add("workers", static_cast<int64_t>(candidates.size()))
            .add("waited_ms", now - task.waitingSince)
            .add("expected_ms", call.expectedMs)
            .add("allowed_ms", allowedAdviceMs()));
    actions.push_back(std::move(call.request));
}

// Share of the queue's workers that the service has permitted, for a step of which nothing is known.
double cell_model::permittedShare(const std::string& queue) const
{
    auto found = advice.answers.find(queue);
    const advice_answers answers = found == advice.answers.end() ? advice_answers {} : found->second;
    return (answers.permitted + 1) / (answers.given + 4);
}

// Time after which the call under way is given up.
ms cell_model::allowedAdviceMs() const
{
    ms usual = advice.call->expectedMs + callMarginMs;
    return usual + std::min(usual * ((1 << advice.backoff) - 1), maxExtraMs);
}

// The service may handle the call under way by the new policies, and take longer.
void cell_model::applyAdvicePolicies()
{
    advice.inUse = std::any_of(
        queues->begin(), queues->end(), [](const auto& entry) { return entry.second.requiresAdvice; });
    if (!advice.call)
        return;
    auto found = queues->find(advice.call->queue);
    if (found != queues->end())
        advice.call->expectedMs = std::max(
            advice.call->expectedMs, found->second.adviceCallMs(advice.call->request.workers.size()));
}

// Gives up the call under way when it is overdue.
void cell_model::reviewAdviceCall()
{
    if (!advice.call || now - advice.call->sentAt <= allowedAdviceMs())
        return;
    actions.push_back(abandon_advice_action { advice.call->request.call });
    endAdviceCall("overdue", 0);
    advice.backoff = std::min(advice.backoff + 1, maxBackoff);
}

void cell_model::endAdviceCall(std::string_view outcome, size_t permitted)
{
    log(log_line("advice_answered")
            .add("step", advice.call->request.step.str())
            .add("call", static_cast<int64_t>(advice.call->request.call))
            .add("outcome", outcome)
            .add("permitted", static_cast<int64_t>(permitted))
            .add("took_ms", now - advice.call->sentAt)
            .add("expected_ms", advice.call->expectedMs));
    advice.call.reset();
}

void cell_model::storeAdvice(
    const advice_call& call, const std::vector<advised_worker>& advised, step_run& step)
{
    const queue_policy* policy = policyOf(*step.job);
    ms validMs = policy ? static_cast<ms>(static_cast<double>(policy->adviceValidMs) * ticketUseShare) : 0;
    std::map<worker_id, const advised_worker*> permitted;
    for (const advised_worker& each : advised)
        permitted[each.worker] = &each;
    advice_answers& answers = advice.answers[call.queue];
    for (size_t i = 0; i < call.request.workers.size(); i++) {
        const worker_id& id = call.request.workers[i];
        auto found = permitted.find(id);
        advice_answer& last = step.advice[id];
        answers.given++;
        answers.permitted += found != permitted.end();
        // The answer is of the incarnation that was asked about, which may have ended since.
        bool refusedAgain
            = !last.permitted && last.incarnation == call.incarnations[i] && last.answeredAt > 0;
        ms refusalMs = refusedAgain ? std::min(2 * last.refusalMs, maxRefusalMs) : minRefusalMs;
        if (found != permitted.end())
            last = { true, found->second->ticket, call.incarnations[i], now, now + validMs, 0 };
        else
            last = { false, {}, call.incarnations[i], now, now + refusalMs, refusalMs };
    }
    if (answers.given > maxAnswersCounted)
        answers = { answers.given / 2, answers.permitted / 2 };
}

void cell::onAdvice(const advice_action& request, const std::vector<advised_worker>& advised, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    if (!m.advice.call || m.advice.call->request.call != request.call)
        return;
    advice_call call = *m.advice.call;
    m.endAdviceCall("done", advised.size());
    // A service that took longer than it should is likely to take as long again.
    if (now - call.sentAt <= call.expectedMs + callMarginMs)
        m.advice.backoff = 0;
    if (step_run* step = m.findStep(request.step))
        m.storeAdvice(call, advised, *step);
    m.placingNeeded = true;
    if (m.begun && m.mayStartTasks())
        m.requestAdvice();
}

void cell::onAdviceFailed(const advice_action& request, std::string_view reason, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    if (!m.advice.call || m.advice.call->request.call != request.call)
        return;
    m.endAdviceCall(reason, 0);
    m.advice.notBefore = now + failureRetryMs;
}

} // namespace camphorwell
