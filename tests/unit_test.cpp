// Unit tests of the libraries without input and output, against simple references where there are any.
#define BOOST_TEST_MODULE units
#include <boost/test/unit_test.hpp>

#include "base/base.h"
#include "catalogue/catalogue.h"
#include "coordination/coordination.h"
#include "entry/entry.h"
#include "standins/models.h"

#include <random>

using namespace camphorwell;
using nlohmann::json;

namespace {

catalogue_record record(int64_t offset, const std::string& change, uint64_t base, int64_t concurrent)
{
    catalogue_record out;
    out.changeId = change;
    out.name = "plan";
    out.baseVersion = base;
    out.offset = offset;
    json body = { { "name", "plan" }, { "owner", "cart" }, { "class", "batch" },
        { "limits", { { "concurrent", concurrent } } } };
    out.body = body.dump();
    return out;
}

view viewOf(const std::vector<std::string>& names)
{
    view out;
    out.id = { 1, names.front() };
    for (const auto& name : names)
        out.members.push_back({ name, 1, false });
    return out;
}

json goodSettings()
{
    return { { "instance", "north-1" }, { "data_centre", "north" },
        { "http", { { "address", "127.0.0.1" }, { "port", 8080 } } },
        { "peer", { { "address", "127.0.0.1" }, { "port", 8081 }, { "key", "a-key-of-16-chars" } } },
        { "platform", { { "address", "127.0.0.1" }, { "port", 8082 } } } };
}

// A node "a" and its peer "b", whose part the test plays, with one worker that "a" should hold.
class two_members {
public:
    explicit two_members(fault deliberate)
        : m_worker("w1", { 4000, 4000, 0, 4 })
    {
        node_options options;
        options.self = { "a", 1, false };
        options.dataCentre = "dc";
        options.peers = { "b" };
        options.injectedFault = deliberate;
        m_node = std::make_unique<node>(options, 1);
        view both;
        both.members = { { "a", 1, false }, { "b", 1, false } };
        for (int i = 0; both.holderOf(m_name) != "a"; i++)
            m_name = "w" + std::to_string(i);
        m_list.workers.push_back({ m_name, "r", false });
        feed(m_list);
    }

    // Runs for `ms`, with heartbeats from "b"; "b" acknowledges every view.
    void run(int64_t ms)
    {
        for (int64_t passed = 0; passed < ms; passed += 20) {
            m_now += milliseconds(20);
            heartbeat beat;
            beat.promised = m_view;
            fromB(beat);
            feed(tick {});
        }
    }

    void submit()
    {
        submission given;
        given.ticket = 1;
        given.request.entry = "plan";
        given.request.body = "{}";
        given.request.deadlineMs = 60'000;
        feed(given);
    }

    void mute() { m_mute = true; }
    void confirm() { fromB(worker_confirmed { m_view, m_name }); }
    bool taken() const { return m_taken; }
    int starts() const { return m_starts; }

private:
    void fromB(message body) { feed(peer_message { { "b", 1, false }, "dc", std::move(body) }); }

    void feed(const camphorwell::event& what)
    {
        for (auto& each : m_node->handle(m_now, what))
            std::visit([this](auto& act) { perform(act); }, each);
    }

    void perform(send_action& act)
    {
        if (const auto* next = std::get_if<propose>(&act.message)) {
            m_view = next->view.id;
            m_pending.push_back([this] { fromB(acknowledge { m_view }); });
        }
        if (const auto* asked = std::get_if<start_work>(&act.message)) {
            start_refused full { asked->work.id, asked->work.attempt, reason::no_room, false };
            m_pending.push_back([this, full] { fromB(full); });
        }
        m_taken = m_taken || std::holds_alternative<worker_taken>(act.message);
        settle();
    }
    void perform(call_action& act)
    {
        m_starts += std::holds_alternative<start_call>(act.payload) ? 1 : 0;
        if (m_mute) {
            m_pending.push_back([this, call = act.call] { feed(worker_reply { call, std::nullopt }); });
            settle();
            return;
        }
        worker_answer given = m_worker.handle(m_now, act.payload);
        m_pending.push_back([this, call = act.call, given] { feed(worker_reply { call, given }); });
        settle();
    }
    void perform(read_action& act)
    {
        read_reply reply;
        reply.call = act.call;
        reply.ok = reply.atEnd = true;
        if (act.stream == "catalogue" && act.from == 0) {
            catalogue_record entry = record(0, "c", 0, 10);
            entry.body = R"({"name":"plan","owner":"o","class":"latency-critical"})";
            reply.records.push_back({ 0, toJson(entry).dump() });
        }
        reply.next = 1;
        m_pending.push_back([this, reply] { feed(reply); });
        settle();
    }
    template <typename Other> void perform(Other&) { }

