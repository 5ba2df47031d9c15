// Converts messages, worker calls and worker answers to and from JSON values. Peers exchange them as CBOR.
//
// Each type lists its fields once, in `fields`, for both the writer and the reader. A message is an object
// with its name in "#" and the version of the format in "#v".
#include "coordination/coordination.h"

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr int formatVersion = 1;
    constexpr size_t maxListLength = 100'000; // Maximum number of elements of a list in a message.

    class writer;
    class reader;

    template <typename Archive> void fields(Archive& a, member& v)
    {
        a("id", v.id)("in", v.incarnation)("lv", v.leaving);
    }
    template <typename Archive> void fields(Archive& a, view_id& v) { a("n", v.number)("p", v.proposer); }
    template <typename Archive> void fields(Archive& a, view& v) { a("id", v.id)("mem", v.members); }
    template <typename Archive> void fields(Archive& a, resources& v)
    {
        a("c", v.cpuMilli)("m", v.memoryMb)("a", v.accelerators)("s", v.slots);
    }
    template <typename Archive> void fields(Archive& a, task_report& v)
    {
        a("id", v.id)("at", v.attempt)("w", v.worker)("st", v.state)("res", v.result)("ck", v.checkpoint);
        a("need", v.need)("b", v.batch)("i", v.idempotent)("e", v.entry);
    }
    template <typename Archive> void fields(Archive& a, work& v)
    {
        a("id", v.id)("at", v.attempt)("e", v.entry)("o", v.owner)("b", v.batch)("i", v.idempotent);
        a("u", v.urgent)("need", v.need)("body", v.body)("ck", v.checkpoint)("dl", v.deadlineMs);
    }
    template <typename Archive> void fields(Archive& a, request& v)
    {
        a("vb", v.verb)("id", v.id)("e", v.entry)("body", v.body)("as", v.respondAsync)("dl", v.deadlineMs);
        a("h", v.hops)("cn", v.catalogueNext);
    }
    template <typename Archive> void fields(Archive& a, refusal& v) { a("c", v.code)("d", v.detail); }
    template <typename Archive> void fields(Archive& a, answer& v)
    {
        a("st", v.state)("id", v.id)("res", v.result)("why", v.why)("at", v.attempt)("w", v.worker);
    }
    template <typename Archive> void fields(Archive& a, heartbeat& v)
    {
        a("p", v.promised)("h", v.heard)("x", v.acksMissing)("hi", v.highestNumber)("lv", v.leaving);
        a("r", v.freeCapacity)("f", v.freeSlots)("c", v.catalogueNext);
    }
    template <typename Archive> void fields(Archive& a, propose& v) { a("view", v.view); }
    template <typename Archive> void fields(Archive& a, acknowledge& v) { a("id", v.id); }
    template <typename Archive> void fields(Archive& a, worker_taken& v)
    {
        a("id", v.id)("w", v.worker)("t", v.tasks);
    }
    template <typename Archive> void fields(Archive& a, worker_confirmed& v) { a("id", v.id)("w", v.worker); }
    template <typename Archive> void fields(Archive& a, start_work& v) { a("id", v.id)("w", v.work); }
    template <typename Archive> void fields(Archive& a, start_refused& v)
    {
        a("id", v.id)("at", v.attempt)("y", v.why)("bw", v.byWorker);
    }
    template <typename Archive> void fields(Archive& a, task_update& v) { a("v", v.id)("r", v.report); }
    template <typename Archive> void fields(Archive& a, task_update_kept& v)
    {
        a("id", v.id)("at", v.attempt);
    }
    template <typename Archive> void fields(Archive& a, stop_work& v) { a("id", v.id)("at", v.attempt); }
    template <typename Archive> void fields(Archive& a, forward& v) { a("t", v.ticket)("r", v.request); }
    template <typename Archive> void fields(Archive& a, forwarded_answer& v)
    {
        a("t", v.ticket)("a", v.answer);
    }
    template <typename Archive> void fields(Archive& a, catalogue_record& v)
    {
        a("change", v.changeId)("name", v.name)("base", v.baseVersion)("body", v.body)("offset", v.offset);
        a("author", v.author);
    }
    template <typename Archive> void fields(Archive& a, catalogue_update& v)
    {
        a("r", v.records)("n", v.nextOffset);
    }
    template <typename Archive> void fields(Archive& a, lease_call& v)
    {
        a("token", v.token)("holder", v.holder)("lease_ms", v.leaseMs)("task_lease_ms", v.taskLeaseMs);
        a("since", v.sinceSeq);
    }
    template <typename Archive> void fields(Archive& a, release_call& v) { a("token", v.token); }
    template <typename Archive> void fields(Archive& a, start_call& v)
    {
        a("token", v.token)("work", v.work);
    }
    template <typename Archive> void fields(Archive& a, revoke_call& v)
    {
        a("token", v.token)("id", v.id)("attempt", v.attempt);
    }
    template <typename Archive> void fields(Archive& a, stop_call& v)
    {
        a("token", v.token)("id", v.id)("attempt", v.attempt)("checkpoint", v.checkpoint);
    }
    template <typename Archive> void fields(Archive& a, worker_answer& v)
    {
        a("verdict", v.verdict)("capacity", v.capacity)("seq", v.seq)("max_token", v.maxToken)(
            "tasks", v.tasks);
    }

    template <typename T>
    constexpr bool isPlain
        = std::is_arithmetic_v<T> || std::is_same_v<T, std::string> || std::is_same_v<T, bool>;

    // The highest value of each enumeration that is part of a message; the reader rejects higher ones.
    template <typename T> constexpr uint64_t highest();
    template <> constexpr uint64_t highest<task_state>()
    {
        return static_cast<uint64_t>(task_state::never_started);
    }
    template <> constexpr uint64_t highest<verb>() { return static_cast<uint64_t>(verb::cancel); }
    template <> constexpr uint64_t highest<answer_state>()
    {
        return static_cast<uint64_t>(answer_state::refused);
    }
    template <> constexpr uint64_t highest<reason>()
    {
        return static_cast<uint64_t>(reason::worker_unreachable);
    }
    template <> constexpr uint64_t highest<worker_verdict>()
    {
        return static_cast<uint64_t>(worker_verdict::over_capacity);
    }

    // Writes fields to a JSON object. Omits numbers, enumerations, strings and lists with their default
    // value.
    class writer {
    public:
        template <typename T> writer& operator()(const char* name, T& value)
        {
            if (!(isDefault(value)))
                out[name] = encode(value);
            return *this;
        }

        template <typename T> static json encode(T& value)
        {
            if constexpr (isPlain<T>) {
                return value;
            } else if constexpr (std::is_enum_v<T>) {
                return static_cast<uint64_t>(value);
            } else {
                writer inner;
                fields(inner, value);
                return inner.out;
            }
        }

        template <typename T> static json encode(std::vector<T>& values)
        {
            json list = json::array();
            for (auto& value : values)
                list.push_back(encode(value));
            return list;
        }

        json out = json::object();

    private:
        template <typename T> static bool isDefault(const T& value)
        {
            if constexpr (std::is_arithmetic_v<T> || std::is_enum_v<T> || std::is_same_v<T, std::string>)
                return value == T {};
            return false;
        }
        template <typename T> static bool isDefault(const std::vector<T>& value) { return value.empty(); }
    };

    // Reads fields from a JSON object. Missing fields get their default value.
    class reader {
    public:
        explicit reader(const json& source)
            : m_source(source)
        {
            if (!source.is_object())
                throw json::other_error::create(501, "an object was expected", &source);
        }

        template <typename T> reader& operator()(const char* name, T& value)
        {
            auto found = m_source.find(name);
            if (found == m_source.end())
                value = T {};
            else
                decode(*found, value);
            return *this;
        }

    private:
        template <typename T> static void decode(const json& source, T& value)
        {
            if constexpr (isPlain<T>) {
                source.get_to(value);
            } else if constexpr (std::is_enum_v<T>) {
                auto number = source.get<uint64_t>();
                if (number > highest<T>())
                    throw json::other_error::create(501, "enumeration value out of range", &source);
                value = static_cast<T>(number);
            } else {
                reader inner(source);
                fields(inner, value);
            }
        }

        template <typename T> static void decode(const json& source, std::vector<T>& values)
        {
            if (!source.is_array() || source.size() > maxListLength)
                throw json::other_error::create(501, "a list of bounded length was expected", &source);
            values.clear();
            for (const auto& item : source) {
                T value {};
                decode(item, value);
                values.push_back(std::move(value));
            }
        }

        const json& m_source;
    };

    constexpr const char* messageNames[]
        = { "heartbeat", "propose", "acknowledge", "worker_taken", "worker_confirmed", "start",
              "start_refused", "update", "update_kept", "stop", "forward", "answer", "catalogue" };
    constexpr const char* callNames[] = { "lease", "release", "start", "revoke", "stop" };

    template <typename Variant, size_t index = 0>
    Variant decodeAlternative(const json& source, const std::string& name, const char* const* names)
    {
        if constexpr (index == std::variant_size_v<Variant>) {
            throw json::other_error::create(501, "unknown name " + name, &source);
        } else {
            if (name != names[index])
                return decodeAlternative<Variant, index + 1>(source, name, names);
            std::variant_alternative_t<index, Variant> value {};
            reader in(source);
            fields(in, value);
            return value;
        }
    }

    template <typename Variant>
    json encodeAlternative(const Variant& what, const char* const* names, const char* tag)
    {
        Variant copy = what;
        json out = std::visit(
            [](auto& value) {
                writer w;
                fields(w, value);
                return w.out;
            },
            copy);
        out[tag] = names[what.index()];
        return out;
    }

} // namespace

