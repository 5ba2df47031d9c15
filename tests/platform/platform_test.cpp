// Tests of the platform's formats, of an instance's settings, and of the rule that the platform's names stay
// in platform/.
#define BOOST_TEST_MODULE platform
#include "platform/body_writer.h"
#include "scheduler/scheduler.h"
#include "schema/field_reader.h"

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
    "Advice":{"DecideMs":1,"PeriodMs":2,"ValidMs":3000}}],"Services":[],"Limits":{"MaxBodyBytes":262144}})";
const char* const job = R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,
    "Affinity":"r1-3"},{"Count":2,"DependsOn":[0],"Checkpointing":true,"Fills":true,"Image":"i"}]})";

json settings()
{
    return { { "instance", "north-1" }, { "dataCentre", "north" }, { "address", "10.0.0.1" },
        { "callers", "10.0.0.1:80" }, { "readiness", "10.0.0.1:81" }, { "internalPort", 7720 },
        { "store", { { "address", "10.0.0.2:90" }, { "partitions", 8 } } } };
}

constexpr int64_t nowUnixMs = 1'800'000'000'000;
constexpr int nesting = 100'000;

std::optional<worker_record> readWorker(std::string_view id, std::string_view bytes)
{
    auto read = platform::readWorker(id, bytes, nowUnixMs);
    const auto* record = std::get_if<worker_record>(&read);
    return record ? std::optional(*record) : std::nullopt;
}

std::string repeated(const std::string& text, int times)
{
    std::string out;
    for (int i = 0; i < times; i++)
        out += text;
    return out;
}

const std::string deepArray = repeated("[", nesting) + repeated("]", nesting);
const std::string deepObject = repeated("{\"a\":", nesting) + "1" + repeated("}", nesting);
const std::vector<std::string> hugeNumbers { "1e999", "-1e999", "1e300", "-1e300", "99999999999999999999",
    "18446744073709551615", "9223372036854775807", "-9223372036854775808", "9.3e18" };
const std::vector<std::string> wrongTypes { "\"x\"", "true", "null", "[]", "{}", deepArray, deepObject };

// JSON of `document` with the raw text `value` in the place of the field at `path`.
std::string withField(json document, const std::string& path, const std::string& value)
{
    document[json::json_pointer(path)] = "@";
    std::string out = document.dump();
    return out.replace(out.find("\"@\""), 3, value);
}

// Replaces one value of a JSON document by an odd one.
std::string replaceValue(const std::string& text, std::mt19937& random)
{
    std::vector<std::string> odd = hugeNumbers;
    odd.insert(odd.end(),
        { "-1", "65536", "0.5", "\"\"", "\"\\ud800\"", "\"h:99999\"", "true", "null", "[[[[1]]]]",
            "{\"a\":{\"a\":1}}", "[]", "{}" });
    json document = json::parse(text).flatten();
    auto chosen = std::next(document.begin(), static_cast<long>(random() % document.size()));
    return withField(json::parse(text), chosen.key(), odd[random() % odd.size()]);
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
    auto read = readWorker("w", worker);
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
        BOOST_TEST(!readWorker("w", bad.dump()), "without " << field);
        bad[field] = json::array({ 1 });
        BOOST_TEST(!readWorker("w", bad.dump()), "wrong type of " << field);
    }
    record["State"] = "resting";
    BOOST_TEST(!readWorker("w", record.dump()));
    BOOST_TEST(!readWorker("w", "\xff\xfe"));
    BOOST_TEST(!readWorker("w", "[]"));
}

