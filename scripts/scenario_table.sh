#!/usr/bin/env bash
# Runs demo scenarios sequentially and prints their results as a Markdown table.
# Usage: scripts/scenario_table.sh [--seconds S] [--seed N] [SCENARIO...] (default: all, 15 s, seed 1)
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=15
seed=1
while [ $# -gt 0 ]; do
    case "$1" in
    --seconds) seconds="$2"; shift 2 ;;
    --seed) seed="$2"; shift 2 ;;
    *) break ;;
    esac
done
scenarios=("$@")
if [ ${#scenarios[@]} -eq 0 ]; then
    scenarios=(basic rolling-entries rolling-upstreams everything-at-once platform-down paused-agent killed-entry
        killed-agent zone-lost crest stragglers duplicate-orders cancelled-callers)
fi
fields=(flows broken_flows owner_lost_flows requests done not_run unknown lost doubled wrong_service ran_after_refusal
    incomplete_answers imbalance p50_ms p99_ms)
printf '| scenario | status |'; printf ' %s |' "${fields[@]}"; printf '\n|---|---|'; printf -- '---|%.0s' "${fields[@]}"; printf '\n'
for scenario in "${scenarios[@]}"; do
    status=0
    output=$(python3 scripts/demo.py --seconds "$seconds" --seed "$seed" --json --scenario "$scenario" 2>/dev/null) || status=$?
    line=$(printf '%s\n' "$output" | grep '^{' | tail -1 || true)
    printf '| %s | %s |' "$scenario" "$status"
    python3 -c '
import json, sys
line, fields = sys.argv[1], sys.argv[2:]
result = json.loads(line) if line else {}
print("".join(f" {result.get(field, chr(45))} |" for field in fields))' "$line" "${fields[@]}"
done
