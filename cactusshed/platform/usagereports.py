"""The platform's call by which the usage of one window is reported."""

import msgspec

from ..store.httpcalls import HttpCalls

__all__ = ["send_report"]


async def send_report(
    calls: HttpCalls, holder: str, token: int, window: int, counts, timeout, before_send
) -> int:
    """Send one report and return the HTTP status; raise as `HttpCalls.call` does."""
    headers = {"X-Duty-Holder": holder, "X-Fence-Token": str(token)}
    body = msgspec.json.encode({"window": window, "counts": counts})
    answer = await calls.call(b"POST", "/usage", body, timeout, headers, before_send)
    return answer.status
