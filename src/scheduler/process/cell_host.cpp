// Who owns the cell: claims, proofs, and the start and end of owning it.
#include "scheduler/process/cell_host_state.h"

namespace camphorwell {

namespace {
    constexpr ms tickMs = 25;
    constexpr ms figuresEveryMs = 5000;
    constexpr ms claimTimeoutMs = 1000;
    constexpr ms claimWaitMs = 1500; // Of a read that follows the claims.
    constexpr ms retryMs = 200;
    constexpr ms ownerPauseMs = 200; // An owner does not follow the claims: its own proofs tell.
    const char* const claimKey = "owner";
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
    if (m_state->owned)
        m_state->owned->setQueues(m_state->queues);
}

void cell_host::setSettings(const cell_settings& settings)
{
    if (m_state->owned)
        m_state->owned->setSettings(settings);
}

bool cell_host::active() const { return m_state->owned && m_state->begun; }
void cell_host::release() { m_state->ownership.release(); }

std::optional<std::string> cell_host::ownerAddress() const
{
    const auto& current = m_state->ownership.current();
    if (!current || current->released || current->instance == m_state->context.settings.instance)
        return std::nullopt;
    return current->address;
}

std::optional<job_answer> cell_host::stateOf(const job_id& id) const
{
    constexpr ms freshMs = 2500; // What was accepted before has been read.
    if (!active())
        return std::nullopt;
    if (auto state = m_state->owned->stateOf(id))
        return job_answer { true, *state };
    ms now = bootNow();
    for (const auto& tail : m_state->tails) {
        if (now - tail.freshAt > freshMs)
            return std::nullopt;
    }
    return job_answer {};
}

std::optional<int64_t> cell_host::pending(const std::string& queue) const
{
    if (!active())
        return std::nullopt;
    return m_state->owned->pending(queue);
}

cell_host::state::state(scheduler_context& shared, int cellNumber)
    : context(shared)
    , number(cellNumber)
    , jobsTopic(platform::keyedTopic("jobs-" + std::to_string(cellNumber)))
    , progressTopic(platform::keyedTopic("progress-" + std::to_string(cellNumber)))
    , claimsTopic(platform::keyedTopic("claims"))
    , workers(shared.loop)
    , advice(shared.loop, shared.settings.advice)
    , ownership(shared.settings.ownership,
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
    context.store.newest(claimsTopic, number, [this](const platform::newest_answer& answer) {
        if (answer.outcome != platform::store_outcome::done) {
            ownership.onReadFailed();
            context.loop.after(retryMs, [this] { readClaims(); });
            return;
        }
        observe(answer.items, answer.end);
        followClaims();
    });
}

void cell_host::state::observe(const std::vector<platform::keyed_item>& items, uint64_t end)
{
    std::optional<claim_record> newest;
    for (const auto& each : items) {
        if (each.key == claimKey)
            newest = decodeClaim(each.value);
    }
    ownership.onObserved(newest, end, bootNow());
}

void cell_host::state::followClaims()
{
    if (ownership.mustRead()) {
        readClaims();
        return;
    }
    if (ownership.owns()) {
        context.loop.after(ownerPauseMs, [this] { followClaims(); });
        return;
    }
    uint64_t from = ownership.appendCondition();
    context.store.read(claimsTopic, number, from, claimWaitMs, [this](const platform::read_answer& answer) {
        if (answer.outcome == platform::store_outcome::expired) {
            readClaims();
            return;
        }
        if (answer.outcome != platform::store_outcome::done) {
            ownership.onReadFailed();
            context.loop.after(retryMs, [this] { followClaims(); });
            return;
        }
        std::vector<platform::keyed_item> items;
        for (const auto& record : answer.records) {
            if (auto item = platform::readKeyed(record))
                items.push_back(std::move(*item));
        }
        if (items.empty())
            ownership.onReadOk(bootNow());
        else
            observe(items, answer.next);
        followClaims();
    });
}

void cell_host::state::tick()
{
    ms now = bootNow();
    if (owned && (!ownership.owns() || ownership.token() != token))
        drop("claim_lost");
    if (owned && owned->fenced())
        drop("fenced_by_worker");
    auto step = ownership.next(now);
    if (step != ownership::step::none)
        appendClaim(step);
    if (!owned || !begun)
        return;
    owned->setMayGrantLeases(ownership.mayGrant(now));
    owned->tick(now, unixNow());
    pump();
    if (now - toldAt >= figuresEveryMs)
        tellFigures();
}

void cell_host::state::tellFigures()
{
    toldAt = bootNow();
    auto figures = owned->collectStatistics();
    context.log.writeAlways(log_line("cell_figures")
                                .add("cell", number)
                                .add("workers", figures.workers)
                                .add("reachable", figures.reachable)
                                .add("jobs", figures.jobs)
                                .add("waiting", figures.waitingTasks)
                                .add("running", figures.runningTasks)
                                .add("cpu_booked", figures.cpuReserved)
                                .add("cpu_fillers", figures.cpuBestEffort)
                                .add("cpu_total", figures.cpuTotal));
}

void cell_host::state::appendClaim(ownership::step step)
{
    ms sentAt = bootNow();
    bool releasing = ownership.leaving();
    claim_record record = ownership.record(step, releasing);
    platform::append_request request { claimsTopic, number,
        { platform::keyedRecord(claimKey, encodeClaim(record)) }, ownership.appendCondition(), {} };
    context.store.append(
        request, claimTimeoutMs, [this, step, sentAt, releasing](const platform::append_answer& answer) {
            switch (answer.outcome) {
            case platform::store_outcome::done:
                ownership.onAppended(step, answer.offset, sentAt, releasing);
                break;
            case platform::store_outcome::conflict:
                ownership.onConflict();
                break;
            default:
                ownership.onAppendFailed(answer.outcome == platform::store_outcome::no_answer, bootNow());
                context.counts["claim_" + std::string(toString(answer.outcome))]++;
                context.log.write(log_line("claim_failed")
                                      .add("cell", number)
                                      .add("outcome", toString(answer.outcome))
                                      .add("proof_age_ms", bootNow() - ownership.provedAt()));
            }
            if (ownership.owns() && !owned)
                takeOver();
            if (!ownership.owns() && owned)
                drop("released");
        });
}

void cell_host::state::drop(std::string_view why)
{
    context.log.writeAlways(log_line("cell_lost")
                                .add("cell", number)
                                .add("token", static_cast<int64_t>(token))
                                .add("why", why)
                                .add("proof_age_ms", bootNow() - ownership.provedAt()));
    context.counts["cells_lost"]++;
    generation++;
    owned.reset();
    begun = false;
    tails.clear();
    drops.clear();
    addresses.clear();
    recoveredJobs.clear();
    if (ownership.owns())
        ownership.giveUp();
}

void cell_host::state::again(uint64_t current, ms pause, std::function<void()> what)
{
    context.loop.after(pause, [this, current, what = std::move(what)] {
        if (holds(current))
            what();
    });
}

} // namespace camphorwell
