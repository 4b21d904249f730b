"""A request while the entry processes it."""

from collections.abc import Callable
import enum

import attrs
from tornado import httputil

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests

Result = requests.Response | requests.Failure


class RequestState(enum.Enum):
    """State of a request.

    An `UNQUEUED` request occupies neither a place in the queue nor a slot.
    """

    QUEUED = "queued"
    UNQUEUED = "unqueued"
    DISPATCHED = "dispatched"
    ENDED = "ended"


@attrs.define(eq=False, slots=True)
class PendingRequest:
    """A request, independent of the connection it was received on.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers as received.
        info: Attributes parsed from the headers.
        item: Item that represents the request in the admission queue.
        on_result: Called once with the result.
        body: Complete body; valid once `ready`.
        ready: Whether the body is complete and the idempotency key has been
            resolved, so that only a slot is missing.
        state: State of the request.
        record_result: Called with the result before `on_result`, to record the
            outcome of an idempotency key.
        ticket: Ticket that was sent as the idempotency key, if it is one.
        may_have_run: Whether an earlier request with the same key may have
            run. A repeat is then never answered `not-run`: the caller would
            conclude that the first request did not run either and send it
            under another key.
        abandoned: Whether the caller no longer waits for the result.
    """

    method: str
    target: str
    headers: httputil.HTTPHeaders
    info: requests.RequestInfo
    item: admission.WorkItem
    on_result: Callable[[Result], None]
    body: bytes = b""
    ready: bool = False
    state: RequestState = RequestState.UNQUEUED
    record_result: Callable[[Result], None] | None = None
    ticket: idempotency.Ticket | None = None
    may_have_run: bool = False
    abandoned: bool = False

    def provable_result(self, result: Result) -> Result:
        """Returns the result, with `unknown` for an unproven `not-run`."""
        if (
            not self.may_have_run
            or result.outcome is not requests.Outcome.NOT_RUN
            or result.refusal.reason is base.Reason.FINGERPRINT_MISMATCH
        ):
            return result
        return requests.Failure(requests.Outcome.UNKNOWN, result.refusal)
