#!/usr/bin/env bash
# Installs the required packages, builds the benchmarks and runs them. Prints Markdown to standard
# output and writes no files outside the build directory.
# Usage: scripts/bench.sh [all | entry | flow | scheduling | balancing | capacity | daemon]
set -euo pipefail
cd "$(dirname "$0")/.."
name="${1:-all}"
seed=1
dir=build-bench
programs="$dir/packages"
case "$name" in
all | entry | flow | scheduling | balancing | capacity | daemon) ;;
*) echo "bench.sh: unknown benchmark group $name" >&2; exit 2 ;;
esac
scripts/install.sh >&2
scripts/build.sh --bench --dir "$dir" >&2

commit="$(git rev-parse --short HEAD)"
[ -z "$(git status --porcelain --untracked-files=no)" ] || commit="$commit with local changes"

# Prints a heading with commit, command, seed and machine load, then runs the command.
# Usage: run SEED COMMAND...
run() {
    local run_seed="$1"
    shift
    printf '\nCommit %s, command `%s`, seed %s, %s cores, load %s.\n\n' "$commit" "$*" "$run_seed" \
        "$(nproc)" "$(cut -d ' ' -f 1 /proc/loadavg)"
    "$@"
}

# Succeeds when benchmark group $1 is to be run.
selected() {
    [ "$name" = all ] || [ "$name" = "$1" ]
}

if selected entry; then
    run 1 "$programs/core/core_bench" --benchmark_min_time=0.2 --benchmark_color=false 2>&1
fi
if selected flow; then
    run 1 "$programs/entry/entry_bench" --benchmark_min_time=0.2 --benchmark_color=false 2>&1
fi
if selected scheduling; then
    run "$seed" "$programs/core/scheduling_comparison" --seed "$seed"
fi
if selected balancing; then
    run "$seed" "$programs/core/balancing_comparison" "$seed"
fi
if selected capacity; then
    run "$seed" "$programs/entry/capacity_comparison"
    run "$seed" "$programs/entry/watch_comparison" --seed "$seed"
fi
if selected daemon; then
    run none "$programs/entry/packet_rate_comparison" --entry "$programs/entry/oriolehold-entry" \
        --platform "$dir/standins/standin-platform"
    run none "$programs/entry/footprint_comparison" --entry "$programs/entry/oriolehold-entry" \
        --agent "$programs/agent/oriolehold-agent" --platform "$dir/standins/standin-platform"
fi