    // Answers come after the event that asked for them.
    void settle()
    {
        if (m_settling)
            return;
        m_settling = true;
        while (!m_pending.empty()) {
            auto next = m_pending.front();
            m_pending.erase(m_pending.begin());
            next();
        }
        m_settling = false;
    }

    std::unique_ptr<node> m_node;
    worker_model m_worker;
    worker_id m_name = "w1";
    platform_list m_list;
    view_id m_view;
    instant m_now { 0 };
    bool m_taken = false;
    int m_starts = 0;
    bool m_settling = false;
    bool m_mute = false;
    std::vector<std::function<void()>> m_pending;
};

std::vector<field_error> faultsOf(const json& settings)
{
    std::vector<field_error> out;
    boost::leaf::try_handle_all(
        [&]() -> result<void> {
            BOOST_LEAF_CHECK(parseSettings(settings));
            return {};
        },
        [&](const e_settings& error) { out = error.faults; }, [] {});
    return out;
}

} // namespace

BOOST_AUTO_TEST_CASE(log_values_cannot_forge_a_pair_or_a_line)
{
    log_line line("refused");
    line.add("key", "a\nevent=forged \"x\"").add("plain", "a-b").add("empty", "");
    BOOST_TEST(line.str() == "event=refused key=\"a\\x0aevent=forged \\x22x\\x22\" plain=a-b empty=\"\"");
    BOOST_TEST(line.str().find('\n') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(every_reason_has_a_name_and_a_text)
{
    std::set<std::string_view> names;
    for (const auto& info : allReasons()) {
        BOOST_TEST(names.insert(info.name).second);
        BOOST_TEST(!info.text.empty());
        BOOST_TEST(findReason(info.name) == &info);
        BOOST_TEST(info.httpStatus >= 400);
    }
}

BOOST_AUTO_TEST_CASE(of_two_changes_on_one_base_the_first_in_the_log_wins)
{
    catalogue c;
    BOOST_TEST((c.apply(record(0, "a", 0, 1)) == fold_verdict::won));
    BOOST_TEST((c.apply(record(1, "b", 1, 2)) == fold_verdict::won));
    BOOST_TEST((c.apply(record(2, "c", 1, 3)) == fold_verdict::lost));
    BOOST_TEST((c.apply(record(3, "b", 1, 2)) == fold_verdict::already));
    BOOST_TEST((c.apply(record(1, "b", 1, 2)) == fold_verdict::already));
    BOOST_TEST(c.find("plan")->version == 2u);
    BOOST_TEST(c.find("plan")->entry.limits.concurrent == 2);
}

// A random stream folded whole, and folded from a snapshot taken anywhere, gives the same catalogue.
BOOST_AUTO_TEST_CASE(a_snapshot_and_the_rest_equal_the_whole)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; round++) {
        std::vector<catalogue_record> stream;
        catalogue whole;
        size_t cut = random() % 30;
        catalogue early;
        for (int64_t offset = 0; offset < 30; offset++) {
            const auto* current = whole.find("plan");
            uint64_t base = random() % 3 == 0 ? random() % 30 : (current ? current->version : 0);
            auto next = record(
                offset, "c" + std::to_string(offset), base, 1 + static_cast<int64_t>(random() % 100));
            if (random() % 8 == 0)
                next.body.clear();
            stream.push_back(next);
            whole.apply(next);
            if (static_cast<size_t>(offset) < cut)
                early.apply(next);
        }
        catalogue restored;
        if (early.nextOffset() > 0)
            BOOST_TEST(restored.restore(early.snapshot(), early.nextOffset()));
        for (const auto& each : stream)
            restored.apply(each);
        BOOST_TEST(restored.nextOffset() == whole.nextOffset());
        BOOST_TEST((restored.find("plan") == nullptr) == (whole.find("plan") == nullptr));
        if (whole.find("plan")) {
            BOOST_TEST(restored.find("plan")->version == whole.find("plan")->version);
            BOOST_TEST((restored.find("plan")->entry == whole.find("plan")->entry));
        }
        BOOST_TEST(!restored.restore(early.snapshot(), early.nextOffset()), "an older snapshot is not taken");
    }
}

