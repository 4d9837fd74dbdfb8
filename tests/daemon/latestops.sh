#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes. One daemon is stopped
# while clients go on to send it requests, over kept and new connections, lookups
# and bookings, some of which take nearly as long as the stop. Requests that came
# late were passed on, and cut without an answer at the end of the stop. Checks
# that no request sent over 3 s after the signal runs and is cut, or is refused and
# runs, and that those which certainly end in time are served.
# Usage: latestops.sh BUILD-FOLDER [SEED]
set -u
build=$1
seed=${2:-1}
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.14
route_timeout=10s
bounds="stop-time = 6s"
log_pattern='"event":"(start|stop)'
. "$here/deployment.sh"

server_arguments() {
  echo "--seed $((seed * 100 + $1)) --slots 200 --least-work-ms 50 --most-work-ms 4500"
}
# start_deployment checks that keys are served within less than that.
ready() { curl -s "http://$(address 1 7312)/metrics" >/dev/null && keys_granted; }
keys_granted() {
  [ "$(grep -l '"event":"grants-changed"' "$folder"/node-*.log | wc -l)" -eq $pairs ]
}
start_deployment
node=$network.1
results=$folder/results
mkdir "$results"

# request_text ID METHOD PATH KEY LIMIT
request_text() {
  printf '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n' "$2" "$3" "$1"
  printf 'X-Timeout-Ms: %s\r\nX-Shard-Key: %s\r\nContent-Length: 0\r\n\r\n' "$5" "$4"
}

# read_status DESCRIPTOR: prints the status of an answer without a body to read;
# nothing if the connection ends before it.
read_status() {
  local line status=
  while IFS= read -r -t 10 -u "$1" line; do
    line=${line%$'\r'}
    [[ $line == HTTP/1.1\ * ]] && status=${line:9:3}
    if [ -z "$line" ]; then
      echo "$status"
      return
    fi
  done
}

# send ID KIND LIMIT DESCRIPTOR: sends one request and records
# when it was sent and what came back.
send() {
  local id=$1 path=/look/r method=GET
  if [ "$2" = book ]; then
    path=/book/r
    method=POST
  fi
  local key=$((RANDOM * 2)) at
  at=$(now_ms)
  request_text "$id" "$method" "$path" "$key" "$3" >&"$4" 2>/dev/null
  echo "$at $2 $3 $(read_status "$4")" >"$results/$id"
}

# client_new ID KIND LIMIT: over a new connection.
client_new() {
  local descriptor
  exec {descriptor}<>"/dev/tcp/$node/7301" || return
  send "$1" "$2" "$3" "$descriptor"
} 2>/dev/null

# client_kept ID KIND LIMIT PAUSE: over a connection that was idle for a time.
client_kept() {
  local descriptor
  exec {descriptor}<>"/dev/tcp/$node/7301" || return
  request_text "first-$1" GET /none/ 0 1000 >&"$descriptor"
  read_status "$descriptor" >/dev/null
  read -r -t 5 -N 8 -u "$descriptor" _ # The body: "no-route".
  sleep "$4"
  send "$1" "$2" "$3" "$descriptor"
} 2>/dev/null

# Requests begin before the signal, and go on until after the exit.
stop_after=1
clients=()
(
  sleep $stop_after
  kill -TERM "${daemon[1]}"
) &
signal=$!
signal_at=$(($(now_ms) + stop_after * 1000))
number=0
for pause in $(seq 1 0.25 6.5); do
  for kind in look book; do
    for limit in 1000 9000; do
      number=$((number + 1))
      client_kept "kept-$number" $kind $limit "$pause" &
      clients+=($!)
    done
  done
done
for turn in $(seq 60); do
  for kind in look book; do
    limit=$((turn % 3 == 0 ? 1000 : 9000))
    client_new "new-$turn-$kind" $kind $limit &
    clients+=($!)
  done
  sleep 0.1
done
wait "$signal" "${clients[@]}"
wait "${daemon[1]}"
exit_code=$?

# Prints each request that ran: when it was sent after the signal, how, and what
# came back.
cat "$folder"/server-*.runs | awk '{ print $5 }' | sort -u >"$folder/ran"
(cd "$results" && for id in *; do
  ran=$(grep -c -x -- "$id" "$folder/ran")
  read -r at kind limit status <"$id"
  echo "$((at - signal_at)) $id $kind $limit ${status:-cut} $ran"
done) | sort -n >"$folder/all"
late() { awk '$1 > 3000' "$folder/all"; }
echo "all by answer: $(awk '{ print $5 }' "$folder/all" | sort | uniq -c | xargs)"
echo "late by answer: $(late | awk '{ print $5 }' | sort | uniq -c | xargs)"
late | awk '$5 == "cut" && $6 > 0' | head -n 40
check "exit code of the daemon" "$exit_code" -eq 0
check "late requests that ran and were cut" \
  "$(late | awk '$5 == "cut" && $6 > 0' | wc -l)" -eq 0
check "late requests that were refused and ran" \
  "$(late | awk '$5 == 503 && $6 > 0' | wc -l)" -eq 0
# Those with a limit of 1 s that come in the first second after that.
check "late requests that end in time and are served or time out" \
  "$(late | awk '$1 < 4000 && $4 == 1000 && $5 ~ /^(200|504)$/' | wc -l)" -ge 1
check "requests of which some were sent late" "$(late | wc -l)" -ge 20
