// Running a cell: reads jobs and workers from the store, carries out the cell's actions as calls to workers
// and to the advice service, and appends its progress records.
#include "scheduler/process/cell_host_state.h"

namespace camphorwell {

namespace {
    constexpr ms jobReadWaitMs = 1000; // Long poll for accepted jobs.
    constexpr ms workerReadPeriodMs = 300;
    constexpr ms retryMs = 150;
    constexpr ms appendTimeoutMs = 1500;
    // After so many rejections by itself a record is set aside. An answer that cannot be read counts as one,
    // too, though the record may have been appended.
    constexpr int maxRejectionsOfLargeRecord = 3;
    constexpr int maxRejections = 60; // Of a record that the store should take.
    constexpr size_t recordLengthBytes = 4; // Length of a record, before it in the body of an append.
    constexpr ms loadModelPeriodMs = 3000; // The load model is appended with progress records.
    constexpr ms tombstonePeriodMs = 4000;
    constexpr size_t maxTombstonesPerAppend = 500;
    constexpr char cancelKeyPrefix = 'x'; // Not a hexadecimal digit, so no job id starts with it.
    constexpr size_t maxUnreadableWorkers = 1000; // Bound on the ids whose errors are remembered.

    std::string encodeKey(const job_record_key& key)
    {
        return key.kind == job_record_kind::cancel ? cancelKeyPrefix + key.job : key.job;
    }
} // namespace

void cell_host::state::flushCell()
{
    if (!ledCell || !recovered)
        return;
    performActions();
    if (auto batch = ledCell->takeWrite(bootNow())) {
        auto write = std::make_shared<progress_write>();
        for (const auto& record : batch->records)
            write->records.push_back(platform::encodeKeyedRecord(record.key, record.bytes));
        if (!loadModelRejected && bootNow() - loadModelWrittenAt > loadModelPeriodMs) {
            loadModelWrittenAt = bootNow();
            write->records.push_back(platform::encodeKeyedRecord(loadModelKey, ledCell->encodeLoadModel()));
        }
        appendProgress(write, leaderTerm);
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
        currentCell().placePending(bootNow());
        flushCell();
    });
}

// Appends as many of the remaining records as fit into one call.
void cell_host::state::appendProgress(const std::shared_ptr<progress_write>& write, uint64_t term)
{
    auto request = std::make_shared<platform::append_request>();
    request->topic = progressTopic;
    request->producer = platform::producer_sequence { "owner", token, ++progressSequence };
    size_t bytes = 0;
    for (size_t i = write->settled; i < write->records.size(); i++) {
        bytes += write->records[i].size() + recordLengthBytes;
        if (!request->records.empty() && bytes > context.settings.store.maxAppendBytes)
            break;
        if (request->records.size() >= write->maxRecordsPerCall)
            break;
        request->records.push_back(write->records[i]);
    }
    sendProgress(write, request, term);
}