BOOST_AUTO_TEST_CASE(an_odd_worker_record_names_no_worker)
{
    const json record = json::parse(worker);
    for (const char* field : { "/Capacity/Cpu", "/Capacity/MemMb", "/Capacity/Gpu", "/born", "/RemainingMs",
             "/Sequence", "/Slots", "/ColdLeftMs" }) {
        for (const auto& value : hugeNumbers)
            BOOST_TEST(!readWorker("w", withField(record, field, value)), field << " " << value);
        for (const auto& value : wrongTypes)
            BOOST_TEST(!readWorker("w", withField(record, field, value)), field << " " << value.substr(0, 9));
    }
    for (const char* field : { "/Capacity/Cpu", "/Capacity/MemMb", "/Capacity/Gpu", "/born" })
        BOOST_TEST(!readWorker("w", withField(record, field, "-1")), field);
    for (const char* field : { "/Service", "/Address", "/Zone", "/State", "/Version", "/Capacity" }) {
        for (const std::string value : { "7", "1e300", "true", "null", "[]", "\"\xff\"", "\"\\ud800\"" })
            BOOST_TEST(!readWorker("w", withField(record, field, value)), field << " " << value);
        BOOST_TEST(!readWorker("w", withField(record, field, deepArray)), field);
        BOOST_TEST(!readWorker("w", withField(record, field, deepObject)), field);
    }
    for (const std::string value : { "7", "null", "\"a\"", "[1]", "[\"a\",null]", "{}" })
        BOOST_TEST(!readWorker("w", withField(record, "/Labels", value)), value);
    BOOST_TEST(
        !readWorker("w", withField(record, "/Labels", json(std::vector<std::string>(100'000, "a")).dump())));
    for (const std::string& bytes : { deepArray, deepObject, repeated("[", nesting), std::string(1, '\0') })
        BOOST_TEST(!readWorker("w", bytes));
    BOOST_TEST(readWorker("w", withField(record, "/Unknown", deepArray)).has_value());
}

BOOST_AUTO_TEST_CASE(a_port_out_of_range_or_the_name_of_a_host_names_no_worker)
{
    const json record = json::parse(worker);
    for (const char* address : { "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1",
             "10.0.0.9:+80", "10.0.0.9:80x", "10.0.0.9:", "10.0.0.9", ":80", "", "worker.example:80",
             "localhost:80", "10.0.0.9 :80", " 10.0.0.9:80", "10.0.0.9\r\nX: y:80", "10.0.0:80",
             "10.0.0.256:80", "[::1:80", "::1]:80", "[]:80" })
        BOOST_TEST(!readWorker("w", withField(record, "/Address", json(address).dump())), address);
    for (const char* address : { "10.0.0.9:1", "127.0.0.1:65535", "[fd00::9]:8080" })
        BOOST_TEST(readWorker("w", withField(record, "/Address", json(address).dump())).has_value(), address);
    BOOST_TEST(platform::splitAddress("[fd00::9]:8080").first == "fd00::9");
}

BOOST_AUTO_TEST_CASE(a_key_that_no_header_carries_unchanged_names_no_worker)
{
    for (const std::string& id :
        { std::string(), std::string("a b"), std::string(" a"), std::string("a\t"), std::string("a\r\nb"),
            std::string("a\0", 2), std::string("a\xff"), std::string("a\x7f"), std::string("\xc3\xb1") })
        BOOST_TEST(!readWorker(id, worker), json(id).dump(-1, ' ', true, json::error_handler_t::replace));
    BOOST_TEST(readWorker(std::string(255, 'k'), worker).has_value());
}

BOOST_AUTO_TEST_CASE(a_worker_that_starts_in_the_far_future_names_no_worker)
{
    const json record = json::parse(worker);
    for (int64_t born : { int64_t { 0 }, int64_t { 1 }, nowUnixMs, nowUnixMs + 60'000 })
        BOOST_TEST(readWorker("w", withField(record, "/born", std::to_string(born))).has_value(), born);
    for (int64_t born : { 2 * nowUnixMs, maxExactInteger, int64_t { -1 } })
        BOOST_TEST(!readWorker("w", withField(record, "/born", std::to_string(born))), born);
}

BOOST_AUTO_TEST_CASE(the_error_of_a_worker_record_names_the_field_and_is_short)
{
    const json record = json::parse(worker);
    auto errorOf = [](const std::string& bytes) {
        return std::get<std::string>(platform::readWorker("w", bytes, nowUnixMs));
    };
    BOOST_TEST(errorOf(withField(record, "/Capacity/Cpu", "1e300")) == "Capacity/Cpu: out of range");
    BOOST_TEST(errorOf(withField(record, "/Service", "7")) == "Service: must be text");
    BOOST_TEST(errorOf("{}") == "Address: missing");
    BOOST_TEST(errorOf(std::string(100'000, 'x')).size() < 100u);
    BOOST_TEST(errorOf("\"" + std::string(100'000, 'x')).size() < 100u);
}

BOOST_AUTO_TEST_CASE(a_report_with_numbers_out_of_range_is_rejected)
{
    platform::report_reader reader;
    const json valid = json::parse(report);
    for (const char* field : { "/ClockMs", "/born", "/Running/0/1", "/Running/0/3", "/Running/0/4",
             "/Finished/0/0", "/Finished/0/2" }) {
        for (const auto& value : hugeNumbers)
            BOOST_TEST(!reader.read(withField(valid, field, value)), field << " " << value);
    }
    for (const char* field : { "/Running/0/1", "/Running/0/3", "/Finished/0/0", "/Finished/0/2" })
        BOOST_TEST(!reader.read(withField(valid, field, "-1")), field);
    BOOST_TEST(!reader.read(withField(valid, "/Running/0/1", "4294967296")));
    BOOST_TEST(!reader.read(withField(valid, "/Running", deepArray)));
    BOOST_TEST(!reader.read(withField(valid, "/Unknown", deepObject)));
    BOOST_TEST(!reader.read(deepArray));
    BOOST_TEST(reader.read(report).has_value());
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
    BOOST_TEST(read->routes[0].queue.adviceCallMs(30) == 61);
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

BOOST_AUTO_TEST_CASE(a_job_with_numbers_out_of_range_is_rejected_with_a_short_error)
{
    const json valid = json::parse(job);
    auto isRejected = [](const std::string& bytes) {
        auto read = platform::readJob(bytes);
        const auto* error = std::get_if<std::string>(&read);
        return error && error->size() < 200;
    };
    for (const char* field : { "/Steps/0/Count", "/Steps/0/Cpu", "/Steps/0/MemMb", "/Steps/0/EstimateMs",
             "/Steps/0/AntiAffinity", "/Steps/0/TargetMs", "/Steps/0/MayMiss", "/Steps/1/DependsOn/0",
             "/RepeatCount", "/StartAtMs", "/IntervalMs" }) {
        for (const auto& value : hugeNumbers)
            BOOST_TEST(isRejected(withField(valid, field, value)), field << " " << value);
        BOOST_TEST(isRejected(withField(valid, field, "true")), field);
        BOOST_TEST(isRejected(withField(valid, field, deepArray)), field);
    }
    for (const char* field : { "/Steps/0/Count", "/Steps/0/AntiAffinity", "/Steps/1/DependsOn/0" })
        BOOST_TEST(isRejected(withField(valid, field, "4294967297")), field);
    BOOST_TEST(isRejected("\"" + std::string(100'000, 'x')));
    BOOST_TEST(isRejected(deepObject));
}

BOOST_AUTO_TEST_CASE(a_configuration_with_numbers_out_of_range_is_rejected)
{
    const json valid = json::parse(configuration);
    for (const char* field : { "/Version", "/Routes/0/Priority", "/Routes/0/MaxAttempts", "/Routes/0/Stretch",
             "/Routes/0/TargetLatencyMs", "/Routes/0/Advice/ValidMs", "/Routes/0/Advice/DecideMs",
             "/Routes/0/Advice/PeriodMs", "/Limits/MaxBodyBytes" }) {
        for (const auto& value : hugeNumbers)
            BOOST_TEST(!platform::readConfiguration(withField(valid, field, value)), field << " " << value);
        BOOST_TEST(!platform::readConfiguration(withField(valid, field, deepArray)), field);
    }
    BOOST_TEST(!platform::readConfiguration(deepArray));
    BOOST_TEST(!platform::readConfiguration(deepObject));
}

BOOST_AUTO_TEST_CASE(only_bounded_records_pass_the_check)
{
    const std::string shallow = "\x82\x01\x81\x02"; // [1, [2]]
    BOOST_TEST(cborIsBounded(shallow, 2));
    BOOST_TEST(!cborIsBounded(shallow, 1));
    BOOST_TEST(!cborIsBounded(std::string(1'000'000, '\x81') + "\x01", 16));
    BOOST_TEST(!cborIsBounded(std::string(1'000'000, '\x9f'), 16)); // Arrays of unknown length
    std::string maps;
    for (int i = 0; i < 100'000; i++)
        maps += "\xa1\x60";
    BOOST_TEST(!cborIsBounded(maps + "\x01", 16));
    BOOST_TEST(!cborIsBounded(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9), 16));
    BOOST_TEST(!cborIsBounded("", 16));
    BOOST_TEST(!cborIsBounded(shallow + "\x01", 16));
}

// No decoder crashes or throws on corrupted input.
BOOST_AUTO_TEST_CASE(corrupted_input_does_not_crash_the_decoders)
{
    std::mt19937 random(11);
    platform::report_reader reader;
    for (int i = 0; i < 20'000; i++) {
        platform::readConfiguration(replaceValue(configuration, random));
        platform::readJob(replaceValue(job, random));
        reader.read(replaceValue(report, random));
        if (auto read = readWorker("w", replaceValue(worker, random))) {
            BOOST_REQUIRE(read->capacity.cpuMilli >= 0);
            BOOST_REQUIRE(read->capacity.memoryMb >= 0);
            BOOST_REQUIRE(read->startedUnixMs >= 0);
            BOOST_REQUIRE(read->startedUnixMs < 2 * nowUnixMs);
            BOOST_REQUIRE(platform::splitAddress(read->address).second > 0);
        }
        readWorker("w", corrupt(worker, random));
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

BOOST_AUTO_TEST_CASE(a_leader_gets_the_time_of_three_appends_for_a_renewal)
{
    json given = json::parse(R"({"instance":"n","dataCentre":"z","address":"10.0.0.1","callers":"10.0.0.1:1",
        "readiness":"10.0.0.1:2","internalPort":7720,"store":{"address":"10.0.0.2:3","appendMs":1700}})");
    auto settings = parseSchedulerSettings(given);
    BOOST_REQUIRE(static_cast<bool>(settings));
    BOOST_TEST(settings->election.leaderTimeoutMs >= 3 * 1700);
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
