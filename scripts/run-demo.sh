#!/usr/bin/env bash
# The main job: builds foxwheel, starts every process on loopback with the stand-ins
# (platform store, engines, services), applies examples/fleet.json, sends the mixed load
# of examples/experiment.json for a bounded time, prints the report, and stops everything.
# Exit status: the load tool's (non-zero when a promise was broken).
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --locked
bin=target/release
run=run/demo
rm -rf "$run"
mkdir -p "$run/settings" "$run/logs"
pids=()
names=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

start() { # start NAME BINARY SETTINGS_JSON
  local name=$1 binary=$2 settings=$3
  printf '%s\n' "$settings" > "$run/settings/$name.json"
  RUST_LOG=${RUST_LOG:-warn,foxwheel=info} "$bin/$binary" --settings "$run/settings/$name.json" \
    > "$run/logs/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# Writes each process's CPU seconds and resident memory, and the store's call counts,
# for docs/CAPACITY.md.
sample_processes() {
  local out=$1 tick
  tick=$(getconf CLK_TCK)
  printf 'name\tcpu_s\trss_kb\n' > "$out"
  for i in "${!pids[@]}"; do
    local pid=${pids[$i]} stat rss
    [ -r "/proc/$pid/stat" ] || continue
    stat=$(cut -d' ' -f14,15 "/proc/$pid/stat")
    rss=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
    awk -v n="${names[$i]}" -v t="$tick" -v r="$rss" '{printf "%s\t%.2f\t%s\n", n, ($1 + $2) / t, r}' <<< "$stat" >> "$out"
  done
}

wait_port() { # wait_port PORT
  for _ in $(seq 1 100); do
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
    sleep 0.1
  done
  echo "port $1 did not open; see $run/logs" >&2
  return 1
}

store=http://127.0.0.1:7100
start platform foxwheel-platform-emu '{"listen_addr": "127.0.0.1:7100"}'
wait_port 7100

# deployment model-or-service zone index engine_port agent_port
backend() {
  local deployment=$1 kind=$2 zone=$3 n=$4 port=$5 agent_port=$6
  local host="$zone-$deployment-$n"
  if [ "$kind" = model ]; then
    start "engine-$host" foxwheel-engine-emu \
      "{\"listen_addr\": \"127.0.0.1:$port\", \"models\": [\"$deployment\"], \"max_batch\": 16, \"decode_step_us\": 8000, \"decode_us_per_seq\": 400}"
  else
    start "service-$host" foxwheel-service-emu \
      "{\"listen_addr\": \"127.0.0.1:$port\", \"service\": \"$deployment\"}"
  fi
  start "agent-$host" foxwheel-agent \
    "{\"listen_addr\": \"127.0.0.1:$agent_port\", \"host\": \"$host\", \"zone\": \"$zone\", \"deployment\": \"$deployment\", \"backend\": \"$kind\", \"backend_url\": \"http://127.0.0.1:$port\", \"store_url\": \"$store\", \"max_running\": 16, \"max_batch_running\": 12}"
}

i=0
for zone in suwon-hall yongin-hall seongnam-hall; do
  i=$((i + 1))
  backend draftsman model "$zone" 0 $((7300 + i)) $((7400 + i))
  backend yardbook service "$zone" 0 $((7500 + i)) $((7600 + i))
done
i=0
for zone in hall-centro hall-fragata hall-areal; do
  i=$((i + 1))
  backend llm-residente model "$zone" 0 $((7310 + i)) $((7410 + i))
  backend emite-cartao service "$zone" 0 $((7510 + i)) $((7610 + i))
done

start gateway-suwon foxwheel-gateway \
  "{\"listen_addr\": \"127.0.0.1:7000\", \"name\": \"gateway-suwon-hall\", \"zone\": \"suwon-hall\", \"store_url\": \"$store\"}"
start gateway-centro foxwheel-gateway \
  "{\"listen_addr\": \"127.0.0.1:7001\", \"name\": \"gateway-hall-centro\", \"zone\": \"hall-centro\", \"store_url\": \"$store\"}"
wait_port 7000
wait_port 7001

"$bin/foxwheel-ctl" --store "$store" apply -f examples/fleet.json
for _ in $(seq 1 100); do
  members=$("$bin/foxwheel-ctl" --store "$store" get members | grep -c '"state":"ready"' || true)
  [ "$members" -ge 12 ] && break
  sleep 0.1
done
echo "processes: ${#pids[@]}; ready members: $members"
sleep 1

status=0
experiment=${FOXWHEEL_EXPERIMENT:-examples/experiment.json}
sample_processes "$run/processes-before.tsv"
"$bin/foxwheel-load" --experiment "$experiment" --out "$run/result.json" || status=$?
sample_processes "$run/processes-after.tsv"
"$bin/foxwheel-ctl" --store "$store" get members > /dev/null
exec 3<>/dev/tcp/127.0.0.1/7100
printf 'GET /stats HTTP/1.0\r\nHost: 127.0.0.1\r\n\r\n' >&3
sed -n '$p' <&3 > "$run/store-stats.json"
exec 3>&-
echo "result: $run/result.json; per-process CPU and memory: $run/processes-after.tsv; store calls: $run/store-stats.json; logs: $run/logs"
exit "$status"
