#!/usr/bin/env bash
# Load on three daemons while, one after the other, a daemon, a backend server
# and both of a pair are stopped for longer than a lease and go on as if nothing
# had happened; every tenth answer of one backend server is marked as another
# request's. Fails when anything was lost, doubled or answered wrongly.
# Usage: pause.sh BUILD-FOLDER [SECONDS]
set -eu
build=$1
seconds=${2:-12}
folder=$(mktemp -d)
declare -A processes
trap 'kill -CONT $(jobs -p) 2>/dev/null || true; kill $(jobs -p) 2>/dev/null || true; wait 2>/dev/null; rm -rf "$folder"' EXIT

# wait_for FILE: until a process has written its ports.
wait_for() {
  local tries=0
  until [ -f "$1" ]; do
    sleep 0.05
    tries=$((tries + 1))
    [ $tries -le 400 ] || { echo "pause.sh: $1 did not appear" >&2 && exit 1; }
  done
}
port() { sed -n "s/^$2=//p" "$1"; }

# pair NAME OPTIONS...: a daemon and its backend server.
pair() {
  local name=$1
  shift
  printf '%s\n' "[daemon]" "name = $name" "zone = qc-east-a" \
    "ports_file = $folder/$name.ports" "[platform]" "address = $platform" \
    "[service agenda]" "partitions = 64" >"$folder/$name.ini"
  "$build/src/fescuetillerd" --config "$folder/$name.ini" 2>"$folder/$name.log" &
  processes[$name]=$!
  wait_for "$folder/$name.ports"
  "$build/tests/backendstandin" --service agenda \
    --daemon "127.0.0.1:$(port "$folder/$name.ports" backend_port)" \
    --run-log "$folder/$name.runs" --ports-file "$folder/$name.backend" \
    --slots 6 --connections 120 --work lookup:4:200,booking:8:100 "$@" &
  processes[$name-backend]=$!
}

# pause SECONDS NAMES...: stops processes and lets them go on.
pause() {
  local time=$1 name
  shift
  echo "stopping $* for $time s"
  for name in "$@"; do kill -STOP "${processes[$name]}"; done
  sleep "$time"
  for name in "$@"; do kill -CONT "${processes[$name]}"; done
}

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
platform=127.0.0.1:$(port "$folder/platform" port)
"$build/src/fescuetillerctl" class-set --platform "$platform" --service agenda \
  --class lookup --latency-ms 100 --percentile 99 --share 0.99 --idempotent
"$build/src/fescuetillerctl" class-set --platform "$platform" --service agenda \
  --class booking --latency-ms 300 --percentile 99 --share 0.99
pair agenda-1
pair agenda-2
pair agenda-3 --cross-answers
for name in agenda-1 agenda-2 agenda-3; do
  echo "127.0.0.1:$(port "$folder/$name.ports" caller_port)"
done >"$folder/callers"
sleep 3
"$build/tests/loadgenerator" --classes agenda:lookup:1:100,agenda:booking:0:150 \
  --callers "$folder/callers" --runs "$folder" --platform "$platform" \
  --seconds "$seconds" &
generator=$!
sleep 2
pause 1.5 agenda-1
sleep 1
pause 1.5 agenda-2-backend
sleep 1
pause 1.5 agenda-3 agenda-3-backend
wait $generator || { echo "FAILED: see above" && exit 1; }
echo "held: nothing lost, doubled or answered to the wrong caller"
