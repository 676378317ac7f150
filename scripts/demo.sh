#!/usr/bin/env bash
# Runs the three-level call graph of examples/kapitola under load on stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x build/pollenringd ]; then
  scripts/setup.sh
  cmake -G Ninja -B build >/dev/null
  ninja -C build
fi
source scripts/cluster.sh
trap stop_cluster EXIT

start_platform
zones=(a b c)
services=(schedules meetings editions)
calls=("meetings:/roster" "editions:/details" "")
for i in 1 2 3 4 5 6; do
  start_node "$i" "${zones[$(((i - 1) % 3))]}"
done
for i in 1 2 3 4 5 6; do
  kind=$(((i - 1) / 2))
  start_target "$i" "${services[$kind]}" 16 4 "${calls[$kind]}"
done
wait_members 1 6

build/pollenring publish examples/kapitola --author demo \
  --node "127.$CLUSTER_NET.1:7003"
scenario="$CLUSTER_DIR/scenario.toml"
{
  echo 'nodes = ["127.'$CLUSTER_NET'.1:7000", "127.'$CLUSTER_NET'.3:7000",' \
    '"127.'$CLUSTER_NET'.6:7000"]'
  echo 'length = "8s"'
  echo 'trigger_from = "3s"'
  echo 'trigger_to = "5s"'
  for row in bratislava-network:120:90:3 kosice-network:80:60:1 \
    trnava-readers:20:15:1 presov-club:10:7:1; do
    IFS=: read -r workspace rate demand surge <<<"$row"
    key=$(issue_key 1 "$workspace")
    cat <<CALLER
[[caller]]
workspace = "$workspace"
key = "$key"
rate = "$rate/s"
burst = $rate
demand = "$demand/s"
surge = $surge
path = "/schedules/week"
CALLER
  done
} > "$scenario"
build/pollenring-load --scenario "$scenario" --json "$CLUSTER_DIR/report.json"
build/pollenring status --node "127.$CLUSTER_NET.2:7003"
