#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml has left the project's
# libraries in target/. Writes to review/bin/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
g++ -std=c++20 -O2 -Isrc -I. review/standin/platform.cpp standins/store_standin.cpp \
    target/libcamphorwell_platform.a target/libcamphorwell_jobs.a target/libcamphorwell_net.a \
    target/libcamphorwell_peer_hub.a target/libcamphorwell_schema.a target/libcamphorwell_base.a \
    -levent -lcbor -lsimdjson -lxxhash -lglog -lssl -lcrypto -o review/bin/camphorwell-review-platform
