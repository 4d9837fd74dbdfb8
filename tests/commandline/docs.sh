#!/usr/bin/env bash
# Runs the commands of the manual against a small deployment on loopback: the
# blocks that start with ```sh run, in the order of the pages' names.
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
. "$here/../demo/deployment.sh"
folder=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$folder"' EXIT

"$build/tests/platformstandin" --ports-file "$folder/platform" &
wait_for "$folder/platform"
export FESCUETILLER_PLATFORM=127.0.0.1:$(port "$folder/platform" port)
export PATH=$build/src:$PATH

# start_pair SERVICE NUMBER: one daemon and the backend server beside it.
start_pair() {
  local name=$1-$2
  settings_from "$root/docs/examples/qc-east/$1.ini" "$name" qc-east-a \
    "$FESCUETILLER_PLATFORM" "$folder/$name.ports" >"$folder/$name.ini"
  fescuetillerd --config "$folder/$name.ini" 2>"$folder/$name.log" &
  wait_for "$folder/$name.ports"
  "$build/tests/backendstandin" --service "$1" \
    --daemon "127.0.0.1:$(port "$folder/$name.ports" backend_port)" \
    --run-log "$folder/$name.runs" --ports-file "$folder/$name.backend" \
    --slots 6 --connections 12 --work lookup:4:200 --cold-ms 100 &
}
start_pair agenda 1
start_pair agenda 2
start_pair dossier 1
caller=127.0.0.1:$(port "$folder/agenda-1.ports" caller_port)
operator=127.0.0.1:$(port "$folder/agenda-1.ports" operator_port)
export CALLER=$caller OPERATOR=$operator

# Every partition has an owner.
tries=0
until fescuetillerctl status | grep -q "nothing is degraded"; do
  sleep 0.2
  tries=$((tries + 1))
  if [ $tries -gt 100 ]; then
    fescuetillerctl status
    echo "FAILED: the deployment did not come up"
    exit 1
  fi
done

cd "$root" || exit 1
ran=0
failed=0
for page in docs/*.md; do
  awk -v folder="$folder" -v page="$(basename "$page" .md)" '
    /^```sh run$/ { file = sprintf("%s/%s-%02d.sh", folder, page, ++count); next }
    /^```$/ { file = "" }
    file { print > file }' "$page"
  for block in "$folder/$(basename "$page" .md)"-[0-9][0-9].sh; do
    [ -f "$block" ] || continue
    ran=$((ran + 1))
    if ! (cd "$root" && bash -eu "$block") >"$folder/out" 2>&1; then
      failed=$((failed + 1))
      echo "FAILED: $page:"
      cat "$block" "$folder/out"
    fi
  done
done
echo "$ran blocks run, $failed failed"
[ "$failed" -eq 0 ] && [ "$ran" -gt 0 ]
