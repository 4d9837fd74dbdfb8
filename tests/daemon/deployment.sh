# Functions that start a store and pairs of a daemon and a backend server as
# processes. Scripts that include this file first set build, here and network
# (the first three numbers of a loopback address), then call start_deployment.
# Optional: service_fields (further JSON fields of the service, each after a
# comma), bounds (further lines of the daemons' section [bounds]), daemon_limits
# (a section of the daemons' settings), route_timeout, heartbeat and log_pattern (the
# lines of the daemons' logs that a failed check prints).
service_fields=${service_fields:-}
bounds=${bounds:-}
daemon_limits=${daemon_limits:-}
route_timeout=${route_timeout:-800ms}
heartbeat=${heartbeat:-300ms}
log_pattern=${log_pattern:-.}
pairs=4
# Further members of the configuration, with a comma before each.
limits=
. "$here/../standins/waiting.sh"
folder=$(mktemp -d)
trap 'kill -KILL $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT

# address NUMBER PORT: prints an address of a pair. Each pair has a loopback
# address of its own.
address() { echo "$network.$1:$2"; }

start_daemon() {
  "$build/src/fescuetillerd" --settings "$folder/node-$1.ini" \
    >>"$folder/node-$1.log" 2>&1 &
  daemon[$1]=$!
}

# server_arguments NUMBER: prints further options of a server; scripts replace it.
server_arguments() { :; }

start_server() {
  "$build/tests/keyserverstandin" --service agenda \
    --daemon "$(address "$1" 7304)" --address "$(address "$1" 7305)" \
    --run-log "$folder/server-$1.runs" --fatal-body fatal \
    $(server_arguments "$1") >>"$folder/server-$1.log" 2>&1 &
  server[$1]=$!
}

# end daemon|server NUMBER SIGNAL: sends a signal to a process and waits until
# it has exited, so that its addresses are free.
end() {
  local pid
  [ "$1" = daemon ] && pid=${daemon[$2]} || pid=${server[$2]}
  kill "-$3" "$pid"
  wait "$pid" 2>/dev/null
}

# Whether the whole key space is granted: a request for a key of each quarter
# must succeed.
ready() {
  local key
  for key in 100 20000 40000 60000; do
    curl -sf -o /dev/null -m 1 -H "Host: a.example" -H "X-Request-Id: r$key" \
      -H "X-Timeout-Ms: 500" -H "X-Shard-Key: $key" \
      "http://$(address 1 7301)/look/r" || return 1
  done
}

# start_load SECONDS SHARE: starts clients that check in the end what the servers
# ran, and that at least this share of the requests was answered. Sets load to
# the process id.
start_load() {
  local arguments=() number
  for number in $(seq $pairs); do
    arguments+=(--node "$(address "$number" 7301)"
      --run-log "$folder/server-$number.runs")
  done
  "$build/tests/nodeload" "${arguments[@]}" --seconds "$1" \
    --least-served "$2" &
  load=$!
}

# now_ms: the time on the clock of the run logs.
now_ms() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }

# runs NUMBER FROM-MS UNTIL-MS: the number of runs of a server in that time.
runs() {
  awk -v from="$2" -v until="$3" \
    '{ at = $1 / 1000000 } at >= from && at < until { ++count }
     END { print count + 0 }' "$folder/server-$1.runs"
}

# set_faults FAULTS: sets the faults of all servers' further answers, as
# keyserverstandin takes them; empty: none.
set_faults() {
  local number
  for number in $(seq $pairs); do
    curl -sf -o /dev/null --data-binary "$1" \
      "http://$(address "$number" 7305)/standin/faults" || return 1
  done
}

# check TEXT LEFT OPERATOR RIGHT: ends the script if the comparison is false.
check() {
  if ! [ "$2" "$3" "$4" ]; then
    echo "BROKEN $1: $2, not $3 $4"
    grep -h -E "$log_pattern" "$folder"/node-*.log | tail -n 20
    exit 1
  fi
  echo "$1: $2"
}

# configuration VERSION: prints a configuration. Optional: further_routes (JSON
# members, each with a comma before it).
configuration() {
  cat <<JSON
{"version":"r$1","routes":{
"book":{"host":"a.example","prefix":"/book/","kind":"unsafe","timeout":"$route_timeout",
"target-latency":"200ms","priority":1,"service":"agenda","attempts":2},
"look":{"host":"a.example","prefix":"/look/","kind":"safe","timeout":"$route_timeout",
"target-latency":"200ms","priority":2,"service":"agenda","attempts":2}${further_routes:-}},
"services":{"agenda":{"health-check":"/h","max-connections":100,
"protocol":"h1","tls":false,"sharded":true$service_fields}}$limits}
JSON
}

# set_configuration VERSION: writes the configuration to the store.
set_configuration() {
  configuration "$1" | curl -sf -o /dev/null --data-binary @- \
    "http://$store/standin/config"
}

start_deployment() {
  "$build/tests/storestandin" --ports-file "$folder/store" &
  wait_for "$folder/store"
  store=127.0.0.1:$(port "$folder/store" port)
  set_configuration 1

  for number in $(seq $pairs); do
    cat >"$folder/node-$number.ini" <<INI
[node]
name = node-$number
ip = $network.$number
zone = zone-$((number % 3))
service = agenda
server = $(address "$number" 7305)
[listen]
clients = $(address "$number" 7301)
callers = $(address "$number" 7311)
peers = $(address "$number" 7302)
ready = $(address "$number" 7303)
server-calls = $(address "$number" 7304)
metrics = $(address "$number" 7312)
first-port = 7306
last-port = 7310
[platform]
store = $store
[bounds]
heartbeat = $heartbeat
$bounds
$daemon_limits
INI
    start_daemon "$number"
    start_server "$number"
  done
  tries=0
  until ready; do
    sleep 0.2
    tries=$((tries + 1))
    if [ $tries -gt 100 ]; then
      echo "$0: the keys are not served" >&2
      tail -n 5 "$folder"/*.log >&2
      exit 1
    fi
  done
}
