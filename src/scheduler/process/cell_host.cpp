// Leader election of a cell: claims, renewals, and the start and end of a leadership.
#include "scheduler/process/cell_host_state.h"

namespace camphorwell {

namespace {
    constexpr ms tickMs = 25;
    constexpr ms statisticsPeriodMs = 5000;
    constexpr ms claimTimeoutMs = 1000;
    constexpr ms claimWaitMs = 1500; // Long poll for new claims.
    constexpr ms retryMs = 200;
    // Interval at which a leader checks whether it must read claims again. It reads none otherwise, since its
    // renewals detect the claims of other instances.
    constexpr ms leaderCheckMs = 200;
    const char* const claimKey = "owner";

    // The claims state the bounds of the leases that the cell grants.
    election_settings electionSettings(const scheduler_settings& settings)
    {
        election_settings out = settings.election;
        out.leaseTerms = settings.cell.leaseTerms;
        return out;
    }
} // namespace

cell_host::cell_host(scheduler_context& context, int cellNumber)
    : m_state(std::make_unique<state>(context, cellNumber))
{
}

cell_host::~cell_host() = default;

void cell_host::start() { m_state->start(); }

void cell_host::setQueues(std::shared_ptr<const queue_table> queues)
{
    m_state->queues = std::move(queues);
    if (m_state->ledCell)
        m_state->ledCell->setQueues(m_state->queues);
}

void cell_host::setSettings(const cell_settings& settings)
{
    if (m_state->ledCell)
        m_state->ledCell->setSettings(settings);
}

bool cell_host::active() const { return m_state->ledCell && m_state->recovered; }
void cell_host::release() { m_state->election.release(); }

std::optional<std::string> cell_host::leaderAddress() const
{
    const auto& current = m_state->election.newestClaim();
    if (!current || current->released || current->instance == m_state->context.settings.instance)
        return std::nullopt;
    return current->address;
}

std::optional<job_lookup> cell_host::stateOf(const job_id& id) const
{
    constexpr ms maxReadAgeMs = 2500; // A job is reported as unknown only on newer reads.
    if (!active())
        return std::nullopt;
    if (auto state = m_state->ledCell->stateOf(id))
        return job_lookup { true, *state };
    ms now = bootNow();
    for (const auto& cursor : m_state->cursors) {
        if (now - cursor.readUpTo > maxReadAgeMs)
            return std::nullopt;
    }
    return job_lookup {};
}

std::optional<int64_t> cell_host::pending(const std::string& queue) const
{
    if (!active())
        return std::nullopt;
    return m_state->ledCell->pending(queue);
}

cell_host::state::state(scheduler_context& shared, int cellNumber)
    : context(shared)
    , number(cellNumber)
    , jobsTopic(platform::keyedTopic("jobs-" + std::to_string(cellNumber)))
    , progressTopic(platform::keyedTopic("progress-" + std::to_string(cellNumber)))
    , claimsTopic(platform::keyedTopic("claims"))
    , workers(shared.loop)
    , advice(shared.loop, shared.settings.advice)
    , election(electionSettings(shared.settings),
          claim_record { shared.settings.instance, static_cast<uint64_t>(shared.settings.incarnation),
              shared.settings.address + ":" + std::to_string(shared.settings.internalPort), 0, false,
              shared.settings.processors })
{
}

void cell_host::state::start()
{
    context.loop.every(tickMs, [this] { tick(); });
    readClaims();
}

void cell_host::state::readClaims()
{
    context.store.readNewestByKey(claimsTopic, number, [this](const platform::newest_answer& answer) {
        if (answer.outcome != platform::store_outcome::done) {
            election.onReadFailed();
            context.loop.after(retryMs, [this] { readClaims(); });
            return;
        }
        onClaims(answer.items, answer.end);
        followClaims();
    });
}

void cell_host::state::onClaims(const std::vector<platform::keyed_item>& items, uint64_t end)
{
    std::optional<claim_record> newest;
    for (const auto& item : items) {
        if (item.key == claimKey && cborIsBounded(item.value, maxRecordDepth))
            newest = decodeClaim(item.value);
    }
    election.onClaimRead(newest, end, bootNow());
}

void cell_host::state::followClaims()
{
    if (election.mustRead()) {
        readClaims();
        return;
    }
    if (election.isLeader()) {
        context.loop.after(leaderCheckMs, [this] { followClaims(); });
        return;
    }
    uint64_t from = election.expectedOffset();
    context.store.read(claimsTopic, number, from, claimWaitMs, [this](const platform::read_answer& answer) {
        if (answer.outcome == platform::store_outcome::expired) {
            readClaims();
            return;
        }
        if (answer.outcome != platform::store_outcome::done) {
            election.onReadFailed();
            context.loop.after(retryMs, [this] { followClaims(); });
            return;
        }
        std::vector<platform::keyed_item> items;
        for (const auto& record : answer.records) {
            if (auto item = platform::decodeKeyedRecord(record))
                items.push_back(std::move(*item));
        }
        if (items.empty())
            election.onReadOk(bootNow());
        else
            onClaims(items, answer.nextOffset);
        followClaims();
    });
}

void cell_host::state::tick()
{
    ms now = bootNow();
    if (ledCell && (!election.isLeader() || election.token() != token))
        stepDown("claim_lost");
    if (ledCell && ledCell->fenced())
        stepDown("fenced_by_worker");
    auto step = election.next(now);
    if (step != leader_election::step::none)
        appendClaim(step);
    if (!ledCell || !recovered)
        return;
    ledCell->setJobLogReadUpTo(jobLogReadUpTo());
    currentCell().tick(now, unixNow());
    if (auto reportedAt = ledCell->majorityReportedAt())
        election.onMajorityReported(*reportedAt);
    flushCell();
    if (now - statisticsLoggedAt >= statisticsPeriodMs)
        logStatistics();
}

void cell_host::state::logStatistics()
{
    statisticsLoggedAt = bootNow();
    auto statistics = ledCell->collectStatistics();
    context.log.writeAlways(log_line("cell_figures")
                                .add("cell", number)
                                .add("workers", statistics.workers)
                                .add("reachable", statistics.reachable)
                                .add("jobs", statistics.jobs)
                                .add("waiting", statistics.waitingTasks)
                                .add("running", statistics.runningTasks)
                                .add("cpu_booked", statistics.cpuReserved)
                                .add("cpu_fillers", statistics.cpuBestEffort)
                                .add("cpu_short", statistics.cpuShortTasks)
                                .add("displaced", statistics.displacedTasks)
                                .add("displaced_ms", statistics.longestDisplacedMs)
                                .add("largest_free_cpu", statistics.largestFreeCpu)
                                .add("cpu_total", statistics.cpuTotal));
}

void cell_host::state::appendClaim(leader_election::step step)
{
    ms sentAt = bootNow();
    bool releasing = election.isReleasing();
    claim_record record = election.record(step, releasing, sentAt);
    platform::append_request request { claimsTopic, number,
        { platform::encodeKeyedRecord(claimKey, encodeClaim(record)) }, election.expectedOffset(), {} };
    context.store.append(
        request, claimTimeoutMs, [this, step, sentAt, releasing](const platform::append_answer& answer) {
            switch (answer.outcome) {
            case platform::store_outcome::done:
                election.onAppended(step, answer.firstOffset, sentAt, releasing);
                break;
            case platform::store_outcome::conflict:
                election.onConflict();
                break;
            default:
                election.onAppendFailed(answer.outcome == platform::store_outcome::no_answer, bootNow());
                context.counts["claim_" + std::string(toString(answer.outcome))]++;
                context.log.write(log_line("claim_failed")
                                      .add("cell", number)
                                      .add("outcome", toString(answer.outcome))
                                      .add("proof_age_ms", bootNow() - election.renewedAt()));
            }
            if (election.isLeader() && !ledCell)
                takeOver();
            if (!election.isLeader() && ledCell)
                stepDown("released");
        });
}

void cell_host::state::stepDown(std::string_view why)
{
    context.log.writeAlways(log_line("cell_lost")
                                .add("cell", number)
                                .add("token", static_cast<int64_t>(token))
                                .add("why", why)
                                .add("proof_age_ms", bootNow() - election.renewedAt())
                                .add("undeleted", static_cast<int64_t>(tombstones.pending())));
    context.counts["cells_lost"]++;
    leaderTerm++;
    ledCell.reset();
    advice.endCalls();
    recovered = false;
    cursors.clear();
    tombstones = {};
    recoveredJobs.clear();
    if (election.isLeader())
        election.stepDown();
}

cell& cell_host::state::currentCell()
{
    ledCell->setRenewedAt(election.isLeader() ? election.renewedAt() : 0);
    return *ledCell;
}

void cell_host::state::scheduleInTerm(uint64_t term, ms pause, std::function<void()> callback)
{
    context.loop.after(pause, [this, term, callback = std::move(callback)] {
        if (leadsInTerm(term))
            callback();
    });
}

} // namespace camphorwell
