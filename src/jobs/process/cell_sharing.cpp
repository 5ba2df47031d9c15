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
    constexpr ms longestGapMs = 1200; // Between figures that are compared.
    // Standard deviations of what a strain rises by from one figure to the next, fillers apart, with a
    // wave and with a line.
    constexpr double riseNoise = 0.08;
    constexpr double riseNoiseUnforecast = 0.12;
    constexpr double saturated = 0.95; // A strain at or over this says little about the own load.
    constexpr double blurring = 8; // How much less an own load is sure for each unit of strain by fillers.
    constexpr double biasRate = 0.5; // Weight of the newest error of a forecast.
    constexpr double biasKeptSoon = 0.6; // Of that error, half a second later,
    constexpr double biasKeptLater = 0.3; // and over the seconds to come.
    // Strain that is kept free below a serving task's limit: about 1.3 standard deviations of the forecast.
    // 0.05 missed targets twice as long; 0.13 let fillers do no less.
    constexpr double margin = 0.11;
    // A filler of at most this pressure on a serving task is not held back. Measured pairs are under 0.3 or
    // over 0.8.
    constexpr double harmless = 0.45;
    constexpr int64_t sizeStep = 500; // Thousandths of a core.
    constexpr ms evictAfterMs = 250; // At a low pace for so long: half a figure of a worker.
    constexpr ms seekMoveEveryMs
        = 250; // A worker's fillers are compared with other workers at most so often.
    constexpr int evictPercent = 70; // At or under this a pace is low.
    constexpr double evictBelow = 0.7; // Expected pace under which a filler leaves,
    constexpr double evictFor = 0.8; // when another worker promises this.
    constexpr ms pauseAfterMs = 1000; // A serving task over its target for so long stops all fillers there.
    constexpr ms clearedMs = 1500; // Without fillers for so long, a tail is a serving task's own.
    constexpr int paceStep = 10; // Paces are whole multiples of this.
    constexpr ms fitEveryMs = 500;
    constexpr ms weighEveryMs = 500;
    constexpr double roomyShare
        = 0.5; // Of the processors spoken for, under which nothing waits for a better place.
    constexpr ms periodEveryMs = 2000; // Until a period is sure; then five times as long.
    constexpr double periodAgreement = 0.15; // Of two searches, for a period to be used: the error of a
                                             // search over little more than one swing.
    constexpr double periodSure = 0.02; // Of two searches, for a period that is sought less often.

    double coresOf(const step_spec& spec) { return static_cast<double>(spec.cpuMilli) / 1000; }

    // By how much the shares are greater than `kept` of what they were.
    std::vector<interference_model::image_share> risesOf(
        const std::vector<interference_model::image_share>& before,
        const std::vector<interference_model::image_share>& after, double kept)
    {
        std::vector<interference_model::image_share> out = after;
        for (const auto& each : before)
            out.push_back({ each.image, -kept * each.share });
        return out;
    }

    best_effort_history::attempt_key keyOf(const placement& at) { return { at.step, at.index, at.run }; }

} // namespace

// Whether the newest figure of a serving task tells of a time in which it was at work all along. Before, it
// tells of its start, and all that its users add from then on would be taken for what fillers do.
bool cell_model::settled(const task_copy& copy) const
{
    return copy.phase == copy_phase::running && copy.load > 0 && copy.percent >= 100
        && now - copy.percentAt > sampleMs;
}

// The own load to come, `ahead` from now.
double cell_model::ownLoad(const serving_figure& serving, ms ahead, double biasKept) const
{
    return serving.wave.at(now + ahead + unixOffset, swingPeriod) + biasKept * serving.bias;
}

// What strain each serving task there has left, and what all that disturb it want at full pace.
void cell_model::weighBorne(const worker_state& worker) const
{
    for (const auto& serving : worker.serving) {
        borne_strain each { pressure.utilisationLimit(serving.image) - margin, 0 };
        for (const auto& [image, share] : worker.fillers.fullPaceShares()) {
            double pressing = pressure.coefficient(image, serving.image);
            if (pressing <= harmless)
                each.free -= pressing * share;
            else
                each.wanted += pressing * share;
        }
        worker.borne.push_back(each);
    }
}

int cell_model::kindOf(step_run& filler)
{
    if (filler.fillerKind < 0) {
        int64_t steps = (filler.spec->cpuMilli + sizeStep - 1) / sizeStep;
        auto next = static_cast<int>(fillerKinds.size());
        filler.fillerKind = fillerKinds.try_emplace({ filler.image, steps }, next).first->second;
    }
    return filler.fillerKind;
}

