#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash misc/install.sh
cmake --preset release >/dev/null
cmake --build --preset release
bash misc/lint.sh
ctest --test-dir build/release --output-on-failure
