#!/usr/bin/env bash
# Measures what the daemons add to a request on loopback: straight to a backend
# server, through its own daemon, and through another daemon; then the processor
# time that the owner's daemon takes for each request.
# Usage: requestpath.sh BUILD-FOLDER [CALLERS] [REQUESTS-OF-EACH]
set -eu
build=$1
callers=${2:-8}
requests=${3:-3000}
folder=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; wait 2>/dev/null; rm -rf "$folder"' EXIT

# wait_for FILE: until a process has written its ports.
wait_for() { until [ -f "$1" ]; do sleep 0.05; done; }
port() { sed -n "s/^$2=//p" "$1"; }

# pair NAME SERVICE: a daemon and its backend server.
pair() {
  printf '%s\n' "[daemon]" "name = $1" "zone = qc-east-a" \
    "ports_file = $folder/$1.ports" "[platform]" "address = $platform" \
    "[service agenda]" "partitions = 64" "[service dossier]" "partitions = 64" \
    >"$folder/$1.ini"
  "$build/src/fescuetillerd" --config "$folder/$1.ini" 2>"$folder/$1.log" &
  eval "daemon_$1=$!"
  wait_for "$folder/$1.ports"
  "$build/tests/backendstandin" --service "$2" --checks-grant 0 \
    --daemon "127.0.0.1:$(port "$folder/$1.ports" backend_port)" \
    --run-log /dev/null --ports-file "$folder/$1.backend" \
    --slots 64 --connections 120 --work lookup:0:200,booking:0:200 &
}

# ticks PROCESS: user and system time used, in hundredths of a second.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# measure TITLE PROCESS ARGUMENTS...: load, and the process's time a request.
measure() {
  local title=$1 process=$2 before after
  shift 2
  before=$(ticks "$process")
  echo "$title: $("$build/bench/requestpath" "$@" --requests "$requests" --prefix "r$RANDOM-")"
  after=$(ticks "$process")
  echo "  daemon: $(((after - before) * 10000 / (threads * requests))) us of processor time a request"
}

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
platform=127.0.0.1:$(port "$folder/platform" port)
for class in "lookup --idempotent" booking; do
  # shellcheck disable=SC2086
  "$build/src/fescuetillerctl" class-set --platform "$platform" \
    --service agenda --latency-ms 100 --percentile 99 --share 0.99 \
    --class $class >/dev/null
done
pair owner agenda
pair other dossier
sleep 3
backend=127.0.0.1:$(port "$folder/owner.backend" port)
owner=127.0.0.1:$(port "$folder/owner.ports" caller_port)
other=127.0.0.1:$(port "$folder/other.ports" caller_port)
# shellcheck disable=SC2154
for threads in 1 "$callers"; do
  echo "$threads callers at once"
  measure "straight" "$daemon_owner" --address "$backend" --direct --threads "$threads"
  for class in lookup booking; do
    measure "$class, own daemon" "$daemon_owner" --address "$owner" --class $class --threads "$threads"
    measure "$class, other daemon" "$daemon_other" --address "$other" --class $class --threads "$threads"
  done
done
