#!/usr/bin/env bash
# Short soak: fresh processes with few faults, and the seeds that failed once.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 soak/soak.py --seed 1 --seeds 4 --seconds 6 \
    --known-red "2:failed without a failed run" "$@"
python3 soak/soak.py --seed 7 --seconds 6 "$@"
python3 soak/soak.py --takeovers --seed 1 --seconds 8 "$@"
python3 soak/soak.py --restarts --seed 218 --seconds 3 "$@"
