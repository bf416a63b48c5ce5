#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases of the third review into
# target/review-3, with the packages of deploy/system.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
# The stand-ins of the second review are used again.
stand_ins=(case_record daemon_process http_client http_server kv_store
  platform_front small_deployment worker_stand_in)
pids=()
for name in "${stand_ins[@]}"; do
  g++ "${flags[@]}" -c "review/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for folder in review/1[1-5]; do
  [[ -e $folder/case.cpp ]] || continue
  g++ "${flags[@]}" "$folder/case.cpp" "$out"/*.o \
    -o "$out/case-$(basename "$folder")"
done
