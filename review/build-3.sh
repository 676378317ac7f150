#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in memory_case drain_case; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -Ireview/standins-3 \
    review/standins-3/http.cc review/standins-3/fleet.cc \
    "review/standins-3/$name.cc" -o "$out/$name"
done
