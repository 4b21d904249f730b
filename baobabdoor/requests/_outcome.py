"""Outcome of a request and its wire format."""

import enum
import json

import attrs

from baobabdoor import base

OUTCOME_HEADER = "Baobabdoor-Outcome"


class Outcome(enum.Enum):
    """Whether a request has run, as far as the caller may conclude."""

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
# After a shorter time, most queues have hardly changed.
_RETRY_AFTER_S = 1
_RETRY_AFTER_STATUS = frozenset((429, 503))


@attrs.frozen
class Response:
    """A complete response of a backend server.

    Attributes:
        status: HTTP status code.
        reason: Reason phrase.
        headers: Names and values, without hop-by-hop headers.
        body: The complete body.
        closing_503: Whether the server responded with 503 and closed the
            connection, which means that it is leaving. Default: False.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    closing_503: bool = False

    @property
    def outcome(self) -> Outcome:
        """Outcome reported to the caller."""
        return Outcome.DONE


@attrs.frozen
class Failure:
    """A request without a complete response.

    Attributes:
        outcome: `NOT_RUN` or `UNKNOWN`.
        refusal: Reason, step and peer of the failure.
    """

    outcome: Outcome
    refusal: base.Refusal

    def __bool__(self) -> bool:
        return False

    @property
    def status(self) -> int:
        """HTTP status code of the failure."""
        not_run = self.outcome is Outcome.NOT_RUN
        table = _NOT_RUN_STATUS if not_run else _UNKNOWN_STATUS
        default = _DEFAULT_STATUS[self.outcome]
        return table.get(self.refusal.reason, default)

    @property
    def retry_after_s(self) -> int:
        """Seconds after which to retry; 0 if a retry is not useful."""
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
