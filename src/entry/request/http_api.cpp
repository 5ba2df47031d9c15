// The HTTP interface of callers and operators.
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
    constexpr size_t maxKeyLength = 200; // Characters of an idempotency key.
    constexpr int64_t maxDeadlineMs = 3'600'000;
    constexpr int64_t pollDeadlineMs = 5000;
    constexpr int64_t acceptDeadlineMs = 10'000; // For batch work to be accepted.
    constexpr int retryAfterSeconds = 1;

    bool startsWith(const std::string& text, std::string_view prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    std::string quoteEtag(uint64_t version) { return "\"" + std::to_string(version) + "\""; }

    // The version in an If-Match header; nothing when it is malformed.
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

    // A whole number of milliseconds in 1 to `maxDeadlineMs`.
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

    bool wantsAsync(const http_request& asked)
    {
        const std::string* prefer = asked.header("prefer");
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

    std::string_view toString(fold_verdict verdict)
    {
        constexpr std::string_view names[] = { "won", "lost", "invalid", "already" };
        return names[static_cast<size_t>(verdict)];
    }

} // namespace

void entry_daemon::parts::refuse(
    const std::shared_ptr<http_reply>& reply, const refusal& why, const work_id& id)
{
    const auto& info = describe(why.code);
    json body = { { "type", "about:blank" }, { "title", info.text }, { "status", info.httpStatus },
        { "detail", why.detail }, { "reason", info.name }, { "ran", camphorwell::toString(info.ran) } };
    if (!id.empty())
        body["id"] = id;
    header_list headers = { { "Content-Type", "application/problem+json" } };
    if (info.retryHelps)
        headers.emplace_back("Retry-After", std::to_string(retryAfterSeconds));
    metrics.countRequest(std::string(info.name));
    reply->send(info.httpStatus, headers, body.dump(-1, ' ', true, json::error_handler_t::replace) + "\n");
}

void entry_daemon::parts::serve(const http_request& asked, const std::shared_ptr<http_reply>& reply)
{
    auto text = [&](const std::string& body) {
        reply->send(200, { { "Content-Type", "text/plain" } }, body);
    };
    if (asked.oversized) {
        metrics.countConnection(reason::body_too_large);
        refuse(reply,
            { reason::body_too_large, "the limit is " + std::to_string(settings.http.bodyBytes) + " bytes" },
            {});
    } else if (startsWith(asked.path, workPath)) {
        serveWork(asked, reply);
    } else if (startsWith(asked.path, cataloguePath)) {
        serveCatalogue(asked, reply);
    } else if (asked.path == "/v1/history") {
        serveHistory(reply);
    } else if (asked.path == "/v1/status") {
        serveStatus(reply);
    } else if (startsWith(asked.path, explainPath)) {
        explanation found = core.explain(asked.path.substr(explainPath.size()));
        json body = { { "text", found.text }, { "fields", json::array() } };
        for (const auto& [name, value] : found.fields)
            body["fields"].push_back({ name, value });
        reply->send(200, { { "Content-Type", "application/json" } }, body.dump() + "\n");
    } else if (asked.path == "/metrics") {
        text(metrics.text(core, hub.bytesSent()));
    } else if (asked.path == "/healthz") {
        text("ok\n");
    } else if (asked.path == "/readyz") {
        bool ready = core.status().ready && !leaving;
        reply->send(
            ready ? 200 : 503, { { "Content-Type", "text/plain" } }, ready ? "ready\n" : "not ready\n");
    } else if (asked.path == "/v1/drain" && asked.method == "POST") {
        text("draining\n");
        loop.after(0, [] { raise(SIGTERM); });
    } else {
        metrics.countConnection(reason::bad_request);
        refuse(reply, { reason::bad_request, "no such path: " + asked.path.substr(0, 100) }, {});
    }
}

void entry_daemon::parts::track(
    const std::shared_ptr<http_reply>& reply, request asked, const std::string& entry)
{
    uint64_t ticket = nextTicket++;
    replies[ticket] = { reply, entry, event_loop::now() };
    feed(submission { ticket, std::move(asked) });
}

void entry_daemon::parts::serveWork(const http_request& asked, const std::shared_ptr<http_reply>& reply)
{
    std::string rest = asked.path.substr(workPath.size());
    if (asked.method == "POST")
        return submitWork(asked, reply, rest);
    bool known = asked.method == "GET" || asked.method == "DELETE";
    if (!known || homeOfWork(rest).empty()) {
        metrics.countConnection(reason::bad_request);
        return refuse(
            reply, { reason::bad_request, asked.method + " of work id " + rest.substr(0, 100) }, {});
    }
    request onward;
    onward.verb = asked.method == "GET" ? verb::poll : verb::cancel;
    onward.id = rest;
    onward.deadlineMs = pollDeadlineMs;
    track(reply, std::move(onward), {});
}

void entry_daemon::parts::submitWork(
    const http_request& asked, const std::shared_ptr<http_reply>& reply, const entry_name& name)
{
    auto reject = [&](reason code, const std::string& detail) {
        metrics.countConnection(code);
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
    bool batch = wanted.cls == work_class::batch;
    request onward;
    onward.entry = name;
    onward.body = asked.body;
    onward.catalogueNext = core.currentCatalogue().nextOffset();
    onward.respondAsync = batch || wantsAsync(asked);
    onward.deadlineMs = batch ? acceptDeadlineMs : wanted.limits.deadlineMs;
    if (const std::string* deadline = asked.header("x-deadline-ms")) {
        auto parsed = parseDeadline(*deadline);
        if (!parsed)
            return reject(reason::bad_request,
                "header X-Deadline-Ms: " + deadline->substr(0, 40) + ": must be 1 to 3600000");
        onward.deadlineMs = *parsed;
    }
    const std::string* key = asked.header("idempotency-key");
    if (!key && !wanted.idempotent)
        return reject(reason::key_required, "entry " + name + " is not idempotent");
    if (key && !validKey(*key))
        return reject(reason::bad_request, "header Idempotency-Key: must be 1 to 200 printable characters");
    // Accepted work outlives this instance, so it needs an owner by key even when the caller gave none.
    if (key)
        onward.id = keyedWorkId(homeOfKey(*key, settings.node.dataCentres()), name, *key);
    else if (batch)
        onward.id = keyedWorkId(settings.node.dataCentre, name, randomKey());
    track(reply, std::move(onward), name);
}

void entry_daemon::parts::perform(const answer_action& act)
{
    auto found = replies.find(act.ticket);
    if (found == replies.end())
        return;
    open_request open = std::move(found->second);
    replies.erase(found);
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

void entry_daemon::parts::serveCatalogue(const http_request& asked, const std::shared_ptr<http_reply>& reply)
{
    const header_list headers = { { "Content-Type", "application/json" } };
    std::string name
        = asked.path.size() > cataloguePath.size() + 1 ? asked.path.substr(cataloguePath.size() + 1) : "";
    if (name.empty() && asked.method == "GET") {
        json body = { { "entries", json::array() }, { "next_offset", core.currentCatalogue().nextOffset() } };
        for (const auto& [key, item] : core.currentCatalogue().entries())
            body["entries"].push_back(versionedJson(item));
        return reply->send(200, headers, body.dump() + "\n");
    }
    if (asked.method == "PUT" || asked.method == "DELETE")
        return changeCatalogue(asked, reply, name);
    const auto* found = core.currentCatalogue().find(name);
    if (!found)
        return refuse(reply, { reason::unknown_entry, "entry " + name.substr(0, 100) }, {});
    header_list tagged = headers;
    tagged.emplace_back("ETag", quoteEtag(found->version));
    reply->send(200, tagged, versionedJson(*found).dump() + "\n");
}

void entry_daemon::parts::changeCatalogue(
    const http_request& asked, const std::shared_ptr<http_reply>& reply, const entry_name& name)
{
    const std::string* match = asked.header("if-match");
    auto base = match ? parseEtag(*match) : std::nullopt;
    if (!base)
        return refuse(reply,
            { reason::bad_request, "header If-Match: must be the quoted version, \"0\" for none" }, {});
    catalogue_record record;
    record.changeId = settings.node.self.id + "." + std::to_string(settings.node.self.incarnation) + "."
        + std::to_string(nextTicket);
    record.name = name;
    record.baseVersion = *base;
    if (const std::string* author = asked.header("x-author"))
        record.author = author->substr(0, maxKeyLength);
    if (asked.method == "PUT") {
        std::vector<field_error> faults;
        auto parsed = parseEntry(json::parse(asked.body, nullptr, false), faults);
        if (parsed && parsed->name != name)
            faults.push_back({ "/name", parsed->name, "must be the name in the path" });
        if (!faults.empty()) {
            std::string detail;
            for (const auto& fault : faults)
                detail += (detail.empty() ? "" : "; ") + fault.str();
            return refuse(reply, { reason::bad_request, detail }, {});
        }
        record.body = asked.body;
    }
    uint64_t ticket = nextTicket++;
    replies[ticket] = { reply, {}, event_loop::now() };
    feed(catalogue_change { ticket, std::move(record) });
}

void entry_daemon::parts::perform(const change_action& act)
{
    auto found = replies.find(act.ticket);
    if (found == replies.end())
        return;
    auto reply = found->second.reply;
    replies.erase(found);
    if (act.status == append_status::refused)
        return refuse(reply, { reason::log_unavailable, "the change was not recorded" }, {});
    if (!act.verdict)
        return refuse(reply, { reason::outcome_unknown, "the log has not confirmed the change" }, {});
    if (*act.verdict == fold_verdict::lost)
        return refuse(reply, { reason::version_conflict, "another change was recorded first" }, {});
    if (*act.verdict != fold_verdict::won)
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
