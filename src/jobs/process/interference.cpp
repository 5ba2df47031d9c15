// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr double defaultLoad = 0.45;
    constexpr double defaultPressure = 0.5;
    constexpr double mostPressure = 3; // More would be an error of learning.
    constexpr double defaultLeast = 0.25; // Tail / target of an idle serving task.
    constexpr double greatestStrain = 0.98; // A tail beyond it says nothing more.
    constexpr double ownLoadRate = 0.02; // Weight of one figure in the typical own load.
    constexpr double pairSpread = 0.4; // Standard deviation of a pair around the product of its traits,
    constexpr double traitSpread = 0.7; // and of a trait before anything is known.
    // Until they are learnt, the further traits of serving images differ by this, so that they can part.
    constexpr double traitSeed = 0.3;
    constexpr double forgetting = 0.9998; // Of older observations, at each new one.
    constexpr int rounds = 2; // Of values and traits, at each settling.
    constexpr int sweeps = 2; // Over the values of one serving image, in a round.
    constexpr int roundsAtRestore = 12; // Settlings, since the traits are not kept.
    constexpr int learntFormat = 4; // Earlier ones held other figures.
    constexpr size_t mostImages = 4096; // Names are the callers'; further ones count as one image.
    constexpr size_t mostUnknowns = 64; // Further filler images are taken for what their traits say.
} // namespace

// Adds up weighted observations of a product of traits and solves for one side.
class interference::trait_fit {
public:
    explicit trait_fit(const traits& prior)
    {
        for (size_t i = 0; i < traitCount; i++) {
            m_rows[i][i] = 1 / (traitSpread * traitSpread);
            m_rows[i][traitCount] = prior[i] / (traitSpread * traitSpread);
        }
    }

    void observe(const traits& other, const estimate& seen)
    {
        for (size_t row = 0; row < traitCount; row++) {
            for (size_t column = 0; column < traitCount; column++)
                m_rows[row][column] += seen.weight * other[row] * other[column];
            m_rows[row][traitCount] += seen.weight * other[row] * seen.value;
        }
    }

    // The prior keeps the matrix positive definite, so no pivoting is needed.
    traits solve()
    {
        for (size_t pivot = 0; pivot < traitCount; pivot++) {
            for (size_t row = 0; row < traitCount; row++) {
                double factor = row == pivot ? 0 : m_rows[row][pivot] / m_rows[pivot][pivot];
                for (size_t column = pivot; column <= traitCount; column++)
                    m_rows[row][column] -= factor * m_rows[pivot][column];
            }
        }
        traits out {};
        for (size_t i = 0; i < traitCount; i++)
            out[i] = m_rows[i][traitCount] / m_rows[i][i];
        return out;
    }

private:
    std::array<std::array<double, traitCount + 1>, traitCount> m_rows {};
};

interference::traits interference::firstSensitivity(image_id image)
{
    traits out { 1 };
    for (size_t i = 1; i < out.size(); i++)
        out[i] = (static_cast<size_t>(image) >> (i - 1)) % 2 ? traitSeed : -traitSeed;
    return out;
}

image_id interference::idOf(const std::string& image)
{
    const std::string& name = m_names.size() < mostImages || m_ids.contains(image) ? image : m_names.back();
    auto [at, fresh] = m_ids.try_emplace(name, static_cast<image_id>(m_names.size()));
    if (fresh) {
        m_names.push_back(name);
        m_systems.emplace_back();
        m_sensitivities.push_back(firstSensitivity(at->second));
        m_disturbances.push_back({ defaultPressure });
    }
    return at->second;
}

