// Fillers beside tasks that serve.
//
// A serving task reports the tail of its response times, half a second late and roughly. What the fillers
// that ran in that time added, by what has been learnt of their images, is taken off, and leaves the task's
// own load. Own loads are forecast (load_forecast.h). With the forecast, each worker's fillers that disturb
// are given as much pace as its serving tasks bear in the half second to come, those first whose work is due
// first; and a filler is placed where it can expect the most pace over the seconds to come. A filler that is
// held back while another worker would bear it is evicted with its checkpoint. Answers the load of
// serving tasks whose own traffic swings while batch work fills what they leave.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace camphorwell {

namespace {

    constexpr ms sampleMs = 500; // The span that the workers' figures tell of.
    constexpr ms historyMs = 1500; // Of what ran, kept for figures to come.
    constexpr ms maxSampleGapMs = 1200; // Between figures that are compared.
    // Standard deviations of what a strain rises by from one figure to the next, fillers apart, with a
    // wave and with a line.
    constexpr double riseNoise = 0.08;
    constexpr double riseNoiseUnforecast = 0.12;
    constexpr double saturatedUtilisation = 0.95; // A strain at or over this says little about the own load.
    constexpr double interferenceUncertainty
        = 8; // How much less an own load is sure for each unit of strain by fillers.
    constexpr double errorWeight = 0.5; // Weight of the newest error of a forecast.
    constexpr double errorRetentionSoon = 0.6; // Of that error, half a second later,
    constexpr double errorRetentionLater = 0.3; // and over the seconds to come.
    // Strain that is kept free below a serving task's limit: about 1.3 standard deviations of the forecast.
    // 0.05 missed targets twice as long; 0.13 let fillers do no less.
    constexpr double utilisationMargin = 0.11;
    // A filler of at most this pressure on a serving task is not held back. Measured pairs are under 0.3 or
    // over 0.8.
    constexpr double harmlessInterference = 0.45;
    constexpr int64_t sizeClassCpuMilli = 500; // Thousandths of a core.
    constexpr ms evictAfterMs = 250; // At a low pace for so long: half a figure of a worker.
    constexpr ms evictionCheckIntervalMs
        = 250; // A worker's fillers are compared with other workers at most so often.
    constexpr int lowPacePercent = 70; // At or under this a pace is low.
    constexpr double evictBelowPace = 0.7; // Expected pace under which a filler leaves,
    constexpr double minTargetPace = 0.8; // when another worker promises this.
    constexpr ms pauseAfterMs = 1000; // A serving task over its target for so long stops all fillers there.
    constexpr ms interferenceClearMs = 1500; // Without fillers for so long, a tail is a serving task's own.
    constexpr int paceStepPercent = 10; // Paces are whole multiples of this.
    constexpr ms fitIntervalMs = 500;
    constexpr ms compatibilityIntervalMs = 500;
    constexpr double lightLoadShare
        = 0.5; // Of the processors spoken for, under which nothing waits for a better place.
    constexpr ms periodSearchIntervalMs = 2000; // Until a period is sure; then five times as long.
    constexpr double maxPeriodChange = 0.15; // Of two searches, for a period to be used: the error of a
                                             // search over little more than one swing.
    constexpr double stablePeriodChange = 0.02; // Of two searches, for a period that is sought less often.

    double coresOf(const step_spec& spec) { return static_cast<double>(spec.cpuMilli) / 1000; }

    // By how much the shares are greater than `kept` of what they were.
    std::vector<interference::neighbour> changesOf(const std::vector<interference::neighbour>& before,
        const std::vector<interference::neighbour>& after, double retention)
    {
        std::vector<interference::neighbour> out = after;
        for (const auto& entry : before)
            out.push_back({ entry.image, -retention * entry.share });
        return out;
    }

    filler_history::key keyOf(const task_placement& placement)
    {
        return { placement.step, placement.index, placement.run };
    }

} // namespace

// Whether the newest figure of a serving task tells of a time in which it was at work all along. Before, it
// tells of its start, and all that its users add from then on would be taken for what fillers do.
bool cell_model::hasSteadyTail(const task_attempt& attempt) const
{
    return attempt.phase == attempt_phase::running && attempt.load > 0 && attempt.percent >= 100
        && now - attempt.percentChangedAt > sampleMs;
}

