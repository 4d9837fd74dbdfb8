#!/usr/bin/env bash
# A user's first mistakes: each gives one clear line and a non-zero exit.
set -u
unset FESCUETILLER_PLATFORM
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

expect "ctl without a platform" "FESCUETILLER_PLATFORM" "$ctl" status
expect "ctl with an unreachable platform" "127.0.0.1:1" "$ctl" status --platform 127.0.0.1:1
expect "ctl check of wrong settings" "wrong.ini:10.*none.*whole number" "$ctl" check settings "$folder/wrong.ini"

# holds NAME COMMAND...: the command succeeds.
holds() {
  local name=$1
  shift
  if "$@" >"$folder/out" 2>&1; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $name:"
    cat "$folder/out"
  fi
}

"$daemon" --config "$folder/good.ini" 2>"$folder/log" &
process=$!
until [ -f "$folder/ports" ]; do sleep 0.05; done
bound() { sed -n "s/^$1=//p" "$folder/ports"; }
operator=127.0.0.1:$(bound operator_port)

# send PORT-KEY: sends standard input as it is, reads what comes back.
send() {
  exec 3<>"/dev/tcp/127.0.0.1/$(bound "$1")"
  cat >&3 2>/dev/null
  timeout 0.5 cat <&3 >"$folder/answer" 2>/dev/null
  exec 3>&- 3<&-
}

# noise SEED LENGTH: bytes that are the same each time.
noise() {
  awk -v seed="$1" -v count="$2" 'BEGIN {
    srand(seed); for (i = 0; i < count; ++i) printf "%c", int(rand() * 256) }'
}

# refused INPUT: how many malformed inputs of a kind were refused.
refused() {
  "$ctl" metrics --daemon "$operator" |
    sed -n "s/^fescuetiller_refused_inputs_total{input=\"$1\"} //p"
}

# Whatever is sent to a port, the daemon goes on and counts it.
for key in caller_port backend_port operator_port peer_port; do
  noise 1 2000 | send $key
  printf 'GET / HTTP/9.9\r\n\r\n' | send $key
  printf 'POST /v1/announce HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n' | send $key
  printf 'POST /v1/announce HTTP/1.1\r\nContent-Length: 5\r\n\r\n{"a":' | send $key
  { printf 'GET /v1/%08000d HTTP/1.1\r\n\r\n' 7; } | send $key
  { printf 'GET / HTTP/1.1\r\nX: %020000d\r\n\r\n' 7; } | send $key
done
for seed in 1 2 3 4 5; do
  noise $seed 300 >"/dev/udp/127.0.0.1/$(bound control_port)"
done
for input in "caller http" "backend http" "operator http" "control datagram"; do
  holds "refused $input are counted" test "$(refused "$input")" -gt 0
done
holds "the daemon still answers" "$ctl" status --daemon "$operator"
holds "a daemon without a backend server says so" \
  sh -c "'$ctl' status --daemon $operator | grep -q 'has not announced itself'"

# A malformed row of the table service is passed over without a line.
row='{"changes":[{"table":"class","key":"agenda/x","value":"CgH/"}]}'
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'POST /v1/transact HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s' ${#row} "$row" >&3
holds "the platform takes the row" grep -q -m 1 committed <&3
exec 3>&- 3<&-
calls() {
  "$ctl" metrics --daemon "$operator" | sed -n 's/^fescuetiller_store_calls_total{operation="read_changes"} //p'
}
until_calls=$(($(calls) + 6))
until [ "$(calls)" -ge $until_calls ]; do sleep 0.1; done
holds "no line is logged for it" sh -c "! grep libprotobuf '$folder/log'"

# SIGTERM is a graceful stop.
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