double interference::expected(image_id filler, image_id serving) const
{
    const traits& minds = m_sensitivities[static_cast<size_t>(serving)];
    const traits& does = m_disturbances[static_cast<size_t>(filler)];
    double sum = 0;
    for (size_t i = 0; i < traitCount; i++)
        sum += minds[i] * does[i];
    return std::clamp(sum, 0.0, mostPressure);
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

void interference::addUnknown(system& known, image_id filler)
{
    auto at = static_cast<size_t>(filler);
    if (known.places.size() <= at)
        known.places.resize(m_names.size(), notAmong);
    known.places[at] = static_cast<int>(known.fillers.size());
    known.fillers.push_back(filler);
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
        std::copy_n(known.information.begin() + static_cast<long>(row * old), old,
            grown.begin() + static_cast<long>(row * (old + 1)));
    known.information.swap(grown);
    known.evidence.push_back(0);
    known.values.push_back(expected(filler, static_cast<image_id>(&known - m_systems.data())));
    addUnknown(known, filler);
    return old;
}

// [format, [[image, least, own load, fillers, evidence, information: its lower triangle by rows]]]
std::string interference::encode() const
{
    using nlohmann::json;
    auto rounded = [](double value) { return static_cast<float>(value); }; // Half the bytes.
    json rows = json::array();
    for (size_t image = 0; image < m_systems.size(); image++) {
        const system& known = m_systems[image];
        if (!known.met)
            continue;
        size_t n = known.fillers.size();
        json fillers = json::array();
        json evidence = json::array();
        json information = json::array();
        for (size_t row = 0; row < n; row++) {
            fillers.push_back(m_names[static_cast<size_t>(known.fillers[row])]);
            evidence.push_back(rounded(known.evidence[row]));
            for (size_t column = 0; column <= row; column++)
                information.push_back(rounded(known.information[row * n + column]));
        }
        rows.push_back({ m_names[image], known.least, known.ownLoad, std::move(fillers), std::move(evidence),
            std::move(information) });
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
            auto evidence = row.at(4).get<std::vector<double>>();
            auto triangle = row.at(5).get<std::vector<double>>();
            size_t n = fillers.size();
            image_id image = idOf(row.at(0));
            if (n > mostUnknowns || n != evidence.size() || triangle.size() != n * (n + 1) / 2
                || metSystem(image))
                continue;
            std::vector<image_id> ids;
            for (const auto& each : fillers)
                ids.push_back(idOf(each));
            system& known = systemOf(image);
            known.least = row.at(1);
            known.ownLoad = row.at(2);
            known.evidence = std::move(evidence);
            known.values.assign(n, defaultPressure);
            known.information.resize(n * n);
            size_t next = 0;
            for (size_t i = 0; i < n; i++) {
                addUnknown(known, ids[i]);
                for (size_t k = 0; k <= i; k++)
                    known.information[i * n + k] = known.information[k * n + i] = triangle[next++];
            }
        }
    } catch (const json::exception&) {
        // Of another writer or a newer format: it is learnt anew.
    }
    for (int i = 0; i < roundsAtRestore; i++)
        settle();
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
    return place == notAmong ? expected(filler, serving) : known.values[static_cast<size_t>(place)];
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
    m_shares.clear();
    for (const neighbour& each : shares) {
        auto place = placeOf(known, each.image);
        if (!place)
            continue;
        auto same = std::find_if(
            m_shares.begin(), m_shares.end(), [&](const auto& held) { return held.first == *place; });
        if (same == m_shares.end())
            m_shares.emplace_back(*place, each.share);
        else
            same->second += each.share;
    }
    size_t n = known.values.size();
    double sureness = 1 / (noise * noise);
    for (const auto& [row, share] : m_shares) {
        known.evidence[row] += sureness * share * rise;
        for (const auto& [column, other] : m_shares)
            known.information[row * n + column] += sureness * share * other;
    }
    known.observations++;
}

// What the changes say of one unknown when the others are as they are taken.
double interference::remainder(const system& known, size_t place)
{
    size_t n = known.values.size();
    double sum = known.evidence[place];
    for (size_t other = 0; other < n; other++)
        sum -= other == place ? 0 : known.information[place * n + other] * known.values[other];
    return sum;
}

interference::estimate interference::estimateOf(const system& known, size_t place)
{
    double information = known.information[place * known.values.size() + place];
    if (information <= 0)
        return {};
    double value = std::clamp(remainder(known, place) / information, 0.0, mostPressure);
    return { value, 1 / (1 / information + pairSpread * pairSpread) };
}

void interference::fade(system& known)
{
    double kept = std::pow(forgetting, known.observations);
    known.observations = 0;
    for (double& each : known.information)
        each *= kept;
    for (double& each : known.evidence)
        each *= kept;
}

// Gauss-Seidel steps towards the values that fit the changes and are expected, none of them negative.
void interference::settleValues(image_id serving)
{
    system& known = m_systems[static_cast<size_t>(serving)];
    size_t n = known.values.size();
    double sureness = 1 / (pairSpread * pairSpread);
    for (int sweep = 0; sweep < sweeps; sweep++) {
        for (size_t i = 0; i < n; i++) {
            double sum = remainder(known, i) + sureness * expected(known.fillers[i], serving);
            double value = sum / (known.information[i * n + i] + sureness);
            known.values[i] = std::clamp(value, 0.0, mostPressure);
        }
    }
}

void interference::fitSensitivities()
{
    for (size_t image = 0; image < m_systems.size(); image++) {
        const system& known = m_systems[image];
        if (known.values.empty())
            continue;
        trait_fit fit(firstSensitivity(static_cast<image_id>(image)));
        for (size_t i = 0; i < known.values.size(); i++)
            fit.observe(m_disturbances[static_cast<size_t>(known.fillers[i])], estimateOf(known, i));
        m_sensitivities[image] = fit.solve();
    }
}

void interference::fitDisturbances()
{
    std::vector<trait_fit> fits(m_names.size(), trait_fit({ defaultPressure }));
    for (size_t image = 0; image < m_systems.size(); image++) {
        const system& known = m_systems[image];
        for (size_t i = 0; i < known.values.size(); i++)
            fits[static_cast<size_t>(known.fillers[i])].observe(m_sensitivities[image], estimateOf(known, i));
    }
    for (size_t image = 0; image < fits.size(); image++)
        m_disturbances[image] = fits[image].solve();
}

void interference::settle()
{
    for (system& each : m_systems)
        fade(each);
    for (int round = 0; round < rounds; round++) {
        fitSensitivities();
        fitDisturbances();
        for (size_t image = 0; image < m_systems.size(); image++)
            settleValues(static_cast<image_id>(image));
    }
}

} // namespace camphorwell
