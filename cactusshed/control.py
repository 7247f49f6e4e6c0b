"""The operators' tool `cactusshedctl`: commands by name."""

import getpass
import sys
import time
import uuid

import click
import httpcore
import msgspec

from .errors import CactusError, Malformed, PeerUnavailable
from .operate.messages import (
    Accepted,
    BranchView,
    ChangeRequest,
    ErrorView,
    Explanation,
    HistogramView,
    LogEntry,
    Status,
    TreeView,
)
from .render import (
    render_diff,
    render_explanation,
    render_histograms,
    render_log,
    render_status,
    render_tree,
)
from .tree.edit import Edit, parse_tree_file

__all__ = ["main"]

EXIT_CODES = {
    "unreachable": 3,
    "forbidden": 4,
    "conflict": 5,
    "invalid-tree": 6,
    "platform-unavailable": 7,
    "platform-answer-lost": 8,
    "not-ready": 9,
    "withdrawal-refused": 10,
    "not-everywhere": 11,
}
"""Exit status by error code; any other error gives 1, bad usage 2."""
EXIT_OTHER = 1
DEFAULT_NODE = "http://127.0.0.1:7900"
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


class _Group(click.Group):
    """A command group that ends with one line and a status on errors."""

    def invoke(self, context: click.Context):
        try:
            return super().invoke(context)
        except CactusError as error:
            click.echo(str(error).replace("\n", "; "), err=True)
            sys.exit(EXIT_CODES.get(error.code, EXIT_OTHER))


@click.group(cls=_Group)
@click.option(
    "--node",
    envvar="CACTUSSHED_NODE",
    default=DEFAULT_NODE,
    show_default=True,
    help="URL of a node's operators' listener.",
)
@click.option(
    "--token-file",
    envvar="CACTUSSHED_TOKEN_FILE",
    type=click.File(),
    help="File with the operators' token; else CACTUSSHED_TOKEN.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def main(context: click.Context, node: str, token_file, as_json: bool) -> None:
    """Operate a fleet of cactusshed nodes."""
    import os

    token = os.environ.get("CACTUSSHED_TOKEN", "")
    if token_file is not None:
        token = token_file.read().strip()
    context.obj = Session(node, token, as_json)


author_option = click.option(
    "--author", default=getpass.getuser, help="Name that the log keeps."
)
change_option = click.option(
    "--change-id", help="Id of the change; give it again to repeat a change."
)
wait_option = click.option(
    "--wait", type=float, default=0.0, help="Seconds to wait for `everywhere`."
)


def _read_branch(session: Session, path: str) -> BranchView:
    tree = session.ask("GET", f"/v1/tree?path={path}", TreeView)
    for branch in tree.branches:
        if branch.path == path:
            return branch
    return BranchView(path, {}, 0)


def _submit(
    session: Session,
    edits: list[Edit],
    base: dict[str, int],
    author: str,
    change_id: str | None,
    wait: float,
) -> None:
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


@main.command()
@click.argument("file", type=click.File(encoding="utf-8"))
@click.option("--prune", is_flag=True, help="Remove branches that FILE lacks.")
@author_option
@change_option
@wait_option
@click.pass_obj
def apply(session: Session, file, prune, author, change_id, wait) -> None:
    """Set the branches in the tree file FILE."""
    wanted = parse_tree_file(file.read())
    tree = session.ask("GET", "/v1/tree", TreeView)
    known = {branch.path: branch for branch in tree.branches}
    edits = [
        Edit(path, values)
        for path, values in wanted.items()
        if path not in known or known[path].values != values
    ]
    if prune:
        gone = (path for path in known if path not in wanted)
        edits.extend(Edit(path, None) for path in gone if not path.startswith("/@"))
    if not edits:
        click.echo(f"nothing to change at version {tree.number}")
        return
    base = {
        edit.path: known[edit.path].version if edit.path in known else 0
        for edit in edits
    }
    _submit(session, edits, base, author, change_id, wait)


@main.command(name="set")
@click.argument("path")
@click.argument("pairs", metavar="KEY=VALUE...", nargs=-1, required=True)
@author_option
@change_option
@wait_option
@click.pass_obj
def set_values(session: Session, path, pairs, author, change_id, wait) -> None:
    """Set keys of the branch PATH."""
    branch = _read_branch(session, path)
    values = dict(branch.values)
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if not equals:
            raise click.UsageError(f"{pair!r} is not KEY=VALUE")
        values[key] = value
    edits = [Edit(path, values)]
    _submit(session, edits, {path: branch.version}, author, change_id, wait)


@main.command()
@click.argument("path")
@click.argument("keys", nargs=-1)
@author_option
@change_option
@wait_option
@click.pass_obj
def unset(session: Session, path, keys, author, change_id, wait) -> None:
    """Unset keys of the branch PATH, or remove it when no key is named."""
    branch = _read_branch(session, path)
    values = {k: v for k, v in branch.values.items() if k not in keys}
    edits = [Edit(path, values if keys else None)]
    _submit(session, edits, {path: branch.version}, author, change_id, wait)


@main.command()
@click.argument("path", default="/")
@click.pass_obj
def get(session: Session, path: str) -> None:
    """Print the branches at and below PATH."""
    session.show(session.ask("GET", f"/v1/tree?path={path}", TreeView), render_tree)


@main.command()
@click.argument("file", type=click.File(encoding="utf-8"))
@click.pass_obj
def diff(session: Session, file) -> None:
    """Print what `apply FILE` would change."""
    wanted = parse_tree_file(file.read())
    tree = session.ask("GET", "/v1/tree", TreeView)
    lines = list(render_diff(tree, wanted))
    session.show(lines, lambda shown: shown or ["no difference"])


@main.command()
@click.option("--after", default=0, help="Only changes past this version.")
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def log(session: Session, after: int, limit: int) -> None:
    """Print accepted changes."""
    path = f"/v1/log?after={after}&limit={limit}"
    session.show(session.ask("GET", path, list[LogEntry]), render_log)


@main.command()
@click.pass_obj
def status(session: Session) -> None:
    """Print the state of the node and of the fleet."""
    session.show(session.ask("GET", "/v1/status", Status), render_status)


@main.command()
@click.argument("path")
@click.argument("key")
@click.pass_obj
def explain(session: Session, path: str, key: str) -> None:
    """Print why KEY has its value at PATH."""
    answer = session.ask("GET", f"/v1/explain?path={path}&key={key}", Explanation)
    session.show(answer, render_explanation)


@main.command()
@click.pass_obj
def histograms(session: Session) -> None:
    """Print call times by service, route and tenant."""
    answer = session.ask("GET", "/v1/histograms", list[HistogramView])
    session.show(answer, render_histograms)


if __name__ == "__main__":
    main()
