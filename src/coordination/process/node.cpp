// One entry instance: passes each event to the component that handles it and collects the actions.
//
// Leases are checked against the clock before every event, so that a process that was paused never acts on an
// expired lease. Queued work is dispatched after every event.
#include "coordination/request/router.h"
#include "coordination/version/catalogue_sync.h"

#include <algorithm>

namespace camphorwell {

struct node::parts {
    parts(node_options options, uint64_t seed)
        : shared(std::move(options), seed)
        , members(shared)
        , workers(shared, members)
        , log(shared)
        , catalogueSync(shared)
        , requests(shared, members)
        , work(shared, members, workers, log, catalogueSync.current(),
              [this](uint64_t ticket, const answer& given) { requests.deliver(ticket, given); })
    {
        requests.setCoordinator(&work);
    }

    void on(const tick&);
    void on(const peer_message&);
    void on(const peer_down&);
    void on(const worker_reply& reply) { workers.onReply(reply); }
    void on(const append_reply&);
    void on(const read_reply&);
    void on(const platform_list& list) { members.updateList(list); }
    void on(const submission& given) { requests.onSubmission(given); }
    void on(const catalogue_change& change) { catalogueSync.onChange(change); }
    void on(const begin_leaving&);

    void receive(const member& from, const message& body);
    void receiveRemote(const peer_message&);
    void adoptView(const view&);
    void sendHeartbeats();
    void deliverSelfMessages();
    void reportChanges();
    bool drained() const;

    context shared;
    membership members;
    lease_holder workers;
    write_ahead_log log;
    catalogue_sync catalogueSync;
    router requests;
    work_coordinator work;
    instant nextHeartbeat { 0 };
    instant nextRemoteHeartbeat { 0 };
    std::map<instance_id, uint64_t> incarnations; // Latest incarnation seen of each peer.
};

namespace {

