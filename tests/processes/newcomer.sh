#!/usr/bin/env bash
# A daemon that starts while the platform is down learns targets and owners
# from its seeds and takes callers' requests to their owners.
set -eu
build=$1
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../demo/deployment.sh"
folder=$(mktemp -d)
trap 'kill -KILL $(jobs -p) 2>/dev/null || true; wait 2>/dev/null; rm -rf "$folder"' EXIT

# start_daemon NAME SEEDS: a daemon without a backend server beside it.
start_daemon() {
  cat >"$folder/$1.ini" <<INI
[daemon]
name = $1
zone = qc-east-a
ports_file = $folder/$1.ports
[platform]
address = $platform
timeout_ms = 300
[service agenda]
partitions = 16
$2
INI
  "$build/src/fescuetillerd" --config "$folder/$1.ini" 2>"$folder/$1.log" &
  wait_for "$folder/$1.ports"
}

# ask DAEMON ID: one lookup; prints the status.
ask() {
  exec 3<>"/dev/tcp/127.0.0.1/$(port "$folder/$1.ports" caller_port)"
  printf 'POST /v1/request/agenda/lookup?key=k HTTP/1.0\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n' "$2" >&3
  head -1 <&3 | tr -d '\r'
  exec 3<&- 3>&-
}

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
platform=127.0.0.1:$(port "$folder/platform" port)
FESCUETILLER_PLATFORM=$platform "$build/src/fescuetillerctl" class set agenda \
  lookup --latency-ms 100 --idempotent >/dev/null
# Two, since a daemon that knows no other has its lease from the platform.
for name in agenda-1 agenda-2; do
  start_daemon $name ""
  "$build/tests/backendstandin" --service agenda \
    --daemon "127.0.0.1:$(port "$folder/$name.ports" backend_port)" \
    --run-log "$folder/$name.runs" --ports-file "$folder/$name.backend" \
    --work lookup:2:20 &
done
tries=0
until ask agenda-1 first-$tries | grep -q 200 &&
  ask agenda-2 again-$tries | grep -q 200; do
  tries=$((tries + 1))
  [ $tries -lt 100 ]
  sleep 0.1
done

exec 3<>"/dev/tcp/127.0.0.1/${platform#*:}"
printf 'POST /faults HTTP/1.0\r\nContent-Length: 15\r\n\r\n{"outage":true}' >&3
cat <&3 >/dev/null
exec 3<&- 3>&-

seeds=127.0.0.1:$(port "$folder/agenda-1.ports" control_port)
start_daemon newcomer "[gossip]
seeds = $seeds"
tries=0
until ask newcomer second-$tries | grep -q 200; do
  tries=$((tries + 1))
  if [ $tries -ge 100 ]; then
    echo "FAILED: the newcomer never reached an owner"
    cat "$folder/newcomer.log"
    exit 1
  fi
  sleep 0.1
done
grep -q "learning from the seeds" "$folder/newcomer.log"
echo "1 passed, 0 failed"
