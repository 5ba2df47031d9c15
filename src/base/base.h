// The base library: identifiers, time, resources, reasons, and the invariant check.
//
// Apart from the invariant check, everything here is a value type or a pure function without input or output.
//
//   resources need { .cpuMilli = 500, .memoryMb = 256, .accelerators = 0, .slots = 1 };
//   if (!need.fits(freeOnWorker))
//       return refusal { reason::no_room, "worker w7: 250 cpuMilli free, 500 needed" };
//
// Units: time is in microseconds from an arbitrary origin on a monotonic clock (`instant`);
// processors are in thousandths of a core, memory in MiB.
// Errors: a refused request is a `refusal` value, carried through boost::leaf where a function
// returns `result<T>`. Only a violated invariant ends the process.
// Threading: values and pure functions are safe on any thread. The invariant check is not synchronised:
// `setInvariantHandler` is called before the loop starts, `recordEvent` only on the loop's thread.
#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorwell {

using instant = std::chrono::microseconds; // Time since an arbitrary origin on a monotonic clock.
using std::chrono::milliseconds;

using instance_id = std::string; // Name of an entry instance, unique in a deployment.
using worker_id = std::string; // Name of a worker, unique in a data centre.
using work_id = std::string; // Id of a request, built by `keyedWorkId` or `unkeyedWorkId`.
using entry_name = std::string; // Name of a catalogue entry.

template <typename T> using result = boost::leaf::result<T>;

// Capacity of a worker, or the part of it that a task reserves.
struct resources {
    int64_t cpuMilli = 0; // Thousandths of a core.
    int64_t memoryMb = 0; // MiB.
    int64_t accelerators = 0; // Whole devices.
    int64_t slots = 0; // Concurrent tasks.

    bool fits(const resources& available) const
    {
        return cpuMilli <= available.cpuMilli && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators && slots <= available.slots;
    }
    // Name of the first dimension in which this exceeds `available`; empty when it fits.
    std::string_view exceededDimension(const resources& available) const;
    resources operator+(const resources&) const;
    resources operator-(const resources&) const;
    resources operator*(int64_t times) const;
    bool operator==(const resources&) const = default;
};

enum class reason_kind : uint8_t { refusal, retry, connection };

// Every reason for which a request is refused, an attempt is retried or a connection is dropped.
// X(name, kind, HTTP status, whether a retry may succeed, whether the task was executed, explanation)
#define CAMPHORWELL_REASONS(X)                                                                               \
    X(bad_request, refusal, 400, false, no, "the request line, a header or the body is malformed")           \
    X(body_too_large, refusal, 413, false, no, "the body exceeds the limit in the settings")                 \
    X(unknown_entry, refusal, 404, false, no, "the catalogue has no entry of that name")                     \
    X(unknown_work, refusal, 404, false, unknown, "no work of that id is known, or its answer has expired")  \
    X(key_required, refusal, 400, false, no, "a non-idempotent entry requires an Idempotency-Key")           \
    X(key_reused, refusal, 422, false, no, "the key was used before with another body")                      \
    X(impossible_size, refusal, 422, false, no, "the entry needs more than any worker has")                  \
    X(entry_limit, refusal, 429, true, no, "the entry's limit of concurrent work is reached")                \
    X(queue_full, refusal, 503, true, no, "the queue of waiting work is full")                               \
    X(deadline_passed, refusal, 504, true, no, "the deadline passed before the work started")                \
    X(shutting_down, refusal, 503, true, no, "the instance is leaving")                                      \
    X(not_ready, refusal, 503, true, no, "the instance has no catalogue or view yet")                        \
    X(log_unavailable, refusal, 503, true, no, "the platform's log did not confirm the record")              \
    X(owner_unsettled, refusal, 503, true, no, "the key's shard is moving to another instance")              \
    X(home_unreachable, refusal, 503, true, no, "the key's home data centre cannot be reached")              \
    X(too_many_waiters, refusal, 503, true, no, "too many requests wait for the same key")                   \
    X(cancelled, refusal, 410, false, no, "the work was cancelled before it finished")                       \
    X(stopped, refusal, 410, false, yes, "the work was cancelled while it ran")                              \
    X(outcome_unknown, refusal, 504, false, unknown, "the work was started and its outcome is not known")    \
    X(task_failed, refusal, 502, false, yes, "the task ran and failed")                                      \
    X(version_conflict, refusal, 412, false, no, "the catalogue entry has a newer version than the base")    \
    X(no_room, retry, 503, true, no, "no worker has room now; the work waits")                               \
    X(retry_stale_view, retry, 503, true, no, "the start carried another view than the holder's")            \
    X(retry_worker_lost, retry, 503, true, unknown, "the worker's lease lapsed while the task ran")          \
    X(retry_evicted, retry, 503, true, unknown, "the task was checkpointed and gave way to urgent work")     \
    X(retry_never_started, retry, 503, true, no, "the holder never started the task")                        \
    X(retry_task_failed, retry, 503, true, yes, "the task failed and is tried on another worker")            \
    X(retry_append, retry, 503, true, no, "an append's answer was lost; the log is read back")               \
    X(retry_forward, retry, 503, true, no, "the owner instance changed while a request was forwarded")       \
    X(peer_wrong_key, connection, 401, false, no, "a peer presented a wrong deployment key")                 \
    X(peer_silent, connection, 503, false, no, "a peer connection sent nothing before its deadline")         \
    X(peer_malformed, connection, 400, false, no, "a peer sent a message that does not decode")              \
    X(peer_oversized, connection, 413, false, no, "a peer sent a message over the size limit")               \
    X(peer_backlog, connection, 503, false, no, "a peer link's send buffer was full; messages were dropped") \
    X(worker_unreachable, connection, 503, false, no, "a call to a worker failed or timed out")

