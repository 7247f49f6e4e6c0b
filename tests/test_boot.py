"""Settings files and configurations of deployments that use only some features."""

import copy
import json
import os
import signal
import subprocess
import sys

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from cactusshed.errors import InvalidSettings, Malformed
from cactusshed.learnedlimits import LearnedLimits
from cactusshed.platform.boot import load_settings
from cactusshed.platform.document import decode_table
from cactusshed.policy.coldstart import ColdStartGuard
from standins.meshfleet import make_document
from standins.ports import choose_port

REQUIRED = (
    "node",
    "zone",
    "service",
    "app_addr",
    "listen.outbound",
    "listen.inbound",
    "listen.ready",
    "listen.control",
    "platform.address",
)
OPTIONAL = (
    "region",
    "heartbeat",
    "limits.memory_mb",
    "limits.max_fds",
    "limits.link_mbps",
    "limits.learned",
    "bounds.grace",
    "bounds.drain",
    "bounds.config",
    "bounds.rollback",
    "bounds.budget_ratio",
    "bounds.budget_window",
    "bounds.budget_slack",
    "bounds.exposure_share",
    "bounds.exposure_slack",
    "bounds.cold_overage",
    "bounds.cold_slack",
    "cloud.address",
    "cloud.duties",
    "bounds.report_window",
    "bounds.usage_late",
    "bounds.lease_time",
)
USAGE = ("bounds.report_window", "bounds.usage_late", "bounds.lease_time")
IGNORED = ("heartbeat", "cloud.address")
"""Optional fields that no feature reads in a deployment without usage reports."""


def make_settings() -> dict:
    """Return a settings file in which every feature is in use."""
    addresses = [f"127.0.0.1:{choose_port()}" for _ in range(5)]
    return {
        "node": "sidecar-a-1",
        "zone": "a",
        "region": "r",
        "service": "s",
        "listen": dict(
            zip(("inbound", "outbound", "ready", "control"), addresses, strict=False)
        ),
        "limits": {
            "memory_mb": 200,
            "max_fds": 4100,
            "link_mbps": 10.0,
            "learned": "2-5",
        },
        "heartbeat": "1500ms",
        "bounds": {
            "grace": "6s",
            "drain": "2500ms",
            "config": "2500ms",
            "rollback": "5000ms",
            "budget_ratio": 0.2,
            "budget_window": "10s",
            "budget_slack": 182,
            "exposure_share": 0.1,
            "exposure_slack": 50,
            "cold_overage": 1.5,
            "cold_slack": 8,
            "report_window": "5s",
            "usage_late": "10s",
            "lease_time": "3000ms",
        },
        "app_addr": addresses[4],
        "platform": {"address": "127.0.0.1:9"},
        "cloud": {"address": "127.0.0.1:10", "duties": ["usage"]},
    }


def set_field(settings: dict, name: str, value: object) -> dict:
    """Return a copy with one field replaced, or removed if `value` is `NOTHING`."""
    changed = copy.deepcopy(settings)
    section, _, field = name.rpartition(".")
    target = changed[section] if section else changed
    if value is attrs.NOTHING:
        del target[field]
    else:
        target[field] = value
    return changed


def strip_optional(settings: dict) -> dict:
    """Return a copy without any optional field, and without their tables."""
    for name in OPTIONAL:
        settings = set_field(settings, name, attrs.NOTHING)
    return {name: value for name, value in settings.items() if value != {}}


@pytest.fixture
def load(tmp_path):
    """Return a function that loads settings from a file with the given content."""

    def load_fields(settings: dict):
        path = tmp_path / "boot.json"
        path.write_text(json.dumps(settings))
        return load_settings(str(path))

    return load_fields


def test_settings_with_every_feature_are_read(load):
    """The values of all features reach the settings."""
    settings = load(make_settings())
    assert_that(settings.usage.window, Equals(5.0))
    assert_that(settings.bounds.cold_factor, Equals(1.5))
    assert_that(settings.max_descriptors, Equals(4100))


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("on", LearnedLimits()),
        ("off", LearnedLimits(is_enabled=False)),
        ("trials", LearnedLimits(tries_full=True)),
        ("2-5", LearnedLimits(lowest=2, highest=5)),
        ("3-3", LearnedLimits(lowest=3, highest=3)),
        ("2-", LearnedLimits(lowest=2)),
        ("-5", LearnedLimits(highest=5)),
        (None, LearnedLimits()),
    ],
)
def test_learned_limits_are_read(load, text, expected):
    """Learning must be on, without trials or bounds, unless it is said."""
    settings = load(set_field(make_settings(), "limits.learned", text))
    assert_that(settings.learned, Equals(expected))


@pytest.mark.parametrize("text", ["yes", "", "-", "5-2", "0-3", "-0", "2-5-7", "2"])
def test_wrong_learned_limits_are_named(load, text):
    """A typo must not leave learning on, or a service without its bounds."""
    with pytest.raises(InvalidSettings) as caught:
        load(set_field(make_settings(), "limits.learned", text))
    assert_that(caught.value.message, Contains("limits.learned: "))
    assert_that(caught.value.message, Contains(f"(got {text!r})"))


@pytest.mark.parametrize("name", OPTIONAL)
@pytest.mark.parametrize("value", [attrs.NOTHING, None])
def test_field_of_an_unused_feature_may_be_absent(load, name, value):
    """A deployment without a feature must start without the fields of the feature."""
    settings = make_settings()
    if name in (*USAGE, "cloud.address"):
        settings = set_field(settings, "cloud.duties", [])
    load(set_field(settings, name, value))


