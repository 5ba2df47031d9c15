// The load model of best-effort and latency-critical tasks, encoded for the next leader of the cell.
#include "jobs/process/cell_model.h"

#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr int loadModelFormat = 1;
} // namespace

// Format: [format, interference coefficients, period, [[job, occurrence, step, level, cosine, sine]]]
std::string cell::encodeLoadModel() const
{
    using nlohmann::json;
    json waves = json::array();
    for (const auto& [id, job] : m_model->jobs) {
        for (const auto& [number, occurrence] : job->liveOccurrences) {
            for (const step_run& step : occurrence->steps) {
                const load_wave& wave = step.wave;
                if (step.baseLoads)
                    waves.push_back({ id, number, step.number, wave.level, wave.cosine, wave.sine });
            }
        }
    }
    std::string out;
    json::to_cbor(json::array({ loadModelFormat, m_model->interferenceModel.encode(), m_model->loadPeriodMs,
                      std::move(waves) }),
        out);
    return out;
}

void cell::restoreLoadModel(const std::string& bytes)
{
    using nlohmann::json;
    try {
        json read = json::from_cbor(bytes, true, false);
        if (!read.is_array() || read.at(0).get<int>() != loadModelFormat)
            return;
        m_model->interferenceModel.restore(read.at(1).get<std::string>());
        m_model->loadPeriodMs = read.at(2);
        for (const auto& row : read.at(3))
            m_model->restoredWaves[{ row.at(0), row.at(1), row.at(2) }] = { row.at(3), row.at(4), row.at(5) };
    } catch (const json::exception&) {
        // Written by other software or in a newer format: the model is learnt again.
    }
}

// Fills the load history of a step from the wave of an earlier leader, until there are new measurements.
void cell_model::restoreWave(step_run& step)
{
    auto found = restoredWaves.find({ step.job->id, step.occurrence, step.number });
    if (found == restoredWaves.end())
        return;
    step.wave = found->second;
    step.baseLoads
        = std::make_unique<load_history>(load_history::fromWave(step.wave, loadPeriodMs, now + unixOffset));
    restoredWaves.erase(found);
}

} // namespace camphorwell
