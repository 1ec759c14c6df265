#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over those given. Needs a build.
set -euo pipefail
cd "$(dirname "$0")/.."
files=("$@")
[ "${#files[@]}" -gt 0 ] ||
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
status=0
printf '%s\n' "${files[@]}" |
    xargs -P "${JOBS:-$(nproc)}" -n 2 clang-tidy -p build --quiet >build/lint.txt 2>&1 || status=1
if [ "$status" -ne 0 ]; then
    grep -E -A 3 '(error|warning): ' build/lint.txt
    exit 1
fi
echo "lint: clean (${#files[@]} files)"
