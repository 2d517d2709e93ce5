#!/usr/bin/env bash
# Plays our own days (bench/days) on one site and prints a line for each: score, what was served, rules broken.
# usage: bench/play-days.sh FLEETBENCH SITE [DAY...]     (JOBS days at a time, 3 unless set)
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bench=$1
site=$2
shift 2
[ $# -gt 0 ] || set -- bench/days/*.toml
out=target/days/$(basename "$site" .toml)
mkdir -p "$out"
"$bench" build > "$out/build.txt" 2>&1

play() {
  local name
  name=$(basename "$3" .toml)
  "$1" run "$2" "$3" --jobs 1 --why "own day $name" > "$4/$name.txt" 2>&1 || true
  grep -E "^$name +[0-9]+/" "$4/$name.txt" || echo "$name was not played: $(tail -n 1 "$4/$name.txt")"
}
export -f play
printf '%s\n' "$@" | xargs -P "${JOBS:-3}" -I DAY bash -c 'play "$@"' _ "$bench" "$site" DAY "$out"
