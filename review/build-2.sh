#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "$out/case-$number" "$source" \
    review/standins-2/harness.cc
done
