#!/usr/bin/env bash
# Runs all measurements, or the one named, and prints one line per result.
# usage: misc/measure.sh [NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -x build/release/bramleystall_measure ]]; then
  bash misc/install.sh
  cmake --preset release >/dev/null
  cmake --build --preset release --target bramleystall_measure >/dev/null
fi
exec build/release/bramleystall_measure --name "${1:-all}"
