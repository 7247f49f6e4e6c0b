"""Readiness probes of the platform, and the metrics of a node."""

from typing import TYPE_CHECKING

import attrs

from ..clock import read_monotonic
from ..explain.answers import serve_explanation
from ..observe.lines import get_log
from ..observe.page import render_page
from .messages import Request, Response, make_response

if TYPE_CHECKING:
    from .sidecar import Sidecar

__all__ = ["ProbeHandler"]

READY_PATH = b"/cactusshed/readyz"
METRICS_PATH = b"/metrics"
EXPLAIN_PATH = b"/explain"


@attrs.define
class ProbeHandler:
    """Serves what is asked about a node."""

    sidecar: "Sidecar"

    async def serve_readiness(self, request: Request) -> Response:
        """Answer whether clients should use the node."""
        if request.path == READY_PATH:
            node = self.sidecar
            is_ready = node.records.table.version > 0 and not node.is_leaving
            return make_response(200 if is_ready else 503)
        return make_response(404)

    async def serve_metrics(self, request: Request) -> Response:
        """Return the page of metrics, or the explanation of a choice."""
        if request.path.partition(b"?")[0] == EXPLAIN_PATH:
            return serve_explanation(self.sidecar.caller_handler, request)
        if request.path != METRICS_PATH:
            return make_response(404)
        node = self.sidecar
        page = render_page(
            node.counters,
            node.histograms,
            self.list_gauges(),
            node.tenant_counts.list_all(),
        )
        return Response(200, [(b"content-type", b"text/plain")], page.encode())

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return the names and values of the gauges."""
        now = read_monotonic()
        node = self.sidecar
        gate = node.gate
        learned = gate.exchange.concurrency
        return [
            ("version", node.records.table.version),
            ("documents_not_in_force", node.records.count_refused()),
            ("store_answer_age_seconds", now - node.relay.last_store_answer),
            ("store_era", node.store.era),
            ("store_revision", node.records.revision),
            ("store_last_change", node.records.last_change),
            ("peers_up", sum(m.is_up for m in node.peers.members.values())),
            ("gate_open", float(gate.is_open)),
            ("gate_cold", float(gate.cold.is_cold(now))),
            ("gate_rate_limit", gate.notices.rate_limit.rate or 0.0),
            ("gate_running", gate.queue.running),
            ("gate_waiting", gate.queue.waiting),
            ("gate_mean_seconds", gate.queue.get_mean_seconds()),
            ("gate_slots", gate.queue.slots),
            ("gate_limit", gate.queue.limit),
            ("gate_limit_on_trial", float(learned.trial is not None)),
            ("gate_limit_settled", learned.settled),
            ("gate_limit_age_seconds", now - learned.settled_at),
            ("gate_host_pace", gate.notices.host_pace.current),
            ("gate_host_pace_usual", gate.notices.host_pace.usual),
            ("gate_host_pace_age_seconds", gate.notices.host_pace.get_age(now)),
            ("link_wait_seconds", gate.uplink.estimate_wait(now) if gate.uplink else 0),
            ("request_body_bytes", node.request_budget.used),
            ("answer_body_bytes", node.answer_budget.used),
            ("client_connections", node.caller_budgets.connections),
            ("client_head_bytes", node.caller_budgets.heads.used),
            ("client_unread_bytes", node.caller_budgets.output.used),
            ("peer_call_bytes", node.link_budgets.calls.used),
            ("peer_unread_bytes", node.link_budgets.output.used),
            ("answer_head_bytes", node.answer_heads.used),
            ("backpressure_rate", gate.backpressure.get_lowest_rate()),
            ("log_lines_suppressed", get_log().suppressed),
            ("log_lines_dropped", get_log().dropped),
        ]
