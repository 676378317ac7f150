#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Run after the build of
# the deploy file, which makes target/pollenringd.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review/standin \
  review/standin/*.cc
