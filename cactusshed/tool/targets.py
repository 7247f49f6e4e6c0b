"""Load, limit and pace of targets, from the metrics of the nodes beside them."""

from collections.abc import Iterable, Iterator
from urllib.parse import urlsplit

import attrs
import click

from ..errors import CactusError
from .session import Session

__all__ = ["TargetView", "read_node", "read_nodes", "read_target", "render_targets"]

METRICS_PORT = 9464
"""Port of a node's metrics if its address names none."""
PREFIX = "cactusshed_gate_"
NAME_WIDTH = 24


def read_node(context: click.Context, option: click.Parameter, text: str) -> str:
    """Return the URL of a node's metrics address."""
    try:
        parts = urlsplit(f"//{text}")
        port = METRICS_PORT if parts.port is None else parts.port
    except ValueError:
        parts = None
    if parts is None or not parts.hostname or parts.netloc != text or "@" in text:
        raise click.BadParameter(f"{text!r} is not HOST:PORT", context, option)
    host = f"[{parts.hostname}]" if ":" in parts.hostname else parts.hostname
    return f"http://{host}:{port}"


def read_nodes(
    context: click.Context, option: click.Parameter, texts: Iterable[str]
) -> list[str]:
    """Return the URLs of the metrics addresses of several nodes."""
    return [read_node(context, option, text) for text in texts]


@attrs.frozen
class TargetView:
    """What the node beside a target says of it; times are in seconds."""

    node: str
    error: str = ""
    """Code of the error if the node did not answer; the figures are then 0."""
    running: int = 0
    waiting: int = 0
    limit: int = 0
    slots: int = 0
    is_on_trial: bool = False
    """Whether the limit is a lower or higher one that is being tried."""
    limit_age: float = 0.0
    """Time since the limit changed by a quarter or more, trials left out."""
    pace: float = 0.0
    """Usual pace of the target's host; 0 if the target does not say."""
    pace_age: float = 0.0
    mean_seconds: float = 0.0


def read_target(node: str) -> TargetView:
    """Ask the metrics address of a node, given as a URL."""
    name = node.removeprefix("http://")
    try:
        # The operators' token is not for this address.
        page = Session(node, "", False).read_text("/metrics")
    except CactusError as error:
        return TargetView(name, error.code)
    figures = dict(_read_gauges(page))

    def get(gauge: str) -> float:
        return figures.get(gauge, 0.0)

    return TargetView(
        name,
        running=int(get("running")),
        waiting=int(get("waiting")),
        limit=int(get("limit")),
        slots=int(get("slots")),
        is_on_trial=get("limit_on_trial") > 0,
        limit_age=get("limit_age_seconds"),
        pace=get("host_pace_usual"),
        pace_age=get("host_pace_age_seconds"),
        mean_seconds=get("mean_seconds"),
    )


def _read_gauges(page: str) -> Iterator[tuple[str, float]]:
    for line in page.splitlines():
        name, _, value = line.partition(" ")
        if name.startswith(PREFIX) and "{" not in name:
            yield name.removeprefix(PREFIX), float(value)


def render_targets(views: list[TargetView]) -> Iterator[str]:
    """Yield a table of targets; `*` marks a limit on trial."""
    yield (
        f"{'node':{NAME_WIDTH}} {'busy':>5} {'wait':>5} {'limit':>9} {'age s':>7} "
        f"{'pace':>5} {'age s':>6} {'mean ms':>8}"
    )
    for view in views:
        name = f"{view.node[:NAME_WIDTH]:{NAME_WIDTH}}"
        if view.error:
            yield f"{name} {view.error}"
            continue
        limit = f"{view.limit}/{view.slots}{'*' if view.is_on_trial else ''}"
        pace, pace_age = "-", "-"
        if view.pace:
            pace, pace_age = f"{view.pace:.2f}", f"{view.pace_age:.1f}"
        yield (
            f"{name} {view.running:5} {view.waiting:5} {limit:>9} "
            f"{view.limit_age:7.0f} {pace:>5} {pace_age:>6} "
            f"{view.mean_seconds * 1000:8.1f}"
        )
