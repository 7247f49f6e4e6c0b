"""The table of worth lost by cause, from the report of a played day."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bench.losses import compute_kind_losses, compute_part_losses, main, read_worths


def make_kind(name, n, late, refused, failed):
    """Return the counts of one kind of request as a report holds them."""
    counts = {"n": n, "late": late, "refused": refused, "failed": failed}
    return {"name": name, "not_owed": 10, **counts}


@pytest.fixture
def report():
    """Return a report with two kinds of requests and one price."""
    return {
        "G": 0.7,
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.1, 0.5]],
        "prices": [["machine-seconds", 100.0, 0.08], ["probes", 1.0, 0.0]],
        "classes": [make_kind("read", 110, 10, 5, 5), make_kind("order", 60, 0, 10, 0)],
        "windows": [{"name": "2", **make_kind("", 9, 1, 1, 0), "worth": 0.8}],
    }


def test_losses_are_weighted_by_worth(report):
    """Without weights, a cheap kind that loses much would seem to be the largest loss.

    Owed are 100 and 2 * 50; orders lose 2 * 10, reads 10 * 0.5 and 2 * 5.
    """
    worths = read_worths(
        {
            "classes": [
                {"name": "read", "worth": 1.0, "late_worth": 0.5},
                {"name": "order", "worth": 2.0, "late_worth": 1.0},
                {"name": "lookup", "worth": 0},
            ]
        }
    )
    order, read = compute_kind_losses(report["classes"], worths)
    assert_that((order.name, order.total), Equals(("order", 0.1)))
    assert_that((read.late, read.refused, read.failed), Equals((0.025, 0.025, 0.025)))


def test_parts_and_prices_are_in_one_order(report):
    """A price that takes more than a part must stand before it."""
    losses = [(name, round(lost, 6)) for name, lost in compute_part_losses(report)]
    assert_that(
        losses,
        Equals(
            [("price: machine-seconds", 0.08), ("whole day", 0.06)]
            + [("worst windows", 0.05)]
        ),
    )


def test_command_prints_all_tables(report, tmp_path, capsys):
    """The command needs no site file."""
    path = tmp_path / "day.report"
    path.write_text(json.dumps(report))
    main([str(path)])
    printed = capsys.readouterr().out
    for text in ("Worth 0.700", "| order |", "Worst windows"):
        assert_that(printed, Contains(text))


def test_command_without_a_report_prints_its_use():
    """A missing argument gets the usage, not a traceback."""
    with pytest.raises(SystemExit) as raised:
        main([])
    assert_that(str(raised.value), Contains("REPORT"))
