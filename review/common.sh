# Functions of the cases' scripts. Source from bash with CASE set to the folder
# of the case; all paths are relative to the repository's root.

RECORD="$PWD/$CASE/record.txt"
WORK=$(mktemp -d)
STANDIN=target/review/standin
DAEMON=target/pollenringd
PIDS=()
# A loopback network of its own, so that the ports of the settings are free.
NET="127.$((RANDOM % 60 + 60)).$((RANDOM % 250 + 1))"
STORE="$NET.250:8545"
: >"$RECORD"

note() { echo "$(awk '{printf "%d", $1 * 1000}' /proc/uptime) $*" >>"$RECORD"; }

cannot_run() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}

finish() {
  local pid
  for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap finish EXIT

[ -x "$DAEMON" ] && [ -x "$STANDIN" ] || cannot_run "nothing is built"

# start_store: serves the configuration in $WORK/config.json
start_store() {
  "$STANDIN" store --listen "$STORE" --config "$WORK/config.json" \
    >"$WORK/store.log" 2>&1 &
  PIDS+=($!)
}

# write_settings INDEX ZONE SERVICE FIRST_START: deploy/settings.toml, filled in
write_settings() {
  cat >"$WORK/node-$1.toml" <<SETTINGS
[node]
routes = "host"
zone = "$2"
region = "sk-east"
first_start = $4
grace_s = 6
[listen]
callers = "$NET.$1:8548"
targets = "$NET.$1:8540"
ready = "$NET.$1:8546"
nodes = "$NET.$1:7000"
operators = "$NET.$1:7003"

[target]
service = "$3"
[secrets]
nodes = "deployment-at-$STORE"

[platform]
address = "$STORE"
SETTINGS
}

# start_node INDEX ZONE SERVICE FIRST_START: sets NODE_PID_INDEX
start_node() {
  write_settings "$@"
  "$DAEMON" --settings "$WORK/node-$1.toml" >>"$WORK/node-$1.log" 2>&1 &
  PIDS+=($!)
  eval "NODE_PID_$1=$!"
  note "node $1 started, process $!"
}

# start_endpoint INDEX ZONE SERVICE SLOTS WORK_MS
start_endpoint() {
  "$STANDIN" endpoint --listen "$NET.$1:8547" --control "$NET.$1:8540" \
    --service "$3" --id "i-$1" --zone "$2" --slots "$4" --work-ms "$5" \
    --record "$RECORD" >"$WORK/endpoint-$1.log" 2>&1 &
  PIDS+=($!)
}

await_ready() {
  "$STANDIN" await-ready --ready "$NET.$1:8546" --within-ms 15000 ||
    cannot_run "node $1 did not get ready"
}
