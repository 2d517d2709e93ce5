#!/usr/bin/env bash
# Plays days of one site with several seeds each and keeps each report.
# usage: bench/play-seeds.sh FLEETBENCH SITE "SEED..." "DAY..." WHY    (JOBS days at a time, 4 unless set)
set -euo pipefail
bench=$1
site=$2
seeds=$3
days=$4
why=$5
out=target/seeds/$(basename "$site" .toml)
mkdir -p "$out"
play() {
  local name=$4-$5
  "$1" run "$2" "$4" --seed "$5" --jobs 1 --why "$6" --report "$3/$name.json" > "$3/$name.txt" 2>&1 || true
}
export -f play
for seed in $seeds; do for day in $days; do echo "$day $seed"; done; done |
  xargs -P "${JOBS:-4}" -L 1 bash -c 'play "$1" "$2" "$3" "$5" "$6" "$4"' _ "$bench" "$site" "$out" "$why"
