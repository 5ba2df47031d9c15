// Typed reads of the fields of JSON objects that other systems wrote.
//
//   std::string error;
//   field_reader in(document, error);
//   int64_t memory = in.number("memory", { 0, maxMemory });
//   std::string zone = in.text("zone");
//   if (!error.empty())
//       return error; // For example "memory: out of range".
//
// Nothing throws, and no value is converted out of the range of its type. A read that fails returns the
// fallback, or an empty value. The first failure is kept as the error: the path of the field and the rule
// that it breaks, but not its value, so the length is bounded. Threading: as for the document.
#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace camphorwell {

// The values from `min` to `max`, inclusive.
struct number_range {
    int64_t min = 0;
    int64_t max = 0;
};
constexpr int64_t maxExactInteger = int64_t { 1 } << 53; // Every JSON reader represents it exactly.
constexpr number_range nonNegativeInt { 0, std::numeric_limits<int>::max() };

// Reads one object. Absent fields and fields of the wrong type are errors unless there is a fallback; a field
// with a fallback may be absent, but not of the wrong type.
class field_reader {
public:
    // `path` is the prefix of the fields' names in errors. The node and the error must outlive the reader.
    field_reader(const nlohmann::json& node, std::string& error, std::string path = {});

    // A number in the range, without its fraction.
    int64_t number(const char* name, number_range, std::optional<int64_t> fallback = {}) const;
    double real(const char* name, number_range, double fallback) const;
    bool flag(const char* name, bool fallback) const;
    std::string text(const char* name, std::optional<std::string> fallback = {}) const;
    // At most `maxLength` items; none if the field is absent.
    std::vector<std::string> texts(const char* name, size_t maxLength) const;
    std::vector<int64_t> numbers(const char* name, number_range, size_t maxLength) const;
    field_reader object(const char* name) const;
    // The items of an array as readers of objects.
    std::vector<field_reader> objects(const char* name) const;

    // The value of the field, or nullptr.
    const nlohmann::json* find(const char* name) const;
    void fail(const std::string& name, std::string_view rule) const;

private:
    const nlohmann::json* findRequired(const char* name) const;
    const nlohmann::json* findArray(const char* name, size_t maxLength) const;
    const nlohmann::json* m_node;
    std::string* m_error;
    std::string m_path;
};

// Parses a document without exceptions. If it cannot be read, the result is discarded and sets the error.
nlohmann::json parseDocument(std::string_view bytes, std::string& error);

// The same, but text that is not Unicode is read with DEL characters in its place, so that it does not make
// the rest of the document unreadable.
nlohmann::json parseRepairedDocument(std::string_view bytes, std::string& error);

// Whether a CBOR document nests at most `maxDepth` deep and states no length beyond its own. The JSON
// library's reader of CBOR recurses, and throws on impossible lengths.
bool cborIsBounded(std::string_view bytes, int maxDepth);

} // namespace camphorwell
