#!/usr/bin/env bash
# Checks the format and runs the linter on every source file.
# The compile commands of the release build must exist.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files '*.cpp')
# Precompiled headers of another compiler cannot be read by the linter.
mkdir -p build/lint
sed -E 's/-include [^ ]*cmake_pch\.hxx//g; s/-Winvalid-pch//g' \
  build/release/compile_commands.json > build/lint/compile_commands.json
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/lint 2>build/lint/stderr.txt
