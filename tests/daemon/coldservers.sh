#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes under load. Servers
# become cold under load, two of one zone at once, and one is started again. The
# servers' logs of arrivals must show that none got more requests in a second
# than it tolerates while cold.
# Usage: coldservers.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.9
# 19 x 1.5 + 8 requests in any second.
service_fields=',"cold-per-s":19,"warmup":"3s"'
bounds='cold-factor = 1.5
cold-margin = 8'
bound=36.5
heartbeat=870ms
cold_ms=0
. "$here/deployment.sh"
server_arguments() {
  echo --arrival-log "$folder/server-$1.arrivals" --health-path /h \
    --states-load --heartbeat-ms 870 --cold-bound $bound --cold-ms $cold_ms
}
start_deployment

start_load 16 0.6
sleep 3
become_cold() {
  curl -sf -o /dev/null --data-binary "$2" \
    "http://$(address "$1" 7305)/standin/cold"
}
become_cold 2 3000
sleep 4.5
# Both servers of a zone.
become_cold 1 3000
become_cold 4 3000
sleep 1
end daemon 4 KILL # A daemon is started again while its server is cold.
start_daemon 4
sleep 3
# A server is started again, and is cold for a while.
end server 3 KILL
cold_ms=3000
start_server 3
wait "$load" || exit 1

failed=0
total=0
for number in $(seq $pairs); do
  # Most arrivals in a second, all of them while cold; those while cold; status
  # checks; all.
  read -r most cold checks all < <(awk '
    $3 ~ /^status-/ { ++checks }
    $2 == "cold" { ++cold; at[++n] = $1 / 1e9
      while (at[n] - at[first + 1] >= 1) ++first
      if (n - first > most) most = n - first }
    END { print most + 0, cold + 0, checks + 0, NR }' \
    "$folder/server-$number.arrivals")
  echo "server $number: at most $most requests in a second while cold," \
    "$cold while cold, $checks status checks, $all in all"
  total=$((total + cold))
  if [ "$cold" -lt 8 ] || [ "$most" -gt "${bound%.*}" ]; then
    echo "BROKEN server $number: $most requests in a second, $cold while cold"
    failed=1
  fi
  # Status checks, each after half of the bound.
  if [ "$checks" -lt 1 ] || [ $((checks * 12)) -gt "$all" ]; then
    echo "BROKEN server $number: $checks status checks for $all requests"
    failed=1
  fi
done
# Four times three seconds, less what is lost when processes are started.
if [ $total -lt 80 ]; then
  echo "BROKEN $total requests while cold"
  failed=1
fi
if [ $failed -ne 0 ]; then
  grep -h -E '"event":"server-(cold|warm|started)' "$folder"/node-*.log | tail -n 30
  exit 1
fi
grep -q '"reason":"server-cold"' "$folder"/node-*.log || {
  echo "BROKEN no refusal names the reason"
  exit 1
}
for number in $(seq $pairs); do
  for event in server-cold server-warm; do
    # The last server may still be cold, and the log is written in batches.
    until_true 5 grep -q "\"event\":\"$event\"" "$folder/node-$number.log" || {
      echo "BROKEN no $event in the log of daemon $number"
      exit 1
    }
  done
done
