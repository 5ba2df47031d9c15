// Group commit of accepted jobs and cancels. The partition is chosen by the instance's name, so that with
// enough partitions a slow append delays no other instance. Records are keyed by the job's id, so appending
// one again changes nothing, and an append without an answer is repeated.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {
    // Almost three times the duration of an append when the store is 60 times slower than usual. The timeout
    // rises for a slower store, since a repeated append waits behind the first one.
    constexpr ms minAppendTimeoutMs = 700;
    constexpr ms maxAppendTimeoutMs = 2000;
    constexpr ms timeoutFactor = 4; // The timeout as a multiple of the slowest recent answer.
    constexpr ms retryMs = 120;
} // namespace

job_log::job_log(scheduler_context& context)
    : m_context(context)
    , m_partition(static_cast<int>(
          stableHash(context.settings.instance) % static_cast<uint64_t>(context.settings.store.partitions)))
    , m_queued(static_cast<size_t>(context.settings.cells))
    , m_inFlight(static_cast<size_t>(context.settings.cells))
{
}

size_t job_log::queuedRecords() const
{
    size_t out = 0;
    for (const auto& queue : m_queued)
        out += queue.size();
    return out;
}

void job_log::entry::finish(outcome finalOutcome)
{
    handler callback;
    callback.swap(done);
    if (callback)
        callback(finalOutcome);
}

void job_log::append(int cell, std::string key, std::string value, ms deadline, handler done)
{
    auto index = static_cast<size_t>(cell);
    m_queued[index].push_back({ platform::encodeKeyedRecord(key, value), deadline, std::move(done), false });
    m_context.loop.after(std::max<ms>(0, deadline - bootNow()), [this, index] { expire(index); });
    flush(cell);
}

void job_log::expire(size_t cell)
{
    ms now = bootNow();
    std::vector<entry> expired;
    std::erase_if(m_queued[cell], [&](entry& item) {
        if (now < item.deadline)
            return false;
        expired.push_back(std::move(item));
        return true;
    });
    for (auto& item : expired)
        item.finish(item.maybeAppended ? outcome::unknown : outcome::refused);
    batch inFlight = m_inFlight[cell];
    for (size_t i = 0; inFlight && i < inFlight->size(); i++) {
        if (now >= (*inFlight)[i].deadline)
            (*inFlight)[i].finish(outcome::unknown);
    }
}

// Takes as many queued records as fit into one call.
job_log::batch job_log::takeBatch(size_t cell)
{
    auto out = std::make_shared<std::vector<entry>>();
    auto& queue = m_queued[cell];
    size_t bytes = 0;
    size_t taken = 0;
    while (taken < queue.size()) {
        bytes += queue[taken].record.size() + 4;
        if (taken > 0 && bytes > m_context.settings.store.maxAppendBytes)
            break;
        taken++;
    }
    auto end = queue.begin() + static_cast<long>(taken);
    out->assign(std::make_move_iterator(queue.begin()), std::make_move_iterator(end));
    queue.erase(queue.begin(), end);
    return out;
}

void job_log::flush(int cell)
{
    auto index = static_cast<size_t>(cell);
    if (m_inFlight[index])
        return;
    expire(index);
    if (m_queued[index].empty() || m_inFlight[index])
        return;
    batch inFlight = takeBatch(index);
    m_inFlight[index] = inFlight;
    platform::append_request request { platform::keyedTopic("jobs-" + std::to_string(cell)), m_partition, {},
        {}, {} };
    for (const auto& item : *inFlight)
        request.records.push_back(item.record);
    ms timeout = std::clamp(std::max(m_nextTimeout, timeoutFactor * m_context.store.recentMaxLatencyMs()),
        minAppendTimeoutMs, maxAppendTimeoutMs);
    m_context.store.append(
        request, timeout, [this, index, inFlight, timeout](const platform::append_answer& answer) {
            // An append that timed out stays queued at the store and delays the next one, so that one gets
            // twice the time.
            m_nextTimeout = answer.outcome == platform::store_outcome::no_answer ? 2 * timeout : 0;
            onAppended(index, inFlight, answer);
        });
}

void job_log::onAppended(size_t cell, const batch& sent, const platform::append_answer& answer)
{
    m_inFlight[cell].reset();
    if (answer.outcome == platform::store_outcome::done) {
        for (auto& item : *sent)
            item.finish(outcome::accepted);
        flush(static_cast<int>(cell));
        return;
    }
    m_context.counts["job_append_" + std::string(toString(answer.outcome))]++;
    for (auto& item : *sent) {
        item.maybeAppended |= answer.outcome == platform::store_outcome::no_answer;
        if (item.done)
            m_queued[cell].push_back(std::move(item));
    }
    bool silent = m_context.store.unresponsiveMs()
        >= store_reachability::silenceThreshold(m_context.store.recentMaxLatencyMs());
    if (silent) {
        std::vector<entry> unsettled;
        unsettled.swap(m_queued[cell]);
        for (auto& item : unsettled)
            item.finish(item.maybeAppended ? outcome::unknown : outcome::refused);
    }
    m_context.loop.after(retryMs, [this, cell] { flush(static_cast<int>(cell)); });
}

} // namespace camphorwell
