// How much a filler of one image strains a serving task of another, learnt from the workers' rough figures.
//
// The tail of a serving task behaves as that of a queue: tail = least / (1 - strain), where the strain is the
// task's own load plus what the fillers beside it add. So tails are turned into strains, which add up: a
// strain is the image's mean load plus, for each filler image, its cores in use times the figure of the pair.
// The figures are learnt by recursive least squares, one small system for each serving image, from a prior
// that takes every pair for harmless. Answers the load of a few pairs that disturb each other badly among
// many that do not, in figures that are dominated by the swing of the serving task's own load.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace camphorwell {

class interference {
public:
    struct neighbour {
        std::string image;
        double cores = 0; // In use, paced down as it is.
    };

    // `ratio` is tail / target of a serving task of `image`.
    void observe(const std::string& image, double ratio, const std::vector<neighbour>& beside);
    double strain(const std::string& image, double ratio) const;
    // The strain at which the tail is at its target.
    double limit(const std::string& image) const;
    // Strain on a serving task of `serving` for each core of `filler`; at least 0.
    double perCore(const std::string& filler, const std::string& serving) const;
    // Mean strain of a serving task by its own load.
    double ownLoad(const std::string& serving) const;

    // What was learnt, for the next owner of the cell; `restore` ignores what it cannot read.
    std::string encode() const;
    void restore(const std::string& bytes);

private:
    struct system {
        double least = 0; // Least tail / target seen.
        std::vector<std::string> fillers; // Names of all unknowns but the first, which is the own load.
        std::vector<double> values;
        std::vector<double> covariance; // Square, by rows.
        size_t indexOf(const std::string& filler);
    };
    std::map<std::string, system> m_systems; // By serving image.
};

} // namespace camphorwell
