// Deletion of the log records of finished jobs.
#define BOOST_TEST_MODULE job_tombstones
#include "scheduler/process/job_tombstones.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace camphorwell;

namespace {
constexpr size_t maxRecords = 500;

struct tombstones_fixture {
    job_tombstones tombstones;

    // Appends one batch and returns its number of tombstones.
    size_t append(int partition, bool durable)
    {
        auto batch = tombstones.takeBatch(partition, maxRecords);
        tombstones.onAppended(batch, durable);
        return batch.jobs.size();
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(unconfirmed_tombstone_is_appended_again, tombstones_fixture)
{
    tombstones.onRecord(3, "j");
    tombstones.request({ "j", 1 });
    BOOST_TEST(append(3, false) == 1);
    BOOST_TEST(tombstones.takeDeleted().empty());
    BOOST_TEST(append(3, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().size() == 1);
    BOOST_TEST(tombstones.pending() == 0);
}

BOOST_FIXTURE_TEST_CASE(records_in_all_partitions_are_deleted, tombstones_fixture)
{
    tombstones.onRecord(0, "j");
    tombstones.onRecord(2, "j");
    tombstones.request({ "j", 2 });
    BOOST_TEST(append(0, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().empty());
    BOOST_TEST(append(2, true) == 1);
    BOOST_TEST(tombstones.takeDeleted().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(record_read_during_an_append_gets_a_tombstone_of_its_own, tombstones_fixture)
{
    tombstones.onRecord(0, "j");
    tombstones.request({ "j", 1 });
    auto batch = tombstones.takeBatch(0, maxRecords);
    BOOST_REQUIRE(batch.jobs.size() == 1);
    tombstones.onRecord(0, "j");
    tombstones.onAppended(batch, true);
    BOOST_TEST(tombstones.takeDeleted().empty());
    tombstones.request({ "j", 2 });
    BOOST_TEST(append(0, true) == 1);
    auto deleted = tombstones.takeDeleted();
    BOOST_REQUIRE(deleted.size() == 1);
    BOOST_TEST(deleted[0].recordsRead == 2);
}

// Compares with a log that keeps the newest record of each job.
BOOST_AUTO_TEST_CASE(deleted_jobs_have_no_record_in_any_partition)
{
    constexpr int partitions = 3;
    constexpr int jobs = 5;
    std::mt19937 random(11);
    for (int round = 0; round < 2'000; round++) {
        job_tombstones tombstones;
        std::set<std::pair<int, job_id>> log;
        std::map<job_id, uint32_t> recordsRead;
        std::optional<job_tombstones::batch> inFlight;
        for (int step = 0; step < 60; step++) {
            job_id id = std::to_string(random() % jobs);
            int partition = static_cast<int>(random() % partitions);
            switch (random() % 3) {
            case 0:
                // A new record, read at once. A job that is over asks for its deletion with each record.
                log.insert({ partition, id });
                tombstones.onRecord(partition, id);
                recordsRead[id]++;
                tombstones.request({ id, recordsRead[id] });
                break;
            case 1:
                if (!inFlight)
                    inFlight = tombstones.takeBatch(partition, 1 + random() % 4);
                break;
            default:
                if (!inFlight)
                    break;
                // The append takes effect now or was refused.
                bool durable = random() % 2 == 0;
                for (const job_id& deleted : inFlight->jobs) {
                    if (durable)
                        log.erase({ inFlight->partition, deleted });
                }
                tombstones.onAppended(*inFlight, durable);
                inFlight.reset();
            }
            for (const auto& done : tombstones.takeDeleted()) {
                BOOST_TEST(done.recordsRead == recordsRead[done.job]);
                for (int i = 0; i < partitions; i++)
                    BOOST_TEST(!log.contains({ i, done.job }));
            }
        }
    }
}
