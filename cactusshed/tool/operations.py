"""Commands for moves, withdrawals and drains."""

import time
import uuid

import click

from ..errors import CactusError
from ..operate.messages import Accepted, ClosureRequest, Status, TreeView
from ..tree.branch import make_progress_path
from ..tree.edit import Edit
from .session import (
    POLL_SECONDS,
    NotEverywhere,
    Session,
    author_option,
    change_option,
    submit_edits,
    wait_option,
)

__all__ = ["COMMANDS"]

MOVE_KEYS = ("move-to", "move-by", "move-id")


class UnknownService(CactusError):
    """The tree has no branch for the named service."""

    code = "invalid-tree"


def _read_service(session: Session, service: str):
    """Return the branch of a service and the progress values of its move."""
    tree = session.send_request("GET", "/v1/tree", TreeView)
    branches = {branch.path: branch for branch in tree.branches}
    path = f"/*/*/{service}"
    if path not in branches:
        raise UnknownService(f"{path} has no branch", step="move")
    progress = branches.get(make_progress_path(service))
    return branches[path], progress.values if progress else {}


def _remove_move(values: dict[str, str], progress: dict[str, str]) -> dict[str, str]:
    """Return the values without the move; a completed move sets the version."""
    remaining = {key: value for key, value in values.items() if key not in MOVE_KEYS}
    is_current = progress.get("move-id") == values.get("move-id")
    if "move-id" in values and is_current and progress.get("state") == "done":
        remaining["version"] = values["move-to"]
    return remaining


@click.command()
@click.argument("service")
@click.option("--to", required=True, help="Version to move all calls to.")
@click.option(
    "--within",
    type=float,
    required=True,
    help="Seconds within which the move must finish.",
)
@author_option
@change_option
@wait_option
@click.pass_obj
def move(session: Session, service, to, within, author, change_id, wait) -> None:
    """Move SERVICE to another version within a time limit."""
    branch, progress = _read_service(session, service)
    change_id = change_id or uuid.uuid4().hex
    values = _remove_move(branch.values, progress)
    values["move-to"] = to
    values["move-by"] = f"{time.time() + within:.3f}"
    values["move-id"] = change_id
    edits = [Edit(branch.path, values)]
    submit_edits(session, edits, {branch.path: branch.version}, author, change_id, wait)


@click.command()
@click.argument("service")
@author_option
@change_option
@wait_option
@click.pass_obj
def cancel(session: Session, service, author, change_id, wait) -> None:
    """End the move of SERVICE; a running move returns to the old version."""
    branch, progress = _read_service(session, service)
    edits = [Edit(branch.path, _remove_move(branch.values, progress))]
    submit_edits(session, edits, {branch.path: branch.version}, author, change_id, wait)


def _submit_closure(
    session: Session, kind, name, closed, force, author, change_id, wait
):
    request = ClosureRequest(
        change_id or uuid.uuid4().hex, author, kind, name, closed, force
    )
    started = time.monotonic()
    accepted = session.send_request("POST", "/v1/closures", Accepted, request)
    if session.as_json:
        session.show(accepted, None)
    else:
        click.echo(f"accepted version {accepted.number}")
    if wait:
        _wait_until_complete(session, accepted.number, name, closed, started, wait)


def _wait_until_complete(session, number, name, closed, started, wait) -> None:
    """Wait until the change is in force and a withdrawn data centre runs no calls."""
    while time.monotonic() - started < wait:
        status = session.send_request("GET", "/v1/status", Status)
        in_force = all(centre.has_version(number) for centre in status.centres)
        running = sum(c.running for c in status.centres if c.name == name)
        if in_force and not (closed and running):
            elapsed = time.monotonic() - started
            click.echo(f"done after {elapsed:.2f} s", err=session.as_json)
            return
        time.sleep(POLL_SECONDS)
    raise NotEverywhere(
        f"version {number} is accepted but was not complete within {wait:g} s"
    )


force_option = click.option(
    "--force",
    is_flag=True,
    help="Proceed even if the remaining capacity may be too small for the load.",
)


@click.command()
@click.argument("data_centre")
@force_option
@author_option
@change_option
@wait_option
@click.pass_obj
def withdraw(session: Session, data_centre, force, author, change_id, wait) -> None:
    """Stop sending new calls to DATA_CENTRE."""
    _submit_closure(
        session, "withdraw", data_centre, True, force, author, change_id, wait
    )


@click.command()
@click.argument("name")
@force_option
@author_option
@change_option
@wait_option
@click.pass_obj
def drain(session: Session, name, force, author, change_id, wait) -> None:
    """Stop sending new calls to the node or target NAME."""
    _submit_closure(session, "drain", name, True, force, author, change_id, wait)


@click.command(name="return")
@click.argument("name")
@click.option("--drained", is_flag=True, help="NAME is a node or target.")
@author_option
@change_option
@wait_option
@click.pass_obj
def return_to_service(session: Session, name, drained, author, change_id, wait) -> None:
    """Resume calls to the data centre NAME, or to a drained node or target."""
    kind = "drain" if drained else "withdraw"
    _submit_closure(session, kind, name, False, False, author, change_id, wait)


COMMANDS = (move, cancel, withdraw, drain, return_to_service)
"""Commands that the tool adds to its group."""
