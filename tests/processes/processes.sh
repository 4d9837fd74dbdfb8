#!/usr/bin/env bash
# Faults against real processes under load. Asserts safety only: nothing lost,
# doubled or answered wrongly, no key run under an older epoch, and graceful
# stops that end well. Usage: processes.sh BUILD-FOLDER
set -eu
build=$1
folder=$(mktemp -d)
. "$(dirname "$0")/cluster.sh"
trap end_all EXIT
held=0

# under_load TEXT COMMAND...: runs a fault while callers send.
under_load() {
  local text=$1
  shift
  generate 6
  sleep 1.5
  "$@"
  if wait "$generator" && check_epochs; then
    echo "held: $text"
  else
    echo "FAILED: $text"
    cat "$folder/load.out"
    held=1
  fi
}

# freeze PROCESS...: past the lease, then lets them go on.
freeze() {
  signal STOP "$@"
  sleep 2
  signal CONT "$@"
}

outage() {
  set_faults '{"outage":true}'
  sleep 2.5
  set_faults '{}'
}

lost_answers() {
  set_faults '{"loseAnswerShare":0.5}'
  lose agenda-5 agenda-5-backend
  sleep 2.5
  set_faults '{}'
}

loss_in_outage() {
  set_faults '{"outage":true}'
  lose agenda-4 agenda-4-backend
  sleep 2
  set_faults '{}'
}

start_deployment

under_load "daemon and backend server killed" lose agenda-6 agenda-6-backend
under_load "daemon frozen past its lease" freeze agenda-1
under_load "backend server frozen past its grants" freeze agenda-2-backend
under_load "both frozen" freeze agenda-3 agenda-3-backend
under_load "platform outage" outage
under_load "answers of the platform lost during a loss" lost_answers
under_load "loss during a platform outage" loss_in_outage

generate 5
sleep 1
signal TERM agenda-1
wait "${processes[agenda-1]}" || { echo "FAILED: a stop was not graceful" && held=1; }
unset "processes[agenda-1]"
rm "$folder/agenda-1.ports"
list_callers
wait "$generator" || { echo "FAILED: stop under load" && cat "$folder/load.out" && held=1; }
check_epochs || held=1
exit $held
