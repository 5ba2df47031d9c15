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

class interference {
public:
    struct neighbour {
        image_id image = 0;
        double share = 0; // Of the worker's processors, paced down as it is.
    };

    image_id idOf(const std::string& image);

    // `ratio` is tail / target of a serving task of `image`.
    void noteTail(image_id image, double ratio);
    // What is known of the own load of one task, for the typical one of its image.
    void noteOwnLoad(image_id image, double load);
    // The strain of a task rose by `rise`, own load apart, when the shares beside it rose as given. `noise`
    // is the standard deviation of the rise.
    void learn(image_id image, double rise, const std::vector<neighbour>& shares, double noise);
    // Works out what the changes since the last call tell; until then pressures stay as they are.
    void settle();
    double strain(image_id image, double ratio) const;
    // The strain at which the tail is at its target.
    double limit(image_id image) const;
    // Strain on a serving task of `serving` by a `filler` that used the whole worker; at least 0.
    double pressure(image_id filler, image_id serving) const;
    // Look-ups of a pair so far; their number is bounded by a test.
    uint64_t searches() const { return m_searches; }
    // Mean strain of a serving task by its own load.
    double ownLoad(image_id serving) const;

    // What was learnt, for the next owner of the cell; `restore` ignores what it cannot read.
    std::string encode() const;
    void restore(const std::string& bytes);

private:
    static constexpr int notAmong = -1;
    static constexpr size_t traitCount = 4;
    using traits = std::array<double, traitCount>;
    // Of a serving image that nothing is known of; by its number, alike in every run.
    static traits firstSensitivity(image_id);
    // Of one serving image.
    struct system {
        double least = 0; // Least tail / target seen.
        double ownLoad = 0; // Typical.
        std::vector<image_id> fillers; // The unknowns.
        std::vector<double> values;
        std::vector<double> information; // Square, by rows: sums of share times share over the variance.
        std::vector<double> evidence; // Sums of share times rise over the variance.
        std::vector<int> places; // Of each image among the unknowns, or `notAmong`.
        int observations = 0; // Since the last settling.
        bool met = false; // A figure has come, or an earlier owner's.
    };
    // What the changes of one pair alone say of it, given the other pairs.
    struct estimate {
        double value = 0;
        double weight = 0; // 1 / variance, of a pair around what its traits let expect.
    };
    // A trait vector that is being fitted: normal equations with the prior in them.
    class trait_fit;

    // Place of the filler among the unknowns; nothing when there are too many.
    std::optional<size_t> placeOf(system&, image_id filler);
    void addUnknown(system&, image_id filler);
    system& systemOf(image_id image);
    const system* metSystem(image_id image) const;
    // What a pair is taken for by the traits of its images.
    double expected(image_id filler, image_id serving) const;
    static double remainder(const system&, size_t place);
    static estimate estimateOf(const system&, size_t place);
    static void fade(system&);
    void settleValues(image_id serving);
    void fitSensitivities();
    void fitDisturbances();

    mutable uint64_t m_searches = 0;
    std::unordered_map<std::string, image_id> m_ids;
    std::vector<std::string> m_names; // By id.
    std::vector<system> m_systems; // By id of the serving image.
    std::vector<traits> m_sensitivities; // By id of the serving image.
    std::vector<traits> m_disturbances; // By id of the filler.
    std::vector<std::pair<size_t, double>> m_shares; // For `learn`, kept for its storage.
};

} // namespace camphorwell
