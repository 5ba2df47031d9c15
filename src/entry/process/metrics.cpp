// Metrics of the daemon in the Prometheus text format.
#include "entry/entry.h"

#include <sstream>

namespace camphorwell {

namespace {

    constexpr size_t maxEntries = 256; // Maximum number of catalogue entries with a latency histogram.
    constexpr unsigned latencyBins = 40;
    constexpr double lowestSeconds = 1e-4;
    constexpr double highestSeconds = 100.0;

    std::string_view kindName(reason_kind kind)
    {
        switch (kind) {
        case reason_kind::refusal:
            return "refusal";
        case reason_kind::retry:
            return "retry";
        case reason_kind::connection:
            return "connection";
        }
        return "";
    }

    latency_histogram makeLatency()
    {
        namespace axis = boost::histogram::axis;
        return boost::histogram::make_histogram(
            axis::regular<double, axis::transform::log>(latencyBins, lowestSeconds, highestSeconds));
    }

    void writeHistogram(std::ostream& out, const std::string& entry, const latency_histogram& histogram)
    {
        const std::string name = "camphorwell_request_seconds";
        double total = histogram.at(-1);
        for (int i = 0; i < histogram.axis(0).size(); i++) {
            total += histogram.at(i);
            out << name << "_bucket{entry=\"" << entry << "\",le=\"" << histogram.axis(0).bin(i).upper()
                << "\"} " << total << "\n";
        }
        total += histogram.at(histogram.axis(0).size());
        out << name << "_bucket{entry=\"" << entry << "\",le=\"+Inf\"} " << total << "\n";
        out << name << "_count{entry=\"" << entry << "\"} " << total << "\n";
    }

} // namespace

entry_metrics::entry_metrics()
    : m_reasonCounts(allReasons().size(), 0)
{
}

void entry_metrics::observe(const std::string& entry, double seconds)
{
    auto found = m_latency.find(entry);
    if (found == m_latency.end()) {
        if (m_latency.size() >= maxEntries)
            return;
        found = m_latency.emplace(entry, makeLatency()).first;
    }
    found->second(seconds);
}

void entry_metrics::countRequest(const std::string& outcome) { m_requests[outcome]++; }

void entry_metrics::countReason(reason why) { m_reasonCounts[static_cast<size_t>(why)]++; }

std::string entry_metrics::text(const node& of, uint64_t peerBytes) const
{
    std::ostringstream out;
    out << "# TYPE camphorwell_reasons_total counter\n";
    for (const auto& info : allReasons()) {
        auto index = static_cast<size_t>(info.code);
        uint64_t count = of.counters()[index] + m_reasonCounts[index];
        out << "camphorwell_reasons_total{kind=\"" << kindName(info.kind) << "\",reason=\"" << info.name
            << "\"} " << count << "\n";
    }
    out << "# TYPE camphorwell_requests_total counter\n";
    for (const auto& [outcome, count] : m_requests)
        out << "camphorwell_requests_total{outcome=\"" << outcome << "\"} " << count << "\n";
    node_status status = of.status();
    auto gauge = [&](const char* name, double value) {
        out << "# TYPE " << name << " gauge\n" << name << " " << value << "\n";
    };
    gauge("camphorwell_view_number", static_cast<double>(status.promised.number));
    gauge("camphorwell_view_members", static_cast<double>(status.members));
    gauge("camphorwell_view_closed", status.transferComplete ? 1 : 0);
    gauge("camphorwell_workers_held", static_cast<double>(status.workersHeld));
    gauge("camphorwell_workers_usable", static_cast<double>(status.workersUsable));
    gauge("camphorwell_workers_unaccounted", static_cast<double>(status.unaccountedWorkers));
    gauge("camphorwell_work_queued", static_cast<double>(status.queued));
    gauge("camphorwell_work_placed", static_cast<double>(status.placed));
    gauge("camphorwell_answers_kept", static_cast<double>(status.keptAnswers));
    gauge("camphorwell_catalogue_next_offset", static_cast<double>(status.catalogueNext));
    gauge("camphorwell_log_available", status.logAvailable ? 1 : 0);
    out << "# TYPE camphorwell_peer_bytes_sent_total counter\ncamphorwell_peer_bytes_sent_total " << peerBytes
        << "\n";
    out << "# TYPE camphorwell_request_seconds histogram\n";
    for (const auto& [entry, histogram] : m_latency)
        writeHistogram(out, entry, histogram);
    return out.str();
}

} // namespace camphorwell
