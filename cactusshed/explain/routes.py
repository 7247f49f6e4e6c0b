"""Explanation of the route, the split and the versions of a request."""

from typing import TYPE_CHECKING

from ..clock import read_monotonic
from ..mesh.table import Route
from ..policy.placement import RISK_JITTER
from ..policy.rollout import compute_version_shares
from .messages import (
    ExplainedRoute,
    ExplainedService,
    ExplainedVersion,
    RequestQuery,
    RouteExplanation,
)
from .targets import ChoiceInputs, explain_targets

if TYPE_CHECKING:
    from ..mesh.callers import CallerHandler

__all__ = ["explain_request"]

RANDOM_JITTER = "the order of targets whose risks differ by less than the jitter"
RANDOM_SERVICE = "the service, by the weights of the route"
RANDOM_VERSION = "the version, by the shares of the move"


def explain_request(handler: "CallerHandler", query: RequestQuery) -> RouteExplanation:
    """Return where a node would send a new request of a client; nothing is changed."""
    table = handler.records.table
    route = table.match_request(
        query.host.encode("latin-1"), query.path.encode("latin-1")
    )
    inputs = _make_inputs(handler, route, query) if route is not None else None
    services: list[ExplainedService] = []
    if route is not None:
        services = _explain_services(handler, route, inputs)
    has_tenants = table.tenants is not None
    candidates = handler.dispatcher.candidates
    return RouteExplanation(
        node=candidates.node,
        data_centre=candidates.data_centre,
        version=table.version,
        is_leaving=handler.stop.is_begun,
        request=query,
        route=_explain_route(route) if route is not None else None,
        has_tenants=has_tenants,
        needs_key=has_tenants and route is not None and not route.is_public,
        baseline_latency=inputs.baseline_latency if inputs is not None else 0.0,
        time_left=inputs.time_left if inputs is not None else 0.0,
        risk_jitter=RISK_JITTER,
        random=_list_random(services),
        services=services,
    )


def _make_inputs(
    handler: "CallerHandler", route: Route, query: RequestQuery
) -> ChoiceInputs:
    dispatcher = handler.dispatcher
    soft_timeout = route.soft_timeout or route.timeout
    return ChoiceInputs(
        query.size,
        dispatcher.answer_sizes.get_bulk_bytes(route.name),
        dispatcher.get_baseline_latency(route.name, soft_timeout),
        soft_timeout,
        read_monotonic(),
    )


def _explain_route(route: Route) -> ExplainedRoute:
    return ExplainedRoute(
        route.name,
        route.host,
        route.prefix,
        route.idempotent,
        route.timeout,
        route.soft_timeout,
        route.max_attempts,
        route.priority,
        route.is_public,
    )


def _explain_services(
    handler: "CallerHandler", route: Route, inputs: ChoiceInputs
) -> list[ExplainedService]:
    candidates = handler.dispatcher.candidates
    total = sum(weighted.weight for weighted in route.weighted_services)
    explained = []
    for weighted in route.weighted_services:
        if total:
            share = weighted.weight / total
        else:
            # Without any weight, the last service gets all requests.
            share = float(weighted is route.weighted_services[-1])
        tracked = handler.moves.tracked.get(weighted.service)
        explained.append(
            ExplainedService(
                weighted.service,
                weighted.weight,
                share,
                tracked.move.state if tracked is not None else "",
                [
                    ExplainedVersion(
                        version,
                        version_share,
                        handler.moves.get_fallback_version(weighted.service, version),
                        explain_targets(candidates, weighted.service, version, inputs),
                    )
                    for version, version_share in _list_versions(
                        handler, weighted.service
                    )
                ],
            )
        )
    return explained


def _list_versions(handler: "CallerHandler", service: str) -> list[tuple[str, float]]:
    """Return the versions in use and their shares of the requests."""
    moves = handler.moves
    tracked = moves.tracked.get(service)
    if tracked is None:
        return [(moves.find_source(service, moves.records.orders.get(service)), 1.0)]
    shares = compute_version_shares(tracked.move, tracked.get_elapsed())
    return list(shares.items())


def _list_random(services: list[ExplainedService]) -> list[str]:
    found = []
    if sum(service.share > 0 for service in services) > 1:
        found.append(RANDOM_SERVICE)
    versions = [version for service in services for version in service.versions]
    if any(0 < version.share < 1 for version in versions):
        found.append(RANDOM_VERSION)
    firsts = (sum(t.may_be_first for t in version.targets) for version in versions)
    if any(count > 1 for count in firsts):
        found.append(RANDOM_JITTER)
    return found
