// camphorwellctl: the command line tool for operators.
#include "catalogue/catalogue.h"
#include "entry/entry.h"
#include "net/net.h"

#include <algorithm>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace camphorwell;
using nlohmann::json;

enum exit_code : int { success = 0, refused = 1, usage = 2, unreachable = 3, conflict = 4 };

constexpr int64_t callTimeoutMs = 20'000;

constexpr const char* helpText
    = "usage: camphorwellctl [--server ADDRESS:PORT] [--json] COMMAND\n"
      "\n"
      "  catalogue list            entries in force, with owner, class and version\n"
      "  catalogue show NAME       one entry\n"
      "  catalogue diff FILE       what `apply` would change\n"
      "  catalogue apply FILE      put the entries of FILE in force; FILE holds one entry or a list\n"
      "  catalogue history         the latest changes, who made them, and which of them won\n"
      "  check FILE...             check catalogue or settings files without any server\n"
      "  status                    the instance's view, workers and queues\n"
      "  explain ID                why a piece of work waits, or where it ran\n"
      "  cancel ID                 cancel a piece of work\n"
      "  drain                     ask the instance to stop gracefully\n"
      "\n"
      "  --server ADDRESS:PORT     an entry instance; default 127.0.0.1:8080\n"
      "  --json                    print JSON for scripts\n"
      "  --help                    this text\n"
      "\n"
      "exit codes: 0 done, 1 refused, 2 wrong usage or invalid file, 3 no answer, 4 the entry was changed "
      "by\n"
      "somebody else\n";

[[noreturn]] void exitWithUsage(const std::string& why)
{
    std::cerr << "camphorwellctl: " << why << "\n" << helpText;
    std::exit(usage);
}

struct arguments {
    std::string address = "127.0.0.1";
    uint16_t port = 8080;
    bool asJson = false;
    std::vector<std::string> commandWords;
};

void setServer(arguments& out, const std::string& value)
{
    size_t colon = value.rfind(':');
    int port = colon == std::string::npos ? 0 : std::atoi(value.c_str() + colon + 1);
    if (port < 1 || port > 65535)
        exitWithUsage("--server " + value + ": must be ADDRESS:PORT");
    out.address = value.substr(0, colon);
    out.port = static_cast<uint16_t>(port);
}

