// Forecasts the base load of latency-critical tasks: the utilisation that their own requests cause, without
// the best-effort tasks beside them.
//
// The tasks of a step serve the same users, so their measurements are averaged over bins of half a second.
// Traffic is periodic: the load is modelled as a level plus one sinusoid whose period is common to the cell.
// Each step's wave is a least-squares fit with a prior, so that a few seconds of history already shift the
// forecast in the right direction; the period is the candidate that explains all histories best. This covers
// services whose traffic rises and falls within the run time of a best-effort task.
//
// Units: times are Unix milliseconds, so that a new leader can use the waves of an earlier one.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorwell {

// A load over time, for a period p > 0:
//   level + cosine * cos(2 pi t / p) + sine * sin(2 pi t / p).
// With a period of 0 it is a line, `level` at `originUnixMs` with slope `slopePerS`, that becomes constant a
// short time before and after the origin.
struct load_wave {
    double level = 0;
    double cosine = 0;
    double sine = 0;
    double slopePerS = 0;
    int64_t originUnixMs = 0;
    double at(int64_t unixMs, double periodMs) const;
    bool operator==(const load_wave&) const = default;
};

// Recent measurements of a step's tasks, in bins.
class load_history {
public:
    static constexpr int64_t binMs = 500; // The time that a worker's measurement covers.
    static constexpr size_t maxBins = 60;

    // The history that the wave would have produced over the last whole period before `untilUnixMs`.
    static load_history fromWave(const load_wave&, double periodMs, int64_t untilUnixMs);

    // Adds a measurement of the time around `unixMs`. `weight` is 1 for a task without best-effort tasks
    // beside it, and decreases with the part of the measurement that was attributed to those.
    void observe(int64_t unixMs, double load, double weight);
    size_t binCount() const { return m_bins.size(); }
    int64_t spanMs() const;
    // The wave of the given period that fits best; for a period of 0 the line through the latest bins.
    // `priorLevel` is the level expected without measurements.
    load_wave fit(double periodMs, double priorLevel) const;
    // Weighted sum of squared deviations from the best wave of the period.
    double residualSquares(double periodMs, double priorLevel) const;
    // Weighted sum of squared deviations from the mean.
    double totalSquares() const;

private:
    struct bin {
        int64_t index = 0; // Unix time / binMs.
        double sum = 0;
        double weight = 0;
    };
    load_wave trend(double priorLevel) const;
    std::vector<bin> m_bins; // Sorted by time.
};

// The period in milliseconds that explains most of the histories' variation; nothing if no period explains
// enough of it.
std::optional<double> commonPeriod(const std::vector<const load_history*>&, double priorLevel);

} // namespace camphorwell