BOOST_AUTO_TEST_CASE(an_entry_is_checked_as_a_whole)
{
    std::vector<field_error> faults;
    json bad = { { "name", "Bad Name" }, { "class", "quick" }, { "colour", "pink" },
        { "limits", { { "cpuMilli", -1 }, { "concurrent", "many" } } } };
    BOOST_TEST(!parseEntry(bad, faults));
    std::set<std::string> paths;
    for (const auto& fault : faults)
        paths.insert(fault.path);
    for (const char* path :
        { "/name", "/class", "/colour", "/owner", "/limits/cpuMilli", "/limits/concurrent" })
        BOOST_TEST(paths.count(path) == 1u, "no fault names " << path);
}

BOOST_AUTO_TEST_CASE(settings_faults_name_the_field_the_value_and_the_rule)
{
    BOOST_TEST(faultsOf(goodSettings()).empty());
    json bad = goodSettings();
    bad["http"]["port"] = 99999;
    bad["peer"]["key"] = "short";
    bad["speed"] = 1;
    bad["timing"] = { { "lease_ms", "fast" } };
    auto faults = faultsOf(bad);
    std::map<std::string, field_error> byPath;
    for (const auto& fault : faults)
        byPath[fault.path] = fault;
    BOOST_TEST(byPath["/http/port"].value == "99999");
    BOOST_TEST(byPath["/http/port"].rule == "must be of type integer, at least 1, at most 65535");
    BOOST_TEST(byPath.count("/peer/key") == 1u);
    BOOST_TEST(byPath["/speed"].rule == "is not a known field");
    BOOST_TEST(byPath.count("/timing/lease_ms") == 1u);
}

BOOST_AUTO_TEST_CASE(settings_rules_over_several_fields)
{
    json bad = goodSettings();
    bad["timing"] = { { "lease_ms", 1000 }, { "renew_ms", 600 }, { "task_lease_ms", 1500 } };
    std::set<std::string> paths;
    for (const auto& fault : faultsOf(bad))
        paths.insert(fault.path);
    BOOST_TEST(paths.count("/timing/renew_ms") == 1u);
    BOOST_TEST(paths.count("/timing/task_lease_ms") == 1u);
}

BOOST_AUTO_TEST_CASE(assignment_moves_little_when_a_member_goes)
{
    view before = viewOf({ "a", "b", "c", "d", "e", "f", "g", "h" });
    view after = viewOf({ "a", "b", "c", "d", "e", "f", "g" });
    int moved = 0;
    int held = 0;
    for (int i = 0; i < 1000; i++) {
        std::string worker = "w" + std::to_string(i);
        bool wasGone = before.holderOf(worker) == "h";
        held += wasGone ? 1 : 0;
        moved += !wasGone && before.holderOf(worker) != after.holderOf(worker) ? 1 : 0;
    }
    BOOST_TEST(moved == 0, "only the workers of the member that went move");
    BOOST_TEST(held > 60);
    BOOST_TEST(held < 200);
}

BOOST_AUTO_TEST_CASE(a_key_may_name_its_data_centre)
{
    std::vector<std::string> centres { "centre", "north", "south" };
    BOOST_TEST(homeOfKey("north/7", centres) == "north");
    std::string home = homeOfKey("7", centres);
    BOOST_TEST(home == homeOfKey("7", { "south", "north", "centre" }));
    BOOST_TEST(homeOfWork(keyedWorkId("north", "plan", "k")) == "north");
    BOOST_TEST(homeOfWork("nonsense").empty());
    BOOST_TEST(homeOfWork("a~b").empty());
}

BOOST_AUTO_TEST_CASE(messages_survive_the_codec)
{
    start_work start;
    start.id = { 7, "north-1" };
    start.work.id = "id";
    start.work.attempt = 9;
    start.work.body = std::string("\0\xff\n", 3);
    start.work.need = { 1, 2, 3, 4 };
    auto bytes = json::to_cbor(toJson(message(start)));
    auto back = std::get<start_work>(messageFromJson(json::from_cbor(bytes)));
    BOOST_TEST((back.work == start.work));
    BOOST_TEST((back.id == start.id));
}

