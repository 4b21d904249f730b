"""Outcomes of callers' requests."""

import json

import attrs

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import transport

# Statuses with which the server of a leader refuses a request that has not run
# and never runs.
REFUSED_STATUSES = frozenset([503])
TOO_LARGE_STATUSES = frozenset([413, 431])
LOG = observability.get_logger("gateway")


@attrs.frozen
class Outcome:
    """Result of a caller's request.

    Attributes:
        kind: `accepted`, `rejected`, `refused`, `unknown`, `invalid`,
            `no-queue`, `no-job`, `state`, `states`, `pending`, `unavailable`,
            `not-holder`, `unauthenticated`, `uncertain` (the key could not be
            checked) or `forbidden`.
        retry_after_s: Delay before a retry; 0 for no hint.
        value: State of the job, number of jobs, or the outcomes of several
            requests.
        detail: Explanation for logs.
    """

    kind: str
    retry_after_s: int = 0
    value: str | int | list = ""
    detail: str = ""


FORBIDDEN = Outcome("forbidden", detail="the job of another customer")
UNAVAILABLE = Outcome("unavailable", 1, detail="no holder reached")
LOADING = Outcome("unavailable", 1, detail="the holder loads its state")
# The process stops before the request had a result.
NOT_RUN_AT_STOP = Outcome("unavailable", 1, detail="the process stops")
UNKNOWN_AT_STOP = Outcome("unknown", detail="the process stops")


@attrs.define
class Progress:
    """How far a caller's request has come.

    Attributes:
        unanswered: Whether an attempt ended without a result.
        in_flight: Whether the current attempt may have been sent.
    """

    unanswered: bool = False
    in_flight: bool = False

    def permit(self) -> bool:
        """Observes that an attempt is about to be sent, and permits it."""
        self.in_flight = True
        return True

    @property
    def outcome_at_stop(self) -> Outcome:
        """What is known of the request when the process has to answer it."""
        if self.unanswered or self.in_flight:
            return UNKNOWN_AT_STOP
        return NOT_RUN_AT_STOP


def decode_outcome(response: transport.Response) -> Outcome:
    """Returns the outcome in a leader's response.

    A leader that fails while it handles a request may have carried it out, so
    any other response means that the result is unknown.
    """
    if response.status in REFUSED_STATUSES:
        return UNAVAILABLE
    if response.status in TOO_LARGE_STATUSES:
        return Outcome("invalid", detail="too large for the holder")
    if response.status != 200:
        return Outcome("unknown", detail=f"status {response.status}")
    try:
        return Outcome(**json.loads(response.body))
    except (RecursionError, TypeError, ValueError) as error:
        LOG.warning("peer_answer_unreadable", error=str(error))
        return Outcome("unknown", detail=str(error))


def outcome_of_refusal(refusal: base.Refusal) -> Outcome:
    if refusal.reason is base.Reason.NOT_HOLDER:
        return Outcome("not-holder")
    if refusal.reason in (
        base.Reason.PLATFORM_UNAVAILABLE,
        base.Reason.QUEUE_FULL,
    ):
        return Outcome("refused", 1, detail=str(refusal))
    return Outcome("unknown", detail=str(refusal))
