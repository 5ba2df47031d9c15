// Running a cell: reads bring jobs and workers, actions become calls, records become appends.
#include "scheduler/process/cell_host_state.h"

namespace camphorwell {

namespace {
    constexpr ms jobWaitMs = 1000; // Of a read that follows accepted jobs.
    constexpr ms workersEveryMs = 300;
    constexpr ms retryMs = 150;
    constexpr ms appendTimeoutMs = 1500;
    constexpr ms learntEveryMs = 3000; // What was learnt goes with the progress.
    constexpr ms dropEveryMs = 4000;
    constexpr size_t dropsAtOnce = 500;
    constexpr ms adviceTimeoutMs = 4000;
    constexpr char cancelMark = 'x'; // First letter of a cancel's key; ids are hexadecimal.
} // namespace

void cell_host::state::pump()
{
    if (!owned || !begun)
        return;
    performActions();
    if (auto batch = owned->takeWrite(bootNow())) {
        auto request = std::make_shared<platform::append_request>();
        request->topic = progressTopic;
        request->producer = platform::producer_mark { "owner", token, ++sequence };
        for (const auto& each : batch->records)
            request->records.push_back(platform::keyedRecord(each.job, each.bytes));
        if (bootNow() - learntAt > learntEveryMs) {
            learntAt = bootNow();
            request->records.push_back(platform::keyedRecord(learntKey, owned->encodeLearnt()));
        }
        appendProgress(request, generation);
    }
    performActions();
}

void cell_host::state::performActions()
{
    for (const action& each : owned->takeActions())
        perform(each);
}

// Runs the pump after the current callback, once for everything that happened meanwhile.
void cell_host::state::schedulePump()
{
    if (pumping)
        return;
    pumping = true;
    context.loop.after(0, [this] {
        pumping = false;
        if (!owned || !begun)
            return;
        owned->setMayGrant(election.mayGrant(bootNow()));
        owned->react(bootNow());
        pump();
    });
}

void cell_host::state::appendProgress(std::shared_ptr<platform::append_request> request, uint64_t current)
{
    context.store.append(
        *request, appendTimeoutMs, [this, request, current](const platform::append_answer& answer) {
            if (!holds(current))
                return;
            if (answer.outcome == platform::store_outcome::done) {
                owned->onWritten(bootNow());
                pump();
                return;
            }
            context.counts["progress_append_" + std::string(toString(answer.outcome))]++;
            context.log.write(log_line("progress_append_failed")
                                  .add("outcome", toString(answer.outcome))
                                  .add("sequence", static_cast<int64_t>(request->producer->sequence))
                                  .add("records", static_cast<int64_t>(request->records.size())));
            if (answer.outcome == platform::store_outcome::fenced) {
                drop("fenced_at_store");
                return;
            }
            // The same sequence number again: if it was done after all, the store gives its first answer.
            again(current, retryMs, [this, request, current] { appendProgress(request, current); });
        });
}

void cell_host::state::perform(const action& what)
{
    uint64_t current = generation;
    auto addressOf = [this](const worker_id& id) {
        auto found = addresses.find(id);
        return found == addresses.end() ? std::string() : found->second;
    };
    struct performer {
        state& self;
        uint64_t current;
        std::function<std::string(const worker_id&)> addressOf;

        void operator()(const start_action& order) const
        {
            self.context.counts["starts"]++;
            self.workers.start(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [&self = self, current = current, order](order_outcome outcome) {
                    if (!self.holds(current))
                        return;
                    self.owned->onStarted(order, outcome, bootNow());
                    if (outcome != order_outcome::done)
                        self.schedulePump();
                    else
                        self.performActions();
                });
        }
        void operator()(const stop_action& order) const
        {
            self.context.counts["stops"]++;
            self.workers.stop(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [&self = self, current = current, order](order_outcome outcome) {
                    if (self.holds(current))
                        self.owned->onStopped(order, outcome, bootNow());
                });
        }
        void operator()(const pace_action& order) const
        {
            self.context.counts["paces"]++;
            self.workers.pace(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [](order_outcome) {});
        }
        void operator()(const poll_action& look) const
        {
            self.context.counts["looks"]++;
            ms sentAt = bootNow();
            self.workers.look(addressOf(look.worker), look, fencingToken(self.token, look.incarnation),
                [&self = self, current = current, look, sentAt](
                    order_outcome outcome, const worker_report& report) {
                    if (!self.holds(current))
                        return;
                    if (outcome == order_outcome::done)
                        self.owned->onReport(look.worker, report, sentAt, bootNow());
                    else
                        self.owned->onLookFailed(look, outcome, bootNow());
                    self.schedulePump();
                });
        }
        void operator()(const advice_action& question) const
        {
            self.context.counts["advice"]++;
            self.advice.ask(question, adviceTimeoutMs,
                [&self = self, current = current, question](
                    platform::store_outcome outcome, const std::vector<advised_worker>& good) {
                    if (!self.holds(current))
                        return;
                    if (outcome == platform::store_outcome::done)
                        self.owned->onAdvice(question.step, question.workers, good, bootNow());
                    else
                        self.owned->onAdviceFailed(question.step, bootNow());
                    self.schedulePump();
                });
        }
        void operator()(const forget_job_action& over) const
        {
            for (auto& tail : self.tails) {
                if (tail.held.erase(over.job) > 0)
                    self.drops.emplace_back(tail.partition, over.job);
            }
        }
    };
    std::visit(performer { *this, current, addressOf }, what);
}

void cell_host::state::followJobs(uint64_t current, int partition)
{
    if (!holds(current))
        return;
    ms sentAt = bootNow();
    job_tail& tail = tails[static_cast<size_t>(partition)];
    context.store.read(jobsTopic, partition, tail.next, jobWaitMs,
        [this, current, partition, sentAt](const platform::read_answer& answer) {
            if (!holds(current))
                return;
            job_tail& tail = tails[static_cast<size_t>(partition)];
            if (answer.outcome == platform::store_outcome::expired) {
                context.store.newest(jobsTopic, partition, [this, current, partition](const auto& newest) {
                    if (!holds(current))
                        return;
                    if (newest.outcome == platform::store_outcome::done) {
                        tails[static_cast<size_t>(partition)].next = newest.end;
                        for (const auto& each : newest.items)
                            takeJobRecord(partition, each);
                        schedulePump();
                    }
                    again(current, newest.outcome == platform::store_outcome::done ? 0 : retryMs,
                        [this, current, partition] { followJobs(current, partition); });
                });
                return;
            }
            if (answer.outcome != platform::store_outcome::done) {
                context.counts["job_read_failed"]++;
                again(current, retryMs, [this, current, partition] { followJobs(current, partition); });
                return;
            }
            tail.freshAt = sentAt;
            tail.next = answer.next;
            for (const auto& record : answer.records) {
                if (auto item = platform::readKeyed(record))
                    takeJobRecord(partition, *item);
            }
            if (!answer.records.empty())
                schedulePump();
            followJobs(current, partition);
        });
}

void cell_host::state::takeJobRecord(int partition, const platform::keyed_item& item)
{
    if (item.value.empty() || item.key.empty())
        return;
    if (item.key[0] == cancelMark) {
        owned->cancel(item.key.substr(1));
        return;
    }
    auto record = decodeJob(item.value);
    if (!record) {
        context.counts["job_unreadable"]++;
        context.log.writeAlways(log_line("job_unreadable").add("id", item.key));
        return;
    }
    tails[static_cast<size_t>(partition)].held[item.key] = true;
    owned->addJob(item.key, *record);
}

void cell_host::state::followWorkers(uint64_t current)
{
    context.store.read(
        platform::workerTopic, 0, workersNext, 0, [this, current](const platform::read_answer& answer) {
            if (!holds(current))
                return;
            if (answer.outcome == platform::store_outcome::expired) {
                recoverWorkers(current);
                return;
            }
            if (answer.outcome == platform::store_outcome::done) {
                workersNext = answer.next;
                for (const auto& record : answer.records) {
                    if (auto item = platform::readKeyed(record))
                        takeWorkerRecord(*item);
                }
            }
            again(current, workersEveryMs, [this, current] { followWorkers(current); });
        });
}

void cell_host::state::takeWorkerRecord(const platform::keyed_item& item)
{
    if (item.value.empty()) {
        owned->removeWorker(item.key, bootNow());
        return;
    }
    auto record = platform::readWorker(item.key, item.value);
    if (!record) {
        context.counts["worker_unreadable"]++;
        return;
    }
    addresses[record->id] = record->address;
    owned->setWorker(*record, bootNow());
}

void cell_host::state::flushDrops(uint64_t current)
{
    if (!drops.empty()) {
        int partition = drops.front().first;
        platform::append_request request { jobsTopic, partition, {}, {}, {} };
        std::erase_if(drops, [&](const auto& each) {
            if (each.first != partition || request.records.size() >= dropsAtOnce)
                return false;
            request.records.push_back(platform::keyedRecord(each.second, ""));
            return true;
        });
        // A drop that is lost leaves a record of a job that progress says is over.
        context.store.append(request, appendTimeoutMs, [](const platform::append_answer&) {});
    }
    again(current, drops.empty() ? dropEveryMs : retryMs, [this, current] { flushDrops(current); });
}

} // namespace camphorwell
