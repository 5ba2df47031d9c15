// See interference.h.
#include "jobs/process/interference.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr double defaultBaseLoad = 0.45;
    constexpr double defaultCoefficient = 0.5;
    constexpr double maxCoefficient = 3; // A greater estimate is an error.
    constexpr double defaultMinTailRatio = 0.25; // Tail latency / target of an idle latency-critical task.
    constexpr double maxUtilisation = 0.98; // Longer tails do not distinguish higher utilisations.
    constexpr double baseLoadSmoothing = 0.02; // Weight of a new value in the moving average.
    constexpr double pairStdDev = 0.4; // Standard deviation of a coefficient around its prior.
    constexpr double factorStdDev = 0.7; // Prior standard deviation of a latent factor.
    // Prior magnitude of the second and later factors of latency-critical images. Their signs differ between
    // images, because equal factors would stay equal in the fit.
    constexpr double initialFactor = 0.3;
    constexpr double forgettingFactor = 0.9998; // Decay of earlier observations for each new one.
    constexpr int refitRounds = 2; // Alternations between factors and coefficients in one `refit`.
    constexpr int sweepsPerRound = 2; // Gauss-Seidel sweeps over the coefficients of one image in a round.
    constexpr int refitsAtRestore = 12; // The factors are not stored and have to converge again.
    constexpr int modelFormat = 4; // Earlier formats hold other quantities and are not read.
    constexpr size_t maxImages = 4096; // Callers choose the names; further images share the last id.
    // Upper bounds of the sizes in the encoding, without names.
    constexpr size_t encodedHeaderBytes = 16;
    constexpr size_t encodedImageBytes = 48; // Two doubles, and the headers of a row and its three arrays.
    constexpr size_t encodedItemBytes = 5; // A rounded number, or the header of a name.
    constexpr size_t maxUnknowns = 64; // Pairs with further best-effort images keep their prior.
} // namespace

// Least-squares fit of one image's latent factors with those of the other images fixed: accumulates the
// normal equations, starting from the prior.
class interference_model::factor_fit {
public:
    explicit factor_fit(const latent_factors& prior)
    {
        for (size_t i = 0; i < factorCount; i++) {
            m_rows[i][i] = 1 / (factorStdDev * factorStdDev);
            m_rows[i][factorCount] = prior[i] / (factorStdDev * factorStdDev);
        }
    }

    void observe(const latent_factors& other, const estimate& observed)
    {
        for (size_t row = 0; row < factorCount; row++) {
            for (size_t column = 0; column < factorCount; column++)
                m_rows[row][column] += observed.weight * other[row] * other[column];
            m_rows[row][factorCount] += observed.weight * other[row] * observed.value;
        }
    }

    // The prior keeps the matrix positive definite, so no pivoting is needed.
    latent_factors solve()
    {
        for (size_t pivot = 0; pivot < factorCount; pivot++) {
            for (size_t row = 0; row < factorCount; row++) {
                double factor = row == pivot ? 0 : m_rows[row][pivot] / m_rows[pivot][pivot];
                for (size_t column = pivot; column <= factorCount; column++)
                    m_rows[row][column] -= factor * m_rows[pivot][column];
            }
        }
        latent_factors out {};
        for (size_t i = 0; i < factorCount; i++)
            out[i] = m_rows[i][factorCount] / m_rows[i][i];
        return out;
    }

private:
    std::array<std::array<double, factorCount + 1>, factorCount> m_rows {};
};

interference_model::latent_factors interference_model::priorSensitivity(image_id image)
{
    latent_factors out { 1 };
    for (size_t i = 1; i < out.size(); i++)
        out[i] = (static_cast<size_t>(image) >> (i - 1)) % 2 ? initialFactor : -initialFactor;
    return out;
}

image_id interference_model::internImage(const std::string& image)
{
    const std::string& name = m_names.size() < maxImages || m_ids.contains(image) ? image : m_names.back();
    auto [at, inserted] = m_ids.try_emplace(name, static_cast<image_id>(m_names.size()));
    if (inserted) {
        m_names.push_back(name);
        m_latencyCriticalModels.emplace_back();
        m_sensitivities.push_back(priorSensitivity(at->second));
        m_disturbances.push_back({ defaultCoefficient });
    }
    return at->second;
}

double interference_model::expectedCoefficient(image_id bestEffort, image_id latencyCritical) const
{
    const latent_factors& sensitivity = m_sensitivities[static_cast<size_t>(latencyCritical)];
    const latent_factors& disturbance = m_disturbances[static_cast<size_t>(bestEffort)];
    double sum = 0;
    for (size_t i = 0; i < factorCount; i++)
        sum += sensitivity[i] * disturbance[i];
    return std::clamp(sum, 0.0, maxCoefficient);
}

