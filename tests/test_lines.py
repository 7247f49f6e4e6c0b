"""Tests of the log lines (bounded, non-blocking) and of `explain-request`."""

import json
import os

import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, LessThan

from cactusshed.control import main
from cactusshed.observe.lines import BURST, MAX_BUFFERED_LINES, LineLog


@pytest.fixture
def pipe():
    """Yield a log that writes to a pipe, and the read end of the pipe."""
    reader, writer = os.pipe()
    log = LineLog()
    log.open(writer, "n1")
    yield log, reader
    os.close(reader)
    os.close(writer)


def test_lines_name_node_event_and_fields(pipe):
    """A line is one JSON object with the node, the event and the fields."""
    log, reader = pipe
    log.write("started", {"service": "a"})
    line = json.loads(os.read(reader, 4096))
    logged = {key: line[key] for key in ("node", "event", "service")}
    assert_that(logged, Equals({"node": "n1", "event": "started", "service": "a"}))


def test_rate_limit_applies_per_event_and_counts_suppressed_lines(pipe):
    """A flood of one event does not suppress lines of another event."""
    log, reader = pipe
    for _ in range(10 * BURST):
        log.write("call-failed", {})
    log.write("started", {})
    lines = os.read(reader, 1 << 20).splitlines()
    assert_that(len(lines), LessThan(BURST + 5))
    assert_that(log.suppressed, GreaterThan(8 * BURST))
    assert_that(json.loads(lines[-1])["event"], Equals("started"))


def test_unread_pipe_does_not_block(pipe):
    """With a full buffer lines are dropped and counted; the others stay intact."""
    log, reader = pipe
    for number in range(5 * MAX_BUFFERED_LINES):
        log.write(f"kind-{number}", {"text": "x" * 500})
    assert_that(log.dropped, GreaterThan(MAX_BUFFERED_LINES))
    read = b""
    os.set_blocking(reader, False)
    while True:
        try:
            read += os.read(reader, 1 << 16)
        except BlockingIOError:
            break
        log.flush()
    lines = [json.loads(line) for line in read.splitlines()]
    assert_that(len(lines), GreaterThan(MAX_BUFFERED_LINES))


LOG = b"""\
  1.0 n1 {"time":1.0,"mono":1,"node":"n1","event":"gate-closed","reason":"evacuated"}
  1.1 n3 {"time":1.1,"mono":1,"node":"n3","event":"gate-closed","reason":"target-left"}
not a line
  1.5 n2 {"time":1.5,"mono":1,"node":"n2","event":"call-failed","request":"r1","code":"no-target","target":"n1"}
  1.4 n1 {"time":1.4,"mono":1,"node":"n1","event":"repeated","request":"r1.5"}
  1.6 n2 {"time":1.6,"mono":1,"node":"n2","event":"call-failed","request":"r2"}
"""  # noqa: E501


def test_explain_request_lists_lines_in_order(tmp_path):
    """The lines of its calls and state changes of the nodes involved are included."""
    path = tmp_path / "all.log"
    path.write_bytes(LOG)
    done = CliRunner().invoke(main, ["explain-request", "r1", str(path)])
    logged = [
        line.split()[-0 if line[0] == "*" else 0 :] for line in done.output.splitlines()
    ]
    events = [
        next(w for w in words if "-" in w[1:] or w == "repeated") for words in logged
    ]
    assert_that(done.exit_code, Equals(0))
    assert_that(events, Equals(["gate-closed", "repeated", "call-failed"]))
    assert_that(done.output, Contains("reason=evacuated"))


def test_unknown_request_is_an_error():
    """The tool reports that no line mentions the request and exits with 1."""
    done = CliRunner().invoke(main, ["explain-request", "r9"], input=LOG)
    assert_that(done.exit_code, Equals(1))
