# Functions of the scripts that start processes.

# wait_for FILE: until a process has written its ports.
wait_for() {
  local tries=0
  until [ -f "$1" ]; do
    sleep 0.05
    tries=$((tries + 1))
    if [ $tries -gt 400 ]; then
      echo "$0: $1 did not appear" >&2
      exit 1
    fi
  done
}

# port FILE KEY: a bound port.
port() { sed -n "s/^$2=//p" "$1"; }

# until_true SECONDS COMMAND...: tries again until the command succeeds.
until_true() {
  local tries=$(($1 * 5))
  shift
  until "$@"; do
    sleep 0.2
    tries=$((tries - 1))
    if [ $tries -le 0 ]; then
      echo "$0: never succeeded: $*" >&2
      return 1
    fi
  done
}