arguments parseArguments(int argc, char** argv)
{
    const option longOptions[]
        = { { "server", required_argument, nullptr, 's' }, { "json", no_argument, nullptr, 'j' },
              { "help", no_argument, nullptr, 'h' }, { nullptr, 0, nullptr, 0 } };
    arguments out;
    int optionCode = 0;
    while ((optionCode = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (optionCode == 's') {
            setServer(out, optarg);
        } else if (optionCode == 'j') {
            out.asJson = true;
        } else if (optionCode == 'h') {
            std::cout << helpText;
            std::exit(success);
        } else {
            std::exit(usage);
        }
    }
    for (int i = optind; i < argc; i++)
        out.commandWords.emplace_back(argv[i]);
    return out;
}

// Runs one command against one entry instance.
class operator_command {
public:
    explicit operator_command(const arguments& parsedArguments)
        : m_arguments(parsedArguments)
        , m_client(m_loop, parsedArguments.address, parsedArguments.port, 1)
    {
    }

    int run()
    {
        const auto& commandWords = m_arguments.commandWords;
        if (commandWords.empty())
            exitWithUsage("a command is needed");
        if (commandWords[0] == "check")
            return check();
        if (commandWords[0] == "catalogue" && commandWords.size() >= 2)
            return runCatalogue(commandWords[1]);
        if (commandWords[0] == "status")
            return print(call("GET", "/v1/status"));
        if (commandWords[0] == "explain" && commandWords.size() == 2)
            return explain();
        if (commandWords[0] == "cancel" && commandWords.size() == 2)
            return cancel();
        if (commandWords[0] == "drain")
            return print(call("POST", "/v1/drain"));
        exitWithUsage("unknown command " + commandWords[0]);
    }

private:
    http_response call(const std::string& method, const std::string& path, const header_list& headers = {},
        const std::string& body = {})
    {
        http_response out;
        m_client.call(method, path, headers, body, callTimeoutMs, [&](const http_response& answer) {
            out = answer;
            m_loop.stop();
        });
        m_loop.run();
        if (out.status == 0) {
            std::cerr << "camphorwellctl: no answer from " << m_arguments.address << ":" << m_arguments.port
                      << "\n";
            std::exit(unreachable);
        }
        return out;
    }

    int printRefusal(const http_response& answer)
    {
        json body = json::parse(answer.body, nullptr, false);
        if (m_arguments.asJson || !body.is_object()) {
            std::cout << answer.body;
        } else {
            std::cerr << "refused: " << body.value("reason", "") << ": " << body.value("detail", "")
                      << " (ran: " << body.value("ran", "") << ")\n";
        }
        return answer.status == 412 ? conflict : refused;
    }

    int print(const http_response& answer)
    {
        if (answer.status >= 400)
            return printRefusal(answer);
        json body = json::parse(answer.body, nullptr, false);
        if (m_arguments.asJson || !body.is_object()) {
            std::cout << answer.body;
            return success;
        }
        for (const auto& [name, value] : body.items())
            std::cout << name << ": " << (value.is_string() ? value.get<std::string>() : value.dump())
                      << "\n";
        return success;
    }

    int runCatalogue(const std::string& verb)
    {
        const auto& commandWords = m_arguments.commandWords;
        if (verb == "list")
            return list();
        if (verb == "show" && commandWords.size() == 3)
            return print(call("GET", "/v1/catalogue/" + commandWords[2]));
        if (verb == "history")
            return history();
        if ((verb == "diff" || verb == "apply") && commandWords.size() == 3)
            return applyFile(commandWords[2], verb == "apply");
        exitWithUsage("unknown command catalogue " + verb);
    }

    int list()
    {
        http_response answer = call("GET", "/v1/catalogue");
        if (answer.status != 200 || m_arguments.asJson)
            return print(answer);
        json body = json::parse(answer.body);
        for (const auto& item : body["entries"]) {
            const auto& entry = item["entry"];
            std::cout << entry["name"].get<std::string>() << "  owner=" << entry["owner"].get<std::string>()
                      << "  class=" << entry["class"].get<std::string>() << "  version=" << item["version"]
                      << "\n";
        }
        return success;
    }

    int history()
    {
        http_response answer = call("GET", "/v1/history");
        if (answer.status != 200 || m_arguments.asJson)
            return print(answer);
        json body = json::parse(answer.body);
        for (const auto& change : body["changes"]) {
            std::cout << "version=" << change["offset"].get<int64_t>() + 1 << "  "
                      << change["name"].get<std::string>() << "  base=" << change["base"] << "  "
                      << change["verdict"].get<std::string>()
                      << "  by=" << change["author"].get<std::string>() << "\n";
        }
        return success;
    }

    static json readFile(const std::string& file)
    {
        std::ifstream in(file);
        json document = in ? json::parse(in, nullptr, false) : json(json::value_t::discarded);
        if (document.is_discarded()) {
            std::cerr << file << ": cannot be read as JSON\n";
            std::exit(usage);
        }
        return document;
    }

    static json entriesOf(const json& document)
    {
        return document.is_array() ? document : json::array({ document });
    }

    // Prints every fault in `file` and returns their number.
    static size_t checkFile(const std::string& file)
    {
        json document = readFile(file);
        std::vector<field_error> faults;
        bool isSettings = document.is_object() && document.contains("instance");
        if (isSettings) {
            boost::leaf::try_handle_all(
                [&]() -> result<void> {
                    BOOST_LEAF_CHECK(parseSettings(document));
                    return {};
                },
                [&](const e_settings& error) { faults = error.faults; },
                [&] {
                    faults.push_back({ "/", file, "cannot be checked" });
                });
        } else {
            for (const auto& item : entriesOf(document))
                parseEntry(item, faults);
        }
        for (const auto& fault : faults)
            std::cerr << file << ": " << fault.str() << "\n";
        return faults.size();
    }

    int check()
    {
        size_t faults = 0;
        if (m_arguments.commandWords.size() < 2)
            exitWithUsage("check needs a file");
        for (size_t i = 1; i < m_arguments.commandWords.size(); i++) {
            size_t found = checkFile(m_arguments.commandWords[i]);
            if (found == 0)
                std::cout << m_arguments.commandWords[i] << ": ok\n";
            faults += found;
        }
        return faults == 0 ? success : usage;
    }

    int applyFile(const std::string& file, bool apply)
    {
        if (checkFile(file) != 0)
            return usage;
        int worstExitCode = success;
        for (const auto& item : entriesOf(readFile(file)))
            worstExitCode = std::max(worstExitCode, applyEntry(item, apply));
        return worstExitCode;
    }

    int applyEntry(const json& item, bool apply)
    {
        std::vector<field_error> faults;
        entry wanted = *parseEntry(item, faults);
        http_response current = call("GET", "/v1/catalogue/" + wanted.name);
        uint64_t version = 0;
        if (current.status == 200) {
            json body = json::parse(current.body);
            version = body["version"].get<uint64_t>();
            if (body["entry"] == toJson(wanted)) {
                std::cout << wanted.name << ": unchanged\n";
                return success;
            }
        }
        if (!apply) {
            json before = current.status == 200 ? json::parse(current.body)["entry"] : json::object();
            std::cout << wanted.name << ": " << json::diff(before, toJson(wanted)).dump(2) << "\n";
            return success;
        }
        const char* user = std::getenv("USER");
        header_list headers = { { "If-Match", "\"" + std::to_string(version) + "\"" },
            { "X-Author", user ? user : "unknown" }, { "Content-Type", "application/json" } };
        http_response answer = call("PUT", "/v1/catalogue/" + wanted.name, headers, item.dump());
        if (answer.status != 200)
            return printRefusal(answer);
        if (m_arguments.asJson) {
            std::cout << answer.body;
            return success;
        }
        json body = json::parse(answer.body);
        std::cout << wanted.name << ": version " << body["version"] << " in force in "
                  << body["in_force"].dump() << ", not yet in " << body["not_yet"].dump() << "\n";
        return success;
    }

    int explain()
    {
        http_response answer = call("GET", "/v1/explain/" + m_arguments.commandWords[1]);
        if (answer.status != 200 || m_arguments.asJson)
            return print(answer);
        json body = json::parse(answer.body);
        std::cout << body["text"].get<std::string>() << "\n";
        for (const auto& field : body["fields"])
            std::cout << "  " << field[0].get<std::string>() << ": " << field[1].get<std::string>() << "\n";
        return success;
    }

    int cancel()
    {
        http_response answer = call("DELETE", "/v1/work/" + m_arguments.commandWords[1]);
        json body = json::parse(answer.body, nullptr, false);
        bool cancelled = body.is_object() && body.value("reason", "") == "cancelled";
        if (!cancelled)
            return print(answer);
        std::cout << (m_arguments.asJson ? answer.body : "cancelled\n");
        return success;
    }

    const arguments& m_arguments;
    event_loop m_loop;
    http_client m_client;
};

} // namespace

int main(int argc, char** argv)
{
    arguments parsedArguments = parseArguments(argc, argv);
    return operator_command(parsedArguments).run();
}
