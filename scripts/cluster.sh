# Functions that start and stop a small cluster on 127.x. Source from bash.
#
# CLUSTER_NET   second and third octet of the addresses, default 31.1
# CLUSTER_BIN   folder of the programs
# CLUSTER_DIR   folder for settings and logs

CLUSTER_NET=${CLUSTER_NET:-31.1}
CLUSTER_BIN=${CLUSTER_BIN:-build}
CLUSTER_DIR=${CLUSTER_DIR:-$(mktemp -d)}
CLUSTER_PIDS=()
export POLLENRING_OPERATOR_SECRET=operator-secret-of-the-demo
PLATFORM="127.$CLUSTER_NET.250:7900"
mkdir -p "$CLUSTER_DIR"

start_platform() {
  "$CLUSTER_BIN/pollenring-standin" platform --listen "$PLATFORM" \
    2>"$CLUSTER_DIR/platform.log" &
  CLUSTER_PIDS+=($!)
  PLATFORM_PID=$!
}

# start_node INDEX ZONE
start_node() {
  local ip="127.$CLUSTER_NET.$1"
  cat > "$CLUSTER_DIR/node-$1.toml" <<SETTINGS
[node]
zone = "$2"
region = "sk"
[listen]
callers = "$ip:7000"
targets = "$ip:7001"
nodes = "$ip:7002"
operators = "$ip:7003"
[secrets]
nodes = "node-secret-of-the-demo"
operators = "$POLLENRING_OPERATOR_SECRET"
targets = "target-secret-of-the-demo"
[platform]
address = "$PLATFORM"
SETTINGS
  "$CLUSTER_BIN/pollenringd" --settings "$CLUSTER_DIR/node-$1.toml" \
    >>"$CLUSTER_DIR/node-$1.log" 2>&1 &
  CLUSTER_PIDS+=($!)
  eval "NODE_PID_$1=$!"
}

# start_target INDEX SERVICE SLOTS LATENCY_MS [CALLS]
start_target() {
  local ip="127.$CLUSTER_NET.$1"
  "$CLUSTER_BIN/pollenring-standin" target --listen "$ip:8000" \
    --node "$ip:7001" --secret target-secret-of-the-demo --service "$2" \
    --slots "$3" --latency-ms "$4" --calls "${5:-}" --seed "$1" \
    2>>"$CLUSTER_DIR/target-$1.log" &
  CLUSTER_PIDS+=($!)
  eval "TARGET_PID_$1=$!"
}

# wait_members INDEX COUNT: waits until the node sees COUNT targets or more and
# every slot has a holder
wait_members() {
  local i seen
  for i in $(seq 150); do
    seen=$("$CLUSTER_BIN/pollenring" status --json \
      --node "127.$CLUSTER_NET.$1:7003" 2>/dev/null |
      tr -d ' \n' | grep -o '"service":' | wc -l || true)
    if [ "$seen" -ge "$2" ] && "$CLUSTER_BIN/pollenring" status \
      --node "127.$CLUSTER_NET.$1:7003" 2>/dev/null |
      grep -q 'slots without holder 0'; then
      return 0
    fi
    sleep 0.1
  done
  echo "the cluster did not come up; logs are in $CLUSTER_DIR" >&2
  return 1
}

# issue_key INDEX WORKSPACE: issues a key and prints it
issue_key() {
  "$CLUSTER_BIN/pollenring" keys issue "$2" --json --author demo \
    --node "127.$CLUSTER_NET.$1:7003" | grep '^{"key"' | cut -d'"' -f4
}

stop_cluster() {
  [ "${#CLUSTER_PIDS[@]}" -eq 0 ] || kill -9 "${CLUSTER_PIDS[@]}" 2>/dev/null || true
  wait "${CLUSTER_PIDS[@]}" 2>/dev/null || true
  CLUSTER_PIDS=()
}
