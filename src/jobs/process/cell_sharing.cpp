// Fillers beside tasks that serve.
//
// A serving task reports the tail of its response times, half a second late and roughly. When one is over its
// target, the filler beside it that presses most on it, by what has been learnt of their images, is slowed,
// by about as much as is too much. Fillers are let go again as far as all tails stay under their targets. A
// filler that has been slowed for a while is evicted with its checkpoint, to run where it disturbs less.
// Answers the load of serving tasks whose own traffic swings while batch work fills what they leave.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <cmath>

namespace camphorwell {

namespace {

    constexpr ms sampleMs = 500; // The period of the workers' figures.
    constexpr double slowAt = 0.95; // Of the target: over it fillers are slowed.
    constexpr double slowTo = 0.75; // Fillers are slowed until the tail is expected there.
    constexpr double raiseTo = 0.85; // Fillers are let go as far as the tail is expected below.
    constexpr ms evictAfterMs = 1500; // At a low pace for so long.
    constexpr int evictPercent = 34; // At or under this a pace is low.
    constexpr int paceStep = 10; // Paces are whole multiples of this.

} // namespace

// The worst tail / target of the serving tasks there, with `added` cores of a filler more.
double cell_model::expectedTail(const worker_state& worker, const std::string& filler, double added) const
{
    double worst = 0;
    for (const auto& serving : worker.serving) {
        double press = filler.empty() ? 0 : pressure.perCore(filler, serving.image) * added;
        worst = std::max(worst, serving.ratio + press);
    }
    return worst;
}

void cell_model::sample(worker_state& worker)
{
    std::vector<interference::neighbour> beside;
    worker.serving.clear();
    for (const placement& each : worker.placed) {
        const step_spec& spec = *each.step->spec;
        const task_copy* copy = findCopy(each);
        if (!copy || copy->phase != copy_phase::running)
            continue;
        if (spec.filler) {
            double cores = static_cast<double>(copy->load > 0 ? copy->load : spec.cpuMilli) / 1000;
            beside.push_back({ spec.image, copy->pace == 0 ? 0 : cores });
        } else if (spec.tailTargetMs > 0 && copy->load > 0) {
            worker.serving.push_back(
                { spec.image, static_cast<double>(copy->load) / static_cast<double>(spec.tailTargetMs) });
        }
    }
    // Fillers that came or went since the last figure would be blamed or excused for nothing.
    if (now - worker.fillersChangedAt < sampleMs)
        return;
    for (const auto& each : worker.serving)
        pressure.observe(each.image, each.ratio, beside);
}

void cell_model::setPace(worker_state& worker, const placement& at, task_copy& copy, int percent)
{
    if (percent == copy.pace)
        return;
    copy.pace = percent;
    copy.pacedAt = now;
    worker.fillersChangedAt = now;
    if (percent > evictPercent)
        copy.slowSince = 0;
    else if (copy.slowSince == 0)
        copy.slowSince = now;
    actions.push_back(pace_action { worker.info.id, at.step->ref(at.index), at.run, percent });
    log(log_line("filler_paced")
            .add("task", at.step->ref(at.index).str())
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("tail_percent", static_cast<int64_t>(100 * expectedTail(worker, {}, 0))));
}

// Slows the filler that presses most on the serving tasks that are over.
void cell_model::slowFillers(worker_state& worker)
{
    const placement* worst = nullptr;
    task_copy* worstCopy = nullptr;
    double most = 0;
    double tooMuch = 0;
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running || copy->pace == 0)
            continue;
        double cores = static_cast<double>(each.step->spec->cpuMilli) / 1000 * copy->pace / 100;
        for (const auto& serving : worker.serving) {
            if (serving.ratio <= slowAt)
                continue;
            double press = pressure.perCore(each.step->spec->image, serving.image) * cores;
            if (press > most) {
                most = press;
                tooMuch = serving.ratio - slowTo;
                worst = &each;
                worstCopy = copy;
            }
        }
    }
    if (!worst)
        return;
    double kept = std::max(0.0, 1 - tooMuch / most);
    int percent = static_cast<int>(worstCopy->pace * kept) / paceStep * paceStep;
    setPace(worker, *worst, *worstCopy, std::min(percent, worstCopy->pace - paceStep));
}

void cell_model::raiseFillers(worker_state& worker)
{
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running || copy->pace >= 100)
            continue;
        double cores = static_cast<double>(each.step->spec->cpuMilli) / 1000;
        int percent = 100;
        while (percent > copy->pace
            && expectedTail(worker, each.step->spec->image, cores * (percent - copy->pace) / 100) > raiseTo)
            percent -= paceStep;
        if (percent > copy->pace) {
            setPace(worker, each, *copy, percent);
            return;
        }
        if (copy->slowSince != 0 && now - copy->slowSince > evictAfterMs) {
            doom(*each.step, each.index, *copy, "disturbs_serving");
            return;
        }
    }
}

void cell_model::share()
{
    for (auto& [id, held] : workers) {
        worker_state& worker = *held;
        if (!worker.adopted || worker.servingCpu == 0 || now - worker.sampledAt < sampleMs
            || worker.answeredAt <= worker.sampledAt)
            continue;
        worker.sampledAt = now;
        sample(worker);
        if (worker.fillerCpu == 0)
            continue;
        if (expectedTail(worker, {}, 0) > slowAt)
            slowFillers(worker);
        else
            raiseFillers(worker);
    }
}

} // namespace camphorwell
