#!/usr/bin/env bash
# Builds everything and runs the whole system with stand-ins on loopback.
# Usage: scripts/demo.sh [--seed N] [--seconds S] [--json] [--scenario NAME]
#                        [--deployment manao|association] [--list] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
scripts/build.sh >&2
exec python3 scripts/demo.py --programs build "$@"
