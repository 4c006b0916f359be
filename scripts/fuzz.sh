#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for a limited time. Exits with status 1 when a
# target fails and stores the failing input in build-fuzz/findings. Usage: scripts/fuzz.sh [--seconds N] [TARGET...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=20 # per target
targets=()
while [ $# -gt 0 ]; do
    case "$1" in
    --seconds) seconds="$2"; shift 2 ;;
    --*) echo "fuzz.sh: unknown option $1" >&2; exit 2 ;;
    *) targets+=("$1"); shift ;;
    esac
done
[ ${#targets[@]} -gt 0 ] || mapfile -t targets < <(cd fuzz/corpus && printf '%s\n' *)

# Clang with the runtimes of its sanitizers and of libFuzzer, which only this script requires.
scripts/install.sh clang-14 libclang-rt-14-dev

dir=build-fuzz
cmake -S . -B "$dir" -G Ninja -DORIOLEHOLD_FUZZERS=ON -DCMAKE_CXX_COMPILER=clang++-14 >/dev/null
cmake --build "$dir" -j "${ORIOLEHOLD_JOBS:-4}" --target fuzzers
mkdir -p "$dir/findings"
status=0
for target in "${targets[@]}"; do
    mkdir -p "$dir/corpus/$target"
    log="$dir/$target.log"
    # libFuzzer writes new inputs to the first directory and only reads the committed corpus.
    if "$dir/fuzz/${target}_fuzzer" -max_total_time="$seconds" -timeout=5 -rss_limit_mb=2048 \
        -artifact_prefix="$dir/findings/$target-" -print_final_stats=1 \
        "$dir/corpus/$target" "fuzz/corpus/$target" >"$log" 2>&1; then
        runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")
        echo "$target: no finding in $runs runs"
    else
        echo "$target: FINDING, see $log"
        grep -E 'ERROR|runtime error|invariant|Test unit written' "$log" || tail -5 "$log"
        status=1
    fi
done
exit $status
