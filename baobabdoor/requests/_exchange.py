"""Which outcome is true at each step of a request."""

import enum

from baobabdoor import base
from baobabdoor.requests import _outcome


class Progress(enum.IntEnum):
    """How far the current attempt has come."""

    NOTHING_SENT = 0
    SENT = 1
    ANSWER_PARTIAL = 2
    ANSWER_WHOLE = 3


class Exchange:
    """Follows one request over all its attempts.

    Attributes:
        progress: Progress of the current attempt.
        ever_sent: Whether a byte of any attempt may have left the entry.
        attempts: Number of attempts begun.
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
        """Notes that the attempt has come further.

        Raises:
            ValueError: The attempt cannot go from its state to this one.
        """
        nothing_sent = self.progress is Progress.NOTHING_SENT
        if progress < self.progress or (
            nothing_sent and progress > Progress.SENT
        ):
            raise ValueError(f"{self.progress.name} to {progress.name}")
        self.progress = progress
        self.ever_sent = True

    @property
    def outcome(self) -> _outcome.Outcome:
        """The outcome that is true if the request ends now."""
        if self.progress is Progress.ANSWER_WHOLE:
            return _outcome.Outcome.DONE
        if self.ever_sent:
            return _outcome.Outcome.UNKNOWN
        return _outcome.Outcome.NOT_RUN

    def may_retry(self, idempotent: bool) -> bool:
        """Returns whether another attempt cannot run the request twice."""
        if self.progress is Progress.ANSWER_WHOLE:
            return False
        return idempotent or not self.ever_sent

    def fail(self, refusal: base.Refusal) -> _outcome.Failure:
        """Returns the failure with the outcome that is true now."""
        if self.progress is Progress.ANSWER_WHOLE:
            raise ValueError("the answer is whole")
        return _outcome.Failure(self.outcome, refusal)
