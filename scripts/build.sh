#!/usr/bin/env bash
# Installs what is missing, configures and builds a preset (default: default).
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
scripts/install.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -- -j "${JOBS:-$(nproc)}"
