"""HTTP client with a pool of keep-alive connections for each backend server.

Built on the HTTP/1.1 implementation of tornado. See
`docs/decisions/http-client.md` for why neither of tornado's clients is used.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import io
import socket

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.entry import _messages
from baobabdoor.entry import _response_memory

STEP = "entry.send"
CONNECT_TIMEOUT_S = 2.0
# Shorter than the keep-alive timeout of common servers, so that a request is
# rarely sent on a connection that the server is closing.
IDLE_TIMEOUT_S = 15.0
MAX_HEADER_BYTES = 65_536
READ_CHUNK_BYTES = 65_536
# A server announces its shutdown by this status with `Connection: close`.
LEAVING_STATUS = 503
BODILESS_STATUS = frozenset((204, 304))
STOPPED = base.Refusal(base.Reason.DRAINING, "entry.stop")


@attrs.frozen
class OutgoingRequest:
    """A request to a backend server.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values, validated by the parser that read them,
            without the hop-by-hop headers of the caller's connection.
        body: Complete body.
        deadline_s: Monotonic time at which the exchange is aborted.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_s: float

    def encode_head(self) -> bytes:
        """Returns the encoded request line and headers."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1")


class ResponseReader(httputil.HTTPMessageDelegate):
    """Receives one response on a connection."""

    def __init__(self, connection: "BackendConnection"):
        self.connection = connection
        self.status = 0
        self.reason = ""
        self.headers: httputil.HTTPHeaders | None = None
        self.body = io.BytesIO()
        self.length = 0
        self.complete = False

    def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Starts a response; rejects one without a request."""
        exchange = self.connection.exchange
        if exchange is None:
            raise httputil.HTTPInputError("response without a request")
        exchange.observe(requests.Progress.RESPONSE_PARTIAL)
        self.status = start_line.code
        self.reason = start_line.reason
        self.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Stores a chunk of the body, up to the limit."""
        self.length += len(chunk)
        waiter = self.connection.memory.add(self.connection, len(chunk))
        if self.length > self.connection.max_body_bytes:
            raise httputil.HTTPInputError("response too large")
        self.body.write(chunk)
        return waiter

    def finish(self) -> None:
        """Marks the response as complete."""
        self.complete = True

    def on_connection_close(self) -> None:
        """Leaves the response incomplete."""

    def has_defined_length(self, method: str) -> bool:
        """Returns whether more than a close marks the end of the body."""
        return (
            method == "HEAD"
            or self.status in BODILESS_STATUS
            or "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
        )


class BackendStream(iostream.IOStream):
    """A stream that exposes whether its read buffer is empty."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the read buffer holds bytes."""
        return self._read_buffer_size > 0


