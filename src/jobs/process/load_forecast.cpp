// See load_forecast.h. The fit solves the three normal equations of a ridge regression in closed form.
#include "jobs/process/load_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphorwell {

namespace {
    // Standard deviations: of a half second's mean, of the level and of the swing before any figure.
    constexpr double noiseStdDev = 0.08;
    constexpr double levelStdDev = 0.08;
    constexpr double amplitudeStdDev = 0.16;
    constexpr double maxBinWeight = 3; // More tasks do not make a half second surer: they err alike.

    // Candidate periods rise by a ratio, since the error in phase over a history is what tells them apart.
    constexpr double minPeriodMs = 4000;
    constexpr double maxPeriodMs = 60'000;
    constexpr double periodRatio = 1.05;
    constexpr int refinementSteps = 5; // On each side of the best candidate.
    constexpr double refinementRatio = 1.01;
    constexpr size_t maxHistories = 24; // That choose the period.
    constexpr double minPeriodsCovered = 0.8; // A history must span so much of a period to speak for it.
    // Of the variance, for a swing to be believed. What fillers do and is not learnt yet takes up to a third.
    constexpr double minExplainedShare = 0.5;

    // Before a period is known: figures of so long give the line, which is followed for so long.
    constexpr int64_t trendBins = 4;
    constexpr double maxExtrapolationS = 1.25;
    constexpr double slopeToAmplitudeRatio
        = 0.6; // Of a rise in a second, to the standard deviation of the swing.
    constexpr double amplitudePriorWeight = 4; // That the prior of the swing is worth.

    double phaseAt(int64_t unixMs, double periodMs)
    {
        double turns = static_cast<double>(unixMs) / periodMs;
        return 2 * std::numbers::pi * (turns - std::floor(turns));
    }
} // namespace

double load_wave::at(int64_t unixMs, double periodMs) const
{
    if (periodMs <= 0) {
        double seconds = static_cast<double>(unixMs - originUnixMs) / 1000;
        return level + slopePerS * std::clamp(seconds, -maxExtrapolationS, maxExtrapolationS);
    }
    double phase = phaseAt(unixMs, periodMs);
    return level + cosine * std::cos(phase) + sine * std::sin(phase);
}

void load_history::observe(int64_t unixMs, double load, double weight)
{
    int64_t index = unixMs / binMs;
    auto place
        = std::find_if(m_bins.rbegin(), m_bins.rend(), [&](const bin& each) { return each.index <= index; });
    if (place != m_bins.rend() && place->index == index) {
        place->sum += weight * load;
        place->weight += weight;
        return;
    }
    m_bins.insert(place.base(), { index, weight * load, weight });
    if (m_bins.size() > maxBins)
        m_bins.erase(m_bins.begin());
}

load_history load_history::fromWave(const load_wave& wave, double periodMs, int64_t untilUnixMs)
{
    load_history out;
    auto span = static_cast<int64_t>(std::min(periodMs, static_cast<double>(binMs * maxBins)));
    for (int64_t index = (untilUnixMs - span) / binMs; index < untilUnixMs / binMs; index++)
        out.observe(index * binMs, wave.at(index * binMs + binMs / 2, periodMs), maxBinWeight);
    return out;
}

int64_t load_history::spanMs() const
{
    return m_bins.empty() ? 0 : (m_bins.back().index - m_bins.front().index + 1) * binMs;
}

// Level and rise at the end of the latest figures, by weighted least squares around the mean of the history.
// The prior is as wide as the history swings, so that a steady load is taken for its mean.
load_wave load_history::trend(double priorLevel) const
{
    load_wave out;
    out.level = priorLevel;
    if (m_bins.empty())
        return out;
    double totalWeight = noiseStdDev * noiseStdDev / (levelStdDev * levelStdDev);
    double mean = totalWeight * priorLevel;
    for (const bin& each : m_bins) {
        totalWeight += std::min(each.weight, maxBinWeight);
        mean += std::min(each.weight, maxBinWeight) * each.sum / each.weight;
    }
    mean /= totalWeight;
    double amplitudeVariance = amplitudeStdDev * amplitudeStdDev / 2;
    double excess = totalSquares() - static_cast<double>(m_bins.size()) * noiseStdDev * noiseStdDev;
    amplitudeVariance
        = (excess + amplitudePriorWeight * amplitudeVariance) / (totalWeight + amplitudePriorWeight);
    out.level = mean;
    if (amplitudeVariance <= 0)
        return out;

    int64_t last = m_bins.back().index;
    out.originUnixMs = last * binMs + binMs / 2;
    double weightSum = noiseStdDev * noiseStdDev / amplitudeVariance;
    double timeSum = 0;
    double timeSquareSum
        = noiseStdDev * noiseStdDev / (amplitudeVariance * slopeToAmplitudeRatio * slopeToAmplitudeRatio);
    double loadSum = 0;
    double timeLoadSum = 0;
    for (auto each = m_bins.rbegin(); each != m_bins.rend() && each->index > last - trendBins; ++each) {
        double weight = std::min(each->weight, maxBinWeight);
        double seconds = static_cast<double>((each->index - last) * binMs) / 1000;
        double load = each->sum / each->weight - mean;
        weightSum += weight;
        timeSum += weight * seconds;
        timeSquareSum += weight * seconds * seconds;
        loadSum += weight * load;
        timeLoadSum += weight * seconds * load;
    }
    double determinant = weightSum * timeSquareSum - timeSum * timeSum;
    out.level = mean + (loadSum * timeSquareSum - timeLoadSum * timeSum) / determinant;
    out.slopePerS = (weightSum * timeLoadSum - timeSum * loadSum) / determinant;
    return out;
}

