// Learns how much best-effort tasks of one image slow latency-critical tasks of another, from the rough
// measurements in the workers' reports.
//
// Model: the tail latency of a latency-critical task behaves as in a queue,
//   tail = minimum tail / (1 - utilisation),
// where the utilisation is the task's base load plus, for each best-effort image on the worker, the share of
// the worker's processors that the image uses times the interference coefficient of the pair of images.
// Measured tails are converted to utilisations because these add up.
//
// Coefficients are learnt from differences between two measurements: the rise of the utilisation against the
// rise of the shares. An error in the forecast of the base load would otherwise count again with every
// measurement. Observations are kept in information form (information matrix and vector), one small linear
// system for each latency-critical image, because an observation concerns few best-effort images and because
// the prior of a pair changes while other pairs are learnt.
//
// Images resemble each other: some latency-critical images are hardly sensitive to any other image, and some
// are sensitive to those that use the same part of the machine. The prior of a pair is therefore the dot
// product of a few latent factors of its two images, fitted to all pairs by alternating least squares; the
// pair's own observations then shift its coefficient. So hundreds of pairs can be estimated of which most
// have hardly been seen together.
//
// Images are interned: all functions but `internImage` take dense ids, so that a pair is found without a
// search.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorwell {

using image_id = int; // Dense, from 0, in the order in which `internImage` first met the images.

class interference_model {
public:
    // Use of a worker by the best-effort tasks of one image.
    struct image_share {
        image_id image = 0;
        double share = 0; // Share of the worker's processors at the tasks' current pace, 0 to 1.
    };

    image_id internImage(const std::string& image);

    // `ratio` is tail latency / target of a latency-critical task of `image`.
    void observeTailRatio(image_id image, double ratio);
    // The estimated base load of one task, for the mean of its image.
    void observeBaseLoad(image_id image, double load);
    // The utilisation of a task, less its base load, rose by `rise` while the shares on its worker rose by
    // `shares`, which may be negative here. `noiseStdDev` is the standard deviation of the rise.
    void observeRise(image_id image, double rise, const std::vector<image_share>& shares, double noiseStdDev);
    // Updates the coefficients from the observations since the last call; they don't change in between.
    void refit();
    // Utilisation at which the tail latency is `ratio` times its target.
    double utilisation(image_id image, double ratio) const;
    // The utilisation at which the tail latency equals its target.
    double utilisationLimit(image_id image) const;
    // Utilisation that best-effort tasks using all of a worker's processors add to a latency-critical task;
    // at least 0.
    double coefficient(image_id bestEffort, image_id latencyCritical) const;
    // Number of calls of `coefficient`; a test bounds it.
    uint64_t lookups() const { return m_lookups; }
    // Mean base load of the image's tasks.
    double baseLoad(image_id latencyCritical) const;

    // Serialises what was learnt in at most `maxBytes`, for the next leader of the cell. What has the least
    // observations is left out first. `restore` ignores unreadable bytes.
    std::string encode(size_t maxBytes = std::numeric_limits<size_t>::max()) const;
    void restore(const std::string& bytes);

private:
    static constexpr int noIndex = -1;
    static constexpr size_t factorCount = 4;
    using latent_factors = std::array<double, factorCount>;
    // Prior of a latency-critical image's factors. It depends on the id alone, so that runs are reproducible.
    static latent_factors priorSensitivity(image_id);
    // What is known of one latency-critical image. Its unknowns are the coefficients of `images`.
    struct latency_critical_model {
        double minTailRatio = 0; // Least tail latency / target seen.
        double baseLoad = 0; // Exponential moving average.
        std::vector<image_id> images; // Best-effort images.
        std::vector<double> coefficients;
        // Square, by rows: sums of share * share / variance.
        std::vector<double> informationMatrix;
        std::vector<double> informationVector; // Sums of share * rise / variance.
        std::vector<int> indices; // By image: its index in `images`, or `noIndex`.
        int observationsSinceRefit = 0;
        bool hasData = false; // Has a measurement or was restored.
    };
    // Coefficient of one pair by its own observations, with the other coefficients fixed.
    struct estimate {
        double value = 0;
        double weight = 0; // 1 / variance around the prior from the latent factors.
    };
    class factor_fit;

    // For each image, the indices of its unknowns in an encoding of at most `maxBytes`; nothing for an image
    // that is left out.
    using encoded_unknowns = std::vector<std::optional<std::vector<size_t>>>;
    encoded_unknowns chooseEncodedUnknowns(size_t maxBytes) const;
    // The part of the information vector at `index` that the unknowns left out of the encoding do not
    // explain.
    static double encodedInformation(
        const latency_critical_model&, size_t index, const std::vector<size_t>& encoded);
    // Index of the unknown for the image, which is added if it is new; nothing if there are too many.
    std::optional<size_t> unknownIndex(latency_critical_model&, image_id bestEffort);
    void addUnknown(latency_critical_model&, image_id bestEffort);
    // The image's model, initialised with defaults if it has no data yet.
    latency_critical_model& latencyCriticalModelOf(image_id image);
    // The image's model, or null if it has no data yet.
    const latency_critical_model* findLatencyCriticalModel(image_id image) const;
    // Prior of a pair: the dot product of the latent factors of its images.
    double expectedCoefficient(image_id bestEffort, image_id latencyCritical) const;
    static double residual(const latency_critical_model&, size_t index);
    static estimate estimateOf(const latency_critical_model&, size_t index);
    static void decay(latency_critical_model&);
    void refineCoefficients(image_id latencyCritical);
    void fitSensitivities();
    void fitDisturbances();

    mutable uint64_t m_lookups = 0;
    std::unordered_map<std::string, image_id> m_ids;
    std::vector<std::string> m_names; // By id.
    std::vector<latency_critical_model> m_latencyCriticalModels; // By id of the latency-critical image.
    std::vector<latent_factors> m_sensitivities; // By id of the latency-critical image.
    std::vector<latent_factors> m_disturbances; // By id of the best-effort image.
    std::vector<std::pair<size_t, double>> m_sharesByIndex; // Scratch space of `observeRise`.
};

} // namespace camphorwell
