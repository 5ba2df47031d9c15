// Group commit of accepted jobs. Each instance has a partition of its own to append to, so that a slow append
// holds up no other instance. A record is keyed by the job's id, so appending it again changes nothing: an
// append without an answer is simply repeated.
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {
    constexpr ms appendTimeoutMs = 700; // Almost three times an append when the store is 60 times as slow.
    constexpr ms retryMs = 120;
} // namespace

job_log::job_log(scheduler_context& context)
    : m_context(context)
    , m_partition(static_cast<int>(
          stableHash(context.settings.instance) % static_cast<uint64_t>(context.settings.store.partitions)))
    , m_waiting(static_cast<size_t>(context.settings.cells))
    , m_busy(static_cast<size_t>(context.settings.cells))
{
}

size_t job_log::waiting() const
{
    size_t out = 0;
    for (const auto& each : m_waiting)
        out += each.size();
    return out;
}

void job_log::append(int cell, std::string key, std::string value, ms deadline, handler done)
{
    m_waiting[static_cast<size_t>(cell)].push_back(
        { platform::keyedRecord(key, value), deadline, std::move(done), false });
    flush(cell);
}

void job_log::flush(int cell)
{
    auto at = static_cast<size_t>(cell);
    if (m_busy[at])
        return;
    ms now = bootNow();
    auto batch = std::make_shared<std::vector<entry>>();
    batch->swap(m_waiting[at]);
    std::erase_if(*batch, [&](entry& each) {
        if (now < each.deadline)
            return false;
        each.done(each.maybeDone ? outcome::unknown : outcome::refused);
        return true;
    });
    if (batch->empty())
        return;
    platform::append_request request { platform::keyedTopic("jobs-" + std::to_string(cell)), m_partition, {},
        {}, {} };
    size_t bytes = 0;
    size_t taken = 0;
    for (const auto& each : *batch) {
        bytes += each.record.size() + 4;
        if (taken > 0 && bytes > m_context.settings.store.callBytes)
            break;
        request.records.push_back(each.record);
        taken++;
    }
    for (size_t i = taken; i < batch->size(); i++)
        m_waiting[at].push_back(std::move((*batch)[i]));
    batch->resize(taken);
    m_busy[at] = true;
    m_context.store.append(
        request, appendTimeoutMs, [this, at, cell, batch](const platform::append_answer& answer) {
            m_busy[at] = false;
            if (answer.outcome == platform::store_outcome::done) {
                for (auto& each : *batch)
                    each.done(outcome::accepted);
                flush(cell);
                return;
            }
            m_context.counts["job_append_" + std::string(toString(answer.outcome))]++;
            bool maybe = answer.outcome == platform::store_outcome::no_answer;
            bool silent = m_context.store.silentMs() >= store_reach::silentMs;
            for (auto& each : *batch) {
                each.maybeDone |= maybe;
                if (silent)
                    each.done(each.maybeDone ? outcome::unknown : outcome::refused);
                else
                    m_waiting[at].push_back(std::move(each));
            }
            if (silent) {
                std::vector<entry> unsent;
                unsent.swap(m_waiting[at]);
                for (auto& each : unsent)
                    each.done(each.maybeDone ? outcome::unknown : outcome::refused);
            }
            m_context.loop.after(retryMs, [this, cell] { flush(cell); });
        });
}

} // namespace camphorwell
