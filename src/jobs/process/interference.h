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
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorwell {

class interference {
public:
    struct neighbour {
        std::string image;
        double share = 0; // Of the worker's processors, paced down as it is.
    };

    // `ratio` is tail / target of a serving task of `image`.
    void noteTail(const std::string& image, double ratio);
    // What is known of the own load of one task, for the typical one of its image.
    void noteOwnLoad(const std::string& image, double load);
    // The strain of a task rose by `rise`, own load apart, when the shares beside it rose as given. `noise`
    // is the standard deviation of the rise.
    void learn(const std::string& image, double rise, const std::vector<neighbour>& shares, double noise);
    double strain(const std::string& image, double ratio) const;
    // The strain at which the tail is at its target.
    double limit(const std::string& image) const;
    // Strain on a serving task of `serving` by a `filler` that used the whole worker; at least 0.
    double pressure(const std::string& filler, const std::string& serving) const;
    // Searches for a pair so far: each costs some string comparisons, so their number is bounded by a test.
    uint64_t searches() const { return m_searches; }
    // Mean strain of a serving task by its own load.
    double ownLoad(const std::string& serving) const;

    // What was learnt, for the next owner of the cell; `restore` ignores what it cannot read.
    std::string encode() const;
    void restore(const std::string& bytes);

private:
    struct system {
        double least = 0; // Least tail / target seen.
        double ownLoad = 0; // Typical.
        std::vector<std::string> fillers; // The unknowns.
        std::vector<double> values;
        std::vector<double> covariance; // Square, by rows.
    };
    // Place of the filler among the unknowns; nothing when there are too many.
    std::optional<size_t> indexOf(system&, const std::string& filler);
    system& systemOf(const std::string& image);
    // What a pair is taken for that has not been seen together.
    double priorOf(const std::string& filler) const;
    mutable uint64_t m_searches = 0;
    std::map<std::string, system> m_systems; // By serving image.
};

} // namespace camphorwell
