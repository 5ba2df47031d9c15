// See load_forecast.h. The fit solves the three normal equations of a ridge regression in closed form.
#include "jobs/process/load_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphorwell {

namespace {
    // Standard deviations: of a half second's mean, of the level and of the swing before any figure.
    constexpr double noise = 0.08;
    constexpr double levelSpread = 0.08;
    constexpr double swingSpread = 0.16;
    constexpr double mostWeight = 3; // More tasks do not make a half second surer: they err alike.

    // Candidate periods rise by a ratio, since the error in phase over a history is what tells them apart.
    constexpr double shortestPeriodMs = 4000;
    constexpr double longestPeriodMs = 60'000;
    constexpr double periodRatio = 1.05;
    constexpr int refinements = 5; // On each side of the best candidate.
    constexpr double refinedRatio = 1.01;
    constexpr size_t historiesAtMost = 24; // That choose the period.
    constexpr double periodsCovered = 0.9; // A history must span so much of a period to speak for it.
    constexpr double explainedLeast = 0.7; // Of the variance, for a swing to be believed.

    double angle(int64_t unixMs, double periodMs)
    {
        double turns = static_cast<double>(unixMs) / periodMs;
        return 2 * std::numbers::pi * (turns - std::floor(turns));
    }
} // namespace

double load_wave::at(int64_t unixMs, double periodMs) const
{
    if (periodMs <= 0)
        return level;
    double turn = angle(unixMs, periodMs);
    return level + cosine * std::cos(turn) + sine * std::sin(turn);
}

void load_history::observe(int64_t at, double load, double weight)
{
    int64_t number = at / binMs;
    auto place = std::find_if(
        m_bins.rbegin(), m_bins.rend(), [&](const bin& each) { return each.number <= number; });
    if (place != m_bins.rend() && place->number == number) {
        place->sum += weight * load;
        place->weight += weight;
        return;
    }
    m_bins.insert(place.base(), { number, weight * load, weight });
    if (m_bins.size() > binsAtMost)
        m_bins.erase(m_bins.begin());
}

load_history load_history::of(const load_wave& wave, double periodMs, int64_t untilUnixMs)
{
    load_history out;
    auto span = static_cast<int64_t>(std::min(periodMs, static_cast<double>(binMs * binsAtMost)));
    for (int64_t number = (untilUnixMs - span) / binMs; number < untilUnixMs / binMs; number++)
        out.observe(number * binMs, wave.at(number * binMs + binMs / 2, periodMs), mostWeight);
    return out;
}

int64_t load_history::spanMs() const
{
    return m_bins.empty() ? 0 : (m_bins.back().number - m_bins.front().number + 1) * binMs;
}

load_wave load_history::fit(double periodMs, double typical) const
{
    // Normal equations of (level - typical, cosine, sine).
    std::array<std::array<double, 4>, 3> rows {};
    rows[0][0] = noise * noise / (levelSpread * levelSpread);
    rows[1][1] = rows[2][2] = noise * noise / (swingSpread * swingSpread);
    for (const bin& each : m_bins) {
        double weight = std::min(each.weight, mostWeight);
        double turn = periodMs > 0 ? angle(each.number * binMs + binMs / 2, periodMs) : 0;
        std::array<double, 4> x { 1, periodMs > 0 ? std::cos(turn) : 0, periodMs > 0 ? std::sin(turn) : 0,
            each.sum / each.weight - typical };
        for (size_t row = 0; row < 3; row++) {
            for (size_t column = 0; column < 4; column++)
                rows[row][column] += weight * x[row] * x[column];
        }
    }
    // The prior keeps the matrix positive definite, so no pivoting is needed.
    for (size_t pivot = 0; pivot < 3; pivot++) {
        for (size_t row = 0; row < 3; row++) {
            if (row == pivot)
                continue;
            double factor = rows[row][pivot] / rows[pivot][pivot];
            for (size_t column = pivot; column < 4; column++)
                rows[row][column] -= factor * rows[pivot][column];
        }
    }
    return { typical + rows[0][3] / rows[0][0], rows[1][3] / rows[1][1], rows[2][3] / rows[2][2] };
}

double load_history::unexplained(double periodMs, double typical) const
{
    load_wave wave = fit(periodMs, typical);
    double sum = 0;
    for (const bin& each : m_bins) {
        double error = each.sum / each.weight - wave.at(each.number * binMs + binMs / 2, periodMs);
        sum += std::min(each.weight, mostWeight) * error * error;
    }
    return sum;
}

double load_history::variance() const
{
    double weights = 0;
    double mean = 0;
    for (const bin& each : m_bins) {
        double weight = std::min(each.weight, mostWeight);
        weights += weight;
        mean += weight * each.sum / each.weight;
    }
    mean /= std::max(weights, 1e-9);
    double sum = 0;
    for (const bin& each : m_bins) {
        double error = each.sum / each.weight - mean;
        sum += std::min(each.weight, mostWeight) * error * error;
    }
    return sum;
}

std::optional<double> commonPeriod(const std::vector<const load_history*>& histories, double typical)
{
    std::vector<const load_history*> longest(histories);
    std::sort(longest.begin(), longest.end(),
        [](const load_history* a, const load_history* b) { return a->spanMs() > b->spanMs(); });
    if (longest.size() > historiesAtMost)
        longest.resize(historiesAtMost);
    std::optional<double> best;
    double bestShare = 1 - explainedLeast;
    auto consider = [&](double period) {
        double left = 0;
        double all = 0;
        for (const load_history* each : longest) {
            if (static_cast<double>(each->spanMs()) < period * periodsCovered)
                continue;
            left += each->unexplained(period, typical);
            all += each->variance();
        }
        if (all > 0 && left / all < bestShare) {
            bestShare = left / all;
            best = period;
        }
    };
    for (double period = shortestPeriodMs; period < longestPeriodMs; period *= periodRatio)
        consider(period);
    if (!best)
        return best;
    double coarse = *best;
    for (int i = -refinements; i <= refinements; i++)
        consider(coarse * std::pow(refinedRatio, i));
    return best;
}

} // namespace camphorwell
