#!/usr/bin/env bash
# Measures CPU, memory and traffic of idle nodes at several cluster sizes.
#   scripts/idle_cost.sh SIZE...
set -euo pipefail
cd "$(dirname "$0")/.."
CLUSTER_NET=36.1
source scripts/cluster.sh
trap stop_cluster EXIT
metric() {
  curl -s -H "authorization: Bearer $POLLENRING_OPERATOR_SECRET" \
    "http://127.$CLUSTER_NET.$1:7003/metrics" | grep "^$2 " | cut -d' ' -f2
}
ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
seconds=15
for size in "$@"; do
  start_platform
  for i in $(seq "$size"); do
    start_node "$i" "zone-$((i % 3))"
    start_target "$i" "service-$((i % 9))" 8 5
  done
  wait_members 1 "$size"
  sleep 12
  reads=$(curl -s -X POST "http://$PLATFORM/control" -d '{}')
  before=0
  bytes_before=0
  for i in $(seq "$size"); do
    pid_name="NODE_PID_$i"
    before=$((before + $(ticks "${!pid_name}")))
    bytes_before=$((bytes_before + $(metric "$i" pollenring_control_bytes_sent | cut -d. -f1 | xargs printf '%.0f')))
  done
  sleep "$seconds"
  after=0
  bytes_after=0
  memory=0
  for i in $(seq "$size"); do
    pid_name="NODE_PID_$i"
    after=$((after + $(ticks "${!pid_name}")))
    bytes_after=$((bytes_after + $(metric "$i" pollenring_control_bytes_sent | cut -d. -f1 | xargs printf '%.0f')))
    memory=$((memory + $(awk '/VmRSS/{print $2}' "/proc/${!pid_name}/status")))
  done
  echo "nodes $size: per node, core $(awk "BEGIN{print ($after-$before)/$size/$seconds}") %, datagram bytes/s $(awk "BEGIN{print ($bytes_after-$bytes_before)/$size/$seconds}"), memory $((memory / size)) kB; platform before $reads after $(curl -s -X POST "http://$PLATFORM/control" -d '{}')"
  stop_cluster
  sleep 1
done
