// Odd records of other writers in the store, beside real schedulers: none ends a process, the workers' list
// is followed on, and the workers of the readable records are used.
#define BOOST_TEST_MODULE odd_entries
#include "net/net.h"

#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

using namespace camphorwell;
using nlohmann::json;

namespace {

constexpr uint16_t storePort = 22100; // The workers listen on the following ports.
constexpr uint16_t deadPort = 22149; // Nothing listens here.
constexpr int workers = 2;
constexpr int nesting = 100'000;
constexpr int64_t stepTimeoutMs = 20'000;

std::string repeated(const std::string& text, int times)
{
    std::string out;
    for (int i = 0; i < times; i++)
        out += text;
    return out;
}

class child_process {
public:
    child_process(std::vector<std::string> arguments, const std::string& logFile)
    {
        std::vector<char*> raw;
        for (auto& argument : arguments)
            raw.push_back(argument.data());
        raw.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        BOOST_REQUIRE(posix_spawn(&m_pid, raw[0], &files, nullptr, raw.data(), environ) == 0);
        posix_spawn_file_actions_destroy(&files);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process() { kill(); }
    bool running() { return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == 0; }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

private:
    pid_t m_pid = -1;
};

// A stand-in of the platform with two workers, and two schedulers.
class fleet {
public:
    fleet()
    {
        std::string name = (std::filesystem::temp_directory_path() / "camphorwell-odd-XXXXXX").string();
        m_directory = mkdtemp(name.data());
        m_platform = std::make_unique<child_process>(
            std::vector<std::string> { program("standin-fleet"), "--port", std::to_string(storePort),
                "--workers", std::to_string(workers) },
            m_directory + "/platform.log");
        for (int i = 0; i < 2; i++)
            startScheduler(i);
        BOOST_REQUIRE(waitUntil([&] { return logged("event=worker_taken worker=worker-1"); }));
    }
    ~fleet() { std::filesystem::remove_all(m_directory); }

    static std::string program(const std::string& name)
    {
        const char* directory = std::getenv("CAMPHORWELL_BIN");
        return std::string(directory ? directory : ".") + "/camphorwell-" + name;
    }
    void startScheduler(int i)
    {
        std::string file = m_directory + "/" + std::to_string(i) + ".json";
        auto port = [i](int first) { return "127.0.0.1:" + std::to_string(first + i); };
        json settings { { "instance", "north-" + std::to_string(i) }, { "dataCentre", "north" },
            { "address", "127.0.0.1" }, { "callers", port(22110) }, { "readiness", port(22120) },
            { "internalPort", 22130 + i },
            { "store", { { "address", "127.0.0.1:" + std::to_string(storePort) }, { "partitions", 1 } } } };
        std::ofstream(file) << settings;
        m_schedulers[i] = std::make_unique<child_process>(
            std::vector<std::string> { program("scheduler"), "--settings", file }, logFile(i));
    }
    std::string logFile(int i) const { return m_directory + "/" + std::to_string(i) + ".log"; }
    size_t logged(const std::string& text) const
    {
        size_t count = 0;
        for (int i = 0; i < 2; i++) {
            std::ifstream in(logFile(i));
            for (std::string line; std::getline(in, line);)
                count += line.find(text) != std::string::npos;
        }
        return count;
    }
    bool allRunning()
    {
        return m_platform->running() && (!m_schedulers[0] || m_schedulers[0]->running())
            && (!m_schedulers[1] || m_schedulers[1]->running());
    }
    // The scheduler that took the cell last is killed; the other one reads all records from their start.
    void killLeader()
    {
        std::ifstream in(logFile(0));
        std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        int leader = text.find("event=cell_taken") == std::string::npos ? 1 : 0;
        m_schedulers[leader].reset();
        m_caller = 1 - leader;
    }

