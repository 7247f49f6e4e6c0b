"""The operators' command-line tool `cactusshedctl`."""

import itertools
import os
import sys
import time

import click

from .errors import CactusError
from .operate.messages import (
    BranchView,
    Explanation,
    HistogramView,
    LogEntry,
    Status,
    TreeView,
)
from .tool.emulate import emulate
from .tool.history import explain_request
from .tool.operations import COMMANDS
from .tool.render import (
    render_diff,
    render_explanation,
    render_histograms,
    render_log,
    render_status,
    render_tree,
)
from .tool.routes import explain_route
from .tool.session import (
    Session,
    author_option,
    change_option,
    submit_edits,
    wait_option,
)
from .tool.targets import read_nodes, read_target, render_targets
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
"""Exit status by error code; any other error exits with 1, wrong usage with 2."""
EXIT_OTHER = 1
DEFAULT_NODE_URL = "http://127.0.0.1:7900"


class _Group(click.Group):
    """A command group that reports an error as one line and an exit status."""

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
    default=DEFAULT_NODE_URL,
    show_default=True,
    help="URL of the operators' listener of a node.",
)
@click.option(
    "--token-file",
    envvar="CACTUSSHED_TOKEN_FILE",
    type=click.File(),
    help="File with the operators' token; default: CACTUSSHED_TOKEN.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def main(context: click.Context, node: str, token_file, as_json: bool) -> None:
    """Operate a fleet of cactusshed nodes."""
    token = os.environ.get("CACTUSSHED_TOKEN", "")
    if token_file is not None:
        token = token_file.read().strip()
    context.obj = Session(node, token, as_json)


def _read_branch(session: Session, path: str) -> BranchView:
    tree = session.send_request("GET", f"/v1/tree?path={path}", TreeView)
    for branch in tree.branches:
        if branch.path == path:
            return branch
    return BranchView(path, {}, 0)


@main.command()
@click.argument("file", type=click.File(encoding="utf-8"))
@click.option("--prune", is_flag=True, help="Remove branches that are not in FILE.")
@author_option
@change_option
@wait_option
@click.pass_obj
def apply(session: Session, file, prune, author, change_id, wait) -> None:
    """Set the branches in the tree file FILE."""
    desired = parse_tree_file(file.read())
    tree = session.send_request("GET", "/v1/tree", TreeView)
    current = {branch.path: branch for branch in tree.branches}
    edits = [
        Edit(path, values)
        for path, values in desired.items()
        if path not in current or current[path].values != values
    ]
    if prune:
        removed = (path for path in current if path not in desired)
        edits.extend(Edit(path, None) for path in removed if not path.startswith("/@"))
    if not edits:
        click.echo(f"nothing to change at version {tree.number}")
        return
    base = {
        edit.path: current[edit.path].version if edit.path in current else 0
        for edit in edits
    }
    submit_edits(session, edits, base, author, change_id, wait)


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
        key, separator, value = pair.partition("=")
        if not separator:
            raise click.UsageError(f"{pair!r} is not KEY=VALUE")
        values[key] = value
    edits = [Edit(path, values)]
    submit_edits(session, edits, {path: branch.version}, author, change_id, wait)


@main.command()
@click.argument("path")
@click.argument("keys", nargs=-1)
@author_option
@change_option
@wait_option
@click.pass_obj
def unset(session: Session, path, keys, author, change_id, wait) -> None:
    """Unset keys of the branch PATH, or remove the branch if no key is given."""
    branch = _read_branch(session, path)
    values = {k: v for k, v in branch.values.items() if k not in keys}
    edits = [Edit(path, values if keys else None)]
    submit_edits(session, edits, {path: branch.version}, author, change_id, wait)


@main.command()
@click.argument("path", default="/")
@click.pass_obj
def get(session: Session, path: str) -> None:
    """Print the branches at and below PATH."""
    session.show(
        session.send_request("GET", f"/v1/tree?path={path}", TreeView), render_tree
    )


@main.command()
@click.argument("file", type=click.File(encoding="utf-8"))
@click.pass_obj
def diff(session: Session, file) -> None:
    """Print what `apply FILE` would change."""
    desired = parse_tree_file(file.read())
    tree = session.send_request("GET", "/v1/tree", TreeView)
    lines = list(render_diff(tree, desired))
    session.show(lines, lambda rows: rows or ["no difference"])


@main.command()
@click.option("--after", default=0, help="Only changes after this version.")
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def log(session: Session, after: int, limit: int) -> None:
    """Print accepted changes."""
    path = f"/v1/log?after={after}&limit={limit}"
    session.show(session.send_request("GET", path, list[LogEntry]), render_log)


@main.command()
@click.pass_obj
def status(session: Session) -> None:
    """Print the state of the node and of the fleet."""
    session.show(session.send_request("GET", "/v1/status", Status), render_status)


@main.command()
@click.argument("path")
@click.argument("key")
@click.pass_obj
def explain(session: Session, path: str, key: str) -> None:
    """Print the value of KEY at PATH, where it is set and by whom."""
    answer = session.send_request(
        "GET", f"/v1/explain?path={path}&key={key}", Explanation
    )
    session.show(answer, render_explanation)


@main.command()
@click.pass_obj
def histograms(session: Session) -> None:
    """Print call times by service, route and organisation."""
    answer = session.send_request("GET", "/v1/histograms", list[HistogramView])
    session.show(answer, render_histograms)


@main.command()
@click.option(
    "--every", default=1.0, show_default=True, help="Seconds between refreshes."
)
@click.option("--count", default=0, help="Number of refreshes; 0 for no limit.")
@click.option(
    "--target",
    "targets",
    multiple=True,
    metavar="HOST[:PORT]",
    callback=read_nodes,
    help="Metrics address of a node of the mesh; port 9464. Prints load, limit and "
    "pace of its target instead. May be repeated.",
)
@click.pass_obj
def top(session: Session, every: float, count: int, targets: list[str]) -> None:
    """Print status and call times, or the load of targets, periodically."""
    for number in itertools.count(1):
        if not session.as_json:
            click.clear()
        if targets:
            session.show([read_target(node) for node in targets], render_targets)
        else:
            status = session.send_request("GET", "/v1/status", Status)
            session.show(status, render_status)
            times = session.send_request("GET", "/v1/histograms", list[HistogramView])
            session.show(times, render_histograms)
        if number == count:
            return
        time.sleep(every)


for _command in (*COMMANDS, emulate, explain_request, explain_route):
    main.add_command(_command)


if __name__ == "__main__":
    main()
