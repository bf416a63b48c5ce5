#!/usr/bin/env bash
# run_case.sh FOLDER: runs the case of a folder. The program of the case starts
# the daemons and ends them; they also end with it.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$folder/../.."
program="target/review/case_$(basename "$folder")"
[[ -x $program && -x target/bramleystalld ]] || {
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
}
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
timeout -k 1 115 "$program" "$temporary" "$folder/record.txt"
code=$?
[[ $code -le 1 ]] || code=2
[[ -z ${KEEP_LOGS:-} ]] || cp "$temporary"/*.log "$KEEP_LOGS"
exit "$code"
