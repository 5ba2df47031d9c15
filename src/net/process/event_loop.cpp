// Timers and signal handlers on a libevent base.
#include "net/net.h"

#include <event2/event.h>

#include <csignal>

namespace camphorwell {

// A timer or signal event and its handler.
struct event_loop::event_registration {
    struct event* handle = nullptr;
    std::function<void()> handler;
    bool once = false;
    bool done = false;
    ~event_registration()
    {
        if (handle)
            event_free(handle);
    }
};

namespace {

    timeval toTimeval(int64_t ms)
    {
        timeval out {};
        out.tv_sec = ms / 1000;
        out.tv_usec = (ms % 1000) * 1000;
        return out;
    }

} // namespace

event_loop::event_loop()
{
    std::signal(SIGPIPE, SIG_IGN); // A write to a connection that the peer has reset fails instead.
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    // Epoll changes are passed to the kernel once per iteration, without those that cancel each other out.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    m_base = event_base_new_with_config(config);
    event_config_free(config);
    CAMPHORWELL_INVARIANT(m_base, "libevent has no usable event mechanism");
}

event_loop::~event_loop()
{
    m_registrations.clear();
    event_base_free(m_base);
}

void event_loop::run() { event_base_dispatch(m_base); }

void event_loop::stop() { event_base_loopbreak(m_base); }

void event_loop::every(int64_t ms, std::function<void()> handler)
{
    auto created = std::make_unique<event_registration>();
    created->handler = std::move(handler);
    created->handle = event_new(
        m_base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* arg) { static_cast<event_registration*>(arg)->handler(); },
        created.get());
    timeval period = toTimeval(ms);
    event_add(created->handle, &period);
    m_registrations.push_back(std::move(created));
}

void event_loop::after(int64_t ms, std::function<void()> handler)
{
    struct one_shot {
        std::function<void()> handler;
    };
    timeval delay = toTimeval(ms);
    event_base_once(
        m_base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
            std::unique_ptr<one_shot> shot(static_cast<one_shot*>(arg));
            shot->handler();
        },
        new one_shot { std::move(handler) }, &delay);
}

void event_loop::onSignal(int number, std::function<void()> handler)
{
    auto created = std::make_unique<event_registration>();
    created->handler = std::move(handler);
    created->handle = evsignal_new(
        m_base, number,
        [](evutil_socket_t, short, void* arg) { static_cast<event_registration*>(arg)->handler(); },
        created.get());
    event_add(created->handle, nullptr);
    m_registrations.push_back(std::move(created));
}

instant event_loop::now()
{
    return std::chrono::duration_cast<instant>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace camphorwell
