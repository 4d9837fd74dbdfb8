# Functions of the scripts that start a deployment on loopback.

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

# list_callers: writes the callers' addresses of all daemons into the folder.
list_callers() {
  local ports
  for ports in "$folder"/*.ports; do
    [ -f "$ports" ] && echo "127.0.0.1:$(port "$ports" caller_port)"
  done >"$folder/callers.new"
  mv "$folder/callers.new" "$folder/callers"
}

# settings_from EXAMPLE NAME ZONE PLATFORM PORTS-FILE: the example's settings
# with a name of its own, on loopback and on free ports.
settings_from() {
  sed -e "s/^name = .*/name = $2/" -e "s/^zone = .*/zone = $3/" \
    -e "s/^address = .*/address = $4/" -e "s/_ip = .*/_ip = 127.0.0.1/" \
    -e "s/_port = .*/_port = 0/" \
    -e "s|^\\[daemon\\]|[daemon]\\nports_file = $5|" "$1"
}
