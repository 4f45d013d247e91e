#!/usr/bin/env bash
# A customer sends many times its usual while the owner of its token bucket resumes.
cd "$(dirname "$0")" && exec ../run_case.sh "$PWD" paused_owner
