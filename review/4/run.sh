#!/usr/bin/env bash
# A late status report of a worker that has deregistered, after all nodes were killed.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" late_report "${TROUBLE:-1}"
