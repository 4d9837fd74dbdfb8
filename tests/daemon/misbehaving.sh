#!/usr/bin/env bash
# Runs four daemons with their servers under ordinary load, and crowds of clients
# that misbehave at the first of them, one kind after the other. Checks for each:
# no process ended, the peak memory of each daemon, the ordinary requests, and
# that no request ran that was refused as not run. In the end memory must be near
# the idle level again.
# The row burst runs only if it is named, see KNOWN-RED.txt.
# Usage: misbehaving.sh BUILD-FOLDER [SECONDS [SEED [ROW...]]]
set -u
build=$1
seconds=${2:-3}
seed=${3:-1}
shift $(($# < 3 ? $# : 3))
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.10
. "$here/deployment.sh"
# The plan's bound for peaks, and how much above the idle level memory may stay.
peak_bound=$((64 * 1024))
rest_bound=$((8 * 1024))
least_served=${LEAST_SERVED:-0.99}
crowd_address=127.0.8.1
limits=',"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
"header-timeout":"3s","idle-timeout":"60s"}'

# crowd KIND CONNECTIONS PORT PATH: starts a crowd at the first daemon.
crowd() {
  "$build/tests/misbehavingload" --kind "$1" --connections "$2" \
    --target "$(address 1 "$3")" --path "$4" --seconds "$seconds" \
    --seed "$seed" --from "$crowd_address" --not-run "$folder/not-run" &
  crowds+=($!)
}

# start_crowds ROW: starts the crowds of one row of the table in
# docs/load-and-zones.md.
start_crowds() {
  case $1 in
  body) crowd body 200 7301 /book/ ;;
  no-route) crowd body 200 7301 /none/ ;;
  readiness) crowd body 200 7303 /v1/ready/ ;;
  chunks) crowd chunks 200 7301 /book/ ;;
  whole) crowd whole 200 7301 /book/ ;;
  fields) crowd fields 400 7301 /look/ ;;
  trailers) crowd trailers 100 7301 /book/ ;;
  gets) crowd gets 40 7301 /look/ ;;
  posts) crowd posts 40 7301 /book/ ;;
  heads) crowd heads 300 7301 /look/ ;;
  endless) crowd endless 60 7301 /book/ ;;
  large) crowd large 100 7301 /book/ ;;
  others)
    crowd body 100 7302 /book/
    crowd body 100 7304 /v1/instances/
    crowd body 100 7312 /metrics/
    crowd body 100 7311 /v1/request/agenda/book/
    ;;
  small)
    crowd tiny 100 7301 /book/
    crowd slowhead 1000 7301 /look/
    crowd drip 800 7301 /look/
    ;;
  burst) crowd burst 300 7301 /look/ ;;
  idle) ;;
  *)
    echo "$0: unknown row $1" >&2
    exit 2
    ;;
  esac
}

# memory NUMBER FIELD: prints a field of the memory of a daemon, in KiB.
memory() { sed -n "s/^$2:[^0-9]*\([0-9]*\).*/\1/p" "/proc/${daemon[$1]}/status"; }

failed=0
fail() {
  echo "FAILED $*"
  failed=1
}

run_row() {
  local number peaks="" pid
  for number in $(seq $pairs); do
    echo 5 >"/proc/${daemon[$number]}/clear_refs" # Resets VmHWM.
    : >"$folder/server-$number.runs"
  done
  : >"$folder/not-run"
  crowds=()
  start_load $((seconds + 1)) "$least_served"
  sleep 0.3
  start_crowds "$1"
  for pid in "${crowds[@]}"; do wait "$pid"; done
  wait "$load" || fail "$1: ordinary requests"
  for number in $(seq $pairs); do
    if ! kill -0 "${daemon[$number]}" 2>/dev/null; then
      fail "$1: daemon $number ended"
      tail -n 3 "$folder/node-$number.log"
      exit 1
    fi
    peaks="$peaks $(memory "$number" VmHWM)"
    [ "$(memory "$number" VmHWM)" -le $peak_bound ] ||
      fail "$1: peak memory of daemon $number"
  done
  sort -u "$folder/not-run" >"$folder/not-run.sorted"
  cut -d' ' -f5 "$folder"/server-*.runs | sort -u |
    comm -12 - "$folder/not-run.sorted" >"$folder/broken"
  [ -s "$folder/broken" ] &&
    fail "$1: reported as not run, but ran: $(head -n 3 "$folder/broken")"
  echo "row $1: peaks$peaks KiB, now $(memory 1 VmRSS) KiB"
}

start_deployment
idle=$(memory 1 VmRSS)
echo "idle: $idle KiB"
for row in "${@:-idle}"; do
  if [ "$row" = idle ] && [ $# -eq 0 ]; then
    for row in idle body no-route readiness chunks whole fields trailers gets \
      posts heads endless large others small; do
      run_row "$row"
    done
  else
    run_row "$row"
  fi
done
sleep 10
for number in $(seq $pairs); do
  rest=$(memory "$number" VmRSS)
  [ "$rest" -le $((idle + rest_bound)) ] ||
    fail "memory of daemon $number after 10 s: $rest KiB, idle $idle KiB"
done
echo "memory after 10 s: $(memory 1 VmRSS) KiB"
curl -sf "http://$(address 1 7312)/metrics" |
  grep '^fescuetiller_client_refusals_total'
exit $failed
