#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, into target/review/.
set -eu
cd "$(dirname "$0")"
cmake -S . -B ../target/review -DCMAKE_BUILD_TYPE=Release
cmake --build ../target/review -j4
