"""The committed capacity page equals the output of its script."""

import json
from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from bench.capacity import render_page

ROOT = Path(__file__).parent.parent


def test_page_is_printed_from_the_slopes():
    """The page must be regenerated when slopes, constants or the template change."""
    slopes = json.loads((ROOT / "bench" / "slopes.json").read_text())
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    assert_that(render_page(slopes), Equals(page))