// The pace that a filler can expect over the seconds to come, were every filler there let go as far as the
// serving tasks bear; 1 where it disturbs none. Fillers of about the same size are taken for the same.
double cell_model::expectedPace(const worker_state& worker, const step_run& filler) const
{
    if (worker.serving.empty() || filler.fillerKind < 0)
        return 1;
    auto kind = static_cast<size_t>(filler.fillerKind);
    if (worker.expectedPaces.size() <= kind)
        worker.expectedPaces.resize(fillerKinds.size(), -1);
    float& cached = worker.expectedPaces[kind];
    if (cached >= 0)
        return cached;
    if (worker.borne.empty())
        weighBorne(worker);
    double share = worker.shareOf(*filler.spec);
    std::array<double, paceSteps> paces;
    paces.fill(1);
    for (size_t i = 0; i < worker.serving.size(); i++) {
        double pressing = pressure.coefficient(filler.image, worker.serving[i].image);
        if (pressing <= harmless)
            continue;
        double wanted = worker.borne[i].wanted + pressing * share;
        for (size_t k = 0; k < paces.size(); k++) {
            double free = worker.borne[i].free - worker.serving[i].ownLoads[k];
            paces[k] = std::min(paces[k], std::max(0.0, free / wanted));
        }
    }
    cached = static_cast<float>(std::accumulate(paces.begin(), paces.end(), 0.0) / paceSteps);
    return cached;
}

void cell_model::sample(worker_state& worker)
{
    worker.serving.clear();
    worker.forgetPaces();
    worker.fillers.discardBefore(now - historyMs);
    sharing_figures figures;
    figures.at = worker.answeredAt;
    figures.beside = worker.fillers.meanShares(worker.answeredAt - sampleMs, worker.answeredAt);
    figures.before = worker.answeredAt - worker.figuresAt <= longestGapMs ? worker.figuresAt : 0;
    figures.rises = risesOf(worker.beside, figures.beside, biasKeptSoon);
    bool over = false;
    for (const placement& each : worker.placed) {
        const step_spec& spec = *each.step->spec;
        task_copy* copy = spec.tailLatencyTargetMs > 0 ? findCopy(each) : nullptr;
        if (!copy || copy->phase == copy_phase::doomed)
            continue;
        if (settled(*copy)) {
            double ratio = static_cast<double>(copy->load) / static_cast<double>(spec.tailLatencyTargetMs);
            over |= ratio > 1;
            noteTail(*each.step, *copy, ratio, figures);
        }
        serving_figure figure { each.step->image, each.step->wave, copy->bias, {} };
        if (!each.step->ownLoads)
            figure.wave.level = pressure.baseLoad(each.step->image);
        for (int i = 0; i < paceSteps; i++)
            figure.ownLoads[static_cast<size_t>(i)]
                = ownLoad(figure, i * sampleMs + sampleMs / 2, biasKeptLater);
        worker.serving.push_back(figure);
    }
    worker.figuresAt = figures.at;
    worker.beside = std::move(figures.beside);
    if (!over)
        worker.overSince = 0;
    else if (worker.overSince == 0)
        worker.overSince = now;
}

// Learns from the tail of one serving task what the fillers beside it do, and what its users do.
void cell_model::noteTail(step_run& step, task_copy& copy, double ratio, const sharing_figures& figures)
{
    image_id image = step.image;
    if (!step.ownLoads)
        step.ownLoads = std::make_unique<load_history>();
    int64_t at = figures.at + unixOffset - sampleMs / 2;
    double expected = step.wave.at(at, swingPeriod);
    pressure.observeTailRatio(image, ratio);
    double strain = pressure.utilisation(image, ratio);
    // A tail beyond measure only says that own load and fillers together are too much.
    bool measured = strain < saturated;
    double beyond = strain - expected;
    if (measured && figures.before != 0 && copy.beyondAt == figures.before)
        pressure.observeRise(image, beyond - biasKeptSoon * copy.beyond, figures.rises,
            swingPeriod > 0 ? riseNoise : riseNoiseUnforecast);
    copy.beyond = beyond;
    copy.beyondAt = measured ? figures.at : 0;
    double fillers = 0;
    for (const auto& each : figures.beside)
        fillers += pressure.coefficient(each.image, image) * each.share;
    double own = std::max(0.0, strain - fillers);
    if (measured || own < expected) {
        step.ownLoads->observe(at, own, 1 / (1 + blurring * fillers));
        pressure.observeBaseLoad(image, own);
        copy.bias += biasRate * (own - expected - copy.bias);
    }
    if (now - step.fittedAt >= fitEveryMs) {
        step.fittedAt = now;
        step.wave = step.ownLoads->fit(swingPeriod, pressure.baseLoad(image));
    }
}

