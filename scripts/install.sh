#!/usr/bin/env bash
# Installs the Debian packages required by the build and the tests, and those given as arguments. Does nothing when all are
# already installed. Usage: scripts/install.sh [PACKAGE...]
set -euo pipefail
packages=(
    build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy
    libcxxtools-dev libcereal-dev libspdlog-dev libtclap-dev libcpputest-dev libboost1.81-dev
    libcoap3-dev libsodium-dev nlohmann-json3-dev libbenchmark-dev libssl-dev python3
    "$@"
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    sudo=""
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
fi
