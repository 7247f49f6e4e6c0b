"""Command line of the soak test."""

import asyncio
import math
import random
import signal
import sys
import tempfile
from pathlib import Path

import click

from .faults import FAULTS
from .runner import Report, run_soak

__all__ = ["main"]

MAX_NODES = 100
"""Well below the few hundred processes that one host may have to run."""
MAX_SECONDS = 600.0


async def _run_stoppable(*arguments) -> Report:
    """Run a soak; a SIGTERM ends it and its processes, as Ctrl-C does."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_soak(*arguments)


@click.command()
@click.option(
    "--seed", "seeds", type=int, multiple=True, help="Seed of a soak; repeatable."
)
@click.option(
    "--fresh", type=click.IntRange(0, 100), default=0, help="Number of random seeds."
)
@click.option("--nodes", type=click.IntRange(2, MAX_NODES), default=6)
@click.option("--seconds", type=click.FloatRange(1.0, MAX_SECONDS), default=20.0)
@click.option(
    "--report",
    "--logs",
    "logs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for logs and timelines.",
)
@click.option("--only", multiple=True, type=click.Choice(sorted(FAULTS)))
def main(seeds, fresh, nodes, seconds, logs, only) -> None:
    """Run one soak per seed; exit with status 1 if a guarantee was violated."""
    if not seeds and not fresh:
        raise click.UsageError("give --seed or --fresh, which is 0")
    if not math.isfinite(seconds):
        raise click.BadParameter(f"{seconds} is not finite", param_hint="'--seconds'")
    random_seeds = [random.SystemRandom().randrange(1 << 31) for _ in range(fresh)]
    has_violations = False
    for seed in [*seeds, *random_seeds]:
        with tempfile.TemporaryDirectory() as scratch:
            folder = (logs or Path(scratch)) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            try:
                run = _run_stoppable(seed, nodes, seconds, folder, only)
                report = asyncio.run(run)
            except asyncio.CancelledError:
                sys.exit(f"seed {seed}: broken off by SIGTERM")
        click.echo(
            f"seed {seed}: {len(report.violations)} violations, {report.runs} runs, "
            f"answers {report.status_counts}, "
            f"faults {sum(report.fault_counts.values())}, "
            f"memory up to {report.peak_mb:.0f} MB, "
            f"held up for {report.stall_seconds:.1f} s, "
            f"nodes for {report.starved_seconds:.1f} s"
        )
        counts = {**report.fault_counts, **report.behaviour_counts}
        click.echo("  " + ", ".join(f"{k} {n}" for k, n in sorted(counts.items())))
        for violation in report.violations:
            click.echo(f"  {violation.guarantee}: {violation.text}")
        has_violations = has_violations or bool(report.violations)
    sys.exit(has_violations)


if __name__ == "__main__":
    main()
