// Group commit of accepted jobs. Each instance has a partition of its own to append to, so that a slow append
// holds up no other instance. A record is keyed by the job's id, so appending it again changes nothing: an
// append without an answer is simply repeated.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {
    // Almost three times an append when the store is 60 times as slow; a store that is slower still is given
    // more time, since a repeated append waits behind the first.
    constexpr ms appendTimeoutMs = 700;
    constexpr ms appendTimeoutMostMs = 2000;
    constexpr ms slowTimes = 4; // The slowest answer of late.
    constexpr ms retryMs = 120;
} // namespace

job_log::job_log(scheduler_context& context)
    : m_context(context)
    , m_partition(static_cast<int>(
          stableHash(context.settings.instance) % static_cast<uint64_t>(context.settings.store.partitions)))
    , m_waiting(static_cast<size_t>(context.settings.cells))
    , m_writing(static_cast<size_t>(context.settings.cells))
{
}

size_t job_log::waiting() const
{
    size_t out = 0;
    for (const auto& each : m_waiting)
        out += each.size();
    return out;
}

void job_log::entry::end(outcome what)
{
    handler told;
    told.swap(done);
    if (told)
        told(what);
}

void job_log::append(int cell, std::string key, std::string value, ms deadline, handler done)
{
    auto at = static_cast<size_t>(cell);
    m_waiting[at].push_back({ platform::encodeKeyedRecord(key, value), deadline, std::move(done), false });
    m_context.loop.after(std::max<ms>(0, deadline - bootNow()), [this, at] { expire(at); });
    flush(cell);
}

void job_log::expire(size_t cell)
{
    ms now = bootNow();
    std::vector<entry> over;
    std::erase_if(m_waiting[cell], [&](entry& each) {
        if (now < each.deadline)
            return false;
        over.push_back(std::move(each));
        return true;
    });
    for (auto& each : over)
        each.end(each.maybeDone ? outcome::unknown : outcome::refused);
    batch writing = m_writing[cell];
    for (size_t i = 0; writing && i < writing->size(); i++) {
        if (now >= (*writing)[i].deadline)
            (*writing)[i].end(outcome::unknown);
    }
}

// As many records as fit into one call.
job_log::batch job_log::takeBatch(size_t cell)
{
    auto out = std::make_shared<std::vector<entry>>();
    auto& waiting = m_waiting[cell];
    size_t bytes = 0;
    size_t taken = 0;
    while (taken < waiting.size()) {
        bytes += waiting[taken].record.size() + 4;
        if (taken > 0 && bytes > m_context.settings.store.maxAppendBytes)
            break;
        taken++;
    }
    auto end = waiting.begin() + static_cast<long>(taken);
    out->assign(std::make_move_iterator(waiting.begin()), std::make_move_iterator(end));
    waiting.erase(waiting.begin(), end);
    return out;
}

void job_log::flush(int cell)
{
    auto at = static_cast<size_t>(cell);
    if (m_writing[at])
        return;
    expire(at);
    if (m_waiting[at].empty() || m_writing[at])
        return;
    batch writing = takeBatch(at);
    m_writing[at] = writing;
    platform::append_request request { platform::keyedTopic("jobs-" + std::to_string(cell)), m_partition, {},
        {}, {} };
    for (const auto& each : *writing)
        request.records.push_back(each.record);
    ms patience = std::clamp(std::max(m_patience, slowTimes * m_context.store.recentMaxLatencyMs()),
        appendTimeoutMs, appendTimeoutMostMs);
    m_context.store.append(
        request, patience, [this, at, writing, patience](const platform::append_answer& answer) {
            // An append that was given up waits at the store all the same, and the next one behind it.
            m_patience = answer.outcome == platform::store_outcome::no_answer ? 2 * patience : 0;
            onAppended(at, writing, answer);
        });
}

void job_log::onAppended(size_t cell, const batch& written, const platform::append_answer& answer)
{
    m_writing[cell].reset();
    if (answer.outcome == platform::store_outcome::done) {
        for (auto& each : *written)
            each.end(outcome::accepted);
        flush(static_cast<int>(cell));
        return;
    }
    m_context.counts["job_append_" + std::string(toString(answer.outcome))]++;
    for (auto& each : *written) {
        each.maybeDone |= answer.outcome == platform::store_outcome::no_answer;
        if (each.done)
            m_waiting[cell].push_back(std::move(each));
    }
    bool silent = m_context.store.unresponsiveMs()
        >= store_reach::silenceThatCounts(m_context.store.recentMaxLatencyMs());
    if (silent) {
        std::vector<entry> unsent;
        unsent.swap(m_waiting[cell]);
        for (auto& each : unsent)
            each.end(each.maybeDone ? outcome::unknown : outcome::refused);
    }
    m_context.loop.after(retryMs, [this, cell] { flush(static_cast<int>(cell)); });
}

} // namespace camphorwell
