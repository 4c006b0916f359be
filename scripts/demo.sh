#!/usr/bin/env bash
# Builds the project and runs the complete system on loopback, with stand-ins for the platform, the
# upstreams, the network and the callers.
# Usage: scripts/demo.sh [--seed N] [--seconds S] [--json] [--scenario NAME]
#                        [--deployment manao|association] [--list] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
scripts/build.sh >&2
exec python3 scripts/demo.py --programs build "$@"
