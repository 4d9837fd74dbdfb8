# Functions that run daemons with their backend servers on loopback. The caller
# sets build and folder; sourced by processes.sh and bench/losses.sh.
. "$(dirname "${BASH_SOURCE[0]}")/../demo/deployment.sh"
declare -A processes

# start_platform: the stand-in and the classes of work.
start_platform() {
  "$build/tests/platformstandin" --ports-file "$folder/platform" &
  processes[platform]=$!
  wait_for "$folder/platform"
  platform=127.0.0.1:$(port "$folder/platform" port)
  cat >"$folder/classes.ini" <<INI
[class agenda/lookup]
latency_ms = 100
percentile = 99
share = 0.99
idempotent = true
[class agenda/booking]
latency_ms = 300
percentile = 99
share = 0.99
INI
  FESCUETILLER_PLATFORM=$platform "$build/src/fescuetillerctl" class set \
    --file "$folder/classes.ini"
}

# start_pair NUMBER: one daemon and the backend server beside it.
start_pair() {
  local name=agenda-$1
  cat >"$folder/$name.ini" <<INI
[daemon]
name = $name
zone = zone-$(($1 % 3))
ports_file = $folder/$name.ports
[platform]
address = $platform
[service agenda]
partitions = 32
INI
  "$build/src/fescuetillerd" --config "$folder/$name.ini" \
    2>"$folder/$name.log" &
  processes[$name]=$!
  wait_for "$folder/$name.ports"
  "$build/tests/backendstandin" --service agenda \
    --daemon "127.0.0.1:$(port "$folder/$name.ports" backend_port)" \
    --run-log "$folder/$name.runs" --ports-file "$folder/$name.backend" \
    --slots 6 --connections 60 --work lookup:4:200,booking:8:100 &
  processes[$name-backend]=$!
}

# start_deployment: the platform and six pairs, until they own partitions.
start_deployment() {
  local number
  start_platform
  for number in 1 2 3 4 5 6; do
    start_pair $number
  done
  list_callers
  sleep 3
}

# signal SIGNAL PROCESS...: to processes of this run, by name.
signal() {
  local kind=$1 name
  shift
  for name in "$@"; do
    kill "-$kind" "${processes[$name]}"
  done
}

# lose PROCESS...: ends processes at once.
lose() {
  local name
  signal KILL "$@"
  for name in "$@"; do
    wait "${processes[$name]}" 2>/dev/null || true
    unset "processes[$name]"
    rm -f "$folder/$name.ports"
  done
  list_callers
}

# set_faults JSON: the platform's fault switches.
set_faults() {
  local connection status
  exec {connection}<>"/dev/tcp/127.0.0.1/${platform##*:}"
  printf 'POST /faults HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$platform" "${#1}" "$1" >&"$connection"
  read -r status <&"$connection"
  exec {connection}>&-
  case $status in
  *" 200 "*) ;;
  *) echo "the platform refused the faults: $status" >&2 && exit 1 ;;
  esac
}

# generate SECONDS: load from all callers in the background, as $generator.
generate() {
  runs=$((${runs:-0} + 1))
  "$build/tests/loadgenerator" \
    --classes agenda:lookup:1:150,agenda:booking:0:100 \
    --callers "$folder/callers" --runs "$folder" --platform "$platform" \
    --id-prefix "run$runs-" --partitions 32 --seconds "$1" >"$folder/load.out" &
  generator=$!
}

# check_epochs: no key ran under an older epoch after a newer one had started.
check_epochs() {
  sort -n -k6 "$folder"/*.runs | awk '
    $1 == "start" && $5 > newest[$4] { newest[$4] = $5 }
    $1 != "abort" && $5 < newest[$4] { print "older epoch: " $0; bad = 1 }
    END { exit bad }'
}

end_all() {
  local name
  for name in "${!processes[@]}"; do
    kill -CONT "${processes[$name]}" 2>/dev/null || true
    kill -KILL "${processes[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
