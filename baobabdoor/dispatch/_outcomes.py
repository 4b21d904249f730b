"""Outcomes of callers' requests."""

import json
import secrets

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
        settled: Earlier attempts of the request that had no effect and never
            will have one.
    """

    kind: str
    retry_after_s: int = 0
    value: str | int | list = ""
    detail: str = ""
    settled: list[str] = attrs.field(factory=list)


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
        unanswered: Attempts that ended without a result and may have an effect.
        in_flight: Whether the current attempt may have been sent.
    """

    unanswered: list[str] = attrs.field(factory=list)
    in_flight: bool = False

    def begin(self) -> dict:
        """Begins an attempt and returns its part of the message."""
        message = {"attempt": secrets.token_hex(8)}
        if self.unanswered:
            message["earlier"] = list(self.unanswered)
        return message

    def end(self, attempt: str, outcome: Outcome) -> None:
        """Ends an attempt with what is known of it and of earlier ones."""
        self.in_flight = False
        self.unanswered = [
            earlier
            for earlier in self.unanswered
            if earlier not in outcome.settled
        ]
        if outcome.kind == "unknown":
            self.unanswered.append(attempt)

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


def encode_outcome(outcome: Outcome) -> bytes:
    """Returns the body of a leader's response.

    Daemons that do not ask for earlier attempts may not know `settled`.
    """
    content = attrs.asdict(outcome)
    if not outcome.settled:
        del content["settled"]
    return json.dumps(content).encode()


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
