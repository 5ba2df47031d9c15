#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cmake -S "$root/review/standin-3" -B "$root/target/review-3" -G Ninja -DCMAKE_BUILD_TYPE=Release
ninja -C "$root/target/review-3" review3-platform review3-call
