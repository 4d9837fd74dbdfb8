# Functions for scripts that start processes.

# wait_for FILE: waits until a process has written its port file; exits after
# 20 s.
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

# port FILE KEY: prints a port from a port file.
port() { sed -n "s/^$2=//p" "$1"; }

# until_true SECONDS COMMAND...: retries the command every 200 ms until it
# succeeds; fails after SECONDS.
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
