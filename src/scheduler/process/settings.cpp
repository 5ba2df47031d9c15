// Reads and validates the settings of an instance. All faults are reported at once.
#include "scheduler/scheduler.h"

#include <fstream>

namespace camphorwell {

namespace {

    using nlohmann::json;

    const char* const schemaText = R"({
      "type": "object",
      "required": ["instance", "dataCentre", "address", "callers", "readiness", "internalPort", "store"],
      "properties": {
        "instance": { "type": "string", "minLength": 1, "maxLength": 200 },
        "dataCentre": { "type": "string", "minLength": 1 },
        "address": { "type": "string", "minLength": 7 },
        "callers": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "readiness": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
        "internalPort": { "type": "integer", "minimum": 1, "maximum": 65535 },
        "advice": { "type": "string", "default": "" },
        "processors": { "type": "number", "minimum": 0.001, "default": 1 },
        "cells": { "type": "integer", "minimum": 1, "maximum": 1, "default": 1 },
        "graceSeconds": { "type": "number", "minimum": 0.5, "default": 6 },
        "store": {
          "type": "object",
          "required": ["address"],
          "properties": {
            "address": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
            "partitions": { "type": "integer", "minimum": 1, "default": 1 },
            "callBytes": { "type": "integer", "minimum": 65536, "default": 1048576 },
            "recordBytes": { "type": "integer", "minimum": 4096, "default": 262144 },
            "appendMs": { "type": "number", "minimum": 0, "default": 0 },
            "appendMbPerSecond": { "type": "number", "minimum": 0, "default": 0 },
            "readMbPerSecond": { "type": "number", "minimum": 0, "default": 0 }
          }
        },
        "workers": {
          "type": "object",
          "default": {},
          "properties": {
            "leaseMs": { "type": "integer", "minimum": 500 },
            "maxLeaseMs": { "type": "integer", "minimum": 500, "default": 6000 },
            "stopMs": { "type": "integer", "minimum": 1, "default": 200 },
            "paceMs": { "type": "integer", "minimum": 1, "default": 100 },
            "remoteFactor": { "type": "number", "minimum": 1, "default": 1.5 }
          }
        },
        "keepSeconds": { "type": "integer", "minimum": 1, "default": 120 }
      }
    })";

    constexpr ms claimSpreadMs = 100; // Claims of different instances are spread over this time.
    // Further claim delay of an instance with almost no processor time.
    constexpr ms maxLowCpuClaimDelayMs = 150;
    // Cores from which on an instance has no further claim delay.
    constexpr double noDelayProcessors = 0.5;
    constexpr ms leaseMarginMs = 200; // Keeps leases below the worker's maximum, so that none is shortened.
    constexpr ms earlierGrantWindowMs = 6000; // Leaders of earlier releases granted leases for so long.

} // namespace

result<scheduler_settings> parseSchedulerSettings(const json& document)
{
    static const json schema = json::parse(schemaText);
    auto faults = validateJson(document, schema);
    if (!faults.empty())
        return boost::leaf::new_error(e_scheduler_settings { std::move(faults) });
    json given = withDefaults(document, schema);
    scheduler_settings out;
    out.instance = given["instance"];
    out.dataCentre = given["dataCentre"];
    out.address = given["address"];
    out.callers = given["callers"];
    out.readiness = given["readiness"];
    out.internalPort = given["internalPort"];
    out.advice = given["advice"];
    out.cells = given["cells"];
    out.graceMs = static_cast<ms>(given["graceSeconds"].get<double>() * 1000);
    out.store.address = given["store"]["address"];
    out.store.partitions = given["store"].value("partitions", 1);
    out.store.maxAppendBytes = given["store"].value("callBytes", size_t { 1 } << 20);
    out.cell.maxRecordBytes = given["store"].value("recordBytes", cell_settings().maxRecordBytes);
    out.store.appendMs = given["store"].value("appendMs", 0.0);
    out.store.appendMbPerS = given["store"].value("appendMbPerSecond", 0.0);
    out.store.readMbPerS = given["store"].value("readMbPerSecond", 0.0);
    json workers = given.value("workers", json::object());
    out.cell.maxLeaseMs = workers.value("maxLeaseMs", ms { 6000 });
    out.cell.leaseMs = workers.value("leaseMs", out.cell.maxLeaseMs - leaseMarginMs);
    out.cell.stopTimeoutMs = workers.value("stopMs", ms { 200 });
    out.cell.paceDelayMs = workers.value("paceMs", ms { 100 });
    out.cell.remoteFactor = workers.value("remoteFactor", 1.5);
    out.cell.finishedRetentionMs = given["keepSeconds"].get<ms>() * 1000;
    out.election.unstatedLeasesEndMs = earlierGrantWindowMs + worstLeaseMs(out.cell.maxLeaseMs);
    // A leader's renewals follow each other by an append at least, and a takeover needs several calls.
    ms appendMs = out.store.appendDurationMs(0);
    out.election.leaderTimeoutMs += 2 * appendMs;
    out.election.takeoverTimeoutMs += 3 * appendMs + out.store.readDurationMs(out.store.maxAppendBytes);
    // Among instances that could claim a cell, those with more processor time claim first.
    out.processors = given["processors"];
    double claimShare = std::min(out.processors, noDelayProcessors);
    out.election.claimDelayMs = static_cast<ms>(stableHash(out.instance) % claimSpreadMs)
        + static_cast<ms>((1 - claimShare / noDelayProcessors) * maxLowCpuClaimDelayMs);
    return out;
}

result<scheduler_settings> readSchedulerSettings(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return boost::leaf::new_error(e_scheduler_settings { { { "", file, "cannot be read" } } });
    auto document = json::parse(in, nullptr, false);
    if (document.is_discarded())
        return boost::leaf::new_error(e_scheduler_settings { { { "", file, "is not JSON" } } });
    return parseSchedulerSettings(document);
}

std::vector<std::string> adoptSettings(scheduler_settings& current, const scheduler_settings& loaded)
{
    current.cell = loaded.cell;
    current.graceMs = loaded.graceMs;
    std::vector<std::string> needRestart;
    auto compare = [&](const char* name, const auto& currentValue, const auto& loadedValue) {
        if (currentValue != loadedValue)
            needRestart.push_back(name);
    };
    compare("instance", current.instance, loaded.instance);
    compare("dataCentre", current.dataCentre, loaded.dataCentre);
    compare("address", current.address, loaded.address);
    compare("callers", current.callers, loaded.callers);
    compare("readiness", current.readiness, loaded.readiness);
    compare("internalPort", current.internalPort, loaded.internalPort);
    compare("advice", current.advice, loaded.advice);
    compare("store.address", current.store.address, loaded.store.address);
    compare("store.partitions", current.store.partitions, loaded.store.partitions);
    compare("store.appendMs", current.store.appendMs, loaded.store.appendMs);
    compare("store.appendMbPerSecond", current.store.appendMbPerS, loaded.store.appendMbPerS);
    compare("store.readMbPerSecond", current.store.readMbPerS, loaded.store.readMbPerS);
    compare("cells", current.cells, loaded.cells);
    return needRestart;
}

} // namespace camphorwell
