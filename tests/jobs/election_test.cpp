// The leases of earlier leaders, under random losses and delays of claims.
#define BOOST_TEST_MODULE election
#include "jobs/jobs.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace camphorwell;
using election_step = leader_election::step;

namespace {

constexpr ms stepMs = 50;
constexpr ms worldMs = 120'000;
constexpr ms longestReleaseMs = 2'000; // Until an instance that released the cell starts again.

// An append on its way to the store, or its answer on the way back.
struct claim_in_flight {
    election_step step = election_step::none;
    bool releasing = false;
    claim_record record;
    uint64_t expectedOffset = 0;
    ms sentAt = 0;
    ms appliedAt = 0; // When the store applies it; 0: never.
    ms answeredAt = 0;
    bool answerLost = false;
    std::optional<bool> accepted; // What the store did; nothing until it has applied the append.
};

struct instance {
    std::unique_ptr<leader_election> election;
    std::string name;
    uint64_t incarnation = 0;
    ms frozenUntil = 0;
    // When the leases that its confirmed terms allowed have certainly ended, by lease_terms.
    ms renewalLeasesEndAt = 0;
    ms longestLeasesEndAt = 0;
};

struct world_result {
    int leaders = 0;
    int violations = 0; // Leases that last longer than a later leader counts.
};

// Instances that claim one cell in a store that loses and delays appends and answers.
class election_world {
public:
    explicit election_world(unsigned seed)
        : m_random(seed)
    {
        for (const char* name : { "a", "b", "c" }) {
            m_instances.push_back({});
            m_instances.back().name = name;
            restart(m_instances.back());
        }
    }

    world_result run()
    {
        for (m_now = stepMs; m_now < worldMs; m_now += stepMs) {
            applyAppends();
            for (instance& each : m_instances) {
                if (m_now >= each.frozenUntil)
                    stepInstance(each);
            }
        }
        return m_result;
    }

private:
    ms randomInt(ms low, ms high) { return std::uniform_int_distribution<ms>(low, high)(m_random); }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }

    void restart(instance& one)
    {
        abandonAppends(one);
        election_settings settings;
        settings.claimDelayMs = randomInt(0, 300);
        one.election = std::make_unique<leader_election>(
            settings, claim_record { one.name, ++one.incarnation, "10.0.0.1:1" });
        std::erase_if(m_answers, [&](const auto& entry) { return entry.first == &one; });
    }

    void applyAppends()
    {
        for (auto& [sender, append] : m_answers)
            apply(append);
        for (claim_in_flight& append : m_late)
            apply(append);
        std::erase_if(m_late, [](const claim_in_flight& append) { return append.accepted.has_value(); });
    }

    void apply(claim_in_flight& append)
    {
        if (append.accepted || append.appliedAt == 0 || append.appliedAt > m_now)
            return;
        append.accepted = append.expectedOffset == m_log.size();
        if (*append.accepted)
            m_log.push_back(append.record);
    }

    void stepInstance(instance& one)
    {
        if (chance(0.002)) {
            one.frozenUntil = m_now + randomInt(500, 9'000);
            return;
        }
        if (chance(0.002))
            restart(one);
        deliverAnswers(one);
        leader_election& election = *one.election;
        if (election.isReleasing() && !election.isLeader() && chance(stepMs / double(longestReleaseMs)))
            restart(one);
        if (election.isLeader() && chance(0.002))
            election.stepDown();
        if (election.isLeader() && chance(0.002))
            election.release();
        if (chance(0.05))
            election.onReadFailed();
        else if (election.mustRead() || !election.isLeader())
            read(election);
        auto step = election.next(m_now);
        if (step != election_step::none)
            send(one, step);
    }

    void read(leader_election& election)
    {
        if (m_log.empty())
            election.onClaimRead(std::nullopt, 0, m_now);
        else
            election.onClaimRead(decodeClaim(encodeClaim(m_log.back())), m_log.size(), m_now);
    }

    void send(instance& one, election_step step)
    {
        claim_in_flight append;
        append.step = step;
        append.releasing = one.election->isReleasing();
        append.record = one.election->record(step, append.releasing, m_now);
        append.expectedOffset = one.election->expectedOffset();
        append.sentAt = m_now;
        append.answeredAt = m_now + randomInt(1, 3) * stepMs;
        if (chance(0.15)) {
            append.answerLost = true;
            append.answeredAt = m_now + 1'000;
            append.appliedAt = chance(0.3) ? 0 : m_now + randomInt(0, 6'000);
        } else {
            append.appliedAt = append.answeredAt;
        }
        m_answers.emplace_back(&one, append);
    }

    // Appends of an instance that ended may still reach the store.
    void abandonAppends(instance& one)
    {
        for (auto& [sender, append] : m_answers) {
            if (sender == &one && !append.accepted)
                m_late.push_back(append);
        }
    }

    void deliverAnswers(instance& one)
    {
        for (auto entry = m_answers.begin(); entry != m_answers.end();) {
            if (entry->first != &one || entry->second.answeredAt > m_now) {
                ++entry;
                continue;
            }
            claim_in_flight append = entry->second;
            entry = m_answers.erase(entry);
            if (!append.accepted && append.appliedAt != 0)
                m_late.push_back(append);
            deliver(one, append);
        }
    }

    void deliver(instance& one, const claim_in_flight& append)
    {
        leader_election& election = *one.election;
        if (append.answerLost) {
            election.onAppendFailed(true, m_now);
            return;
        }
        if (!append.accepted.value_or(false)) {
            election.onConflict();
            return;
        }
        bool claims = append.step == election_step::claim;
        election.onAppended(append.step, append.expectedOffset, append.sentAt, append.releasing);
        uint64_t token = claims ? append.expectedOffset + 1 : append.record.token;
        if (token > m_newestToken) {
            m_newestToken = token;
            m_counted = election.earlierLeases();
            m_result.leaders++;
            for (const instance& other : m_instances)
                m_result.violations += endsAfterCounted(other.renewalLeasesEndAt, other.longestLeasesEndAt);
        }
        ms renewalEnd = append.sentAt + worstLeaseMs(lease_terms().renewalMs);
        ms longestEnd = append.sentAt + worstLeaseMs(lease_terms().longestMs);
        one.renewalLeasesEndAt = std::max(one.renewalLeasesEndAt, renewalEnd);
        one.longestLeasesEndAt = std::max(one.longestLeasesEndAt, longestEnd);
        // A leader that was replaced learns only now that its append was done.
        m_result.violations += token < m_newestToken && endsAfterCounted(renewalEnd, longestEnd);
    }
    bool endsAfterCounted(ms renewalEnd, ms longestEnd) const
    {
        return renewalEnd > m_counted.endAt || longestEnd > m_counted.longestEndAt;
    }

    std::mt19937 m_random;
    ms m_now = 0;
    std::vector<claim_record> m_log;
    std::deque<instance> m_instances;
    std::vector<std::pair<instance*, claim_in_flight>> m_answers;
    std::vector<claim_in_flight> m_late; // Nobody waits for their answers any more.
    uint64_t m_newestToken = 0;
    earlier_leases m_counted; // As the newest leader counts them.
    world_result m_result;
};

} // namespace

BOOST_AUTO_TEST_CASE(no_leader_counts_less_than_the_leases_of_earlier_ones)
{
    int leaders = 0;
    for (unsigned seed = 1; seed <= 200; seed++) {
        world_result result = election_world(seed).run();
        BOOST_TEST(result.violations == 0, "seed " << seed << ": " << result.violations << " violations");
        leaders += result.leaders;
    }
    BOOST_TEST(leaders > 1'000);
}
