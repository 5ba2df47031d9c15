// How much a filler of one image strains a serving task of another, learnt from the workers' rough figures.
//
// The tail of a serving task behaves as that of a queue: tail = least / (1 - strain), where the strain is the
// task's own load plus what the fillers beside it add. So tails are turned into strains, which add up: a
// strain is the own load plus, for each filler image, the share of the worker's processors that it uses times
// the figure of the pair. The figures are learnt from changes: what a strain rose by against what the shares
// rose by, so that an own load that was forecast wrongly does not count again with each figure. What the
// changes tell is kept in information form, one small system for each serving image, since an observation
// concerns few fillers, and what is expected of a pair changes while others are learnt.
//
// Images resemble each other: some serving images mind hardly any filler, some mind those that lean on the
// same part of the machine. So what a pair is expected to be is a product of few traits of its two images,
// fitted to all pairs by turns (alternating least squares); each pair's own changes then pull it away from
// that. Answers the load of hundreds of pairs of which most have hardly been seen together.
//
// Images are interned: everything but `idOf` works on dense numbers, so that a pair is found without a
// search.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorwell {

using image_id = int; // Dense, from 0, in the order in which images were met.

class interference_model {
public:
    struct image_share {
        image_id image = 0;
        double share = 0; // Of the worker's processors, paced down as it is.
    };

    image_id internImage(const std::string& image);

    // `ratio` is tail / target of a serving task of `image`.
    void observeTailRatio(image_id image, double ratio);
    // What is known of the own load of one task, for the typical one of its image.
    void observeBaseLoad(image_id image, double load);
    // The strain of a task rose by `rise`, own load apart, when the shares beside it rose as given. `noise`
    // is the standard deviation of the rise.
    void observeRise(image_id image, double rise, const std::vector<image_share>& shares, double noiseStdDev);
    // Works out what the changes since the last call tell; until then pressures stay as they are.
    void refit();
    double utilisation(image_id image, double ratio) const;
    // The strain at which the tail is at its target.
    double utilisationLimit(image_id image) const;
    // Strain on a serving task of `serving` by a `filler` that used the whole worker; at least 0.
    double coefficient(image_id bestEffort, image_id serving) const;
    // Look-ups of a pair so far; their number is bounded by a test.
    uint64_t lookups() const { return m_lookups; }
    // Mean strain of a serving task by its own load.
    double baseLoad(image_id serving) const;

    // What was learnt, for the next owner of the cell; `restore` ignores what it cannot read.
    std::string encode() const;
    void restore(const std::string& bytes);

private:
    static constexpr int noIndex = -1;
    static constexpr size_t factorCount = 4;
    using latent_factors = std::array<double, factorCount>;
    // Of a serving image that nothing is known of; by its number, alike in every run.
    static latent_factors priorSensitivity(image_id);
    // Of one serving image.
    struct serving_model {
        double minTailRatio = 0; // Least tail / target seen.
        double baseLoad = 0; // Typical.
        std::vector<image_id> images; // The unknowns.
        std::vector<double> coefficients;
        std::vector<double>
            informationMatrix; // Square, by rows: sums of share times share over the variance.
        std::vector<double> informationVector; // Sums of share times rise over the variance.
        std::vector<int> indices; // Of each image among the unknowns, or `notAmong`.
        int observationsSinceRefit = 0; // Since the last settling.
        bool hasData = false; // A figure has come, or an earlier owner's.
    };
    // What the changes of one pair alone say of it, given the other pairs.
    struct estimate {
        double value = 0;
        double weight = 0; // 1 / variance, of a pair around what its traits let expect.
    };
    // A trait vector that is being fitted: normal equations with the prior in them.
    class factor_fit;

    // Place of the filler among the unknowns; nothing when there are too many.
    std::optional<size_t> unknownIndex(serving_model&, image_id bestEffort);
    void addUnknown(serving_model&, image_id bestEffort);
    serving_model& servingModelOf(image_id image);
    const serving_model* findServingModel(image_id image) const;
    // What a pair is taken for by the traits of its images.
    double expectedCoefficient(image_id bestEffort, image_id serving) const;
    static double residual(const serving_model&, size_t index);
    static estimate estimateOf(const serving_model&, size_t index);
    static void decay(serving_model&);
    void refineCoefficients(image_id serving);
    void fitSensitivities();
    void fitDisturbances();

    mutable uint64_t m_lookups = 0;
    std::unordered_map<std::string, image_id> m_ids;
    std::vector<std::string> m_names; // By id.
    std::vector<serving_model> m_servingModels; // By id of the serving image.
    std::vector<latent_factors> m_sensitivities; // By id of the serving image.
    std::vector<latent_factors> m_disturbances; // By id of the filler.
    std::vector<std::pair<size_t, double>> m_sharesByIndex; // For `learn`, kept for its storage.
};

} // namespace camphorwell
