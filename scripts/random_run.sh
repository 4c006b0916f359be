#!/usr/bin/env bash
# Randomised runs of the core in virtual time. Stops with status 1 and prints the seed on the first violation.
# Usage: scripts/random_run.sh [--seeds FROM-TO] [--plan planned|faults] [--variant NAME] [--quiet]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec build/packages/random_run/oriolehold-random-run "$@"
