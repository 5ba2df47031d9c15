// Where work can be accepted while the store does not answer this instance: a decision without input or
// output.
//
// Another instance may still have the store, and takes the work then. When others answer but have no store
// either, the store is down, and a caller is told to come back in a while. When nobody answers, this instance
// is cut off, and a caller does best to try another at once. A store whose answers were slow lately is given
// more time before it counts as silent. Answers the load of single instances and data centres that are cut
// off, of a store that turns some instances away, and of one that is a hundred times as slow as usual.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

enum class store_route : uint8_t {
    log, // The store answers, as far as is known.
    peer, // Another instance has the store.
    store_down, // Others answer, and have no store either.
    cut_off, // Nobody answers.
    undecided // Others have been asked and may still answer.
};
std::string_view toString(store_route);

class store_reachability {
public:
    static constexpr ms minSilenceMs
        = 400; // A store this silent is in trouble: 60 times its usual 4 ms, and some.
    static constexpr ms probePeriodMs = 200; // Others are asked so often then.
    static constexpr ms probeWaitMs = 250; // For their answers.
    static constexpr ms probeValidMs = 900; // What another said holds for so long.

    static constexpr ms maxSilenceMs = 1200; // So that a caller who waits 3 s can still be helped.
    static constexpr double slowestAnswerFactor = 2.5; // The slowest answer of late, so many times.

    // The silence from which on a store is in trouble, after an answer that took `slowest`.
    static ms silenceThreshold(ms slowest);
    // Seconds after which a caller who was refused does best to come back. An outage that has lasted is
    // expected to last as long again, so that the few tries that a caller has reach its end; but a caller
    // whose time is over by then would not come back.
    static int retryAfterSeconds(store_route, ms silentFor, ms callerTimeLeft);

    // `silent`: for how long the store has left calls without an answer; `slowest`: the longest that it took
    // for one of late.
    void observe(ms silent, ms slowest, ms now);
    // Whether others are to be asked now; the caller asks them.
    bool shouldProbePeers(ms now);
    void onProbeAnswer(const std::string& address, bool reachesStore, ms now);
    store_route chooseRoute(ms now) const;
    // An instance that has the store; for `peer`.
    std::string peerWithStore(ms now) const;
    bool storeSilent() const { return m_silentSince != 0; }
    ms silentFor(ms now) const { return storeSilent() ? now - m_silentSince : 0; }

private:
    struct probe_result {
        bool reachesStore = false;
        ms at = 0;
    };
    ms m_silentSince = 0; // Since when the store is in trouble; 0: it is not.
    ms m_lastProbeAt = 0;
    ms m_firstProbeAt = 0; // In this trouble.
    std::map<std::string, probe_result> m_peers;
};

} // namespace camphorwell
