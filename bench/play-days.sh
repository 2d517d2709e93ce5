#!/usr/bin/env bash
# Plays our own days (bench/days) on one site, one after the other, and prints a line for each.
# usage: bench/play-days.sh FLEETBENCH SITE [DAY...]
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bench=$1
site=$2
shift 2
[ $# -gt 0 ] || set -- bench/days/*.toml
for day in "$@"; do
  "$bench" run "$site" "$day" --why "own day $(basename "$day" .toml)" > "target/$(basename "$day" .toml).txt" 2>&1 || true
  echo "== $(basename "$day")"
  grep -iE "^$(basename "$day" .toml) |broken|FAIL|error" "target/$(basename "$day" .toml).txt" | head -12 || true
done
