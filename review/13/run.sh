#!/usr/bin/env bash
exec "$(dirname "$0")/../run-3.sh" 13 drain_case twice
