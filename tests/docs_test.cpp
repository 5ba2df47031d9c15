// Compares the reasons, settings and metrics of the code with those on the operators' page; both must list
// the same names.
#define BOOST_TEST_MODULE operators_page
#include <boost/test/unit_test.hpp>

#include "entry/entry.h"

#include <fstream>
#include <regex>
#include <sstream>

using namespace camphorwell;
using nlohmann::json;

namespace {

std::string readPage()
{
    std::ifstream in(std::string(CAMPHORWELL_SOURCE_DIRECTORY) + "/docs/OPERATING.md");
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string section(const std::string& page, const std::string& title)
{
    size_t start = page.find("\n## " + title + "\n");
    size_t end = page.find("\n## ", start + 1);
    return start == std::string::npos ? std::string() : page.substr(start, end - start);
}

// The backquoted name at the start of each table row.
std::set<std::string> firstCells(const std::string& text)
{
    std::set<std::string> out;
    std::regex row("\n\\| `([^`]+)`");
    for (std::sregex_iterator it(text.begin(), text.end(), row), end; it != end; ++it)
        out.insert((*it)[1]);
    return out;
}

void collectPaths(const json& schema, const std::string& prefix, std::set<std::string>& out)
{
    for (const auto& [name, rules] : schema["properties"].items()) {
        std::string path = prefix + "/" + name;
        std::string type = rules.value("type", "");
        if (type != "object")
            out.insert(path);
        if (type == "object")
            collectPaths(rules, path, out);
        if (type == "array")
            collectPaths(rules["items"], path + "/N", out);
    }
}

std::set<std::string> metricNames(const std::string& text)
{
    std::set<std::string> out;
    std::regex name("# TYPE ([a-z_]+) ");
    for (std::sregex_iterator it(text.begin(), text.end(), name), end; it != end; ++it)
        out.insert((*it)[1]);
    return out;
}

void checkSame(const std::set<std::string>& inCode, const std::set<std::string>& onPage)
{
    for (const auto& name : inCode)
        BOOST_TEST(onPage.count(name) == 1u, name << " is not on the page");
    for (const auto& name : onPage)
        BOOST_TEST(inCode.count(name) == 1u, name << " is on the page only");
}

} // namespace

BOOST_AUTO_TEST_CASE(reasons)
{
    std::set<std::string> inCode;
    for (const auto& info : allReasons())
        inCode.insert(std::string(info.name));
    checkSame(inCode, firstCells(section(readPage(), "Reasons")));
}

BOOST_AUTO_TEST_CASE(settings)
{
    std::set<std::string> inCode;
    collectPaths(settingsSchema(), "", inCode);
    checkSame(inCode, firstCells(section(readPage(), "Settings")));
}

BOOST_AUTO_TEST_CASE(metrics)
{
    node_options options;
    options.self = { "a", 1, false };
    node n(options, 1);
    auto inCode = metricNames(entry_metrics().text(n, 0));
    std::set<std::string> onPage;
    std::string text = section(readPage(), "Metrics");
    std::regex name("`(camphorwell_[a-z_]+)`");
    for (std::sregex_iterator it(text.begin(), text.end(), name), end; it != end; ++it)
        onPage.insert((*it)[1]);
    checkSame(inCode, onPage);
}
