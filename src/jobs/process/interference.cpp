// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>

namespace camphorwell {

namespace {
    constexpr double defaultPerCore = 0.03;
    constexpr double defaultBase = 0.45;
    constexpr double learningRate = 0.35;
    constexpr double baseRate = 0.05;
    constexpr double fillerRate = 0.15;
    constexpr double greatestRatio = 6; // A tail beyond it says nothing more.
    constexpr int seenToTrust = 2;
} // namespace

double interference::perCore(const std::string& filler, const std::string& serving) const
{
    auto pair = m_pairs.find({ filler, serving });
    if (pair != m_pairs.end() && pair->second.seen >= seenToTrust)
        return pair->second.perCore;
    auto mean = m_fillers.find(filler);
    return mean != m_fillers.end() ? mean->second.perCore : defaultPerCore;
}

double interference::base(const std::string& serving) const
{
    auto found = m_bases.find(serving);
    return found == m_bases.end() ? defaultBase : found->second;
}

void interference::observe(const std::string& image, double ratio, const std::vector<neighbour>& beside)
{
    ratio = std::min(ratio, greatestRatio);
    double expected = base(image);
    double energy = 0;
    for (const auto& each : beside) {
        expected += perCore(each.image, image) * each.cores;
        energy += each.cores * each.cores;
    }
    double error = ratio - expected;
    if (energy <= 0) {
        m_bases[image] = base(image) + baseRate * error;
        return;
    }
    for (const auto& each : beside) {
        double moved = std::max(0.0, perCore(each.image, image) + learningRate * error * each.cores / energy);
        pair_figure& pair = m_pairs[{ each.image, image }];
        pair.perCore = moved;
        pair.seen++;
        pair_figure& filler = m_fillers[each.image];
        filler.perCore = filler.seen++ == 0 ? moved : filler.perCore + fillerRate * (moved - filler.perCore);
    }
}

} // namespace camphorwell
