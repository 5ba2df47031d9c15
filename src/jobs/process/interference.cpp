// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr double defaultLoad = 0.45;
    constexpr double defaultPerCore = 0.012;
    constexpr double defaultLeast = 0.25; // Tail / target of an idle serving task.
    constexpr double greatestStrain = 0.98; // A tail beyond it says nothing more.
    // Standard deviations: of one observation, mostly the swing of the own load, and of the priors.
    constexpr double noise = 0.17;
    constexpr double loadSpread = 0.10;
    constexpr double perCoreSpread = 0.04;
    constexpr double forgetting = 0.9995; // Of older observations, at each new one.
    constexpr int learntFormat = 1;
    constexpr size_t mostUnknowns = 25; // Further filler images are taken for harmless.
} // namespace

size_t interference::system::indexOf(const std::string& filler)
{
    auto found = std::find(fillers.begin(), fillers.end(), filler);
    if (found != fillers.end())
        return static_cast<size_t>(found - fillers.begin()) + 1;
    size_t old = values.size();
    if (old >= mostUnknowns)
        return 0;
    std::vector<double> grown((old + 1) * (old + 1));
    for (size_t row = 0; row < old; row++)
        std::copy_n(covariance.begin() + static_cast<long>(row * old), old,
            grown.begin() + static_cast<long>(row * (old + 1)));
    grown.back() = perCoreSpread * perCoreSpread / (noise * noise);
    covariance.swap(grown);
    fillers.push_back(filler);
    values.push_back(defaultPerCore);
    return old;
}

std::string interference::encode() const
{
    using nlohmann::json;
    json rows = json::array();
    for (const auto& [image, known] : m_systems)
        rows.push_back({ image, known.least, known.fillers, known.values, known.covariance });
    std::string out;
    json::to_cbor(json::array({ learntFormat, std::move(rows) }), out);
    return out;
}

void interference::restore(const std::string& bytes)
{
    using nlohmann::json;
    try {
        json read = json::from_cbor(bytes, true, false);
        if (!read.is_array() || read.at(0).get<int>() > learntFormat)
            return;
        for (const auto& row : read.at(1)) {
            system known { row.at(1), row.at(2), row.at(3), row.at(4) };
            size_t n = known.values.size();
            if (n == known.fillers.size() + 1 && known.covariance.size() == n * n)
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
    return found == m_systems.end() ? defaultLoad : found->second.values.front();
}

double interference::strain(const std::string& image, double ratio) const
{
    return std::clamp(1 - (1 - limit(image)) / std::max(ratio, 0.01), 0.0, greatestStrain);
}

double interference::perCore(const std::string& filler, const std::string& serving) const
{
    auto found = m_systems.find(serving);
    if (found == m_systems.end())
        return defaultPerCore;
    const auto& fillers = found->second.fillers;
    auto at = std::find(fillers.begin(), fillers.end(), filler);
    if (at == fillers.end())
        return defaultPerCore;
    return std::max(0.0, found->second.values[static_cast<size_t>(at - fillers.begin()) + 1]);
}

void interference::observe(const std::string& image, double ratio, const std::vector<neighbour>& beside)
{
    auto [at, fresh] = m_systems.try_emplace(image);
    system& known = at->second;
    if (fresh) {
        known.least = defaultLeast;
        known.values = { defaultLoad };
        known.covariance = { loadSpread * loadSpread / (noise * noise) };
    }
    known.least = std::min(known.least, ratio);
    std::vector<size_t> present(beside.size());
    std::transform(beside.begin(), beside.end(), present.begin(),
        [&](const neighbour& each) { return known.indexOf(each.image); });
    size_t n = known.values.size();
    std::vector<double> x(n);
    x[0] = 1;
    for (size_t i = 0; i < beside.size(); i++) {
        if (present[i] > 0)
            x[present[i]] += beside[i].cores;
    }
    double seen = strain(image, ratio);
    double expected = 0;
    for (size_t i = 0; i < n; i++)
        expected += x[i] * known.values[i];
    // Beyond the greatest strain any sum explains the tail.
    if (seen >= greatestStrain && expected > seen)
        return;
    std::vector<double> gain(n);
    double scale = forgetting;
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            gain[row] += known.covariance[row * n + column] * x[column];
        scale += x[row] * gain[row];
    }
    double error = seen - expected;
    for (size_t row = 0; row < n; row++)
        known.values[row] += gain[row] / scale * error;
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            known.covariance[row * n + column]
                = (known.covariance[row * n + column] - gain[row] * gain[column] / scale) / forgetting;
    }
}

} // namespace camphorwell
