"""Stateful fuzzing of versions: operators, the feed, restarts and outages.

The oracle is the accepted sequence. At every step each node has one complete
accepted version, the version served on a host never decreases, and no route
exists without its service.
"""

import contextlib

import anyio
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cactusshed.errors import AnswerLost, CactusError, PlatformUnavailable
from cactusshed.observe.counters import Counters
from cactusshed.spread.activeversion import ActiveVersion
from cactusshed.spread.messages import Receiver, make_updates
from cactusshed.store.acceptance import (
    Proposal,
    accept_change,
    load_head,
    load_tree_at,
    read_changes,
)
from cactusshed.tree.branch import build_tree
from cactusshed.tree.edit import Edit, apply_change
from cactusshed.tree.table import compile_table
from cactusshed.tree.validate import find_errors
from cactusshed.wire import control_pb2 as pb

from .fakes import FakePort

HOSTS = 4
EMPTY = build_tree(0, ())
FAULTS = st.sampled_from(
    [
        ([], 0, False),
        ([], 0, False),
        ([], 0, False),
        (["lost"], 0, False),
        (["hang"], 0, False),
        (["hang", "lost"], 2, False),
        (["lost"], 9, False),
        (["hang"], 9, False),
        (["down"], 0, False),
        ([], 0, True),
    ]
)
"""Faults of the next commits, reads that fail after one, and an outage."""
SERVICES = ("texts", "responses")
EDITS = st.one_of(
    st.builds(lambda slots: Edit("/", {"slots": str(slots)}), st.integers(0, 3)),
    st.builds(
        lambda name, slots: Edit(f"/*/*/{name}", {"version": "v1", "slots": slots}),
        st.sampled_from(SERVICES),
        st.sampled_from(["1", "2"]),
    ),
    st.builds(
        lambda yes: Edit("/r/d", {"withdrawn": yes}), st.sampled_from(["yes", "no"])
    ),
    st.builds(
        lambda name: Edit(f"/*/*/{name}/read", {"prefix": f"/{name}"}),
        st.sampled_from(SERVICES),
    ),
    st.builds(
        lambda name, tail: Edit(f"/*/*/{name}{tail}", None),
        st.sampled_from(SERVICES),
        st.sampled_from(["", "/read"]),
    ),
)


async def no_pause():
    """Do not wait between attempts."""


