"""The daemon for the users' platform: a node that serves one target."""

import signal
import sys

# Ignores SIGHUP until the event loop installs its handler: a change of the settings
# must not kill a node that is still starting and has yet to read them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# This daemon uses no TLS; hiding `ssl` saves the 4 MB that OpenSSL takes in memory.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
# `hashlib` would load OpenSSL for digests that the standard library has by itself.
sys.modules.setdefault("_hashlib", None)  # type: ignore[arg-type]

import asyncio  # noqa: E402
import os  # noqa: E402

from .errors import CactusError  # noqa: E402
from .mesh.sidecar import Sidecar  # noqa: E402
from .mesh.supervision import keep_running  # noqa: E402
from .nodesettings import Settings  # noqa: E402
from .observe.lines import log_line, open_lines  # noqa: E402
from .platform.boot import find_settings_path, load_settings  # noqa: E402

__all__ = ["main"]

EXIT_SETTINGS = 2
CHECK_INTERVAL_SECONDS = 1.0
"""Interval of checks of the settings file, which may change without a SIGHUP."""


def main() -> None:
    """Run a node with the settings file that the platform provides."""
    try:
        path = find_settings_path()
        settings = load_settings(path)
    except CactusError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    log = open_lines(settings.node)
    asyncio.run(_run(path, settings))
    log.flush()


async def _run(path: str, settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    stop, changed = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    sidecar = Sidecar(settings)

    async def watch_settings() -> None:
        await _watch_settings(path, sidecar, changed)

    watcher = asyncio.create_task(keep_running(watch_settings, sidecar.counters))
    try:
        await sidecar.run(stop)
    finally:
        watcher.cancel()


async def _watch_settings(path: str, sidecar: Sidecar, changed: asyncio.Event) -> None:
    """Reload the settings when the file changes, with or without a SIGHUP."""
    stamp = _read_stamp(path)
    while True:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                await changed.wait()
        except TimeoutError:
            if _read_stamp(path) == stamp:
                continue
        changed.clear()
        stamp = _read_stamp(path)
        try:
            new_settings = load_settings(path)
        except CactusError as error:
            log_line("reload-refused", cause=str(error))
            continue
        if new_settings != sidecar.settings:
            sidecar.reload(new_settings)


def _read_stamp(path: str) -> tuple[int, int] | None:
    """Return the file's modification time and size, `None` if it does not exist."""
    try:
        status = os.stat(path)
    except OSError:
        # The file is being replaced; the next check finds it.
        return None
    return status.st_mtime_ns, status.st_size


if __name__ == "__main__":
    main()
