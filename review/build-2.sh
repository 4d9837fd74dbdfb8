#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 -j8 --target storestandin backend clients \
  unreadingclients longpathclients holdcheck
