#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Run it after the build of the deploy file,
# whose libraries it links.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc -I.)
g++ "${flags[@]}" -o "$out/call" review/standin-2/call.cpp
g++ "${flags[@]}" -o "$out/platform" review/standin-2/platform.cpp standins/store_standin.cpp \
    -Ltarget -lcamphorwell_platform -lcamphorwell_jobs -lcamphorwell_net -lcamphorwell_peer_hub \
    -lcamphorwell_schema -lcamphorwell_base -lcbor -lsimdjson -levent -lssl -lcrypto
