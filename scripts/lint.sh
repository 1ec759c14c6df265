#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given. Needs a build.
set -euo pipefail
cd "$(dirname "$0")/.."
files=("$@")
[ "${#files[@]}" -gt 0 ] ||
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
printf '%s\n' "${files[@]}" |
    xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy -p build --quiet 2>&1 |
    grep -v -e '^[0-9]* warnings\? generated' -e '^Suppressed' -e '^Use -header' |
    tee build/lint.txt
[ "${PIPESTATUS[1]}" -eq 0 ] || exit 1
echo "lint: clean (${#files[@]} files)"