    http_response call(
        uint16_t port, const std::string& method, const std::string& path, const std::string& body)
    {
        event_loop loop;
        http_client client(loop, "127.0.0.1", port, 1);
        http_response out;
        // The last header of a name counts; the queues of the stand-in have this host.
        client.call(
            method, path, { { "Host", "localhost" } }, body, 3000, [&](const http_response& response) {
                out = response;
                loop.stop();
            });
        loop.run();
        return out;
    }
    void append(const std::string& topic, const std::string& key, const std::string& value)
    {
        std::string record(4, '\0');
        boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(record.data()),
            static_cast<uint32_t>(1 + key.size() + value.size()));
        record.append(1, static_cast<char>(key.size())).append(key).append(value);
        BOOST_REQUIRE(
            call(storePort, "POST", "/log-append?Topic=keyed." + topic + "&part=0", record).status == 200);
    }
    static std::string entry(const std::string& field, const std::string& text)
    {
        json out { { "Service", "service" }, { "Address", "127.0.0.1:" + std::to_string(deadPort) },
            { "Zone", "north" }, { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" },
            { "ColdLeftMs", 0 }, { "Capacity", { { "Cpu", 8000 }, { "MemMb", 16000 }, { "Gpu", 0 } } },
            { "Labels", { "a", "r0" } }, { "Sequence", 1 } };
        std::string shell = out.dump();
        if (field.empty())
            return shell;
        if (out["Capacity"].contains(field))
            out["Capacity"][field] = "@";
        else
            out[field] = "@";
        shell = out.dump();
        return shell.replace(shell.find("\"@\""), 3, text);
    }
    static std::string liveEntry(const std::string& field, const std::string& text)
    {
        std::string out = entry(field, text);
        std::string dead = std::to_string(deadPort);
        return out.replace(out.find(dead), dead.size(), std::to_string(storePort + 1));
    }
    // Submits a gang that needs all workers at once, and waits until it is completed.
    bool runsJob(const std::string& id)
    {
        auto port = static_cast<uint16_t>(22110 + m_caller);
        std::string path = "/batch/" + id;
        const std::string job
            = R"({"Spec":"work_ms=300","Steps":[{"Count":4,"Cpu":4000,"MemMb":100,"Gang":true}]})";
        return waitUntil([&] { return call(port, "POST", path, job).status == 200; }) && waitUntil([&] {
            return call(port, "GET", path, {}).body.find("completed") != std::string::npos;
        });
    }
    template <typename condition> bool waitUntil(condition&& holds)
    {
        auto until = event_loop::now() + milliseconds(stepTimeoutMs);
        while (event_loop::now() < until) {
            if (holds())
                return true;
            usleep(50'000);
        }
        return false;
    }

    // Runs a job, kills the leader, and runs another under a leader that reads the records anew.
    void checkInUse()
    {
        BOOST_TEST(runsJob("00000000000000a1"));
        BOOST_TEST(allRunning());
        killLeader();
        BOOST_TEST(runsJob("00000000000000a2"));
        BOOST_TEST(allRunning());
        BOOST_TEST(logged("event=unknown_run") == 0u);
        BOOST_TEST(logged("event=worker_new_life") == 0u);
    }

private:
    std::string m_directory;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_schedulers[2];
    int m_caller = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(odd_entries_name_no_worker_and_the_others_hold)
{
    fleet f;
    const std::string deep = repeated("[", nesting) + repeated("]", nesting);
    const std::vector<std::string> values { deep, "1e999", "1e300", "99999999999999999999", "-7", "\"x\"",
        "true", "null", "\"\xff\"" };
    size_t odd = 0;
    auto append
        = [&](const std::string& value) { f.append("servers", "odd" + std::to_string(odd++), value); };
    append(repeated("[", nesting));
    append(repeated("{\"a\":", nesting) + "1" + repeated("}", nesting));
    for (const char* field : { "Cpu", "MemMb", "Gpu", "born", "Address", "Labels" }) {
        for (const auto& value : values)
            append(fleet::entry(field, value));
    }
    for (const char* address : { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-1",
             "127.0.0.1", "worker.invalid:80", "127.0.0.1 :80" })
        append(fleet::entry("Address", json(address).dump()));
    BOOST_TEST(f.waitUntil([&] { return f.logged("event=worker_unreadable") >= odd; }));
    f.checkInUse();
    BOOST_TEST(f.logged("event=worker_listed worker=odd") == 0u);
}

// The worker would be polled under two ids, and the leader would stop the tasks of the other one as unknown.
BOOST_AUTO_TEST_CASE(an_entry_whose_key_cannot_be_sent_does_not_reach_a_live_worker)
{
    fleet f;
    const std::vector<std::string> keys { "", " worker-0", "odd\r\nX-A: b", "odd\r\n b", "odd\xff",
        "odd\xff\r\nA: b", std::string("worker-0\0", 9) };
    for (const auto& key : keys)
        f.append("servers", key, fleet::liveEntry("", ""));
    BOOST_TEST(f.waitUntil([&] { return f.logged("event=worker_unreadable") >= keys.size(); }));
    f.checkInUse();
}

BOOST_AUTO_TEST_CASE(an_odd_entry_under_a_live_workers_id_changes_nothing)
{
    fleet f;
    for (const char* born : { "9000000000000000000", "1e300", "99999999999999", "-5", "1e999" })
        f.append("servers", "worker-0", fleet::liveEntry("born", born));
    f.append("servers", "worker-1", "\xff\xfe");
    BOOST_TEST(f.waitUntil([&] { return f.logged("event=worker_unreadable") >= 2; }));
    f.checkInUse();
}

BOOST_AUTO_TEST_CASE(deeply_nested_records_do_not_end_a_scheduler)
{
    fleet f;
    const std::string deep = std::string(900'000, '\x81') + "\x01";
    const std::string endless("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9); // An array of 2^63 - 1 items.
    f.append("jobs-0", "00000000000000f1", deep);
    f.append("jobs-0", "00000000000000f2", endless);
    f.append("progress-0", "00000000000000f1", deep);
    f.append("progress-0", "00000000000000f2", endless);
    f.append("instances", "odd", deep);
    f.checkInUse();
}
