#!/usr/bin/env bash
# Installs a finished build into a temporary folder and checks the programs, the example settings
# and the systemd units there. Usage: scripts/check_install.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$build" --prefix "$prefix" >/dev/null

fail() {
    echo "check_install.sh: $1" >&2
    exit 1
}

documentation="$prefix/share/doc/oriolehold"
for daemon in entry agent; do
    program="$prefix/bin/oriolehold-$daemon"
    # Captured first: grep -q may close the pipe before the program has written everything.
    version=$("$program" --version)
    [[ $version == *"version: "[0-9]* ]] || fail "$daemon: --version prints no version"
    for deployment in manao association; do
        settings="$documentation/examples/$deployment/$daemon.json"
        "$program" --config "$settings" --check >/dev/null || fail "$settings is not valid"
        unit="$prefix/lib/systemd/system/oriolehold-$daemon.service"
        timeout=$(sed -n 's/^TimeoutStopSec=\([0-9]*\)s$/\1/p' "$unit")
        limit=$(sed -n 's/.*"drain_limit_s": *\([0-9]*\).*/\1/p' "$settings")
        [ "$timeout" -gt "$limit" ] || fail "$unit: TimeoutStopSec is not above drain_limit_s of $settings"
    done
    ! grep -q '@[A-Z_]*@' "$unit" || fail "$unit holds an unset variable"
    echo '{}' >"$prefix/empty.json"
    status=0
    "$program" --config "$prefix/empty.json" --check >/dev/null 2>&1 || status=$?
    [ "$status" = 3 ] || fail "$daemon: wrong settings give exit code $status, not 3"
done
echo "installation: ok"