// The own load to come, `ahead` from now.
double cell_model::baseLoadForecast(const serving_sample& serving, ms ahead, double errorRetention) const
{
    return serving.wave.at(now + ahead + unixOffset, loadPeriodMs) + errorRetention * serving.forecastError;
}

// What strain each serving task there has left, and what all that disturb it want at full pace.
void cell_model::computeBudgets(const worker_state& worker) const
{
    for (const auto& serving : worker.servingSamples) {
        utilisation_budget budget { interferenceModel.limit(serving.image) - utilisationMargin, 0 };
        for (const auto& [image, share] : worker.bestEffortHistory.unpaced()) {
            double coefficient = interferenceModel.pressure(image, serving.image);
            if (coefficient <= harmlessInterference)
                budget.free -= coefficient * share;
            else
                budget.wanted += coefficient * share;
        }
        worker.budgets.push_back(budget);
    }
}

int cell_model::bestEffortClassOf(step_run& step)
{
    if (step.bestEffortClass < 0) {
        int64_t sizeClass = (step.spec->cpuMilli + sizeClassCpuMilli - 1) / sizeClassCpuMilli;
        auto next = static_cast<int>(bestEffortClasses.size());
        step.bestEffortClass = bestEffortClasses.try_emplace({ step.image, sizeClass }, next).first->second;
    }
    return step.bestEffortClass;
}

// The pace that a filler can expect over the seconds to come, were every filler there let go as far as the
// serving tasks bear; 1 where it disturbs none. Fillers of about the same size are taken for the same.
double cell_model::expectedPace(const worker_state& worker, const step_run& step) const
{
    if (worker.servingSamples.empty() || step.bestEffortClass < 0)
        return 1;
    auto index = static_cast<size_t>(step.bestEffortClass);
    if (worker.expectedPaces.size() <= index)
        worker.expectedPaces.resize(bestEffortClasses.size(), -1);
    float& cached = worker.expectedPaces[index];
    if (cached >= 0)
        return cached;
    if (worker.budgets.empty())
        computeBudgets(worker);
    double share = worker.shareOf(*step.spec);
    std::array<double, paceForecastSteps> paces;
    paces.fill(1);
    for (size_t i = 0; i < worker.servingSamples.size(); i++) {
        double coefficient = interferenceModel.pressure(step.image, worker.servingSamples[i].image);
        if (coefficient <= harmlessInterference)
            continue;
        double wanted = worker.budgets[i].wanted + coefficient * share;
        for (size_t k = 0; k < paces.size(); k++) {
            double free = worker.budgets[i].free - worker.servingSamples[i].baseLoads[k];
            paces[k] = std::min(paces[k], std::max(0.0, free / wanted));
        }
    }
    cached = static_cast<float>(std::accumulate(paces.begin(), paces.end(), 0.0) / paceForecastSteps);
    return cached;
}

void cell_model::sampleWorker(worker_state& worker)
{
    worker.servingSamples.clear();
    worker.clearPaceCache();
    worker.bestEffortHistory.forgetBefore(now - historyMs);
    best_effort_usage usage;
    usage.at = worker.reportedAt;
    usage.shares = worker.bestEffortHistory.between(worker.reportedAt - sampleMs, worker.reportedAt);
    usage.previousAt = worker.reportedAt - worker.lastSharesAt <= maxSampleGapMs ? worker.lastSharesAt : 0;
    usage.changes = changesOf(worker.lastShares, usage.shares, errorRetentionSoon);
    bool overTarget = false;
    for (const task_placement& placement : worker.placements) {
        const step_spec& spec = *placement.step->spec;
        task_attempt* attempt = spec.tailTargetMs > 0 ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase == attempt_phase::stopping)
            continue;
        if (hasSteadyTail(*attempt)) {
            double ratio = static_cast<double>(attempt->load) / static_cast<double>(spec.tailTargetMs);
            overTarget |= ratio > 1;
            learnFromTail(*placement.step, *attempt, ratio, usage);
        }
        serving_sample sample { placement.step->image, placement.step->wave, attempt->forecastError, {} };
        if (!placement.step->baseLoads)
            sample.wave.level = interferenceModel.ownLoad(placement.step->image);
        for (int i = 0; i < paceForecastSteps; i++)
            sample.baseLoads[static_cast<size_t>(i)]
                = baseLoadForecast(sample, i * sampleMs + sampleMs / 2, errorRetentionLater);
        worker.servingSamples.push_back(sample);
    }
    worker.lastSharesAt = usage.at;
    worker.lastShares = std::move(usage.shares);
    if (!overTarget)
        worker.overTargetSince = 0;
    else if (worker.overTargetSince == 0)
        worker.overTargetSince = now;
}

