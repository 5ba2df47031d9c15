// How much a filler of one image raises the tail of a serving task of another, learnt from the workers' rough
// figures. The figure for a pair is the rise of tail / target for each core that the filler uses.
//
// The tail of a serving task is taken as a base of its own load plus the sum of what the fillers beside it
// add. Each observation moves the figures of the pairs that were present towards the tail that was seen, in
// proportion to the cores used (normalised least mean squares). A pair that was never seen takes the mean of
// its filler's image, and an image that was never seen a small default, so that it is tried.
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
    // Rise of tail / target of a serving task of `serving` for each core of `filler`.
    double perCore(const std::string& filler, const std::string& serving) const;
    // Tail / target of a serving task with nothing beside it.
    double base(const std::string& serving) const;

private:
    struct pair_figure {
        double perCore = 0;
        int seen = 0;
    };
    std::map<std::pair<std::string, std::string>, pair_figure> m_pairs;
    std::map<std::string, pair_figure> m_fillers;
    std::map<std::string, double> m_bases;
};

} // namespace camphorwell
