// Decides where a record can be stored while the store does not answer this instance. Does no input or
// output.
//
// Peers (the other instances) are probed. If one reaches the store, records are forwarded to it. If peers
// answer but none reaches the store, the store is down and callers are told to retry later. If no peer
// answers, this instance is cut off, and a caller should try another instance at once. The slower the recent
// answers of the store, the longer it may be silent before peers are probed. Covers single instances and data
// centres that are cut off, a store that refuses some instances, and a store 100 times slower than usual.
#pragma once

#include "jobs/jobs.h"

namespace camphorwell {

enum class store_route : uint8_t {
    log, // The store is not known to be silent: append directly.
    peer, // A peer reaches the store: forward to it.
    store_down, // Peers answer, and none of them reaches the store.
    cut_off, // No peer answers.
    undecided // Peers have been probed, or are about to be, and may still answer.
};
// Name of the route in the structured log.
std::string_view toString(store_route);

// The reachability of the store as measured by this instance and its peers. Times are in milliseconds.
class store_reachability {
public:
    // Lower bound of the silence threshold. A store 60 times slower than its usual 4 ms stays below it.
    static constexpr ms minSilenceMs = 400;
    static constexpr ms probePeriodMs = 200;
    // Time after the first probe during which the route is undecided unless a peer reaches the store.
    static constexpr ms probeWaitMs = 250;
    // Age up to which a peer's answer to a probe is used.
    static constexpr ms probeValidMs = 900;

    // Upper bound of the silence threshold. It leaves time to forward the record of a caller that waits 3 s.
    static constexpr ms maxSilenceMs = 1200;
    // The silence threshold as a multiple of the slowest recent answer.
    static constexpr double slowestAnswerFactor = 2.5;

    // How long the store may be silent before peers are probed; `slowest` is its slowest recent answer.
    static ms silenceThreshold(ms slowest);
    // Value of Retry-After, in seconds, for a caller whose record could not be stored. An outage is expected
    // to last as long again as it has lasted, so the value grows with it and a caller's few retries span it.
    // It is limited to the time that the caller still waits, since a later retry would not be made.
    static int retryAfterSeconds(store_route, ms silentFor, ms callerTimeLeft);

    // `silent`: how long calls to the store have been unanswered; `slowest`: its slowest recent answer.
    void observe(ms silent, ms slowest, ms now);
    // Whether a round of probes is due. If so, records it as sent; the caller sends the probes.
    bool shouldProbePeers(ms now);
    // `reachesStore`: whether the peer at `address` (HOST:PORT) reaches the store.
    void onProbeAnswer(const std::string& address, bool reachesStore, ms now);
    store_route chooseRoute(ms now) const;
    // HOST:PORT of the peer that reported last that it reaches the store; empty when there is none.
    std::string peerWithStore(ms now) const;
    // Whether the store's silence exceeds the threshold.
    bool storeSilent() const { return m_silentSince != 0; }
    // Time since the store's silence exceeded the threshold; 0 when it does not.
    ms silentFor(ms now) const { return storeSilent() ? now - m_silentSince : 0; }

private:
    struct probe_result {
        bool reachesStore = false;
        ms at = 0;
    };
    ms m_silentSince = 0; // When the silence exceeded the threshold; 0: it does not.
    ms m_lastProbeAt = 0;
    ms m_firstProbeAt = 0; // First probe of the current silence; 0: none yet.
    std::map<std::string, probe_result> m_peers;
};

} // namespace camphorwell