// Finds the period that the own loads have in common.
void cell_model::findPeriod()
{
    if (now - periodSoughtAt < (periodIsSure ? 5 * periodEveryMs : periodEveryMs))
        return;
    periodSoughtAt = now;
    std::vector<step_run*> serving;
    std::vector<const load_history*> histories;
    double typical = 0;
    for (const auto& [id, job] : jobs) {
        for (const auto& [number, live] : job->live) {
            for (step_run& step : live->steps) {
                if (!step.ownLoads)
                    continue;
                serving.push_back(&step);
                histories.push_back(step.ownLoads.get());
                typical += pressure.baseLoad(step.image);
            }
        }
    }
    auto found = histories.empty() ? std::nullopt
                                   : commonPeriod(histories, typical / static_cast<double>(histories.size()));
    // Two searches must agree, since early figures hold little but what fillers did.
    double before = std::exchange(periodSeen, found.value_or(0));
    double change = found ? std::abs(*found - before) / *found : 1;
    periodIsSure = change < periodSure;
    if (change >= periodAgreement || *found == swingPeriod)
        return;
    swingPeriod = *found;
    // A wave tells nothing under another period.
    for (step_run* step : serving)
        step->wave = step->ownLoads->fit(swingPeriod, pressure.baseLoad(step->image));
    log(log_line("swing_period")
            .add("period_ms", static_cast<int64_t>(swingPeriod))
            .add("histories", static_cast<int64_t>(histories.size())));
}

// How much of what wants to fill could run on each worker undisturbing. Workers that suit many are kept for
// those that suit few others.
void cell_model::weighWorkers()
{
    if (now - weighedAt < weighEveryMs)
        return;
    weighedAt = now;
    pressure.refit();
    std::map<image_id, double> demand;
    double wanted = 0;
    int64_t total = 0;
    int64_t spokenFor = 0;
    auto add = [&](const step_run& step, double tasks) {
        if (!step.spec->isBestEffort)
            return;
        double cores = coresOf(*step.spec) * tasks;
        demand[step.image] += cores;
        wanted += cores;
    };
    for (const auto& [order, step] : ready)
        add(*step, static_cast<double>(step->waiting.size()));
    for (const worker_state* worker : workers.all()) {
        for (const placement& each : worker->placed)
            add(*each.step, 1);
        total += worker->info.capacity.cpuMilli;
        spokenFor += worker->booked.cpuMilli + worker->fillerCpu;
    }
    roomy = static_cast<double>(spokenFor) < roomyShare * static_cast<double>(total);
    for (worker_state* worker : workers.all()) {
        double suits = 0;
        for (const auto& [image, cores] : demand) {
            bool disturbs = std::any_of(
                worker->serving.begin(), worker->serving.end(), [&, &filler = image](const auto& each) {
                    return pressure.coefficient(filler, each.image) > harmless;
                });
            suits += disturbs ? 0 : cores;
        }
        worker->suitedShare = wanted > 0 ? suits / wanted : 0;
    }
}

void cell_model::setPace(worker_state& worker, const placement& at, task_copy& copy, int percent, double free)
{
    worker.fillers.setPace(keyOf(at), percent, now + settings.paceMs);
    worker.forgetPaces();
    copy.pace = percent;
    if (percent > evictPercent)
        copy.slowSince = 0;
    else if (copy.slowSince == 0)
        copy.slowSince = now;
    actions.push_back(pace_action { worker.info.id, at.step->ref(at.index), at.run, percent, worker.life });
    log.rateLimited([&] {
        return log_line("filler_paced")
            .add("task", at.step->ref(at.index).str())
            .add("worker", worker.info.id)
            .add("percent", percent)
            .add("free_percent", static_cast<int64_t>(100 * free))
            .add("figures_age_ms", now - worker.sampledAt);
    });
}

// The last resort, before a serving task has been over its target for long: whatever fills beside it stands
// still until the figures tell who is to blame.
void cell_model::pauseFillers(worker_state& worker)
{
    for (const placement& each : worker.placed) {
        task_copy* copy = each.step->spec->isBestEffort ? findCopy(each) : nullptr;
        if (copy && copy->phase == copy_phase::running && copy->pace > 0)
            setPace(worker, each, *copy, 0, 0);
    }
}

