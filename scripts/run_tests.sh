#!/usr/bin/env bash
# Runs each test case in its own process. Failures listed in KNOWN-RED.txt are
# printed but don't fail the run; all others do. Builds the landed versions that
# mixed-version tests run first.
set -uo pipefail
cd "$(dirname "$0")/.."
while read -r version; do
  scripts/build_version.sh "$version" || exit 1
done <test/landed_versions.txt
passed=0
failed=0
known_failed=0
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(grep -o '^test: .*' KNOWN-RED.txt | cut -c7-)
fi
mapfile -t names < <(build/pollenring_test --list-test-names-only)
for name in "${names[@]}"; do
  [ -n "$name" ] || continue
  # Catch2 reads commas as separators and brackets as tags.
  pattern=${name//,/\\,}
  if output=$(timeout 300 build/pollenring_test "$pattern" 2>&1); then
    passed=$((passed + 1))
    echo "ok      $name"
    continue
  fi
  red=no
  for entry in "${known[@]:-}"; do [ "$entry" = "$name" ] && red=yes; done
  echo "$output" | tail -40
  if [ "$red" = yes ]; then
    known_failed=$((known_failed + 1))
    echo "KNOWN RED  $name"
  else
    failed=$((failed + 1))
    echo "FAILED  $name"
  fi
done
[ "$known_failed" -eq 0 ] || echo "known red, passed over: $known_failed"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
