// Tests of the platform's formats, of an instance's settings, and of the rule that the platform's names stay
// in platform/.
#define BOOST_TEST_MODULE platform
#include "platform/body_writer.h"
#include "scheduler/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>

using namespace camphorwell;
using nlohmann::json;

namespace {

const char* const worker
    = R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"north","Version":"v1","Slots":8,
    "State":"ready","ColdLeftMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},"Labels":["a","r1-3"],"born":77})";
const char* const report
    = R"({"ClockMs":482113,"born":77,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,
    1750.5],["5c0e7a21d94b36f8.0.1.18",1,"",0]],"Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const char* const configuration = R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/",
    "TimeoutMs":3000,"TargetLatencyMs":250,"Priority":1,"Service":"s","MaxAttempts":4,"Stretch":1.5,
    "Advice":{"DecideMs":1,"PeriodMs":1,"ValidMs":3000}}],"Services":[],"Limits":{"MaxBodyBytes":262144}})";
const char* const job = R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,
    "Affinity":"r1-3"},{"Count":2,"DependsOn":[0],"Checkpointing":true,"Fills":true,"Image":"i"}]})";

json settings()
{
    return { { "instance", "north-1" }, { "dataCentre", "north" }, { "address", "10.0.0.1" },
        { "callers", "10.0.0.1:80" }, { "readiness", "10.0.0.1:81" }, { "internalPort", 7720 },
        { "store", { { "address", "10.0.0.2:90" }, { "partitions", 8 } } } };
}

// Replaces up to four characters of `text`, and truncates it in one of four cases.
std::string corrupt(std::string text, std::mt19937& random)
{
    const std::string alphabet = "{}[]\",:0-9e.tfn\\ \xff";
    for (int i = 0; i < 4; i++)
        text[random() % text.size()] = alphabet[random() % alphabet.size()];
    if (random() % 4 == 0)
        text.resize(random() % text.size() + 1);
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_worker_record_is_read)
{
    auto read = platform::readWorker("w", worker);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->service == "s");
    BOOST_TEST(read->rack == "r1-3");
    BOOST_TEST(read->capacity.cpuMilli == 16000);
    BOOST_TEST(read->capacity.accelerators == 1);
    BOOST_TEST(read->startedUnixMs == 77);
    BOOST_TEST(!read->draining);
}

BOOST_AUTO_TEST_CASE(a_report_is_read)
{
    platform::report_reader reader;
    auto read = reader.read(report);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->clockWorkerMs == 482113);
    BOOST_TEST(read->startedUnixMs == 77);
    BOOST_REQUIRE(read->running.size() == 2);
    BOOST_TEST(read->running[0].task.str() == "5c0e7a21d94b36f8.0.1.17");
    BOOST_TEST(read->running[0].attempt == 2);
    BOOST_TEST(read->running[0].checkpoint == "00000bb8");
    BOOST_TEST(read->running[0].progressPercent == 41);
    BOOST_TEST(read->running[0].measurement == 1750);
    BOOST_TEST(read->running[1].measurement == 0);
    BOOST_REQUIRE(read->completions.size() == 1);
    BOOST_TEST(read->completions[0].sequence == 58);
    BOOST_TEST((read->completions[0].kind == completion_kind::done));
    BOOST_TEST(reader.read(R"({"ClockMs":1})")->running.empty());
}

BOOST_AUTO_TEST_CASE(completions_that_cannot_be_read_count_as_listed)
{
    platform::report_reader reader;
    auto read = reader.read(R"({"ClockMs":1,"Finished":[[1,"a.0.0.0",1,"done",""],[2,"a.0.0.1",1,"lost",""],
        [3,"a",1,"done",""]]})");
    BOOST_REQUIRE(read);
    BOOST_TEST(read->completions.size() == 1);
    BOOST_TEST(read->listedCompletions == 3);
}

