// Assigns workers, shards and keys by rendezvous hashing.
//
// The score of a member for a name is the hash of both, and the member with the highest score is assigned the
// name. When a member joins or leaves, only the names that it gains or loses are reassigned.
#include "coordination/coordination.h"

#include <algorithm>

namespace camphorwell {

namespace {

    template <typename Range, typename Name, typename Skip>
    std::string highestScore(const Range& range, std::string_view key, Name name, Skip skip)
    {
        std::string best;
        uint64_t bestScore = 0;
        for (const auto& item : range) {
            if (skip(item))
                continue;
            std::string candidate = name(item);
            uint64_t score = stableHash(candidate + '\n' + std::string(key));
            if (best.empty() || score > bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return best;
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> out;
        size_t start = 0;
        while (true) {
            size_t end = text.find(separator, start);
            out.push_back(text.substr(start, end == std::string_view::npos ? end : end - start));
            if (end == std::string_view::npos)
                return out;
            start = end + 1;
        }
    }

    constexpr std::string_view keyedMark = "k";
    constexpr std::string_view unkeyedMark = "u";

} // namespace

const member* view::find(const instance_id& id) const
{
    auto found = std::find_if(members.begin(), members.end(), [&](const member& m) { return m.id == id; });
    return found == members.end() ? nullptr : &*found;
}

bool view::contains(const instance_id& id, uint64_t incarnation) const
{
    const member* found = find(id);
    return found && found->incarnation == incarnation;
}

instance_id view::holderOf(const worker_id& worker) const
{
    return highestScore(
        members, "worker " + worker, [](const member& m) { return m.id; },
        [](const member& m) { return m.leaving; });
}

instance_id view::leaderOfShard(uint32_t shard) const
{
    return highestScore(
        members, "shard " + std::to_string(shard), [](const member& m) { return m.id; },
        [](const member& m) { return m.leaving; });
}

instance_id view::leaderOfWork(const work_id& id) const
{
    if (isKeyed(id))
        return leaderOfShard(shardOf(id));
    auto fields = split(id, '~');
    if (fields.size() != 5)
        return {};
    // Work that an earlier incarnation received has no owner.
    const member* found = find(std::string(fields[2]));
    if (!found || std::to_string(found->incarnation) != fields[3])
        return {};
    return found->id;
}

work_id keyedWorkId(const std::string& dataCentre, const entry_name& entry, const std::string& key)
{
    return dataCentre + "~" + std::string(keyedMark) + "~" + hashHex(entry + '\n' + key);
}

work_id unkeyedWorkId(const std::string& dataCentre, const member& receiver, uint64_t sequence)
{
    return dataCentre + "~" + std::string(unkeyedMark) + "~" + receiver.id + "~"
        + std::to_string(receiver.incarnation) + "~" + std::to_string(sequence);
}

std::string homeOfWork(const work_id& id)
{
    auto fields = split(id, '~');
    bool keyed = fields.size() == 3 && fields[1] == keyedMark;
    bool unkeyed = fields.size() == 5 && fields[1] == unkeyedMark;
    return keyed || unkeyed ? std::string(fields[0]) : std::string();
}

bool isKeyed(const work_id& id)
{
    auto fields = split(id, '~');
    return fields.size() == 3 && fields[1] == keyedMark;
}

uint32_t shardOf(const work_id& id) { return static_cast<uint32_t>(stableHash(id) % shardCount); }

std::string homeOfKey(const std::string& key, const std::vector<std::string>& dataCentres)
{
    // A key may name its data centre: "north/order-17".
    for (const auto& dataCentre : dataCentres) {
        if (key.size() > dataCentre.size() && key.compare(0, dataCentre.size(), dataCentre) == 0
            && key[dataCentre.size()] == '/')
            return dataCentre;
    }
    return highestScore(
        dataCentres, "home " + key, [](const std::string& name) { return name; },
        [](const std::string&) { return false; });
}

} // namespace camphorwell
