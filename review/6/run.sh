#!/usr/bin/env bash
# Plays the case against the built programs. TROUBLE=0 leaves out the disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 timeout -k 15 100 python3 case.py
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
