#!/usr/bin/env bash
# Starts a small system on the loopback interface, sends requests through it and
# prints the results.
set -u
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
bin=$PWD/.venv/bin
run=run/demo
pids=()
start_ns=$(date +%s%N)

say() { printf '== %s\n' "$*"; }
elapsed_ms() { echo $(( ($(date +%s%N) - start_ns) / 1000000 )); }

stop_all() {
  trap - EXIT INT TERM
  say "stopping ${#pids[@]} processes"
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  # An entry serves until the look-ups that callers have cached expire; see
  # docs/operators.
  for _ in $(seq 1 150); do
    running=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && running=1; done
    [ "$running" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  say "all processes stopped; the demo took $(elapsed_ms) ms"
}

fail() { say "failed: $*; see the logs in $run"; stop_all; exit 1; }

start_process() {
  local name=$1; shift
  "$bin/$1" "${@:2}" >"$run/$name.log" 2>&1 &
  pids+=("$!")
}

# Runs the command given from $3 on until its output matches the pattern $2; $1
# describes what is awaited.
await() {
  local description=$1 pattern=$2; shift 2
  local deadline=$((SECONDS + 20))
  while [ "$SECONDS" -lt "$deadline" ]; do
    "$@" 2>/dev/null | grep -q -- "$pattern" && return 0
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null && continue
      grep -h -E '^(port-busy|storage-busy|[a-z-]+: )' "$run"/*.log >&2
      fail "a process ended while waiting for $description"
    done
    sleep 0.1
  done
  fail "timed out waiting for $description"
}

rm -rf "$run" && mkdir -p "$run"
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say "starting 3 control instances, 4 entries and 6 stand-in backend servers"
for i in 1 2 3; do start_process "control-$i" hyssop-control --settings "examples/demo/control-$i.yaml"; done
for i in 1 2 3 4; do start_process "entry-$i" hyssop-entry --settings "examples/demo/entry-$i.yaml"; done
regions=(dar dar arusha dar dar arusha)
for i in 1 2 3 4 5 6; do
  region=${regions[$((i - 1))]}
  pool=catalogue; [ "$i" -gt 3 ] && pool=ledger
  start_process "server-$i" hyssop-standin server --id "$pool-$i" --pool "$pool" \
    --address "127.0.0.1:730$i" --region "$region" --failure-domain "$region-1" \
    --announce-to "127.0.0.1:720$(( (i - 1) % 4 + 1 ))" --announce-to 127.0.0.1:7201 \
    --announce-to 127.0.0.1:7101
done

call=("$bin/hyssop-standin" call --entry 127.0.0.1:7201 --host mrema.example)
await "a majority of control instances" '^revision 0' "$bin/hyssopctl" status
say "control instances are ready after $(elapsed_ms) ms"
"$bin/hyssopctl" tables check examples/mrema.yaml || fail "tables check"
"$bin/hyssopctl" tables apply examples/mrema.yaml --expect 0 --change-id demo-1 || fail "tables apply"
await "an entry at revision 1" 'revision 1' \
  "${call[@]}"
await "the servers' announcements" 'status 200' \
  "${call[@]}"
say "first response after $(elapsed_ms) ms"
say "sending 3 GET requests"
"${call[@]}" --count 3 || fail "GET"
await "the ledger's announcements" 'status 200' \
  "${call[@]}" --path /payments/0
say "sending a POST request that must not be repeated"
"${call[@]}" --method POST --path /payments/1 --size 100 || fail "POST"
say "uploading 20 MB"
"${call[@]}" --method PUT --path /books/1 --size 20000000 || fail "upload"
say "draining server catalogue-1"
sed '/name: catalogue/a\    drains: {servers: [catalogue-1]}' examples/mrema.yaml >"$run/drained.yaml"
"$bin/hyssopctl" tables apply "$run/drained.yaml" --expect 1 --change-id demo-2 || fail "drain"
"$bin/hyssopctl" drains
await "revision 2 at the entry" 'revision 2' \
  "${call[@]}"
responses=$("${call[@]}" --count 20)
say "20 requests after the drain: $(grep -c 'catalogue-1"' <<<"$responses") went to catalogue-1"
say "ready; callers use http://127.0.0.1:7201 to 7204, operators use http://127.0.0.1:7101 to 7103"
if [ -n "${DEMO_SECONDS:-}" ]; then
  sleep "$DEMO_SECONDS" & wait $!
else
  say "press Ctrl-C to stop"
  sleep infinity & pids+=("$!"); wait $!
fi
exit 0
