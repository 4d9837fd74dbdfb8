# Functions that start a small deployment on loopback: the store's stand-in, and
# pairs of a daemon and a backend server, with the deploy file's command and the
# fields of its template. A script sets `here` (its folder) and `pairs`, includes
# this file and calls start_deployment. With keyless=1 the service is not divided
# by key; backend_options are added to the command of each backend server. All processes end with the script.
keyless=${keyless:-0}
backend_options=${backend_options:-}
root=$(cd "$here/../.." && pwd)
tools=$root/build-review-2
record=$here/record.txt
folder=$(mktemp -d)
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
: >"$record"

pids=()
# Ends what the script has started and what still runs or is stopped.
finish() {
  exec 2>/dev/null
  kill -KILL $(jobs -pr) $(jobs -ps)
  wait
  rm -rf "$folder"
}
trap finish EXIT

note() { echo "$(now_ms) $*" >>"$record"; }
now_ms() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }
cannot_run() {
  note "the case could not run: $*"
  echo "could not run: $*"
  exit 2
}

for program in "$root/target/src/fescuetillerd" "$tools/storestandin" \
  "$tools/backend" "$tools/clients"; do
  [ -x "$program" ] || cannot_run "$program is missing"
done

start_daemon() {
  (
    cd "$root" || exit 2
    FESCUETILLER_NODE_FILE=$folder/node-$1.conf exec \
      target/src/fescuetillerd --settings-from FESCUETILLER_NODE_FILE
  ) >>"$folder/node-$1.log" 2>&1 &
  daemon[$1]=$!
  pids+=($!)
}

start_pair() {
  cat >"$folder/node-$1.conf" <<INI
[node]
name = sidecar-$1
ip = $network.$1
zone = zone-$((($1 - 1) % 3))
service = agenda
server = $network.$1:8145

[listen]
clients = $network.$1:8147
peers = $network.$1:8146
ready = $network.$1:8141
server-calls = $network.$1:8144
metrics = $network.$1:9464
first-port = 7380
last-port = 7395

[platform]
store = $store

[bounds]
heartbeat = 870ms
longest-hold = 10000ms
drain-time = 2000ms
stop-time = 6s
retry-ratio = 0.2

[limits]
memory = 260
descriptors = 4100
INI
  start_daemon "$1"
  "$tools/backend" --record "$record" --service agenda \
    --address "$network.$1:8145" --daemon "$network.$1:8144" \
    --zone "zone-$((($1 - 1) % 3))" --keyless "$keyless" $backend_options \
    >>"$folder/backend-$1.log" 2>&1 &
  backend[$1]=$!
  pids+=($!)
}

# http ADDRESS REQUEST-LINE [FIELD...]: prints the status of an answer.
http() {
  local address=$1 line=$2 answer
  shift 2
  answer=$( (
    exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || exit 1
    {
      printf '%s HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n' "$line"
      printf '%s\r\n' "$@"
      printf '\r\n'
    } >&3
    IFS= read -r -t 2 status <&3
    echo "$status"
  ) 2>/dev/null)
  answer=${answer#* }
  echo "${answer%% *}"
}

# serves NUMBER: whether a daemon's clients are served for keys of all parts.
serves() {
  local key
  for key in 100 12000 24000 36000 48000 60000; do
    [ "$(http "$network.$1:8147" "GET /look/ready" "X-Request-Id: ready-$1-$key" \
      "X-Timeout-Ms: 900" "X-Shard-Key: $key")" = 200 ] || return 1
  done
}

# wait_until SECONDS COMMAND...
wait_until() {
  local tries=$(($1 * 5))
  shift
  until "$@"; do
    sleep 0.2
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
  done
}

start_deployment() {
  "$tools/storestandin" --ports-file "$folder/store" 2>"$folder/store.log" &
  store_process=$!
  pids+=($!)
  wait_until 20 test -s "$folder/store" || cannot_run "no store"
  store=127.0.0.1:$(sed -n 's/^port=//p' "$folder/store")
  local config
  config=$(
    cat <<JSON
{"version":"r1","routes":{
"book":{"host":"desk.example","prefix":"/book/","kind":"unsafe","timeout":"1000ms",
"target-latency":"250ms","priority":1,"service":"agenda","attempts":2},
"look":{"host":"desk.example","prefix":"/look/","kind":"safe","timeout":"800ms",
"target-latency":"200ms","priority":2,"service":"agenda","attempts":2}},
"services":{"agenda":{"health-check":"/health","max-connections":120,"protocol":"h1",
"tls":false,"sharded":$([ "$keyless" = 1 ] && echo false || echo true)}},
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
"header-timeout":"3000ms","idle-timeout":"15000ms"}}
JSON
  )
  (
    exec 3<>"/dev/tcp/${store%:*}/${store#*:}" || exit 1
    printf 'POST /standin/config HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n%s' \
      "${#config}" "$config" >&3
    IFS= read -r -t 2 status <&3
  ) || cannot_run "the store takes no configuration"
  local number
  for number in $(seq $pairs); do
    start_pair "$number"
  done
  for number in $(seq $pairs); do
    wait_until 25 serves "$number" || cannot_run "daemon $number does not serve"
  done
  note "$pairs daemons serve"
}
