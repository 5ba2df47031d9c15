// Best-effort tasks beside latency-critical tasks.
//
// A latency-critical task reports its tail latency, with noise and half a second late. The tail is converted
// to a utilisation. The utilisation that the best-effort tasks on the worker added in that time, as learnt
// for their images, is subtracted, which leaves the base load of the task. Base loads are forecast
// (load_forecast.h). From the forecast, the interfering best-effort tasks of each worker get the highest pace
// that its latency-critical tasks tolerate for the next half second, in dispatch order. Placement uses the
// pace that is expected over the next seconds. A best-effort task that is held back while another worker
// would let it run faster is evicted with its checkpoint. A pace that the reports show not to be applied is
// ordered again. This keeps latency targets while the traffic of latency-critical tasks varies and batch work
// uses what they leave.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace camphorwell {

namespace {

    constexpr ms sampleMs = 500; // Period that the measurements in a report cover.
    constexpr ms historyMs = 1500; // How long the use of processors is kept for reports still to come.
    constexpr ms maxSampleGapMs = 1200; // Maximum time between samples that are compared.
    // Standard deviation of the rise in utilisation between two samples without interference: `riseNoise` if
    // the base load is forecast by a wave, `riseNoiseUnforecast` if the period is unknown.
    constexpr double riseNoise = 0.08;
    constexpr double riseNoiseUnforecast = 0.12;
    constexpr double saturatedUtilisation = 0.95; // From this value on a tail says little of the base load.
    // A base load measurement has the weight 1 / (1 + this factor * the utilisation added by best-effort
    // tasks).
    constexpr double interferenceUncertainty = 8;
    constexpr double errorWeight = 0.5; // Weight of the newest forecast error in the smoothed error.
    constexpr double errorRetentionSoon = 0.6; // Part of a forecast error that remains after half a second.
    // Part of a forecast error that remains on average over the next seconds.
    constexpr double errorRetentionLater = 0.3;
    // Utilisation kept free below the limit of a latency-critical task: about 1.3 standard deviations of the
    // forecast. With 0.05 targets were missed for twice as long; with 0.13 best-effort tasks got no less work
    // done.
    constexpr double utilisationMargin = 0.11;
    // Interference coefficient up to which a best-effort task is not held back. Measured coefficients are
    // below 0.3 or above 0.8.
    constexpr double harmlessInterference = 0.45;
    constexpr int64_t sizeClassCpuMilli = 500; // Width of the size classes for cached paces.
    constexpr ms evictAfterMs = 250; // Time at a low pace before eviction: half a sample.
    constexpr ms evictionCheckIntervalMs = 250; // Minimum time between eviction checks of a worker.
    constexpr int lowPacePercent = 70; // Paces up to this one are low.
    // Expected pace below which a best-effort task may be evicted.
    constexpr double evictBelowPace = 0.7;
    // Expected pace that another worker must offer for an eviction.
    constexpr double minTargetPace = 0.8;
    // Time over the latency target after which all best-effort tasks on the worker are paused.
    constexpr ms pauseAfterMs = 1000;
    // Time without best-effort tasks after which a tail is due to the base load alone.
    constexpr ms interferenceClearMs = 1500;
    constexpr int paceStepPercent = 10; // Paces are multiples of this step.
    // Difference between a pace and the measured use of processors from which the pace counts as not applied.
    // The measurements are rough.
    constexpr double paceTolerance = 0.4;
    // Delay of a pace order on its way beyond `cell_settings::paceDelayMs`.
    constexpr ms paceOrderMarginMs = 200;
    constexpr ms fitIntervalMs = 500;
    constexpr ms compatibilityIntervalMs = 500;
    // Share of a service's processors committed to tasks below which no best-effort task waits long for a
    // better worker.
    constexpr double lightLoadShare = 0.5;
    // Interval between searches for the period; five times as long once the period is stable.
    constexpr ms periodSearchIntervalMs = 2000;
    // Maximum relative difference of two searches for their period to be used: the error of a search over
    // little more than one period.
    constexpr double maxPeriodChange = 0.15;
    // Maximum relative difference of two searches for the period to count as stable.
    constexpr double stablePeriodChange = 0.02;