interference_model::latency_critical_model& interference_model::latencyCriticalModelOf(image_id image)
{
    latency_critical_model& model = m_latencyCriticalModels[static_cast<size_t>(image)];
    if (!model.hasData) {
        model.hasData = true;
        model.minTailRatio = defaultMinTailRatio;
        model.baseLoad = defaultBaseLoad;
    }
    return model;
}

const interference_model::latency_critical_model* interference_model::findLatencyCriticalModel(
    image_id image) const
{
    const latency_critical_model& model = m_latencyCriticalModels[static_cast<size_t>(image)];
    return model.hasData ? &model : nullptr;
}

void interference_model::addUnknown(latency_critical_model& model, image_id bestEffort)
{
    auto at = static_cast<size_t>(bestEffort);
    if (model.indices.size() <= at)
        model.indices.resize(m_names.size(), noIndex);
    model.indices[at] = static_cast<int>(model.images.size());
    model.images.push_back(bestEffort);
}

std::optional<size_t> interference_model::unknownIndex(latency_critical_model& model, image_id bestEffort)
{
    auto at = static_cast<size_t>(bestEffort);
    if (at < model.indices.size() && model.indices[at] != noIndex)
        return static_cast<size_t>(model.indices[at]);
    size_t count = model.coefficients.size();
    if (count >= maxUnknowns)
        return std::nullopt;
    std::vector<double> resized((count + 1) * (count + 1));
    for (size_t row = 0; row < count; row++)
        std::copy_n(model.informationMatrix.begin() + static_cast<long>(row * count), count,
            resized.begin() + static_cast<long>(row * (count + 1)));
    model.informationMatrix.swap(resized);
    model.informationVector.push_back(0);
    model.coefficients.push_back(
        expectedCoefficient(bestEffort, static_cast<image_id>(&model - m_latencyCriticalModels.data())));
    addUnknown(model, bestEffort);
    return count;
}

// Images come first, up to half of the bytes, since every unknown needs its image. The sum of squared shares
// of an observation, which decays with time, says how much an unknown is used.
interference_model::encoded_unknowns interference_model::chooseEncodedUnknowns(size_t maxBytes) const
{
    struct candidate {
        size_t image = 0;
        size_t index = 0;
        double information = 0;
    };
    std::vector<candidate> images;
    std::vector<candidate> unknowns;
    for (size_t image = 0; image < m_latencyCriticalModels.size(); image++) {
        const latency_critical_model& model = m_latencyCriticalModels[image];
        if (!model.hasData)
            continue;
        size_t n = model.images.size();
        double sum = 0;
        for (size_t i = 0; i < n; i++) {
            double information = model.informationMatrix[i * n + i];
            sum += information;
            unknowns.push_back({ image, i, information });
        }
        images.push_back({ image, 0, sum });
    }
    auto moreUsed = [](const candidate& a, const candidate& b) { return a.information > b.information; };
    std::stable_sort(images.begin(), images.end(), moreUsed);
    std::stable_sort(unknowns.begin(), unknowns.end(), moreUsed);
    encoded_unknowns out(m_latencyCriticalModels.size());
    size_t bytes = encodedHeaderBytes;
    for (const candidate& each : images) {
        size_t added = encodedImageBytes + m_names[each.image].size();
        if (bytes + added > maxBytes / 2)
            break;
        bytes += added;
        out[each.image].emplace();
    }
    for (const candidate& each : unknowns) {
        auto& chosen = out[each.image];
        if (!chosen)
            continue;
        auto bestEffort = static_cast<size_t>(m_latencyCriticalModels[each.image].images[each.index]);
        // Its name, its element of the vector and its row of the triangle.
        size_t added
            = encodedItemBytes + m_names[bestEffort].size() + encodedItemBytes * (chosen->size() + 2);
        if (bytes + added > maxBytes)
            break;
        bytes += added;
        chosen->push_back(each.index);
    }
    for (auto& chosen : out) {
        if (chosen)
            std::sort(chosen->begin(), chosen->end());
    }
    return out;
}

double interference_model::encodedInformation(
    const latency_critical_model& model, size_t index, const std::vector<size_t>& encoded)
{
    size_t n = model.images.size();
    double out = model.informationVector[index];
    for (size_t other = 0; other < n && encoded.size() < n; other++) {
        if (!std::binary_search(encoded.begin(), encoded.end(), other))
            out -= model.informationMatrix[index * n + other] * model.coefficients[other];
    }
    return out;
}

