// Fillers beside tasks that serve.
//
// A serving task reports the tail of its response times, half a second late and roughly. What the fillers
// that ran in that time added, by what has been learnt of their images, is taken off, and leaves the task's
// own load. With that and the fillers as they are now, the strain to come is expected: when a serving task is
// about to be over its target, the fillers that strain it most are slowed by as much as is too much, and they
// are let go again as far as all tails stay under their targets. A filler that has been slowed for a while is
// evicted with its checkpoint, to run where it disturbs less. Answers the load of serving tasks whose own
// traffic swings while batch work fills what they leave.
#include "jobs/process/cell_model.h"

#include <algorithm>

namespace camphorwell {

namespace {

    constexpr ms sampleMs = 500; // The span that the workers' figures tell of.
    constexpr ms historyMs = 1500; // Of what ran, kept for figures to come.
    constexpr double ownLoadRate = 0.6; // Weight of the newest figure in a serving task's own load.
    constexpr double ownLoadLeast = 0.05;
    constexpr double saturated = 0.97; // A strain at or over this says little about the own load.
    constexpr double slowWithin = 0.02; // Strain below the limit at which fillers are slowed.
    constexpr double slowTo = 0.06; // Strain below the limit to which they are slowed.
    constexpr double raiseTo = 0.07; // Strain below the limit up to which they are let go.
    constexpr ms evictAfterMs = 1500; // At a low pace for so long.
    constexpr int evictPercent = 34; // At or under this a pace is low.
    constexpr ms pauseAfterMs = 1000; // A serving task over its target for so long stops all fillers there.
    constexpr ms clearedMs = 1500; // Without fillers for so long, a tail is a serving task's own.
    constexpr ms weighEveryMs = 500;
    constexpr double suitsPerCore = 0.02; // Strain of a core below which a filler suits a serving task.
    constexpr double harmlessPerCore = 0.010; // Strain of a core for which a filler is not slowed.
    constexpr int firstPaceLeast = 20; // A filler starts at no less.
    constexpr int paceStep = 10; // Paces are whole multiples of this.

    double coresOf(const step_spec& spec) { return static_cast<double>(spec.cpuMilli) / 1000; }

    filler_history::key keyOf(const placement& at) { return { at.step, at.index, at.run }; }

} // namespace

double cell_model::pressOn(const std::string& serving, const worker_state& worker) const
{
    double sum = 0;
    for (const auto& [image, cores] : worker.fillers.current())
        sum += pressure.perCore(image, serving) * cores;
    return sum;
}

// Expected strain over the limit of the serving task that is worst off, below 0 when all are under their
// targets. With `added` cores of a filler more, only the serving tasks that it disturbs count.
double cell_model::excessStrain(const worker_state& worker, const std::string& filler, double added) const
{
    auto [cached, fresh] = worker.strainLines.try_emplace(filler);
    if (fresh) {
        for (const auto& serving : worker.serving) {
            double perCore = filler.empty() ? 0 : pressure.perCore(filler, serving.image);
            if (!filler.empty() && perCore < harmlessPerCore)
                continue;
            double expected = serving.ownLoad + pressOn(serving.image, worker);
            cached->second.push_back({ expected - pressure.limit(serving.image), perCore });
        }
    }
    double worst = -1;
    for (const strain_line& each : cached->second)
        worst = std::max(worst, each.atNone + each.perCore * added);
    return worst;
}

void cell_model::sample(worker_state& worker)
{
    worker.serving.clear();
    worker.strainLines.clear();
    worker.fillers.forgetBefore(now - historyMs);
    auto beside = worker.fillers.between(worker.answeredAt - sampleMs, worker.answeredAt);
    bool over = false;
    for (const placement& each : worker.placed) {
        const step_spec& spec = *each.step->spec;
        task_copy* copy = spec.tailTargetMs > 0 ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running || copy->load <= 0)
            continue;
        double ratio = static_cast<double>(copy->load) / static_cast<double>(spec.tailTargetMs);
        over |= ratio > 1;
        pressure.observe(spec.image, ratio, beside);
        double strain = pressure.strain(spec.image, ratio);
        double own = strain;
        for (const auto& filler : beside)
            own -= pressure.perCore(filler.image, spec.image) * filler.cores;
        own = std::max(own, ownLoadLeast);
        if (copy->ownLoad < 0)
            copy->ownLoad = own;
        else if (strain < saturated || own < copy->ownLoad)
            copy->ownLoad += ownLoadRate * (own - copy->ownLoad);
        worker.serving.push_back({ spec.image, copy->ownLoad });
    }
    if (!over)
        worker.overSince = 0;
    else if (worker.overSince == 0)
        worker.overSince = now;
}

