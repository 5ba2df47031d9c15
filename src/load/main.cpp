// camphorwell-load: an open-loop load generator and experiment tool.
//
// Requests are sent as a Poisson process that does not depend on the responses. Latency is measured from the
// time a request was due when the generator runs more than 5 ms late, otherwise from the time it was sent, so
// that a slow server does not hide its own delay (coordinated omission). With --direct every second request
// goes to a stand-in worker's /run, to measure the latency that an entry instance adds.
#include "net/net.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace camphorwell;
using nlohmann::json;

constexpr const char* helpText
    = "usage: camphorwell-load --target ADDRESS:PORT [--direct ADDRESS:PORT] [options]\n"
      "\n"
      "  --entry NAME        catalogue entry to call; default route-plan\n"
      "  --rate N            requests a second; default 100\n"
      "  --seconds N         length of the run; default 10\n"
      "  --work-ms N         run time that each request asks for; default 0\n"
      "  --keyed             give every request an Idempotency-Key of its own\n"
      "  --home NAME         data centre that the keys name; default none\n"
      "  --seed N            seed of the schedule; default 1\n"
      "  --direct ADDR:PORT  alternate with direct calls to a stand-in worker\n"
      "  --out FILE          results as JSON; default none\n"
      "  --plot FILE         SVG of latency over time; default none\n"
      "  --help              this text\n"
      "\n"
      "exit codes: 0 done, 2 wrong usage\n";

constexpr size_t connectionsPerTarget = 256;
constexpr int64_t responseTimeoutMs = 10'000;
constexpr int64_t warmUpMs = 1000; // Requests due in this time are not recorded.

struct endpoint {
    std::string address;
    uint16_t port = 0;
};

struct load_options {
    endpoint target;
    endpoint direct;
    std::string entry = "route-plan";
    double rate = 100;
    int64_t seconds = 10;
    int64_t workMs = 0;
    bool keyed = false;
    std::string home;
    uint64_t seed = 1;
    std::string out;
    std::string plot;
};

struct sample {
    double dueSeconds = 0; // Time the request was due, since the start.
    double latencySeconds = 0; // From the due or the send time to the response.
    int status = 0;
};

struct series {
    std::vector<sample> samples;
    std::map<int, uint64_t> statuses;
};

endpoint parseEndpoint(const std::string& text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        std::cerr << "camphorwell-load: " << text << ": must be ADDRESS:PORT\n";
        std::exit(2);
    }
    return { text.substr(0, colon), static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)) };
}

