#!/usr/bin/env bash
# A user's first mistakes: each gives one clear line and a non-zero exit.
set -u
build=$1
folder=$(mktemp -d)
failed=0
passed=0

# expect NAME TEXT COMMAND...: the command fails and prints one line with TEXT.
expect() {
  local name=$1 text=$2
  shift 2
  "$@" >"$folder/out" 2>&1
  local code=$?
  local lines
  lines=$(wc -l <"$folder/out")
  if [ "$code" -ne 0 ] && [ "$lines" -eq 1 ] && grep -q -- "$text" "$folder/out"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $name: exit $code, $lines lines:"
    cat "$folder/out"
  fi
}

# settings FILE PORT PLATFORM: a settings file with one free choice each.
settings() {
  cat >"$1" <<INI
[daemon]
name = probe
zone = qc-east-a
operator_port = $2
ports_file = $folder/ports
[platform]
address = $3
timeout_ms = 300
[service agenda]
partitions = 8
INI
}

daemon=$build/src/fescuetillerd
ctl=$build/src/fescuetillerctl

"$build/tests/platformstandin" --ports-file "$folder/platform" &
platform=$!
trap 'kill $platform; rm -rf "$folder"' EXIT
until [ -f "$folder/platform" ]; do sleep 0.05; done
port=$(sed -n 's/^port=//p' "$folder/platform")

settings "$folder/good.ini" 0 "127.0.0.1:$port"
settings "$folder/taken.ini" "$port" "127.0.0.1:$port"
settings "$folder/unreachable.ini" 0 127.0.0.1:1
sed 's/^partitions = 8/partitions = none/' "$folder/good.ini" >"$folder/wrong.ini"
sed 's/^zone/zoen/' "$folder/good.ini" >"$folder/unknown.ini"

expect "no settings file" "--config FILE is missing" "$daemon"
expect "unknown option" "colour" "$daemon" --colour
expect "missing file" "cannot open" "$daemon" --config "$folder/none.ini"
expect "wrong setting" "wrong.ini:10.*none.*whole number" "$daemon" --config "$folder/wrong.ini"
expect "unknown key" "unknown.ini:3.*zoen.*allowed" "$daemon" --config "$folder/unknown.ini"
expect "taken port" "127.0.0.1:$port.*taken" "$daemon" --config "$folder/taken.ini"
expect "unreachable platform" "127.0.0.1:1" "$daemon" --config "$folder/unreachable.ini"
expect "ctl without a command" "no command" "$ctl"
expect "ctl with an unknown command" "unknown command" "$ctl" frobnicate
expect "ctl with an unknown option" "colour" "$ctl" --colour
expect "ctl with an unreachable daemon" "127.0.0.1:1" "$ctl" status --daemon 127.0.0.1:1

# SIGTERM is a graceful stop.
"$daemon" --config "$folder/good.ini" 2>"$folder/log" &
process=$!
until [ -f "$folder/ports" ]; do sleep 0.05; done
kill -TERM $process
wait $process
code=$?
if [ $code -eq 0 ] && grep -q "stopped" "$folder/log"; then
  passed=$((passed + 1))
else
  failed=$((failed + 1))
  echo "FAILED: SIGTERM: exit $code"
  cat "$folder/log"
fi

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