    constexpr int64_t remoteHeartbeatIntervalMs = 1000;

} // namespace

std::vector<std::string> node_options::dataCentres() const
{
    std::vector<std::string> out { dataCentre };
    for (const auto& [name, instances] : remote)
        out.push_back(name);
    std::sort(out.begin(), out.end());
    return out;
}

void node::parts::on(const tick&)
{
    if (members.excluded()) {
        shared.log(log_line("excluded_from_view").add("view", members.acknowledgedView().id.str()));
        workers.releaseAll();
        members.abandon();
    }
    if (auto next = members.proposal()) {
        shared.log(log_line("view_proposed")
                       .add("view", next->id.str())
                       .add("members", static_cast<int64_t>(next->members.size())));
        for (const auto& m : next->members) {
            if (m.id != shared.options.self.id)
                shared.send(m.id, propose { *next });
        }
        adoptView(*next);
    }
    sendHeartbeats();
    workers.onTick();
    log.onTick([this](const work_id& id) { return work.leads(id); });
    const auto& view = members.acknowledgedView();
    catalogueSync.onTick(members.inView() && view.members.front().id == shared.options.self.id);
    work.onTick();
    requests.onTick();
}

void node::parts::sendHeartbeats()
{
    if (shared.now < nextHeartbeat)
        return;
    nextHeartbeat = shared.now + milliseconds(shared.options.heartbeatMs);
    heartbeat beat;
    beat.promised = members.acknowledgedView().id;
    beat.highestNumber = members.highestNumber();
    if (members.inView())
        beat.acksMissing = members.missingAcknowledgements();
    beat.leaving = members.leaving();
    beat.freeCapacity = workers.largestFreeCapacity();
    beat.freeSlots = workers.freeSlots();
    beat.catalogueNext = catalogueSync.current().nextOffset();
    for (const auto& peer : shared.options.peers)
        shared.send(peer, beat);
    if (shared.now < nextRemoteHeartbeat)
        return;
    nextRemoteHeartbeat = shared.now + milliseconds(remoteHeartbeatIntervalMs);
    heartbeat brief;
    brief.catalogueNext = beat.catalogueNext;
    for (const auto& [dataCentre, instances] : shared.options.remote) {
        for (const auto& peer : instances)
            shared.send(peer, brief);
    }
}

void node::parts::adoptView(const view& next)
{
    if (!members.acknowledgeView(next))
        return;
    shared.log(log_line("view_promised")
                   .add("view", next.id.str())
                   .add("members", static_cast<int64_t>(next.members.size())));
    workers.onNewView();
    work.onNewView();
    for (const auto& m : next.members)
        shared.send(m.id, acknowledge { next.id });
    requests.onNewView();
}

void node::parts::on(const peer_message& given)
{
    auto& latest = incarnations[given.from.id];
    if (given.from.incarnation < latest)
        return; // A late message of an earlier incarnation.
    latest = given.from.incarnation;
    if (given.dataCentre != shared.options.dataCentre)
        receiveRemote(given);
    else
        receive(given.from, given.message);
}

// Instances of other data centres are not members of views; they exchange requests and the catalogue.
void node::parts::receiveRemote(const peer_message& given)
{
    if (const auto* beat = std::get_if<heartbeat>(&given.message)) {
        requests.onRemoteHeard(given.dataCentre, given.from, *beat);
        catalogueSync.onHeartbeat(given.from.id, *beat);
    } else if (const auto* sent = std::get_if<forward>(&given.message)) {
        requests.onForward(given.from.id, *sent);
    } else if (const auto* back = std::get_if<forwarded_answer>(&given.message)) {
        requests.onAnswer(given.from, *back);
    } else if (const auto* update = std::get_if<catalogue_update>(&given.message)) {
        catalogueSync.onUpdate(*update);
    }
}

void node::parts::receive(const member& from, const message& body)
{
    struct visitor {
        parts& self;
        const member& from;

        void operator()(const heartbeat& beat)
        {
            self.members.onHeartbeat(from, beat);
            self.work.onHeartbeat(from.id, beat);
            self.catalogueSync.onHeartbeat(from.id, beat);
            const view& mine = self.members.acknowledgedView();
            bool known = mine.contains(from.id, from.incarnation);
            if (known && beat.promised < mine.id)
                self.shared.send(from.id, propose { mine });
            bool misses
                = std::count(beat.acksMissing.begin(), beat.acksMissing.end(), self.shared.options.self.id);
            if (misses && beat.promised == mine.id)
                self.shared.send(from.id, acknowledge { mine.id });
        }
        void operator()(const propose& next) { self.adoptView(next.view); }
        void operator()(const acknowledge& ack) { self.members.onAcknowledge(from.id, ack.id); }
        void operator()(const worker_taken& taken)
        {
            if (taken.id != self.members.acknowledgedView().id || !self.members.inView())
                return;
            self.members.setHolder(taken.worker, from.id);
            if (from.id != self.shared.options.self.id)
                self.workers.onTakenByOther(taken.worker);
            if (!self.workers.allLeasesLost())
                self.shared.send(from.id, worker_confirmed { taken.id, taken.worker });
            self.work.onWorkerTaken(from.id, taken);
        }
        void operator()(const worker_confirmed& note) { self.workers.onConfirmed(from.id, note); }
        void operator()(const start_work& start) { self.workers.onStart(from.id, start); }
        void operator()(const start_refused& refused) { self.work.onRefused(from, refused); }
        void operator()(const task_update& update) { self.work.onUpdate(from.id, update); }
        void operator()(const task_update_kept& note) { self.workers.onUpdateKept(note); }
        void operator()(const stop_work& order) { self.workers.onStop(order); }
        void operator()(const forward& sent) { self.requests.onForward(from.id, sent); }
        void operator()(const forwarded_answer& back) { self.requests.onAnswer(from, back); }
        void operator()(const catalogue_update& update) { self.catalogueSync.onUpdate(update); }
    };
    std::visit(visitor { *this, from }, body);
}

void node::parts::on(const peer_down& down)
{
    members.peerDown(down.peer);
    requests.onPeerDown(down.peer);
}

void node::parts::on(const append_reply& reply)
{
    if (!log.onAppended(reply))
        catalogueSync.onAppended(reply);
}

void node::parts::on(const read_reply& reply)
{
    if (!log.onRead(reply))
        catalogueSync.onRead(reply);
}

void node::parts::on(const begin_leaving&)
{
    members.setLeaving();
    shared.log(log_line("leaving"));
}

void node::parts::deliverSelfMessages()
{
    while (!shared.selfMessages.empty()) {
        message body = std::move(shared.selfMessages.front());
        shared.selfMessages.pop_front();
        receive(shared.options.self, body);
    }
}

void node::parts::reportChanges()
{
    for (auto& settled : catalogueSync.takeSettled()) {
        requests.catalogueCoverage(static_cast<int64_t>(settled.version), settled.inForce, settled.notYet);
        if (settled.verdict == change_verdict::conflict)
            shared.count(reason::version_conflict);
        shared.out.push_back(std::move(settled));
    }
}

bool node::parts::drained() const
{
    const member* self = members.acknowledgedView().find(shared.options.self.id);
    bool handedOver = !members.inView() || (self && self->leaving);
    return members.leaving() && handedOver && workers.idle() && work.idle() && requests.idle();
}

node::node(node_options options, uint64_t seed)
    : m_parts(std::make_unique<parts>(std::move(options), seed))
{
}

node::~node() = default;

std::vector<action> node::handle(instant now, const event& what)
{
    parts& p = *m_parts;
    CAMPHORWELL_INVARIANT(now >= p.shared.now, "the clock went backwards");
    p.shared.now = now;
    p.workers.expire();
    p.work.checkContinuousOwnership();
    std::visit([&](const auto& given) { p.on(given); }, what);
    p.deliverSelfMessages();
    p.work.onLogSettled();
    p.work.dispatch();
    p.deliverSelfMessages();
    p.work.onLogSettled();
    p.reportChanges();
    return std::move(p.shared.out);
}

const catalogue& node::currentCatalogue() const { return m_parts->catalogueSync.current(); }
const view& node::currentView() const { return m_parts->members.acknowledgedView(); }
explanation node::explain(const work_id& id) const { return m_parts->work.explain(id); }
const std::vector<uint64_t>& node::counters() const { return m_parts->shared.counts; }

node_status node::status() const
{
    const parts& p = *m_parts;
    node_status out;
    out.promised = p.members.acknowledgedView().id;
    out.acknowledged = p.members.allAcknowledged();
    out.transferComplete = p.members.transferComplete();
    out.leaving = p.members.leaving();
    out.drained = p.drained();
    out.ready = p.members.inView() && !p.members.leaving() && p.catalogueSync.current().nextOffset() > 0;
    out.members = p.members.acknowledgedView().members.size();
    out.workersHeld = p.workers.heldCount();
    out.workersUsable = p.workers.usableCount();
    out.queued = p.work.queuedCount();
    out.placed = p.work.placedCount();
    out.keptAnswers = p.work.keptCount();
    out.unaccountedWorkers = p.members.unaccounted().size();
    out.catalogueNext = p.catalogueSync.current().nextOffset();
    out.logAvailable = p.log.available();
    return out;
}

void node::checkInvariants() const
{
    m_parts->workers.checkInvariants();
    m_parts->work.checkInvariants();
}

} // namespace camphorwell
