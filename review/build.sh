#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start, into review/build/.
set -eu
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4
