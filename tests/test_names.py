"""Checks that the platform's wire names are used in the platform package only."""

import re
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

PACKAGE = Path(__file__).parent.parent / "cactusshed"
WIRE = re.compile(
    r"x-attempt-id|x-deadline-ms|x-response-seal|x-expect-instance|x-server-load"
    r"|x-not-executed|x-credential|x-tenant|api_keys|x-caller-service|x-instance-id|x-cold-ms"
    r"|x-duty-holder|x-fence-token"
    r"|server-limit|server-leaving|rows-tx|rows-get|rows-feed|blob-put|instances\.(heartbeat|leave)"
    r"|cactusshed_boot|app_addr|heartbeat_addr|cold_left|rolled_back|max_header_bytes",
    re.IGNORECASE,
)
MAX_LINES = 800


@pytest.fixture(scope="module")
def modules():
    """Return the paths of all modules of the package."""
    return sorted(PACKAGE.rglob("*.py"))


def test_wire_names_are_used_in_one_folder(modules):
    """Other modules must use the types and constants of that folder instead."""
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in modules
        if path.parent.name != "platform"
        for match in WIRE.finditer(path.read_text(encoding="utf-8"))
    ]
    assert_that(found, Equals([]))


def test_platform_folder_stays_small(modules):
    """The folder must hold only the translation between wire and internal types."""
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in modules
        if path.parent.name == "platform"
    )
    assert_that(lines, LessThan(MAX_LINES))
