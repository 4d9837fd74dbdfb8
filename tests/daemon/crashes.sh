#!/usr/bin/env bash
# Runs daemons, backend servers and a store as processes. Clients send requests
# again and again that end each server that runs them, at all daemons in turn;
# the servers are started again, and a daemon is killed meanwhile. Such a request
# ended one server after the other: daemons passed it on as often as it came. The
# servers' run logs must show at most three of its runs later than 3 s after the
# third one, and other requests must be served.
# Usage: crashes.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
network=127.0.6
. "$here/deployment.sh"
start_deployment

restart_servers() {
  local number
  for number in $(seq $pairs); do
    if ! kill -0 "${server[$number]}" 2>/dev/null; then
      start_server "$number"
    fi
  done
}

# send DAEMON ID PATH KEY BODY: prints the status; 000 without a response.
send() {
  curl -s -o /dev/null -w '%{http_code}' -m 1 -H "Host: a.example" \
    -H "X-Request-Id: $2" -H "X-Timeout-Ms: 800" -H "X-Shard-Key: $4" \
    --data-binary "$5" "http://$(address "$1" 7301)$3"
}

# Two fatal requests, one on each kind of route.
count=0
for round in $(seq 90); do
  count=$((count + 1))
  send $((count % pairs + 1)) "fatal-a$count" /look/x 41000 fatal >/dev/null
  send $(((count + 1) % pairs + 1)) "fatal-b$count" /book/y 9000 fatal >/dev/null
  [ $((round % 5)) -eq 0 ] && restart_servers
  if [ "$round" -eq 45 ]; then
    end daemon 2 KILL
    start_daemon 2
  fi
  sleep 0.15
done
restart_servers

failed=0
for kind in a b; do
  runs=$(sort -n "$folder"/server-*.runs | grep -c " fatal-$kind")
  late=$(sort -n "$folder"/server-*.runs | awk -v kind=" fatal-$kind" '
    index($0, kind) && ++count == 3 { third = $1 }
    index($0, kind) && count > 3 && $1 > third + 3e9 { ++late }
    END { print late + 0 }')
  echo "runs of fatal request $kind: $runs, too late: $late"
  if [ "$late" -gt 3 ] || [ "$runs" -eq 0 ]; then
    echo "BROKEN runs of fatal request $kind"
    failed=1
  fi
done

# Requests that share only a part of what makes a fatal one are served.
served() { [ "$(send 1 "$1-$RANDOM" "$2" "$3" "$4")" = 200 ]; }
until_true 20 ready || failed=1
until_true 10 served other-body /look/x 41000 harmless || failed=1
until_true 10 served other-path /look/z 41000 harmless || failed=1
start_load 5 0.9
wait "$load" || failed=1
exit $failed
