// Running a cell: reads jobs and workers from the store, carries out the cell's actions as calls to workers
// and to the advice service, and appends its progress records.
#include "scheduler/process/cell_host_state.h"

namespace camphorwell {

namespace {
    constexpr ms jobReadWaitMs = 1000; // Long poll for accepted jobs.
    constexpr ms workerReadPeriodMs = 300;
    constexpr ms retryMs = 150;
    constexpr ms appendTimeoutMs = 1500;
    constexpr ms loadModelPeriodMs = 3000; // The load model is appended with progress records.
    constexpr ms tombstonePeriodMs = 4000;
    constexpr size_t maxTombstonesPerAppend = 500;
    constexpr ms adviceTimeoutMs = 4000;
    constexpr char cancelKeyPrefix = 'x'; // Not a hexadecimal digit, so no job id starts with it.
    constexpr size_t maxUnreadableWorkers = 1000; // Bound on the ids whose errors are remembered.
} // namespace

void cell_host::state::flushCell()
{
    if (!ledCell || !recovered)
        return;
    performActions();
    if (auto batch = ledCell->takeWrite(bootNow())) {
        auto request = std::make_shared<platform::append_request>();
        request->topic = progressTopic;
        request->producer = platform::producer_sequence { "owner", token, ++progressSequence };
        for (const auto& record : batch->records)
            request->records.push_back(platform::encodeKeyedRecord(record.job, record.bytes));
        if (bootNow() - loadModelWrittenAt > loadModelPeriodMs) {
            loadModelWrittenAt = bootNow();
            request->records.push_back(platform::encodeKeyedRecord(loadModelKey, ledCell->encodeLoadModel()));
        }
        appendProgress(request, leaderTerm);
    }
    performActions();
}

void cell_host::state::performActions()
{
    for (const action& requested : ledCell->takeActions())
        perform(requested);
}

// Schedules one flush after the current callback, however many callbacks ask for it.
void cell_host::state::scheduleFlush()
{
    if (flushScheduled)
        return;
    flushScheduled = true;
    context.loop.after(0, [this] {
        flushScheduled = false;
        if (!ledCell || !recovered)
            return;
        ledCell->setMayGrantLeases(election.mayGrant(bootNow()));
        ledCell->placePending(bootNow());
        flushCell();
    });
}

void cell_host::state::appendProgress(std::shared_ptr<platform::append_request> request, uint64_t term)
{
    context.store.append(
        *request, appendTimeoutMs, [this, request, term](const platform::append_answer& answer) {
            if (!leadsInTerm(term))
                return;
            if (answer.outcome == platform::store_outcome::done) {
                ledCell->onWritten(bootNow());
                flushCell();
                return;
            }
            context.counts["progress_append_" + std::string(toString(answer.outcome))]++;
            context.log.write(log_line("progress_append_failed")
                                  .add("outcome", toString(answer.outcome))
                                  .add("sequence", static_cast<int64_t>(request->producer->sequence))
                                  .add("records", static_cast<int64_t>(request->records.size())));
            if (answer.outcome == platform::store_outcome::fenced) {
                stepDown("fenced_at_store");
                return;
            }
            // Retry with the same sequence number: if the append was done, the store repeats its first
            // answer.
            scheduleInTerm(term, retryMs, [this, request, term] { appendProgress(request, term); });
        });
}

void cell_host::state::perform(const action& requested)
{
    uint64_t term = leaderTerm;
    auto addressOf = [this](const worker_id& id) {
        auto found = workerAddresses.find(id);
        return found == workerAddresses.end() ? std::string() : found->second;
    };
    struct performer {
        state& self;
        uint64_t term;
        std::function<std::string(const worker_id&)> addressOf;

        void operator()(const start_action& order) const
        {
            self.context.counts["starts"]++;
            self.workers.start(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order](order_outcome outcome) {
                    if (!self.leadsInTerm(term))
                        return;
                    self.ledCell->onStarted(order, outcome, bootNow());
                    if (outcome != order_outcome::done)
                        self.scheduleFlush();
                    else
                        self.performActions();
                });
        }
        void operator()(const stop_action& order) const
        {
            self.context.counts["stops"]++;
            self.workers.stop(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order](order_outcome outcome) {
                    if (self.leadsInTerm(term))
                        self.ledCell->onStopped(order, outcome, bootNow());
                });
        }
        void operator()(const pace_action& order) const
        {
            self.context.counts["paces"]++;
            self.workers.pace(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [](order_outcome) {});
        }
        void operator()(const poll_action& order) const
        {
            self.context.counts["looks"]++;
            ms sentAt = bootNow();
            self.workers.poll(addressOf(order.worker), order, fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order, sentAt](
                    order_outcome outcome, const worker_report& report) {
                    if (!self.leadsInTerm(term))
                        return;
                    if (outcome == order_outcome::done)
                        self.ledCell->onReport(order.worker, report, sentAt, bootNow());
                    else
                        self.ledCell->onPollFailed(order, outcome, bootNow());
                    self.scheduleFlush();
                });
        }
        void operator()(const advice_action& request) const
        {
            self.context.counts["advice"]++;
            self.advice.ask(request, adviceTimeoutMs,
                [&self = self, term = term, request](
                    platform::store_outcome outcome, const std::vector<advised_worker>& permitted) {
                    if (!self.leadsInTerm(term))
                        return;
                    if (outcome == platform::store_outcome::done)
                        self.ledCell->onAdvice(request.step, request.workers, permitted, bootNow());
                    else
                        self.ledCell->onAdviceFailed(request.step, bootNow());
                    self.scheduleFlush();
                });
        }
        void operator()(const forget_job_action& request) const { self.tombstones.request(request); }
    };
    std::visit(performer { *this, term, addressOf }, requested);
}

