#!/bin/sh
# Builds what the scripts of the second review start besides the nodes: the stand-ins
# need the standard library only, so they are compiled, and imported once.
set -e
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/common2"
python3 -m compileall -q reviewkit
PYTHONDONTWRITEBYTECODE=1 python3 -c "import reviewkit.traffic"
