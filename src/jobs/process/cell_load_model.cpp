// The load model of best-effort and latency-critical tasks, encoded for the next leader of the cell.
#include "jobs/process/cell_model.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorwell {

namespace {
    constexpr int loadModelFormat = 1;
    constexpr size_t keyBytes = 256; // Upper bound of the key of a record and its length.
    constexpr size_t encodedHeaderBytes = 64; // Upper bound of what is neither coefficients nor waves.
    constexpr size_t encodedWaveBytes = 64; // Upper bound of a wave without the job's id.
} // namespace

// The steps whose waves are recorded: those with the most tasks, in at most `maxBytes`.
std::vector<const step_run*> cell_model::stepsWithRecordedWaves(size_t maxBytes) const
{
    std::vector<const step_run*> steps;
    for (const auto& [id, job] : jobs) {
        for (const auto& [number, occurrence] : job->liveOccurrences) {
            for (const step_run& step : occurrence->steps) {
                if (step.baseLoads)
                    steps.push_back(&step);
            }
        }
    }
    std::stable_sort(steps.begin(), steps.end(),
        [](const step_run* a, const step_run* b) { return a->tasks.size() > b->tasks.size(); });
    size_t bytes = 0;
    auto end = std::find_if(steps.begin(), steps.end(), [&](const step_run* step) {
        bytes += encodedWaveBytes + step->job->id.size();
        return bytes > maxBytes;
    });
    steps.erase(end, steps.end());
    return steps;
}

// The waves take up to a third of the record, and the coefficients what is left.
// Format: [format, interference coefficients, period, [[job, occurrence, step, level, cosine, sine]]]
std::string cell::encodeLoadModel() const
{
    using nlohmann::json;
    size_t maxBytes = m_model->settings.maxRecordBytes - keyBytes - encodedHeaderBytes;
    json waves = json::array();
    for (const step_run* step : m_model->stepsWithRecordedWaves(maxBytes / 3)) {
        const load_wave& wave = step->wave;
        waves.push_back(
            { step->job->id, step->occurrence, step->number, wave.level, wave.cosine, wave.sine });
        maxBytes -= encodedWaveBytes + step->job->id.size();
    }
    std::string out;
    json::to_cbor(json::array({ loadModelFormat, m_model->interferenceModel.encode(maxBytes),
                      m_model->loadPeriodMs, std::move(waves) }),
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
