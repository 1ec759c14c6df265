#!/usr/bin/env bash
# Measures what control costs each daemon, idle and under load, and the time
# from publish to in force. Timings never decide CI.
#   bench/control_cost.sh [--daemons 9] [--workers 48] [--seconds 10]
#                         [--rates 0,100,300,610] [--publications 50]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 bench/control_cost.py "$@"
