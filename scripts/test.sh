#!/usr/bin/env bash
# Builds everything and runs all tests; the last line counts the results.
set -uo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -B build >/dev/null || exit 1
ninja -C build || exit 1
exec scripts/run_tests.sh
