// Settings of an instance, checked as a whole.
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
            "callBytes": { "type": "integer", "minimum": 65536, "default": 1048576 }
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

    constexpr ms claimSpreadMs = 100; // Instances claim at different times within this.
    constexpr ms claimSlowestMs = 150; // An instance with hardly any processor time waits so much longer.
    constexpr double fullClaimShare = 0.5; // Of a core; with this or more there is no such wait.
    constexpr ms leaseMarginMs = 200; // Below the worker's own bound, so that it is never shortened.

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
    out.store.callBytes = given["store"].value("callBytes", size_t { 1 } << 20);
    json workers = given.value("workers", json::object());
    out.cell.maxLeaseMs = workers.value("maxLeaseMs", ms { 6000 });
    out.cell.leaseMs = workers.value("leaseMs", out.cell.maxLeaseMs - leaseMarginMs);
    out.cell.stopMs = workers.value("stopMs", ms { 200 });
    out.cell.paceMs = workers.value("paceMs", ms { 100 });
    out.cell.remoteFactor = workers.value("remoteFactor", 1.5);
    out.cell.keepMs = given["keepSeconds"].get<ms>() * 1000;
    out.cell.priorGrantMs = out.ownership.grantForMs;
    // Among instances that could claim a cell, those with more processor time come first.
    out.processors = given["processors"];
    double share = std::min(out.processors, fullClaimShare);
    out.ownership.claimDelayMs = static_cast<ms>(stableHash(out.instance) % claimSpreadMs)
        + static_cast<ms>((1 - share / fullClaimShare) * claimSlowestMs);
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

std::vector<std::string> adoptSettings(scheduler_settings& now, const scheduler_settings& wanted)
{
    now.cell = wanted.cell;
    now.graceMs = wanted.graceMs;
    std::vector<std::string> fixed;
    auto compare = [&](const char* name, const auto& has, const auto& asked) {
        if (has != asked)
            fixed.push_back(name);
    };
    compare("instance", now.instance, wanted.instance);
    compare("dataCentre", now.dataCentre, wanted.dataCentre);
    compare("address", now.address, wanted.address);
    compare("callers", now.callers, wanted.callers);
    compare("readiness", now.readiness, wanted.readiness);
    compare("internalPort", now.internalPort, wanted.internalPort);
    compare("advice", now.advice, wanted.advice);
    compare("store.address", now.store.address, wanted.store.address);
    compare("store.partitions", now.store.partitions, wanted.store.partitions);
    compare("cells", now.cells, wanted.cells);
    return fixed;
}

} // namespace camphorwell
