#!/bin/sh
# The stand-ins are Python and need nothing built; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text("utf-8"), str(path), "exec")
PY
