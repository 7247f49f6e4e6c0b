"""Status codes of answers that other programs send."""

__all__ = ["is_final"]

MIN_STATUS, MAX_STATUS = 100, 599
"""Range of the status codes of HTTP."""
MIN_FINAL_STATUS = 200
"""Lowest status of a final answer; lower ones are interim (1xx)."""


def is_final(status: int) -> bool:
    """Return whether a status is that of a final answer.

    Raises `ValueError` if it is none of HTTP; such an answer is malformed.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise ValueError(f"status {status:03} is not from {MIN_STATUS} to {MAX_STATUS}")
    return status >= MIN_FINAL_STATUS
