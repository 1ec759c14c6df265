#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 held, 2 could not run.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
