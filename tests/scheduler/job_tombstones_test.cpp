// Deletion of the log records of finished jobs.
#define BOOST_TEST_MODULE job_tombstones
#include "scheduler/process/job_tombstones.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace camphorwell;

namespace {
constexpr size_t maxRecords = 500;
constexpr auto submission = job_record_kind::submission;
constexpr auto cancel = job_record_kind::cancel;

struct tombstones_fixture {
    job_tombstones tombstones;

    // Appends one batch and returns its number of tombstones.
    size_t append(int partition, bool durable)
    {
        auto batch = tombstones.takeBatch(partition, maxRecords);
        tombstones.onAppended(batch, durable);
        return batch.keys.size();
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(unconfirmed_tombstone_is_appended_again, tombstones_fixture)
{
    tombstones.onRecord(3, { "j", submission });
    tombstones.request({ "j", 1 });
    BOOST_TEST(append(3, false) == 1);
    BOOST_TEST(tombstones.takeDeleted().empty());
    BOOST_TEST(append(3, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().size() == 1);
    BOOST_TEST(tombstones.pending() == 0);
}

BOOST_FIXTURE_TEST_CASE(records_in_all_partitions_are_deleted, tombstones_fixture)
{
    tombstones.onRecord(0, { "j", submission });
    tombstones.onRecord(2, { "j", submission });
    tombstones.request({ "j", 2 });
    BOOST_TEST(append(0, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().empty());
    BOOST_TEST(append(2, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(record_read_during_an_append_gets_a_tombstone_of_its_own, tombstones_fixture)
{
    tombstones.onRecord(0, { "j", submission });
    tombstones.request({ "j", 1 });
    auto batch = tombstones.takeBatch(0, maxRecords);
    BOOST_REQUIRE(batch.keys.size() == 1);
    tombstones.onRecord(0, { "j", submission });
    tombstones.onAppended(batch, true);
    BOOST_TEST(tombstones.takeDeleted().empty());
    tombstones.request({ "j", 2 });
    BOOST_TEST(append(0, true) == 1);
    auto deleted = tombstones.takeDeleted();
    BOOST_REQUIRE(deleted.size() == 1);
    BOOST_TEST(deleted[0].recordsRead == 2);
}

BOOST_FIXTURE_TEST_CASE(cancel_is_deleted_after_the_submissions_in_all_partitions, tombstones_fixture)
{
    tombstones.onRecord(0, { "j", cancel });
    tombstones.onRecord(0, { "j", submission });
    tombstones.onRecord(1, { "j", submission });
    tombstones.request({ "j", 3 });
    BOOST_TEST(append(0, true) == 1);
    BOOST_TEST(append(0, true) == 0);
    BOOST_TEST(append(1, false) == 1);
    BOOST_TEST(append(0, true) == 0);
    BOOST_TEST(append(1, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().empty());
    auto batch = tombstones.takeBatch(0, maxRecords);
    BOOST_REQUIRE(batch.keys.size() == 1);
    BOOST_TEST((batch.keys[0].kind == cancel));
    tombstones.onAppended(batch, true);
    BOOST_TEST(tombstones.takeDeleted().size() == 1);
}

// Compares with a log that keeps the newest record of each key.
BOOST_AUTO_TEST_CASE(deleted_jobs_have_no_record_in_any_partition)
{
    constexpr int partitions = 3;
    constexpr int jobs = 5;
    std::mt19937 random(11);
    for (int round = 0; round < 2'000; round++) {
        job_tombstones tombstones;
        std::set<std::pair<int, job_record_key>> log;
        std::map<job_id, uint32_t> recordsRead;
        std::optional<job_tombstones::batch> inFlight;
        auto hasRecord = [&](const job_record_key& key) {
            return std::any_of(
                log.begin(), log.end(), [&](const auto& entry) { return entry.second == key; });
        };
        for (int step = 0; step < 60; step++) {
            job_id id = std::to_string(random() % jobs);
            int partition = static_cast<int>(random() % partitions);
            job_record_key key { id, random() % 3 == 0 ? cancel : submission };
            switch (random() % 3) {
            case 0:
                // A new record, read at once. A job that is over asks for its deletion with each record.
                log.insert({ partition, key });
                tombstones.onRecord(partition, key);
                recordsRead[id]++;
                tombstones.request({ id, recordsRead[id] });
                break;
            case 1:
                if (inFlight)
                    break;
                inFlight = tombstones.takeBatch(partition, 1 + random() % 4);
                for (const job_record_key& taken : inFlight->keys) {
                    if (taken.kind == cancel)
                        BOOST_TEST(!hasRecord({ taken.job, submission }));
                }
                break;
            default:
                if (!inFlight)
                    break;
                // The append takes effect now or was refused.
                bool durable = random() % 2 == 0;
                for (const job_record_key& deleted : inFlight->keys) {
                    if (durable)
                        log.erase({ inFlight->partition, deleted });
                }
                tombstones.onAppended(*inFlight, durable);
                inFlight.reset();
            }
            for (const auto& done : tombstones.takeDeleted()) {
                BOOST_TEST(done.recordsRead == recordsRead[done.job]);
                BOOST_TEST(!hasRecord({ done.job, submission }));
                BOOST_TEST(!hasRecord({ done.job, cancel }));
            }
        }
    }
}
