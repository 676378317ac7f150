#!/usr/bin/env bash
# Runs one seeded experiment under three policies and prints their metrics:
# pollenring, no control, and fixed limits per target with retries at each hop.
#   scripts/experiment.sh kapitola|kestrel [SEED] [OUT_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
shape=${1:-kapitola}
seed=${2:-1}
out=${3:-build/experiment-$shape}
policies=${POLICIES:-pollenring none fixed}
mkdir -p "$out"
CLUSTER_NET=35.1
source scripts/cluster.sh
trap stop_cluster EXIT

# Targets: INDEX SERVICE SLOTS LATENCY_MS CALLS. The last service is the deepest
# one; its latency is multiplied during the trigger.
if [ "$shape" = kapitola ]; then
  contracts=examples/kapitola
  targets=("1 schedules 20 15 meetings:/roster" "2 schedules 20 15 meetings:/roster"
    "3 schedules 20 15 meetings:/roster" "4 meetings 12 15 editions:/details"
    "5 meetings 12 15 editions:/details" "6 meetings 12 15 editions:/details"
    "7 meetings 12 15 editions:/details" "8 editions 4 20" "9 editions 4 20"
    "10 editions 4 20")
  front=schedules
  deep=editions
  read_path=/schedules/week
  write_path=/meetings/confirm
  write_service=meetings
  # workspace:rate:demand:surge
  workspaces=(bratislava-network:200:130:6 kosice-network:150:100:3
    zilina-network:60:40:3 trnava-readers:40:28:3 nitra-readers:30:20:3
    presov-club:20:14:3 martin-club:15:10:3 poprad-club:10:7:3)
else
  contracts=examples/kestrel
  targets=("1 catalogue 24 10 drawings:/sheet" "2 catalogue 24 10 drawings:/sheet"
    "3 catalogue 24 10 drawings:/sheet" "4 booking 24 10 catalogue:/item"
    "5 booking 24 10 catalogue:/item" "6 booking 24 10 catalogue:/item"
    "7 drawings 12 10 tracking:/status" "8 drawings 12 10 tracking:/status"
    "9 drawings 12 10 tracking:/status" "10 tracking 4 20" "11 tracking 4 20"
    "12 tracking 4 20")
  front=booking
  deep=tracking
  read_path=/booking/quote
  write_path=/booking/orders
  write_service=booking
  workspaces=(north-franchise:200:130:6 south-franchise:150:100:3
    east-franchise:60:40:3 harbour-workshop:40:28:3 valley-workshop:30:20:3
    bridge-workshop:20:14:3 mill-workshop:15:10:3 lake-workshop:10:7:3)
fi
slow_factor=2
capacity_in_trigger=300

write_workspaces() {
  for row in "${workspaces[@]}"; do
    IFS=: read -r name rate demand surge <<<"$row"
    printf '[[workspace]]\nname = "%s"\nrate = "%s/s"\nburst = %s\n' \
      "$name" "$rate" "$rate"
  done
}

# write_scenario NODES FRONT_PATH WRITE_PATH
write_scenario() {
  printf 'nodes = [%s]\nlength = "13s"\ntrigger_from = "4s"\n' "$1"
  printf 'trigger_to = "8s"\nretries = 3\nretry_pause = "50ms"\n'
  printf 'timeout = "2s"\nseed = %s\ncapacity = "%s/s"\n' "$seed" \
    "$capacity_in_trigger"
  for row in "${targets[@]}"; do
    read -r index service _ latency _ <<<"$row"
    [ "$service" = "$deep" ] || continue
    printf '[[slow]]\naddress = "127.%s.%s:8000"\n' "$CLUSTER_NET" "$index"
    printf 'latency_ms = %s\nnormal_ms = %s\n' $((latency * slow_factor)) \
      "$latency"
  done
  for row in "${workspaces[@]}"; do
    IFS=: read -r name rate demand surge <<<"$row"
    for kind in read write; do
      printf '[[caller]]\nworkspace = "%s"\nkey = "%s"\nrate = "%s/s"\n' \
        "$name" "${keys[$name]:-none}" "$rate"
      printf 'burst = %s\nsurge = %s\n' "$rate" "$surge"
      if [ "$kind" = read ]; then
        printf 'demand = "%s/s"\npath = "%s"\n' "$demand" "$2"
      else
        printf 'demand = "%s/min"\nmethod = "POST"\nbody = "{}"\npath = "%s"\n' \
          $((demand * 3)) "$3"
      fi
    done
  done
}

