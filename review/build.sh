#!/usr/bin/env bash
# Builds the stand-ins of the review's cases: one program, target/review/review_cases.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review
