"""Mutation test of the soak: disables one guard at a time in a copy of the source.

python -m soak.mutations
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import click

__all__ = ["MUTATIONS", "Mutation", "main"]

ROOT = Path(__file__).parent.parent
COPIED = ("cactusshed", "soak", "standins")
SECONDS = 15
"""Time of fault injection in each soak."""


HARMLESS = ("hup", "configure", "store-compact", "odd-rows", "keys", "add-route")


@attrs.frozen
class Mutation:
    """A guard, the source change that disables it and the soak that must detect it."""

    guard: str
    file: str
    original: str
    replacement: str
    guarantee: str
    seed: int
    only: tuple[str, ...]


MUTATIONS = (
    Mutation(
        "a call whose link broke is refused only after its outcome was queried",
        "mesh/dispatch.py",
        "        if resolved is None:\n",
        "        if True:\n            return Result(0, NOT_RUN, EMPTY_LOAD)\n"
        "        if resolved is None:\n",
        "true-refusal",
        1,
        ("kill", "target-slow"),
    ),
    Mutation(
        "the gate closes before a leave is acknowledged",
        "mesh/announcements.py",
        'self.gate.set_close_reason("target-left", True)\n        self.set_state(',
        "self.set_state(",
        "leave",
        1,
        ("target-drain",),
    ),
    Mutation(
        "the gates of an evacuated data centre are closed",
        "mesh/sidecar.py",
        "evacuated = self.settings.data_centre in self.records.evacuated",
        "evacuated = False",
        "evacuation",
        1,
        ("evacuate",),
    ),
    Mutation(
        "the rate of starts at a cold target is limited",
        "policy/coldstart.py",
        "return self.restart_suspected or now < self.cold_until",
        "return False",
        "cold",
        1,
        ("target-crash",),
    ),
    Mutation(
        "a target gets no more requests than the limit that it names",
        "mesh/gate.py",
        "if self.notices.rate_limit.rate is not None:",
        "if False:",
        "limit",
        1,
        ("target-limited",),
    ),
    Mutation(
        "a target that says in its answers that it is leaving gets nothing more",
        "mesh/notices.py",
        "            self.on_leaving(sent_at)",
        "            pass",
        "stated-leave",
        1,
        ("target-says-leaving",),
    ),
    Mutation(
        "an answer without an id is not taken for the awaited one",
        "mesh/upstream.py",
        "if echoed != self._expected:",
        "if echoed and echoed != self._expected:",
        "true-refusal",
        1,
        ("answers-stale",),
    ),
    Mutation(
        "an answer is matched to its request by the echoed attempt ID",
        "mesh/upstream.py",
        "if echoed != self._expected:",
        "if False:",
        "own-answer",
        1,
        ("answers-crossed",),
    ),
    Mutation(
        "a node that shuts down serves the requests that it has read",
        "mesh/shutdown.py",
        "    while read_monotonic() < end:\n        now",
        "    while False:\n        now",
        "lost",
        1,
        ("term",),
    ),
    Mutation(
        "an offer of another protocol leaves the body to its request",
        "requestparser.py",
        "return self._parser.should_upgrade()",
        "return False",
        "asked-for",
        1,
        ("hup",),
    ),
    Mutation(
        "a status that denies a run is withheld after the run",
        "mesh/exchange.py",
        "denies_run = answer.status in NOT_RUN_STATUSES",
        "denies_run = False",
        "true-refusal",
        1,
        ("hup",),
    ),
    Mutation(
        "an answer is passed on whole",
        "mesh/exchange.py",
        "            answer.body,\n            reached_target",
        "            answer.body[:60_000],\n            reached_target",
        "own-answer",
        1,
        ("hup",),
    ),
    Mutation(
        "a request is not ended before its deadline while its target is at work",
        "mesh/callers.py",
        "now + min(client_timeout, route.timeout),",
        "now + 0.3 * min(client_timeout, route.timeout),",
        "lost",
        1,
        ("hup",),
    ),
    Mutation(
        "the bytes of an answer are limited",
        "mesh/answermeter.py",
        "        raise TooManyBytes(violation)",
        "        return",
        "memory",
        1,
        ("answer-endless",),
    ),
    Mutation(
        "a reload signal does not end a process",
        "sidecar.py",
        "loop.add_signal_handler(signal.SIGHUP, changed.set)",
        "loop.add_signal_handler(signal.SIGHUP, exit, 1)",
        "own-end",
        1,
        ("hup",),
    ),
    Mutation(
        "the counts of a window stay as they were fixed",
        "usage/duty.py",
        "fixed = {w: c for w, c in row",
        "fixed = {w: self.totals.sum_window(w) for w, c in row",
        "one-count",
        1,
        ("holder-api-cut",),
    ),
    Mutation(
        "each holder has a token of its own",
        "policy/leases.py",
        "return token + 1",
        "return token",
        "token",
        1,
        ("holder-kill",),
    ),
    Mutation(
        "a lease is not taken over before its end",
        "policy/leases.py",
        "return now >= end",
        "return True",
        "turns",
        1,
        ("api-busy",),
    ),
    Mutation(
        "a node that has lost the duty sends no more reports",
        "usage/duty.py",
        "        self.lease = self.row = None",
        "        self._retry_at = float('inf')\n        if self.lease is not None:\n"
        "            self.lease = attrs.evolve(self.lease, valid_until=self._retry_at)",
        "lease",
        1,
        # Fewer cuts among other faults: a holder has to fix a window before its cut.
        ("holder-store-cut", "api-busy", *HARMLESS),
    ),
    Mutation(
        "a node takes the duty over from another one",
        "policy/usagelease.py",
        "if now < self.next_try or",
        "if self.seen_at is not None or",
        "reported",
        1,
        ("holder-kill",),
    ),
    Mutation(
        "rows of a later era are newer",
        "store/versions.py",
        "return (era << NUMBER_BITS) + number",
        "return number",
        "reported",
        1,
        ("store-returns", "add-route"),
    ),
    Mutation(
        "a node's totals replace its earlier ones",
        "policy/usagewindows.py",
        "entry[window] = (sequence, counts)",
        "old = entry.get(window, (0, {}))[1]\n                "
        "entry[window] = (sequence, {t: n + old.get(t, 0) for t, n in counts.items()})",
        "usage-off",
        1,
        ("hup",),
    ),
    Mutation(
        "a key is looked up in the configuration in force",
        "tenants/directory.py",
        "        return self._by_digest.get(digest_key(key))",
        "        known = globals().setdefault('KNOWN', {})\n"
        "        known[key] = known.get(key) or self._by_digest.get(digest_key(key))\n"
        "        return known[key]",
        "removed-key",
        1,
        ("keys",),
    ),
    Mutation(
        "the line of a refused request does not hold its key",
        "mesh/callers.py",
        "            cause=refusal.value,\n",
        "            cause=request.find(header_names.CREDENTIAL) or b'',\n",
        "secret",
        1,
        ("keys",),
    ),
)


def run_mutation(mutation: Mutation) -> str:
    """Return the output of a soak on a copy with one guard disabled."""
    with tempfile.TemporaryDirectory() as scratch:
        for name in COPIED:
            shutil.copytree(ROOT / name, Path(scratch) / name)
        path = Path(scratch) / "cactusshed" / mutation.file
        text = path.read_text(encoding="utf-8")
        if mutation.original not in text:
            raise click.ClickException(
                f"{mutation.file}: source text to replace not found"
            )
        path.write_text(
            text.replace(mutation.original, mutation.replacement, 1), "utf-8"
        )
        command = [sys.executable, "-m", "soak", "--seed", str(mutation.seed)]
        command += ["--nodes", "4", "--seconds", str(SECONDS)]
        for kind in mutation.only:
            command += ["--only", kind]
        environment = {**os.environ, "PYTHONPATH": scratch}
        completed = subprocess.run(
            command, cwd=scratch, env=environment, capture_output=True, text=True
        )
    return completed.stdout


@click.command()
def main() -> None:
    """Disable each guard and report whether the soak detects it."""
    missed = 0
    for mutation in MUTATIONS:
        output = run_mutation(mutation)
        count = output.count(f"  {mutation.guarantee}:")
        missed += not count
        click.echo(
            f"{'found' if count else 'MISSED'} {mutation.guarantee} {count} "
            f"seed {mutation.seed}: {mutation.guard}"
        )
    sys.exit(bool(missed))


if __name__ == "__main__":
    main()