enum class reason : uint8_t {
#define X(name, kind, status, retryable, ran, text) name,
    CAMPHORWELL_REASONS(X)
#undef X
};

// Whether the task of a refused request was executed.
enum class was_executed : uint8_t { no, unknown, yes };

// Properties of a reason; one row of CAMPHORWELL_REASONS.
struct reason_info {
    reason code;
    std::string_view name;
    reason_kind kind;
    int httpStatus;
    bool retryable; // A retry may succeed; the response carries Retry-After.
    was_executed ran;
    std::string_view text; // Explanation sent to the caller.
};

// All reasons, in the order of the enumeration.
const std::vector<reason_info>& allReasons();
const reason_info& reasonInfo(reason);
// The reason of that name, or nullptr.
const reason_info* findReason(std::string_view name);
std::string_view toString(was_executed);

// Why a request was not served, as reported to the caller.
struct refusal {
    reason code = reason::bad_request;
    std::string detail; // What failed, where, and with which value.
    bool operator==(const refusal&) const = default;
};

// A 64-bit hash that is equal on every instance and in every build.
uint64_t stableHash(std::string_view);
// The 128-bit hash of `text` as 32 hexadecimal digits.
std::string hashHex(std::string_view text);

// Builds one log line of key=value pairs. Values with spaces, quotes or control characters are quoted and
// escaped, so that a value cannot inject another pair or line.
class log_line {
public:
    explicit log_line(std::string_view event);
    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, int64_t value);
    const std::string& str() const { return m_text; }

private:
    std::string m_text;
};

// Called with a description of a violated invariant. Without a handler, the recorded events and the
// description are written to stderr and the process aborts.
using invariant_handler = std::function<void(const std::string&)>;
void setInvariantHandler(invariant_handler);
// Adds `event` to the recent events that are printed when an invariant is violated; the oldest are dropped.
void recordEvent(std::string event);
// Calls the handler, or aborts if none is set.
void invariantBroken(const char* condition, const char* file, int line, const std::string& detail);

// Checks an invariant in every build; evaluates `detail` only when it is violated.
#define CAMPHORWELL_INVARIANT(condition, detail)                                                             \
    do {                                                                                                     \
        if (!(condition))                                                                                    \
            ::camphorwell::invariantBroken(#condition, __FILE__, __LINE__, (detail));                        \
    } while (0)

} // namespace camphorwell
