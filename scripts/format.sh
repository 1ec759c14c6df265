#!/usr/bin/env bash
# Checks the format of all sources; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format "${mode[@]}"
echo "format: clean"
