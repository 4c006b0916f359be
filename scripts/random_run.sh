#!/usr/bin/env bash
# Runs the randomised simulation of the core in virtual time. On the first violated invariant, prints the seed and exits with
# status 1.
# Usage: scripts/random_run.sh [--seeds FROM-TO] [--plan planned|faults|restores] [--variant NAME] [--quiet]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh >/dev/null
exec build/packages/random_run/oriolehold-random-run "$@"