// [format, [[image, minimum tail ratio, base load, best-effort images, information vector,
//            lower triangle of the information matrix by rows]]]
std::string interference_model::encode(size_t maxBytes) const
{
    using nlohmann::json;
    auto rounded = [](double value) { return static_cast<float>(value); }; // Halves the size.
    encoded_unknowns chosen = chooseEncodedUnknowns(maxBytes);
    json rows = json::array();
    for (size_t image = 0; image < m_latencyCriticalModels.size(); image++) {
        const latency_critical_model& model = m_latencyCriticalModels[image];
        if (!chosen[image])
            continue;
        size_t n = model.images.size();
        json images = json::array();
        json informationVector = json::array();
        json lowerTriangle = json::array();
        const std::vector<size_t>& encoded = *chosen[image];
        for (size_t i = 0; i < encoded.size(); i++) {
            size_t row = encoded[i];
            images.push_back(m_names[static_cast<size_t>(model.images[row])]);
            informationVector.push_back(rounded(encodedInformation(model, row, encoded)));
            for (size_t k = 0; k <= i; k++)
                lowerTriangle.push_back(rounded(model.informationMatrix[row * n + encoded[k]]));
        }
        rows.push_back({ m_names[image], model.minTailRatio, model.baseLoad, std::move(images),
            std::move(informationVector), std::move(lowerTriangle) });
    }
    std::string out;
    json::to_cbor(json::array({ modelFormat, std::move(rows) }), out);
    return out;
}

void interference_model::restore(const std::string& bytes)
{
    using nlohmann::json;
    try {
        json read = json::from_cbor(bytes, true, false);
        if (!read.is_array() || read.at(0).get<int>() != modelFormat)
            return;
        for (const auto& row : read.at(1)) {
            auto images = row.at(3).get<std::vector<std::string>>();
            auto informationVector = row.at(4).get<std::vector<double>>();
            auto lowerTriangle = row.at(5).get<std::vector<double>>();
            size_t n = images.size();
            image_id image = internImage(row.at(0));
            if (n > maxUnknowns || n != informationVector.size() || lowerTriangle.size() != n * (n + 1) / 2
                || findLatencyCriticalModel(image))
                continue;
            std::vector<image_id> ids;
            for (const auto& each : images)
                ids.push_back(internImage(each));
            latency_critical_model& model = latencyCriticalModelOf(image);
            model.minTailRatio = row.at(1);
            model.baseLoad = row.at(2);
            model.informationVector = std::move(informationVector);
            model.coefficients.assign(n, defaultCoefficient);
            model.informationMatrix.resize(n * n);
            size_t next = 0;
            for (size_t i = 0; i < n; i++) {
                addUnknown(model, ids[i]);
                for (size_t k = 0; k <= i; k++)
                    model.informationMatrix[i * n + k] = model.informationMatrix[k * n + i]
                        = lowerTriangle[next++];
            }
        }
    } catch (const json::exception&) {
        // Malformed, so written by other software: what was not restored is learnt again.
    }
    for (int i = 0; i < refitsAtRestore; i++)
        refit();
}

double interference_model::utilisationLimit(image_id image) const
{
    const latency_critical_model* model = findLatencyCriticalModel(image);
    return 1 - (model ? model->minTailRatio : defaultMinTailRatio);
}

double interference_model::baseLoad(image_id latencyCritical) const
{
    const latency_critical_model* model = findLatencyCriticalModel(latencyCritical);
    return model ? model->baseLoad : defaultBaseLoad;
}

double interference_model::utilisation(image_id image, double ratio) const
{
    return std::clamp(1 - (1 - utilisationLimit(image)) / std::max(ratio, 0.01), 0.0, maxUtilisation);
}

double interference_model::coefficient(image_id bestEffort, image_id latencyCritical) const
{
    m_lookups++;
    const latency_critical_model& model = m_latencyCriticalModels[static_cast<size_t>(latencyCritical)];
    auto at = static_cast<size_t>(bestEffort);
    int index = at < model.indices.size() ? model.indices[at] : noIndex;
    return index == noIndex ? expectedCoefficient(bestEffort, latencyCritical)
                            : model.coefficients[static_cast<size_t>(index)];
}

void interference_model::observeTailRatio(image_id image, double ratio)
{
    latency_critical_model& model = latencyCriticalModelOf(image);
    model.minTailRatio = std::min(model.minTailRatio, ratio);
}

