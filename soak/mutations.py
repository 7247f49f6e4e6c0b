"""Shows that the soak finds faults: guards are broken one at a time, in a copy.

python -m soak.mutations
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import click

__all__ = ["MUTATIONS", "Mutation", "main"]

ROOT = Path(__file__).parent.parent
COPIED = ("cactusshed", "soak", "standins")
SECONDS = 15


@attrs.frozen
class Mutation:
    """One guard, how it is broken, and the soak that finds it."""

    guard: str
    file: str
    before: str
    after: str
    rule: str
    seed: int
    only: tuple[str, ...]


MUTATIONS = (
    Mutation(
        "a call whose link broke is settled before it is refused",
        "mesh/dispatch.py",
        "        if settled is None:\n",
        "        if True:\n            return Result(0, NOT_RUN, EMPTY_LOAD)\n"
        "        if settled is None:\n",
        "true-refusal",
        1,
        ("kill", "target-slow"),
    ),
    Mutation(
        "the gate closes before a leave is acknowledged",
        "mesh/announcements.py",
        'self.gate.set_closure("target-left", True)\n        self.set_state(',
        "self.set_state(",
        "leave",
        1,
        ("target-drain",),
    ),
    Mutation(
        "the gates of an evacuated data centre are closed",
        "mesh/sidecar.py",
        "evacuated = self.settings.data_centre in self.records.evacuated",
        "evacuated = False",
        "evacuation",
        1,
        ("evacuate",),
    ),
    Mutation(
        "starts at a cold target are bounded",
        "policy/cold.py",
        "return self.is_doubted or now < self.until",
        "return False",
        "cold",
        1,
        ("target-crash",),
    ),
    Mutation(
        "an answer is matched by the identity that it echoes",
        "mesh/upstream.py",
        "if echoed is not None and echoed != self._expected:",
        "if False:",
        "own-answer",
        1,
        ("answers-crossed",),
    ),
    Mutation(
        "a node that ends serves what it has read",
        "mesh/shutdown.py",
        "    while read_monotonic() < end:\n        spent",
        "    while False:\n        spent",
        "lost",
        1,
        ("term",),
    ),
)


def play_mutation(mutation: Mutation) -> str:
    """Return what the soak printed about a copy with one broken guard."""
    with tempfile.TemporaryDirectory() as scratch:
        for name in COPIED:
            shutil.copytree(ROOT / name, Path(scratch) / name)
        path = Path(scratch) / "cactusshed" / mutation.file
        text = path.read_text(encoding="utf-8")
        if mutation.before not in text:
            raise click.ClickException(f"{mutation.file}: nothing to break")
        path.write_text(text.replace(mutation.before, mutation.after, 1), "utf-8")
        words = [sys.executable, "-m", "soak", "--seed", str(mutation.seed)]
        words += ["--nodes", "4", "--seconds", str(SECONDS)]
        for kind in mutation.only:
            words += ["--only", kind]
        environment = {**os.environ, "PYTHONPATH": scratch}
        done = subprocess.run(
            words, cwd=scratch, env=environment, capture_output=True, text=True
        )
    return done.stdout


@click.command()
def main() -> None:
    """Break each guard and tell whether its soak found it."""
    missed = 0
    for mutation in MUTATIONS:
        printed = play_mutation(mutation)
        count = printed.count(f"  {mutation.rule}:")
        missed += not count
        click.echo(
            f"{'found' if count else 'MISSED'} {mutation.rule} {count} "
            f"seed {mutation.seed}: {mutation.guard}"
        )
    sys.exit(bool(missed))


if __name__ == "__main__":
    main()
