#!/usr/bin/env bash
# A drain is recorded, takes effect, and holds for the daemon's next process.
set -eu
build=$1
here=$(cd "$(dirname "$0")" && pwd)
examples=$here/../../docs/examples
. "$here/../demo/deployment.sh"
folder=$(mktemp -d)
trap 'kill -KILL $(jobs -p) 2>/dev/null || true; wait 2>/dev/null; rm -rf "$folder"' EXIT
ctl=$build/src/fescuetillerctl

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
export FESCUETILLER_PLATFORM=127.0.0.1:$(port "$folder/platform" port)

# start_pair NAME: one daemon and the backend server beside it.
start_pair() {
  rm -f "$folder/$1.ports"
  settings_from "$examples/qc-east/agenda.ini" "$1" qc-east-a \
    "$FESCUETILLER_PLATFORM" "$folder/$1.ports" >"$folder/$1.ini"
  "$build/src/fescuetillerd" --config "$folder/$1.ini" 2>>"$folder/$1.log" &
  daemon=$!
  wait_for "$folder/$1.ports"
  "$build/tests/backendstandin" --service agenda \
    --daemon "127.0.0.1:$(port "$folder/$1.ports" backend_port)" \
    --run-log "$folder/$1.runs" --ports-file "$folder/$1.backend" \
    --slots 6 --connections 12 --work lookup:4:200 --cold-ms 100 &
}

# until_status PATTERN: waits until a line of the status matches.
until_status() {
  local tries=0
  until "$ctl" status >"$folder/status" && grep -Eq "$1" "$folder/status"; do
    sleep 0.1
    tries=$((tries + 1))
    if [ $tries -gt 300 ]; then
      echo "FAILED: no line of the status matches $1"
      cat "$folder/status"
      exit 1
    fi
  done
}

start_pair agenda-1
start_pair agenda-2
until_status "^agenda +2 +12 +64 +64 "
"$ctl" drain agenda-2
until_status "^agenda-1 .* 64 +6 "
"$ctl" audit --json | grep -q '"subject":"agenda-2"'

kill -TERM $daemon
wait $daemon
start_pair agenda-2
"$ctl" status --daemon "127.0.0.1:$(port "$folder/agenda-2.ports" operator_port)" --json |
  grep -q '"draining":true'
until_status "^agenda-1 .* 64 +6 "

"$ctl" undrain agenda-2
until_status "^agenda-2 .* [1-9][0-9]* +6 "
echo "a drain held for the next process and was undone"
