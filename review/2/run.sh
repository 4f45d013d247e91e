#!/usr/bin/env bash
# A node that is stopped as planned takes requests that cannot end in its grace period.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" late_public