    // Processors of the workers of one service.
    struct service_load {
        int64_t totalCpu = 0;
        int64_t committedCpu = 0;
        bool isLight() const
        {
            return static_cast<double>(committedCpu) < lightLoadShare * static_cast<double>(totalCpu);
        }
    };

    double coresOf(const step_spec& spec) { return static_cast<double>(spec.cpuMilli) / 1000; }

    // The new shares less `retention` times the old ones.
    std::vector<interference_model::image_share> changesOf(
        const std::vector<interference_model::image_share>& before,
        const std::vector<interference_model::image_share>& after, double retention)
    {
        std::vector<interference_model::image_share> out = after;
        for (const auto& entry : before)
            out.push_back({ entry.image, -retention * entry.share });
        return out;
    }

    best_effort_history::attempt_key keyOf(const task_placement& placement)
    {
        return { placement.step, placement.index, placement.attempt };
    }

} // namespace

// Whether the task was fully started during the whole period of its latest tail measurement. Earlier
// measurements cover its start, and the load that its users add afterwards would be attributed to best-effort
// tasks.
bool cell_model::hasSteadyTail(const task_attempt& attempt) const
{
    return attempt.phase == attempt_phase::running && attempt.measurement > 0 && attempt.percent >= 100
        && now - attempt.percentChangedAt > sampleMs;
}

// Forecast of the base load `ahead` milliseconds from now. `errorRetention` is the part of the present
// forecast error that remains until then.
double cell_model::baseLoadForecast(
    const latency_critical_sample& sample, ms ahead, double errorRetention) const
{
    return sample.wave.at(now + ahead + unixOffset, loadPeriodMs) + errorRetention * sample.forecastError;
}

// Computes the utilisation budget of each latency-critical task on the worker.
void cell_model::computeBudgets(const worker_state& worker) const
{
    for (const auto& sample : worker.latencyCriticalSamples) {
        utilisation_budget budget { interferenceModel.utilisationLimit(sample.image) - utilisationMargin, 0 };
        for (const auto& [image, share] : worker.bestEffortHistory.fullPaceShares()) {
            double coefficient = interferenceModel.coefficient(image, sample.image);
            if (coefficient <= harmlessInterference)
                budget.free -= coefficient * share;
            else
                budget.wanted += coefficient * share;
        }
        worker.budgets.push_back(budget);
    }
}

int cell_model::bestEffortClassOf(const step_run& step)
{
    int64_t sizeClass = (step.spec->cpuMilli + sizeClassCpuMilli - 1) / sizeClassCpuMilli;
    auto next = static_cast<int>(bestEffortClasses.size());
    return bestEffortClasses.try_emplace({ step.image, sizeClass }, next).first->second;
}

// The mean pace from 0 to 1 that a best-effort task of the step can expect on the worker over the next
// `paceForecastSteps` half seconds, if all interfering tasks there get the highest common pace that the
// latency-critical tasks tolerate; 1 if it disturbs none of them. Cached by image and size class.
double cell_model::expectedPace(const worker_state& worker, const step_run& step) const
{
    if (worker.latencyCriticalSamples.empty() || step.bestEffortClass < 0)
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
    for (size_t i = 0; i < worker.latencyCriticalSamples.size(); i++) {
        double coefficient
            = interferenceModel.coefficient(step.image, worker.latencyCriticalSamples[i].image);
        if (coefficient <= harmlessInterference)
            continue;
        double wanted = worker.budgets[i].wanted + coefficient * share;
        for (size_t k = 0; k < paces.size(); k++) {
            double free = worker.budgets[i].free - worker.latencyCriticalSamples[i].baseLoads[k];
            paces[k] = std::min(paces[k], std::max(0.0, free / wanted));
        }
    }
    cached = static_cast<float>(std::accumulate(paces.begin(), paces.end(), 0.0) / paceForecastSteps);
    return cached;
}