@pytest.mark.parametrize("section", ["limits", "bounds", "cloud"])
def test_whole_table_may_be_absent(load, section):
    """A deployment may have no field of a table, and then leaves the table out."""
    settings = set_field(make_settings(), "cloud.duties", [])
    load(set_field(settings, section, attrs.NOTHING))


def test_all_optional_fields_may_be_absent(load):
    """The smallest deployment has only addresses and names."""
    settings = load(strip_optional(make_settings()))
    assert_that(settings.usage, Is(None))
    assert_that(settings.bounds.cold_factor, Is(None))


@pytest.mark.parametrize("name", REQUIRED)
def test_required_field_is_named(load, name):
    """A missing address or name must not lead to an error about something else."""
    with pytest.raises(InvalidSettings) as caught:
        load(set_field(make_settings(), name, attrs.NOTHING))
    assert_that(caught.value.message, Contains(f"{name}: "))


@pytest.mark.parametrize("name", (*USAGE, "cloud.address"))
def test_missing_field_of_a_feature_in_use_is_named(load, name):
    """A node that may have to report usage must not start without the bounds of it."""
    with pytest.raises(InvalidSettings) as caught:
        load(set_field(make_settings(), name, attrs.NOTHING))
    assert_that(caught.value.message, Contains(f"{name}: "))


@pytest.mark.parametrize(
    "name", [n for n in (*REQUIRED, *OPTIONAL) if n not in IGNORED]
)
def test_wrong_type_is_named_with_its_value(load, name):
    """A wrong value is an error, also in an optional field, not a default."""
    with pytest.raises(InvalidSettings) as caught:
        load(set_field(make_settings(), name, {"odd": 1}))
    assert_that(caught.value.message, Contains(f"{name}: "))
    if name != "cloud.duties":
        assert_that(caught.value.message, Contains("(got {'odd': 1})"))


def test_node_starts_with_the_smallest_settings(tmp_path):
    """No part of a node may demand a setting that its reader allows to be absent."""
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(strip_optional(make_settings())))
    process = subprocess.Popen(
        [sys.executable, "-m", "cactusshed.sidecar"],
        env={**os.environ, "CACTUSSHED_BOOT": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    started = process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    process.stdout.read()
    assert_that(started, Contains("started"))
    assert_that(process.wait(), Equals(0))


def list_paths(value: object, path: tuple = ()):
    """Yield the path of each field of a document, those of tables included."""
    items = value.items() if isinstance(value, dict) else ()
    for name, inner in items:
        yield (*path, name)
        yield from list_paths(inner, (*path, name))


def remove_path(document: dict, path: tuple) -> dict:
    """Return a copy without the field at `path`."""
    changed = copy.deepcopy(document)
    parent = changed
    for name in path[:-1]:
        parent = parent[name]
    del parent[path[-1]]
    return changed


def wrap_rule(rule: dict) -> dict:
    """Return the document of a configuration with one route."""
    document = make_document(3, {"/a/": {}}, ["s"])
    document["listeners"][0]["rules"] = [rule]
    return document


def test_optional_fields_of_a_configuration_may_be_absent():
    """A configuration without a field of an unused feature must not be refused."""
    document = make_document(3, {"/a/": {}}, ["s"])
    (rule,) = document["listeners"][0]["rules"]
    required = {("match",), ("match", "prefix"), ("action",), ("action", "service")}
    for path in list_paths(rule):
        if path not in required:
            decode_table(json.dumps(wrap_rule(remove_path(rule, path))).encode())
    (cluster,) = document["clusters"]
    for path in list_paths(cluster):
        if path != ("name",):
            document["clusters"] = [remove_path(cluster, path)]
            decode_table(json.dumps(document).encode())
    for path in list_paths({"limits": document["limits"]}):
        decode_table(json.dumps(remove_path(document, path)).encode())


def test_required_fields_of_a_configuration_are_named():
    """A configuration that routes nothing must be refused, and the field named."""
    document = make_document(3, {"/a/": {}}, ["s"])
    (rule,) = document["listeners"][0]["rules"]
    for path in (("match", "prefix"), ("action", "service")):
        with pytest.raises(Malformed) as caught:
            decode_table(json.dumps(wrap_rule(remove_path(rule, path))).encode())
        assert_that(str(caught.value), Contains(path[-1]))


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [
        ("safe", True),
        ("download", True),
        ("unsafe", False),
        ("upload", False),
        ("not-known", False),
    ],
)
def test_kind_says_whether_a_request_may_run_again(kind, idempotent):
    """A download is retried like a read; a kind that is not known never is."""
    document = make_document(3, {"/a/": {"kind": kind}}, ["s"])
    table = decode_table(json.dumps(document).encode())
    route = table.find_route("shop.example", "/a/1")
    assert_that(route.idempotent, Is(idempotent))


def test_cold_target_without_a_cold_rate_is_not_limited():
    """A suspected restart must not hold a service without a rate to one a second."""
    guard = ColdStartGuard()
    assert_that(guard.limits_starts(0.0), Is(True))
    guard.adjust(0.0, 1.0, 0.0)
    guard.suspect_restart(1.0)
    assert_that(guard.is_cold(1.0), Is(True))
    assert_that(guard.limits_starts(1.0), Is(False))
    for _ in range(5):
        assert_that(guard.note_start(1.0, may_have_restarted=True), Is(False))


def test_cold_target_with_a_cold_rate_is_limited():
    """A target that fails above its cold rate keeps its limit."""
    guard = ColdStartGuard()
    guard.adjust(10.0, 1.5, 5.0)
    guard.suspect_restart(1.0)
    assert_that(guard.limits_starts(1.0), Is(True))
