#!/usr/bin/env bash
# Runs one case: run_case.sh FOLDER CASE. The record goes to FOLDER/record.txt. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$1
case_name=$2
root=$(cd "$(dirname "$0")/.." && pwd)
runner=$root/target/review/review_cases
program=$root/target/skylarkhoist
if [ ! -x "$runner" ] || [ ! -x "$program" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
directory=$(mktemp -d) || exit 2
trap 'rm -rf "$directory"' EXIT
timeout -k 2 110 "$runner" "$case_name" "$program" "$directory" "$folder/record.txt" \
  "${TROUBLE:-1}"
status=$?
tail -n 3 "$folder/record.txt"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
