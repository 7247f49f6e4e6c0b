"""Retry budget: retries are at most a ratio of calls."""

import attrs

__all__ = ["RetryBudget"]

MAX_TOKENS = 10.0
START_TOKENS = 2.0


@attrs.define
class RetryBudget:
    """Tokens of one service; each call adds `ratio`, each retry takes 1."""

    tokens: float = START_TOKENS

    def note_call(self, ratio: float) -> None:
        """Add the share of a retry that one call earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def take_retry(self) -> bool:
        """Return whether a retry may be sent, and take its token if so."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
