#!/usr/bin/env bash
# Measures the latency that two hops through nodes add to a call, compared to
# direct calls to the target in the same run.
#   scripts/overhead.sh [CALLS_PER_SECOND] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-2000}
seconds=${2:-5}
CLUSTER_NET=32.1
source scripts/cluster.sh
trap stop_cluster EXIT
start_platform
start_node 1 a
start_node 2 b
start_target 2 plain 256 0
wait_members 1 1
mkdir -p "$CLUSTER_DIR/contracts"
cat > "$CLUSTER_DIR/contracts/plain.toml" <<CONTRACT
service = "plain"
callers = ["public"]
[[route]]
method = "GET"
path = "/"
[[workspace]]
name = "w"
rate = "100000/s"
burst = 100000
CONTRACT
build/pollenring publish "$CLUSTER_DIR/contracts" --node "127.$CLUSTER_NET.1:7003" >/dev/null
key=$(issue_key 1 w)
sleep ${SETTLE:-6}
scenario() {
  cat <<SCENARIO
nodes = ["$1"]
length = "${seconds}s"
retries = 0
[[caller]]
workspace = "w"
key = "$key"
rate = "100000/s"
burst = 100000
demand = "$rate/s"
path = "$2"
SCENARIO
}
scenario "127.$CLUSTER_NET.2:8000" / > "$CLUSTER_DIR/direct.toml"
scenario "127.$CLUSTER_NET.1:7000" /plain/ > "$CLUSTER_DIR/layer.toml"
for round in 1 2 3; do
  for way in direct layer; do
    before=$(awk '{print $14+$15}' "/proc/$NODE_PID_1/stat")
    build/pollenring-load --scenario "$CLUSTER_DIR/$way.toml" \
      --json "$CLUSTER_DIR/$way.json" >/dev/null
    after=$(awk '{print $14+$15}' "/proc/$NODE_PID_1/stat")
    tr -d ' \n' < "$CLUSTER_DIR/$way.json" | grep -oE \
      '"(latency_p50_ms|latency_p99_ms|whole|wanted)":[0-9.]+' | tr '\n' ' '
    echo "$way ingress-cpu-ticks $((after - before))"
  done
done
grep VmRSS "/proc/$NODE_PID_1/status"