// The fillers that run there, those first whose work is due first.
std::vector<running_filler> cell_model::fillersOn(worker_state& worker) const
{
    std::vector<running_filler> out;
    for (const placement& each : worker.placed) {
        const step_spec& spec = *each.step->spec;
        task_copy* copy = spec.isBestEffort ? findCopy(each) : nullptr;
        if (!copy || copy->phase != copy_phase::running)
            continue;
        running_filler filler { each, copy, {}, false };
        for (const auto& serving : worker.serving) {
            double pressing = pressure.coefficient(each.step->image, serving.image);
            filler.strains.push_back(pressing * worker.shareOf(spec));
            filler.disturbs |= pressing > harmless;
        }
        out.push_back(std::move(filler));
    }
    std::stable_sort(out.begin(), out.end(),
        [](const auto& a, const auto& b) { return a.at.step->order < b.at.step->order; });
    return out;
}

// Strain that each serving task there can still bear until the next figures.
std::vector<double> cell_model::freeStrains(const worker_state& worker) const
{
    std::vector<double> out;
    for (const auto& serving : worker.serving) {
        double own = std::max(ownLoad(serving, settings.paceMs, biasKeptSoon),
            ownLoad(serving, settings.paceMs + sampleMs, biasKeptSoon));
        out.push_back(pressure.utilisationLimit(serving.image) - margin - own);
    }
    return out;
}

// Gives the fillers the pace that the serving tasks bear until the next figures.
void cell_model::paceFillers(worker_state& worker)
{
    std::vector<running_filler> fillers = fillersOn(worker);
    std::vector<double> free = freeStrains(worker);
    // Of the serving task that is worst off; 1 where there is none.
    double least
        = std::accumulate(free.begin(), free.end(), 1.0, [](double a, double b) { return std::min(a, b); });
    auto grant = [&](running_filler& filler, int percent) {
        for (size_t i = 0; i < free.size(); i++)
            free[i] -= filler.strains[i] * percent / 100;
        if (percent != filler.copy->pace)
            setPace(worker, filler.at, *filler.copy, percent, least);
    };
    for (running_filler& each : fillers) {
        if (!each.disturbs)
            grant(each, 100);
    }
    for (running_filler& each : fillers) {
        if (each.disturbs)
            grant(each, bearablePace(each, free));
    }
    evictHeldBack(worker, fillers);
}

// The greatest pace at which the filler leaves every serving task its strain.
int cell_model::bearablePace(const running_filler& filler, const std::vector<double>& free)
{
    double pace = 100;
    for (size_t i = 0; i < free.size(); i++) {
        if (filler.strains[i] > 0)
            pace = std::min(pace, 100 * free[i] / filler.strains[i]);
    }
    return std::max(0, static_cast<int>(pace) / paceStep * paceStep);
}

void cell_model::evictHeldBack(worker_state& worker, const std::vector<running_filler>& fillers)
{
    if (now - worker.moveSoughtAt < seekMoveEveryMs)
        return;
    auto held = std::find_if(fillers.begin(), fillers.end(), [&](const running_filler& each) {
        return each.at.step->spec->checkpoints && each.copy->slowSince != 0
            && now - each.copy->slowSince > evictAfterMs;
    });
    if (held == fillers.end())
        return;
    worker.moveSoughtAt = now;
    if (movesWell(worker, *held->at.step))
        doom(*held->at.step, held->at.index, *held->copy, "disturbs_serving");
}

// Whether a filler of the step that is held back there, and has a checkpoint, would get on elsewhere.
bool cell_model::movesWell(const worker_state& worker, const step_run& step) const
{
    const step_spec& spec = *step.spec;
    if (expectedPace(worker, step) >= evictBelow)
        return false;
    resources need = bookingOf(spec);
    return std::any_of(workers.all().begin(), workers.all().end(), [&](const worker_state* each) {
        const worker_state& other = *each;
        return usable(other) && other.shunnedUntil <= now && need.fits(other.room())
            && hasLeftOver(other, spec) && expectedPace(other, step) >= evictFor;
    });
}

// Whether a serving task there is over its target while fillers may be the cause.
bool cell_model::overByFillers(const worker_state& worker) const
{
    return worker.overSince != 0 && (worker.fillerCpu > 0 || now - worker.fillersChangedAt < clearedMs);
}

void cell_model::share()
{
    findPeriod();
    weighWorkers();
    for (worker_state* each : workers.all()) {
        worker_state& worker = *each;
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
        else
            paceFillers(worker);
    }
}

} // namespace camphorwell
