#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 6 to 10 into target/review-2,
# with the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
stand_ins=(case_record daemon_process http_client http_server kv_store
  small_deployment worker_stand_in)
pids=()
for name in "${stand_ins[@]}"; do
  g++ "${flags[@]}" -c "review/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in 6 7 9 10; do
  g++ "${flags[@]}" "review/$case/case.cpp" "$out"/*.o -o "$out/case-$case"
done
