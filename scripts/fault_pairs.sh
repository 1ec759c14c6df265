#!/usr/bin/env bash
# Runs each pair of faults at every step, in six processes: about seven
# minutes of processor time, so CI does not run it.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset default > /dev/null
cmake --build --preset default -- test_faults
pids=()
for shard in 0 1 2 3 4 5; do
    build/test/faults/test_faults "[.pairs$shard]" &
    pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do
    wait "$pid" || failed=1
done
exit "$failed"
