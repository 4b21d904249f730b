"""One request on its way through the entry."""

from collections.abc import Callable
import enum

import attrs
from tornado import httputil

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests

Result = requests.Response | requests.Failure


class Stage(enum.Enum):
    """Where a request is."""

    QUEUED = "queued"
    PARKED = "parked"
    DISPATCHED = "dispatched"
    ENDED = "ended"


@attrs.define(eq=False, slots=True)
class Work:
    """A request, independent of the connection that it came on.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers as received.
        info: What the headers say.
        item: What admission knows of it.
        finish: Called once with the result.
        body: The whole body; valid once `ready`.
        ready: Whether the body is whole and the idempotency key is settled.
        stage: Where the request is.
        settle: Called with the result before `finish`, to keep the outcome
            of an idempotency key.
        ticket: The ticket that the idempotency key is, if it is one.
        may_have_run: Whether an earlier request with the same key may have
            run. A repeat is never told `not-run`, because its caller would
            take that for the first request and send it under another key.
        abandoned: Whether nobody waits for the result any more.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    info: requests.RequestInfo
    item: admission.WorkItem
    finish: Callable[[Result], None]
    body: bytes = b""
    ready: bool = False
    stage: Stage = Stage.PARKED
    settle: Callable[[Result], None] | None = None
    ticket: idempotency.Ticket | None = None
    may_have_run: bool = False
    abandoned: bool = False

    def truthful(self, result: Result) -> Result:
        """Returns the result with an outcome that holds for all repeats."""
        if (
            not self.may_have_run
            or result.outcome is not requests.Outcome.NOT_RUN
            or result.refusal.reason is base.Reason.FINGERPRINT_MISMATCH
        ):
            return result
        return requests.Failure(requests.Outcome.UNKNOWN, result.refusal)
