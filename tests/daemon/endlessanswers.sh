#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes. A quarter of the
# servers' answers have no end: in a head, in a body, in what frames it, or behind
# it. A daemon kept all bytes of a chunk's extension or of a trailer, and ran out
# of memory. Some clients do not read what they get. Checks for each kind that the
# daemons' memory stays small and that the other requests are answered. Prints a
# line for each.
# Usage: endlessanswers.sh BUILD-FOLDER [SECONDS [SEED [KIND...]]]
set -u
build=$1
seconds=${2:-6}
seed=${3:-1}
shift $(($# < 3 ? $# : 3))
kinds=("$@")
if [ ${#kinds[@]} -eq 0 ]; then
  kinds=(status field fields interim body chunks extension unframed trailer after)
fi
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.13
# In MB. The daemons may use half of it for connections.
memory_limit=64
daemon_limits="[limits]
memory = $memory_limit"
log_pattern='"event":"(start|stop)'
. "$here/deployment.sh"

server_arguments() {
  echo "--seed $((seed * 100 + $1)) --slots 24 --least-work-ms 4 --most-work-ms 24"
}
start_deployment

# peak: the most memory in MB that any daemon has used since reset_peak.
peak() {
  local number
  for number in $(seq $pairs); do
    cat "/proc/${daemon[$number]}/status" || echo "VmHWM: 99999999"
  done | awk '/^VmHWM/ && $2 > most { most = $2 } END { print int(most / 1024) }'
}

reset_peak() {
  local number
  for number in $(seq $pairs); do
    echo 5 >"/proc/${daemon[$number]}/clear_refs"
  done
}

# open_unread: opens connections whose requests are sent and answers never read.
open_unread() {
  local number
  unread=()
  for number in $(seq 8); do
    exec {descriptor}<>"/dev/tcp/$network.1/7301"
    printf 'GET /look/u HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: u%s-%s\r\nX-Timeout-Ms: 700\r\nX-Shard-Key: %s\r\n\r\n' \
      "$1" "$number" $((number * 8000)) >&"$descriptor"
    unread+=("$descriptor")
  done
}

close_unread() {
  local descriptor
  for descriptor in "${unread[@]}"; do
    exec {descriptor}>&-
  done
}

arguments=()
for number in $(seq $pairs); do
  arguments+=(--node "$(address "$number" 7301)"
    --run-log "$folder/server-$number.runs")
done
for kind in "${kinds[@]}"; do
  set_faults "endless-$kind:1" || exit 1
  reset_peak
  open_unread "$kind"
  sleep 0.2 # Their answers begin before the faults change.
  set_faults "endless-$kind:0.25" || exit 1
  "$build/tests/checkingload" "${arguments[@]}" --clients 36 --name "e$kind" \
    --seed "$seed" --seconds "$seconds" --least-served 0.5 \
    >"$folder/load" || { cat "$folder/load"; exit 1; }
  close_unread
  used=$(peak)
  echo "$kind: $used MB, $(tail -n 1 "$folder/load")"
  check "memory of a daemon in MB" "$used" -le "$memory_limit"
  set_faults "" || exit 1
  until_true 20 ready || exit 1
done
for number in $(seq $pairs); do
  check "starts of daemon $number" \
    "$(grep -c '"event":"start"' "$folder/node-$number.log")" -eq 1
done