// Evaluates the last report of a worker: tail latencies, base load forecasts, and the use of its processors
// by best-effort tasks.
void cell_model::sampleWorker(worker_state& worker)
{
    worker.latencyCriticalSamples.clear();
    worker.clearPaceCache();
    worker.bestEffortHistory.discardBefore(now - historyMs);
    best_effort_usage usage;
    usage.at = worker.reportedAt;
    usage.shares = worker.bestEffortHistory.meanShares(worker.reportedAt - sampleMs, worker.reportedAt);
    usage.previousAt = worker.reportedAt - worker.lastSharesAt <= maxSampleGapMs ? worker.lastSharesAt : 0;
    usage.changes = changesOf(worker.lastShares, usage.shares, errorRetentionSoon);
    bool overTarget = false;
    for (const task_placement& placement : worker.placements) {
        const step_spec& spec = *placement.step->spec;
        task_attempt* attempt = spec.tailLatencyTargetMs > 0 ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase == attempt_phase::stopping)
            continue;
        if (hasSteadyTail(*attempt)) {
            double ratio
                = static_cast<double>(attempt->measurement) / static_cast<double>(spec.tailLatencyTargetMs);
            overTarget |= ratio > 1;
            learnFromTail(*placement.step, *attempt, ratio, usage);
        }
        latency_critical_sample sample { placement.step->image, placement.step->wave, attempt->forecastError,
            {} };
        if (!placement.step->baseLoads)
            sample.wave.level = interferenceModel.baseLoad(placement.step->image);
        for (int i = 0; i < paceForecastSteps; i++)
            sample.baseLoads[static_cast<size_t>(i)]
                = baseLoadForecast(sample, i * sampleMs + sampleMs / 2, errorRetentionLater);
        worker.latencyCriticalSamples.push_back(sample);
    }
    worker.lastSharesAt = usage.at;
    worker.lastShares = std::move(usage.shares);
    if (!overTarget)
        worker.overTargetSince = 0;
    else if (worker.overTargetSince == 0)
        worker.overTargetSince = now;
}

// Updates the interference coefficients, the base load and its forecast from one measured tail of a
// latency-critical task. `ratio` is the tail divided by its target.
void cell_model::learnFromTail(
    step_run& step, task_attempt& attempt, double ratio, const best_effort_usage& usage)
{
    image_id image = step.image;
    if (!step.baseLoads)
        step.baseLoads = std::make_unique<load_history>();
    int64_t at = usage.at + unixOffset - sampleMs / 2;
    double expected = step.wave.at(at, loadPeriodMs);
    interferenceModel.observeTailRatio(image, ratio);
    double utilisation = interferenceModel.utilisation(image, ratio);
    // A saturated tail only shows that the base load and interference together are too high.
    bool measured = utilisation < saturatedUtilisation;
    double excess = utilisation - expected;
    if (measured && usage.previousAt != 0 && attempt.excessAt == usage.previousAt)
        interferenceModel.observeRise(image, excess - errorRetentionSoon * attempt.excess, usage.changes,
            loadPeriodMs > 0 ? riseNoise : riseNoiseUnforecast);
    attempt.excess = excess;
    attempt.excessAt = measured ? usage.at : 0;
    double bestEffortPart = 0;
    for (const auto& entry : usage.shares)
        bestEffortPart += interferenceModel.coefficient(entry.image, image) * entry.share;
    double baseLoad = std::max(0.0, utilisation - bestEffortPart);
    if (measured || baseLoad < expected) {
        step.baseLoads->observe(at, baseLoad, 1 / (1 + interferenceUncertainty * bestEffortPart));
        interferenceModel.observeBaseLoad(image, baseLoad);
        attempt.forecastError += errorWeight * (baseLoad - expected - attempt.forecastError);
    }
    if (now - step.fittedAt >= fitIntervalMs) {
        step.fittedAt = now;
        step.wave = step.baseLoads->fit(loadPeriodMs, interferenceModel.baseLoad(image));
    }
}

// Searches for the common period of the base loads.
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
                typical += interferenceModel.baseLoad(step.image);
            }
        }
    }
    auto found = histories.empty() ? std::nullopt
                                   : commonPeriod(histories, typical / static_cast<double>(histories.size()));
    // Two searches must agree, since interference dominates early measurements.
    double previous = std::exchange(lastPeriodFoundMs, found.value_or(0));
    double change = found ? std::abs(*found - previous) / *found : 1;
    periodStable = change < stablePeriodChange;
    if (change >= maxPeriodChange || *found == loadPeriodMs)
        return;
    loadPeriodMs = *found;
    // Waves that were fitted for another period are invalid.
    for (step_run* step : steps)
        step->wave = step->baseLoads->fit(loadPeriodMs, interferenceModel.baseLoad(step->image));
    log(log_line("swing_period")
            .add("period_ms", static_cast<int64_t>(loadPeriodMs))
            .add("histories", static_cast<int64_t>(histories.size())));
}

