#!/bin/sh
# Builds the stand-ins that the scripts in review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
cmake -S review/third -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 --target third_cases
