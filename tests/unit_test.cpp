// Unit tests of the libraries without input and output. Where there is a simple reference, results are
// compared with it.
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

catalogue_record record(int64_t offset, const std::string& change, uint64_t base, int64_t maxConcurrent)
{
    catalogue_record out;
    out.changeId = change;
    out.name = "plan";
    out.baseVersion = base;
    out.offset = offset;
    json body = { { "name", "plan" }, { "owner", "cart" }, { "class", "batch" },
        { "limits", { { "concurrent", maxConcurrent } } } };
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

json validSettings()
{
    return { { "instance", "north-1" }, { "data_centre", "north" },
        { "http", { { "address", "127.0.0.1" }, { "port", 8080 } } },
        { "peer", { { "address", "127.0.0.1" }, { "port", 8081 }, { "key", "a-key-of-16-chars" } } },
        { "platform", { { "address", "127.0.0.1" }, { "port", 8082 } } } };
}

// A node "a" with one worker assigned to it; the test sends the messages of its peer "b".
class two_member_world {
public:
    explicit two_member_world(fault injectedFault)
        : m_worker("w1", { 4000, 4000, 0, 4 })
    {
        node_options options;
        options.self = { "a", 1, false };
        options.dataCentre = "dc";
        options.peers = { "b" };
        options.injectedFault = injectedFault;
        m_node = std::make_unique<node>(options, 1);
        view both;
        both.members = { { "a", 1, false }, { "b", 1, false } };
        for (int i = 0; both.holderOf(m_workerName) != "a"; i++)
            m_workerName = "w" + std::to_string(i);
        m_list.workers.push_back({ m_workerName, "r", false });
        feed(m_list);
    }

    // Advances the clock by `ms` with a heartbeat from "b" every 20 ms; "b" acknowledges every view.
    void run(int64_t ms)
    {
        for (int64_t passed = 0; passed < ms; passed += 20) {
            m_now += milliseconds(20);
            heartbeat beat;
            beat.promised = m_view;
            receiveFromB(beat);
            feed(tick {});
        }
    }

    void submit()
    {
        submission submitted;
        submitted.ticket = 1;
        submitted.request.entry = "plan";
        submitted.request.body = "{}";
        submitted.request.deadlineMs = 60'000;
        feed(submitted);
    }

    void dropWorkerReplies() { m_dropWorkerReplies = true; }
    void confirmWorker() { receiveFromB(worker_confirmed { m_view, m_workerName }); }
    bool workerTaken() const { return m_workerTaken; }
    int startCount() const { return m_startCount; }

private:
    void receiveFromB(message body) { feed(peer_message { { "b", 1, false }, "dc", std::move(body) }); }

    void feed(const camphorwell::event& incoming)
    {
        for (auto& next : m_node->handle(m_now, incoming))
            std::visit([this](auto& act) { perform(act); }, next);
    }

    void perform(send_action& act)
    {
        if (const auto* next = std::get_if<propose>(&act.message)) {
            m_view = next->view.id;
            m_pending.push_back([this] { receiveFromB(acknowledge { m_view }); });
        }
        if (const auto* start = std::get_if<start_work>(&act.message)) {
            start_refused refused { start->work.id, start->work.attempt, reason::no_room, false };
            m_pending.push_back([this, refused] { receiveFromB(refused); });
        }
        m_workerTaken = m_workerTaken || std::holds_alternative<worker_taken>(act.message);
        deliverPending();
    }
    void perform(call_action& act)
    {
        m_startCount += std::holds_alternative<start_call>(act.payload) ? 1 : 0;
        if (m_dropWorkerReplies) {
            m_pending.push_back([this, call = act.call] { feed(worker_reply { call, std::nullopt }); });
            deliverPending();
            return;
        }
        worker_answer answer = m_worker.handle(m_now, act.payload);
        m_pending.push_back([this, call = act.call, answer] { feed(worker_reply { call, answer }); });
        deliverPending();
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
        deliverPending();
    }
    template <typename Other> void perform(Other&) { }

    // Delivers the pending replies in order. Replies queued meanwhile follow in the same loop; there is no
    // recursion.
    void deliverPending()
    {
        if (m_delivering)
            return;
        m_delivering = true;
        while (!m_pending.empty()) {
            auto next = m_pending.front();
            m_pending.erase(m_pending.begin());
            next();
        }
        m_delivering = false;
    }

    std::unique_ptr<node> m_node;
    worker_model m_worker;
    worker_id m_workerName = "w1";
    platform_list m_list;
    view_id m_view;
    instant m_now { 0 };
    bool m_workerTaken = false;
    int m_startCount = 0;
    bool m_delivering = false;
    bool m_dropWorkerReplies = false;
    std::vector<std::function<void()>> m_pending;
};

std::vector<field_error> settingsErrors(const json& settings)
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

BOOST_AUTO_TEST_CASE(log_values_are_escaped)
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

BOOST_AUTO_TEST_CASE(the_first_of_two_changes_to_one_version_is_accepted)
{
    catalogue c;
    BOOST_TEST((c.apply(record(0, "a", 0, 1)) == change_verdict::accepted));
    BOOST_TEST((c.apply(record(1, "b", 1, 2)) == change_verdict::accepted));
    BOOST_TEST((c.apply(record(2, "c", 1, 3)) == change_verdict::conflict));
    BOOST_TEST((c.apply(record(3, "b", 1, 2)) == change_verdict::duplicate));
    BOOST_TEST((c.apply(record(1, "b", 1, 2)) == change_verdict::duplicate));
    BOOST_TEST(c.find("plan")->version == 2u);
    BOOST_TEST(c.find("plan")->entry.limits.maxConcurrent == 2);
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_catalogue_record_is_skipped)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    catalogue c;
    catalogue_record odd = record(0, "c", 0, 10);
    odd.body = R"({"name":"plan","owner":)" + deep + "}";
    c.apply(odd);
    BOOST_TEST(c.entries().empty());
    std::vector<field_error> errors;
    BOOST_TEST(!parseEntry(json::parse(deep), errors).has_value());
    BOOST_TEST(errors.size() == 1u);
}

