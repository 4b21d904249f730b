"""Planned stop of an entry server: answers all requests, within its time."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import observability
from baobabdoor import transport
from baobabdoor.entry import _backend_client
from baobabdoor.entry import _caller_server
from baobabdoor.entry import _control_port
from baobabdoor.entry import _idempotency_keys
from baobabdoor.entry import _request_dispatcher

# Also the time in which a connection that was just accepted is read for the
# first time.
POLL_INTERVAL_S = 0.05
# Minimum time to flush replies once answers are due, for an event loop that was
# late. Half of the shortest reserve before the kill, that of `drain_s` 1.
MIN_FLUSH_S = 0.1
# Maximum open requests of a port that are named in the log, so that a crowd
# takes little of the time before the kill.
MAX_LOGGED_REQUESTS = 20
STEP = "entry.stop"


@attrs.define(kw_only=True)
class Parts:
    """Parts of an entry server that a stop concerns.

    Attributes:
        timers: Timer service.
        callers: The callers' port.
        control_server: The control port.
        control_handler: Handles the requests of the control port.
        dispatcher: Requests that are queued or in progress.
        keys: Requests whose key is being resolved.
        client: Sends requests to backend servers.
        claims: Claims on keys, whose outcomes are stored.
        control: The `control.ControlService`, which leaves the deployment.
    """

    timers: base.TimerService
    callers: _caller_server.CallerServer
    control_server: transport.Server
    control_handler: _control_port.InterruptibleHandler
    dispatcher: _request_dispatcher.RequestDispatcher
    keys: _idempotency_keys.IdempotencyKeys
    client: _backend_client.BackendClient
    claims: idempotency.Claims
    control: Any


class Shutdown:
    """Stops the parts of an entry server in order.

    Requests in progress complete until `answer_s` of the budget; those left
    then get an answer that says what is known of them.

    Args:
        parts: Parts of the entry server.
        budget: Times of the stop.
        signalled_s: When the stop signal arrived, from which they count.
    """

    def __init__(
        self, parts: Parts, budget: base.ShutdownBudget, signalled_s: float
    ):
        self.parts = parts
        self.budget = budget
        self.signalled_s = signalled_s
        # When the requests that were left were answered.
        self.answered_s: float | None = None
        self.gave_up = False
        self.log = observability.get_logger("entry")

    async def run(self) -> bool:
        """Stops the entry; returns whether all requests completed."""
        parts = self.parts
        self._announce()
        give_up = parts.timers.call_later(
            self._left_s(self.budget.answer_s), self._give_up
        )
        # The load balancer sends requests until it detects the unready state.
        await asyncio.sleep(self._left_s(self.budget.serve_s))
        parts.callers.draining = True
        parts.callers.listener.stop()
        await self._wait_for(self._callers_answered)
        parts.client.close()
        # Requests that have arrived meanwhile are refused.
        await self._wait_for(self._callers_flushed)
        self._log_open_requests("callers", parts.callers.open_requests())
        parts.callers.listener.close_all()
        await self._leave()
        self._close_control_port()
        await self._wait_for(self._control_flushed)
        self._log_open_requests("control", parts.control_server.open_requests())
        parts.control_server.close_all()
        give_up.cancel()
        return not self.gave_up

    def _log_open_requests(
        self, server: str, open_requests: list[transport.OpenRequest]
    ) -> None:
        """Logs the requests that are open when their connections are closed."""
        if not open_requests:
            return
        self.log.warning(
            "requests_open_at_exit", server=server, count=len(open_requests)
        )
        for request in open_requests[:MAX_LOGGED_REQUESTS]:
            self.log.warning(
                "request_open_at_exit",
                server=server,
                phase=request.phase,
                phase_ms=round(request.age_s * 1000),
                method=request.method,
                path=request.path,
                peer=request.connection,
            )

    def _close_control_port(self) -> None:
        """Refuses connections to the control port, then closes idle ones.

        A client whose connection is closed can tell that the entry has stopped,
        because a new one is refused.
        """
        server = self.parts.control_server
        server.listener.stop()
        server.stop_accepting()

    def _announce(self) -> None:
        """Makes all further replies close their connection."""
        parts = self.parts
        parts.callers.announce_stop()
        parts.control_server.start_draining()

    @property
    def remaining_s(self) -> float:
        """Time in which replies may still be written, in seconds."""
        left_s = self._left_s(self.budget.flush_s)
        if self.answered_s is None:
            return max(MIN_FLUSH_S, left_s)
        since_s = self.parts.timers.now_s() - self.answered_s
        return max(MIN_FLUSH_S - since_s, left_s)

    def _left_s(self, end_s: float) -> float:
        """Returns the time until a time of the budget; 0 if it is over."""
        elapsed_s = self.parts.timers.now_s() - self.signalled_s
        return max(0.0, end_s - elapsed_s)

    async def _wait_for(self, done: Callable[[], bool]) -> None:
        """Waits for a condition until no reply may be written any more."""
        while self.remaining_s:
            await asyncio.sleep(min(POLL_INTERVAL_S, self.remaining_s))
            if done():
                return

    def _callers_answered(self) -> bool:
        parts = self.parts
        return not (
            parts.dispatcher.active
            or parts.keys.unresolved
            or parts.callers.open_requests_
        )

    def _callers_flushed(self) -> bool:
        self.parts.callers.close_idle()
        return self._callers_answered() and self.parts.callers.is_flushed

    def _control_flushed(self) -> bool:
        server = self.parts.control_server
        return not (server.in_progress or server.pending_requests)

    def _give_up(self) -> None:
        """Answers the requests that did not complete in time."""
        parts = self.parts
        self.answered_s = parts.timers.now_s()
        refusal = base.Refusal(base.Reason.DRAINING, STEP)
        parts.control_handler.interrupt(refusal)
        # New requests would be refused, and could not be once the time to
        # flush replies is over.
        self._close_control_port()
        parts.control_server.refuse_unfinished()
        self.gave_up = not self._callers_answered()
        parts.client.close()
        parts.dispatcher.refuse_queued(refusal)
        parts.keys.refuse_unresolved(refusal)
        parts.callers.give_up(refusal)

    async def _leave(self) -> None:
        """Stores outcomes and deletes the row of the entry if there is time."""
        try:
            async with asyncio.timeout(self.remaining_s):
                await self.parts.claims.stop()
                await self.parts.control.stop()
        except TimeoutError:
            self.log.warning("leave_interrupted", after_s=self.budget.flush_s)
