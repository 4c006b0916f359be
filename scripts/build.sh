#!/usr/bin/env bash
# Configures and builds all targets.
# Usage: scripts/build.sh [--sanitize NAME] [--bench] [--dir DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
dir=build
options=()
while [ $# -gt 0 ]; do
    case "$1" in
    --sanitize) options+=("-DORIOLEHOLD_SANITIZE=$2"); dir="build-$2"; shift 2 ;;
    --bench) options+=(-DORIOLEHOLD_BENCHMARKS=ON); shift ;;
    --dir) dir="$2"; shift 2 ;;
    *) echo "build.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
cmake -S . -B "$dir" -G Ninja "${options[@]}" >/dev/null
# Defaults to four parallel jobs because several builds may share the machine.
cmake --build "$dir" -j "${ORIOLEHOLD_JOBS:-4}"