// Learns from the tail of one serving task what the fillers beside it do, and what its users do.
void cell_model::learnFromTail(
    step_run& step, task_attempt& attempt, double ratio, const best_effort_usage& usage)
{
    image_id image = step.image;
    if (!step.baseLoads)
        step.baseLoads = std::make_unique<load_history>();
    int64_t at = usage.at + unixOffset - sampleMs / 2;
    double expected = step.wave.at(at, loadPeriodMs);
    interferenceModel.noteTail(image, ratio);
    double utilisation = interferenceModel.strain(image, ratio);
    // A tail beyond measure only says that own load and fillers together are too much.
    bool measured = utilisation < saturatedUtilisation;
    double excess = utilisation - expected;
    if (measured && usage.previousAt != 0 && attempt.excessAt == usage.previousAt)
        interferenceModel.learn(image, excess - errorRetentionSoon * attempt.excess, usage.changes,
            loadPeriodMs > 0 ? riseNoise : riseNoiseUnforecast);
    attempt.excess = excess;
    attempt.excessAt = measured ? usage.at : 0;
    double bestEffortPart = 0;
    for (const auto& entry : usage.shares)
        bestEffortPart += interferenceModel.pressure(entry.image, image) * entry.share;
    double baseLoad = std::max(0.0, utilisation - bestEffortPart);
    if (measured || baseLoad < expected) {
        step.baseLoads->observe(at, baseLoad, 1 / (1 + interferenceUncertainty * bestEffortPart));
        interferenceModel.noteOwnLoad(image, baseLoad);
        attempt.forecastError += errorWeight * (baseLoad - expected - attempt.forecastError);
    }
    if (now - step.fittedAt >= fitIntervalMs) {
        step.fittedAt = now;
        step.wave = step.baseLoads->fit(loadPeriodMs, interferenceModel.ownLoad(image));
    }
}

// Finds the period that the own loads have in common.
void cell_model::updateLoadPeriod()
{
    if (now - periodSearchedAt < (periodStable ? 5 * periodSearchIntervalMs : periodSearchIntervalMs))
        return;
    periodSearchedAt = now;
    std::vector<step_run*> steps;
    std::vector<const load_history*> histories;
    double typical = 0;
    for (const auto& [id, job] : jobs) {
        for (const auto& [number, occurrence] : job->liveOccurrences) {
            for (step_run& step : occurrence->steps) {
                if (!step.baseLoads)
                    continue;
                steps.push_back(&step);
                histories.push_back(step.baseLoads.get());
                typical += interferenceModel.ownLoad(step.image);
            }
        }
    }
    auto found = histories.empty() ? std::nullopt
                                   : commonPeriod(histories, typical / static_cast<double>(histories.size()));
    // Two searches must agree, since early figures hold little but what fillers did.
    double previous = std::exchange(lastPeriodFoundMs, found.value_or(0));
    double change = found ? std::abs(*found - previous) / *found : 1;
    periodStable = change < stablePeriodChange;
    if (change >= maxPeriodChange || *found == loadPeriodMs)
        return;
    loadPeriodMs = *found;
    // A wave tells nothing under another period.
    for (step_run* step : steps)
        step->wave = step->baseLoads->fit(loadPeriodMs, interferenceModel.ownLoad(step->image));
    log(log_line("swing_period")
            .add("period_ms", static_cast<int64_t>(loadPeriodMs))
            .add("histories", static_cast<int64_t>(histories.size())));
}

