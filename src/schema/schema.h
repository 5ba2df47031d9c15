// The schema library: checks a JSON document against a JSON schema and fills in the schema's defaults.
//
//   auto faults = validateJson(document, schema);   // every fault at once
//   if (faults.empty())
//       document = withDefaults(document, schema);
//
// Errors: each `field_error` names the path of the field as a JSON pointer, its value, and the rule it
// breaks. Units: none. Threading: pure functions.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace camphorwell {

struct field_error {
    std::string path;
    std::string value;
    std::string rule;
    std::string str() const { return path + ": " + value + ": " + rule; }
    bool operator==(const field_error&) const = default;
};

std::vector<field_error> validateJson(const nlohmann::json& document, const nlohmann::json& schema);
nlohmann::json withDefaults(const nlohmann::json& document, const nlohmann::json& schema);

} // namespace camphorwell
