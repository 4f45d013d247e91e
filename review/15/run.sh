#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Build target/skylarkhoist and run
# review/build-3.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/third_cases ] && [ -x target/skylarkhoist ] || exit 2
exec target/review-3/third_cases taken_back_cold target/skylarkhoist review/15/record.txt
