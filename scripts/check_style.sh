#!/usr/bin/env bash
# Checks the sources with clang-format and clang-tidy.
# Usage: scripts/check_style.sh [FILE...] (default: all tracked sources)
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.h')
fi
[ ${#files[@]} -gt 0 ] || exit 0
clang-format --dry-run --Werror "${files[@]}"
[ -f build/compile_commands.json ] || scripts/build.sh
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
[ ${#sources[@]} -gt 0 ] || exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -P "${ORIOLEHOLD_JOBS:-4}" -n 1 clang-tidy -p build --quiet 2>/dev/null
