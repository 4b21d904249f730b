"""HTTP/1.1 server that passes complete requests to a handler coroutine."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from baobabdoor import observability
from baobabdoor.transport import _closures
from baobabdoor.transport import _connections
from baobabdoor.transport import _drain
from baobabdoor.transport import _exchange
from baobabdoor.transport import _gate
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _types

# Requests up to this size do not wait for larger ones to be handled.
SMALL_BODY_BYTES = 8192
# Bounds of a server that is given none.
DEFAULT_BOUNDS = _memory_budget.divide(512, 4096).callers
LOG = observability.get_logger("transport")


class Server:
    """HTTP server on one address.

    Args:
        address: `ip:port` to listen on.
        handler: Coroutine function that returns the reply to a request.
        name: Name of the server in metrics and logs.
        bounds: Bounds of memory and connections.
        limits: Limits of requests.
        check_header: Returns the reply to a request whose body is not needed,
            from its header; `None` if the handler is to be called, or
            `AUTHENTICATED` if the header also shows a valid credential.
        metrics: Counts closed connections.
        receive_buffer_bytes: Receive buffer of a connection in the kernel;
            0 for that of the system.
        pool: Memory that the servers of the process share. Default: none.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[_types.Request], Awaitable[_types.Reply]],
        *,
        name: str = "",
        bounds: _memory_budget.Bounds = DEFAULT_BOUNDS,
        limits: _types.RequestLimits | None = None,
        check_header: (
            Callable[[_types.Request], _types.Reply | _types.HeaderCheck | None]
            | None
        ) = None,
        metrics: observability.Metrics | None = None,
        receive_buffer_bytes: int = 0,
        pool: _memory_budget.MemoryPool | None = None,
    ):
        self.address = address
        self.handler = handler
        self.name = name
        self.header_check = check_header
        self.in_progress = 0
        self.budget = _memory_budget.MemoryBudget(bounds, pool)
        self.closures = _closures.Closures(name, self.budget, metrics)
        self.small_gate = _gate.Gate(bounds.handled_bytes)
        self.large_gate = _gate.Gate(bounds.handled_bytes)
        self.listener = _connections.Listener(
            self._make_exchange,
            self.budget,
            limits or _types.RequestLimits(),
            receive_buffer_bytes,
            self.closures.observe,
            self._refuse_waiting,
        )
        self.drain = _drain.Drain(name, self.listener)

    @property
    def limits(self) -> _types.RequestLimits:
        """Limits of requests in force."""
        return self.listener.limits

    def set_limits(self, limits: _types.RequestLimits) -> None:
        """Applies limits, also to open connections."""
        self.listener.set_limits(limits)

    def start(self) -> None:
        """Binds the address and accepts connections."""
        host, _, port = self.address.rpartition(":")
        self.listener.start(host, int(port))

    def stop(self) -> None:
        """Stops accepting connections; requests on open ones still complete."""
        self.start_draining()
        self.stop_accepting()

    def start_draining(self) -> None:
        """Lets each further reply close its connection.

        Connections are still accepted, and their first request is handled.
        """
        self.drain.start()

    def stop_accepting(self) -> None:
        """Stops accepting connections and closes those that are idle.

        Connections that are established are accepted. One that has been idle
        for less than `_drain.FRESH_S` is closed only after this time.
        """
        self.drain.stop_accepting()

    def refuse_unfinished(self, reply: _types.Reply = _drain.STOPPING) -> None:
        """Refuses requests that have not been read in whole, and new ones.

        Those whose header is incomplete are closed without a reply. Requests
        that have been read in whole are still handled.

        Args:
            reply: Reply to them. Default: 503 with `Retry-After`.
        """
        self.drain.refuse_unfinished(reply)

    @property
    def pending_requests(self) -> int:
        """Number of connections that owe or may owe an answer.

        A request counts from its first byte until its reply is flushed. After
        `stop_accepting`, connections that may send one count, for up to
        `_drain.FRESH_S`; so do refused ones whose client still sends, for up to
        `_lingering.LINGER_S`, since the end of the process would reset them. At
        0 the process may end without cutting an answer.
        """
        return self.drain.pending_requests

    def open_requests(self) -> list[_drain.OpenRequest]:
        """Returns the requests that have begun and are not answered."""
        return self.drain.open_requests()

    def close_all(self) -> None:
        """Closes all connections, also those with requests in progress."""
        self.listener.close_all()

    def _make_exchange(self, stream, http) -> _exchange.Exchange:
        return _exchange.Exchange(self, stream, http)

    def check_header(
        self, request: _types.Request
    ) -> _types.Reply | _types.HeaderCheck | None:
        """Returns the reply to a request whose body is not needed."""
        if self.header_check is None:
            return None
        try:
            return self.header_check(request)
        except Exception as error:
            LOG.exception("request_failed", path=request.path, error=str(error))
            return _types.Reply(500)

    def _refuse_waiting(self) -> bool:
        """Refuses a complete request that waits for its turn."""
        return bool(
            self.large_gate.refuse_longest_waiting()
            or self.small_gate.refuse_longest_waiting()
        )

    def answer(
        self,
        stream: _connections.Stream,
        request: _types.Request,
        body: bytes,
    ) -> Coroutine[Any, Any, _types.Reply]:
        """Returns a coroutine that returns the reply to a complete request.

        The request counts from this call on. Its memory counts until the reply
        is known, also if its connection is closed before.
        """
        self.in_progress += 1
        held_bytes = self.listener.start_handling(stream)
        return self._answer(request, body, held_bytes)

    async def _answer(
        self, request: _types.Request, body: bytes, held_bytes: int
    ) -> _types.Reply:
        small = len(body) <= SMALL_BODY_BYTES
        gate = self.small_gate if small else self.large_gate
        try:
            if not await gate.enter(len(body)):
                self.closures.observe_refusal("no-turn", request)
                return _exchange.OVERLOADED
            try:
                return await self._handle(request, body)
            finally:
                gate.leave(len(body))
        finally:
            self.in_progress -= 1
            self.budget.end_handling(held_bytes)

    async def _handle(
        self, request: _types.Request, body: bytes
    ) -> _types.Reply:
        try:
            return await self.handler(
                _types.Request(
                    request.method,
                    request.path,
                    request.host,
                    request.headers,
                    body,
                )
            )
        except Exception as error:
            LOG.exception("request_failed", path=request.path, error=str(error))
            return _types.Reply(500)
