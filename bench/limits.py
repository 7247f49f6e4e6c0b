"""Simulated targets: what the learned limit serves, beside fixed slots and an oracle.

    python -m bench.limits [runs in each row]

The first `WARM_UP` of each run is not counted. Figures of a row are sums or means over
its runs, whose seeds are fixed; the seconds until a change is followed are medians.
"""

import sys
from collections.abc import Callable
from functools import partial
from multiprocessing import Pool

from cactusshed.policy.concurrency import ConcurrencyLimit

from .limitedtarget import (
    FIXED,
    LEARNED,
    ORACLE,
    SLOTS,
    Outcome,
    Target,
    simulate_target,
)
from .measure import print_table, take_percentile

__all__ = ["BOUNDS", "ROWS", "compare_policies"]

RUNS = 200
PROCESSES = 2
STEP = ((30.0, 4), (60.0, SLOTS))
OVERLOAD = (1.3,)
ROWS = (
    Target("slows down from a third, waves", knee=4),
    Target("from a half, waves", knee=6),
    Target("from all, waves"),
    Target("from a third, overloaded", knee=4, load=OVERLOAD),
    Target("from a half, overloaded", knee=6, load=OVERLOAD),
    Target("from all, overloaded", load=OVERLOAD),
    Target("from a half, speed 0.4, waves", knee=6, speed=0.4),
    Target("from a half, speed 0.4, overloaded", knee=6, speed=0.4, load=OVERLOAD),
    Target("from a half, speed 2, waves", knee=6, speed=2.0),
    Target("from a half, speed 2, overloaded", knee=6, speed=2.0, load=OVERLOAD),
    Target("from a half, noise, waves", knee=6, has_noise=True),
    Target("from all, noise, overloaded", has_noise=True, load=OVERLOAD),
    Target("step from all to a third and back", load=(0.6,), seconds=90.0, knees=STEP),
    Target("the same, overloaded", load=OVERLOAD, seconds=90.0, knees=STEP),
    Target("from a half, heavy-tailed, overloaded", knee=6, sigma=1.2, load=OVERLOAD),
    Target("from all, heavy-tailed, overloaded", sigma=1.2, load=OVERLOAD),
    Target("from a half, two routes, overloaded", 6, OVERLOAD, work=(0.12, 0.48)),
    Target("from all, two routes, waves", work=(0.12, 0.48)),
    Target(
        "half of the requests wait for others, slow from 30 to 45 s",
        load=(0.5, 0.9),
        calls=((0.1, 0.0, 30.0), (0.6, 30.0, 45.0), (0.1, 45.0, 60.0)),
    ),
    Target(
        "all wait unseen, slow from 30 to 45 s",
        load=(0.3, 0.5),
        dependency=((0.05, 0.0, 30.0), (0.5, 30.0, 45.0), (0.05, 45.0, 60.0)),
    ),
    Target("from a half, 2 requests/s", knee=6, load=(0.1,)),
    Target("from a half, 20 requests/s, overloaded", 6, OVERLOAD, work=(0.39,)),
    Target("from a half, 100 requests/s", 6, OVERLOAD, 30.0, work=(0.078,)),
    Target("from a half, 500 requests/s", 6, OVERLOAD, 8.0, work=(0.0156,)),
)
MIN_OF_ORACLE = 0.95
MIN_OF_FIXED = 0.98
MAX_FOLLOW_SECONDS = 2.0
BOUNDS = (MIN_OF_ORACLE, MIN_OF_FIXED, MAX_FOLLOW_SECONDS)
"""Least share of what the oracle serves, and of what fixed slots serve where they are
right; longest median time until a change is followed. Stated before the first run."""

TRYING_LIMIT = partial(ConcurrencyLimit, tries_full=True)
"""Limit that also tries targets that are always full, which most rows are about."""


def compare_policies(
    target: Target, runs: int, make_learner: Callable = TRYING_LIMIT
) -> tuple:
    """Return a row of the table."""
    outcomes: dict[str, list[Outcome]] = {}
    is_right = all(knee == SLOTS for knee in _list_limits(target))
    for policy in (LEARNED, FIXED, ORACLE):
        if policy == ORACLE and is_right:
            outcomes[policy] = outcomes[FIXED]
            continue
        outcomes[policy] = [
            simulate_target(target, policy, f"{target.name} {seed}", make_learner())
            for seed in range(runs)
        ]
    served = {name: sum(o.served for o in found) for name, found in outcomes.items()}
    learned = outcomes[LEARNED]
    of_oracle = served[LEARNED] / served[ORACLE]
    of_fixed = served[LEARNED] / served[FIXED]
    follow = [
        take_percentile([outcome.followed[number] for outcome in learned], 50)
        for number in range(len(target.knees))
    ]
    is_met = (
        of_oracle >= MIN_OF_ORACLE
        and (not is_right or of_fixed >= MIN_OF_FIXED)
        and all(seconds <= MAX_FOLLOW_SECONDS for seconds in follow)
    )
    return (
        target.name,
        round(served[ORACLE] / runs),
        of_oracle,
        of_fixed,
        sum(outcome.error for outcome in learned) / runs,
        " / ".join(f"{seconds:.1f}" for seconds in follow) or "-",
        "yes" if is_met else "no",
    )


def _list_limits(target: Target) -> list[int]:
    return [target.get_limit(start) for start in (0.0, *(s for s, _ in target.knees))]


def main() -> None:
    """Print the table."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    with Pool(PROCESSES) as pool:
        print_table(
            "Learned limits",
            (
                "target",
                "oracle serves in a run",
                "share of the oracle's",
                "of fixed slots'",
                "error of the limit",
                "s until changes are followed",
                "within bounds",
            ),
            pool.imap(partial(compare_policies, runs=runs), ROWS),
        )


if __name__ == "__main__":
    main()
