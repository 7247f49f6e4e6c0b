"""Retry budget of `serve` that limits retries to a ratio of the calls."""

import attrs

__all__ = ["ServiceRetryBudget"]

MAX_TOKENS = 10.0
START_TOKENS = 2.0


@attrs.define
class ServiceRetryBudget:
    """Retry tokens of one service; a call adds `ratio` tokens, a retry takes one."""

    tokens: float = START_TOKENS

    def note_call(self, ratio: float) -> None:
        """Add `ratio` tokens for a call."""
        self.tokens = min(MAX_TOKENS, self.tokens + ratio)

    def take_retry(self) -> bool:
        """Return whether a retry may be sent, and take a token if so."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
