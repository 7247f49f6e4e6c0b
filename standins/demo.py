"""Demo: start a fleet, apply a tree, send a read and a submission."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from .fleet import TOKEN, Fleet, open_fleet

__all__ = ["main"]

TREE = Path(__file__).parent.parent / "examples" / "teranga.ini"
CENTRES = ("dakar", "thies")
EXIT_FAILED = 1


def run_tool(fleet: Fleet, *arguments: str) -> str:
    """Run `cactusshedctl` against the first node and return its output."""
    environment = {
        **os.environ,
        "CACTUSSHED_TOKEN": TOKEN,
        "CACTUSSHED_NODE": fleet.nodes["node-dakar"].operators_url,
    }
    completed = subprocess.run(
        [sys.executable, "-m", "cactusshed.control", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout


def _start(fleet: Fleet) -> None:
    for centre in CENTRES:
        fleet.start_node(f"node-{centre}", centre)
    fleet.start_target("texts-1", "node-thies", "texts")
    fleet.start_target("responses-1", "node-thies", "responses")
    fleet.start_target("signatories-1", "node-dakar", "signatories")
    fleet.wait_ready()
    for service in ("texts", "responses", "signatories"):
        fleet.wait_targets("node-dakar", service, 1)


def _print_step(step: str, text: str) -> None:
    print(f"== {step}")
    print(text.rstrip())


def _send_calls(fleet: Fleet) -> None:
    read = fleet.call("node-dakar", "/texts/decree-7", cactusshed_tenant="citizens")
    submission = fleet.call(
        "node-dakar",
        "/responses",
        "POST",
        b'{"text": "we agree"}',
        idempotency_key="demo-1",
        cactusshed_tenant="associations",
    )
    for step, answer in (("read", read), ("submission", submission)):
        _print_step(step, f"{answer.status} {answer.body.decode()}")
        if answer.status != 200:
            raise RuntimeError(f"{step} got {answer.status}")
    resubmission = fleet.call(
        "node-dakar",
        "/responses",
        "POST",
        b'{"text": "we agree"}',
        idempotency_key="demo-1",
        cactusshed_tenant="associations",
    )
    runs = fleet.fetch_runs("responses-1")
    replayed = resubmission.headers.get("cactusshed-replayed", "no")
    _print_step(
        "submission sent again", f"replayed: {replayed}; runs at target: {len(runs)}"
    )
    if len(runs) != 1:
        raise RuntimeError(f"the submission ran {len(runs)} times")


def _run(fleet: Fleet) -> None:
    _start(fleet)
    _print_step("apply", run_tool(fleet, "apply", str(TREE), "--wait", "10"))
    _send_calls(fleet)
    for name in fleet.nodes:
        _print_step(
            f"version at {name}", str(fleet.get_json(name, "/v1/status")["number"])
        )
    _print_step("status", run_tool(fleet, "status"))
    statuses = fleet.stop()
    _print_step("stop", ", ".join(f"{name}: {code}" for name, code in statuses.items()))
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
            return EXIT_FAILED
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
