#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes. Servers announce their
# shutdown and go on serving and sending heartbeats; the daemons beside them are
# killed or stopped right after they acknowledged it, and started again, before
# any request could tell the other daemons. Restarted daemons sent requests to
# such servers. The servers' run logs must show no run after the drain time.
# Usage: shutdowns.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.12
log_pattern='"event":"(server|shutdown|heartbeat)-'
. "$here/deployment.sh"
start_deployment

# announce NUMBER CALL BODY: sends a call of a server to its daemon.
announce() {
  local id
  id=$(sed -n 's/.*"event":"server-started","server":"\([^"]*\)".*/\1/p' \
    "$folder/node-$1.log" | tail -n 1)
  curl -sf -o /dev/null -m 1 --data-binary "$3" \
    "http://$(address "$1" 7304)/v1/instances/$id/$2"
  check "exit code of the call $2" $? -eq 0
}

announce 2 deregister ""
deregistered=$(now_ms)
end daemon 2 KILL
start_daemon 2

# Its number is above that of any heartbeat of the server.
announce 3 heartbeat "{\"service\":\"agenda\",\"address\":\"$(address 3 7305)\",
\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"draining\",\"seq\":1000000,
\"cold\":\"0ms\",\"holds\":[],\"freed\":[]}"
draining=$(now_ms)
end daemon 3 TERM
start_daemon 3

start_load 16 0.5
sleep 8
# Its next incarnation is in use again.
end server 2 TERM
ended=$(now_ms)
start_server 2
wait "$load" || exit 1
check "runs after the drain time of a deregistered server" \
  "$(runs 2 $((deregistered + 2000)) $ended)" -eq 0
check "runs after the drain time of a draining server" \
  "$(runs 3 $((draining + 2000)) $((draining + 60000)))" -eq 0
check "runs of the next incarnation" \
  "$(runs 2 $ended $((ended + 60000)))" -gt 0
