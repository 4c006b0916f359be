#!/usr/bin/env bash
# Prepares the stand-ins that the cases start. They are Python programs of the standard library only,
# so this checks that they compile. The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py */case.py <<'CHECK'
import sys

if sys.version_info < (3, 9):
    sys.exit("build.sh: Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
echo "review: the stand-ins are ready"
