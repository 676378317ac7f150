#!/usr/bin/env bash
exec "$(dirname "$0")/../run-3.sh" 12 drain_case store
