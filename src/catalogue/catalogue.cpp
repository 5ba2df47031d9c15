// Replays the catalogue's log stream.
//
// Records are applied in the order of their offsets. A record names the version of the entry on which it is
// based and is accepted only if that is still the entry's version, so every reader of the same prefix reaches
// the same verdict on every record. A snapshot holds the latest accepted record of each entry and the offset
// up to which the log was applied.
#include "catalogue/catalogue.h"

#include <algorithm>

namespace camphorwell {

using nlohmann::json;

change_verdict catalogue::apply(const catalogue_record& record)
{
    if (record.offset < m_nextOffset)
        return change_verdict::duplicate;
    m_nextOffset = record.offset + 1;
    uint64_t version = 0;
    if (auto found = m_entries.find(record.name); found != m_entries.end())
        version = found->second.version;
    else if (auto removed = m_removedVersions.find(record.name); removed != m_removedVersions.end())
        version = removed->second;

    std::vector<field_error> errors;
    std::optional<entry> parsed;
    bool removal = record.body.empty();
    if (!removal)
        parsed = parseEntry(json::parse(record.body, nullptr, false), errors);

    change_verdict verdict = change_verdict::accepted;
    // An append that was repeated because its answer was lost may be in the log twice; only the first counts.
    if (auto earlier = this->verdict(record.changeId))
        verdict = change_verdict::duplicate;
    else if (record.baseVersion != version)
        verdict = change_verdict::conflict;
    else if (!removal && (!parsed || parsed->name != record.name))
        verdict = change_verdict::invalid;

    if (verdict == change_verdict::accepted) {
        uint64_t next = static_cast<uint64_t>(record.offset) + 1;
        m_acceptedRecords[record.name] = record;
        if (removal) {
            m_entries.erase(record.name);
            m_removedVersions[record.name] = next;
        } else {
            m_removedVersions.erase(record.name);
            m_entries[record.name] = { *parsed, next };
        }
    }
    m_history.emplace_back(record, verdict);
    if (m_history.size() > historyLength)
        m_history.erase(m_history.begin());
    return verdict;
}

const catalogue::versioned* catalogue::find(const entry_name& name) const
{
    auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::optional<change_verdict> catalogue::verdict(const std::string& changeId) const
{
    for (const auto& [record, verdict] : m_history) {
        if (record.changeId == changeId && verdict != change_verdict::duplicate)
            return verdict;
    }
    return std::nullopt;
}

std::vector<catalogue_record> catalogue::snapshot() const
{
    std::vector<catalogue_record> out;
    for (const auto& [name, record] : m_acceptedRecords)
        out.push_back(record);
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.offset < b.offset; });
    return out;
}

bool catalogue::restore(const std::vector<catalogue_record>& records, int64_t nextOffset)
{
    if (nextOffset <= m_nextOffset)
        return false;
    catalogue next;
    for (auto record : records) {
        // A snapshot lacks superseded versions, so the record's base version cannot be checked against them.
        auto found = next.m_entries.find(record.name);
        uint64_t base = found == next.m_entries.end() ? 0 : found->second.version;
        uint64_t original = record.baseVersion;
        record.baseVersion = base;
        next.apply(record);
        record.baseVersion = original;
        next.m_acceptedRecords[record.name] = record;
    }
    next.m_nextOffset = nextOffset;
    auto history = m_history;
    *this = std::move(next);
    for (auto& item : history) {
        bool known = std::any_of(m_history.begin(), m_history.end(),
            [&](const auto& other) { return other.first.offset == item.first.offset; });
        if (!known)
            m_history.push_back(std::move(item));
    }
    std::sort(m_history.begin(), m_history.end(),
        [](const auto& a, const auto& b) { return a.first.offset < b.first.offset; });
    while (m_history.size() > historyLength)
        m_history.erase(m_history.begin());
    return true;
}

json toJson(const catalogue_record& record)
{
    return { { "change", record.changeId }, { "name", record.name }, { "base", record.baseVersion },
        { "body", record.body }, { "offset", record.offset }, { "author", record.author } };
}

catalogue_record recordFromJson(const json& source)
{
    catalogue_record out;
    out.changeId = source.at("change").get<std::string>();
    out.name = source.at("name").get<std::string>();
    out.baseVersion = source.at("base").get<uint64_t>();
    out.body = source.at("body").get<std::string>();
    out.offset = source.value("offset", int64_t { -1 });
    out.author = source.value("author", std::string());
    return out;
}

} // namespace camphorwell
