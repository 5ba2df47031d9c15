// Fillers beside tasks that serve.
//
// A serving task reports the tail of its response times, half a second late and roughly. When one is about to
// be over its target, the filler beside it that strains it most, by what has been learnt of their images, is
// slowed, by about as much as is too much. What fillers that came or changed their pace since the last figure
// will add is counted in. Fillers are let go again as far as all tails stay under their targets. A filler
// that has been slowed for a while is evicted with its checkpoint, to run where it disturbs less. Answers the
// load of serving tasks whose own traffic swings while batch work fills what they leave.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr ms sampleMs = 500; // The period of the workers' figures.
    constexpr ms figureLagMs = 900; // A change of fillers shows in the figures after so long.
    constexpr double slowWithin = 0.03; // Strain below the limit at which fillers are slowed.
    constexpr double slowTo = 0.10; // Strain below the limit to which they are slowed.
    constexpr double raiseTo = 0.08; // Strain below the limit up to which they are let go.
    constexpr ms evictAfterMs = 1500; // At a low pace for so long.
    constexpr int evictPercent = 34; // At or under this a pace is low.
    constexpr ms pauseAfterMs = 1000; // A serving task over its target for so long stops all fillers there.
    constexpr ms clearedMs = 1500; // Without fillers for so long, a tail is a serving task's own.
    constexpr ms weighEveryMs = 500;
    constexpr double harmlessPerCore = 0.02; // Strain of a core below which a filler suits a serving task.
    constexpr double burst = 1.3; // What a filler strains at times, against its mean.
    constexpr double harmless = 0.02; // Strain by a filler that is not worth slowing it for.
    constexpr int raiseStep = 50; // Percent at a time for a filler that disturbs.
    constexpr int firstPaceMost = 100; // A filler that disturbs starts at no more.
    constexpr int firstPaceLeast = 20; // A filler starts at no less.
    constexpr int paceStep = 10; // Paces are whole multiples of this.

    double coresOf(const step_spec& spec) { return static_cast<double>(spec.cpuMilli) / 1000; }

} // namespace

// Strain over the limit of the serving task that is worst off, below 0 when all are under their targets. With
// `added` cores of a filler more, only the serving tasks that it disturbs count.
double cell_model::excessStrain(const worker_state& worker, const std::string& filler, double added) const
{
    double worst = -1;
    for (const auto& serving : worker.serving) {
        double more = added > 0 ? burst * pressure.perCore(filler, serving.image) * added : 0;
        if (added > 0 && more < harmless)
            continue;
        for (const auto& [image, cores] : worker.unseenFillers)
            more += pressure.perCore(image, serving.image) * cores;
        worst = std::max(worst, serving.strain + more - pressure.limit(serving.image));
    }
    return worst;
}

void cell_model::sample(worker_state& worker)
{
    std::vector<interference::neighbour> beside;
    worker.serving.clear();
    worker.unseenFillers.clear();
    std::vector<std::pair<const step_spec*, double>> tails;
    for (const placement& each : worker.placed) {
        const step_spec& spec = *each.step->spec;
        task_copy* copy = findCopy(each);
        if (!copy || copy->phase == copy_phase::doomed)
            continue;
        if (spec.filler) {
            if (copy->changedAt + figureLagMs <= now)
                copy->figurePace = copy->pace;
            if (copy->figurePace > 0)
                beside.push_back({ spec.image, coresOf(spec) * copy->figurePace / 100 });
            if (copy->figurePace != copy->pace)
                worker.unseenFillers[spec.image] += coresOf(spec) * (copy->pace - copy->figurePace) / 100;
        } else if (spec.tailTargetMs > 0 && copy->load > 0) {
            tails.emplace_back(
                &spec, static_cast<double>(copy->load) / static_cast<double>(spec.tailTargetMs));
        }
    }
    bool settled = now - worker.fillersChangedAt >= sampleMs;
    for (const auto& [spec, ratio] : tails) {
        // Fillers that came or went since the last figure would be blamed or excused for nothing.
        if (settled)
            pressure.observe(spec->image, ratio, beside);
        worker.serving.push_back({ spec->image, pressure.strain(spec->image, ratio) });
    }
}

void cell_model::setPace(worker_state& worker, const placement& at, task_copy& copy, int percent)
{
    worker.unseenFillers[at.step->spec->image] += coresOf(*at.step->spec) * (percent - copy.pace) / 100;
    copy.pace = percent;
    copy.changedAt = now;
    worker.fillersChangedAt = now;
    if (percent > evictPercent)
        copy.slowSince = 0;
    else if (copy.slowSince == 0)
        copy.slowSince = now;
    actions.push_back(pace_action { worker.info.id, at.step->ref(at.index), at.run, percent, worker.life });
    log(log_line("filler_paced")
            .add("task", at.step->ref(at.index).str())
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("excess_percent", static_cast<int64_t>(100 * excessStrain(worker, {}, 0))));
}

// The pace at which a filler may start: one that disturbs the serving tasks there begins slowly.
int cell_model::firstPace(const worker_state& worker, const step_spec& spec) const
{
    if (excessStrain(worker, spec.image, coresOf(spec)) == -1)
        return 100;
    int percent = firstPaceMost;
    while (percent > firstPaceLeast
        && excessStrain(worker, spec.image, coresOf(spec) * percent / 100) > -raiseTo)
        percent -= paceStep;
    return percent;
}

