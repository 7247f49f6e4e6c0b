"""Tests of the store client: outages, lost and late responses, conditions."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cactusshed.errors import AnswerLost, ConditionFailed, PlatformUnavailable
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.platform import rows
from cactusshed.platform.rows import ABSENT, ConditionalPut, HistoryGone, RowStore
from standins.ports import choose_port
from standins.rowstore import open_row_store

from .meshes import run_async


@asynccontextmanager
async def open_store():
    """Yield the stand-in of the store and a client."""
    address = Address("127.0.0.1", choose_port())
    app, listener = await open_row_store(address)
    store = RowStore(address, Counters())
    try:
        yield app, store
    finally:
        store.close()
        listener.stop()


@pytest.fixture(autouse=True)
def _short_timeout(monkeypatch):
    monkeypatch.setattr(rows, "CALL_TIMEOUT_SECONDS", 0.3)


def test_conditional_writes_and_reads():
    """A write does nothing if its row is at another version than expected."""

    async def run_steps():
        async with open_store() as (_, store):
            version = await store.write([ConditionalPut("t", "k/1", b"one", ABSENT)])
            with pytest.raises(ConditionFailed):
                await store.write([ConditionalPut("t", "k/1", b"two", ABSENT)])
            await store.write([ConditionalPut("t", "k/2", b"more", ABSENT)])
            page = await store.read_table("t", "k/")
            return page.rows[0].version == version, [r.value for r in page.rows]

    assert_that(run_async(run_steps), Equals((True, [b"one", b"more"])))


def test_feed_reports_changes_at_once_and_deletions():
    """The feed reports a deleted row while the client waits."""

    async def run_steps():
        async with open_store() as (app, store):
            after = app.put("t", "k", b"one")
            waiting = asyncio.create_task(store.wait_for_changes("t", after, 5.0))
            await asyncio.sleep(0.05)
            app.put("t", "k", None)
            page = await waiting
            return [(row.key, row.is_deleted) for row in page.rows]

    assert_that(run_async(run_steps), Equals([("k", True)]))


def test_feed_raises_when_history_is_gone():
    """`HistoryGone` makes the caller read the whole table."""

    async def run_steps():
        async with open_store() as (app, store):
            app.put("t", "k", b"one")
            app.drop_history()
            with pytest.raises(HistoryGone):
                await store.wait_for_changes("t", 0, 1.0)

    run_async(run_steps)


@pytest.mark.parametrize(
    ("fault", "error"),
    [("busy", PlatformUnavailable), ("silent", AnswerLost), ("lose", AnswerLost)],
)
def test_failed_write_says_whether_it_may_have_been_done(fault, error):
    """`PlatformUnavailable` means that nothing was written; `AnswerLost` is unsure."""

    async def run_steps():
        async with open_store() as (app, store):
            app.fault = fault
            with pytest.raises(error):
                await store.write([ConditionalPut("t", "k", b"one", ABSENT)])

    run_async(run_steps)


def test_late_write_is_fenced_by_its_condition():
    """A write that the store applies late does not overwrite a newer one."""

    async def run_steps():
        async with open_store() as (app, store):
            app.fault, app.late_seconds = "late", 0.5
            with pytest.raises(AnswerLost):
                await store.write([ConditionalPut("t", "k", b"old", ABSENT)])
            app.fault = "up"
            await store.write([ConditionalPut("t", "k", b"new", ABSENT)])
            await asyncio.sleep(0.4)
            return app.rows["t", "k"][0]

    assert_that(run_async(run_steps), Equals(b"new"))