// Computes the part of the best-effort demand that each worker could run without disturbing a
// latency-critical task. Placement avoids workers compatible with most of the demand, which keeps them free
// for tasks that are compatible with few workers.
void cell_model::updateCompatibility()
{
    if (now - compatibilityUpdatedAt < compatibilityIntervalMs)
        return;
    compatibilityUpdatedAt = now;
    interferenceModel.refit();
    std::map<image_id, double> demand;
    double totalDemand = 0;
    std::map<std::string, service_load> loads; // By service.
    auto add = [&](const step_run& step, double tasks) {
        if (!step.spec->isBestEffort)
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
        service_load& load = loads[worker->info.service];
        load.totalCpu += worker->info.capacity.cpuMilli;
        load.committedCpu += worker->reserved.cpuMilli + worker->bestEffortCpu;
    }
    for (worker_state* worker : workers.all()) {
        worker->lightlyLoadedService = loads[worker->info.service].isLight();
        double compatible = 0;
        for (const auto& [image, cores] : demand) {
            bool interferes = std::any_of(worker->latencyCriticalSamples.begin(),
                worker->latencyCriticalSamples.end(), [&, &bestEffortImage = image](const auto& sample) {
                    return interferenceModel.coefficient(bestEffortImage, sample.image)
                        > harmlessInterference;
                });
            compatible += interferes ? 0 : cores;
        }
        worker->compatibleShare = totalDemand > 0 ? compatible / totalDemand : 0;
    }
}

void cell_model::setPace(
    worker_state& worker, const task_placement& placement, task_attempt& attempt, int percent, double free)
{
    worker.bestEffortHistory.setPace(keyOf(placement), percent, now + settings.paceDelayMs);
    worker.clearPaceCache();
    attempt.pace = percent;
    attempt.pacedAt = now;
    if (percent > lowPacePercent)
        attempt.lowPaceSince = 0;
    else if (attempt.lowPaceSince == 0)
        attempt.lowPaceSince = now;
    actions.push_back(pace_action { worker.info.id, placement.step->ref(placement.index), placement.attempt,
        percent, worker.incarnation });
    log.rateLimited([&] {
        return log_line("filler_paced")
            .add("task", placement.step->ref(placement.index).str())
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("free_percent", static_cast<int64_t>(100 * free))
            .add("figures_age_ms", now - worker.sampledAt);
    });
}

// Whether the last report agrees with the pace of the best-effort task, or does not cover the time since the
// pace was ordered.
bool cell_model::hasAppliedPace(
    const worker_state& worker, const task_attempt& attempt, const step_spec& spec) const
{
    ms effectiveAt = attempt.pacedAt + settings.paceDelayMs + paceOrderMarginMs;
    if (attempt.pacedAt == 0 || attempt.pace == task_attempt::paceUnknown
        || worker.reportedAt - sampleMs < effectiveAt)
        return true;
    double used = static_cast<double>(attempt.measurement) / static_cast<double>(spec.cpuMilli);
    return used - static_cast<double>(attempt.pace) / 100 < paceTolerance;
}

// Finds paces that the worker has not applied, so that they are ordered again: an order was lost, or an
// earlier one was carried out after it.
void cell_model::checkPaces(worker_state& worker)
{
    for (const task_placement& placement : worker.placements) {
        const step_spec& spec = *placement.step->spec;
        task_attempt* attempt = spec.isBestEffort ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase != attempt_phase::running || hasAppliedPace(worker, *attempt, spec))
            continue;
        log.rateLimited([&] {
            return log_line("pace_not_applied")
                .add("task", placement.step->ref(placement.index).str())
                .add("worker", worker.info.id)
                .add("percent", attempt->pace)
                .add("paced_ms", now - attempt->pacedAt)
                .add("cpu_used", attempt->measurement)
                .add("cpu", spec.cpuMilli);
        });
        attempt->pace = task_attempt::paceUnknown;
    }
}