// How much of what wants to fill could run on each worker undisturbing. Workers that suit many are kept for
// those that suit few others.
void cell_model::updateCompatibility()
{
    if (now - compatibilityUpdatedAt < compatibilityIntervalMs)
        return;
    compatibilityUpdatedAt = now;
    interferenceModel.settle();
    std::map<image_id, double> demand;
    double totalDemand = 0;
    int64_t totalCpu = 0;
    int64_t reservedCpu = 0;
    auto add = [&](const step_run& step, double tasks) {
        if (!step.spec->filler)
            return;
        double cores = coresOf(*step.spec) * tasks;
        demand[step.image] += cores;
        totalDemand += cores;
    };
    for (const auto& [key, step] : readySteps)
        add(*step, static_cast<double>(step->waiting.size()));
    for (const worker_state* worker : workers.all()) {
        for (const task_placement& placement : worker->placements)
            add(*placement.step, 1);
        totalCpu += worker->info.capacity.cpuMilli;
        reservedCpu += worker->reserved.cpuMilli + worker->bestEffortCpu;
    }
    lightlyLoaded = static_cast<double>(reservedCpu) < lightLoadShare * static_cast<double>(totalCpu);
    for (worker_state* worker : workers.all()) {
        double compatible = 0;
        for (const auto& [image, cores] : demand) {
            bool interferes = std::any_of(worker->servingSamples.begin(), worker->servingSamples.end(),
                [&, &bestEffortImage = image](const auto& sample) {
                    return interferenceModel.pressure(bestEffortImage, sample.image) > harmlessInterference;
                });
            compatible += interferes ? 0 : cores;
        }
        worker->compatibleShare = totalDemand > 0 ? compatible / totalDemand : 0;
    }
}

void cell_model::setPace(
    worker_state& worker, const task_placement& placement, task_attempt& attempt, int percent, double free)
{
    worker.bestEffortHistory.pace(keyOf(placement), percent, now + settings.paceDelayMs);
    worker.clearPaceCache();
    attempt.pace = percent;
    if (percent > lowPacePercent)
        attempt.lowPaceSince = 0;
    else if (attempt.lowPaceSince == 0)
        attempt.lowPaceSince = now;
    actions.push_back(pace_action {
        worker.info.id, placement.step->ref(placement.index), placement.run, percent, worker.life });
    log.often([&] {
        return log_line("filler_paced")
            .add("task", placement.step->ref(placement.index).str())
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("free_percent", static_cast<int64_t>(100 * free))
            .add("figures_age_ms", now - worker.sampledAt);
    });
}

// The last resort, before a serving task has been over its target for long: whatever fills beside it stands
// still until the figures tell who is to blame.
void cell_model::pauseBestEffort(worker_state& worker)
{
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = placement.step->spec->filler ? findAttempt(placement) : nullptr;
        if (attempt && attempt->phase == attempt_phase::running && attempt->pace > 0)
            setPace(worker, placement, *attempt, 0, 0);
    }
}

// The fillers that run there, those first whose work is due first.
std::vector<running_best_effort> cell_model::bestEffortTasksOn(worker_state& worker) const
{
    std::vector<running_best_effort> out;
    for (const task_placement& placement : worker.placements) {
        const step_spec& spec = *placement.step->spec;
        task_attempt* attempt = spec.filler ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase != attempt_phase::running)
            continue;
        running_best_effort task { placement, attempt, {}, false };
        for (const auto& serving : worker.servingSamples) {
            double coefficient = interferenceModel.pressure(placement.step->image, serving.image);
            task.utilisations.push_back(coefficient * worker.shareOf(spec));
            task.interferes |= coefficient > harmlessInterference;
        }
        out.push_back(std::move(task));
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
        return a.placement.step->dispatchKey < b.placement.step->dispatchKey;
    });
    return out;
}

// Strain that each serving task there can still bear until the next figures.
std::vector<double> cell_model::freeUtilisation(const worker_state& worker) const
{
    std::vector<double> out;
    for (const auto& serving : worker.servingSamples) {
        double baseLoad = std::max(baseLoadForecast(serving, settings.paceDelayMs, errorRetentionSoon),
            baseLoadForecast(serving, settings.paceDelayMs + sampleMs, errorRetentionSoon));
        out.push_back(interferenceModel.limit(serving.image) - utilisationMargin - baseLoad);
    }
    return out;
}