void cell_model::setPace(worker_state& worker, const placement& at, task_copy& copy, int percent)
{
    worker.fillers.pace(keyOf(at), percent, now + settings.paceMs);
    worker.strainLines.clear();
    copy.pace = percent;
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

// A filler that disturbs the serving tasks there starts at the pace that is expected to fit.
void cell_model::startPaced(worker_state& worker, const placement& at, task_copy& copy)
{
    const step_spec& spec = *at.step->spec;
    if (!spec.filler || worker.serving.empty())
        return;
    worker.fillers.pace(keyOf(at), 0, now);
    worker.strainLines.clear();
    int percent = 100;
    while (percent > firstPaceLeast
        && excessStrain(worker, spec.image, coresOf(spec) * percent / 100) > -raiseTo)
        percent -= paceStep;
    worker.fillers.pace(keyOf(at), 100, now);
    worker.strainLines.clear();
    if (percent < 100)
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
        for (const auto& wanted : demand) {
            const std::string& image = wanted.first;
            bool disturbs = std::any_of(worker->serving.begin(), worker->serving.end(),
                [&](const auto& each) { return pressure.perCore(image, each.image) > suitsPerCore; });
            suits += disturbs ? 0 : wanted.second;
        }
        worker->suitedShare = total > 0 ? suits / total : 0;
    }
}

// Slows the fillers that strain most until the worst serving task is expected under its limit.
void cell_model::slowFillers(worker_state& worker)
{
    for (size_t tries = 0; tries < worker.placed.size(); tries++) {
        double excess = excessStrain(worker, {}, 0);
        if (excess <= -slowTo)
            return;
        const placement* worst = nullptr;
        task_copy* worstCopy = nullptr;
        double worstPerCore = harmlessPerCore;
        for (const placement& each : worker.placed) {
            task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
            if (!copy || copy->phase != copy_phase::running || copy->pace == 0)
                continue;
            for (const auto& serving : worker.serving) {
                double over
                    = serving.ownLoad + pressOn(serving.image, worker) - pressure.limit(serving.image);
                double perCore = pressure.perCore(each.step->spec->image, serving.image);
                if (over > -slowTo && perCore > worstPerCore) {
                    worstPerCore = perCore;
                    worst = &each;
                    worstCopy = copy;
                }
            }
        }
        if (!worst)
            return;
        double most = worstPerCore * coresOf(*worst->step->spec) * worstCopy->pace / 100;
        double kept = std::max(0.0, 1 - (excess + slowTo) / most);
        int percent = static_cast<int>(worstCopy->pace * kept) / paceStep * paceStep;
        setPace(worker, *worst, *worstCopy, std::max(0, std::min(percent, worstCopy->pace - paceStep)));
    }
}

void cell_model::raiseFillers(worker_state& worker)
{
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->filler ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running || copy->pace >= 100)
            continue;
        int percent = 100;
        double cores = coresOf(*each.step->spec);
        while (percent > copy->pace
            && excessStrain(worker, each.step->spec->image, cores * (percent - copy->pace) / 100) > -raiseTo)
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
        bool fresh
            = worker.adopted && now - worker.sampledAt >= sampleMs && worker.answeredAt > worker.sampledAt;
        if (!fresh || (worker.servingCpu == 0 && worker.fillerCpu == 0))
            continue;
        worker.sampledAt = now;
        sample(worker);
        if (worker.fillerCpu == 0)
            continue;
        if (worker.overSince != 0 && now - worker.overSince > pauseAfterMs)
            pauseFillers(worker);
        else if (excessStrain(worker, {}, 0) > -slowWithin)
            slowFillers(worker);
        else
            raiseFillers(worker);
    }
}

} // namespace camphorwell
