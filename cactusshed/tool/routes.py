"""The command that explains where a node would send a request."""

from urllib.parse import quote, urlencode, urlsplit

import click

from ..explain.messages import RouteExplanation
from .routetable import render_route
from .session import Session
from .targets import read_node

__all__ = ["explain_route"]

# Clients send these as they are; `%` starts what the URL has encoded already.
_PATH_CHARS = "/%:@!$&'()*+,;=-._~"


def _read_url(
    context: click.Context, argument: click.Parameter, text: str
) -> tuple[str, str]:
    """Return the host and the path of a URL, as a client would send them."""
    try:
        parts = urlsplit(text)
    except ValueError:
        parts = None
    if parts is None or parts.scheme not in ("http", "https") or not parts.hostname:
        raise click.BadParameter(f"{text!r} is not http://HOST/PATH", context, argument)
    return parts.hostname, quote(parts.path or "/", safe=_PATH_CHARS)


def _read_method(context: click.Context, option: click.Parameter, text: str) -> str:
    if not text.isascii() or not text.isalpha():
        raise click.BadParameter(f"{text!r} is not a method", context, option)
    return text.upper()


@click.command("explain-route")
@click.argument("url", callback=_read_url)
@click.option(
    "--node",
    required=True,
    metavar="HOST[:PORT]",
    callback=read_node,
    help="Metrics address of the node that would receive the request; port 9464.",
)
@click.option(
    "--method",
    default="GET",
    show_default=True,
    callback=_read_method,
    help="Method of the request; routes don't depend on it.",
)
@click.option(
    "--bytes",
    "size",
    type=click.IntRange(0, 1 << 40),
    default=0,
    show_default=True,
    help="Size of the request's body.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def explain_route(session: Session, url, node, method, size, as_json) -> None:
    """Show where a node would send a request for URL now, and why.

    The request is not sent. Nothing that later requests depend on changes.
    """
    host, path = url
    query = urlencode({"host": host, "path": path, "method": method, "bytes": size})
    # The operators' token is not for this address.
    metrics = Session(node, "", as_json or session.as_json)
    answer = metrics.send_request("GET", f"/explain?{query}", RouteExplanation)
    metrics.show(answer, render_route)
