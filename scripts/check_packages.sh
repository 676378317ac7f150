#!/usr/bin/env bash
# Checks that every library of a program comes from a package that the deploy
# file names, or from one that such a package depends on.
#   scripts/check_packages.sh [PROGRAM]
set -euo pipefail
cd "$(dirname "$0")/.."
program=${1:-build/pollenringd}
mapfile -t named < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml |
  tr -d '" ' | tr ',' '\n')
[ "${#named[@]}" -gt 0 ] || {
  echo "check_packages: deploy/system.toml names no packages" >&2
  exit 1
}
mapfile -t allowed < <(apt-cache depends --recurse --no-recommends \
  --no-suggests --no-conflicts --no-breaks --no-replaces --no-enhances \
  "${named[@]}" | grep -o '^[a-z0-9][^ ]*' | cut -d: -f1 | sort -u)
# owner_of FILE: the package that installed it. With a merged /usr, a package
# may name it by its path below / or below /usr.
owner_of() {
  local file
  file=$(readlink -f "$1")
  { dpkg -S "$file" || dpkg -S "${file#/usr}"; } 2>/dev/null | head -1 |
    cut -d: -f1
}

failed=0
libraries=0
while read -r library; do
  libraries=$((libraries + 1))
  owner=$(owner_of "$library") || true
  if ! printf '%s\n' "${allowed[@]}" | grep -qxF "${owner:-none}"; then
    echo "check_packages: $library (${owner:-of no package}) is of no" \
      "package that deploy/system.toml names" >&2
    failed=1
  fi
done < <(ldd "$program" | grep -oE '/[^ ]+')
if ldd "$program" | grep -F 'not found' >&2; then failed=1; fi
echo "check_packages: $libraries libraries of $program"
[ "$failed" -eq 0 ] && [ "$libraries" -gt 0 ]
