#!/usr/bin/env bash
# Starts a small system on loopback, drives it end to end and says what it saw.
set -u
cd "$(dirname "$0")/.."
export PYTHONPATH=$PWD
bin=$PWD/.venv/bin
run=run/demo
pids=()
began=$(date +%s%N)

say() { printf '== %s\n' "$*"; }
since() { echo $(( ($(date +%s%N) - began) / 1000000 )); }

finish() {
  trap - EXIT INT TERM
  say "stopping ${#pids[@]} processes"
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  # An entry waits until cached look-ups have expired; see docs/operators.
  for _ in $(seq 1 150); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  say "stopped after $(since) ms in all"
}

fail() { say "failed: $*; the logs are in $run"; finish; exit 1; }

start() {
  local name=$1; shift
  "$bin/$1" "${@:2}" >"$run/$name.log" 2>&1 &
  pids+=("$!")
}

# Waits until $2 appears in what the command after it prints.
await() {
  local what=$1 want=$2; shift 2
  local until=$((SECONDS + 20))
  while [ "$SECONDS" -lt "$until" ]; do
    "$@" 2>/dev/null | grep -q -- "$want" && return 0
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null && continue
      grep -h -E '^(port-busy|storage-busy|[a-z-]+: )' "$run"/*.log >&2
      fail "a process ended while waiting for $what"
    done
    sleep 0.1
  done
  fail "$what did not come"
}

rm -rf "$run" && mkdir -p "$run"
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say "starting 3 control instances, 4 entries and 6 stand-in backend servers"
for i in 1 2 3; do start "control-$i" hyssop-control --settings "examples/demo/control-$i.yaml"; done
for i in 1 2 3 4; do start "entry-$i" hyssop-entry --settings "examples/demo/entry-$i.yaml"; done
regions=(dar dar arusha dar dar arusha)
for i in 1 2 3 4 5 6; do
  region=${regions[$((i - 1))]}
  pool=catalogue; [ "$i" -gt 3 ] && pool=ledger
  start "server-$i" hyssop-standin server --id "$pool-$i" --pool "$pool" \
    --address "127.0.0.1:730$i" --region "$region" --failure-domain "$region-1" \
    --announce-to "127.0.0.1:720$(( (i - 1) % 4 + 1 ))" --announce-to 127.0.0.1:7201 \
    --announce-to 127.0.0.1:7101
done

call=("$bin/hyssop-standin" call --entry 127.0.0.1:7201 --host mrema.example)
await "a majority of control instances" '^revision 0' "$bin/hyssopctl" status
say "control is up after $(since) ms"
"$bin/hyssopctl" tables check examples/mrema.yaml || fail "tables check"
"$bin/hyssopctl" tables apply examples/mrema.yaml --expect 0 --change-id demo-1 || fail "tables apply"
await "an entry at revision 1" 'revision 1' \
  "${call[@]}"
await "the servers' announcements" 'status 200' \
  "${call[@]}"
say "first answer after $(since) ms"
say "a GET"
"${call[@]}" --count 3 || fail "GET"
await "the ledger's announcements" 'status 200' \
  "${call[@]}" --path /payments/0
say "a POST that may not be repeated"
"${call[@]}" --method POST --path /payments/1 --size 100 || fail "POST"
say "an upload of 20 MB"
"${call[@]}" --method PUT --path /books/1 --size 20000000 || fail "upload"
say "draining server catalogue-1"
sed '/name: catalogue/a\    drains: {servers: [catalogue-1]}' examples/mrema.yaml >"$run/drained.yaml"
"$bin/hyssopctl" tables apply "$run/drained.yaml" --expect 1 --change-id demo-2 || fail "drain"
"$bin/hyssopctl" drains
await "revision 2 at the entry" 'revision 2' \
  "${call[@]}"
drained=$("${call[@]}" --count 20)
say "20 requests after the drain: $(grep -c 'catalogue-1"' <<<"$drained") went to catalogue-1"
say "ready; callers: http://127.0.0.1:7201 to 7204, operators: http://127.0.0.1:7101 to 7103"
if [ -n "${DEMO_SECONDS:-}" ]; then
  sleep "$DEMO_SECONDS" & wait $!
else
  say "press Ctrl-C to stop"
  sleep infinity & pids+=("$!"); wait $!
fi
exit 0
