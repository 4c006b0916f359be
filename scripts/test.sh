#!/usr/bin/env bash
# Installs the required packages, builds all targets and runs all tests.
# Usage: scripts/test.sh [--sanitize NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
dir=build
options=()
if [ "${1:-}" = --sanitize ]; then
    options=(--sanitize "$2")
    dir="build-$2"
fi
scripts/install.sh
scripts/build.sh "${options[@]}"
ctest --test-dir "$dir" --output-on-failure
