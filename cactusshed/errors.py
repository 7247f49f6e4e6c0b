"""Exceptions with codes that carry the step and the peer at which they arose."""

__all__ = [
    "AnswerLost",
    "CactusError",
    "ConditionFailed",
    "Conflict",
    "Forbidden",
    "InvalidSettings",
    "InvalidTree",
    "LeaseLost",
    "Malformed",
    "NotReady",
    "PeerUnavailable",
    "PlatformUnavailable",
    "UpdateRefused",
    "WithdrawalRefused",
]


class CactusError(Exception):
    """Base of all errors of the system.

    `step` names the operation, `peer` the address or name of the other side.
    """

    code = "internal"
    status = 500

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        """Keep the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.code}: {self.message}" + (f" [{where}]" if where else "")


class InvalidSettings(CactusError):
    """The settings file has faults; `message` lists them one a line."""

    code = "invalid-settings"
    status = 400


class InvalidTree(CactusError):
    """A tree, an edit or a tree file breaks a rule."""

    code = "invalid-tree"
    status = 400


class Malformed(CactusError):
    """Outside input could not be parsed."""

    code = "malformed"
    status = 400


class Forbidden(CactusError):
    """The other side did not prove who it is."""

    code = "forbidden"
    status = 403


class Conflict(CactusError):
    """Another change to the same branch was accepted first."""

    code = "conflict"
    status = 409


class NotReady(CactusError):
    """The node does not know a configuration yet."""

    code = "not-ready"
    status = 503


class PlatformUnavailable(CactusError):
    """The platform did not take the request: nothing was written."""

    code = "platform-unavailable"
    status = 503


class AnswerLost(CactusError):
    """The platform may or may not have carried out a write."""

    code = "platform-answer-lost"
    status = 503


class ConditionFailed(CactusError):
    """A conditional transaction found a row at another version."""

    code = "condition-failed"
    status = 409


class LeaseLost(CactusError):
    """The lease is held by another, or its epoch has moved on."""

    code = "lease-lost"
    status = 409


class PeerUnavailable(CactusError):
    """A peer node could not be reached."""

    code = "peer-unavailable"
    status = 503


class UpdateRefused(CactusError):
    """An update on the feed does not fit, is damaged, or goes back."""

    code = "update-refused"
    status = 400


class WithdrawalRefused(CactusError):
    """What would remain after a withdrawal or drain does not bear the load."""

    code = "withdrawal-refused"
    status = 409
