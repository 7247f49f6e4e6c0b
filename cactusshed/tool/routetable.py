"""Table that explains where a node would send a request."""

import textwrap
from collections.abc import Iterable, Iterator

from ..explain.messages import (
    ExplainedService,
    ExplainedTarget,
    ExplainedVersion,
    RouteExplanation,
)

__all__ = ["WIDTH", "render_route"]

WIDTH = 100
"""Maximum length of a line."""
COLUMNS = (
    ("#", 3),
    ("node", -18),
    ("centre", -10),
    ("load", 9),
    ("wait", 5),
    ("link", 5),
    ("mean", 5),
    ("pace", 4),
    ("fail", 4),
    ("risk", 5),
    ("late", 4),
    ("far", 4),
    ("cold", 4),
    ("delay", 5),
)
"""Names and widths of the columns; text of those with a negative width is on the left
and is shortened to the width."""
LEGEND = (
    "load: busy+sent since/limit; wait, link, mean: ms; "
    "risk = late + far + cold + delay",
    "*: the random increase of the risks can make it the first",
)


def render_route(answer: RouteExplanation) -> Iterator[str]:
    """Yield the lines of an explanation, none longer than `WIDTH`."""
    for line in _list_lines(answer):
        if len(line) <= WIDTH:
            yield line
        else:
            yield from textwrap.wrap(line, WIDTH, subsequent_indent="    ")


def _list_lines(answer: RouteExplanation) -> Iterator[str]:
    request, route = answer.request, answer.route
    yield f"node {answer.node} in {answer.data_centre}, configuration {answer.version}"
    yield f"{request.method} {request.host}{request.path}, body {request.size} bytes"
    if answer.is_leaving:
        yield "the node is leaving and may refuse the request with 503"
    if route is None:
        yield "no route: the client gets 404"
        return
    kind = "idempotent" if route.is_idempotent else "not idempotent"
    yield f"route {route.name}: host {route.host}, prefix {route.prefix}, {kind}"
    yield (
        f"timeout {route.timeout:g} s, soft timeout {route.soft_timeout:g} s, attempts "
        f"{route.max_attempts}, priority {route.priority}"
    )
    yield f"tenants: {_describe_tenants(answer)}"
    latency = "not measured yet"
    if answer.baseline_latency:
        latency = f"{answer.baseline_latency * 1000:.1f} ms"
    time_left = f"{answer.time_left * 1000:.0f} ms"
    yield f"mean latency of the route {latency}, time left {time_left}"
    for service in answer.services:
        yield from _list_service_lines(service)
    yield from LEGEND
    yield f"each risk is raised at random by up to {answer.risk_jitter:.0%}"
    for text in answer.random:
        yield f"at random: {text}"


def _describe_tenants(answer: RouteExplanation) -> str:
    if not answer.has_tenants:
        return "none configured"
    if answer.needs_key:
        return "a key is required; its tenant's priority takes precedence"
    return "the route is public; the priority of a known key takes precedence"


def _list_service_lines(service: ExplainedService) -> Iterator[str]:
    move = f", move {service.move}" if service.move else ""
    yield ""
    yield (
        f"service {service.service}: weight {service.weight:g}, "
        f"{service.share:.1%} of the requests{move}"
    )
    for version in service.versions:
        yield from _list_version_lines(version)


def _list_version_lines(version: ExplainedVersion) -> Iterator[str]:
    name = f"version {version.version}" if version.version else "any version"
    fallback = f", falls back to {version.fallback}" if version.fallback else ""
    yield f"{name}: {version.share:.1%} of the service's requests{fallback}"
    if not any(target.order for target in version.targets):
        yield (
            "no open target: the client gets 503" if not fallback else "no open target"
        )
    if not version.targets:
        return
    yield _render_cells(name for name, _ in COLUMNS)
    for target in version.targets:
        yield _render_target(target)
        if target.learned_limit is not None:
            yield f"    learned limit {target.learned_limit} of {target.slots} slots"


def _render_target(target: ExplainedTarget) -> str:
    risk = target.risk
    order = f"{target.order or '-'}{'*' if target.may_be_first else ''}"
    load = f"{target.busy}+{target.sent_since_report}/{target.limit}"
    start = (order, target.node, target.data_centre, load)
    if risk is None:
        return f"{_render_cells(start)} {target.obstacle}"
    times = (risk.wait, target.transfer_seconds, target.mean_seconds)
    return _render_cells(
        (
            *start,
            *(f"{seconds * 1000:.0f}" for seconds in times),
            f"{target.host_pace:.2f}",
            f"{target.failure_rate:.2f}",
            f"{risk.risk:.3f}",
            f"{risk.late:.2f}",
            f"{risk.far:.2f}",
            f"{risk.cold:.2f}",
            f"{risk.delay:.3f}",
        )
    )


def _render_cells(cells: Iterable[str]) -> str:
    """Return a line of the table; it may have fewer cells than columns."""
    return " ".join(
        text.rjust(width) if width > 0 else _shorten(text, -width).ljust(-width)
        for text, (_, width) in zip(cells, COLUMNS, strict=False)
    )


def _shorten(text: str, width: int) -> str:
    """Return the end of a long name, in which names differ most."""
    return text if len(text) <= width else f"~{text[1 - width :]}"
