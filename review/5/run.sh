#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the route is not split.
cd "$(dirname "$0")" || exit 2
timeout -k 4 114 python3 -B case.py &
run=$!
trap 'kill -TERM "$run" 2>/dev/null' TERM INT HUP
wait "$run"
status=$?
while kill -0 "$run" 2>/dev/null; do
  wait "$run"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
