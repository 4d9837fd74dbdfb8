#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes under load, while
# another writer leaves odd rows among those of the daemons: members that no
# process stands behind, ranges over those of others, values and keys that are
# no proper ones. No such row gets keys or disturbs the others, and an operator
# sees each of them.
# Usage: oddrows.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.8
. "$here/deployment.sh"
start_deployment
export FESCUETILLER_STORE=$store

# write_row KEY VALUE: writes a row of the service without any condition.
write_row() {
  local row
  row=$(printf '{"table":"cluster","part":"agenda","key":"%s","value":"%s"}' \
    "$1" "$(printf '%s' "$2" | base64 -w 0)")
  curl -sf -o /dev/null --data-binary \
    "{\"expected-rev\":[],\"set-keys\":[$row],\"remove\":[]}" \
    "http://$store/v1/rows-tx" || echo "the store refused $1"
}

remove_row() {
  local row
  row=$(printf '{"table":"cluster","part":"agenda","key":"%s"}' "$1")
  curl -sf -o /dev/null --data-binary \
    "{\"expected-rev\":[],\"set-keys\":[],\"remove\":[$row]}" \
    "http://$store/v1/rows-tx"
}

# member ADDRESS UDP-ADDRESS: prints the value of a member row.
member() {
  echo "{\"zone\":\"zone-1\",\"address\":\"$1\",\"beacon\":\"$2\",\
\"state\":\"ready\",\"guardians\":[]}"
}

# range LAST OWNER EPOCH: prints the value of a range row.
range() {
  echo "{\"last\":$1,\"owner\":\"$2\",\"epoch\":$3,\"handover\":\"\"}"
}

status() { "$build/src/fescuetillerctl" status; }

start_load 20 0.9
sleep 1
write_row member/eeeeeeeeeeeeeee1 "$(member 127.0.0.1:99999 127.0.0.1:99999)"
write_row member/eeeeeeeeeeeeeee2 \
  "$(member "$(address 200 7302)" "$(address 200 7306)")"
sleep 1
write_row range/10001 "$(range 10002 nobody 18446744073709551615)"
write_row range/20001 "$(range 70000 nobody 1e30)"
write_row range/30001 "$(range 30002 nobody 1)"
sleep 1
write_row range/00000 "$(printf '[%.0s' $(seq 2000))"
write_row range/7 "$(range 9 nobody 1)"
write_row other/row "no JSON"
sleep 2
status >"$folder/status"
for problem in 'member eeeeeeeeeeeeeee2 has no lease' \
  "row cluster agenda member/eeeeeeeeeeeeeee1 is refused: field 'address'" \
  "row cluster agenda range/10001 is refused: field 'epoch'" \
  "row cluster agenda range/20001 is refused: field 'last'" \
  'row cluster agenda range/7 is refused: its key'; do
  if ! grep -q "$problem" "$folder/status"; then
    echo "BROKEN status does not say: $problem"
    cat "$folder/status"
    exit 1
  fi
done
wait "$load" || exit 1

for number in $(seq $pairs); do
  if ! kill -0 "${daemon[$number]}"; then
    echo "BROKEN daemon $number has ended"
    exit 1
  fi
  for key in member/eeeeeeeeeeeeeee1 range/10001 range/20001 range/7; do
    count=$(grep '"event":"row-refused"' "$folder/node-$number.log" |
      grep -c "\"key\":\"$key\"")
    if [ "$count" != 1 ]; then
      echo "BROKEN daemon $number logged the refusal of $key $count times"
      exit 1
    fi
  done
done
if grep -h '"target":"eeeeeeeeeeeeeee' "$folder"/node-*.log; then
  echo "BROKEN a member without a process was given keys"
  exit 1
fi

for key in range/10001 range/20001 range/7; do
  remove_row "$key"
done
is_settled() { status | grep -q 'nothing is degraded'; }
if ! until_true 40 is_settled; then
  status
  tail -n 5 "$folder"/node-*.log
  exit 1
fi
echo "odd rows got no keys"