void cell_host::state::followJobs(uint64_t term, int partition)
{
    if (!leadsInTerm(term))
        return;
    ms sentAt = bootNow();
    job_cursor& cursor = cursors[static_cast<size_t>(partition)];
    context.store.read(jobsTopic, partition, cursor.nextOffset, jobReadWaitMs,
        [this, term, partition, sentAt](const platform::read_answer& answer) {
            if (!leadsInTerm(term))
                return;
            job_cursor& cursor = cursors[static_cast<size_t>(partition)];
            if (answer.outcome == platform::store_outcome::expired) {
                context.store.readNewestByKey(
                    jobsTopic, partition, [this, term, partition](const auto& newest) {
                        if (!leadsInTerm(term))
                            return;
                        if (newest.outcome == platform::store_outcome::done) {
                            cursors[static_cast<size_t>(partition)].nextOffset = newest.end;
                            for (const auto& item : newest.items)
                                applyJobRecord(partition, item);
                            scheduleFlush();
                        }
                        scheduleInTerm(term, newest.outcome == platform::store_outcome::done ? 0 : retryMs,
                            [this, term, partition] { followJobs(term, partition); });
                    });
                return;
            }
            if (answer.outcome != platform::store_outcome::done) {
                context.counts["job_read_failed"]++;
                scheduleInTerm(term, retryMs, [this, term, partition] { followJobs(term, partition); });
                return;
            }
            cursor.readUpTo = sentAt;
            cursor.nextOffset = answer.nextOffset;
            for (const auto& record : answer.records) {
                if (auto item = platform::decodeKeyedRecord(record))
                    applyJobRecord(partition, *item);
            }
            if (!answer.records.empty())
                scheduleFlush();
            followJobs(term, partition);
        });
}

void cell_host::state::applyJobRecord(int partition, const platform::keyed_item& item)
{
    if (item.value.empty() || item.key.empty())
        return;
    if (item.key[0] == cancelKeyPrefix) {
        ledCell->cancel(item.key.substr(1));
        return;
    }
    std::optional<job_record> record;
    if (cborIsBounded(item.value, maxRecordDepth))
        record = decodeJob(item.value);
    if (!record) {
        context.counts["job_unreadable"]++;
        context.log.writeAlways(log_line("job_unreadable").add("id", item.key));
        return;
    }
    tombstones.onRecord(partition, item.key);
    ledCell->addJob(item.key, *record);
}

