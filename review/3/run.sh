#!/usr/bin/env bash
# A request that crashes each worker that runs it comes again and again.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" crashing_request
