"""Resolves the idempotency keys of non-idempotent requests before they run."""

import asyncio
import functools
from typing import Any

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests
from baobabdoor.entry import _peer_requests
from baobabdoor.entry import _pending_request
from baobabdoor.entry import _request_dispatcher


class IdempotencyKeys:
    """Decides whether a request with a key runs, is replayed or is refused.

    Args:
        dispatcher: Runs requests whose key has been resolved.
        tickets: Tickets issued by this incarnation of the entry.
        claims: Claims on keys chosen by callers.
        control: Control service, which sends requests to peers by `post_peer`.
        timers: Timer service.
    """

    def __init__(
        self,
        dispatcher: _request_dispatcher.RequestDispatcher,
        tickets: idempotency.Tickets,
        claims: idempotency.Claims,
        control: Any,
        timers: base.TimerService,
    ):
        self.dispatcher = dispatcher
        self.tickets = tickets
        self.claims = claims
        self.control = control
        self.timers = timers
        # Requests whose key is being resolved, by the task that does it.
        self.tasks_: dict[asyncio.Task, _pending_request.PendingRequest] = {}

    def check_headers(
        self, request: _pending_request.PendingRequest, now_s: float
    ) -> requests.Failure | None:
        """Returns a failure if, by its headers, a request must not run."""
        info = request.info
        if info.idempotent or not info.key:
            return None
        request.ticket = idempotency.parse_ticket(info.key)
        if request.ticket is None:
            request.may_have_run = self.claims.started(info.caller, info.key)
            return None
        if self.belongs_to_peer(request):
            request.may_have_run = True
            return None
        request.may_have_run = self.tickets.started(request.ticket)
        return self.tickets.check(request.ticket, now_s)

    def belongs_to_peer(self, request: _pending_request.PendingRequest) -> bool:
        """Returns whether a peer must run the request."""
        ticket = request.ticket
        return ticket is not None and ticket.entry_id != self.tickets.entry_id

    def bypasses_queue(self, request: _pending_request.PendingRequest) -> bool:
        """Returns whether a peer runs the request or it has been started."""
        return request.ticket is not None and request.may_have_run

    def resolve(self, request: _pending_request.PendingRequest) -> None:
        """Resolves the key of a request whose body is complete."""
        if request.info.idempotent or not request.info.key:
            self.dispatcher.mark_ready(request)
        elif self.belongs_to_peer(request):
            self._start_task(request, self._forward_to_peer(request))
        elif request.ticket is not None:
            begin_result = self.tickets.begin(
                request.ticket, self._fingerprint(request), self.timers.now_s()
            )
            self._on_begun(request, begin_result, self.tickets)
        else:
            self._start_task(request, self._claim(request))

    @property
    def unresolved(self) -> list[_pending_request.PendingRequest]:
        """Requests without a result whose key is being resolved."""
        return [
            request
            for request in self.tasks_.values()
            if request.state is not _pending_request.RequestState.ENDED
        ]

    def expire(self, now_s: float) -> None:
        """Ends requests whose claim has no result by their deadline.

        A request that a peer runs ends with its reply or the timeout for it,
        which lies behind the deadline by the time for the way back.
        """
        refusal = base.Refusal(base.Reason.DEADLINE_EXPIRED, "entry.keys")
        for request in self.unresolved:
            if request.info.deadline_s <= now_s and not self.belongs_to_peer(
                request
            ):
                self.dispatcher.complete(
                    request, _request_dispatcher.not_run(refusal)
                )

    def refuse_unresolved(self, refusal: base.Refusal) -> None:
        """Completes the requests whose key is being resolved.

        Their outcome is `unknown`: a peer may run them, or another entry may
        have run an earlier request with the key.
        """
        for request in self.unresolved:
            self.dispatcher.complete(
                request, _request_dispatcher.not_run(refusal)
            )

    def _fingerprint(self, request: _pending_request.PendingRequest) -> str:
        info = request.info
        return idempotency.fingerprint(
            request.method, request.target, info.pool, info.caller, request.body
        )

    async def _claim(self, request: _pending_request.PendingRequest) -> None:
        info = request.info
        # Until the store responds, another entry may have run the request.
        may_have_run, request.may_have_run = request.may_have_run, True
        begin_result = await self.claims.begin(
            info.caller, info.key, self._fingerprint(request)
        )
        # A failure returned by `begin` already has the right outcome.
        request.may_have_run = may_have_run
        self._on_begun(request, begin_result, self.claims)

    def _on_begun(
        self,
        request: _pending_request.PendingRequest,
        begin_result: Any,
        key_store: Any,
    ) -> None:
        if isinstance(begin_result, requests.Response | requests.Failure):
            self.dispatcher.complete(request, begin_result)
            return
        request.record_result = functools.partial(
            key_store.finish, begin_result
        )
        request.may_have_run = False
        if request.state is _pending_request.RequestState.ENDED:
            # Its deadline passed or its caller disconnected meanwhile.
            refusal = base.Refusal(base.Reason.CANCELLED, "entry.keys")
            request.record_result(_request_dispatcher.not_run(refusal))
            return
        self.dispatcher.mark_ready(request)

    async def _forward_to_peer(
        self, request: _pending_request.PendingRequest
    ) -> None:
        peer_id = request.ticket.entry_id
        result = await _peer_requests.forward(
            self.control, peer_id, request, self.timers.now_s()
        )
        self.dispatcher.complete(request, result)

    def _start_task(
        self, request: _pending_request.PendingRequest, coroutine: Any
    ) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks_[task] = request
        task.add_done_callback(self.tasks_.pop)
