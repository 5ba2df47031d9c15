// Forecast of the own load of serving tasks: the strain that their users put on them, fillers apart.
//
// The tasks of a step serve the same users, so their figures are put together, half a second a mean. Users
// come in waves: the load is taken as a level and one swing, whose period is common to the cell. Each step's
// wave is a least-squares fit with a prior, so that a few seconds of history already bend the forecast the
// right way; the period is the one of a bank of candidates that explains the histories best. Answers the load
// of serving tasks whose traffic rises and falls within the run of a filler.
//
// Units: times are Unix milliseconds, so that a later owner can use the waves of an earlier one.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorwell {

// level + cosine * cos(2 pi t / period) + sine * sin(2 pi t / period); with a period of 0 the level at `from`
// and its rise, which is followed for a short time only.
struct load_wave {
    double level = 0;
    double cosine = 0;
    double sine = 0;
    double slopePerS = 0;
    int64_t originUnixMs = 0; // Unix milliseconds.
    double at(int64_t unixMs, double periodMs) const;
    bool operator==(const load_wave&) const = default;
};

// The latest figures of a step's tasks.
class load_history {
public:
    static constexpr int64_t binMs = 500; // The span that a worker's figure tells of.
    static constexpr size_t maxBins = 60;

    // Figures as a wave gives them, of the last whole period.
    static load_history fromWave(const load_wave&, double periodMs, int64_t untilUnixMs);

    // A figure for the time around `at`. The weight is 1 for a task on its own and less the more of the
    // figure was explained by something else.
    void observe(int64_t unixMs, double load, double weight);
    // Spans with a figure, of those that are kept.
    size_t binCount() const { return m_bins.size(); }
    int64_t spanMs() const;
    // The wave of the given period that fits best; for a period of 0 the line through the latest figures.
    // `typical` is the level expected before any figure.
    load_wave fit(double periodMs, double priorLevel) const;
    // Weighted squares that the best wave of the period leaves over; of all that the mean leaves over.
    double residualSquares(double periodMs, double priorLevel) const;
    double totalSquares() const;

private:
    struct bin {
        int64_t index = 0; // Time over binMs.
        double sum = 0;
        double weight = 0;
    };
    load_wave trend(double priorLevel) const;
    std::vector<bin> m_bins; // By time.
};

// The period that most histories share; nothing when none explains them.
std::optional<double> commonPeriod(const std::vector<const load_history*>&, double priorLevel);

} // namespace camphorwell
