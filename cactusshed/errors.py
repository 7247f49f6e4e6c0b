"""Exceptions with error codes, the step that failed and the peer involved."""

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
    """Base of all errors of this package.

    `step` names the operation that failed, `peer` the address or name of the
    remote side. `code` and `status` are the error code and the HTTP status.
    """

    code = "internal"
    status = 500

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        """Set the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.code}: {self.message}" + (f" [{where}]" if where else "")


class InvalidSettings(CactusError):
    """The settings file is invalid; `message` lists one error per line."""

    code = "invalid-settings"
    status = 400


class InvalidTree(CactusError):
    """A tree, an edit or a tree file is invalid."""

    code = "invalid-tree"
    status = 400


class Malformed(CactusError):
    """External input could not be parsed."""

    code = "malformed"
    status = 400


class Forbidden(CactusError):
    """The remote side failed to authenticate."""

    code = "forbidden"
    status = 403


class Conflict(CactusError):
    """Another change to the same branch was accepted first."""

    code = "conflict"
    status = 409


class NotReady(CactusError):
    """The node has no configuration yet."""

    code = "not-ready"
    status = 503


class PlatformUnavailable(CactusError):
    """The platform did not accept the request; nothing was written."""

    code = "platform-unavailable"
    status = 503


class AnswerLost(CactusError):
    """The response to a write was lost; it may or may not have been applied."""

    code = "platform-answer-lost"
    status = 503


class ConditionFailed(CactusError):
    """A conditional transaction found a row at another version."""

    code = "condition-failed"
    status = 409


class LeaseLost(CactusError):
    """Another holder has the lease, or its epoch has changed."""

    code = "lease-lost"
    status = 409


class PeerUnavailable(CactusError):
    """A peer node could not be reached."""

    code = "peer-unavailable"
    status = 503


class UpdateRefused(CactusError):
    """An update from the feed is out of order, damaged, or older than the tree."""

    code = "update-refused"
    status = 400


class WithdrawalRefused(CactusError):
    """The capacity left after a withdrawal or drain is too small for the load."""

    code = "withdrawal-refused"
    status = 409
