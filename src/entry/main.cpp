// The `camphorwell-entry` daemon: reads its settings and runs one entry instance.
#include "entry/entry.h"

#include <csignal>
#include <fstream>
#include <getopt.h>
#include <glog/logging.h>
#include <iostream>

namespace {

using namespace camphorwell;

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

constexpr const char* helpText
    = "usage: camphorwell-entry --settings FILE [--check]\n"
      "\n"
      "  --settings FILE  JSON settings of this instance; docs/OPERATING.md lists the fields\n"
      "  --check          check the settings and exit\n"
      "  --help           this text\n"
      "\n"
      "exit codes: 0 after a graceful stop, 2 for bad settings or arguments, 3 when it cannot start\n";

struct arguments {
    std::string settingsFile;
    bool checkOnly = false;
};

arguments parseArguments(int argc, char** argv)
{
    const option longOptions[]
        = { { "settings", required_argument, nullptr, 's' }, { "check", no_argument, nullptr, 'c' },
              { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    arguments out;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        switch (chosen) {
        case 's':
            out.settingsFile = optarg;
            break;
        case 'c':
            out.checkOnly = true;
            break;
        case 'h':
            std::cout << helpText;
            std::exit(0);
        default:
            std::cerr << helpText;
            std::exit(exitBadSettings);
        }
    }
    if (out.settingsFile.empty()) {
        std::cerr << helpText;
        std::exit(exitBadSettings);
    }
    return out;
}

nlohmann::json readDocument(const std::string& file)
{
    std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be read\n";
        std::exit(exitBadSettings);
    }
    auto document = nlohmann::json::parse(in, nullptr, false);
    if (document.is_discarded()) {
        std::cerr << file << ": is not JSON\n";
        std::exit(exitBadSettings);
    }
    return document;
}

int serve(entry_settings settings)
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    settings.node.self.incarnation
        = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    event_loop loop;
    entry_daemon daemon(loop, std::move(settings));
    loop.onSignal(SIGTERM, [&] { daemon.leave(); });
    loop.onSignal(SIGINT, [&] { daemon.leave(); });
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_CHECK(daemon.start());
            loop.run();
            return 0;
        },
        [](const e_net& error) {
            LOG(ERROR) << log_line("cannot_start").add("error", error.message).str();
            return exitCannotStart;
        },
        [] { return exitCannotStart; });
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    arguments given = parseArguments(argc, argv);
    auto document = readDocument(given.settingsFile);
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(settings, parseSettings(document));
            if (given.checkOnly) {
                std::cout << given.settingsFile << ": ok\n";
                return 0;
            }
            return serve(settings);
        },
        [&](const e_settings& error) {
            for (const auto& fault : error.faults)
                std::cerr << given.settingsFile << ": " << fault.str() << "\n";
            return exitBadSettings;
        },
        [] { return exitBadSettings; });
}
