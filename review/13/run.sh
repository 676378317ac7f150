#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run-3.sh" 13 drain_case twice