// Restoring a snapshot taken at any offset of a random stream and applying the stream gives the catalogue of
// a full replay.
BOOST_AUTO_TEST_CASE(a_snapshot_plus_the_remaining_records_equals_a_full_replay)
{
    std::mt19937_64 random(7);
    for (int iteration = 0; iteration < 200; iteration++) {
        std::vector<catalogue_record> stream;
        catalogue replayed;
        size_t prefixLength = random() % 30;
        catalogue prefix;
        for (int64_t offset = 0; offset < 30; offset++) {
            const auto* current = replayed.find("plan");
            uint64_t base = random() % 3 == 0 ? random() % 30 : (current ? current->version : 0);
            auto next = record(
                offset, "c" + std::to_string(offset), base, 1 + static_cast<int64_t>(random() % 100));
            if (random() % 8 == 0)
                next.body.clear();
            stream.push_back(next);
            replayed.apply(next);
            if (static_cast<size_t>(offset) < prefixLength)
                prefix.apply(next);
        }
        catalogue restored;
        if (prefix.nextOffset() > 0)
            BOOST_TEST(restored.restore(prefix.snapshot(), prefix.nextOffset()));
        for (const auto& next : stream)
            restored.apply(next);
        BOOST_TEST(restored.nextOffset() == replayed.nextOffset());
        BOOST_TEST((restored.find("plan") == nullptr) == (replayed.find("plan") == nullptr));
        if (replayed.find("plan")) {
            BOOST_TEST(restored.find("plan")->version == replayed.find("plan")->version);
            BOOST_TEST((restored.find("plan")->entry == replayed.find("plan")->entry));
        }
        BOOST_TEST(
            !restored.restore(prefix.snapshot(), prefix.nextOffset()), "an older snapshot is rejected");
    }
}

BOOST_AUTO_TEST_CASE(parsing_an_entry_reports_every_error)
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

BOOST_AUTO_TEST_CASE(settings_errors_name_field_value_and_rule)
{
    BOOST_TEST(settingsErrors(validSettings()).empty());
    json bad = validSettings();
    bad["http"]["port"] = 99999;
    bad["peer"]["key"] = "short";
    bad["speed"] = 1;
    bad["timing"] = { { "lease_ms", "fast" } };
    auto faults = settingsErrors(bad);
    std::map<std::string, field_error> byPath;
    for (const auto& fault : faults)
        byPath[fault.path] = fault;
    BOOST_TEST(byPath["/http/port"].value == "99999");
    BOOST_TEST(byPath["/http/port"].rule == "must be of type integer, at least 1, at most 65535");
    BOOST_TEST(byPath.count("/peer/key") == 1u);
    BOOST_TEST(byPath["/speed"].rule == "is not a known field");
    BOOST_TEST(byPath.count("/timing/lease_ms") == 1u);
}

