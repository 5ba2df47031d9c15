// How much a filler of one image strains a serving task of another, learnt from the workers' rough figures.
//
// The tail of a serving task behaves as that of a queue: tail = least / (1 - strain), where the strain is the
// task's own load plus what the fillers beside it add. So tails are turned into strains, which add up: a
// strain is the own load plus, for each filler image, the share of the worker's processors that it uses times
// the figure of the pair. The figures are learnt by recursive least squares, one small system for each
// serving image, from changes: what a strain rose by against what the shares rose by, so that an own load
// that was forecast wrongly does not count again with each figure. The prior takes a pair for what the filler
// does to other images, and an unknown filler for mildly harmful. Answers the load of a few fillers that
// disturb badly among many that do not.
//
// Images are interned: everything but `idOf` works on dense numbers, so that a pair is found without a
// search.
#pragma once

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
    struct system {
        double least = 0; // Least tail / target seen.
        double ownLoad = 0; // Typical.
        std::vector<image_id> fillers; // The unknowns.
        std::vector<double> values;
        std::vector<double> covariance; // Square, by rows.
        std::vector<int> places; // Of each image among the unknowns, or `notAmong`.
        bool met = false; // A figure has come, or an earlier owner's.
    };
    // What one filler does to the serving images that it has been seen beside.
    struct filler_mean {
        double sum = 0;
        int systems = 0;
    };
    // Place of the filler among the unknowns; nothing when there are too many.
    std::optional<size_t> placeOf(system&, image_id filler);
    void addUnknown(system&, image_id filler, double value);
    system& systemOf(image_id image);
    const system* metSystem(image_id image) const;
    // What a pair is taken for that has not been seen together.
    double priorOf(image_id filler) const;
    void setValue(system&, size_t place, double value);

    mutable uint64_t m_searches = 0;
    std::unordered_map<std::string, image_id> m_ids;
    std::vector<std::string> m_names; // By id.
    std::vector<system> m_systems; // By id of the serving image.
    std::vector<filler_mean> m_means; // By id of the filler.
    std::vector<double> m_shares; // For `learn`, kept for its storage.
    std::vector<double> m_gain;
};

} // namespace camphorwell