// A report with a value of a wrong type is rejected as a whole: if the rest of it were used, tasks that could
// not be read would count as gone from the worker.
BOOST_AUTO_TEST_CASE(malformed_reports_are_rejected)
{
    platform::report_reader reader;
    for (const char* bad :
        { "", "{", "[]", "{}", R"({"ClockMs":"1"})", R"({"ClockMs":1e300})", R"({"ClockMs":1,"Running":{}})",
            R"({"ClockMs":1,"Running":[["a.0.0.0"]]})", R"({"ClockMs":1,"Running":[["a.0.0.0","1","",0]]})",
            R"({"ClockMs":1,"Running":[["a.0.0.0",1,7,0]]})",
            R"({"ClockMs":1,"Finished":[[1,"a.0.0.0",1,"done"]]})" })
        BOOST_TEST(!reader.read(bad).has_value(), bad);
    std::mt19937 random(11);
    int accepted = 0;
    for (int i = 0; i < 100'000; i++)
        accepted += reader.read(corrupt(report, random)).has_value();
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < 100'000);
}

// The text that body_writer produces parses back to the given values.
BOOST_AUTO_TEST_CASE(bodies_are_valid_json_for_any_text)
{
    std::mt19937 random(12);
    for (int i = 0; i < 20'000; i++) {
        std::string text;
        for (unsigned length = random() % 12; length > 0; length--)
            text += static_cast<char>(random() % 4 ? random() % 128 : "\"\\\n\x7f"[random() % 4]);
        auto number = static_cast<int64_t>(random()) - (int64_t { 1 } << 31);
        json read = json::parse(platform::body_writer().field("Text", text).field("Number", number).take());
        BOOST_REQUIRE(read["Text"] == text);
        BOOST_REQUIRE(read["Number"] == number);
    }
    BOOST_TEST(platform::body_writer().take() == "{}");
    BOOST_TEST(!json::parse(platform::body_writer().field("Text", "\xff").take()).is_discarded());
}

BOOST_AUTO_TEST_CASE(malformed_worker_records_are_rejected)
{
    json record = json::parse(worker);
    for (const char* field : { "Service", "Address", "Zone", "State", "Capacity" }) {
        json bad = record;
        bad.erase(field);
        BOOST_TEST(!platform::readWorker("w", bad.dump()), "without " << field);
        bad[field] = json::array({ 1 });
        BOOST_TEST(!platform::readWorker("w", bad.dump()), "wrong type of " << field);
    }
    record["State"] = "resting";
    BOOST_TEST(!platform::readWorker("w", record.dump()));
    BOOST_TEST(!platform::readWorker("w", "\xff\xfe"));
    BOOST_TEST(!platform::readWorker("w", "[]"));
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read)
{
    auto read = platform::readConfiguration(configuration);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->version == 7);
    BOOST_REQUIRE(read->routes.size() == 1);
    BOOST_TEST(read->routes[0].queue.maxAttempts == 4);
    BOOST_TEST(read->routes[0].queue.requiresAdvice);
    BOOST_TEST(read->routes[0].queue.adviceValidMs == 3000);
    BOOST_TEST(read->maxBodyBytes == 262144);
    BOOST_TEST(!platform::readConfiguration("{}"));
}

BOOST_AUTO_TEST_CASE(a_job_is_read_or_its_error_is_reported)
{
    auto read = platform::readJob(job);
    BOOST_REQUIRE(std::holds_alternative<job_spec>(read));
    const auto& spec = std::get<job_spec>(read);
    BOOST_REQUIRE(spec.steps.size() == 2);
    BOOST_TEST(spec.steps[0].preferredRack == "r1-3");
    BOOST_TEST(spec.steps[1].isBestEffort);
    BOOST_TEST(spec.steps[1].dependsOn == std::vector<int> { 0 }, boost::test_tools::per_element());
    auto bad = platform::readJob(R"({"Steps":[{"Count":1,"DependsOn":[3]}]})");
    BOOST_REQUIRE(std::holds_alternative<std::string>(bad));
    BOOST_TEST(std::get<std::string>(bad).starts_with("steps/0/dependsOn"));
    BOOST_TEST(std::holds_alternative<std::string>(platform::readJob("no job")));
}

// No decoder crashes or throws on corrupted input.
BOOST_AUTO_TEST_CASE(corrupted_input_does_not_crash_the_decoders)
{
    std::mt19937 random(11);
    for (int i = 0; i < 20'000; i++) {
        platform::readWorker("w", corrupt(worker, random));
        platform::readConfiguration(corrupt(configuration, random));
        platform::readJob(corrupt(job, random));
        platform::readTaskName(corrupt("5c0e7a21d94b36f8.0.1.17", random));
        platform::decodeKeyedRecord(corrupt(platform::encodeKeyedRecord("key", "value"), random));
    }
}

BOOST_AUTO_TEST_CASE(task_names_round_trip)
{
    task_ref task { "5c0e7a21d94b36f8", 3, 1, 17 };
    BOOST_TEST(platform::taskName(task) == "5c0e7a21d94b36f8.3.1.17");
    BOOST_TEST((platform::readTaskName("5c0e7a21d94b36f8.3.1.17") == task));
    for (const char* bad : { "", "a", "a.b", "a.1.2", ".1.2.3", "a.1.2.", "a.x.2.3" })
        BOOST_TEST(!platform::readTaskName(bad), bad);
}

BOOST_AUTO_TEST_CASE(all_faults_of_the_settings_are_reported)
{
    BOOST_TEST(static_cast<bool>(parseSchedulerSettings(settings())));
    json bad = settings();
    bad.erase("dataCentre");
    bad["callers"] = "nowhere";
    bad["store"]["partitions"] = 0;
    size_t faults = 0;
    boost::leaf::try_handle_all(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(parseSchedulerSettings(bad));
            return {};
        },
        [&](const e_scheduler_settings& error) { faults = error.faults.size(); }, [] {});
    BOOST_TEST(faults == 3);
}

