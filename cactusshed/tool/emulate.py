"""The command that simulates the policies under a random load."""

import random
from pathlib import Path

import click

from ..emulator.clients import play
from ..emulator.fleet import World
from ..emulator.load import BadLoad, read_load
from ..emulator.report import render_report
from ..emulator.virtualtime import run_virtual

__all__ = ["emulate"]


@click.command("emulate")
@click.argument("load", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the random numbers."
)
def emulate(load: Path, seed: int) -> None:
    """Simulate the gates and first nodes under the requests that LOAD describes.

    No socket is opened and time is virtual: the same seed gives the same report.
    """
    try:
        parsed_load = read_load(load)
    except BadLoad as error:
        raise click.ClickException(str(error)) from error

    async def run_emulation() -> None:
        world = World(parsed_load, random.Random(seed))
        results = await play(world, random.Random(seed + 1))
        for line in render_report(results, world):
            click.echo(line)

    run_virtual(run_emulation)
