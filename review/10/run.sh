#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/../common2" PYTHONDONTWRITEBYTECODE=1 python3 "$here/case.py"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
