// Calls to the advice service, which says on which workers a step may run.
//
// The service handles the calls of an instance one after the other, and a call takes as long as the queue's
// policy says. The cell therefore has one call under way at a time. Steps wait for their turn here and not at
// the service, so that a call is made for a step that still waits, about workers that have capacity at that
// moment, under the present policy. The step that has waited longest is next, with a start for queues of
// higher priority.
//
// A call is given up only after the time that it takes and a margin. The service may still work on a call
// that was given up, or on one of an earlier leader on this machine, and may be slower than configured. So
// after each call that is given up, the next one gets twice the time, within a limit, and is about half as
// many workers.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr ms failureRetryMs = 500; // After a call that the service refused or that could not be sent.
    constexpr ms noCandidateRetryMs = 500; // For a step without a worker to ask about.
    // For a step whose tickets suffice: within this time a placement pass has used them, or they do not.
    constexpr ms placementWaitMs = 100;
    // Delays of the network and of this instance, on top of the time that a call takes at the service.
    constexpr ms callMarginMs = 1500;
    // Limit on the time that a call gets beyond that, since its connection may have gone silent.
    constexpr ms maxExtraMs = 10'000;
    constexpr int maxBackoff = 3;
    // A step waits this much longer for its turn for each level that its queue's priority is lower.
    constexpr ms priorityLevelMs = 5000;
    // Steps that are looked at for one call, which bounds the cost of a search.
    constexpr int maxStepsPerSearch = 8;
    // Time after which a worker that was not permitted may be asked about again. Answers about a step do not
    // change, but the service may have learnt of the worker late.
    constexpr ms refusalValidMs = 2000;
    constexpr double ticketUseShare = 0.9; // Share of a ticket's validity in which starts carry it.

} // namespace

// The last answer about the worker's present incarnation, if it is still valid.
const advice_answer* cell_model::validAdvice(const step_run& step, const worker_state& worker) const
{
    auto found = step.advice.find(worker.info.id);
    bool valid = found != step.advice.end() && found->second.incarnation == worker.incarnation
        && found->second.validUntil > now;
    return valid ? &found->second : nullptr;
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

// The step whose turn it is to ask, or null if none waits for advice.
step_run* cell_model::nextStepForAdvice() const
{
    step_run* next = nullptr;
    ms nextTurn = 0;
    for (const auto& [key, step] : readySteps) {
        const queue_policy* policy = policyOf(*step->job);
        if (!policy || !policy->requiresAdvice || now < step->nextAdviceAt || !firstStartableTask(*step))
            continue;
        const task_run& longest = step->tasks[static_cast<size_t>(step->waiting.front())];
        ms turn = std::max(longest.waitingSince, step->advisedAt) + policy->priority * priorityLevelMs;
        if (!next || turn < nextTurn) {
            next = step;
            nextTurn = turn;
        }
    }
    return next;
}

// Asks the advice service about the step whose turn it is, unless a call is under way.
void cell_model::requestAdvice()
{
    for (int i = 0; i < maxStepsPerSearch && !advice.call && now >= advice.notBefore; i++) {
        step_run* step = nextStepForAdvice();
        if (!step)
            return;
        askAbout(*step, *policyOf(*step->job));
    }
}

// Asks about workers on which a task of the step could be placed, unless those with tickets have room for all
// tasks that wait. Workers that the service has not answered about come first, and among them those of most
// free capacity, so that each one's turn comes however many are not permitted.
void cell_model::askAbout(step_run& step, const queue_policy& policy)
{
    const task_run& task = step.tasks[static_cast<size_t>(*firstStartableTask(step))];
    if (countPlacesWithTickets(step, task, policy) >= step.waiting.size()) {
        step.nextAdviceAt = now + placementWaitMs;
        return;
    }
    struct candidate {
        ms answeredAt = 0; // 0: never.
        int64_t negativeFreeCpu = 0; // The most free capacity comes first.
        const worker_state* worker = nullptr;
        auto key() const { return std::tie(answeredAt, negativeFreeCpu, worker->info.id); }
    };
    std::vector<candidate> candidates;
    resources need = reservationOf(*step.spec);
    for (const worker_state* worker : workers.all()) {
        if (!usableFor(*worker, step, task) || !need.fits(worker->freeCapacity())
            || !mayRunOn(step, policy, *worker, 0) || validAdvice(step, *worker))
            continue;
        auto last = step.advice.find(worker->info.id);
        candidates.push_back({ last == step.advice.end() ? 0 : last->second.answeredAt,
            -worker->freeCapacity().cpuMilli, worker });
    }
    if (candidates.empty()) {
        step.nextAdviceAt = now + noCandidateRetryMs;
        return;
    }
    auto limit = static_cast<size_t>(std::max(1, settings.workersPerAdvice >> advice.backoff));
    candidates = [&] {
        size_t count = std::min(candidates.size(), limit);
        auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(candidates.begin(), end, candidates.end(),
            [](const candidate& a, const candidate& b) { return a.key() < b.key(); });
        return std::vector<candidate>(candidates.begin(), end);
    }();
    advice_action request;
    request.step = step.ref(0);
    request.call = ++advice.lastCall;
    advice.call = advice_call {};
    for (const candidate& each : candidates) {
        request.workers.push_back(each.worker->info.id);
        advice.call->incarnations.push_back(each.worker->incarnation);
    }
    step.advisedAt = now;
    advice.call->request = request;
    advice.call->queue = policy.name;
    advice.call->sentAt = now;
    advice.call->expectedMs = policy.adviceCallMs(request.workers.size());
    log(log_line("advice_asked")
            .add("step", request.step.str())
            .add("call", static_cast<int64_t>(request.call))
            .add("workers", static_cast<int64_t>(request.workers.size()))
            .add("waited_ms", now - task.waitingSince)
            .add("expected_ms", advice.call->expectedMs)
            .add("allowed_ms", allowedAdviceMs()));
    actions.push_back(std::move(request));
}

// Time after which the call under way is given up.
ms cell_model::allowedAdviceMs() const
{
    ms usual = advice.call->expectedMs + callMarginMs;
    return usual + std::min(usual * ((1 << advice.backoff) - 1), maxExtraMs);
}

// A call that the service handles under new settings may take longer.
void cell_model::adjustAdviceCall()
{
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
    const advice_call& call, const std::vector<advised_worker>& advised, step_run& step) const
{
    const queue_policy* policy = policyOf(*step.job);
    ms validMs = policy ? static_cast<ms>(static_cast<double>(policy->adviceValidMs) * ticketUseShare) : 0;
    std::map<worker_id, const advised_worker*> permitted;
    for (const advised_worker& each : advised)
        permitted[each.worker] = &each;
    for (size_t i = 0; i < call.request.workers.size(); i++) {
        const worker_id& id = call.request.workers[i];
        auto found = permitted.find(id);
        // The answer is of the incarnation that was asked about, which may have ended since.
        if (found != permitted.end())
            step.advice[id] = { true, found->second->ticket, call.incarnations[i], now, now + validMs };
        else
            step.advice[id] = { false, {}, call.incarnations[i], now, now + refusalValidMs };
    }
}

void cell::onAdvice(const advice_action& request, const std::vector<advised_worker>& advised, ms now)
{
    cell_model& m = *m_model;
    m.now = now;
    if (!m.advice.call || m.advice.call->request.call != request.call)
        return;
    advice_call call = *m.advice.call;
    m.endAdviceCall("done", advised.size());
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
