// See field_reader.h.
#include "schema/field_reader.h"

#include <cmath>

namespace camphorwell {

namespace {

    using nlohmann::json;

    std::optional<int64_t> wholeNumber(const json& value, number_range range)
    {
        if (value.is_number_float()) {
            // 2^63 is the smallest double above all of int64_t, and -2^63 is in it.
            double whole = std::trunc(value.get<double>());
            if (!(whole >= -0x1p63 && whole < 0x1p63))
                return std::nullopt;
            auto number = static_cast<int64_t>(whole);
            return number >= range.min && number <= range.max ? std::optional(number) : std::nullopt;
        }
        if (value.is_number_unsigned()
            && value.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
            return std::nullopt;
        auto number = value.get<int64_t>();
        return number >= range.min && number <= range.max ? std::optional(number) : std::nullopt;
    }

    // Replaces bytes outside ASCII, and escapes of surrogates, by DEL.
    std::string withoutInvalidText(std::string_view bytes)
    {
        constexpr char del = 0x7f;
        std::string out(bytes);
        for (size_t i = 0; i < out.size(); i++) {
            if (static_cast<unsigned char>(out[i]) >= 0x80) {
                out[i] = del;
            } else if (out[i] == '\\') {
                bool surrogate = i + 5 < out.size() && out[i + 1] == 'u' && (out[i + 2] | 0x20) == 'd'
                    && std::string_view("89abcdefABCDEF").find(out[i + 3]) != std::string_view::npos;
                if (surrogate)
                    out.replace(i + 2, 4, "007f");
                i++;
            }
        }
        return out;
    }

    // Stops at the first array or object that is nested too deep or claims more items than there are bytes.
    class bounds_check : public nlohmann::json_sax<json> {
    public:
        bounds_check(size_t bytes, int maxDepth)
            : m_bytes(bytes)
            , m_depthLeft(maxDepth)
        {
        }
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool start_object(size_t length) override { return enter(length); }
        bool start_array(size_t length) override { return enter(length); }
        bool end_object() override { return leave(); }
        bool end_array() override { return leave(); }
        bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override
        {
            return false;
        }

    private:
        bool enter(size_t length)
        {
            constexpr auto unknownLength = static_cast<size_t>(-1);
            return m_depthLeft-- > 0 && (length == unknownLength || length <= m_bytes);
        }
        bool leave()
        {
            m_depthLeft++;
            return true;
        }
        size_t m_bytes;
        int m_depthLeft;
    };

} // namespace

field_reader::field_reader(const json& node, std::string& error, std::string path)
    : m_node(&node)
    , m_error(&error)
    , m_path(std::move(path))
{
    if (!node.is_object())
        fail("", "must be an object");
}

void field_reader::fail(const std::string& name, std::string_view rule) const
{
    if (m_error->empty())
        m_error->append(m_path).append(name).append(": ").append(rule);
}

const json* field_reader::find(const char* name) const
{
    if (!m_node->is_object())
        return nullptr;
    auto found = m_node->find(name);
    return found == m_node->end() ? nullptr : &*found;
}

const json* field_reader::findRequired(const char* name) const
{
    const json* value = find(name);
    if (!value)
        fail(name, "missing");
    return value;
}

int64_t field_reader::number(const char* name, number_range range, std::optional<int64_t> fallback) const
{
    const json* value = fallback ? find(name) : findRequired(name);
    if (!value)
        return fallback.value_or(0);
    if (!value->is_number()) {
        fail(name, "must be a number");
        return fallback.value_or(0);
    }
    auto number = wholeNumber(*value, range);
    if (!number)
        fail(name, "out of range");
    return number ? *number : fallback.value_or(0);
}

double field_reader::real(const char* name, number_range range, double fallback) const
{
    const json* value = find(name);
    if (!value)
        return fallback;
    double number = value->is_number() ? value->get<double>() : fallback;
    if (!value->is_number())
        fail(name, "must be a number");
    else if (!(number >= static_cast<double>(range.min) && number <= static_cast<double>(range.max)))
        fail(name, "out of range");
    else
        return number;
    return fallback;
}

bool field_reader::flag(const char* name, bool fallback) const
{
    const json* value = find(name);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        fail(name, "must be true or false");
    return value->is_boolean() ? value->get<bool>() : fallback;
}

std::string field_reader::text(const char* name, std::optional<std::string> fallback) const
{
    const json* value = fallback ? find(name) : findRequired(name);
    if (value && !value->is_string())
        fail(name, "must be text");
    return value && value->is_string() ? value->get<std::string>() : fallback.value_or(std::string());
}

const json* field_reader::findArray(const char* name, size_t maxLength) const
{
    const json* value = find(name);
    if (!value)
        return nullptr;
    if (!value->is_array())
        fail(name, "must be an array");
    else if (value->size() > maxLength)
        fail(name, "too long");
    else
        return value;
    return nullptr;
}

std::vector<std::string> field_reader::texts(const char* name, size_t maxLength) const
{
    std::vector<std::string> out;
    const json* array = findArray(name, maxLength);
    for (size_t i = 0; array && i < array->size(); i++) {
        if ((*array)[i].is_string())
            out.push_back((*array)[i].get<std::string>());
        else
            fail(name, "must contain text only");
    }
    return out;
}

std::vector<int64_t> field_reader::numbers(const char* name, number_range range, size_t maxLength) const
{
    std::vector<int64_t> out;
    const json* array = findArray(name, maxLength);
    for (size_t i = 0; array && i < array->size(); i++) {
        const json& item = (*array)[i];
        auto number = item.is_number() ? wholeNumber(item, range) : std::nullopt;
        if (number)
            out.push_back(*number);
        else
            fail(name, "must contain numbers in range only");
    }
    return out;
}

field_reader field_reader::object(const char* name) const
{
    static const json none = json::object();
    const json* value = findRequired(name);
    return { value ? *value : none, *m_error, m_path + name + "/" };
}

std::vector<field_reader> field_reader::objects(const char* name) const
{
    std::vector<field_reader> out;
    findRequired(name);
    const json* array = findArray(name, std::numeric_limits<size_t>::max());
    for (size_t i = 0; array && i < array->size(); i++)
        out.emplace_back((*array)[i], *m_error, m_path + name + "/" + std::to_string(i) + "/");
    return out;
}

json parseDocument(std::string_view bytes, std::string& error)
{
    json out = json::parse(bytes, nullptr, false);
    if (out.is_discarded() && error.empty())
        error = "must be JSON with numbers in range";
    return out;
}

json parseRepairedDocument(std::string_view bytes, std::string& error)
{
    json out = json::parse(bytes, nullptr, false);
    if (out.is_discarded())
        return parseDocument(withoutInvalidText(bytes), error);
    return out; // Moved: copying a document recurses.
}

bool cborIsBounded(std::string_view bytes, int maxDepth)
{
    bounds_check check(bytes.size(), maxDepth);
    return json::sax_parse(bytes, &check, json::input_format_t::cbor);
}

} // namespace camphorwell
