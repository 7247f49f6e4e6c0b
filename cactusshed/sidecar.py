"""The daemon of the users' platform: a node beside one target."""

import signal
import sys

# A node that is still starting must not end because its settings have changed: it is
# about to read them. The handler comes with the event loop.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Nothing here speaks TLS; the event loop then does not load 4 MB of OpenSSL.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import asyncio  # noqa: E402
import os  # noqa: E402

from .errors import CactusError  # noqa: E402
from .mesh.sidecar import Sidecar  # noqa: E402
from .observe.lines import log_line, open_lines  # noqa: E402
from .platform.boot import Settings, find_settings_path, load_settings  # noqa: E402

__all__ = ["main"]

EXIT_SETTINGS = 2
LOOK_SECONDS = 1.0
"""Time between two looks at the settings file, which may change without a signal."""


def main() -> None:
    """Run a node with the settings that the platform names."""
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
    watching = asyncio.create_task(_watch_settings(path, settings, sidecar, changed))
    try:
        await sidecar.run(stop)
    finally:
        watching.cancel()


async def _watch_settings(
    path: str, settings: Settings, sidecar: Sidecar, changed: asyncio.Event
) -> None:
    """Reload the settings when they change, with a signal or without."""
    stamp = _read_stamp(path)
    while True:
        try:
            async with asyncio.timeout(LOOK_SECONDS):
                await changed.wait()
        except TimeoutError:
            if _read_stamp(path) == stamp:
                continue
        changed.clear()
        stamp = _read_stamp(path)
        try:
            found = load_settings(path)
        except CactusError as error:
            log_line("reload-refused", cause=str(error))
            continue
        if found != settings:
            settings = found
            sidecar.reload(found)


def _read_stamp(path: str) -> tuple[int, int] | None:
    """Return what changes with the file; `None` while there is none."""
    try:
        status = os.stat(path)
    except OSError:
        # It is being replaced; the next look finds it.
        return None
    return status.st_mtime_ns, status.st_size


if __name__ == "__main__":
    main()
