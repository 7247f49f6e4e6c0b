"""The daemon `cactusshedd`: a node that serves the targets of its host."""

import signal
import sys

import anyio
import click

from .errors import CactusError
from .observe.events import open_log
from .settings import Settings, load_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1


@click.command()
@click.argument("path", metavar="SETTINGS.ini")
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: str, check: bool) -> None:
    """Run a node with the settings in SETTINGS.ini."""
    try:
        settings = load_settings(path)
    except CactusError as error:
        click.echo(f"{error.code}: {path}", err=True)
        click.echo(error.message, err=True)
        sys.exit(EXIT_SETTINGS)
    if check:
        click.echo(f"{path}: ok")
        return
    open_log(settings.log, settings.node)
    try:
        anyio.run(_run, settings)
    except OSError as error:
        click.echo(f"start-failed: {error}", err=True)
        sys.exit(EXIT_FAILED)


async def _run(settings: Settings) -> None:
    from .node import Node  # imported here to keep --check fast

    stop = anyio.Event()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_signals, signals, stop)
            await Node(settings).run(stop)
            tasks.cancel_scope.cancel()


async def _watch_signals(signals, stop: anyio.Event) -> None:
    async for _ in signals:
        stop.set()


if __name__ == "__main__":
    main()