class BackendConnection:
    """A keep-alive connection that carries one exchange at a time.

    A read is always pending, even between exchanges, so that a close or an
    unsolicited response is detected before the next request is sent.

    Args:
        stream: Connected stream.
        max_body_bytes: Maximum size of a response body in bytes.
        memory: Limits the memory of all responses.
    """

    PARAMETERS = http1connection.HTTP1ConnectionParameters(
        max_header_size=MAX_HEADER_BYTES, chunk_size=READ_CHUNK_BYTES
    )

    def __init__(
        self,
        stream: BackendStream,
        max_body_bytes: int,
        memory: _response_memory.ResponseMemoryLimiter,
    ):
        self.stream = stream
        self.max_body_bytes = max_body_bytes
        self.memory = memory
        self.exchange: requests.Exchange | None = None
        self.method = ""
        self.response_: asyncio.Future | None = None
        self.idle_since_s = 0.0
        self.deadline_s = 0.0
        self.reusable = True
        self.leaving = False
        self.expired = False
        self.http: http1connection.HTTP1Connection | None = None
        self.read_task: asyncio.Task | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection can carry no further exchange.

        Excess bytes that do not form a response leave the read pending, so the
        read buffer is checked as well.
        """
        if not self.reusable or self.stream.closed():
            return True
        return self.exchange is None and self.stream.has_unread_bytes

    def start(self) -> None:
        """Starts the task that reads responses."""
        self.read_task = asyncio.ensure_future(self._read_responses())

    def send(
        self, request: OutgoingRequest, exchange: requests.Exchange
    ) -> asyncio.Future:
        """Writes a request; returns a future of a reader or a refusal."""
        self.exchange = exchange
        self.method = request.method
        self.deadline_s = request.deadline_s
        self.response_ = asyncio.get_running_loop().create_future()
        exchange.observe(requests.Progress.SENT)
        self._write(request)
        return self.response_

    def _write(self, request: OutgoingRequest) -> None:
        if request.method == "HEAD":
            # The parser must know that the response has no body.
            start_line = httputil.RequestStartLine(
                "HEAD", request.target, "HTTP/1.1"
            )
            headers = httputil.HTTPHeaders()
            for name, value in request.headers:
                headers.add(name, value)
            self.http.write_headers(start_line, headers, request.body)
        else:
            # Encoding the head here costs a third of `write_headers`, which
            # validates the headers again.
            _messages.write(self.http, request.encode_head(), request.body)
        self.http.finish()

    def abort(self, refusal: base.Refusal) -> None:
        """Closes the connection and fails its exchange."""
        self.close()
        self._resolve(refusal)

    def close(self) -> None:
        """Closes the connection."""
        self.reusable = False
        self.stream.close()
        self.memory.wake(self)

    async def _read_responses(self) -> None:
        keep_open = True
        while keep_open:
            self.http = http1connection.HTTP1Connection(
                self.stream, True, self.PARAMETERS
            )
            self.http.set_max_body_size(self.max_body_bytes)
            reader = ResponseReader(self)
            keep_open = await self._read_response(reader)
            self._finish_exchange(reader)
        self.close()

    async def _read_response(self, reader: ResponseReader) -> bool:
        try:
            return await self.http.read_response(reader)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False

    def _finish_exchange(self, reader: ResponseReader) -> None:
        self.memory.release(self, reader.length)
        exchange = self.exchange
        if exchange is None:
            return
        if not reader.complete or not reader.has_defined_length(self.method):
            detail = f"{reader.length} bytes of the body arrived"
            reason = base.Reason.INCOMPLETE_ANSWER
            self.close()
            self._resolve(base.Refusal(reason, "entry.receive", detail=detail))
            return
        if "close" in reader.headers.get("Connection", "").lower():
            self.close()
        exchange.observe(requests.Progress.RESPONSE_COMPLETE)
        self._resolve(reader)

    def _resolve(self, result: ResponseReader | base.Refusal) -> None:
        self.exchange = None
        future = self.response_
        if future is not None and not future.done():
            # The waiting coroutine resumes in a later iteration of the event
            # loop, so the next read is pending before the connection is reused.
            future.set_result(result)


class ConnectionPool:
    """Connections to one backend server."""

    def __init__(self, address: str):
        self.address = address
        self.idle: list[BackendConnection] = []
        self.in_use: set[BackendConnection] = set()
        self.connecting = 0
        # Set when the address of the worker changes.
        self.retired = False

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self.idle) + len(self.in_use) + self.connecting

    def pop_idle(self) -> BackendConnection | None:
        """Returns the most recently used connection that is usable, if any."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
            connection.close()
        return None


