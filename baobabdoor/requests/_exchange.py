"""Tracks the progress of a request and derives its outcome."""

import enum

from baobabdoor import base
from baobabdoor.requests import _outcome


class Progress(enum.IntEnum):
    """Progress of the current attempt."""

    NOTHING_SENT = 0
    SENT = 1
    RESPONSE_PARTIAL = 2
    RESPONSE_COMPLETE = 3


class Exchange:
    """Tracks one request over all its attempts.

    Attributes:
        progress: Progress of the current attempt.
        ever_sent: Whether the entry may have sent a byte in any attempt.
        attempts: Number of started attempts.
    """

    def __init__(self):
        self.progress = Progress.NOTHING_SENT
        self.ever_sent = False
        self.attempts = 0

    def begin(self) -> None:
        """Starts an attempt."""
        self.progress = Progress.NOTHING_SENT
        self.attempts += 1

    def observe(self, progress: Progress) -> None:
        """Records progress of the attempt.

        Raises:
            ValueError: The transition from the present progress is invalid.
        """
        nothing_sent = self.progress is Progress.NOTHING_SENT
        if progress < self.progress or (
            nothing_sent and progress > Progress.SENT
        ):
            raise ValueError(
                "invalid transition of an exchange:"
                f" {self.progress.name} to {progress.name}"
            )
        self.progress = progress
        self.ever_sent = True

    @property
    def outcome(self) -> _outcome.Outcome:
        """Outcome of the request if it ends now."""
        if self.progress is Progress.RESPONSE_COMPLETE:
            return _outcome.Outcome.DONE
        if self.ever_sent:
            return _outcome.Outcome.UNKNOWN
        return _outcome.Outcome.NOT_RUN

    def may_retry(self, idempotent: bool) -> bool:
        """Returns whether another attempt is safe.

        It is safe if the request has no complete response and either is
        idempotent or cannot have run.
        """
        if self.progress is Progress.RESPONSE_COMPLETE:
            return False
        return idempotent or not self.ever_sent

    def fail(self, refusal: base.Refusal) -> _outcome.Failure:
        """Returns a failure with the present outcome."""
        if self.progress is Progress.RESPONSE_COMPLETE:
            raise ValueError("cannot fail an exchange with a complete response")
        return _outcome.Failure(self.outcome, refusal)