void interference_model::observeBaseLoad(image_id image, double load)
{
    latency_critical_model& model = latencyCriticalModelOf(image);
    model.baseLoad += baseLoadSmoothing * (load - model.baseLoad);
}

void interference_model::observeRise(
    image_id image, double rise, const std::vector<image_share>& shares, double noiseStdDev)
{
    latency_critical_model& model = latencyCriticalModelOf(image);
    m_sharesByIndex.clear();
    for (const image_share& each : shares) {
        auto index = unknownIndex(model, each.image);
        if (!index)
            continue;
        auto existing = std::find_if(m_sharesByIndex.begin(), m_sharesByIndex.end(),
            [&](const auto& held) { return held.first == *index; });
        if (existing == m_sharesByIndex.end())
            m_sharesByIndex.emplace_back(*index, each.share);
        else
            existing->second += each.share;
    }
    size_t n = model.coefficients.size();
    double precision = 1 / (noiseStdDev * noiseStdDev);
    for (const auto& [row, share] : m_sharesByIndex) {
        model.informationVector[row] += precision * share * rise;
        for (const auto& [column, other] : m_sharesByIndex)
            model.informationMatrix[row * n + column] += precision * share * other;
    }
    model.observationsSinceRefit++;
}

// The part of the information vector at `index` that the other coefficients do not explain.
double interference_model::residual(const latency_critical_model& model, size_t index)
{
    size_t n = model.coefficients.size();
    double sum = model.informationVector[index];
    for (size_t other = 0; other < n; other++)
        sum -= other == index ? 0 : model.informationMatrix[index * n + other] * model.coefficients[other];
    return sum;
}

interference_model::estimate interference_model::estimateOf(const latency_critical_model& model, size_t index)
{
    double information = model.informationMatrix[index * model.coefficients.size() + index];
    if (information <= 0)
        return {};
    double value = std::clamp(residual(model, index) / information, 0.0, maxCoefficient);
    return { value, 1 / (1 / information + pairStdDev * pairStdDev) };
}

void interference_model::decay(latency_critical_model& model)
{
    double retention = std::pow(forgettingFactor, model.observationsSinceRefit);
    model.observationsSinceRefit = 0;
    for (double& each : model.informationMatrix)
        each *= retention;
    for (double& each : model.informationVector)
        each *= retention;
}

// Gauss-Seidel iteration for the non-negative coefficients that fit the observations and the prior.
void interference_model::refineCoefficients(image_id latencyCritical)
{
    latency_critical_model& model = m_latencyCriticalModels[static_cast<size_t>(latencyCritical)];
    size_t n = model.coefficients.size();
    double precision = 1 / (pairStdDev * pairStdDev);
    for (int sweep = 0; sweep < sweepsPerRound; sweep++) {
        for (size_t i = 0; i < n; i++) {
            double sum
                = residual(model, i) + precision * expectedCoefficient(model.images[i], latencyCritical);
            double value = sum / (model.informationMatrix[i * n + i] + precision);
            model.coefficients[i] = std::clamp(value, 0.0, maxCoefficient);
        }
    }
}

void interference_model::fitSensitivities()
{
    for (size_t image = 0; image < m_latencyCriticalModels.size(); image++) {
        const latency_critical_model& model = m_latencyCriticalModels[image];
        if (model.coefficients.empty())
            continue;
        factor_fit fit(priorSensitivity(static_cast<image_id>(image)));
        for (size_t i = 0; i < model.coefficients.size(); i++)
            fit.observe(m_disturbances[static_cast<size_t>(model.images[i])], estimateOf(model, i));
        m_sensitivities[image] = fit.solve();
    }
}

void interference_model::fitDisturbances()
{
    std::vector<factor_fit> fits(m_names.size(), factor_fit({ defaultCoefficient }));
    for (size_t image = 0; image < m_latencyCriticalModels.size(); image++) {
        const latency_critical_model& model = m_latencyCriticalModels[image];
        for (size_t i = 0; i < model.coefficients.size(); i++)
            fits[static_cast<size_t>(model.images[i])].observe(m_sensitivities[image], estimateOf(model, i));
    }
    for (size_t image = 0; image < fits.size(); image++)
        m_disturbances[image] = fits[image].solve();
}

void interference_model::refit()
{
    for (latency_critical_model& each : m_latencyCriticalModels)
        decay(each);
    for (int round = 0; round < refitRounds; round++) {
        fitSensitivities();
        fitDisturbances();
        for (size_t image = 0; image < m_latencyCriticalModels.size(); image++)
            refineCoefficients(static_cast<image_id>(image));
    }
}

} // namespace camphorwell
