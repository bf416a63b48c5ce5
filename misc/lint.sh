#!/usr/bin/env bash
# Checks the format and runs the linter on every source file. The release build
# must exist. Skips a file if the file, the project's headers that it includes
# and the linter's settings are unchanged since it last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"

stamps=build/lint/stamps
mkdir -p "$stamps"
# The linter cannot read the precompiled headers of another compiler.
sed -E 's/-include [^ ]*cmake_pch\.hxx//g; s/-Winvalid-pch//g' \
  build/release/compile_commands.json > build/lint/compile_commands.json
# Writes a line "SOURCE DEPENDENCY" for each dependency inside the project.
ninja -C build/release -t deps 2>/dev/null | awk -v root="$PWD/" '
  /^[^ ]/ { source = "" }
  /^    / {
    path = $1
    sub("^[.][.]/[.][.]/", "", path)
    if (index(path, root) == 1) path = substr(path, length(root) + 1)
    if (path ~ /^[/]/ || path ~ /^CMakeFiles/) next
    if (source == "") source = path
    print source, path
  }' > build/lint/deps.txt

fingerprint() { # SOURCE: prints a hash of all files that its result depends on
  { echo .clang-tidy; awk -v s="$1" '$1 == s { print $2 }' build/lint/deps.txt; } |
    sort -u | xargs sha256sum | sha256sum
}

pending=()
while read -r source; do
  stamp="$stamps/${source//\//_}"
  if [[ ! -f $stamp || $(<"$stamp") != "$(fingerprint "$source")" ]]; then
    pending+=("$source")
  fi
done < <(git ls-files '*.cpp')
echo "lint: ${#pending[@]} files to check"

check() {
  clang-tidy --quiet -p build/lint "$1" 2>/dev/null &&
    fingerprint "$1" > "$stamps/${1//\//_}"
}
export -f check fingerprint
export stamps
printf '%s\n' "${pending[@]}" | xargs -r -P "$(nproc)" -I{} bash -c 'check {}'
