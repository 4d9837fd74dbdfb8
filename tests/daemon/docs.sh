#!/usr/bin/env bash
# Runs the commands of the manual against a small deployment on loopback: all
# code blocks that start with ```sh run, in the order of the pages' names.
# Usage: docs.sh BUILD-FOLDER
set -u
build=$1
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
network=127.0.2
. "$here/deployment.sh"
start_deployment

export PATH=$build/src:$PATH
export FESCUETILLER_STORE=$store
CLIENTS=$(address 1 7301)
CALLERS=$(address 1 7311)
METRICS=$(address 1 7312)
MEMBER=$(address 2 7302)
export CLIENTS CALLERS METRICS MEMBER
until_true 20 sh -c "fescuetillerctl status | grep -q 'nothing is degraded'" ||
  exit 1

ran=0
failed=0
for page in "$root"/docs/*.md; do
  name=$(basename "$page" .md)
  awk -v folder="$folder" -v name="$name" '
    /^ *```sh run$/ { file = sprintf("%s/%s-%02d.sh", folder, name, ++count); next }
    /^ *```$/ { file = "" }
    file { print > file }' "$page"
  for block in "$folder/$name"-[0-9][0-9].sh; do
    [ -f "$block" ] || continue
    ran=$((ran + 1))
    if ! (cd "$root" && bash -eu "$block") >"$folder/out" 2>&1; then
      failed=$((failed + 1))
      echo "FAILED: $name:"
      cat "$block" "$folder/out"
    fi
  done
done
echo "$ran blocks run, $failed failed"
[ "$failed" -eq 0 ] && [ "$ran" -gt 0 ]
