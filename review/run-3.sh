#!/usr/bin/env bash
# run-3.sh CASE PROGRAM [ARGUMENT]: plays a case in a temporary folder; exits
# with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout 118 "target/review-3/$2" "review/$1/record.txt" "${@:3}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
