#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are scripts for python3 without further packages, so nothing is built;
# the programs under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - standins-2/*.py [0-9]*/case.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
import tomllib  # python3 3.11 or later
END