load_options parseArguments(int argc, char** argv)
{
    const option longOptions[] = { { "target", required_argument, nullptr, 't' },
        { "direct", required_argument, nullptr, 'd' }, { "entry", required_argument, nullptr, 'e' },
        { "rate", required_argument, nullptr, 'r' }, { "seconds", required_argument, nullptr, 's' },
        { "work-ms", required_argument, nullptr, 'w' }, { "keyed", no_argument, nullptr, 'k' },
        { "home", required_argument, nullptr, 'm' }, { "seed", required_argument, nullptr, 'x' },
        { "out", required_argument, nullptr, 'o' }, { "plot", required_argument, nullptr, 'p' },
        { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    load_options out;
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        std::string value = optarg ? optarg : "";
        switch (optionCode) {
        case 't':
            out.target = parseEndpoint(value);
            break;
        case 'd':
            out.direct = parseEndpoint(value);
            break;
        case 'e':
            out.entry = value;
            break;
        case 'r':
            out.rate = std::stod(value);
            break;
        case 's':
            out.seconds = std::stoll(value);
            break;
        case 'w':
            out.workMs = std::stoll(value);
            break;
        case 'k':
            out.keyed = true;
            break;
        case 'm':
            out.home = value;
            break;
        case 'x':
            out.seed = std::stoull(value);
            break;
        case 'o':
            out.out = value;
            break;
        case 'p':
            out.plot = value;
            break;
        case 'h':
            std::cout << helpText;
            std::exit(0);
        default:
            std::cerr << helpText;
            std::exit(2);
        }
    }
    if (out.target.port == 0) {
        std::cerr << helpText;
        std::exit(2);
    }
    return out;
}

double quantile(const series& source, double q)
{
    std::vector<double> values;
    for (const auto& measured : source.samples) {
        if (measured.status >= 200 && measured.status < 300)
            values.push_back(measured.latencySeconds);
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<size_t>(std::ceil(q * static_cast<double>(values.size()))) - 1;
    return values[std::min(index, values.size() - 1)];
}

class load_generator {
public:
    load_generator(event_loop& loop, const load_options& options)
        : m_loop(loop)
        , m_options(options)
        , m_target(loop, options.target.address, options.target.port, connectionsPerTarget)
        , m_random(options.seed)
    {
        if (options.direct.port != 0)
            m_direct = std::make_unique<http_client>(
                loop, options.direct.address, options.direct.port, connectionsPerTarget);
    }

    void start()
    {
        m_start = event_loop::now();
        m_nextDue = m_start;
        m_loop.every(1, [this] { sendDue(); });
        m_loop.after(m_options.seconds * 1000 + responseTimeoutMs, [this] { m_loop.stop(); });
    }

    const series& entrySamples() const { return m_entrySamples; }
    const series& directSamples() const { return m_directSamples; }

private:
    void sendDue()
    {
        instant end = m_start + milliseconds(m_options.seconds * 1000);
        while (m_nextDue <= event_loop::now() && m_nextDue < end) {
            sendOne(m_nextDue);
            double gap = std::exponential_distribution<double>(m_options.rate)(m_random);
            m_nextDue += instant(static_cast<int64_t>(gap * 1e6));
        }
        if (m_nextDue >= end && m_outstanding == 0)
            m_loop.stop();
    }

    void sendOne(instant due)
    {
        m_requestCount++;
        bool direct = m_direct && m_requestCount % 2 == 0;
        std::string body = "{\"n\":" + std::to_string(m_requestCount)
            + ",\"work_ms\":" + std::to_string(m_options.workMs) + "}";
        header_list headers = { { "Content-Type", "application/json" } };
        if (m_options.keyed) {
            std::string prefix = m_options.home.empty() ? "" : m_options.home + "/";
            headers.emplace_back("Idempotency-Key",
                prefix + "load-" + std::to_string(m_options.seed) + "-" + std::to_string(m_start.count())
                    + "-" + std::to_string(m_requestCount));
        }
        m_outstanding++;
        auto& client = direct ? *m_direct : m_target;
        std::string path = direct ? "/run" : "/v1/work/" + m_options.entry;
        // A delay of up to 5 ms comes from the timer's resolution and is not counted. A longer one means that
        // the generator fell behind its schedule, and counts as latency.
        instant sent = event_loop::now();
        instant latencyStart = sent - due > milliseconds(5) ? due : sent;
        client.call("POST", path, headers, body, responseTimeoutMs,
            [this, direct, latencyStart, due](const http_response& answer) {
                m_outstanding--;
                record(direct ? m_directSamples : m_entrySamples, latencyStart, due, answer.status);
            });
    }

    void record(series& destination, instant latencyStart, instant due, int status)
    {
        if (due - m_start < milliseconds(warmUpMs))
            return;
        sample measured;
        measured.dueSeconds = static_cast<double>((due - m_start).count()) / 1e6;
        measured.latencySeconds = static_cast<double>((event_loop::now() - latencyStart).count()) / 1e6;
        measured.status = status;
        destination.samples.push_back(measured);
        destination.statuses[status]++;
    }

    event_loop& m_loop;
    const load_options& m_options;
    http_client m_target;
    std::unique_ptr<http_client> m_direct;
    std::mt19937_64 m_random;
    instant m_start { 0 };
    instant m_nextDue { 0 };
    uint64_t m_requestCount = 0;
    int64_t m_outstanding = 0;
    series m_entrySamples;
    series m_directSamples;
};

json summary(const series& source)
{
    json out = { { "requests", source.samples.size() }, { "p50_ms", quantile(source, 0.5) * 1e3 },
        { "p90_ms", quantile(source, 0.9) * 1e3 }, { "p99_ms", quantile(source, 0.99) * 1e3 },
        { "p999_ms", quantile(source, 0.999) * 1e3 }, { "statuses", json::object() } };
    for (const auto& [status, count] : source.statuses)
        out["statuses"][std::to_string(status)] = count;
    return out;
}

// Writes an SVG with the median and the 99th percentile of each second, in milliseconds on a logarithmic
// axis.
void plot(const series& source, int64_t seconds, const std::string& file)
{
    constexpr double width = 800;
    constexpr double height = 300;
    constexpr double decades = 5; // From 0.1 ms to 10 s.
    std::ofstream out(file);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    auto y = [&](double ms) { return height - (std::log10(std::max(ms, 0.1)) + 1) / decades * height; };
    for (double ms : { 0.1, 1.0, 10.0, 100.0, 1000.0 })
        out << "<text x=\"2\" y=\"" << y(ms) << "\" font-size=\"10\">" << ms << " ms</text>\n";
    for (int64_t second = 0; second < seconds; second++) {
        series slice;
        for (const auto& measured : source.samples) {
            if (static_cast<int64_t>(measured.dueSeconds) == second)
                slice.samples.push_back(measured);
        }
        if (slice.samples.empty())
            continue;
        double x = 50 + (width - 60) * static_cast<double>(second) / static_cast<double>(seconds);
        out << "<circle cx=\"" << x << "\" cy=\"" << y(quantile(slice, 0.5) * 1e3)
            << "\" r=\"2\" fill=\"blue\"/>\n";
        out << "<circle cx=\"" << x << "\" cy=\"" << y(quantile(slice, 0.99) * 1e3)
            << "\" r=\"2\" fill=\"red\"/>\n";
    }
    out << "<text x=\"600\" y=\"12\" font-size=\"10\">blue p50, red p99</text></svg>\n";
}

} // namespace

int main(int argc, char** argv)
{
    load_options options = parseArguments(argc, argv);
    event_loop loop;
    load_generator run(loop, options);
    run.start();
    loop.run();
    json out
        = { { "entry", summary(run.entrySamples()) }, { "rate", options.rate }, { "seed", options.seed } };
    if (options.direct.port != 0) {
        out["direct"] = summary(run.directSamples());
        out["added_p50_ms"] = (quantile(run.entrySamples(), 0.5) - quantile(run.directSamples(), 0.5)) * 1e3;
        out["added_p99_ms"]
            = (quantile(run.entrySamples(), 0.99) - quantile(run.directSamples(), 0.99)) * 1e3;
    }
    std::cout << out.dump(2) << "\n";
    if (!options.out.empty())
        std::ofstream(options.out) << out.dump(2) << "\n";
    if (!options.plot.empty())
        plot(run.entrySamples(), options.seconds, options.plot);
    return 0;
}