// Damaged messages are errors, never crashes.
BOOST_AUTO_TEST_CASE(damaged_messages_are_refused)
{
    heartbeat beat;
    beat.promised = { 3, "a" };
    beat.heard = { { "a", 1, false }, { "b", 2, true } };
    auto good = json::to_cbor(toJson(message(beat)));
    std::mt19937_64 random(11);
    int refused = 0;
    for (int i = 0; i < 20000; i++) {
        auto bytes = good;
        for (uint64_t flips = 1 + random() % 4; flips > 0; flips--)
            bytes[random() % bytes.size()] = static_cast<uint8_t>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        try {
            (void)messageFromJson(json::from_cbor(bytes));
        } catch (const json::exception&) {
            refused++;
        }
    }
    BOOST_TEST(refused > 10000);
}

BOOST_AUTO_TEST_CASE(a_worker_refuses_what_its_lease_does_not_allow)
{
    worker_model w("w1", { 1000, 1000, 0, 1 });
    work job;
    job.id = "j";
    job.attempt = 1;
    job.need = { 500, 500, 0, 1 };
    auto at = [](int64_t ms) { return instant(ms * 1000); };
    BOOST_TEST((w.handle(at(0), start_call { 5, job }).verdict == worker_verdict::no_lease));
    BOOST_TEST((w.handle(at(0), lease_call { 5, "a#1", 1000, 3000, 0 }).verdict == worker_verdict::ok));
    BOOST_TEST(
        (w.handle(at(1), lease_call { 6, "b#1", 1000, 3000, 0 }).verdict == worker_verdict::held_by_other));
    BOOST_TEST((w.handle(at(1), start_call { 4, job }).verdict == worker_verdict::stale_token));
    BOOST_TEST((w.handle(at(1), start_call { 5, job }).verdict == worker_verdict::ok));
    BOOST_TEST(
        (w.handle(at(1500), lease_call { 4, "b#1", 1000, 3000, 0 }).verdict == worker_verdict::stale_token));
    BOOST_TEST((w.handle(at(1500), lease_call { 6, "b#1", 1000, 3000, 0 }).verdict == worker_verdict::ok));
    work other = job;
    other.id = "k";
    BOOST_TEST((w.handle(at(1500), start_call { 5, other }).verdict == worker_verdict::stale_token));
    auto revoked = w.handle(at(1500), revoke_call { 6, "k", 1 });
    BOOST_TEST((revoked.tasks.front().state == task_state::never_started));
    BOOST_TEST(
        (w.handle(at(1501), start_call { 6, other }).tasks.front().state == task_state::never_started));
}

BOOST_AUTO_TEST_CASE(a_worker_stops_tasks_when_nobody_renews)
{
    worker_model w("w1", { 1000, 1000, 0, 1 });
    work job;
    job.id = "j";
    job.attempt = 1;
    job.batch = true;
    job.body = "{\"work_ms\":60000}";
    auto at = [](int64_t ms) { return instant(ms * 1000); };
    w.handle(at(0), lease_call { 5, "a#1", 1000, 3000, 0 });
    w.handle(at(0), start_call { 5, job });
    w.advance(at(2999));
    BOOST_TEST(w.runningCount() == 1u);
    w.advance(at(3001));
    BOOST_TEST(w.runningCount() == 0u);
}

// A worker taken under a view is used once every member has confirmed it, not before.
BOOST_AUTO_TEST_CASE(a_new_worker_waits_for_every_confirmation)
{
    two_members world(fault::none);
    world.run(4000);
    BOOST_TEST(world.taken());
    world.submit();
    world.run(500);
    BOOST_TEST(world.starts() == 0);
    world.confirm();
    world.run(100);
    BOOST_TEST(world.starts() == 1);

    two_members faulty(fault::skip_confirmation);
    faulty.run(4000);
    faulty.submit();
    faulty.run(500);
    BOOST_TEST(faulty.starts() == 1, "the check above can fail");
}

// A holder whose lease has lapsed by its own clock starts nothing on the worker.
BOOST_AUTO_TEST_CASE(a_lapsed_lease_starts_nothing)
{
    auto startsAfterLapse = [](fault deliberate) {
        two_members world(deliberate);
        world.run(4000);
        world.confirm();
        world.run(100);
        world.mute();
        world.run(3000);
        world.submit();
        world.run(300);
        return world.starts();
    };
    BOOST_TEST(startsAfterLapse(fault::none) == 0);
    BOOST_TEST(startsAfterLapse(fault::reuse_lapsed_lease) > 0, "the check above can fail");
}
