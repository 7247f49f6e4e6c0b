"""What a played load came to: tables by class and data centre, and a plot."""

from collections.abc import Callable, Iterable, Iterator

import attrs

from .clients import Ending
from .load import Load, RequestClass
from .world import World

__all__ = ["Tally", "render_report", "tally"]

WINDOW_SECONDS = 1.0
"""Width of a line of the plot."""
PLOT_COLUMNS = 50


@attrs.define
class Tally:
    """Counts of one group of requests; `earned` is a part of their whole worth."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    _worth: float = 0.0
    _owed: float = 0.0

    @property
    def earned(self) -> float:
        """Return the part of the worth that was earned."""
        return self._worth / self._owed if self._owed else 0.0

    def add(self, ending: Ending, kind: RequestClass) -> None:
        """Count one request."""
        self.asked += 1
        self._owed += kind.worth
        if ending.took is None:
            self.refused += ending.is_refused
            self.failed += not ending.is_refused
        elif ending.took <= kind.aim:
            self.in_aim += 1
            self._worth += kind.worth
        else:
            self.late += 1
            self._worth += kind.late_worth


def tally(
    endings: Iterable[Ending], load: Load, group: Callable[[Ending], object]
) -> dict:
    """Return a `Tally` for each group of requests, in the order of the groups."""
    found: dict = {}
    for ending in endings:
        kind = load.classes[ending.kind]
        found.setdefault(group(ending), Tally()).add(ending, kind)
    return dict(sorted(found.items()))


def _render_rows(title: str, tallies: dict) -> Iterator[str]:
    names = ("asked", "in aim", "late", "refused", "failed", "earned")
    yield f"{title:<24}" + "".join(f"{name:>9}" for name in names)
    for name, row in tallies.items():
        counts = (row.asked, row.in_aim, row.late, row.refused, row.failed)
        cells = "".join(f"{count:>9}" for count in counts)
        yield f"{name!s:<24}{cells}{row.earned:>9.3f}"


def render_report(endings: list[Ending], world: World) -> Iterator[str]:
    """Yield the lines of a report."""
    load = world.load
    yield from _render_rows("class", tally(endings, load, lambda e: e.kind))
    yield ""
    yield from _render_rows(
        "data centre", tally(endings, load, lambda e: e.data_centre)
    )
    yield ""
    yield "earned, by second of arrival"
    windows = tally(endings, load, lambda e: int(e.at / WINDOW_SECONDS))
    for second, row in windows.items():
        yield f"{second:>5} {row.earned:.3f} {'#' * round(PLOT_COLUMNS * row.earned)}"
    yield ""
    busiest = max((node.target.busiest for node in world.nodes), default=0)
    yield f"most starts at a cold target in one second: {busiest}"
