#!/usr/bin/env bash
# Runs one case: run_case.sh FOLDER CASE TROUBLE. The record goes to FOLDER/record.txt. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE 0, the disruption is left
# out.
set -uo pipefail
folder=$1
case_name=$2
trouble=$3
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
  "$trouble"
status=$?
tail -n 3 "$folder/record.txt"
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
