"""Settles the idempotency keys of non-idempotent requests before they run."""

import asyncio
import functools
from typing import Any

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests
from baobabdoor.entry import _peer_requests
from baobabdoor.entry import _request_path
from baobabdoor.entry import _work


class Keys:
    """Decides whether a keyed request runs, is replayed or is refused.

    Args:
        path: Way of a request to its result.
        tickets: Tickets of this incarnation.
        claims: Claims on callers' own keys.
        control: Sends requests to peers by `post_peer`.
        timers: Timer service.
    """

    def __init__(
        self,
        path: _request_path.RequestPath,
        tickets: idempotency.Tickets,
        claims: idempotency.Claims,
        control: Any,
        timers: base.TimerService,
    ):
        self.path = path
        self.tickets = tickets
        self.claims = claims
        self.control = control
        self.timers = timers
        self.tasks_: set[asyncio.Task] = set()

    def check_headers(
        self, work: _work.Work, now_s: float
    ) -> requests.Failure | None:
        """Returns why a key can never run, as far as headers tell."""
        info = work.info
        if info.idempotent or not info.key:
            return None
        work.ticket = idempotency.parse_ticket(info.key)
        if work.ticket is None:
            work.may_have_run = self.claims.started(info.caller, info.key)
            return None
        if self.elsewhere(work):
            work.may_have_run = True
            return None
        work.may_have_run = self.tickets.started(work.ticket)
        return self.tickets.check(work.ticket, now_s)

    def elsewhere(self, work: _work.Work) -> bool:
        """Returns whether another entry must run the request."""
        ticket = work.ticket
        return ticket is not None and ticket.entry_id != self.tickets.entry_id

    def needs_no_slot(self, work: _work.Work) -> bool:
        """Returns whether the request is run elsewhere or was started."""
        return work.ticket is not None and work.may_have_run

    def settle(self, work: _work.Work) -> None:
        """Settles the key of a request whose body is whole."""
        if work.info.idempotent or not work.info.key:
            self.path.make_ready(work)
        elif self.elsewhere(work):
            self._spawn(self._forward(work))
        elif work.ticket is not None:
            begun = self.tickets.begin(
                work.ticket, self._fingerprint(work), self.timers.now_s()
            )
            self._begun(work, begun, self.tickets)
        else:
            self._spawn(self._claim(work))

    def _fingerprint(self, work: _work.Work) -> str:
        info = work.info
        return idempotency.fingerprint(
            work.method, work.target, info.pool, info.caller, work.body
        )

    async def _claim(self, work: _work.Work) -> None:
        info = work.info
        # Until the table has answered, another entry may have run it.
        may_have_run, work.may_have_run = work.may_have_run, True
        begun = await self.claims.begin(
            info.caller, info.key, self._fingerprint(work)
        )
        # A refusal of the claim itself says what it knows.
        work.may_have_run = may_have_run
        self._begun(work, begun, self.claims)

    def _begun(self, work: _work.Work, begun: Any, keeper: Any) -> None:
        if isinstance(begun, requests.Response | requests.Failure):
            self.path.end(work, begun)
            return
        work.settle = functools.partial(keeper.finish, begun)
        work.may_have_run = False
        if work.stage is _work.Stage.ENDED:
            # Its deadline passed or its caller left before it was sent.
            refusal = base.Refusal(base.Reason.CANCELLED, "entry.keys")
            work.settle(_request_path.not_run(refusal))
            return
        self.path.make_ready(work)

    async def _forward(self, work: _work.Work) -> None:
        peer_id = work.ticket.entry_id
        result = await _peer_requests.forward(
            self.control, peer_id, work, self.timers.now_s()
        )
        self.path.end(work, result)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)
