"""Stand-in for the platform's API that takes usage reports."""

import time

import attrs
import msgspec

from cactusshed.mesh.listener import Listener
from cactusshed.mesh.messages import Request, Response, make_response
from cactusshed.mesh.table import Limits
from cactusshed.options import Address

__all__ = ["UsageApiApp", "UsageReport", "open_usage_api"]

LIMITS = Limits(idle_seconds=60.0)


@attrs.frozen
class UsageReport:
    """A report as it arrived."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    status: int = 204
    """Status with which it was answered."""
    at: float = attrs.field(factory=time.monotonic, eq=False)

    @property
    def is_accepted(self) -> bool:
        """Return whether the report was acknowledged, as far as the API knows."""
        return self.status < 300


@attrs.define(eq=False)
class UsageApiApp:
    """Takes reports and answers `status`."""

    status: int = 204
    reports: list[UsageReport] = attrs.Factory(list)
    """The accepted reports."""
    calls: list[UsageReport] = attrs.Factory(list)
    """All reports, also those that were not accepted."""
    requests: list[Request] = attrs.Factory(list)

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        self.requests.append(request)
        if (request.method, request.path) != (b"POST", b"/usage"):
            return make_response(404)
        headers = {name.lower(): value.decode() for name, value in request.headers}
        report = msgspec.json.decode(request.body)
        call = UsageReport(
            headers[b"x-duty-holder"],
            int(headers[b"x-fence-token"]),
            report["window"],
            report["counts"],
            self.status,
        )
        self.calls.append(call)
        if call.is_accepted:
            self.reports.append(call)
        return make_response(self.status)

    def get_counts(self) -> dict[int, dict[str, int]]:
        """Return the counts by window; raise `ValueError` if two reports differ."""
        counts: dict[int, dict[str, int]] = {}
        for report in self.reports:
            if counts.setdefault(report.window, report.counts) != report.counts:
                raise ValueError(f"window {report.window} was reported differently")
        return counts


async def open_usage_api(address: Address) -> tuple[UsageApiApp, Listener]:
    """Start the API at `address` in the current event loop."""
    app = UsageApiApp()
    listener = Listener(app.serve, lambda: LIMITS, lambda status: None)
    await listener.open(address.ip, address.port)
    return app, listener
