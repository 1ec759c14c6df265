#!/usr/bin/env bash
# Checks the model of the takeover with spin: the whole rule, and what may be
# missing without harm, in both scenarios; then with each part taken out. Prints verdict and state count of each run and
# fails if one is not as expected.
set -euo pipefail
cd "$(dirname "$0")/.."
model=$PWD/test/model/takeover.pml
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
memory_mib=1500
depth=500000
status=0

# check <expected verdict> <macros...>
check() {
    local expected=$1 run verdict
    shift
    run="$folder/$(printf '%s' "$@" | tr -c 'A-Za-z0-9' _)"
    mkdir -p "$run"
    (
        cd "$run"
        spin -a "$@" "$model" >spin.txt
        gcc -O2 -w -DSAFETY -DNOFAIR -DMEMLIM=$memory_mib -o pan pan.c
        ./pan -E -m$depth >pan.txt || true
    )
    if grep -q 'assertion violated' "$run/pan.txt"; then
        verdict=double_start
    elif grep -q 'errors: 0' "$run/pan.txt" &&
        ! grep -Eq 'out of memory|max search depth' "$run/pan.txt"; then
        verdict=safe
    else
        verdict=incomplete
    fi
    printf '%-14s %10s states  %s\n' "$verdict" \
        "$(awk '/states, stored/ { print $1 }' "$run/pan.txt")" "$*"
    if [ "$verdict" != "$expected" ]; then
        echo "expected: $expected"
        tail -n 20 "$run/pan.txt"
        status=1
    fi
}

check safe -DFIXED
check safe -DFIXED -DWAIT_ONLY
check safe -DFIXED -DFENCE_ONLY
check safe -DCHANGED
check safe -DCHANGED -DWAIT_ONLY
for fault in NO_EPOCH_CHECK FENCE_ONE NO_WAIT NEWS_TO_ONE FROM_ANSWER NO_TOKEN \
    NO_MARGIN; do
    check double_start -DFIXED -D$fault
done
check double_start -DCHANGED -DNEWEST_SET
check double_start -DCHANGED -DSTRUCK_OFF
exit "$status"
