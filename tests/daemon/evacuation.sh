#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes under load. Operators
# evacuate a zone, while a daemon and a server there are restarted; a second time
# the store is lost 100 ms after the order, and a daemon is restarted during the
# outage. The servers' run logs must show that no request reached them later than
# 5 s after the order, and that requests come back after its withdrawal. The same
# holds when all zones are evacuated, so that keys have nowhere to go.
# Usage: evacuation.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.46
log_pattern='evacuat'
. "$here/deployment.sh"
start_deployment

# change JSON-MEMBERS: an unconditional change of the store.
change() {
  curl -sf -o /dev/null --data-binary "{\"expected-rev\":[],$1}" \
    "http://$store/v1/rows-tx" || exit 1
}
# row ZONE: the key of the row that orders its evacuation.
row() { echo "\"table\":\"op\",\"part\":\"\",\"key\":\"evacuate/$1\""; }
# order ZONE
order() {
  change "\"set-keys\":[{$(row "$1"),\"value\":\"e30=\"}],\"remove\":[]"
  ordered=$(now_ms)
}
# withdraw ZONE
withdraw() {
  withdrawn=$(now_ms)
  change "\"set-keys\":[],\"remove\":[{$(row "$1")}]"
}
status() { FESCUETILLER_STORE=$store "$build/src/fescuetillerctl" status; }

# Pairs 1 and 4 are in zone-1.
start_load 44 0.4
sleep 2
order zone-1
sleep 2.5
status | grep -F 'zone zone-1 is evacuated by row op  evacuate/zone-1' || exit 1
end daemon 4 KILL
start_daemon 4
end server 1 TERM
start_server 1
sleep 5
check "members that still own keys" "$(status | grep -c 'still own keys')" -eq 0
withdraw zone-1
for number in 1 4; do
  check "runs before the order" "$(runs $number 0 "$ordered")" -gt 0
  check "runs after the bound" \
    "$(runs $number $((ordered + 5000)) "$withdrawn")" -eq 0
done
sleep 9
for number in 1 4; do
  check "runs after the withdrawal" \
    "$(runs $number "$withdrawn" $((withdrawn + 60000)))" -gt 0
done

order zone-1
sleep 0.1
curl -sf -o /dev/null --data-binary down "http://$store/standin/faults"
sleep 2
end daemon 1 KILL
start_daemon 1
sleep 6
returned=$(now_ms)
curl -sf -o /dev/null --data-binary none "http://$store/standin/faults"
for number in 1 4; do
  check "runs after the bound without the store" \
    "$(runs $number $((ordered + 5000)) "$returned")" -eq 0
done
check "orders that the restarted daemon learned from others" \
  "$(grep -c '"event":"evacuation-ordered".*"source":"peer"' \
    "$folder/node-1.log")" -ge 1
sleep 2
withdraw zone-1
for number in 1 4; do
  check "runs when the store is back" \
    "$(runs $number "$returned" "$withdrawn")" -eq 0
done

# All zones: keys keep their owners, which get no requests for them.
for zone in zone-0 zone-1 zone-2; do order $zone; done
first=$ordered
sleep 6.5
end=$(now_ms)
for number in $(seq $pairs); do
  check "runs after the bound in the last zones" \
    "$(runs "$number" $((first + 5000)) "$end")" -eq 0
done
for zone in zone-0 zone-1 zone-2; do withdraw $zone; done
wait "$load" || exit 1
until_true 30 ready || exit 1
check "orders that a daemon has seen" \
  "$(grep -c '"event":"evacuation-ordered"' "$folder/node-2.log")" -eq 5
check "daemons whose keys have moved" \
  "$(grep -l '"event":"evacuation-keys-moved"' "$folder"/node-*.log | wc -l)" \
  -eq 2
