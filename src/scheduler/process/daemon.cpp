// The daemon: the parts of an instance, its start, reload and graceful shutdown.
#include "scheduler/process/shutdown_check.h"
#include "scheduler/scheduler.h"

namespace camphorwell {

namespace {
    constexpr int logLinesPerSecond = 400;
    constexpr ms shutdownCheckPeriodMs = 100;
    constexpr ms statisticsPeriodMs = 5000;
    constexpr size_t maxLoggedKeyLength = 255; // Longest key that the store accepts.
} // namespace

struct scheduler_daemon::state {
    state(event_loop& loop, scheduler_settings given)
        : settings(std::move(given))
        , store(loop, settings.store)
        , log(logLinesPerSecond)
        , context { loop, settings, store, log, counts }
        , catalogue(context, [this] { updateQueues(); })
        , directory(context)
        , jobs(context)
        , frontend(context, catalogue, directory, jobs, cells)
    {
        store.onUnreadable(
            [this](const std::string& topic, const std::string& key, const std::string& error) {
                counts["store_answer_unreadable"]++;
                log.write(log_line("store_answer_unreadable")
                              .add("topic", topic)
                              .add("key", std::string_view(key).substr(0, maxLoggedKeyLength))
                              .add("error", error));
            });
        for (int i = 0; i < settings.cells; i++)
            cells.push_back(std::make_unique<cell_host>(context, i));
    }

    void updateQueues()
    {
        for (auto& host : cells)
            host->setQueues(catalogue.queues());
    }

    void checkShutdown()
    {
        if (shutdownCheck.mayExit(bootNow() - shutdownAt, frontend.openCalls(), frontend.receivedCalls())) {
            log.writeAlways(log_line("stopped").add("open", static_cast<int64_t>(frontend.openCalls())));
            context.loop.stop();
            return;
        }
        context.loop.after(shutdownCheckPeriodMs, [this] { checkShutdown(); });
    }

    scheduler_settings settings;
    platform::store store;
    event_log log;
    counters counts;
    scheduler_context context;
    catalogue_follower catalogue;
    instance_directory directory;
    job_log jobs;
    std::vector<std::unique_ptr<cell_host>> cells;
    http_frontend frontend;
    ms shutdownAt = 0;
    shutdown_check shutdownCheck { settings.graceMs };
};

scheduler_daemon::scheduler_daemon(event_loop& loop, scheduler_settings settings)
    : m_state(std::make_unique<state>(loop, std::move(settings)))
{
}

scheduler_daemon::~scheduler_daemon() = default;

result<void> scheduler_daemon::start()
{
    state& s = *m_state;
    s.log.writeAlways(log_line("started")
                          .add("instance", s.settings.instance)
                          .add("incarnation", s.settings.incarnation)
                          .add("cells", s.settings.cells));
    BOOST_LEAF_CHECK(s.frontend.listen());
    s.catalogue.start();
    s.directory.start();
    for (auto& host : s.cells)
        host->start();
    s.context.loop.every(statisticsPeriodMs, [&s] {
        log_line line("figures");
        for (const auto& [name, value] : s.counts)
            line.add(name, value);
        s.log.writeAlways(line.add("store_calls", static_cast<int64_t>(s.store.calls())));
    });
    return {};
}

void scheduler_daemon::reload(const std::string& file)
{
    state& s = *m_state;
    boost::leaf::try_handle_all(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(loaded, readSchedulerSettings(file));
            auto needRestart = adoptSettings(s.settings, loaded);
            for (auto& host : s.cells)
                host->setSettings(s.settings.cell);
            std::string names;
            for (const auto& setting : needRestart)
                names += (names.empty() ? "" : ",") + setting;
            s.log.writeAlways(log_line("settings_reloaded")
                                  .add("lease_ms", s.settings.cell.leaseMs)
                                  .add("grace_ms", s.settings.graceMs)
                                  .add("after_restart", names));
            return {};
        },
        [&](const e_scheduler_settings& error) {
            for (const auto& fault : error.faults)
                s.log.writeAlways(log_line("settings_refused").add("fault", fault.str()));
        },
        [&] { s.log.writeAlways(log_line("settings_refused").add("fault", "unknown")); });
}

void scheduler_daemon::shutDown()
{
    state& s = *m_state;
    if (s.shutdownAt != 0)
        return;
    s.shutdownAt = bootNow();
    s.log.writeAlways(log_line("stopping").add("open", static_cast<int64_t>(s.frontend.openCalls())));
    s.frontend.startDraining();
    s.directory.withdraw();
    for (auto& host : s.cells)
        host->release();
    s.checkShutdown();
}

} // namespace camphorwell
