#!/usr/bin/env bash
# Induces faults in real processes on loopback and prints what was seen, in
# about two minutes. Timing decides here, so CI does not run it.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/process_faults.py "$@"
