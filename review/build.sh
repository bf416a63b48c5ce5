#!/usr/bin/env bash
# Builds the stand-ins (review/*.cpp) and the programs of the cases into
# target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
jobs=()
for source in review/*.cpp review/[1-5]/case.cpp; do
  object="target/review/${source//\//_}.o"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -c "$source" -o "$object" &
  jobs+=("$!")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
stand_ins=()
for source in review/*.cpp; do
  stand_ins+=("target/review/${source//\//_}.o")
done
for source in review/[1-5]/case.cpp; do
  folder="${source%/case.cpp}"
  g++ -pthread -o "target/review/case_${folder#review/}" \
    "target/review/${source//\//_}.o" "${stand_ins[@]}"
done
