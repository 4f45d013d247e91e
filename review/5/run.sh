#!/usr/bin/env bash
# A late status report of a worker that has deregistered, after all nodes were killed.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" late_report
