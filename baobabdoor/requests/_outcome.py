"""What became of a request, and its form on the wire."""

import enum
import json

import attrs

from baobabdoor import base

OUTCOME_HEADER = "Baobabdoor-Outcome"


class Outcome(enum.Enum):
    """What the caller may conclude."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


_NOT_RUN_STATUS = {
    base.Reason.BAD_REQUEST: 400,
    base.Reason.FORGED: 400,
    base.Reason.UNKNOWN_POOL: 400,
    base.Reason.NOT_FOUND: 404,
    base.Reason.TOO_LARGE: 413,
    base.Reason.FINGERPRINT_MISMATCH: 422,
    base.Reason.QUEUE_FULL: 429,
    base.Reason.SHARE_EXCEEDED: 429,
    base.Reason.QUOTA_EXCEEDED: 429,
    base.Reason.DEADLINE_EXPIRED: 504,
    base.Reason.TIMEOUT: 504,
}
_UNKNOWN_STATUS = {
    base.Reason.DEADLINE_EXPIRED: 504,
    base.Reason.TIMEOUT: 504,
}
_DEFAULT_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 502}
# A repeat sooner than this finds most queues as they were.
_RETRY_AFTER_S = 1
_RETRY_AFTER_STATUS = frozenset((429, 503))


@attrs.frozen
class Reply:
    """A complete answer of a backend server.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Names and values, without those of the connection.
        body: The whole body.
        closing_503: Whether the server answered 503 and closed the
            connection, which says that it is leaving. Default: False.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    closing_503: bool = False

    @property
    def outcome(self) -> Outcome:
        """The outcome told to the caller."""
        return Outcome.DONE


@attrs.frozen
class Failure:
    """A request without a complete answer.

    Attributes:
        outcome: `NOT_RUN` or `UNKNOWN`.
        refusal: Why, at which step and with whom.
    """

    outcome: Outcome
    refusal: base.Refusal

    def __bool__(self) -> bool:
        return False

    @property
    def status(self) -> int:
        """HTTP status of the failure."""
        not_run = self.outcome is Outcome.NOT_RUN
        table = _NOT_RUN_STATUS if not_run else _UNKNOWN_STATUS
        default = _DEFAULT_STATUS[self.outcome]
        return table.get(self.refusal.reason, default)

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a repeat is useful; 0 if it is not."""
        return _RETRY_AFTER_S if self.status in _RETRY_AFTER_STATUS else 0

    def body(self) -> bytes:
        """Returns the JSON body."""
        fields = {
            "outcome": self.outcome.value,
            "reason": self.refusal.reason.value,
            "step": self.refusal.step,
            "peer": self.refusal.peer,
            "detail": self.refusal.detail,
        }
        return json.dumps(fields).encode()
