#!/usr/bin/env bash
# Builds the stand-ins of the second review. The program under test is that of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O2 -Wall -Wextra -pthread -o target/review-2/second_cases review/second_cases_test.cc
