"""Falsy results that carry the reason of a refusal."""

import enum

import attrs


class Reason(enum.Enum):
    """Machine-readable reason of a refusal; peers and callers see the value."""

    BAD_REQUEST = "bad-request"
    BUDGET_EXHAUSTED = "budget-exhausted"
    CANCELLED = "cancelled"
    CLOCK_JUMPED = "clock-jumped"
    CONFLICT = "conflict"
    CONNECTION_FAILED = "connection-failed"
    DEADLINE_EXPIRED = "deadline-expired"
    DRAINING = "draining"
    FINGERPRINT_MISMATCH = "fingerprint-mismatch"
    FORGED = "forged"
    INCOMPLETE_ANSWER = "incomplete-answer"
    KEY_IN_USE = "key-in-use"
    LEASE_LAPSED = "lease-lapsed"
    NO_CAPACITY = "no-capacity"
    NOT_FOUND = "not-found"
    NOT_HOLDER = "not-holder"
    NOT_READY = "not-ready"
    OUTDATED_GENERATION = "outdated-generation"
    PARKED = "parked"
    PEER_GONE = "peer-gone"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    QUEUE_FULL = "queue-full"
    QUOTA_EXCEEDED = "quota-exceeded"
    SHARE_EXCEEDED = "share-exceeded"
    STALE_VIEW = "stale-view"
    TICKET_EXPIRED = "ticket-expired"
    TIMEOUT = "timeout"
    TOO_LARGE = "too-large"
    UNKNOWN_POOL = "unknown-pool"
    UNKNOWN_RESULT = "unknown-result"


@attrs.frozen
class Refusal:
    """Falsy result of a failed step with its reason, place and peer.

    Attributes:
        reason: Machine-readable reason.
        step: Dotted name of the step that failed.
        peer: Entry, backend server or platform concerned; empty if none.
        detail: Human-readable explanation.

    Example:
        >>> refusal = Refusal(Reason.QUEUE_FULL, "admission.queue")
        >>> bool(refusal)
        False
    """

    reason: Reason
    step: str
    peer: str = ""
    detail: str = ""

    def __bool__(self) -> bool:
        return False

    def to_json(self) -> dict[str, str]:
        """Returns the JSON object sent to callers, peers and operators."""
        return {
            "reason": self.reason.value,
            "step": self.step,
            "peer": self.peer,
            "detail": self.detail,
        }

    def __str__(self) -> str:
        peer = f" peer={self.peer}" if self.peer else ""
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.reason.value} step={self.step}{peer}{detail}"


class RefusalError(Exception):
    """Raised with a refusal where code cannot return it.

    Attributes:
        refusal: The refusal.
    """

    def __init__(self, refusal: Refusal):
        super().__init__(str(refusal))
        self.refusal = refusal