// Pauses all best-effort tasks on a worker whose latency-critical tasks stay over their target, until
// measurements show which of the tasks interferes.
void cell_model::pauseBestEffort(worker_state& worker)
{
    for (const task_placement& placement : worker.placements) {
        task_attempt* attempt = placement.step->spec->isBestEffort ? findAttempt(placement) : nullptr;
        if (attempt && attempt->phase == attempt_phase::running && attempt->pace != 0)
            setPace(worker, placement, *attempt, 0, 0);
    }
}

// The best-effort tasks that run on the worker, in dispatch order.
std::vector<running_best_effort> cell_model::bestEffortTasksOn(worker_state& worker) const
{
    std::vector<running_best_effort> out;
    for (const task_placement& placement : worker.placements) {
        const step_spec& spec = *placement.step->spec;
        task_attempt* attempt = spec.isBestEffort ? findAttempt(placement) : nullptr;
        if (!attempt || attempt->phase != attempt_phase::running)
            continue;
        running_best_effort task { placement, attempt, {}, false };
        for (const auto& sample : worker.latencyCriticalSamples) {
            double coefficient = interferenceModel.coefficient(placement.step->image, sample.image);
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

// Utilisation that each latency-critical task on the worker has left for best-effort tasks until the next
// report.
std::vector<double> cell_model::freeUtilisation(const worker_state& worker) const
{
    std::vector<double> out;
    for (const auto& sample : worker.latencyCriticalSamples) {
        double baseLoad = std::max(baseLoadForecast(sample, settings.paceDelayMs, errorRetentionSoon),
            baseLoadForecast(sample, settings.paceDelayMs + sampleMs, errorRetentionSoon));
        out.push_back(interferenceModel.utilisationLimit(sample.image) - utilisationMargin - baseLoad);
    }
    return out;
}

// Sets the paces of the best-effort tasks on a worker to what its latency-critical tasks tolerate until the
// next report.
void cell_model::paceBestEffort(worker_state& worker)
{
    std::vector<running_best_effort> tasks = bestEffortTasksOn(worker);
    std::vector<double> free = freeUtilisation(worker);
    // The smallest free utilisation; at most 1.
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

// The highest pace in percent at which the task stays within the free utilisation of every latency-critical
// task.
int cell_model::highestSafePace(const running_best_effort& task, const std::vector<double>& free)
{
    double pace = 100;
    for (size_t i = 0; i < free.size(); i++) {
        if (task.utilisations[i] > 0)
            pace = std::min(pace, 100 * free[i] / task.utilisations[i]);
    }
    return std::max(0, static_cast<int>(pace) / paceStepPercent * paceStepPercent);
}

// Evicts the first best-effort task that has had a low pace for a while, if it would run faster on another
// worker.
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

// Whether a best-effort task of the step that is held back on this worker would run faster on another one.
bool cell_model::runsFasterElsewhere(const worker_state& worker, const step_run& step) const
{
    const step_spec& spec = *step.spec;
    const queue_policy* policy = policyOf(*step.job);
    if (!policy || expectedPace(worker, step) >= evictBelowPace)
        return false;
    resources need = reservationOf(spec);
    return std::any_of(workers.all().begin(), workers.all().end(), [&](const worker_state* candidate) {
        const worker_state& target = *candidate;
        return usable(target) && target.quarantinedUntil <= now && mayRunOn(step, *policy, target, 0)
            && need.fits(target.freeCapacity()) && hasCpuLeft(target, spec)
            && expectedPace(target, step) >= minTargetPace;
    });
}

// Whether a latency-critical task on the worker is over its target and best-effort tasks may be the cause.
bool cell_model::overTargetFromBestEffort(const worker_state& worker) const
{
    return worker.overTargetSince != 0
        && (worker.bestEffortCpu > 0 || now - worker.bestEffortChangedAt < interferenceClearMs);
}

// Evaluates new reports and adjusts the paces of best-effort tasks accordingly.
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
        checkPaces(worker);
        if (worker.overTargetSince != 0 && now - worker.overTargetSince > pauseAfterMs)
            pauseBestEffort(worker);
        else
            paceBestEffort(worker);
    }
}

} // namespace camphorwell