class Versions(RuleBasedStateMachine):
    """Nodes, operators and messages in flight, with one fake platform."""

    messages = Bundle("messages")

    @initialize()
    def start(self):
        """Start the platform and the hosts' first processes."""
        self.port = FakePort()
        self.time = 100.0
        self.nodes = [self._start_node() for _ in range(HOSTS)]
        self.served = [0] * HOSTS
        self.results = {}
        self.count = 0
        base = (Edit("/*/*/texts", {"version": "v1"}),)
        self._accept(0, base, {}, "change-0", ([], 0, False))

    def _start_node(self):
        self.time += 0.001
        return ActiveVersion("r", "d", Counters(), lambda: self.time)

    def _set_faults(self, faults):
        commits, failing_reads, down = faults
        self.port.faults = list(commits)
        self.port.failing_reads = failing_reads
        self.port.down = down
        self.port.reads_to_fail = 0

    def _accept(self, host, edits, base, change_id, faults):
        """Submit a change at a host and record the reported result."""
        node = self.nodes[host]
        self._set_faults(faults)
        proposal = Proposal(change_id, "op", edits, base)
        try:
            change, tree = anyio.run(
                accept_change, self.port, proposal, lambda: node.tree, no_pause
            )
            self.results.setdefault(change_id, set()).add("accepted")
            with contextlib.suppress(CactusError):
                node.swap(tree, [change])
        except AnswerLost:
            self.results.setdefault(change_id, set()).add("unknown")
        except CactusError as error:
            self.results.setdefault(change_id, set()).add(error.code)
        finally:
            self._set_faults(([], 0, False))

    @rule(
        host=st.integers(0, HOSTS - 1),
        edits=st.lists(EDITS, min_size=1, max_size=3, unique_by=lambda e: e.path),
        faults=FAULTS,
        stale=st.booleans(),
    )
    def submit(self, host, edits, faults, stale):
        """Submit a change, sometimes with stale branch versions."""
        self.count += 1
        branches = self.nodes[host].tree.branches
        base = {
            edit.path: branches[edit.path].version if edit.path in branches else 0
            for edit in edits
        }
        if stale:
            base = dict.fromkeys(base, 0)
        self._accept(host, tuple(edits), base, f"change-{self.count}", faults)

    @rule(host=st.integers(0, HOSTS - 1), faults=FAULTS, back=st.integers(0, 3))
    def resubmit(self, host, faults, back):
        """Submit an earlier change again."""
        change_id = f"change-{max(0, self.count - back)}"
        edits = (Edit("/", {"slots": "2"}),)
        self._accept(host, edits, {}, change_id, faults)

    @rule()
    def execute_delayed_writes(self):
        """Execute delayed writes whose conditions still hold."""
        self.port.apply_late_commits()

    @rule(host=st.integers(0, HOSTS - 1), faults=FAULTS)
    def poll(self, host, faults):
        """Poll the head on one node."""
        node = self.nodes[host]
        requested_at = self.time
        self._set_faults(faults)

        async def poll():
            head = await load_head(self.port)
            if head.number > node.number:
                tree, changes = await load_tree_at(self.port, node.tree, head)
                node.swap(tree, changes)
            if head.number <= node.number:
                node.confirm(requested_at)

        with contextlib.suppress(PlatformUnavailable):
            anyio.run(poll)
        self._set_faults(([], 0, False))

    @rule(
        target=messages,
        host=st.integers(0, HOSTS - 1),
        after=st.sampled_from([0, 0, 0, 1, 99]),
    )
    def send(self, host, after):
        """Send the updates from some version to the one of a node."""
        after = min(after, self.nodes[host].number)
        return (self.time, list(make_updates(self.nodes[host], after)))

    @rule(
        message=messages,
        host=st.integers(0, HOSTS - 1),
        damage=st.sampled_from(["none", "none", "cut", "swap", "number"]),
    )
    def deliver(self, message, host, damage):
        """Deliver a message, sometimes late, repeatedly, elsewhere or damaged."""
        sent, updates = message
        receiver = Receiver(self.nodes[host])
        for update in updates:
            late = pb.Update.FromString(update.SerializeToString())
            late.age_ms = min((1 << 32) - 1, late.age_ms + self._count_ms(sent))
            _damage(late, damage)
            with contextlib.suppress(CactusError):
                receiver.apply(late)

    def _count_ms(self, sent):
        return int((self.time - sent) * 1000) + 1

    @rule(host=st.integers(0, HOSTS - 1))
    def restart(self, host):
        """Restart a node without its state."""
        self.nodes[host] = self._start_node()

    @rule(seconds=st.floats(0.01, 5.0))
    def pass_time(self, seconds):
        """Advance the clock."""
        self.time += seconds

    def _list_accepted(self):
        store = self.port.store

        async def read():
            head = await load_head(self.port)
            return await read_changes(self.port, 0, head.number)

        reads = store.reads
        changes = anyio.run(read)
        store.reads = reads
        return changes

    @invariant()
    def has_accepted_versions(self):
        """Check that each node has a complete and valid accepted version."""
        if not hasattr(self, "port"):
            return
        trees = {0: EMPTY}
        tree = EMPTY
        for change in self._list_accepted():
            tree = trees[change.number] = apply_change(tree, change)
        for node in self.nodes:
            assert node.tree.digest == trees[node.number].digest
            assert not find_errors(node.tree)
            assert node.table == compile_table(node.tree, "r", "d")

    @invariant()
    def keeps_changes_without_gap(self):
        """Check that kept changes lead to the active version without a gap."""
        if not hasattr(self, "port"):
            return
        for node in self.nodes:
            numbers = [change.number for change in node.changes]
            last = node.number
            assert numbers == list(range(last - len(numbers) + 1, last + 1))

    @invariant()
    def served_version_never_decreases(self):
        """Check that no host serves an older version than it served before."""
        if not hasattr(self, "port"):
            return
        for host, node in enumerate(self.nodes):
            if node.ready:
                assert node.number >= self.served[host]
                self.served[host] = node.number

    @invariant()
    def reported_results_are_correct(self):
        """Check that accepted changes occur once, and refused or failed ones never."""
        if not hasattr(self, "port"):
            return
        ids = [change.change_id for change in self._list_accepted()]
        assert len(set(ids)) == len(ids)
        for change_id, codes in self.results.items():
            if "accepted" in codes:
                assert change_id in ids
            elif "unknown" not in codes:
                assert change_id not in ids


def _damage(update, damage):
    if damage == "cut" and update.changes:
        update.changes[0].body = update.changes[0].body[:-3]
    elif damage == "cut":
        update.snapshot = update.snapshot[:-3]
    elif damage == "swap" and len(update.changes) > 1:
        first, second = update.changes[0].body, update.changes[1].body
        update.changes[0].body, update.changes[1].body = second, first
    elif damage == "number":
        update.number += 1


Versions.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestVersions = Versions.TestCase
