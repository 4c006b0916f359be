#!/usr/bin/env bash
# Installs an existing build into a temporary directory and checks the installed programs, example
# settings and systemd units. Usage: scripts/check_install.sh [BUILD_DIR]
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
    # Not piped into grep -q, which may close the pipe before the program has written all output.
    version=$("$program" --version)
    [[ $version == *"version: "[0-9]* ]] || fail "$daemon: --version prints no version number"
    for deployment in manao association; do
        settings="$documentation/examples/$deployment/$daemon.json"
        "$program" --config "$settings" --check >/dev/null || fail "$settings is not valid"
        unit="$prefix/lib/systemd/system/oriolehold-$daemon.service"
        timeout=$(sed -n 's/^TimeoutStopSec=\([0-9]*\)s$/\1/p' "$unit")
        limit=$(sed -n 's/.*"drain_limit_s": *\([0-9]*\).*/\1/p' "$settings")
        [ "$timeout" -gt "$limit" ] || fail "$unit: TimeoutStopSec must be greater than drain_limit_s in $settings"
    done
    ! grep -q '@[A-Z_]*@' "$unit" || fail "$unit contains an unsubstituted variable"
    echo '{}' >"$prefix/empty.json"
    status=0
    "$program" --config "$prefix/empty.json" --check >/dev/null 2>&1 || status=$?
    [ "$status" = 3 ] || fail "$daemon: exit status for invalid settings is $status, expected 3"
done
echo "installation: ok"
