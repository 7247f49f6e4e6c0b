"""The command that plays the policies against a drawn load."""

import random
from pathlib import Path

import click

from ..emulator.clients import play
from ..emulator.load import BadLoad, read_load
from ..emulator.report import render_report
from ..emulator.virtual import run_virtual
from ..emulator.world import World

__all__ = ["emulate"]


@click.command("emulate")
@click.argument("load", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seed", default=1, show_default=True, help="Seed of all chances.")
def emulate(load: Path, seed: int) -> None:
    """Play the gates and first nodes against the requests that LOAD describes.

    No socket is opened and time is virtual: the same seed gives the same report.
    """
    try:
        described = read_load(load)
    except BadLoad as error:
        raise click.ClickException(str(error)) from error

    async def work() -> None:
        world = World(described, random.Random(seed))
        endings = await play(world, random.Random(seed + 1))
        for line in render_report(endings, world):
            click.echo(line)

    run_virtual(work)