BOOST_AUTO_TEST_CASE(settings_changeable_at_run_time_are_adopted)
{
    scheduler_settings current;
    scheduler_settings wanted;
    wanted.cell.leaseMs = current.cell.leaseMs + 1'000;
    wanted.graceMs = current.graceMs + 1'000;
    wanted.callers = "10.0.0.9:80";
    auto unchanged = adoptSettings(current, wanted);
    BOOST_TEST(current.cell.leaseMs == wanted.cell.leaseMs);
    BOOST_TEST(current.graceMs == wanted.graceMs);
    BOOST_TEST(current.callers != wanted.callers);
    BOOST_REQUIRE(unchanged.size() == 1);
    BOOST_TEST(unchanged[0] == "callers");
}

BOOST_AUTO_TEST_CASE(the_settings_template_is_valid)
{
    std::ifstream in(CAMPHORWELL_SOURCE_DIRECTORY "/deploy/settings.json.template");
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    BOOST_REQUIRE(!text.empty());
    const std::map<std::string, std::string> values { { "NodeName|json", "\"n\"" }, { "Zone|json", "\"z\"" },
        { "Ip|json", "\"10.0.0.1\"" }, { "Listen.Front|json", "\"10.0.0.1:1\"" },
        { "Listen.Ready|json", "\"10.0.0.1:2\"" }, { "platform.Address|json", "\"10.0.0.2:3\"" },
        { "Advice", "" } };
    for (size_t start = text.find("{{"); start != std::string::npos; start = text.find("{{")) {
        size_t end = text.find("}}", start);
        auto value = values.find(text.substr(start + 2, end - start - 2));
        text.replace(start, end + 2 - start, value == values.end() ? "1000000" : value->second);
        if (size_t port = text.find("\"internalPort\": 1000000"); port != std::string::npos)
            text.replace(port, 23, "\"internalPort\": 7720");
    }
    BOOST_TEST(static_cast<bool>(parseSchedulerSettings(json::parse(text))));
}

// The operations page documents every event of the structured log, and no others.
BOOST_AUTO_TEST_CASE(the_operations_page_documents_every_event)
{
    namespace fs = std::filesystem;
    std::set<std::string> written;
    const std::string marker = "log_line(\"";
    for (const char* folder : { "/src/jobs", "/src/scheduler" }) {
        for (const auto& entry :
            fs::recursive_directory_iterator(CAMPHORWELL_SOURCE_DIRECTORY + std::string(folder))) {
            if (!entry.is_regular_file())
                continue;
            std::ifstream in(entry.path());
            std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
            for (size_t start = text.find(marker); start != std::string::npos;
                 start = text.find(marker, start + 1))
                written.insert(text.substr(
                    start + marker.size(), text.find('"', start + marker.size()) - start - marker.size()));
        }
    }
    // The search misses this event, which the code writes as `log_line line("figures")`.
    written.insert("figures");
    std::ifstream in(CAMPHORWELL_SOURCE_DIRECTORY "/docs/OPERATIONS.md");
    std::set<std::string> documented;
    std::string line;
    bool inTable = false;
    while (std::getline(in, line)) {
        inTable = line.starts_with("| event") || (inTable && line.starts_with("|"));
        if (!inTable)
            continue;
        std::string column = line.substr(0, line.find('|', 1));
        for (size_t start = column.find('`'); start != std::string::npos;
             start = column.find('`', start + 1)) {
            size_t end = column.find('`', start + 1);
            documented.insert(column.substr(start + 1, end - start - 1));
            start = end;
        }
    }
    for (const auto& event : written)
        BOOST_TEST(documented.contains(event), event << " is not on the page");
    for (const auto& event : documented)
        BOOST_TEST(written.contains(event), event << " is never logged");
}

// The code in src/ contains none of the platform's names; these stay in platform/ and the deployment files.
BOOST_AUTO_TEST_CASE(platform_names_stay_in_the_platform_folder)
{
    const std::vector<std::string> names { "FencingToken", "run-start", "run-stop", "\"/hold\"", "log-append",
        "log-read", "log-newest", "MemMb", "EstimateMs", "LastSeen", "\"DeadlineMs\"", "Expect-Instance",
        "Time-Left-Ms", "PathPrefix", "MaxAttempts", "TargetLatencyMs", "keyed.op", "keyed.servers",
        "AntiAffinity", "LongRunning", "Checkpointing", "machine-move", "machine-upkeep", "/advise" };
    namespace fs = std::filesystem;
    for (const auto& entry : fs::recursive_directory_iterator(CAMPHORWELL_SOURCE_DIRECTORY "/src")) {
        if (!entry.is_regular_file())
            continue;
        std::ifstream in(entry.path());
        std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        for (const auto& name : names)
            BOOST_TEST(text.find(name) == std::string::npos, entry.path().string() << " contains " << name);
    }
}

BOOST_AUTO_TEST_CASE(the_platform_folder_stays_under_1500_lines)
{
    namespace fs = std::filesystem;
    long lines = 0;
    for (const auto& entry : fs::recursive_directory_iterator(CAMPHORWELL_SOURCE_DIRECTORY "/platform")) {
        if (!entry.is_regular_file())
            continue;
        std::ifstream in(entry.path());
        lines += std::count(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>(), '\n');
    }
    BOOST_TEST(lines < 1500);
}
