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
    constexpr size_t mostImages = 4096; // Names are the callers'; further ones count as one image.
    constexpr size_t mostUnknowns = 24; // Further filler images are taken for harmless.
} // namespace

image_id interference::idOf(const std::string& image)
{
    const std::string& name = m_names.size() < mostImages || m_ids.contains(image) ? image : m_names.back();
    auto [at, fresh] = m_ids.try_emplace(name, static_cast<image_id>(m_names.size()));
    if (fresh) {
        m_names.push_back(name);
        m_systems.emplace_back();
        m_means.emplace_back();
    }
    return at->second;
}

double interference::priorOf(image_id filler) const
{
    const filler_mean& mean = m_means[static_cast<size_t>(filler)];
    return mean.systems > 0 ? mean.sum / mean.systems : defaultPressure;
}

interference::system& interference::systemOf(image_id image)
{
    system& known = m_systems[static_cast<size_t>(image)];
    if (!known.met) {
        known.met = true;
        known.least = defaultLeast;
        known.ownLoad = defaultLoad;
    }
    return known;
}

const interference::system* interference::metSystem(image_id image) const
{
    const system& known = m_systems[static_cast<size_t>(image)];
    return known.met ? &known : nullptr;
}

// Keeps the mean of what the filler does.
void interference::setValue(system& known, size_t place, double value)
{
    double& held = known.values[place];
    m_means[static_cast<size_t>(known.fillers[place])].sum
        += std::clamp(value, 0.0, mostPressure) - std::clamp(held, 0.0, mostPressure);
    held = value;
}

void interference::addUnknown(system& known, image_id filler, double value)
{
    auto at = static_cast<size_t>(filler);
    if (known.places.size() <= at)
        known.places.resize(m_names.size(), notAmong);
    known.places[at] = static_cast<int>(known.fillers.size());
    known.fillers.push_back(filler);
    known.values.push_back(value);
    m_means[at].sum += std::clamp(value, 0.0, mostPressure);
    m_means[at].systems++;
}

std::optional<size_t> interference::placeOf(system& known, image_id filler)
{
    auto at = static_cast<size_t>(filler);
    if (at < known.places.size() && known.places[at] != notAmong)
        return static_cast<size_t>(known.places[at]);
    size_t old = known.values.size();
    if (old >= mostUnknowns)
        return std::nullopt;
    std::vector<double> grown((old + 1) * (old + 1));
    for (size_t row = 0; row < old; row++)
        std::copy_n(known.covariance.begin() + static_cast<long>(row * old), old,
            grown.begin() + static_cast<long>(row * (old + 1)));
    grown.back() = pressureSpread * pressureSpread;
    known.covariance.swap(grown);
    addUnknown(known, filler, priorOf(filler));
    return old;
}

std::string interference::encode() const
{
    using nlohmann::json;
    json rows = json::array();
    for (size_t image = 0; image < m_systems.size(); image++) {
        const system& known = m_systems[image];
        if (!known.met)
            continue;
        json fillers = json::array();
        for (image_id each : known.fillers)
            fillers.push_back(m_names[static_cast<size_t>(each)]);
        rows.push_back({ m_names[image], known.least, known.ownLoad, std::move(fillers), known.values,
            known.covariance });
    }
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
            auto fillers = row.at(3).get<std::vector<std::string>>();
            auto values = row.at(4).get<std::vector<double>>();
            auto covariance = row.at(5).get<std::vector<double>>();
            size_t n = values.size();
            image_id image = idOf(row.at(0));
            if (n != fillers.size() || covariance.size() != n * n || metSystem(image))
                continue;
            std::vector<image_id> ids;
            for (const auto& each : fillers)
                ids.push_back(idOf(each));
            system& known = systemOf(image);
            known.least = row.at(1);
            known.ownLoad = row.at(2);
            known.covariance = std::move(covariance);
            for (size_t i = 0; i < n; i++)
                addUnknown(known, ids[i], values[i]);
        }
    } catch (const json::exception&) {
        // Of another writer or a newer format: it is learnt anew.
    }
}

double interference::limit(image_id image) const
{
    const system* known = metSystem(image);
    return 1 - (known ? known->least : defaultLeast);
}

double interference::ownLoad(image_id serving) const
{
    const system* known = metSystem(serving);
    return known ? known->ownLoad : defaultLoad;
}

double interference::strain(image_id image, double ratio) const
{
    return std::clamp(1 - (1 - limit(image)) / std::max(ratio, 0.01), 0.0, greatestStrain);
}

double interference::pressure(image_id filler, image_id serving) const
{
    m_searches++;
    const system& known = m_systems[static_cast<size_t>(serving)];
    auto at = static_cast<size_t>(filler);
    int place = at < known.places.size() ? known.places[at] : notAmong;
    if (place == notAmong)
        return priorOf(filler);
    return std::clamp(known.values[static_cast<size_t>(place)], 0.0, mostPressure);
}

void interference::noteTail(image_id image, double ratio)
{
    system& known = systemOf(image);
    known.least = std::min(known.least, ratio);
}

void interference::noteOwnLoad(image_id image, double load)
{
    system& known = systemOf(image);
    known.ownLoad += ownLoadRate * (load - known.ownLoad);
}

void interference::learn(image_id image, double rise, const std::vector<neighbour>& shares, double noise)
{
    system& known = systemOf(image);
    std::vector<double>& x = m_shares;
    x.assign(known.values.size(), 0);
    for (const neighbour& each : shares) {
        auto place = placeOf(known, each.image);
        if (!place)
            continue;
        if (x.size() <= *place)
            x.resize(*place + 1, 0);
        x[*place] += each.share;
    }
    size_t n = known.values.size();
    double error = rise;
    for (size_t i = 0; i < n; i++)
        error -= x[i] * known.values[i];
    std::vector<double>& gain = m_gain;
    gain.assign(n, 0);
    double scale = forgetting * noise * noise;
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            gain[row] += known.covariance[row * n + column] * x[column];
        scale += x[row] * gain[row];
    }
    for (size_t row = 0; row < n; row++)
        setValue(known, row, known.values[row] + gain[row] / scale * error);
    for (size_t row = 0; row < n; row++) {
        for (size_t column = 0; column < n; column++)
            known.covariance[row * n + column]
                = (known.covariance[row * n + column] - gain[row] * gain[column] / scale) / forgetting;
    }
}

} // namespace camphorwell
