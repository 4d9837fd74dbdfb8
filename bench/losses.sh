#!/usr/bin/env bash
# Measures how long partitions are without answers after losses of real
# processes, one loss at a time under load.
# Usage: losses.sh BUILD-FOLDER [pair|daemon|backend-frozen] [LOSSES]
set -eu
build=$1
kind=${2:-pair}
losses=${3:-20}
folder=$(mktemp -d)
. "$(dirname "$0")/../tests/processes/cluster.sh"
trap end_all EXIT

start_deployment
next=7
times=()
for loss in $(seq 1 "$losses"); do
  victim=agenda-$((next - 6))
  generate 5
  sleep 1
  case $kind in
  pair) lose "$victim" "$victim-backend" ;;
  daemon) lose "$victim" ;;
  backend-frozen) signal STOP "$victim-backend" ;;
  esac
  wait "$generator" || { echo "FAILED: loss $loss" && cat "$folder/load.out" && exit 1; }
  times+=("$(sed -n 's/^unavailable time.* \([0-9]*\) ms$/\1/p' "$folder/load.out")")
  case $kind in
  daemon) lose "$victim-backend" ;;
  backend-frozen) lose "$victim" "$victim-backend" ;;
  esac
  start_pair $next
  next=$((next + 1))
  list_callers
  sleep 2
done
check_epochs
printf '%s\n' "${times[@]}" | sort -n | awk -v kind="$kind" '
  { times[NR] = $1; over += $1 > 2000 }
  END {
    printf "%s: %d losses, unavailable time median %d ms, longest %d ms, over 2000 ms: %d\n",
      kind, NR, times[int((NR + 1) / 2)], times[NR], over
  }'
