"""Process statistics and table output for the benchmarks."""

import os
from collections.abc import Iterable, Sequence
from pathlib import Path

__all__ = ["print_table", "read_cpu", "read_private_bytes", "take_percentile"]

TICKS = os.sysconf("SC_CLK_TCK")


def read_cpu(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_private_bytes(pid: int) -> int:
    """Return the bytes of memory that a process shares with no other."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    sizes = [line.split() for line in lines if line.startswith("Private_")]
    return sum(int(fields[1]) for fields in sizes) * 1024


def take_percentile(values: Iterable[float], percent: float) -> float:
    """Return the given percentile of `values`, without interpolation."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def print_table(title: str, head: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Print rows as a Markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(_render(value) for value in row) + " |")


def _render(value) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
