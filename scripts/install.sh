#!/usr/bin/env bash
# Installs what the build needs from Debian's packages, if anything is missing.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy python3 pkg-config
    libcapnp-dev libmicrohttpd-dev libcurl4-openssl-dev libboost-dev
    libabsl-dev liblog4cxx-dev catch2 nlohmann-json3-dev librapidcheck-dev
    libxxhash-dev libpcg-cpp-dev libssl-dev libsodium-dev curl spin gcc
)
missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q '^install ok installed$' ||
        missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
