"""Worth that a played day lost, by cause.

    python -m bench.losses REPORT [SITE]

REPORT is the file that a run of the users' bench writes with `--report`. With the site
file, losses are weighted by the worth of each kind of request; without it, all requests
count the same.
"""

import json
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

import attrs

from .measure import print_table

__all__ = ["KindLoss", "compute_kind_losses", "compute_part_losses"]

EQUAL_WORTH = (1.0, 0.5)
"""Worth of an answer in time and of a late one, if no site file tells them."""
WINDOW_FIELDS = ("n", "late", "refused", "failed", "worth")
WORST_WINDOWS = 8
MIN_SHARE = 0.0005
"""Share of the day's worth below which a price is not printed."""


@attrs.frozen
class KindLoss:
    """Shares of the day's worth that one kind of request lost, by cause."""

    name: str
    owed: float
    late: float
    refused: float
    failed: float

    @property
    def total(self) -> float:
        """Return the sum over all causes."""
        return self.late + self.refused + self.failed


def read_worths(site: dict) -> dict[str, tuple[float, float]]:
    """Return the worth of an answer in time and late, by kind of request."""
    return {
        entry["name"]: (entry["worth"], entry.get("late_worth", 0.0))
        for entry in site["classes"]
        if entry.get("worth")
    }


def compute_kind_losses(
    kinds: list[dict], worths: dict[str, tuple[float, float]]
) -> Iterator[KindLoss]:
    """Yield what each kind of request lost, the largest loss first."""
    rows = []
    for kind in kinds:
        full, late = worths.get(kind["name"], EQUAL_WORTH)
        owed = full * (kind["n"] - kind["not_owed"])
        rows.append((kind, full, late, owed))
    total = sum(owed for *_, owed in rows) or 1.0
    losses = (
        KindLoss(
            kind["name"],
            owed / total,
            kind["late"] * (full - late) / total,
            kind["refused"] * full / total,
            kind["failed"] * full / total,
        )
        for kind, full, late, owed in rows
    )
    yield from sorted(losses, key=lambda loss: -loss.total)


def compute_part_losses(report: dict) -> Iterator[tuple[str, float]]:
    """Yield each part of the mark and each price with what it takes, largest first."""
    losses = [(name, weight * (1 - value)) for name, weight, value in report["parts"]]
    losses += [(f"price: {name}", price) for name, _, price in report["prices"]]
    kept = (loss for loss in losses if loss[1] >= MIN_SHARE)
    yield from sorted(kept, key=lambda loss: -loss[1])


def main(arguments: list[str]) -> None:
    """Print the tables of one report."""
    if not 1 <= len(arguments) <= 2:
        sys.exit(__doc__)
    report = json.loads(Path(arguments[0]).read_text())
    worths = {}
    if len(arguments) == 2:
        worths = read_worths(tomllib.loads(Path(arguments[1]).read_text()))
    print_table(
        f"Worth {report['G']:.3f}: what its parts and prices take",
        ("part", "lost"),
        compute_part_losses(report),
    )
    kinds = compute_kind_losses(report["classes"], worths)
    print_table(
        "Share of the owed worth that was lost, by kind of request",
        ("kind", "owed", "late", "refused", "failed", "lost"),
        ((*attrs.astuple(kind), kind.total) for kind in kinds),
    )
    windows = sorted(report["windows"], key=lambda window: window["worth"])
    print_table(
        "Worst windows",
        ("from second", *WINDOW_FIELDS),
        (
            (window["name"], *(window[field] for field in WINDOW_FIELDS))
            for window in windows[:WORST_WINDOWS]
        ),
    )


if __name__ == "__main__":
    main(sys.argv[1:])
