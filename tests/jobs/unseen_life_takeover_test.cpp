// What a lost leader may have left on a worker that does not answer, as its successors count it.
#define BOOST_TEST_MODULE unseen_life_takeover
#include "tests/jobs/cell_driver.h"

#include <boost/test/unit_test.hpp>

using namespace camphorwell;
using namespace camphorwell::testing;

namespace {

constexpr ms longestLeaseMs = 10'000;

cell_settings longLeases()
{
    cell_settings out;
    out.leaseMs = 9'800;
    out.maxLeaseMs = longestLeaseMs;
    return out;
}

earlier_leases leasesUntilNow(ms now)
{
    lease_terms terms;
    return { now + worstLeaseMs(terms.renewalMs), worstLeaseMs(terms.quorumMs),
        now + worstLeaseMs(terms.longestMs) };
}

// A leader of a cell with one job of one task, which was started on the worker `w`.
struct leader : cell_driver {
    leader()
        : cell_driver(longLeases())
    {
    }
    // Takes the cell over from the earlier leader. Only the worker `idle` is listed, and answers.
    leader(const leader& earlier, uint64_t token)
        : leader()
    {
        now = earlier.now;
        takeovers = earlier.takeovers;
        scheduler.setClock(now, now);
        progress = earlier.progress;
        for (const auto& [key, bytes] : progress)
            scheduler.restoreProgress(key, bytes);
        scheduler.addJob("j", singleStepJob(1));
        earlier_leases leases = leasesUntilNow(now);
        scheduler.setEarlierLeases(leases);
        scheduler.setTakeovers(token, takeovers);
        scheduler.begin(now, now);
        takeovers.push_back({ token, now, leases });
        scheduler.setWorker(workerRecord("idle"), now);
    }
    void runUntil(ms end)
    {
        while (now < end) {
            report("idle", {});
            runOnce();
        }
    }
    std::vector<cell_takeover> takeovers; // As its claims state them.
};

void startTask(leader& first)
{
    first.scheduler.addJob("j", singleStepJob(1));
    first.scheduler.setWorker(workerRecord("w"), first.now);
    first.scheduler.begin(first.now, first.now);
    first.runOnce();
    first.report("w", {});
    first.runOnce();
    BOOST_REQUIRE(first.take<start_action>().size() == 1);
}

void confirmTask(leader& first)
{
    first.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    first.runOnce();
}

// The second leader, right before the answer of a worker that it has recorded as unreached.
std::unique_ptr<leader> leaderThatHasRecordedTheWorker(leader& first)
{
    startTask(first);
    confirmTask(first);
    auto second = std::make_unique<leader>(first, 2);
    second->runUntil(first.now + 2'000);
    second->scheduler.setWorker(workerRecord("w"), second->now);
    second->runOnce();
    second->take<poll_action>();
    return second;
}

} // namespace

// Neither its entry nor a report shows the later life to the lost leader or to the next one.
BOOST_AUTO_TEST_CASE(next_leader_does_not_repeat_a_start_that_an_unseen_life_may_run)
{
    leader first;
    startTask(first); // Right before the leader is lost.
    leader next(first, 2);
    next.runUntil(first.now + longestLeaseMs);
    BOOST_TEST(next.take<start_action>().empty());
}

BOOST_AUTO_TEST_CASE(a_second_takeover_does_not_lengthen_the_wait_for_an_unseen_life)
{
    const ms longestWaitMs = longestOrderDelayMs + worstLeaseMs(longestLeaseMs);
    leader first;
    startTask(first);
    leader second(first, 2);
    second.runUntil(first.now + 6'000);
    BOOST_REQUIRE(second.take<start_action>().empty());
    leader third(second, 3);
    third.runUntil(first.now + longestLeaseMs);
    BOOST_TEST(third.take<start_action>().empty());
    third.runUntil(first.now + longestWaitMs + 100);
    BOOST_TEST(third.take<start_action>().size() == 1);
}

BOOST_AUTO_TEST_CASE(a_second_takeover_does_not_lengthen_the_wait_for_the_lease_of_a_lost_worker)
{
    const ms leaseMs = worstLeaseMs(lease_terms().renewalMs);
    leader first;
    startTask(first);
    confirmTask(first);
    leader second(first, 2);
    second.runUntil(first.now + 3'000);
    leader third(second, 3);
    third.runUntil(first.now + leaseMs - 100);
    BOOST_TEST(third.take<start_action>().empty());
    third.runUntil(first.now + leaseMs + 100);
    BOOST_TEST(third.take<start_action>().size() == 1);
}

BOOST_AUTO_TEST_CASE(no_lease_is_granted_to_a_worker_that_the_next_leader_takes_for_unreached)
{
    leader first;
    auto owned = leaderThatHasRecordedTheWorker(first);
    leader& second = *owned;
    second.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    second.collectActions();
    auto grants = [&] {
        auto polls = second.take<poll_action>();
        return std::count_if(polls.begin(), polls.end(),
            [](const poll_action& poll) { return poll.worker == "w" && poll.leaseUntilWorkerMs; });
    };
    BOOST_TEST(grants() == 0);
    second.runOnce();
    second.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    second.collectActions();
    BOOST_TEST(grants() == 1);
    second.runUntil(first.now + 5'000);
    leader third(second, 3);
    third.runUntil(second.now + worstLeaseMs(lease_terms().renewalMs) - 100);
    BOOST_TEST(third.take<start_action>().empty());
}

// The earlier leader's lease on the worker may end within a second of its answer.
BOOST_AUTO_TEST_CASE(lease_of_a_worker_that_answers_late_is_extended_once_it_is_recorded_as_reached)
{
    leader first;
    auto owned = leaderThatHasRecordedTheWorker(first);
    leader& second = *owned;
    const ms answeredAt = second.now;
    ms pollAnsweredAt = answeredAt;
    ms grantedAt = 0;
    while (grantedAt == 0 && second.now < answeredAt + 5'000) {
        if (second.now >= pollAnsweredAt) {
            pollAnsweredAt = answeredAt + 100'000;
            second.report("w", reportOfRunning({ "j", 0, 0, 0 }));
        }
        second.runOnce();
        for (const poll_action& poll : second.take<poll_action>()) {
            if (poll.worker != "w")
                continue;
            pollAnsweredAt = second.now + poll.waitMs;
            grantedAt = poll.leaseUntilWorkerMs ? second.now : 0;
        }
    }
    BOOST_REQUIRE(grantedAt != 0);
    BOOST_TEST(grantedAt - answeredAt <= 100);
}

BOOST_AUTO_TEST_CASE(a_worker_that_cannot_be_recorded_as_reached_is_polled_at_a_bounded_rate)
{
    leader first;
    auto owned = leaderThatHasRecordedTheWorker(first);
    leader& second = *owned;
    second.report("w", reportOfRunning({ "j", 0, 0, 0 }));
    second.runOnce(false);
    const ms end = second.now + 3'000;
    int polls = 0;
    while (second.now < end) {
        second.runOnce();
        for (const poll_action& poll : second.take<poll_action>()) {
            if (poll.worker != "w")
                continue;
            polls++;
            BOOST_TEST(!poll.leaseUntilWorkerMs);
            second.report("w", reportOfRunning({ "j", 0, 0, 0 }));
        }
    }
    BOOST_TEST(polls > 0);
    BOOST_TEST(polls <= 11);
}
