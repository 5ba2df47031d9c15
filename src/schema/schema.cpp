// Validates with valijson. The rule in an error is composed from the schema at the path of the field.
#include "schema/schema.h"

#include <algorithm>
#include <set>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr size_t maxValueLength = 100; // Longer values are cut in errors.
    constexpr int maxNesting = 100; // The JSON library recurses when it copies or writes a document.

    bool nestsDeeper(const json& node, int depth)
    {
        if (!node.is_structured())
            return false;
        return depth == 0 || std::any_of(node.begin(), node.end(), [depth](const json& item) {
            return nestsDeeper(item, depth - 1);
        });
    }

    // Turns valijson's context ("<root>", "[limits]", "[2]") into a JSON pointer.
    json::json_pointer toPointer(const std::vector<std::string>& context)
    {
        json::json_pointer out;
        for (size_t i = 1; i < context.size(); i++) {
            const std::string& part = context[i];
            bool bracketed = part.size() >= 2 && part.front() == '[' && part.back() == ']';
            out /= bracketed ? part.substr(1, part.size() - 2) : part;
        }
        return out;
    }

    // The subschema for the field at `context`, or nullptr.
    const json* schemaAt(const json& schema, const std::vector<std::string>& context)
    {
        const json* node = &schema;
        for (size_t i = 1; i < context.size(); i++) {
            std::string name = context[i].substr(1, context[i].size() - 2);
            if (node->contains("properties") && (*node)["properties"].contains(name))
                node = &(*node)["properties"][name];
            else if (node->contains("items"))
                node = &(*node)["items"];
            else
                return nullptr;
        }
        return node;
    }

    std::string describeRule(const json& rules)
    {
        if (rules.contains("enum"))
            return "must be one of " + rules["enum"].dump();
        std::string out = "must be of type " + rules.value("type", std::string("any"));
        if (rules.contains("minimum"))
            out += ", at least " + rules["minimum"].dump();
        if (rules.contains("maximum"))
            out += ", at most " + rules["maximum"].dump();
        if (rules.contains("pattern"))
            out += ", matching " + rules["pattern"].get<std::string>();
        if (rules.contains("minLength"))
            out += ", at least " + rules["minLength"].dump() + " characters";
        if (rules.contains("maxLength"))
            out += ", at most " + rules["maxLength"].dump() + " characters";
        return out;
    }

    std::string excerpt(const json& value)
    {
        return value.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, maxValueLength);
    }

    // Converts the contexts of valijson's errors to distinct field errors.
    class error_collector {
    public:
        error_collector(const json& document, const json& schema)
            : m_document(document)
            , m_schema(schema)
        {
        }

        void add(const std::vector<std::string>& context)
        {
            const json* rules = schemaAt(m_schema, context);
            auto pointer = toPointer(context);
            if (!rules || !m_document.contains(pointer))
                return;
            const json& value = m_document[pointer];
            bool isObject = value.is_object() && rules->value("type", "") == "object";
            if (isObject)
                addMemberErrors(pointer.to_string(), value, *rules);
            else
                addUnique({ pointer.to_string().empty() ? "/" : pointer.to_string(), excerpt(value),
                    describeRule(*rules) });
        }

        std::vector<field_error> take() { return std::move(m_errors); }

    private:
        // Adds an error for each required member that is missing and each member unknown to the schema.
        void addMemberErrors(const std::string& path, const json& value, const json& rules)
        {
            for (const auto& name : rules.value("required", json::array())) {
                if (!value.contains(name.get<std::string>()))
                    addUnique({ path + "/" + name.get<std::string>(), "missing", "is required" });
            }
            for (const auto& [name, item] : value.items()) {
                if (!rules["properties"].contains(name))
                    addUnique({ path + "/" + name, excerpt(item), "is not a known field" });
            }
        }

        void addUnique(field_error candidate)
        {
            for (const auto& existing : m_errors) {
                if (existing == candidate)
                    return;
            }
            m_errors.push_back(std::move(candidate));
        }

        const json& m_document;
        const json& m_schema;
        std::vector<field_error> m_errors;
    };

} // namespace

std::vector<field_error> validateJson(const json& document, const json& schema)
{
    if (nestsDeeper(document, maxNesting))
        return { { "/", "a document", "must nest at most " + std::to_string(maxNesting) + " levels deep" } };
    valijson::Schema parsed;
    valijson::SchemaParser parser;
    valijson::adapters::NlohmannJsonAdapter schemaAdapter(schema);
    parser.populateSchema(schemaAdapter, parsed);
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::adapters::NlohmannJsonAdapter target(document);
    valijson::ValidationResults results;
    if (validator.validate(parsed, target, &results))
        return {};
    error_collector collector(document, schema);
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        collector.add(error.context);
    auto errors = collector.take();
    if (errors.empty())
        errors.push_back({ "/", excerpt(document), describeRule(schema) });
    return errors;
}

json withDefaults(const json& document, const json& schema)
{
    json out = document;
    if (out.is_array() && schema.contains("items")) {
        for (auto& item : out)
            item = withDefaults(item, schema["items"]);
        return out;
    }
    if (!out.is_object() || !schema.contains("properties"))
        return out;
    for (const auto& [name, rules] : schema["properties"].items()) {
        if (!out.contains(name) && rules.contains("default"))
            out[name] = rules["default"];
        else if (!out.contains(name) && rules.value("type", "") == "object" && !rules.contains("required"))
            out[name] = json::object();
        if (out.contains(name))
            out[name] = withDefaults(out[name], rules);
    }
    return out;
}

} // namespace camphorwell