// Gives the fillers the pace that the serving tasks bear until the next figures.
void cell_model::paceBestEffort(worker_state& worker)
{
    std::vector<running_best_effort> tasks = bestEffortTasksOn(worker);
    std::vector<double> free = freeUtilisation(worker);
    // Of the serving task that is worst off; 1 where there is none.
    double minFree
        = std::accumulate(free.begin(), free.end(), 1.0, [](double a, double b) { return std::min(a, b); });
    auto grant = [&](running_best_effort& task, int percent) {
        for (size_t i = 0; i < free.size(); i++)
            free[i] -= task.utilisations[i] * percent / 100;
        if (percent != task.attempt->pace)
            setPace(worker, task.placement, *task.attempt, percent, minFree);
    };
    for (running_best_effort& task : tasks) {
        if (!task.interferes)
            grant(task, 100);
    }
    for (running_best_effort& task : tasks) {
        if (task.interferes)
            grant(task, highestSafePace(task, free));
    }
    evictThrottled(worker, tasks);
}

// The greatest pace at which the filler leaves every serving task its strain.
int cell_model::highestSafePace(const running_best_effort& task, const std::vector<double>& free)
{
    double pace = 100;
    for (size_t i = 0; i < free.size(); i++) {
        if (task.utilisations[i] > 0)
            pace = std::min(pace, 100 * free[i] / task.utilisations[i]);
    }
    return std::max(0, static_cast<int>(pace) / paceStepPercent * paceStepPercent);
}

void cell_model::evictThrottled(worker_state& worker, const std::vector<running_best_effort>& tasks)
{
    if (now - worker.evictionCheckedAt < evictionCheckIntervalMs)
        return;
    auto throttled = std::find_if(tasks.begin(), tasks.end(), [&](const running_best_effort& task) {
        return task.placement.step->spec->checkpoints && task.attempt->lowPaceSince != 0
            && now - task.attempt->lowPaceSince > evictAfterMs;
    });
    if (throttled == tasks.end())
        return;
    worker.evictionCheckedAt = now;
    if (runsFasterElsewhere(worker, *throttled->placement.step))
        stopAttempt(
            *throttled->placement.step, throttled->placement.index, *throttled->attempt, "disturbs_serving");
}

// Whether a filler of the step that is held back there, and has a checkpoint, would get on elsewhere.
bool cell_model::runsFasterElsewhere(const worker_state& worker, const step_run& step) const
{
    const step_spec& spec = *step.spec;
    if (expectedPace(worker, step) >= evictBelowPace)
        return false;
    resources need = reservationOf(spec);
    return std::any_of(workers.all().begin(), workers.all().end(), [&](const worker_state* candidate) {
        const worker_state& target = *candidate;
        return usable(target) && target.quarantinedUntil <= now && need.fits(target.freeCapacity())
            && hasCpuLeft(target, spec) && expectedPace(target, step) >= minTargetPace;
    });
}

// Whether a serving task there is over its target while fillers may be the cause.
bool cell_model::overTargetFromBestEffort(const worker_state& worker) const
{
    return worker.overTargetSince != 0
        && (worker.bestEffortCpu > 0 || now - worker.bestEffortChangedAt < interferenceClearMs);
}

void cell_model::updateSharing()
{
    updateLoadPeriod();
    updateCompatibility();
    for (worker_state* entry : workers.all()) {
        worker_state& worker = *entry;
        bool hasNewReport = worker.hasReported && now - worker.sampledAt >= sampleMs
            && worker.reportedAt > worker.sampledAt;
        if (!hasNewReport || (worker.serviceCpu == 0 && worker.bestEffortCpu == 0))
            continue;
        worker.sampledAt = now;
        sampleWorker(worker);
        if (worker.bestEffortCpu == 0)
            continue;
        if (worker.overTargetSince != 0 && now - worker.overTargetSince > pauseAfterMs)
            pauseBestEffort(worker);
        else
            paceBestEffort(worker);
    }
}

} // namespace camphorwell
