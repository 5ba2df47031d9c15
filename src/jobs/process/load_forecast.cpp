// See load_forecast.h. The fit solves the three normal equations of a ridge regression in closed form.
#include "jobs/process/load_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphorwell {

namespace {
    // Standard deviation of the mean of a bin.
    constexpr double noiseStdDev = 0.08;
    // Standard deviations of the level and of each sinusoid coefficient before any measurement.
    constexpr double levelStdDev = 0.08;
    constexpr double amplitudeStdDev = 0.16;
    // Limits the weight of a bin, because the errors of tasks in the same half second are correlated.
    constexpr double maxBinWeight = 3;

    // Candidate periods form a geometric series: they are distinguished by the phase error that they build up
    // over a history.
    constexpr double minPeriodMs = 4000;
    constexpr double maxPeriodMs = 60'000;
    constexpr double periodRatio = 1.05;
    // A second, finer series is searched on each side of the best candidate.
    constexpr int refinementSteps = 5;
    constexpr double refinementRatio = 1.01;
    constexpr size_t maxHistories = 24; // Only the longest histories take part in the search.
    constexpr double minPeriodsCovered = 0.8; // Least length of a history, in periods, to rate a period.
    // Least share of the variance that a period must explain. Interference by best-effort tasks that has not
    // been learnt yet makes up as much as a third of the variance.
    constexpr double minExplainedShare = 0.5;

    // The line that is fitted while the period is unknown.
    constexpr int64_t trendBins = 4; // Latest bins that are fitted.
    constexpr double maxExtrapolationS = 1.25;
    // Prior standard deviation of the slope per second, relative to the standard deviation of the load.
    constexpr double slopeToStdDevRatio = 0.6;
    // Weight of the prior of the load's variance, as a number of bins of weight 1.
    constexpr double variancePriorWeight = 4;

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

// Level and slope at the latest bin, by weighted least squares around the mean of the history. The prior's
// width follows the variance of the history, so that the line of a steady load is its mean.
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
    double loadVariance = amplitudeStdDev * amplitudeStdDev / 2;
    double excess = totalSquares() - static_cast<double>(m_bins.size()) * noiseStdDev * noiseStdDev;
    loadVariance = (excess + variancePriorWeight * loadVariance) / (totalWeight + variancePriorWeight);
    out.level = mean;
    if (loadVariance <= 0)
        return out;

    int64_t last = m_bins.back().index;
    out.originUnixMs = last * binMs + binMs / 2;
    double weightSum = noiseStdDev * noiseStdDev / loadVariance;
    double timeSum = 0;
    double timeSquareSum
        = noiseStdDev * noiseStdDev / (loadVariance * slopeToStdDevRatio * slopeToStdDevRatio);
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
    // Normal equations for (level - priorLevel, cosine, sine).
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
    std::vector<const load_history*> longestHistories(histories);
    std::sort(longestHistories.begin(), longestHistories.end(),
        [](const load_history* a, const load_history* b) { return a->spanMs() > b->spanMs(); });
    if (longestHistories.size() > maxHistories)
        longestHistories.resize(maxHistories);
    // The share of the squared deviations that a wave of the period leaves unexplained; 1 if fewer than half
    // of the histories are long enough.
    auto unexplainedShare = [&](double period) {
        double residual = 0;
        double total = 0;
        size_t contributing = 0;
        for (const load_history* each : longestHistories) {
            if (static_cast<double>(each->spanMs()) < period * minPeriodsCovered)
                continue;
            residual += each->residualSquares(period, priorLevel);
            total += each->totalSquares();
            contributing++;
        }
        return 2 * contributing < longestHistories.size() || total <= 0 ? 1 : residual / total;
    };
    double bestPeriod = 0;
    double bestShare = 1 - minExplainedShare;
    double previousShare = 1;
    bool falling = false;
    for (double period = minPeriodMs; period < maxPeriodMs; period *= periodRatio) {
        double share = unexplainedShare(period);
        // Accepts a local minimum. The longest candidate has no neighbour above it and is never accepted; a
        // period that too few histories cover rates 1.
        if (falling && share > previousShare && previousShare < bestShare) {
            bestShare = previousShare;
            bestPeriod = period / periodRatio;
        }
        falling = share < previousShare;
        previousShare = share;
    }
    if (bestPeriod <= 0)
        return std::nullopt;
    double coarsePeriod = bestPeriod;
    for (int i = -refinementSteps; i <= refinementSteps; i++) {
        double period = coarsePeriod * std::pow(refinementRatio, i);
        double share = unexplainedShare(period);
        if (share < bestShare) {
            bestShare = share;
            bestPeriod = period;
        }
    }
    return bestPeriod;
}

} // namespace camphorwell
