#!/usr/bin/env bash
# Runs the fault matrix and writes its table into docs/FAULTS.md.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset default > /dev/null
cmake --build --preset default -- test_faults
build/test/faults/test_faults "[.page]"
