// camphorwell-scheduler: runs one instance of the scheduler.
#include "scheduler/scheduler.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <getopt.h>
#include <iostream>
#include <utility>

namespace {

using namespace camphorwell;

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;
constexpr int64_t fileCheckPeriodMs = 1000; // A changed settings file must take effect within 2 s.
constexpr const char* settingsVariable = "CAMPHORWELL_CONFIG";
constexpr const char* helpText
    = "usage: camphorwell-scheduler [--settings FILE] [--check]\n"
      "\n"
      "  --settings FILE  JSON settings of this instance, by default the file that the variable\n"
      "                   CAMPHORWELL_CONFIG names; docs/OPERATING.md lists the fields\n"
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
    if (const char* named = std::getenv(settingsVariable))
        out.settingsFile = named;
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

// Detects changes of the settings file by its modification time.
class file_watch {
public:
    explicit file_watch(std::string file)
        : m_file(std::move(file))
        , m_lastModified(modifiedAt())
    {
    }
    bool changed()
    {
        auto now = modifiedAt();
        return std::exchange(m_lastModified, now) != now;
    }

private:
    std::filesystem::file_time_type modifiedAt() const
    {
        std::error_code failed;
        return std::filesystem::last_write_time(m_file, failed);
    }
    std::string m_file;
    std::filesystem::file_time_type m_lastModified;
};

int serve(scheduler_settings settings, const std::string& file)
{
    settings.incarnation = unixNow();
    event_loop loop;
    scheduler_daemon daemon(loop, std::move(settings));
    loop.onSignal(SIGTERM, [&] { daemon.shutDown(); });
    loop.onSignal(SIGINT, [&] { daemon.shutDown(); });
    file_watch watch(file);
    loop.onSignal(SIGHUP, [&] {
        watch.changed();
        daemon.reload(file);
    });
    loop.every(fileCheckPeriodMs, [&] {
        if (watch.changed())
            daemon.reload(file);
    });
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_CHECK(daemon.start());
            loop.run();
            return 0;
        },
        [](const e_net& error) {
            std::cerr << log_line("cannot_start").add("error", error.message).str() << "\n";
            return exitCannotStart;
        },
        [] { return exitCannotStart; });
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // Until `serve` installs its handler.
    arguments given = parseArguments(argc, argv);
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(settings, readSchedulerSettings(given.settingsFile));
            if (given.checkOnly) {
                std::cout << given.settingsFile << ": ok\n";
                return 0;
            }
            return serve(std::move(settings), given.settingsFile);
        },
        [&](const e_scheduler_settings& error) {
            for (const auto& fault : error.faults)
                std::cerr << given.settingsFile << ": " << fault.str() << "\n";
            return exitBadSettings;
        },
        [] { return exitBadSettings; });
}
