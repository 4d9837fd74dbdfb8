#!/usr/bin/env bash
# Runs a daemon whose standard output is never read. It must still respond to
# requests, count the log lines that it drops, and shut down on SIGTERM.
# Usage: blockedlog.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standins/waiting.sh"
folder=$(mktemp -d)
trap 'kill -KILL $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT
ip=127.0.3.1
cat >"$folder/node.ini" <<INI
[node]
name = node
ip = $ip
service = agenda
server = $ip:7305
[listen]
clients = $ip:7301
peers = $ip:7302
ready = $ip:7303
server-calls = $ip:7304
metrics = $ip:7312
first-port = 7306
last-port = 7310
[platform]
store = 127.0.0.1:1
INI
mkfifo "$folder/output"
exec 9<>"$folder/output" # Opens the pipe for reading, but never reads it.
"$build/src/fescuetillerd" --settings "$folder/node.ini" >"$folder/output" &
daemon=$!
asks() {
  curl -s -o /dev/null -m 2 -H "X-Request-Id: r" "http://$ip:7301/x/1"
}
until_true 5 asks || exit 1

requests=3000
responses=$(curl -s -m 20 -H "X-Request-Id: r" -o /dev/null -w '%{http_code}\n' \
  "http://$ip:7301/x/[1-$requests]" | grep -c 503)
if [ "$responses" -ne $requests ]; then
  echo "$0: $responses of $requests answered"
  exit 1
fi
# The pipe buffers 64 KiB. Lines beyond that are dropped and counted.
drops() {
  curl -sf "http://$ip:7312/metrics" |
    grep -q '^fescuetiller_log_lines_dropped [1-9]'
}
until_true 3 drops || exit 1
kill -TERM "$daemon"
gone() { ! kill -0 "$daemon" 2>/dev/null; }
until_true 8 gone || exit 1
echo "$requests requests were answered with a blocked log"
