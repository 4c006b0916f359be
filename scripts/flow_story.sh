#!/usr/bin/env bash
# Prints the log events of all processes about one flow in chronological order.
# Usage: scripts/flow_story.sh CLIENT:PORT[>SERVICE:PORT] LOGFILE...   (JSON lines, one file per process or combined)
set -euo pipefail
if [ $# -lt 2 ]; then
    sed -n '2,3s/^# //p' "$0" >&2
    exit 2
fi
flow=$1
shift
[[ $flow == *">"* ]] && flow+='"' || flow+='>'
grep -hF "\"flow\":\"$flow" -- "$@" | grep -o '{.*}' | sort -t'"' -k4,4 || {
    echo "flow_story.sh: no log event found for this flow" >&2
    exit 1
}
