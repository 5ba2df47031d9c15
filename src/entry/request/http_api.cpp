// The HTTP interface for clients and operators.
//
// Work: POST /v1/work/{entry}, GET and DELETE /v1/work/{id}. Catalogue: GET /v1/catalogue[/{name}],
// PUT and DELETE /v1/catalogue/{name} with If-Match, GET /v1/history. Operation: /v1/status,
// /v1/explain/{id}, /v1/drain, /metrics, /healthz, /readyz. Refusals are problem details (RFC 9457) with
// `reason` and `ran`.
#include "entry/process/daemon.h"

#include <csignal>
#include <glog/logging.h>
#include <random>

namespace camphorwell {

namespace {

    using nlohmann::json;

    constexpr std::string_view workPath = "/v1/work/";
    constexpr std::string_view cataloguePath = "/v1/catalogue";
    constexpr std::string_view explainPath = "/v1/explain/";
    constexpr size_t maxKeyLength = 200; // Maximum length of an idempotency key or author in characters.
    constexpr int64_t maxDeadlineMs = 3'600'000;
    constexpr int64_t pollDeadlineMs = 5000;
    constexpr int64_t acceptDeadlineMs = 10'000; // Default time limit for accepting batch work.
    constexpr int retryAfterSeconds = 1;

    bool startsWith(const std::string& text, std::string_view prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    std::string quoteEtag(uint64_t version) { return "\"" + std::to_string(version) + "\""; }

    // Parses the version in an If-Match header. Returns nullopt when it is malformed.
    std::optional<uint64_t> parseEtag(const std::string& text)
    {
        if (text.size() < 3 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        uint64_t version = 0;
        for (size_t i = 1; i + 1 < text.size(); i++) {
            if (text[i] < '0' || text[i] > '9' || i > 18)
                return std::nullopt;
            version = version * 10 + static_cast<uint64_t>(text[i] - '0');
        }
        return version;
    }

    // Parses a decimal number of milliseconds from 1 to `maxDeadlineMs`. Returns nullopt for any other text.
    std::optional<int64_t> parseDeadline(const std::string& text)
    {
        if (text.empty() || text.size() > 9)
            return std::nullopt;
        int64_t value = 0;
        for (char c : text) {
            if (c < '0' || c > '9')
                return std::nullopt;
            value = value * 10 + (c - '0');
        }
        if (value < 1 || value > maxDeadlineMs)
            return std::nullopt;
        return value;
    }

    bool validKey(const std::string& key)
    {
        bool valid = !key.empty() && key.size() <= maxKeyLength;
        for (unsigned char c : key)
            valid = valid && c > ' ' && c < 0x7f;
        return valid;
    }

    bool wantsAsync(const http_request& incoming)
    {
        const std::string* prefer = incoming.header("prefer");
        return prefer && prefer->find("respond-async") != std::string::npos;
    }

    std::string randomKey()
    {
        static std::random_device source;
        std::string out;
        for (int i = 0; i < 4; i++)
            out += std::to_string(source());
        return out;
    }

    json versionedJson(const catalogue::versioned& item)
    {
        return { { "entry", toJson(item.entry) }, { "version", item.version } };
    }

    std::string_view toString(change_verdict verdict)
    {
        constexpr std::string_view names[] = { "won", "lost", "invalid", "already" };
        return names[static_cast<size_t>(verdict)];
    }

} // namespace

void entry_daemon::parts::refuse(
    const std::shared_ptr<http_reply>& reply, const refusal& why, const work_id& id)
{
    const auto& info = reasonInfo(why.code);
    json body = { { "type", "about:blank" }, { "title", info.text }, { "status", info.httpStatus },
        { "detail", why.detail }, { "reason", info.name }, { "ran", camphorwell::toString(info.ran) } };
    if (!id.empty())
        body["id"] = id;
    header_list headers = { { "Content-Type", "application/problem+json" } };
    if (info.retryable)
        headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds));
    metrics.countRequest(std::string(info.name));
    reply->send(info.httpStatus, headers, body.dump(-1, ' ', true, json::error_handler_t::replace) + "\n");
}

void entry_daemon::parts::serve(const http_request& incoming, const std::shared_ptr<http_reply>& reply)
{
    auto text = [&](const std::string& body) {
        reply->send(200, { { "Content-Type", "text/plain" } }, body);
    };
    if (incoming.oversized) {
        metrics.countReason(reason::body_too_large);
        refuse(reply,
            { reason::body_too_large,
                "the limit is " + std::to_string(settings.http.maxBodyBytes) + " bytes" },
            {});
    } else if (startsWith(incoming.path, workPath)) {
        serveWork(incoming, reply);
    } else if (startsWith(incoming.path, cataloguePath)) {
        serveCatalogue(incoming, reply);
    } else if (incoming.path == "/v1/history") {
        serveHistory(reply);
    } else if (incoming.path == "/v1/status") {
        serveStatus(reply);
    } else if (startsWith(incoming.path, explainPath)) {
        explanation found = core.explain(incoming.path.substr(explainPath.size()));
        json body = { { "text", found.text }, { "fields", json::array() } };
        for (const auto& [name, value] : found.fields)
            body["fields"].push_back({ name, value });
        reply->send(200, { { "Content-Type", "application/json" } }, body.dump() + "\n");
    } else if (incoming.path == "/metrics") {
        text(metrics.text(core, hub.bytesSent()));
    } else if (incoming.path == "/healthz") {
        text("ok\n");
    } else if (incoming.path == "/readyz") {
        bool ready = core.status().ready && !leaving;
        reply->send(
            ready ? 200 : 503, { { "Content-Type", "text/plain" } }, ready ? "ready\n" : "not ready\n");
    } else if (incoming.path == "/v1/drain" && incoming.method == "POST") {
        text("draining\n");
        loop.after(0, [] { raise(SIGTERM); });
    } else {
        metrics.countReason(reason::bad_request);
        refuse(reply, { reason::bad_request, "no such path: " + incoming.path.substr(0, 100) }, {});
    }
}

void entry_daemon::parts::submitRequest(
    const std::shared_ptr<http_reply>& reply, request incoming, const std::string& entry)
{
    uint64_t ticket = nextTicket++;
    openRequests[ticket] = { reply, entry, event_loop::now() };
    handleEvent(submission { ticket, std::move(incoming) });
}

void entry_daemon::parts::serveWork(const http_request& incoming, const std::shared_ptr<http_reply>& reply)
{
    std::string rest = incoming.path.substr(workPath.size());
    if (incoming.method == "POST")
        return submitWork(incoming, reply, rest);
    bool known = incoming.method == "GET" || incoming.method == "DELETE";
    if (!known || homeOfWork(rest).empty()) {
        metrics.countReason(reason::bad_request);
        return refuse(
            reply, { reason::bad_request, incoming.method + " of work id " + rest.substr(0, 100) }, {});
    }
    request workRequest;
    workRequest.verb = incoming.method == "GET" ? verb::poll : verb::cancel;
    workRequest.id = rest;
    workRequest.deadlineMs = pollDeadlineMs;
    submitRequest(reply, std::move(workRequest), {});
}

void entry_daemon::parts::submitWork(
    const http_request& incoming, const std::shared_ptr<http_reply>& reply, const entry_name& name)
{
    auto reject = [&](reason code, const std::string& detail) {
        metrics.countReason(code);
        refuse(reply, { code, detail }, {});
    };
    if (leaving)
        return reject(reason::shutting_down, "instance " + settings.node.self.id + " is leaving");
    if (!core.status().ready)
        return reject(
            reason::not_ready, "instance " + settings.node.self.id + " has no view or catalogue yet");
    const auto* found = core.currentCatalogue().find(name);
    if (!found)
        return reject(reason::unknown_entry, "entry " + name.substr(0, 100));
    const entry& wanted = found->entry;
    bool batch = wanted.workClass == work_class::batch;
    request workRequest;
    workRequest.entry = name;
    workRequest.body = incoming.body;
    workRequest.catalogueNext = core.currentCatalogue().nextOffset();
    workRequest.respondAsync = batch || wantsAsync(incoming);
    workRequest.deadlineMs = batch ? acceptDeadlineMs : wanted.limits.deadlineMs;
    if (const std::string* deadline = incoming.header("x-deadline-ms")) {
        auto parsed = parseDeadline(*deadline);
        if (!parsed)
            return reject(reason::bad_request,
                "header X-Deadline-Ms: " + deadline->substr(0, 40) + ": must be 1 to 3600000");
        workRequest.deadlineMs = *parsed;
    }
    const std::string* key = incoming.header("idempotency-key");
    if (!key && !wanted.idempotent)
        return reject(reason::key_required, "entry " + name + " is not idempotent");
    if (key && !validKey(*key))
        return reject(reason::bad_request, "header Idempotency-Key: must be 1 to 200 printable characters");
    // Accepted batch work must survive this instance. It gets a random key when the client gave none, since
    // only keyed work gets another owner when its instance fails.
    if (key)
        workRequest.id = keyedWorkId(homeOfKey(*key, settings.node.dataCentres()), name, *key);
    else if (batch)
        workRequest.id = keyedWorkId(settings.node.dataCentre, name, randomKey());
    submitRequest(reply, std::move(workRequest), name);
}

void entry_daemon::parts::perform(const answer_action& act)
{
    auto found = openRequests.find(act.ticket);
    if (found == openRequests.end())
        return;
    open_request open = std::move(found->second);
    openRequests.erase(found);
    const answer& given = act.answer;
    double seconds = static_cast<double>((event_loop::now() - open.since).count()) / 1e6;
    if (!open.entry.empty())
        metrics.observe(open.entry, seconds);
    if (given.state == answer_state::refused)
        return refuse(open.reply, given.why, given.id);
    header_list headers = { { "X-Work-Id", given.id } };
    if (given.state == answer_state::done) {
        headers.emplace_back("Content-Type", "application/json");
        metrics.countRequest("done");
        return open.reply->send(200, headers, given.result);
    }
    headers.emplace_back("Content-Type", "application/json");
    headers.emplace_back("Location", std::string(workPath) + given.id);
    std::string state = given.state == answer_state::running ? "running" : "accepted";
    metrics.countRequest(state);
    json body = { { "id", given.id }, { "state", state } };
    open.reply->send(202, headers, body.dump() + "\n");
}

void entry_daemon::parts::serveCatalogue(
    const http_request& incoming, const std::shared_ptr<http_reply>& reply)
{
    const header_list headers = { { "Content-Type", "application/json" } };
    std::string name = incoming.path.size() > cataloguePath.size() + 1
        ? incoming.path.substr(cataloguePath.size() + 1)
        : "";
    if (name.empty() && incoming.method == "GET") {
        json body = { { "entries", json::array() }, { "next_offset", core.currentCatalogue().nextOffset() } };
        for (const auto& [key, item] : core.currentCatalogue().entries())
            body["entries"].push_back(versionedJson(item));
        return reply->send(200, headers, body.dump() + "\n");
    }
    if (incoming.method == "PUT" || incoming.method == "DELETE")
        return changeCatalogue(incoming, reply, name);
    const auto* found = core.currentCatalogue().find(name);
    if (!found)
        return refuse(reply, { reason::unknown_entry, "entry " + name.substr(0, 100) }, {});
    header_list tagged = headers;
    tagged.emplace_back("ETag", quoteEtag(found->version));
    reply->send(200, tagged, versionedJson(*found).dump() + "\n");
}

void entry_daemon::parts::changeCatalogue(
    const http_request& incoming, const std::shared_ptr<http_reply>& reply, const entry_name& name)
{
    const std::string* match = incoming.header("if-match");
    auto base = match ? parseEtag(*match) : std::nullopt;
    if (!base)
        return refuse(reply,
            { reason::bad_request, "header If-Match: must be the quoted version, \"0\" for none" }, {});
    catalogue_record record;
    record.changeId = settings.node.self.id + "." + std::to_string(settings.node.self.incarnation) + "."
        + std::to_string(nextTicket);
    record.name = name;
    record.baseVersion = *base;
    if (const std::string* author = incoming.header("x-author"))
        record.author = author->substr(0, maxKeyLength);
    if (incoming.method == "PUT") {
        std::vector<field_error> faults;
        auto parsed = parseEntry(json::parse(incoming.body, nullptr, false), faults);
        if (parsed && parsed->name != name)
            faults.push_back({ "/name", parsed->name, "must be the name in the path" });
        if (!faults.empty()) {
            std::string detail;
            for (const auto& fault : faults)
                detail += (detail.empty() ? "" : "; ") + fault.str();
            return refuse(reply, { reason::bad_request, detail }, {});
        }
        record.body = incoming.body;
    }
    uint64_t ticket = nextTicket++;
    openRequests[ticket] = { reply, {}, event_loop::now() };
    handleEvent(catalogue_change { ticket, std::move(record) });
}

void entry_daemon::parts::perform(const change_action& act)
{
    auto found = openRequests.find(act.ticket);
    if (found == openRequests.end())
        return;
    auto reply = found->second.reply;
    openRequests.erase(found);
    if (act.status == append_status::refused)
        return refuse(reply, { reason::log_unavailable, "the change was not recorded" }, {});
    if (!act.verdict)
        return refuse(reply, { reason::outcome_unknown, "the log has not confirmed the change" }, {});
    if (*act.verdict == change_verdict::conflict)
        return refuse(reply, { reason::version_conflict, "another change was recorded first" }, {});
    if (*act.verdict != change_verdict::accepted)
        return refuse(
            reply, { reason::bad_request, "the change is " + std::string(toString(*act.verdict)) }, {});
    json body = { { "version", act.version }, { "in_force", act.inForce }, { "not_yet", act.notYet } };
    reply->send(200, { { "Content-Type", "application/json" }, { "ETag", quoteEtag(act.version) } },
        body.dump() + "\n");
}

void entry_daemon::parts::serveHistory(const std::shared_ptr<http_reply>& reply)
{
    json body = { { "changes", json::array() } };
    for (const auto& [record, verdict] : core.currentCatalogue().history()) {
        body["changes"].push_back({ { "offset", record.offset }, { "name", record.name },
            { "base", record.baseVersion }, { "author", record.author }, { "verdict", toString(verdict) },
            { "removal", record.body.empty() } });
    }
    reply->send(200, { { "Content-Type", "application/json" } }, body.dump() + "\n");
}

void entry_daemon::parts::serveStatus(const std::shared_ptr<http_reply>& reply)
{
    node_status status = core.status();
    json body = { { "instance", settings.node.self.id }, { "data_centre", settings.node.dataCentre },
        { "view", status.promised.str() }, { "members", json::array() }, { "complete", status.acknowledged },
        { "closed", status.transferComplete }, { "ready", status.ready }, { "leaving", status.leaving },
        { "workers_held", status.workersHeld }, { "workers_usable", status.workersUsable },
        { "workers_unaccounted", status.unaccountedWorkers }, { "queued", status.queued },
        { "placed", status.placed }, { "answers_kept", status.keptAnswers },
        { "catalogue_next_offset", status.catalogueNext }, { "log_available", status.logAvailable } };
    for (const auto& m : core.currentView().members)
        body["members"].push_back(m.id);
    reply->send(200, { { "Content-Type", "application/json" } }, body.dump() + "\n");
}

} // namespace camphorwell