void cell_host::state::followWorkers(uint64_t term)
{
    context.store.read(
        platform::workerTopic, 0, nextWorkerOffset, 0, [this, term](const platform::read_answer& answer) {
            if (!leadsInTerm(term))
                return;
            if (answer.outcome == platform::store_outcome::expired) {
                recoverWorkers(term);
                return;
            }
            if (answer.outcome == platform::store_outcome::done) {
                nextWorkerOffset = answer.nextOffset;
                for (const auto& record : answer.records) {
                    if (auto item = platform::decodeKeyedRecord(record))
                        applyWorkerRecord(*item);
                    else
                        onUnreadableWorker("", "record: has no key");
                }
            }
            scheduleInTerm(term, workerReadPeriodMs, [this, term] { followWorkers(term); });
        });
}

void cell_host::state::applyWorkerRecord(const platform::keyed_item& item)
{
    if (item.value.empty()) {
        ledCell->removeWorker(item.key, bootNow());
        return;
    }
    auto read = platform::readWorker(item.key, item.value, unixNow());
    if (const auto* error = std::get_if<std::string>(&read)) {
        onUnreadableWorker(item.key, *error);
        return;
    }
    const auto& record = std::get<worker_record>(read);
    unreadableWorkers.erase(record.id);
    workerAddresses[record.id] = record.address;
    ledCell->setWorker(record, bootNow());
}

// A record that cannot be read changes nothing: a worker of that id that wrote a readable record before is
// still in use, and renews its record soon. Each error of an id is logged once, since its writer may repeat
// it.
void cell_host::state::onUnreadableWorker(const std::string& id, const std::string& error)
{
    context.counts["worker_unreadable"]++;
    if (unreadableWorkers.size() >= maxUnreadableWorkers)
        unreadableWorkers.clear();
    std::string& logged = unreadableWorkers[id];
    if (logged == error)
        return;
    logged = error;
    context.log.write(log_line("worker_unreadable").add("worker", id).add("error", error));
}

// Deletes the records of finished jobs: in each period, one batch from each partition that has any.
void cell_host::state::appendTombstones(uint64_t term, int partition)
{
    job_tombstones::batch batch;
    while (batch.jobs.empty() && partition < context.settings.store.partitions)
        batch = tombstones.takeBatch(partition++, maxTombstonesPerAppend);
    if (batch.jobs.empty()) {
        scheduleInTerm(term, tombstonePeriodMs, [this, term] { appendTombstones(term, 0); });
        return;
    }
    platform::append_request request { jobsTopic, batch.partition, {}, {}, {} };
    for (const job_id& id : batch.jobs)
        request.records.push_back(platform::encodeKeyedRecord(id, ""));
    context.store.append(request, appendTimeoutMs,
        [this, term, partition, batch = std::move(batch)](const platform::append_answer& answer) {
            if (!leadsInTerm(term))
                return;
            onTombstonesAppended(batch, answer);
            appendTombstones(term, partition);
        });
}

void cell_host::state::onTombstonesAppended(
    const job_tombstones::batch& batch, const platform::append_answer& answer)
{
    bool durable = answer.outcome == platform::store_outcome::done;
    auto records = static_cast<int64_t>(batch.jobs.size());
    if (durable) {
        context.counts["jobs_deleted"] += records;
    } else {
        context.counts["job_deletion_" + std::string(toString(answer.outcome))]++;
        context.log.write(
            log_line("job_deletion_failed").add("outcome", toString(answer.outcome)).add("records", records));
    }
    tombstones.onAppended(batch, durable);
    for (const forget_job_action& deleted : tombstones.takeDeleted())
        ledCell->onJobRecordsDeleted(deleted, bootNow());
}

// The time up to which every partition of the job log has been read.
ms cell_host::state::jobLogReadUpTo() const
{
    ms out = bootNow();
    for (const job_cursor& cursor : cursors)
        out = std::min(out, cursor.readUpTo);
    return out;
}

} // namespace camphorwell
