// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr double defaultLoad = 0.45;
    constexpr double defaultPressure = 0.45;
    constexpr double defaultLeast = 0.25; // Tail / target of an idle serving task.
    constexpr double greatestStrain = 0.98; // A tail beyond it says nothing more.
    // Standard deviations: of one observation, mostly the swing of the own load, with and without a forecast
    // of it, and of the priors.
    constexpr double noise = 0.17;
    constexpr double noiseForecast = 0.08;
    constexpr double loadSpread = 0.10;
    constexpr double pressureSpread = 1.0;
    constexpr double forgetting = 0.9995; // Of older observations, at each new one.
    constexpr int learntFormat = 2; // 1 held figures for a core, not for a share.
    constexpr size_t mostUnknowns = 25; // Further filler images are taken for harmless.
} // namespace

double interference::priorOf(const std::string& filler) const
{
    double sum = 0;
    int systems = 0;
    for (const auto& [image, known] : m_systems) {
        auto at = std::find(known.fillers.begin(), known.fillers.end(), filler);
        if (at == known.fillers.end())
            continue;
        sum += std::max(0.0, known.values[static_cast<size_t>(at - known.fillers.begin()) + 1]);
        systems++;
    }
    return systems > 0 ? sum / systems : defaultPressure;
}

size_t interference::indexOf(system& known, const std::string& filler)
{
    auto found = std::find(known.fillers.begin(), known.fillers.end(), filler);
    if (found != known.fillers.end())
        return static_cast<size_t>(found - known.fillers.begin()) + 1;
    size_t old = known.values.size();
    if (old >= mostUnknowns)
        return 0;
    double prior = priorOf(filler);
    std::vector<double> grown((old + 1) * (old + 1));
    for (size_t row = 0; row < old; row++)
        std::copy_n(known.covariance.begin() + static_cast<long>(row * old), old,
            grown.begin() + static_cast<long>(row * (old + 1)));
    grown.back() = pressureSpread * pressureSpread / (noise * noise);
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
        if (!read.is_array() || read.at(0).get<int>() != learntFormat)
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

double interference::pressure(const std::string& filler, const std::string& serving) const
{
    auto found = m_systems.find(serving);
    if (found == m_systems.end())
        return priorOf(filler);
    const auto& fillers = found->second.fillers;
    auto at = std::find(fillers.begin(), fillers.end(), filler);
    if (at == fillers.end())
        return priorOf(filler);
    return std::max(0.0, found->second.values[static_cast<size_t>(at - fillers.begin()) + 1]);
}

void interference::observe(
    const std::string& image, double ratio, const std::vector<neighbour>& beside, std::optional<double> own)
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
        [&](const neighbour& each) { return indexOf(known, each.image); });
    size_t n = known.values.size();
    std::vector<double> x(n);
    x[0] = own ? 0 : 1;
    for (size_t i = 0; i < beside.size(); i++) {
        if (present[i] > 0)
            x[present[i]] += beside[i].share;
    }
    double seen = strain(image, ratio);
    double expected = own.value_or(0);
    for (size_t i = 0; i < n; i++)
        expected += x[i] * known.values[i];
    // Beyond the greatest strain any sum explains the tail.
    if (seen >= greatestStrain && expected > seen)
        return;
    std::vector<double> gain(n);
    double scale = forgetting * (own ? noiseForecast * noiseForecast / (noise * noise) : 1);
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
