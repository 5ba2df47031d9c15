// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr double defaultLoad = 0.45;
    constexpr double defaultPressure = 0.5;
    constexpr double mostPressure = 3; // More would be an error of learning.
    constexpr double defaultLeast = 0.25; // Tail / target of an idle serving task.
    constexpr double greatestStrain = 0.98; // A tail beyond it says nothing more.
    constexpr double ownLoadRate = 0.02; // Weight of one figure in the typical own load.
    constexpr double pressureSpread = 0.7; // Standard deviation of the prior.
    constexpr double forgetting = 0.9998; // Of older observations, at each new one.
    constexpr int learntFormat = 3; // Earlier ones held other figures.
    constexpr size_t mostUnknowns = 24; // Further filler images are taken for harmless.
} // namespace

double interference::priorOf(const std::string& filler) const
{
    double sum = 0;
    int systems = 0;
    for (const auto& [image, known] : m_systems) {
        auto at = std::find(known.fillers.begin(), known.fillers.end(), filler);
        if (at == known.fillers.end())
            continue;
        sum += std::clamp(known.values[static_cast<size_t>(at - known.fillers.begin())], 0.0, mostPressure);
        systems++;
    }
    return systems > 0 ? sum / systems : defaultPressure;
}

interference::system& interference::systemOf(const std::string& image)
{
    auto [at, fresh] = m_systems.try_emplace(image);
    if (fresh) {
        at->second.least = defaultLeast;
        at->second.ownLoad = defaultLoad;
    }
    return at->second;
}

std::optional<size_t> interference::indexOf(system& known, const std::string& filler)
{
    auto found = std::find(known.fillers.begin(), known.fillers.end(), filler);
    if (found != known.fillers.end())
        return static_cast<size_t>(found - known.fillers.begin());
    size_t old = known.values.size();
    if (old >= mostUnknowns)
        return std::nullopt;
    double prior = priorOf(filler);
    std::vector<double> grown((old + 1) * (old + 1));
    for (size_t row = 0; row < old; row++)
        std::copy_n(known.covariance.begin() + static_cast<long>(row * old), old,
            grown.begin() + static_cast<long>(row * (old + 1)));
    grown.back() = pressureSpread * pressureSpread;
    known.covariance.swap(grown);
    known.fillers.push_back(filler);
    known.values.push_back(prior);
    return old;
}

std::string interference::encode() const
{
    using nlohmann::json;
    json rows = json::array();
    for (const auto& [image, known] : m_systems)
        rows.push_back({ image, known.least, known.ownLoad, known.fillers, known.values, known.covariance });
    std::string out;
    json::to_cbor(json::array({ learntFormat, std::move(rows) }), out);
    return out;
}

void interference::restore(const std::string& bytes)
{
    using nlohmann::json;
    try {
        json read = json::from_cbor(bytes, true, false);
        if (!read.is_array() || read.at(0).get<int>() != learntFormat)
            return;
        for (const auto& row : read.at(1)) {
            system known { row.at(1), row.at(2), row.at(3), row.at(4), row.at(5) };
            size_t n = known.values.size();
            if (n == known.fillers.size() && known.covariance.size() == n * n)
                m_systems[row.at(0)] = std::move(known);
        }
    } catch (const json::exception&) {
        // Of another writer or a newer format: it is learnt anew.
    }
}

double interference::limit(const std::string& image) const
{
    auto found = m_systems.find(image);
    return 1 - (found == m_systems.end() ? defaultLeast : found->second.least);
}

double interference::ownLoad(const std::string& serving) const
{
    auto found = m_systems.find(serving);
    return found == m_systems.end() ? defaultLoad : found->second.ownLoad;
}

double interference::strain(const std::string& image, double ratio) const
{
    return std::clamp(1 - (1 - limit(image)) / std::max(ratio, 0.01), 0.0, greatestStrain);
}

double interference::pressure(const std::string& filler, const std::string& serving) const
{
    m_searches++;
    auto found = m_systems.find(serving);
    if (found == m_systems.end())
        return priorOf(filler);
    const auto& fillers = found->second.fillers;
    auto at = std::find(fillers.begin(), fillers.end(), filler);
    if (at == fillers.end())
        return priorOf(filler);
    return std::clamp(found->second.values[static_cast<size_t>(at - fillers.begin())], 0.0, mostPressure);
}

void interference::noteTail(const std::string& image, double ratio)
{
    system& known = systemOf(image);
    known.least = std::min(known.least, ratio);
}

void interference::noteOwnLoad(const std::string& image, double load)
{
    system& known = systemOf(image);
    known.ownLoad += ownLoadRate * (load - known.ownLoad);
}

void interference::learn(
    const std::string& image, double rise, const std::vector<neighbour>& shares, double noise)
{
    system& known = systemOf(image);
    std::vector<std::pair<size_t, double>> present;
    for (const neighbour& each : shares) {
        if (auto index = indexOf(known, each.image))
            present.emplace_back(*index, each.share);
    }
    size_t n = known.values.size();
    std::vector<double> x(n);
    for (const auto& [index, share] : present)
        x[index] += share;
    double error = rise;
    for (size_t i = 0; i < n; i++)
        error -= x[i] * known.values[i];
    std::vector<double> gain(n);
    double scale = forgetting * noise * noise;
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            gain[row] += known.covariance[row * n + column] * x[column];
        scale += x[row] * gain[row];
    }
    for (size_t row = 0; row < n; row++)
        known.values[row] += gain[row] / scale * error;
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            known.covariance[row * n + column]
                = (known.covariance[row * n + column] - gain[row] * gain[column] / scale) / forgetting;
    }
}

} // namespace camphorwell
