// State shared by the components of a node: options, the time of the current event, and the resulting
// actions.
#pragma once

#include "coordination/coordination.h"

#include <deque>
#include <random>

namespace camphorwell {

constexpr size_t maxSelfMessages = 100'000; // Messages of a node to itself during one event.

class context {
public:
    context(node_options given, uint64_t seed)
        : options(std::move(given))
        , random(seed)
        , counts(allReasons().size(), 0)
    {
    }

    void send(const instance_id& to, message body)
    {
        if (to.empty())
            return;
        if (to == options.self.id) {
            selfMessages.push_back(std::move(body));
            CAMPHORWELL_INVARIANT(selfMessages.size() < maxSelfMessages, "messages to itself do not end");
            return;
        }
        out.push_back(send_action { to, std::move(body) });
    }

    uint64_t call(const worker_id& worker, worker_call what)
    {
        uint64_t id = nextCall++;
        out.push_back(call_action { id, worker, std::move(what) });
        return id;
    }

    void count(reason why) { counts[static_cast<size_t>(why)]++; }

    void log(const log_line& line)
    {
        recordEvent(options.self.id + " " + std::to_string(now.count()) + " " + line.str());
        out.push_back(log_action { line.str() });
    }

    bool hasFault(fault which) const { return options.injectedFault == which; }

    // The longest time on this machine's clock during which `ms` elapse on another machine's clock.
    instant driftUpperBound(int64_t ms) const { return scaled(ms, 1.0 + options.driftAllowance); }
    // The shortest time on this machine's clock during which `ms` elapse on another machine's clock.
    instant driftLowerBound(int64_t ms) const { return scaled(ms, 1.0 - options.driftAllowance); }

    // Returns a random duration between half and one and a half times `ms`.
    instant jitter(int64_t ms)
    {
        std::uniform_int_distribution<int64_t> spread(ms * 500, ms * 1500);
        return instant(spread(random));
    }

    const node_options options;
    instant now { 0 };
    std::vector<action> out;
    std::deque<message> selfMessages;
    std::mt19937_64 random;
    std::vector<uint64_t> counts;
    uint64_t nextCall = 1;

private:
    static instant scaled(int64_t ms, double factor)
    {
        return instant(static_cast<int64_t>(static_cast<double>(ms) * 1000 * factor));
    }
};

} // namespace camphorwell
