"""The connection of the operators' tool to a node, and shared options."""

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
POLL_SECONDS = 0.1


class Unreachable(PeerUnavailable):
    """The operators' listener of the node did not respond."""

    code = "unreachable"


class RemoteError(CactusError):
    """An error that a node reported."""

    def __init__(self, view: ErrorView) -> None:
        """Copy the code, message, step and peer that the node reported."""
        super().__init__(view.message, step=view.step, peer=view.peer)
        self.code = view.code


class NotEverywhere(CactusError):
    """An accepted version was not in force on every node in time."""

    code = "not-everywhere"


class Session:
    """The node that the tool sends requests to, and the output format."""

    def __init__(self, node: str, token: str, as_json: bool) -> None:
        """Use the operators' listener at the URL `node`."""
        self.node = node.rstrip("/")
        self.token = token
        self.as_json = as_json

    def send_request(self, method: str, path: str, answer_type, body: object = None):
        """Send a request and return the response decoded as `answer_type`."""
        return self._decode(self._send(method, path, body), answer_type)

    def read_text(self, path: str) -> str:
        """Return the text at `path`."""
        answer = self._send("GET", path)
        if answer.status != 200:
            raise Malformed(
                f"status {answer.status}", step="read response", peer=self.node
            )
        return answer.content.decode("utf-8", "replace")

    def _send(self, method: str, path: str, body: object = None) -> httpcore.Response:
        headers = {"authorization": f"Bearer {self.token}"} if self.token else {}
        content = None if body is None else msgspec.json.encode(body)
        timeout = dict.fromkeys(("connect", "read", "write"), REQUEST_SECONDS)
        try:
            return httpcore.request(
                method,
                self.node + path,
                headers=headers,
                content=content,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise Unreachable(
                str(error), step="send request", peer=self.node
            ) from error
        except (httpcore.ProtocolError, httpcore.UnsupportedProtocol) as error:
            raise Malformed(str(error), step="send request", peer=self.node) from error

    def _decode(self, answer: httpcore.Response, answer_type):
        try:
            if answer.status != 200:
                raise RemoteError(msgspec.json.decode(answer.content, type=ErrorView))
            return msgspec.json.decode(answer.content, type=answer_type)
        except (msgspec.DecodeError, ValueError) as error:
            raise Malformed(str(error), step="read response", peer=self.node) from error

    def show(self, value, render) -> None:
        """Print `value` as JSON, or the lines that `render` yields for it."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
            return
        for line in render(value):
            click.echo(line)


author_option = click.option(
    "--author", default=getpass.getuser, help="Author of the change in the log."
)
change_option = click.option(
    "--change-id", help="Id of the change; a retry with the same id takes effect once."
)
wait_option = click.option(
    "--wait",
    type=float,
    default=0.0,
    help="Seconds to wait until the change is in force on every node.",
)


def submit_edits(
    session: Session,
    edits: list[Edit],
    base: dict[str, int],
    author: str,
    change_id: str | None,
    wait: float,
) -> None:
    """Submit a change, print its version and, if `wait` is set, wait for all nodes."""
    change_id = change_id or uuid.uuid4().hex
    request = ChangeRequest(change_id, author, edits, base)
    started = time.monotonic()
    accepted = session.send_request("POST", "/v1/changes", Accepted, request)
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
    """Wait until `number` is in force on every node.

    Returns the seconds since `started`, or `None` if `wait` is 0.
    """
    if not wait:
        return None
    while time.monotonic() - started < wait:
        status = session.send_request("GET", "/v1/status", Status)
        if all(centre.has_version(number) for centre in status.centres):
            return time.monotonic() - started
        time.sleep(POLL_SECONDS)
    raise NotEverywhere(
        f"version {number} is accepted but not in force everywhere after {wait:g} s"
    )