class BackendClient:
    """Sends requests to backend servers and returns complete responses.

    Args:
        timers: Timer service.
        connection_limit: Returns the maximum number of connections to a worker.
        max_body_bytes: Maximum size of a response body in bytes.
        memory: Limits the memory of all responses.
    """

    def __init__(
        self,
        timers: base.TimerService,
        connection_limit: Callable[[str], int],
        max_body_bytes: int,
        memory: _response_memory.ResponseMemoryLimiter,
    ):
        self.timers = timers
        self.connection_limit = connection_limit
        self.max_body_bytes = max_body_bytes
        self.pools_: dict[str, ConnectionPool] = {}
        self.memory_ = memory
        # Those of all pools, over which `expire` does not iterate.
        self.in_use_: set[BackendConnection] = set()
        self.connect_timeouts_: set[asyncio.Timeout] = set()
        self.closing = False

    async def send(
        self,
        vm_id: str,
        address: str,
        request: OutgoingRequest,
        exchange: requests.Exchange,
        permit: Callable[[], base.Refusal | None],
    ) -> requests.Response | base.Refusal:
        """Sends a request once and waits for the complete response.

        Args:
            vm_id: Worker to send to.
            address: Address of its server, as `host:port`.
            request: Request to send.
            exchange: Records what has been sent and received.
            permit: Called right before the request is written, without
                yielding to the event loop in between; returns a refusal if the
                worker must not get the request.
        """
        pool = self._connection_pool(vm_id, address)
        connection = await self._acquire(vm_id, pool, request.deadline_s)
        if isinstance(connection, base.Refusal):
            return connection
        refusal = STOPPED if self.closing else permit()
        if refusal is not None:
            self._release(pool, connection)
            return refusal
        pool.in_use.add(connection)
        self.in_use_.add(connection)
        try:
            response = await connection.send(request, exchange)
        finally:
            pool.in_use.discard(connection)
            self.in_use_.discard(connection)
            self._release(pool, connection)
        if isinstance(response, base.Refusal):
            return attrs.evolve(response, peer=vm_id)
        return self._make_reply(response)

    def is_sending(self, vm_id: str) -> bool:
        """Returns whether a request to a worker is still being written."""
        pool = self.pools_.get(vm_id)
        return pool is not None and any(
            connection.stream.writing() for connection in pool.in_use
        )

    def expire(self, now_s: float) -> None:
        """Aborts the exchanges whose deadline has passed."""
        expired = [c for c in self.in_use_ if now_s >= c.deadline_s]
        for connection in expired:
            refusal = base.Refusal(
                base.Reason.DEADLINE_EXPIRED, "entry.receive"
            )
            connection.abort(refusal)

    def expire_idle(self, now_s: float) -> None:
        """Closes connections that exceed the idle timeout."""
        for pool in self.pools_.values():
            if pool.idle:
                self._expire_idle(pool, now_s)

    def remove_unlisted(self, vm_ids: set[str]) -> None:
        """Closes the idle connections of workers that are not in `vm_ids`."""
        for vm_id, pool in list(self.pools_.items()):
            if vm_id in vm_ids:
                continue
            self._close_idle(pool)
            if not pool.connection_count:
                del self.pools_[vm_id]

    def close(self) -> None:
        """Closes all connections; nothing is sent any more."""
        self.closing = True
        for pool in self.pools_.values():
            self._close_idle(pool)
        for connection in list(self.in_use_):
            connection.abort(STOPPED)
        for timeout in self.connect_timeouts_:
            if not timeout.expired():
                timeout.reschedule(0)

    def _connection_pool(self, vm_id: str, address: str) -> ConnectionPool:
        pool = self.pools_.get(vm_id)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.retired = True
                self._close_idle(pool)
            pool = self.pools_[vm_id] = ConnectionPool(address)
        return pool

    async def _acquire(
        self, vm_id: str, pool: ConnectionPool, deadline_s: float
    ) -> BackendConnection | base.Refusal:
        if self.closing:
            return STOPPED
        connection = pool.pop_idle()
        if connection is not None:
            return connection
        if pool.connection_count >= self.connection_limit(vm_id):
            reason = base.Reason.NO_CAPACITY
            return base.Refusal(reason, STEP, vm_id, "connection limit")
        return await self._connect(vm_id, pool, deadline_s)

    async def _connect(
        self, vm_id: str, pool: ConnectionPool, deadline_s: float
    ) -> BackendConnection | base.Refusal:
        remaining_s = max(0.0, deadline_s - self.timers.now_s())
        pool.connecting += 1
        timeout = asyncio.timeout(min(CONNECT_TIMEOUT_S, remaining_s))
        self.connect_timeouts_.add(timeout)
        try:
            async with timeout:
                stream = await connect(pool.address)
        except (OSError, iostream.StreamClosedError) as error:
            if self.closing:
                return STOPPED
            reason = base.Reason.CONNECTION_FAILED
            detail = str(error) or type(error).__name__
            return base.Refusal(reason, "entry.connect", vm_id, detail)
        finally:
            pool.connecting -= 1
            self.connect_timeouts_.discard(timeout)
        connection = BackendConnection(
            stream, self.max_body_bytes, self.memory_
        )
        connection.start()
        # Yields so that the read is pending before the first request is
        # written.
        await asyncio.sleep(0)
        return connection

    def _release(
        self, pool: ConnectionPool, connection: BackendConnection
    ) -> None:
        in_use = connection.exchange is not None
        if connection.closed or in_use or pool.retired:
            connection.close()
            return
        connection.idle_since_s = self.timers.now_s()
        pool.idle.append(connection)

    def _expire_idle(self, pool: ConnectionPool, now_s: float) -> None:
        oldest_s = now_s - IDLE_TIMEOUT_S
        kept = []
        for connection in pool.idle:
            if connection.closed or connection.idle_since_s < oldest_s:
                connection.close()
            else:
                kept.append(connection)
        pool.idle = kept

    def _close_idle(self, pool: ConnectionPool) -> None:
        for connection in pool.idle:
            connection.close()
        pool.idle = []

    def _make_reply(self, response: ResponseReader) -> requests.Response:
        headers = response.headers
        hop_by_hop = _messages.hop_by_hop_headers(headers)
        kept = [pair for pair in headers.get_all() if pair[0] not in hop_by_hop]
        # Without a copy, unlike joined chunks.
        body = response.body.getvalue()
        closing = "close" in headers.get("Connection", "").lower()
        return requests.Response(
            status=response.status,
            reason=response.reason,
            headers=kept,
            body=body,
            closing_503=closing and response.status == LEAVING_STATUS,
        )


async def connect(address: str) -> BackendStream:
    """Opens a stream to `host:port`, where the host is an IP address.

    Raises:
        OSError: The server cannot be reached.
        StreamClosedError: The connection was refused or closed.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Connects without a resolver, which would start a thread.
    stream = BackendStream(
        socket.socket(family), read_chunk_size=READ_CHUNK_BYTES
    )
    try:
        await stream.connect((host.strip("[]"), int(port)))
    except BaseException:
        stream.close()
        raise
    return stream
