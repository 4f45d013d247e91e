#!/usr/bin/env bash
# A node that is stopped as planned takes requests that cannot end in its grace period.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" late_public "${TROUBLE:-1}"
