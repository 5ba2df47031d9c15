// The schema library: validates a JSON document against a JSON schema and fills in the schema's defaults.
//
//   auto errors = validateJson(document, schema); // All errors at once.
//   if (errors.empty())
//       document = withDefaults(document, schema);
//
// Errors: each `field_error` names the path of the field as a JSON pointer, its value, and the rule it
// breaks. Units: none. Threading: pure functions.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorwell {

// One field of a document that breaks the schema.
struct field_error {
    std::string path; // JSON pointer; "/" for the whole document.
    std::string value; // As JSON, cut to 100 characters; "missing" for an absent field.
    std::string rule;
    std::string str() const { return path + ": " + value + ": " + rule; }
    bool operator==(const field_error&) const = default;
};

// Returns all errors of `document`; empty if it conforms to `schema`.
std::vector<field_error> validateJson(const nlohmann::json& document, const nlohmann::json& schema);
// Returns `document` with the defaults of `schema` in place of absent fields. An absent object without
// required members is created first.
nlohmann::json withDefaults(const nlohmann::json& document, const nlohmann::json& schema);

} // namespace camphorwell