load_wave load_history::fit(double periodMs, double priorLevel) const
{
    if (periodMs <= 0)
        return trend(priorLevel);
    // Normal equations of (level - typical, cosine, sine).
    std::array<std::array<double, 4>, 3> rows {};
    rows[0][0] = noiseStdDev * noiseStdDev / (levelStdDev * levelStdDev);
    rows[1][1] = rows[2][2] = noiseStdDev * noiseStdDev / (amplitudeStdDev * amplitudeStdDev);
    for (const bin& each : m_bins) {
        double weight = std::min(each.weight, maxBinWeight);
        double phase = phaseAt(each.index * binMs + binMs / 2, periodMs);
        std::array<double, 4> x { 1, std::cos(phase), std::sin(phase), each.sum / each.weight - priorLevel };
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
    return { priorLevel + rows[0][3] / rows[0][0], rows[1][3] / rows[1][1], rows[2][3] / rows[2][2] };
}

double load_history::residualSquares(double periodMs, double priorLevel) const
{
    load_wave wave = fit(periodMs, priorLevel);
    double sum = 0;
    for (const bin& each : m_bins) {
        double error = each.sum / each.weight - wave.at(each.index * binMs + binMs / 2, periodMs);
        sum += std::min(each.weight, maxBinWeight) * error * error;
    }
    return sum;
}

double load_history::totalSquares() const
{
    double weightSum = 0;
    double mean = 0;
    for (const bin& each : m_bins) {
        double weight = std::min(each.weight, maxBinWeight);
        weightSum += weight;
        mean += weight * each.sum / each.weight;
    }
    mean /= std::max(weightSum, 1e-9);
    double sum = 0;
    for (const bin& each : m_bins) {
        double error = each.sum / each.weight - mean;
        sum += std::min(each.weight, maxBinWeight) * error * error;
    }
    return sum;
}

std::optional<double> commonPeriod(const std::vector<const load_history*>& histories, double priorLevel)
{
    std::vector<const load_history*> candidates(histories);
    std::sort(candidates.begin(), candidates.end(),
        [](const load_history* a, const load_history* b) { return a->spanMs() > b->spanMs(); });
    if (candidates.size() > maxHistories)
        candidates.resize(maxHistories);
    // The share that a swing of the period leaves unexplained; 1 when too few histories can tell.
    auto unexplainedShare = [&](double period) {
        double residual = 0;
        double total = 0;
        size_t contributing = 0;
        for (const load_history* each : candidates) {
            if (static_cast<double>(each->spanMs()) < period * minPeriodsCovered)
                continue;
            residual += each->residualSquares(period, priorLevel);
            total += each->totalSquares();
            contributing++;
        }
        return 2 * contributing < candidates.size() || total <= 0 ? 1 : residual / total;
    };
    double bestPeriod = 0;
    double bestShare = 1 - minExplainedShare;
    double previousShare = 1;
    bool falling = false;
    for (double period = minPeriodMs; period < maxPeriodMs; period *= periodRatio) {
        double share = unexplainedShare(period);
        // A period that explains more than those on both sides; the longest that can be told is no such one.
        if (falling && share > previousShare && previousShare < bestShare) {
            bestShare = previousShare;
            bestPeriod = period / periodRatio;
        }
        falling = share < previousShare;
        previousShare = share;
    }
    if (bestPeriod <= 0)
        return std::nullopt;
    double coarse = bestPeriod;
    for (int i = -refinementSteps; i <= refinementSteps; i++) {
        double period = coarse * std::pow(refinementRatio, i);
        double share = unexplainedShare(period);
        if (share < bestShare) {
            bestShare = share;
            bestPeriod = period;
        }
    }
    return bestPeriod;
}

} // namespace camphorwell
