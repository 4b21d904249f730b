"""Planned stop of a daemon."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import transport

# The platform's load balancer removes a process after two failed health checks,
# one per second.
BALANCER_S = 2.6
# Interval in which a stopping process checks whether requests are left.
POLL_INTERVAL_S = 0.02
# Maximum open requests of a server that are named in the log.
MAX_LOGGED_REQUESTS = 20
LOG = observability.get_logger("daemon")


class Shutdown:
    """Time limits of a planned stop.

    Args:
        grace_s: Time between the stop signal and the kill in seconds.
            Default: 6.
        timers: Timer service. Default: that of the event loop.

    Attributes:
        budget: Division of that time.
        stopping: Whether the stop signal has been received.
        answers_due: Whether what is in progress has to be answered now.
    """

    def __init__(
        self, grace_s: float = 6.0, timers: base.TimerService | None = None
    ):
        self.budget = base.divide_shutdown(grace_s, BALANCER_S)
        self.timers = timers or observability.LoopTimerService()
        self.stopping = False
        self.answers_due = False
        # When the first stop signal arrived.
        self.signalled_s_: float | None = None
        self.timeouts_: set[asyncio.Timeout] = set()

    def observe_signal(self) -> None:
        """Observes a stop signal, from whose arrival the time counts."""
        if self.signalled_s_ is None:
            self.signalled_s_ = self.timers.now_s()

    def begin(self) -> None:
        """Begins the stop."""
        self.observe_signal()
        self.stopping = True
        left_s = self.left_s(self.budget.answer_s)
        self.timers.call_later(left_s, self._end_waits)

    def left_s(self, end_s: float) -> float:
        """Returns the time until a time of the budget; 0 if it is over."""
        elapsed_s = self.timers.now_s() - self.signalled_s_
        return max(0.0, end_s - elapsed_s)

    @contextlib.asynccontextmanager
    async def limit(self):
        """Limits a block to the time in which its request can be answered.

        Raises:
            TimeoutError: If the block is cancelled, because its request has to
                be answered now.
        """
        async with asyncio.timeout(0 if self.answers_due else None) as timeout:
            self.timeouts_.add(timeout)
            try:
                yield
            finally:
                self.timeouts_.discard(timeout)

    def _end_waits(self) -> None:
        self.answers_due = True
        for timeout in list(self.timeouts_):
            if not timeout.expired():
                # A time that has passed.
                timeout.reschedule(0.0)


async def stop_servers(
    servers: list[transport.Server],
    shutdown: Shutdown,
    release: Callable[[], Awaitable[None]],
) -> None:
    """Answers all requests and closes all connections.

    Args:
        servers: Servers of the process.
        shutdown: Time limits; their time counts from now at the latest.
        release: Hands over leadership.
    """
    shutdown.begin()
    budget = shutdown.budget
    for server in servers:
        server.start_draining()
    try:
        await release()
    except Exception as error:
        # Requests are answered all the same.
        LOG.exception("release_failed", error=str(error))
    await asyncio.sleep(shutdown.left_s(budget.serve_s))
    for server in servers:
        server.stop_accepting()
    await _wait_for_requests(servers, shutdown, budget.answer_s)
    for server in servers:
        server.refuse_unfinished()
    await _wait_for_requests(servers, shutdown, budget.flush_s)
    _log_open_requests(servers)


async def _wait_for_requests(
    servers: list[transport.Server], shutdown: Shutdown, end_s: float
) -> None:
    """Waits until no request is open, at most until a time of the budget."""
    while any(server.pending_requests for server in servers):
        left_s = shutdown.left_s(end_s)
        if not left_s:
            return
        await asyncio.sleep(min(POLL_INTERVAL_S, left_s))


def _log_open_requests(servers: list[transport.Server]) -> None:
    """Logs the requests that are open when the process ends."""
    for server in servers:
        open_requests = server.open_requests()
        if not open_requests:
            continue
        LOG.warning(
            "requests_open_at_exit",
            server=server.name,
            count=len(open_requests),
        )
        for request in open_requests[:MAX_LOGGED_REQUESTS]:
            LOG.warning(
                "request_open_at_exit",
                server=server.name,
                phase=request.phase,
                phase_ms=round(request.age_s * 1000),
                method=request.method,
                path=request.path,
                request=request.headers.get(platform.REQUEST_ID_HEADER, ""),
                deadline_ms=request.headers.get(platform.DEADLINE_HEADER, ""),
                peer=request.connection,
            )
