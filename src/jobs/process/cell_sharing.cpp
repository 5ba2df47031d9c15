// Fillers beside tasks that serve.
//
// A serving task reports the tail of its response times, half a second late and roughly. When one is over its
// target, the fillers on its worker are slowed at once, then more; when all are well under it, they are let
// go step by step. Fillers that have stood still for a while are evicted with their checkpoint, to run
// elsewhere. Answers the load of serving tasks whose own traffic swings while batch work fills what they
// leave.
#include "jobs/process/cell_model.h"

namespace camphorwell {

namespace {

    constexpr ms settleMs = 700; // A new pace shows in the figures after so long.
    constexpr ms calmMs = 2500; // No new fillers for so long after a serving task was over its target.
    constexpr ms pausedMs = 1200; // Fillers that stand still for so long are evicted.
    constexpr double calmShare = 0.7; // Of the target: below it fillers are let go.
    constexpr int slowStep = 25; // Percent.

    enum class tail { none, calm, near, over };

    tail tailOn(const worker_state& worker)
    {
        tail worst = tail::none;
        for (const placement& each : worker.placed) {
            ms target = each.step->spec->tailTargetMs;
            if (target <= 0)
                continue;
            for (const task_copy& copy : each.step->tasks[static_cast<size_t>(each.index)].copies) {
                if (copy.on != &worker || copy.run != each.run)
                    continue;
                tail here = copy.load > target                                                 ? tail::over
                    : static_cast<double>(copy.load) > calmShare * static_cast<double>(target) ? tail::near
                                                                                               : tail::calm;
                worst = std::max(worst, here);
            }
        }
        return worst;
    }

} // namespace

void cell_model::setPace(worker_state& worker, int percent)
{
    worker.fillerPace = percent;
    worker.pacedAt = now;
    worker.pausedSince = percent == 0 ? now : 0;
    int64_t fillers = 0;
    for (const placement& each : worker.placed) {
        if (!each.step->spec->filler)
            continue;
        task_copy* copy = findCopy(each);
        if (!copy || copy->phase != copy_phase::running)
            continue;
        copy->pace = percent;
        fillers++;
        actions.push_back(pace_action { worker.info.id, each.step->ref(each.index), each.run, percent });
    }
    log(log_line("fillers_paced")
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("tasks", fillers));
}

void cell_model::evictFillers(worker_state& worker)
{
    worker.fillerPace = 100;
    worker.pausedSince = 0;
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (copy)
            doom(*each.step, each.index, *copy, "disturbs_serving");
    }
}

void cell_model::share()
{
    for (auto& [id, held] : workers) {
        worker_state& worker = *held;
        if (!worker.adopted || worker.placed.empty())
            continue;
        if (worker.fillerCpu == 0) {
            worker.fillerPace = 100;
            worker.pausedSince = 0;
        }
        tail seen = tailOn(worker);
        if (seen == tail::over)
            worker.hotUntil = now + calmMs;
        if (worker.fillerCpu == 0 || now - worker.pacedAt < settleMs)
            continue;
        if (seen == tail::over && worker.fillerPace > 0)
            setPace(worker, worker.fillerPace > slowStep ? worker.fillerPace / 2 : 0);
        else if (worker.pausedSince != 0 && now - worker.pausedSince > pausedMs)
            evictFillers(worker);
        else if (seen <= tail::calm && worker.fillerPace < 100)
            setPace(worker, std::min(100, worker.fillerPace + slowStep));
    }
}

} // namespace camphorwell
