#!/usr/bin/env bash
# Runs a deployment of today's size on loopback under load; midway it drains a
# backend server, kills a daemon with its backend server and starts a new pair.
# Usage: demo.sh BUILD-FOLDER [qc-east|nordvik] [SECONDS]
set -eu
build=$1
here=$(cd "$(dirname "$0")" && pwd)
examples=$here/../../docs/examples
. "$here/deployment.sh"
deployment=${2:-qc-east}
seconds=${3:-20}
folder=$(mktemp -d)
declare -A processes
trap 'kill $(jobs -p) 2>/dev/null || true; wait 2>/dev/null; rm -rf "$folder"' EXIT

case $deployment in
qc-east)
  zones=(qc-east-a qc-east-b qc-east-c)
  services=(agenda:8 dossier:3)
  slots=6
  connections=120
  work=lookup:4:200,booking:8:100,report:5:400,fixture-log:8:100,bundle:60:262144
  load=agenda:lookup:1:200,agenda:booking:0:80,dossier:report:1:40,dossier:fixture-log:0:40,dossier:bundle:1:20
  ;;
nordvik)
  zones=(nv-hall-a nv-hall-b nv-hall-c)
  services=(clearance-desk:9 footage-vault:3)
  slots=9
  connections=75
  work=rights-lookup:4:200,licence-grant:8:100,holder-check:50:100,download:80:262144,takedown:8:100
  load=clearance-desk:rights-lookup:1:200,clearance-desk:licence-grant:0:80,footage-vault:holder-check:1:30,footage-vault:download:1:20,footage-vault:takedown:0:40
  ;;
*)
  echo "demo.sh: unknown deployment $deployment; known: qc-east, nordvik" >&2
  exit 2
  ;;
esac

# start_pair SERVICE NUMBER: one daemon and the backend server beside it.
start_pair() {
  local service=$1 name=$1-$2
  local zone=${zones[$(($2 % ${#zones[@]}))]}
  settings_from "$examples/$deployment/$service.ini" "$name" "$zone" "$platform" \
    "$folder/$name.ports" >"$folder/$name.ini"
  "$build/src/fescuetillerd" --config "$folder/$name.ini" 2>"$folder/$name.log" &
  processes[$name]=$!
  wait_for "$folder/$name.ports"
  "$build/tests/backendstandin" --service "$service" \
    --daemon "127.0.0.1:$(port "$folder/$name.ports" backend_port)" \
    --run-log "$folder/$name.runs" --ports-file "$folder/$name.backend" \
    --slots $slots --connections $connections --work "$work" --cold-ms 500 &
  processes[$name-backend]=$!
}

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
platform=127.0.0.1:$(port "$folder/platform" port)

export FESCUETILLER_PLATFORM=$platform
"$build/src/fescuetillerctl" class set --file "$examples/$deployment/classes.ini"

for entry in "${services[@]}"; do
  for number in $(seq 1 "${entry#*:}"); do
    start_pair "${entry%:*}" "$number"
  done
done
list_callers
echo "$deployment: ${services[*]} started, waiting for owners"
sleep 3

"$build/tests/loadgenerator" --classes "$load" --callers "$folder/callers" \
  --runs "$folder" --platform "$platform" --seconds "$seconds" &
generator=$!

first=${services[0]%:*}
count=${services[0]#*:}
sleep $((seconds / 4))
echo "draining the backend server of $first-1"
"$build/src/fescuetillerctl" drain "$first-1"
sleep $((seconds / 4))
echo "killing the daemon and the backend server of $first-2"
{
  kill -KILL "${processes[$first-2]}" "${processes[$first-2-backend]}"
  wait "${processes[$first-2]}" || true
  wait "${processes[$first-2-backend]}" || true
} 2>/dev/null
rm "$folder/$first-2.ports"
list_callers
sleep 1
echo "starting $first-$((count + 1))"
start_pair "$first" $((count + 1))
list_callers

held=0
wait $generator || held=1

echo "stopping every daemon"
daemons=()
for name in "${!processes[@]}"; do
  case $name in
  "$first-2" | *-backend) ;;
  *) daemons+=("${processes[$name]}") ;;
  esac
done
kill -TERM "${daemons[@]}"
for process in "${daemons[@]}"; do
  wait "$process" || { held=1 && echo "a daemon did not stop gracefully"; }
done

if [ $held -eq 0 ]; then
  echo "held: nothing lost, doubled or answered to the wrong caller"
else
  echo "FAILED: see above"
  exit 1
fi
