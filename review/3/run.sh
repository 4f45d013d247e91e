#!/usr/bin/env bash
# A request that crashes each worker that runs it comes again and again.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" crashing_request "${TROUBLE:-1}"
