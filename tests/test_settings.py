"""Tests of the settings: all errors are reported at once, with option and value."""

import subprocess
import sys

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesAll

from cactusshed.errors import InvalidSettings
from cactusshed.settings import parse_settings

GOOD = """
[node]
name = n1
region = r
data-centre = d
[callers]
listen = 127.0.0.1:1
[peers]
calls = 127.0.0.1:2
control = 127.0.0.1:3
[operators]
listen = 127.0.0.1:4
[platform]
url = http://127.0.0.1:5
"""


def test_good_settings_are_read():
    """Values are parsed to their types, with defaults for the rest."""
    settings = parse_settings(GOOD)
    assert_that(str(settings.control), Equals("127.0.0.1:3"))
    assert_that(settings.poll_interval, Equals(1.0))


def test_every_error_is_named():
    """Three errors give three lines, each with its option and value."""
    bad = GOOD.replace("name = n1", "name = N 1").replace(":2", ":x") + "[x]\ny = 1\n"
    with pytest.raises(InvalidSettings) as caught:
        parse_settings(bad)
    message = caught.value.message
    expected = ("[node] name: 'N 1'", "[peers] calls: 'x'", "[x] y: unknown option")
    assert_that(message, MatchesAll(*(Contains(text) for text in expected)))


def test_open_listener_needs_token_and_secret():
    """If a listener is not on loopback, missing token and secret are errors."""
    bad = GOOD.replace("listen = 127.0.0.1:1", "listen = 10.0.0.1:1")
    with pytest.raises(InvalidSettings) as caught:
        parse_settings(bad)
    assert_that(caught.value.message, Contains("[operators] token: is missing"))
    assert_that(caught.value.message, Contains("[peers] secret: is missing"))


def test_check_exits_with_status_2(tmp_path):
    """`cactusshedd --check` prints the errors and exits with status 2."""
    path = tmp_path / "bad.ini"
    path.write_text("[node]\nname = n1\n")
    command = [sys.executable, "-m", "cactusshed.daemon", str(path), "--check"]
    done = subprocess.run(command, capture_output=True, text=True)
    assert_that(done.returncode, Equals(2))
    assert_that(done.stderr, Contains("[peers] control: is missing"))