json toJson(const message& body)
{
    json out = encodeAlternative(body, messageNames, "#");
    out["#v"] = formatVersion;
    return out;
}

message messageFromJson(const json& source)
{
    if (source.at("#v").get<int>() != formatVersion)
        throw json::other_error::create(501, "unknown format version", &source);
    return decodeAlternative<message>(source, source.at("#").get<std::string>(), messageNames);
}

json toJson(const worker_call& call) { return encodeAlternative(call, callNames, "call"); }

worker_call workerCallFromJson(const json& source)
{
    return decodeAlternative<worker_call>(source, source.at("call").get<std::string>(), callNames);
}

json toJson(const worker_answer& given)
{
    worker_answer copy = given;
    return writer::encode(copy);
}

worker_answer workerAnswerFromJson(const json& source)
{
    worker_answer out;
    reader in(source);
    fields(in, out);
    return out;
}

std::string_view toString(task_state state)
{
    constexpr std::string_view names[]
        = { "running", "done", "failed", "stopped", "evicted", "lost", "never_started" };
    return names[static_cast<size_t>(state)];
}

std::string_view toString(worker_verdict verdict)
{
    constexpr std::string_view names[]
        = { "ok", "stale_token", "held_by_other", "no_lease", "over_capacity" };
    return names[static_cast<size_t>(verdict)];
}

} // namespace camphorwell
