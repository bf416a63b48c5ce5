#!/usr/bin/env bash
# Runs the decision measurements and prints one line each.
# usage: misc/measure.sh [NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x build/release/bramleystall_measure ]]; then
  bash misc/install.sh
  cmake --preset release >/dev/null
  cmake --build --preset release --target bramleystall_measure >/dev/null
fi
exec build/release/bramleystall_measure --name "${1:-all}"
