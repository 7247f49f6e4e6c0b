"""Command of the soak."""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import click

from .faults import FAULTS
from .play import play_soak

__all__ = ["main"]

MAX_NODES = 100
"""Far below the few hundred processes that a machine may be asked for."""
MAX_SECONDS = 600.0


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, help="May be repeated.")
@click.option("--fresh", type=click.IntRange(0, 100), default=0, help="Fresh seeds.")
@click.option("--nodes", type=click.IntRange(2, MAX_NODES), default=6)
@click.option("--seconds", type=click.FloatRange(1.0, MAX_SECONDS), default=20.0)
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the logs here.")
@click.option("--only", multiple=True, type=click.Choice(sorted(FAULTS)))
def main(seeds, fresh, nodes, seconds, logs, only) -> None:
    """Play soaks, one a seed, and end with status 1 if a promise was broken."""
    drawn = [random.SystemRandom().randrange(1 << 31) for _ in range(fresh)]
    is_broken = False
    for seed in [*seeds, *drawn]:
        with tempfile.TemporaryDirectory() as scratch:
            folder = (logs or Path(scratch)) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(play_soak(seed, nodes, seconds, folder, only))
        click.echo(
            f"seed {seed}: {len(report.findings)} findings, {report.runs} runs, "
            f"answers {report.endings}, faults {sum(report.faults.values())}"
        )
        for finding in report.findings:
            click.echo(f"  {finding.rule}: {finding.text}")
        is_broken = is_broken or bool(report.findings)
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
