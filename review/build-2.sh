#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 6 to 10 into target/review-2,
# with the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
pids=()
for source in review/world/*.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in 6 7 8 9 10; do
  if [[ -f review/$case/case.cpp ]]; then
    g++ "${flags[@]}" "review/$case/case.cpp" "$out"/*.o -o "$out/case-$case"
  fi
done
