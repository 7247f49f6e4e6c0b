"""Start and end of a case: temporary folder, record, exit status."""

import asyncio
import os
import sys
import tempfile
import traceback
from pathlib import Path

from .deployment import Deployment
from .record import Record

__all__ = ["HAS_TROUBLE", "run_case"]

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case has its disruption."""
LIMIT_SECONDS = 110.0


def run_case(play):
    """Run `play` with a deployment and a record, and exit with its result.

    `play` returns the number of times that the rule was broken; the exit status is 1
    if it was, 0 if it held and 2 if the case could not run.
    """
    record = Record(Path(sys.argv[1]) / "record.txt")
    record.write(f"disruption: {'yes' if HAS_TROUBLE else 'no'}")
    try:
        count = asyncio.run(_play(play, record))
    except Exception:
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(2)
    record.write(f"rule broken {count} times")
    print(f"rule broken {count} times")
    sys.exit(1 if count else 0)


async def _play(play, record):
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(LIMIT_SECONDS):
                return await play(deployment, record)
        finally:
            deployment.close()
            logs = Path(os.environ["KEEP_LOGS"]) if "KEEP_LOGS" in os.environ else None
            if logs:
                for path in Path(folder).glob("*.log"):
                    (logs / path.name).write_bytes(path.read_bytes())
