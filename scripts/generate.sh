#!/usr/bin/env bash
# Writes the committed Cap'n Proto code anew; needs `capnp` and `capnpc-c++`.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.capnp' | while read -r it; do
    folder=$(dirname "$it")
    mkdir -p "$folder/generated"
    capnp compile --src-prefix="$folder" -I"$folder" \
        -oc++:"$folder/generated" "$it"
done