void cell_model::slowStart(worker_state& worker, const placement& at, task_copy& copy)
{
    const step_spec& spec = *at.step->spec;
    if (!spec.filler || worker.servingCpu == 0)
        return;
    worker.unseenFillers[spec.image] -= coresOf(spec);
    int percent = firstPace(worker, spec);
    worker.unseenFillers[spec.image] += coresOf(spec);
    if (percent < copy.pace)
        setPace(worker, at, copy, percent);
}

// The last resort, before a serving task has been over its target for long: whatever fills beside it stands
// still until the figures tell who is to blame.
void cell_model::pauseFillers(worker_state& worker)
{
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (copy && copy->phase == copy_phase::running && copy->pace > 0)
            setPace(worker, each, *copy, 0);
    }
}

// How much of what wants to fill could run on each worker undisturbing. Workers that suit many are kept for
// those that suit few others.
void cell_model::weighWorkers()
{
    if (now - weighedAt < weighEveryMs)
        return;
    weighedAt = now;
    std::map<std::string, double> demand;
    double total = 0;
    auto add = [&](const step_spec& spec, double tasks) {
        if (!spec.filler)
            return;
        demand[spec.image] += coresOf(spec) * tasks;
        total += coresOf(spec) * tasks;
    };
    for (const auto& [order, step] : ready)
        add(*step->spec, static_cast<double>(step->waiting.size()));
    for (const auto& [id, worker] : workers) {
        for (const placement& each : worker->placed)
            add(*each.step->spec, 1);
    }
    for (auto& [id, worker] : workers) {
        double suits = 0;
        for (const auto& [image, cores] : demand) {
            bool disturbs = std::any_of(worker->serving.begin(), worker->serving.end(),
                [&](const auto& each) { return pressure.perCore(image, each.image) > harmlessPerCore; });
            suits += disturbs ? 0 : cores;
        }
        worker->suitedShare = total > 0 ? suits / total : 0;
    }
}

// Slows the fillers that strain most until the worst serving task is expected under its limit.
void cell_model::slowFillers(worker_state& worker)
{
    for (size_t tries = 0; tries < worker.placed.size() && excessStrain(worker, {}, 0) > -slowWithin;
         tries++) {
        const placement* worst = nullptr;
        task_copy* worstCopy = nullptr;
        double most = harmless;
        for (const placement& each : worker.placed) {
            task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
            if (!copy || copy->phase != copy_phase::running || copy->pace == 0)
                continue;
            for (const auto& serving : worker.serving) {
                double press = pressure.perCore(each.step->spec->image, serving.image)
                    * coresOf(*each.step->spec) * copy->pace / 100;
                bool over = serving.strain > pressure.limit(serving.image) - slowTo;
                if (over && press > most) {
                    most = press;
                    worst = &each;
                    worstCopy = copy;
                }
            }
        }
        if (!worst)
            return;
        double tooMuch = excessStrain(worker, {}, 0) + slowTo;
        int percent
            = static_cast<int>(worstCopy->pace * std::max(0.0, 1 - tooMuch / most)) / paceStep * paceStep;
        setPace(worker, *worst, *worstCopy, std::max(0, std::min(percent, worstCopy->pace - paceStep)));
    }
}

void cell_model::raiseFillers(worker_state& worker)
{
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running || copy->pace >= 100
            || now - copy->changedAt < sampleMs)
            continue;
        // One that disturbs is let go step by step, since what it strains changes within seconds.
        bool disturbs = excessStrain(worker, each.step->spec->image, coresOf(*each.step->spec)) > -1;
        int percent = disturbs ? std::min(100, copy->pace + raiseStep) : 100;
        while (percent > copy->pace
            && excessStrain(
                   worker, each.step->spec->image, coresOf(*each.step->spec) * (percent - copy->pace) / 100)
                > -raiseTo)
            percent -= paceStep;
        if (percent > copy->pace) {
            setPace(worker, each, *copy, percent);
        } else if (copy->slowSince != 0 && now - copy->slowSince > evictAfterMs) {
            doom(*each.step, each.index, *copy, "disturbs_serving");
            return;
        }
    }
}

// Whether a serving task there is over its target while fillers may be the cause.
bool cell_model::overByFillers(const worker_state& worker) const
{
    return worker.overSince != 0 && (worker.fillerCpu > 0 || now - worker.fillersChangedAt < clearedMs);
}

void cell_model::share()
{
    weighWorkers();
    for (auto& [id, held] : workers) {
        worker_state& worker = *held;
        if (!worker.adopted || worker.servingCpu == 0 || now - worker.sampledAt < sampleMs
            || worker.answeredAt <= worker.sampledAt)
            continue;
        worker.sampledAt = now;
        sample(worker);
        double excess = excessStrain(worker, {}, 0);
        if (excess <= 0)
            worker.overSince = 0;
        else if (worker.overSince == 0)
            worker.overSince = now;
        if (worker.fillerCpu == 0)
            continue;
        if (worker.overSince != 0 && now - worker.overSince > pauseAfterMs)
            pauseFillers(worker);
        else if (excess > -slowWithin)
            slowFillers(worker);
        else
            raiseFillers(worker);
    }
}

} // namespace camphorwell
