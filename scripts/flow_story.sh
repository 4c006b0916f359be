#!/usr/bin/env bash
# Prints what all processes logged about one flow, in the order of time.
# Usage: scripts/flow_story.sh CLIENT:PORT[>SERVICE:PORT] LOGFILE...   (JSON lines, one file per process or all in one)
set -euo pipefail
if [ $# -lt 2 ]; then
    sed -n '2,3s/^# //p' "$0" >&2
    exit 2
fi
flow=$1
shift
[[ $flow == *">"* ]] && flow+='"' || flow+='>'
grep -hF "\"flow\":\"$flow" -- "$@" | grep -o '{.*}' | sort -t'"' -k4,4 || {
    echo "no line about this flow" >&2
    exit 1
}