declare -A keys
addresses_of() {
  local list="" row index service
  for row in "${targets[@]}"; do
    read -r index service _ <<<"$row"
    [ "$service" = "$1" ] && list="$list+127.$CLUSTER_NET.$index:8000"
  done
  echo "${list:1}"
}

run_pollenring() {
  start_platform
  local zones=(a b c) row index service slots latency calls
  for row in "${targets[@]}"; do
    read -r index service slots latency calls <<<"$row"
    start_node "$index" "${zones[$((index % 3))]}"
    start_target "$index" "$service" "$slots" "$latency" "${calls:-}"
  done
  wait_members 1 "${#targets[@]}"
  rm -rf "$CLUSTER_DIR/contracts"
  cp -r "$contracts" "$CLUSTER_DIR/contracts"
  write_workspaces > "$CLUSTER_DIR/contracts/workspaces.toml"
  build/pollenring publish "$CLUSTER_DIR/contracts" --author experiment \
    --node "127.$CLUSTER_NET.1:7003" >/dev/null
  for row in "${workspaces[@]}"; do
    keys[${row%%:*}]=$(issue_key 1 "${row%%:*}" 2>/dev/null)
  done
  sleep 6
  local nodes=""
  for row in "${targets[@]}"; do
    read -r index _ <<<"$row"
    nodes="$nodes, \"127.$CLUSTER_NET.$index:7000\""
  done
  write_scenario "${nodes:2}" "$read_path" "$write_path" \
    > "$out/pollenring.toml"
  build/pollenring-load --scenario "$out/pollenring.toml" \
    --json "$out/pollenring.json" > "$out/pollenring.txt"
}

# run_baseline NAME FIXED_FACTOR RETRIES
run_baseline() {
  local row index service slots latency calls direct limit nodes=""
  for row in "${targets[@]}"; do
    read -r index service slots latency calls <<<"$row"
    direct=""
    if [ -n "${calls:-}" ]; then
      direct="${calls%%:*}=$(addresses_of "${calls%%:*}")"
    fi
    limit=$((slots * $2))
    "$CLUSTER_BIN/pollenring-standin" target \
      --listen "127.$CLUSTER_NET.$index:8000" --service "$service" \
      --slots "$slots" --latency-ms "$latency" --calls "${calls:-}" \
      --direct "$direct" --naive-retries "$3" --fixed-limit "$limit" \
      --seed "$index" 2>/dev/null &
    CLUSTER_PIDS+=($!)
    [ "$service" = "$front" ] &&
      nodes="$nodes, \"127.$CLUSTER_NET.$index:8000\""
  done
  sleep 1
  write_scenario "${nodes:2}" "/x" "/x" > "$out/$1.toml"
  build/pollenring-load --scenario "$out/$1.toml" --json "$out/$1.json" \
    > "$out/$1.txt"
}

collect() {
  local row index
  for row in "${targets[@]}"; do
    read -r index _ <<<"$row"
    curl -s "http://127.$CLUSTER_NET.$index:8000/.standin/report" \
      > "$out/$1-target-$index.json" || true
  done
}

for policy in $policies; do
  case $policy in
    pollenring) run_pollenring ;;
    none) run_baseline none 0 2 ;;
    fixed) run_baseline fixed 2 2 ;;
  esac
  stop_cluster
  sleep 0.5
done

echo "shape $shape, seed $seed, slow factor $slow_factor, deep capacity in the trigger $capacity_in_trigger/s"
for policy in $policies; do
  echo "== $policy"
  tail -n +2 "$out/$policy.txt"
done
{
  echo "set terminal svg size 900,360; set output '$out/goodput.svg'"
  echo "set xlabel 'seconds'; set ylabel 'whole requests a second'"
  echo "set arrow from 4,graph 0 to 4,graph 1 nohead dt 2"
  echo "set arrow from 8,graph 0 to 8,graph 1 nohead dt 2"
  separator="plot "
  for policy in $policies; do
    tr -d ' \n' < "$out/$policy.json" | grep -o '"whole":\[[0-9,]*\]' |
      grep -o '[0-9,]*' | tr ',' '\n' |
      awk '{print NR/10, $1*10}' > "$out/$policy.dat"
    printf "%s'%s' using 1:2 with lines title '%s'" "$separator" \
      "$out/$policy.dat" "$policy"
    separator=", "
  done
  echo
} > "$out/plot.gp"
gnuplot "$out/plot.gp" && echo "plot: $out/goodput.svg"
