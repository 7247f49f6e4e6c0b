"""Tests of the operators' tool: commands, error lines and exit statuses."""

import json
import os
import re
import subprocess
import sys
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesRegex

from cactusshed.control import EXIT_CODES, main
from standins.fleet import TOKEN, open_fleet
from standins.process import wait_for

ROOT = Path(__file__).parent.parent
TREE = ROOT / "examples" / "martelo.ini"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Return two nodes with one target each, configured with an example tree."""
    with open_fleet(tmp_path_factory.mktemp("tool")) as fleet:
        for name, centre in (("a", "recife"), ("b", "natal")):
            fleet.start_node(name, centre, region="br-ne")
            fleet.start_target(f"rounds-{name}", name, "rounds")
        fleet.wait_ready()
        fleet.wait_targets("a", "rounds", 2)
        fleet.wait_targets("b", "rounds", 2)
        run(fleet, "apply", str(TREE), "--wait", "10")
        yield fleet


def run(fleet, *arguments, status=0, token=TOKEN, node=None):
    """Run the tool; return its output, or its error output if it should fail."""
    environment = {
        **os.environ,
        "CACTUSSHED_TOKEN": token,
        "CACTUSSHED_NODE": node or fleet.nodes["a"].operators_url,
    }
    done = subprocess.run(
        [sys.executable, "-m", "cactusshed.control", *arguments],
        env=environment,
        capture_output=True,
        text=True,
    )
    assert_that(done.returncode, Equals(status), done.stderr)
    return done.stdout if status == 0 else done.stderr


def test_edit_and_explain(fleet):
    """A value can be set, shown, explained, logged, compared and unset."""
    run(fleet, "set", "/br-ne", "slots=4", "--author", "ana", "--wait", "10")
    assert_that(run(fleet, "get", "/br-ne"), Contains("slots = 4"))
    output = run(fleet, "explain", "/br-ne/natal/rounds", "slots")
    assert_that(output, Contains("set at /br-ne"))
    assert_that(output, Contains("by ana"))
    assert_that(run(fleet, "log"), Contains("ana  /br-ne"))
    assert_that(run(fleet, "diff", str(TREE)), Equals("no difference\n"))
    run(fleet, "unset", "/br-ne")
    assert_that(run(fleet, "get", "/br-ne"), MatchesRegex(r"# version \d+\n$"))


def test_json_option_prints_json(fleet):
    """With --json, every query command prints one JSON value."""
    for command in (["status"], ["get"], ["log"], ["histograms"], ["diff", str(TREE)]):
        json.loads(run(fleet, "--json", *command))


def test_top_shows_status_and_call_times(fleet):
    """Each refresh shows the status and the call times."""
    fleet.call("a", "/rounds/1")
    output = run(fleet, "top", "--count", "2", "--every", "0.1")
    assert_that(output.count("node a in recife"), Equals(2))
    assert_that(output, Contains("rounds/lookup"))


def test_errors_are_one_line_with_a_code(fleet):
    """An error gives its exit status and one line that starts with its code."""
    cases = [
        (3, "unreachable", ["status"], {"node": "http://127.0.0.1:1"}),
        (4, "forbidden", ["status"], {"token": "wrong-token"}),
        (6, "invalid-tree", ["set", "/", "slots=none"], {}),
        (6, "invalid-tree", ["drain", "nobody"], {}),
        (10, "withdrawal-refused", ["withdraw", "natal", "--wait", "5"], {}),
    ]
    run(fleet, "withdraw", "recife")
    for status, code, command, options in cases:
        line = run(fleet, *command, status=status, **options)
        assert_that(line, MatchesRegex(rf"{code}: [^\n]+\n$"))
        assert_that(EXIT_CODES[code], Equals(status))
    run(fleet, "return", "recife")
    fleet.inject_fault("down")
    line = run(fleet, "set", "/", "slots=5", status=7)
    assert_that(line, MatchesRegex(r"platform-unavailable: [^\n]+\n$"))
    fleet.inject_fault("up")


def test_withdraw_and_drain_complete(fleet):
    """A withdrawal and a drain are reported as done and can be undone."""
    assert_that(run(fleet, "withdraw", "natal", "--wait", "10"), Contains("done after"))
    status = json.loads(run(fleet, "--json", "status"))
    assert_that(status["withdrawn"], Equals(["natal"]))
    run(fleet, "return", "natal", "--wait", "10")
    output = run(fleet, "drain", "rounds-b", "--wait", "10")
    assert_that(output, Contains("done after"))
    assert_that(fleet.call("b", "/rounds/1").decode()["target"], Equals("rounds-a"))
    run(fleet, "return", "rounds-b", "--drained", "--wait", "10")
    assert_that(json.loads(run(fleet, "--json", "status"))["drained"], Equals([]))


def test_move_and_cancel(fleet):
    """A move can be started and cancelled; the old version stays in force."""
    run(fleet, "move", "rounds", "--to", "v2", "--within", "60", "--wait", "10")
    status = json.loads(run(fleet, "--json", "status"))
    assert_that(status["moves"][0]["to"], Equals("v2"))
    run(fleet, "cancel", "rounds", "--wait", "10")
    wait_for("no move", lambda: not fleet.get_json("b", "/v1/status")["moves"])
    assert_that(fleet.call("a", "/rounds/1").decode()["version"], Equals("v1"))


def test_repeated_change_id_takes_effect_once(fleet):
    """A second change with the same id returns the version of the first."""
    command = ["--json", "set", "/", "slots=3", "--change-id", "same"]
    first, second = (json.loads(run(fleet, *command)) for _ in range(2))
    assert_that(second["number"], Equals(first["number"]))


def test_readme_names_every_command():
    """The command table of the README lists exactly the commands of the tool."""
    text = (ROOT / "README.md").read_text()
    table = text[text.index("| command | does |") : text.index("`--json` prints")]
    named = set(re.findall(r"`([\w-]+)[ `\[]", table))
    assert_that(named, Equals(set(main.commands)))