BOOST_AUTO_TEST_CASE(settings_rules_that_relate_several_fields)
{
    json bad = validSettings();
    bad["timing"] = { { "lease_ms", 1000 }, { "renew_ms", 600 }, { "task_lease_ms", 1500 } };
    std::set<std::string> paths;
    for (const auto& fault : settingsErrors(bad))
        paths.insert(fault.path);
    BOOST_TEST(paths.count("/timing/renew_ms") == 1u);
    BOOST_TEST(paths.count("/timing/task_lease_ms") == 1u);
}

BOOST_AUTO_TEST_CASE(removing_a_member_reassigns_only_its_workers)
{
    view before = viewOf({ "a", "b", "c", "d", "e", "f", "g", "h" });
    view after = viewOf({ "a", "b", "c", "d", "e", "f", "g" });
    int reassigned = 0;
    int removedMemberWorkers = 0;
    for (int i = 0; i < 1000; i++) {
        std::string worker = "w" + std::to_string(i);
        bool onRemovedMember = before.holderOf(worker) == "h";
        removedMemberWorkers += onRemovedMember ? 1 : 0;
        reassigned += !onRemovedMember && before.holderOf(worker) != after.holderOf(worker) ? 1 : 0;
    }
    BOOST_TEST(reassigned == 0, "only workers of the removed member are reassigned");
    BOOST_TEST(removedMemberWorkers > 60);
    BOOST_TEST(removedMemberWorkers < 200);
}

BOOST_AUTO_TEST_CASE(a_key_prefix_selects_its_home_data_centre)
{
    std::vector<std::string> centres { "centre", "north", "south" };
    BOOST_TEST(homeOfKey("north/7", centres) == "north");
    std::string home = homeOfKey("7", centres);
    BOOST_TEST(home == homeOfKey("7", { "south", "north", "centre" }));
    BOOST_TEST(homeOfWork(keyedWorkId("north", "plan", "k")) == "north");
    BOOST_TEST(homeOfWork("nonsense").empty());
    BOOST_TEST(homeOfWork("a~b").empty());
}

BOOST_AUTO_TEST_CASE(messages_round_trip_through_the_codec)
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

// Decoding a corrupt message must throw a JSON exception, never crash.
BOOST_AUTO_TEST_CASE(corrupt_messages_are_rejected)
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

BOOST_AUTO_TEST_CASE(a_worker_rejects_calls_that_its_lease_does_not_allow)
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

BOOST_AUTO_TEST_CASE(a_worker_stops_tasks_when_the_task_lease_expires)
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

// A worker taken under a view must not be used before every member has confirmed it.
BOOST_AUTO_TEST_CASE(a_new_worker_waits_for_every_confirmation)
{
    two_member_world world(fault::none);
    world.run(4000);
    BOOST_TEST(world.workerTaken());
    world.submit();
    world.run(500);
    BOOST_TEST(world.startCount() == 0);
    world.confirmWorker();
    world.run(100);
    BOOST_TEST(world.startCount() == 1);

    two_member_world faulty(fault::skip_confirmation);
    faulty.run(4000);
    faulty.submit();
    faulty.run(500);
    BOOST_TEST(faulty.startCount() == 1, "the injected defect must make the check above fail");
}

// A holder whose lease has expired by its own clock must not start tasks on the worker.
BOOST_AUTO_TEST_CASE(a_holder_with_an_expired_lease_starts_nothing)
{
    auto startsAfterLapse = [](fault injectedFault) {
        two_member_world world(injectedFault);
        world.run(4000);
        world.confirmWorker();
        world.run(100);
        world.dropWorkerReplies();
        world.run(3000);
        world.submit();
        world.run(300);
        return world.startCount();
    };
    BOOST_TEST(startsAfterLapse(fault::none) == 0);
    BOOST_TEST(startsAfterLapse(fault::reuse_lapsed_lease) > 0,
        "the injected defect must make the check above fail");
}
