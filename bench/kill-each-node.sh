#!/usr/bin/env bash
# Runs three nodes and the emulated platform as separate processes, and during the load kills, stops and
# continues each node in turn. The emulator's checker judges; its exit code is this script's.
# Processes are ended by their ids only.
set -uo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
settings="$top/examples/settings"
declare -a pids

start_node() {
  "$top/bin/passhaven" node --config "$settings/necpa-node-$1.yaml" >>"$work/node-$1.log" 2>&1 &
  pids[$1]=$!
}

clean_up() {
  for pid in "${pids[@]}" "${emulator:-}"; do
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}
trap clean_up EXIT

"$top/bin/passhaven" --help >/dev/null || exit 2
"$top/bin/passhaven" emulator --config "$settings/emulator.yaml" --delay 12 --limit 150 --json "$work/report.json" >"$work/emulator.log" 2>&1 &
emulator=$!
sleep 3
for node in 0 1 2; do start_node "$node"; done
sleep 4
"$top/bin/passhaven" apply -f "$top/examples/necpa" --server 127.0.0.1:31000 --operator bench --wait || exit 2
sleep 8
for node in 0 1 2; do
  echo "kill node $node"
  kill -KILL "${pids[$node]}"
  sleep 3
  start_node "$node"
  sleep 5
  other=$(((node + 1) % 3))
  echo "stop node $other for 4 s"
  kill -STOP "${pids[$other]}"
  sleep 4
  kill -CONT "${pids[$other]}"
  sleep 3
done
echo "planned stop of node 0"
kill -TERM "${pids[0]}"
wait "${pids[0]}"
echo "node 0 ended with $?"
start_node 0
wait "$emulator"
result=$?
emulator=""
cat "$work/emulator.log"
exit "$result"
