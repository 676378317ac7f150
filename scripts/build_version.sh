#!/usr/bin/env bash
# Builds pollenringd at a commit of this repository unless it is built already,
# and prints the path of the program.
#   scripts/build_version.sh COMMIT
#
# BUILD_JOBS   parallel compile jobs, default one per core
set -euo pipefail
cd "$(dirname "$0")/.."
asked=${1:?usage: scripts/build_version.sh COMMIT}
if ! full=$(git rev-parse --verify --quiet "$asked^{commit}"); then
  echo "build_version: commit $asked is not in this repository's history;" \
    "a shallow clone lacks it: git fetch --unshallow" >&2
  exit 1
fi
folder="build/versions/${full:0:7}"
program="$PWD/$folder/out/pollenringd"
if [ ! -x "$program" ]; then
  mkdir -p "$folder"
  # Renamed once complete: an interrupted extraction leaves no src folder.
  rm -rf "$folder/src" "$folder/src.part"
  mkdir "$folder/src.part"
  git archive "$full" | tar -x -C "$folder/src.part"
  mv "$folder/src.part" "$folder/src"
  {
    cmake -G Ninja -S "$folder/src" -B "$folder/out" -DPOLLENRING_DAEMON_ONLY=ON
    ninja -C "$folder/out" -j "${BUILD_JOBS:-$(nproc)}" pollenringd
  } >"$folder/build.log" 2>&1 || {
    echo "build_version: $asked does not build" >&2
    tail -40 "$folder/build.log" >&2
    exit 1
  }
fi
echo "$program"
