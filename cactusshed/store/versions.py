"""Versions of the store's rows, ordered also after the store has come back.

The store numbers its transactions with one counter. When it comes back from an older
copy, its era rises by one, the counter goes back, and numbers are given out again. A
version therefore combines the era with the number. It is one whole number, so that
versions compare in the order in which the rows were read. Of a store that states no
era, it is the number alone.
"""

__all__ = ["MAX_ERA", "get_era", "get_number", "make_version"]

NUMBER_BITS = 40
"""Bits of a transaction's number: 29 years at 1,200 a second."""
MAX_ERA = 2**13 - 1
"""Highest era; with it a version stays in the range of `decoding.Count`."""


def make_version(era: int, number: int) -> int:
    """Return the version of transaction `number` in `era`, 0 without eras."""
    return (era << NUMBER_BITS) + number


def get_era(version: int) -> int:
    """Return the era in which a row at `version` was read."""
    return version >> NUMBER_BITS


def get_number(version: int) -> int:
    """Return the number of the transaction that wrote a row at `version`."""
    return version & ((1 << NUMBER_BITS) - 1)
