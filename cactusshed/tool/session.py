"""A session of the operators' tool with one node, and shared options."""

import getpass
import time
import uuid

import click
import httpcore
import msgspec

from ..errors import CactusError, Malformed, PeerUnavailable
from ..operate.messages import Accepted, ChangeRequest, ErrorView, Status
from ..tree.edit import Edit

__all__ = [
    "NotEverywhere",
    "Session",
    "author_option",
    "change_option",
    "submit_edits",
    "wait_option",
]

REQUEST_SECONDS = 30.0
WAIT_PAUSE = 0.1


class Unreachable(PeerUnavailable):
    """The node's operator listener did not answer."""

    code = "unreachable"


class Remote(CactusError):
    """An error that a node reported."""

    def __init__(self, view: ErrorView) -> None:
        """Keep the node's code, message, step and peer."""
        super().__init__(view.message, step=view.step, peer=view.peer)
        self.code = view.code


class NotEverywhere(CactusError):
    """A version was accepted but is not in force everywhere yet."""

    code = "not-everywhere"


class Session:
    """The node that the tool talks to, and how answers are shown."""

    def __init__(self, node: str, token: str, as_json: bool) -> None:
        """Talk to the operators' listener at the URL `node`."""
        self.node = node.rstrip("/")
        self.token = token
        self.as_json = as_json

    def ask(self, method: str, path: str, kind, body: object = None):
        """Send a request and return the answer as `kind`."""
        headers = {"authorization": f"Bearer {self.token}"}
        content = None if body is None else msgspec.json.encode(body)
        timeout = dict.fromkeys(("connect", "read", "write"), REQUEST_SECONDS)
        try:
            answer = httpcore.request(
                method,
                self.node + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise Unreachable(str(error), step="ask", peer=self.node) from error
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            raise Malformed(str(error), step="ask", peer=self.node) from error
        return self._decode(answer, kind)

    def _decode(self, answer: httpcore.Response, kind):
        try:
            if answer.status != 200:
                raise Remote(msgspec.json.decode(answer.content, type=ErrorView))
            return msgspec.json.decode(answer.content, type=kind)
        except (msgspec.DecodeError, ValueError) as error:
            raise Malformed(str(error), step="read answer", peer=self.node) from error

    def show(self, value, render) -> None:
        """Print `value` as JSON or by `render`, which yields lines."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
            return
        for line in render(value):
            click.echo(line)


author_option = click.option(
    "--author", default=getpass.getuser, help="Name that the log keeps."
)
change_option = click.option(
    "--change-id", help="Id of the change; give it again to repeat a change."
)
wait_option = click.option(
    "--wait", type=float, default=0.0, help="Seconds to wait for `everywhere`."
)


def submit_edits(
    session: Session,
    edits: list[Edit],
    base: dict[str, int],
    author: str,
    change_id: str | None,
    wait: float,
) -> None:
    """Submit a change, print its version, and wait for `everywhere` if asked."""
    change_id = change_id or uuid.uuid4().hex
    request = ChangeRequest(change_id, author, edits, base)
    started = time.monotonic()
    accepted = session.ask("POST", "/v1/changes", Accepted, request)
    elapsed = _wait_everywhere(session, accepted.number, started, wait)
    if session.as_json:
        session.show(accepted, None)
        return
    click.echo(f"accepted version {accepted.number} (change {accepted.change_id})")
    if elapsed is not None:
        click.echo(f"in force everywhere after {elapsed:.2f} s")


def _wait_everywhere(
    session: Session, number: int, started: float, wait: float
) -> float | None:
    """Return the seconds until every node carried `number`, `None` if not asked."""
    if not wait:
        return None
    while time.monotonic() - started < wait:
        status = session.ask("GET", "/v1/status", Status)
        if all(centre.carries(number) for centre in status.centres):
            return time.monotonic() - started
        time.sleep(WAIT_PAUSE)
    raise NotEverywhere(f"version {number} is accepted, not everywhere in {wait:g} s")
