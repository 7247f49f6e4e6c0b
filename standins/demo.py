"""The demo: one fleet, one tree, one read and one submission, step by step."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from .fleet import TOKEN, Fleet, open_fleet

__all__ = ["main"]

TREE = Path(__file__).parent.parent / "examples" / "teranga.ini"
CENTRES = ("dakar", "thies")
FAILED = 1


def run_tool(fleet: Fleet, *arguments: str) -> str:
    """Run `cactusshedctl` against the first node and return what it printed."""
    environment = {
        **os.environ,
        "CACTUSSHED_TOKEN": TOKEN,
        "CACTUSSHED_NODE": fleet.nodes["node-dakar"].operators_url,
    }
    done = subprocess.run(
        [sys.executable, "-m", "cactusshed.control", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


def _start(fleet: Fleet) -> None:
    for centre in CENTRES:
        fleet.start_node(f"node-{centre}", centre)
    fleet.start_target("texts-1", "node-thies", "texts")
    fleet.start_target("responses-1", "node-thies", "responses")
    fleet.start_target("signatories-1", "node-dakar", "signatories")
    fleet.wait_ready()
    for service in ("texts", "responses", "signatories"):
        fleet.wait_targets("node-dakar", service, 1)


def _show(step: str, text: str) -> None:
    print(f"== {step}")
    print(text.rstrip())


def _call(fleet: Fleet) -> None:
    read = fleet.call("node-dakar", "/texts/decree-7", cactusshed_tenant="citizens")
    sent = fleet.call(
        "node-dakar",
        "/responses",
        "POST",
        b'{"text": "we agree"}',
        idempotency_key="demo-1",
        cactusshed_tenant="associations",
    )
    for step, answer in (("read", read), ("submission", sent)):
        _show(step, f"{answer.status} {answer.body.decode()}")
        if answer.status != 200:
            raise RuntimeError(f"{step} got {answer.status}")
    again = fleet.call(
        "node-dakar",
        "/responses",
        "POST",
        b'{"text": "we agree"}',
        idempotency_key="demo-1",
        cactusshed_tenant="associations",
    )
    runs = fleet.read_runs("responses-1")
    replayed = again.headers.get("cactusshed-replayed", "no")
    _show("submission sent again", f"replayed: {replayed}; runs at target: {len(runs)}")
    if len(runs) != 1:
        raise RuntimeError(f"the submission ran {len(runs)} times")


def _run(fleet: Fleet) -> None:
    _start(fleet)
    _show("apply", run_tool(fleet, "apply", str(TREE), "--wait", "10"))
    _call(fleet)
    for name in fleet.nodes:
        _show(f"version at {name}", str(fleet.ask(name, "/v1/status")["number"]))
    _show("status", run_tool(fleet, "status"))
    statuses = fleet.stop()
    _show("stop", ", ".join(f"{name}: {code}" for name, code in statuses.items()))
    if any(statuses.values()):
        raise RuntimeError("a process did not stop cleanly")


def main() -> int:
    """Run the demo and return its exit status."""
    with tempfile.TemporaryDirectory() as folder, open_fleet(Path(folder)) as fleet:
        try:
            _run(fleet)
        except Exception as error:
            print(f"demo: failed: {error!r}")
            if isinstance(error, subprocess.CalledProcessError):
                print(error.stdout, error.stderr)
            for process in fleet.processes.values():
                print(f"-- {process.name}\n{process.read_log()[-2000:]}")
            return FAILED
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
