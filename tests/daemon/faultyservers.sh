#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes. The servers' answers
# have seeded faults: second answers, refusals that are written twice, answers
# that break off, bytes that are no answer, malformed heads. Callers got answers of
# other requests or malformed ones, took parts for whole answers, and were told that
# requests had not run that had. Checking clients compare each
# answer with its request and with what the servers ran. Prints a line of counts
# for each fault.
# Usage: faultyservers.sh BUILD-FOLDER [SEED] [SECONDS] [FAULT...]
# A fault is NAME:SHARE[,NAME:SHARE...] as keyserverstandin takes it, or "none";
# behind "restart@", a daemon is stopped and started meanwhile; behind "old@", half
# of the clients speak HTTP/1.0; behind "uploads@", some bookings are long.
# KEEP=FOLDER keeps the logs there.
set -u
build=$1
seed=${2:-1}
seconds=${3:-8}
shift $(($# < 3 ? $# : 3))
faults=("$@")
if [ ${#faults[@]} -eq 0 ]; then
  faults=(none second:0.25 second-no-id:0.25 second-chunked:0.25
    second-chunked-no-id:0.25 refuse:0.3 refuse-twice:0.3
    refuse-twice-no-id:0.3 refuse-twice:0.3,second:0.25 cut-head:0.12
    cut-body:0.12 reset:0.12 garbage:0.1,garbage-late:0.1
    second-cut:0.2,refuse-twice-cut:0.2 old@unframed:0.3,reset:0.1
    restart@second:0.25 bad-status:0.25 bad-field:0.25 folded-field:0.25
    bad-coding:0.25 uploads@early-cut:0.5 uploads@early:0.5)
fi
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.7
. "$here/deployment.sh"
limits=',"limits":{"max-header-bytes":16384,"max-body-bytes":8388608,
"header-timeout":"3000ms","idle-timeout":"10000ms"}'

server_arguments() {
  echo "--seed $((seed * 100 + $1)) --least-work-ms 4 --most-work-ms 24"
}
start_deployment

arguments=()
for number in $(seq $pairs); do
  arguments+=(--node "$(address "$number" 7301)"
    --run-log "$folder/server-$number.runs")
done
failed=0
for index in "${!faults[@]}"; do
  fault=${faults[$index]}
  faults_text=${fault#*@}
  if ! set_faults "${faults_text#none}"; then
    echo "BROKEN the servers do not take the faults $fault"
    failed=1
    continue
  fi
  clients=(--clients 24)
  [[ $fault == old@* ]] && clients=(--clients 12 --old-clients 12)
  [[ $fault == uploads@* ]] && clients=(--clients 12 --uploads)
  "$build/tests/checkingload" "${arguments[@]}" "${clients[@]}" \
    --name "f$index" --seed "$seed" --seconds "$seconds" \
    >"$folder/load-$index" &
  load=$!
  if [[ $fault == restart@* ]]; then
    sleep $((seconds / 3))
    end daemon 2 TERM
    start_daemon 2
  fi
  wait "$load" || failed=1
  echo "$fault, seed $seed, $seconds s: $(tail -n 1 "$folder/load-$index")"
  head -n -1 "$folder/load-$index"
  set_faults ""
  until_true 20 ready || failed=1
done
if [ -n "${KEEP:-}" ]; then
  mkdir -p "$KEEP" && cp "$folder"/*.log "$folder"/*.runs "$folder"/load-* "$KEEP"
fi
exit $failed
