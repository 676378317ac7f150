#!/usr/bin/env bash
# Checks formatting and runs clang-tidy; needs a configured build folder.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}" || exit 1
git ls-files 'src/*.cc' 'platform/*.cc' 'tools/*.cc' |
  xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build 2>/dev/null || exit 1
echo "format and lint: clean"