void cell_host::state::sendProgress(const std::shared_ptr<progress_write>& write,
    const std::shared_ptr<platform::append_request>& request, uint64_t term)
{
    context.store.append(
        *request, appendTimeoutMs, [this, write, request, term](const platform::append_answer& answer) {
            if (!leadsInTerm(term))
                return;
            if (answer.outcome == platform::store_outcome::done) {
                settleProgress(write, request->records.size(), term);
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
            // The sequence can be started anew only under another epoch. Nothing is lost: the next term reads
            // what was appended.
            if (answer.outcome == platform::store_outcome::out_of_order) {
                stepDown("append_out_of_order");
                return;
            }
            if (answer.outcome == platform::store_outcome::malformed) {
                onProgressRejected(write, *request, term);
                return;
            }
            // Retry with the same sequence number: if the append was done, the store repeats its first
            // answer.
            scheduleInTerm(
                term, retryMs, [this, write, request, term] { sendProgress(write, request, term); });
        });
}

void cell_host::state::settleProgress(
    const std::shared_ptr<progress_write>& write, size_t records, uint64_t term)
{
    write->settled += records;
    write->rejections = 0;
    if (write->settled < write->records.size()) {
        appendProgress(write, term);
        return;
    }
    currentCell().onWritten(bootNow());
    flushCell();
}

// Finds the record that the store does not take by halving the number of records of a call, and sets it
// aside, so that it holds up no other. A rejected call does not use up its sequence number.
void cell_host::state::onProgressRejected(
    const std::shared_ptr<progress_write>& write, const platform::append_request& request, uint64_t term)
{
    progressSequence--;
    if (request.records.size() > 1) {
        write->maxRecordsPerCall = request.records.size() / 2;
        appendProgress(write, term);
        return;
    }
    const std::string& record = request.records.front();
    bool large = record.size() > context.settings.cell.maxRecordBytes;
    if (++write->rejections < (large ? maxRejectionsOfLargeRecord : maxRejections)) {
        scheduleInTerm(term, retryMs, [this, write, term] { appendProgress(write, term); });
        return;
    }
    setRecordAside(record);
    write->maxRecordsPerCall = std::numeric_limits<size_t>::max();
    settleProgress(write, 1, term);
}

void cell_host::state::setRecordAside(const std::string& record)
{
    auto item = platform::decodeKeyedRecord(record);
    CAMPHORWELL_INVARIANT(item, "a progress record has no key");
    context.counts["progress_record_rejected"]++;
    context.log.writeAlways(log_line("progress_record_rejected")
                                .add("key", item->key)
                                .add("bytes", static_cast<int64_t>(record.size())));
    if (item->key == loadModelKey)
        loadModelRejected = true;
    else
        ledCell->onRecordRejected(item->key, bootNow());
}

void cell_host::state::perform(const action& requested)
{
    struct performer {
        state& self;
        uint64_t term;

        void operator()(const start_action& order) const
        {
            self.context.counts["starts"]++;
            self.workers.start(self.ledCell->addressOf(order.worker), order,
                fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order](const order_answer& answer) {
                    if (!self.leadsInTerm(term))
                        return;
                    self.ledCell->onStarted(order, answer, bootNow());
                    if (answer.outcome != order_outcome::done)
                        self.scheduleFlush();
                    else
                        self.performActions();
                });
        }
        void operator()(const stop_action& order) const
        {
            self.context.counts["stops"]++;
            self.workers.stop(self.ledCell->addressOf(order.worker), order,
                fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order](const order_answer& answer) {
                    if (self.leadsInTerm(term))
                        self.ledCell->onStopped(order, answer, bootNow());
                });
        }
        void operator()(const pace_action& order) const
        {
            self.context.counts["paces"]++;
            self.workers.pace(self.ledCell->addressOf(order.worker), order,
                fencingToken(self.token, order.incarnation), [](const order_answer&) {});
        }
        void operator()(const poll_action& order) const
        {
            self.context.counts["looks"]++;
            ms sentAt = bootNow();
            self.workers.poll(self.ledCell->addressOf(order.worker), order,
                fencingToken(self.token, order.incarnation),
                [&self = self, term = term, order, sentAt](
                    order_outcome outcome, const worker_report& report) {
                    if (!self.leadsInTerm(term))
                        return;
                    if (outcome == order_outcome::done)
                        self.currentCell().onReport(order.worker, report, sentAt, bootNow());
                    else
                        self.ledCell->onPollFailed(order, outcome, bootNow());
                    self.scheduleFlush();
                });
        }
        void operator()(const advice_action& request) const
        {
            self.context.counts["advice"]++;
            self.advice.ask(request,
                [&self = self, term = term, request](
                    platform::store_outcome outcome, const std::vector<advised_worker>& permitted) {
                    if (!self.leadsInTerm(term))
                        return;
                    self.context.counts["advice_" + std::string(toString(outcome))]++;
                    if (outcome == platform::store_outcome::done)
                        self.ledCell->onAdvice(request, permitted, bootNow());
                    else
                        self.ledCell->onAdviceFailed(request, toString(outcome), bootNow());
                    self.scheduleFlush();
                });
        }
        void operator()(const abandon_advice_action&) const
        {
            self.context.counts["advice_abandoned"]++;
            self.advice.endCalls();
        }
        void operator()(const forget_job_action& request) const { self.tombstones.request(request); }
    };
    std::visit(performer { *this, leaderTerm }, requested);
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
                ms newestSentAt = bootNow();
                context.store.readNewestByKey(
                    jobsTopic, partition, [this, term, partition, newestSentAt](const auto& newest) {
                        if (!leadsInTerm(term))
                            return;
                        if (newest.outcome == platform::store_outcome::done) {
                            cursors[static_cast<size_t>(partition)] = { partition, newest.end, newestSentAt };
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
            // An answer of limited size may hold only the first of the records.
            if (answer.nextOffset >= answer.end)
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
        job_record_key key { item.key.substr(1), job_record_kind::cancel };
        tombstones.onRecord(partition, key);
        ledCell->cancel(key.job);
        return;
    }
    tombstones.onRecord(partition, { item.key, job_record_kind::submission });
    std::optional<job_record> record;
    if (cborIsBounded(item.value, maxRecordDepth))
        record = decodeJob(item.value);
    if (!record) {
        context.counts["job_unreadable"]++;
        context.log.writeAlways(log_line("job_unreadable").add("id", item.key));
        ledCell->addUnreadableRecord(item.key);
        return;
    }
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
    for (const forget_job_action& deleted : tombstones.takeDeleted())
        ledCell->onJobRecordsDeleted(deleted, bootNow());
    job_tombstones::batch batch;
    while (batch.keys.empty() && partition < context.settings.store.partitions)
        batch = tombstones.takeBatch(partition++, maxTombstonesPerAppend);
    if (batch.keys.empty()) {
        scheduleInTerm(term, tombstonePeriodMs, [this, term] { appendTombstones(term, 0); });
        return;
    }
    platform::append_request request { jobsTopic, batch.partition, {}, {}, {} };
    for (const job_record_key& key : batch.keys)
        request.records.push_back(platform::encodeKeyedRecord(encodeKey(key), ""));
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
    auto records = static_cast<int64_t>(batch.keys.size());
    if (durable) {
        context.counts["job_records_deleted"] += records;
    } else {
        context.counts["job_deletion_" + std::string(toString(answer.outcome))]++;
        context.log.write(
            log_line("job_deletion_failed").add("outcome", toString(answer.outcome)).add("records", records));
    }
    tombstones.onAppended(batch, durable);
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
