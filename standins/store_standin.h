// A stand-in for the platform's log, in memory: conditional appends, idempotent producers, reads that wait
// for records, the newest record of each key, and faults on request.
//
//   store_standin store;
//   if (!store.serve(request, reply))
//       reply->send(404, {}, "");
//   loop.every(5, [&] { store.tick(); });
//
// POST /admin takes a JSON object with any of these fields:
//   drop_history   a topic; reads from before its end are answered 410
//   read_bytes     bound on the records of one read
//   fault          "refused" (503), "unanswered" (done, but no answer), "lost" (neither done nor answered),
//                  "answered_late" (done at once) or "done_late"; restricted by topic (default: all),
//                  appends_only, calls (default: no limit) and for_ms; delay_ms is the lateness
//   clear_faults   true: no fault is in force
// Units: milliseconds, bytes.
#pragma once

#include "platform/platform.h"

#include <list>

namespace camphorwell {

enum class store_fault_kind : uint8_t { refused, unanswered, lost, answered_late, done_late };

struct store_fault {
    store_fault_kind kind = store_fault_kind::refused;
    std::string topic; // Empty: every topic.
    bool appendsOnly = false;
    int64_t callsLeft = 0;
    ms until = 0;
    ms delayMs = 0;
};

class store_standin {
public:
    using reply_ptr = std::shared_ptr<http_reply>;

    // Returns false if the path is not one of the store's.
    bool serve(const http_request&, const reply_ptr&);
    void put(const std::string& topic, const std::string& key, const std::string& value);
    // Answers the waiting reads that have records or whose wait is over, and carries out delayed calls.
    void tick();

private:
    struct producer {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        std::string answer;
    };
    struct partition {
        std::vector<std::string> records;
        uint64_t first = 0; // The first offset that reads may ask for.
        std::map<std::string, producer> producers;
        std::map<std::string, std::pair<uint64_t, std::string>> newest;
    };
    struct waiting_read {
        std::string partitionKey;
        uint64_t from = 0;
        ms deadline = 0;
        reply_ptr reply;
    };
    struct delayed_call {
        ms due = 0;
        std::function<void()> run;
    };
    using parameters = std::map<std::string, std::string>;

    void administer(const http_request&, const reply_ptr&);
    std::optional<store_fault> takeFault(const std::string& topic, bool isAppend);
    void perform(const http_request&, const reply_ptr&);
    void append(const http_request&, const reply_ptr&);
    void read(const http_request&, const reply_ptr&);
    void readNewestByKey(const http_request&, const reply_ptr&);
    void answerRead(const partition&, uint64_t from, const reply_ptr&) const;
    void answerReads();
    partition& partitionOf(parameters&);
    static void put(const std::string& topic, partition&, std::string record);

    std::map<std::string, partition> m_partitions; // By topic, slash and number.
    std::list<waiting_read> m_waitingReads;
    std::list<delayed_call> m_delayedCalls;
    std::list<reply_ptr> m_unanswered;
    std::list<store_fault> m_faults;
    size_t m_maxReadBytes = 1 << 20;
};

} // namespace camphorwell
