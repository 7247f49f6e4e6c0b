"""The command that simulates the policies under a random load."""

import random
from pathlib import Path

import click

from ..emulator.clients import run_load
from ..emulator.fleet import EmulatedFleet
from ..emulator.load import InvalidLoad, read_load
from ..emulator.report import render_report
from ..emulator.virtualtime import run_in_virtual_time

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
    except InvalidLoad as error:
        raise click.ClickException(str(error)) from error

    async def run_emulation() -> None:
        fleet = EmulatedFleet(parsed_load, random.Random(seed))
        outcomes = await run_load(fleet, random.Random(seed + 1))
        for line in render_report(outcomes, fleet):
            click.echo(line)

    run_in_virtual_time(run_emulation)
