"""HTTP client with a pool of keep-alive connections for each backend server.

Built on the HTTP/1.1 implementation of tornado. See
`docs/decisions/http-client.md` for why neither of tornado's clients is used.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.entry import _answer_memory

STEP = "entry.send"
CONNECT_TIMEOUT_S = 2.0
# Shorter than the keep-alive time of usual servers, so that a request rarely
# meets a connection that the server is closing.
IDLE_TIMEOUT_S = 15.0
MAX_HEADER_BYTES = 65_536
READ_CHUNK_BYTES = 65_536
# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
# With `Connection: close`, a server says that it is leaving.
LEAVING_STATUS = 503
BODILESS_STATUS = frozenset((204, 304))


@attrs.frozen
class OutgoingRequest:
    """A request as it is sent to a backend server.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Names and values, checked by the parser that read them,
            without those of the caller's connection.
        body: The whole body.
        deadline_s: Monotonic time at which the exchange is abandoned.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_s: float

    def head(self) -> bytes:
        """Returns the request line and the headers."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append("\r\n")
        return "\r\n".join(lines).encode("latin-1")


class AnswerReader(httputil.HTTPMessageDelegate):
    """Collects the answers that arrive on one connection."""

    def __init__(self, connection: "BackendConnection"):
        self.connection = connection
        self.status = 0
        self.reason = ""
        self.headers: httputil.HTTPHeaders | None = None
        self.chunks: list[bytes] = []
        self.length = 0
        self.whole = False

    def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Starts an answer; refuses one that nobody asked for."""
        exchange = self.connection.exchange
        if exchange is None:
            raise httputil.HTTPInputError("answer without a request")
        exchange.observe(requests.Progress.RESPONSE_PARTIAL)
        self.status = start_line.code
        self.reason = start_line.reason
        self.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keeps a part of the body, up to the limit."""
        self.length += len(chunk)
        waiting = self.connection.memory.add(self.connection, len(chunk))
        if self.length > self.connection.max_body_bytes:
            raise httputil.HTTPInputError("answer too large")
        self.chunks.append(chunk)
        return waiting

    def finish(self) -> None:
        """Notes the end of the message."""
        self.whole = True

    def on_connection_close(self) -> None:
        """Leaves the answer incomplete."""

    def delimited(self, method: str) -> bool:
        """Returns whether the end was marked, not just the connection's."""
        return (
            method == "HEAD"
            or self.status in BODILESS_STATUS
            or "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
        )


class BackendStream(iostream.IOStream):
    """A stream that tells whether bytes wait to be read."""

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes were received that no read has consumed."""
        return self._read_buffer_size > 0


class BackendConnection:
    """One connection; carries one exchange at a time.

    A read is always pending, also between exchanges, so that a close or an
    answer that nobody asked for is noticed before the next request is sent.

    Args:
        stream: Connected stream.
        max_body_bytes: Largest body of an answer in bytes.
        memory: Memory of all answers.
    """

    PARAMETERS = http1connection.HTTP1ConnectionParameters(
        max_header_size=MAX_HEADER_BYTES, chunk_size=READ_CHUNK_BYTES
    )

    def __init__(
        self,
        stream: BackendStream,
        max_body_bytes: int,
        memory: _answer_memory.AnswerMemory,
    ):
        self.stream = stream
        self.max_body_bytes = max_body_bytes
        self.memory = memory
        self.exchange: requests.Exchange | None = None
        self.method = ""
        self.answer_: asyncio.Future | None = None
        self.idle_since_s = 0.0
        self.deadline_s = 0.0
        self.reusable = True
        self.leaving = False
        self.expired = False
        self.http: http1connection.HTTP1Connection | None = None
        self.reading: asyncio.Task | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection can carry no further exchange.

        Bytes beyond an answer that are no answer themselves do not end the
        pending read, so they are looked for here.
        """
        if not self.reusable or self.stream.closed():
            return True
        return self.exchange is None and self.stream.has_unread_bytes

    def start(self) -> None:
        """Starts reading."""
        self.reading = asyncio.ensure_future(self._read_answers())

    def send(
        self, request: OutgoingRequest, exchange: requests.Exchange
    ) -> asyncio.Future:
        """Writes a request; the future gives an `AnswerReader` or a refusal."""
        self.exchange = exchange
        self.method = request.method
        self.deadline_s = request.deadline_s
        self.answer_ = asyncio.get_running_loop().create_future()
        exchange.observe(requests.Progress.SENT)
        self._write(request)
        return self.answer_

    def _write(self, request: OutgoingRequest) -> None:
        if request.method == "HEAD":
            # The parser must know that the answer has no body.
            start_line = httputil.RequestStartLine(
                "HEAD", request.target, "HTTP/1.1"
            )
            headers = httputil.HTTPHeaders()
            for name, value in request.headers:
                headers.add(name, value)
            self.http.write_headers(start_line, headers, request.body)
        else:
            # A head encoded here costs a third of one checked again.
            self.http.write(request.head() + request.body)
        self.http.finish()

    def abandon(self, refusal: base.Refusal) -> None:
        """Closes the connection and ends its exchange."""
        self.close()
        self._resolve(refusal)

    def close(self) -> None:
        """Closes the connection."""
        self.reusable = False
        self.stream.close()
        self.memory.wake(self)

    async def _read_answers(self) -> None:
        more = True
        while more:
            self.http = http1connection.HTTP1Connection(
                self.stream, True, self.PARAMETERS
            )
            self.http.set_max_body_size(self.max_body_bytes)
            reader = AnswerReader(self)
            more = await self._read_one(reader)
            self._finish_exchange(reader)
        self.close()

    async def _read_one(self, reader: AnswerReader) -> bool:
        try:
            return await self.http.read_response(reader)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False

    def _finish_exchange(self, reader: AnswerReader) -> None:
        self.memory.release(self, reader.length)
        exchange = self.exchange
        if exchange is None:
            return
        if not reader.whole or not reader.delimited(self.method):
            detail = f"{reader.length} bytes of the body arrived"
            reason = base.Reason.INCOMPLETE_ANSWER
            self.close()
            self._resolve(base.Refusal(reason, "entry.receive", detail=detail))
            return
        if "close" in reader.headers.get("Connection", "").lower():
            self.close()
        exchange.observe(requests.Progress.RESPONSE_COMPLETE)
        self._resolve(reader)

    def _resolve(self, result: AnswerReader | base.Refusal) -> None:
        self.exchange = None
        answer = self.answer_
        if answer is not None and not answer.done():
            # The waiting coroutine continues in a later step of the loop, so
            # the next read is pending before the connection is reused.
            answer.set_result(result)


class BackendPool:
    """The connections to one backend server."""

    def __init__(self, address: str):
        self.address = address
        self.idle: list[BackendConnection] = []
        self.busy: set[BackendConnection] = set()
        self.connecting = 0
        # Set once the worker has another address.
        self.retired = False

    @property
    def open(self) -> int:
        """Connections open or being opened."""
        return len(self.idle) + len(self.busy) + self.connecting

    def take_idle(self) -> BackendConnection | None:
        """Returns the connection that was used last, if one is usable."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.closed:
                return connection
            connection.close()
        return None


class BackendClient:
    """Sends requests to backend servers and returns whole answers.

    Args:
        timers: Timer service.
        connection_limit: Returns how many connections a worker may have.
        max_body_bytes: Largest body of an answer in bytes.
    """

    def __init__(
        self,
        timers: base.TimerService,
        connection_limit: Callable[[str], int],
        max_body_bytes: int,
    ):
        self.timers = timers
        self.connection_limit = connection_limit
        self.max_body_bytes = max_body_bytes
        self.pools_: dict[str, BackendPool] = {}
        self.memory_ = _answer_memory.AnswerMemory()
        # All connections in use, so that `expire` need not visit the pools.
        self.busy_: set[BackendConnection] = set()

    async def send(
        self,
        vm_id: str,
        address: str,
        request: OutgoingRequest,
        exchange: requests.Exchange,
        permit: Callable[[], base.Refusal | None],
    ) -> requests.Response | base.Refusal:
        """Sends a request once and waits for the whole answer.

        Args:
            vm_id: Worker to send to.
            address: Its server, as `host:port`.
            request: What to send.
            exchange: Records what has been sent and received.
            permit: Checked in the same step that writes the request.
        """
        pool = self._pool(vm_id, address)
        connection = await self._connection(vm_id, pool, request.deadline_s)
        if isinstance(connection, base.Refusal):
            return connection
        refusal = permit()
        if refusal is not None:
            self._park(pool, connection)
            return refusal
        pool.busy.add(connection)
        self.busy_.add(connection)
        try:
            answer = await connection.send(request, exchange)
        finally:
            pool.busy.discard(connection)
            self.busy_.discard(connection)
            self._park(pool, connection)
        if isinstance(answer, base.Refusal):
            return attrs.evolve(answer, peer=vm_id)
        return self._reply(answer)

    def sending(self, vm_id: str) -> bool:
        """Returns whether a request to a worker is not fully written yet."""
        pool = self.pools_.get(vm_id)
        return pool is not None and any(
            connection.stream.writing() for connection in pool.busy
        )

    def expire(self, now_s: float) -> None:
        """Abandons the exchanges whose deadline has passed."""
        late = [c for c in self.busy_ if now_s >= c.deadline_s]
        for connection in late:
            refusal = base.Refusal(
                base.Reason.DEADLINE_EXPIRED, "entry.receive"
            )
            connection.abandon(refusal)

    def expire_idle(self, now_s: float) -> None:
        """Closes connections that have been idle for long."""
        for pool in self.pools_.values():
            if pool.idle:
                self._expire_idle(pool, now_s)

    def retain(self, vm_ids: set[str]) -> None:
        """Closes the idle connections of workers that are not in `vm_ids`."""
        for vm_id, pool in list(self.pools_.items()):
            if vm_id in vm_ids:
                continue
            self._close_idle(pool)
            if not pool.open:
                del self.pools_[vm_id]

    def close(self) -> None:
        """Closes all idle connections and abandons those in use."""
        for pool in self.pools_.values():
            self._close_idle(pool)
        for connection in list(self.busy_):
            reason = base.Reason.DRAINING
            connection.abandon(base.Refusal(reason, "entry.stop"))

    def _pool(self, vm_id: str, address: str) -> BackendPool:
        pool = self.pools_.get(vm_id)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.retired = True
                self._close_idle(pool)
            pool = self.pools_[vm_id] = BackendPool(address)
        return pool

    async def _connection(
        self, vm_id: str, pool: BackendPool, deadline_s: float
    ) -> BackendConnection | base.Refusal:
        connection = pool.take_idle()
        if connection is not None:
            return connection
        if pool.open >= self.connection_limit(vm_id):
            reason = base.Reason.NO_CAPACITY
            return base.Refusal(reason, STEP, vm_id, "connection limit")
        return await self._connect(vm_id, pool, deadline_s)

    async def _connect(
        self, vm_id: str, pool: BackendPool, deadline_s: float
    ) -> BackendConnection | base.Refusal:
        left_s = deadline_s - self.timers.now_s()
        timeout_s = max(0.0, min(CONNECT_TIMEOUT_S, left_s))
        pool.connecting += 1
        try:
            async with asyncio.timeout(timeout_s):
                stream = await connect(pool.address)
        except (OSError, iostream.StreamClosedError) as error:
            reason = base.Reason.CONNECTION_FAILED
            detail = str(error) or type(error).__name__
            return base.Refusal(reason, "entry.connect", vm_id, detail)
        finally:
            pool.connecting -= 1
        connection = BackendConnection(
            stream, self.max_body_bytes, self.memory_
        )
        connection.start()
        # The read must be pending before the first request is written.
        await asyncio.sleep(0)
        return connection

    def _park(self, pool: BackendPool, connection: BackendConnection) -> None:
        in_use = connection.exchange is not None
        if connection.closed or in_use or pool.retired:
            connection.close()
            return
        connection.idle_since_s = self.timers.now_s()
        pool.idle.append(connection)

    def _expire_idle(self, pool: BackendPool, now_s: float) -> None:
        oldest_s = now_s - IDLE_TIMEOUT_S
        kept = []
        for connection in pool.idle:
            if connection.closed or connection.idle_since_s < oldest_s:
                connection.close()
            else:
                kept.append(connection)
        pool.idle = kept

    def _close_idle(self, pool: BackendPool) -> None:
        for connection in pool.idle:
            connection.close()
        pool.idle = []

    def _reply(self, answer: AnswerReader) -> requests.Response:
        headers = answer.headers
        dropped = connection_headers(headers)
        kept = [pair for pair in headers.get_all() if pair[0] not in dropped]
        body = b"".join(answer.chunks)
        closing = "close" in headers.get("Connection", "").lower()
        return requests.Response(
            status=answer.status,
            reason=answer.reason,
            headers=kept,
            body=body,
            closing_503=closing and answer.status == LEAVING_STATUS,
        )


async def connect(address: str) -> BackendStream:
    """Opens a stream to `host:port`, where the host is an IP number.

    Raises:
        OSError: The server cannot be reached.
        StreamClosedError: The server refused the connection.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # No resolver is involved, so no thread is started.
    stream = BackendStream(
        socket.socket(family), read_chunk_size=READ_CHUNK_BYTES
    )
    try:
        await stream.connect((host.strip("[]"), int(port)))
    except BaseException:
        stream.close()
        raise
    return stream


def connection_headers(headers: httputil.HTTPHeaders) -> frozenset[str] | set:
    """Returns the names of the headers that must not be forwarded."""
    named = headers.get("Connection")
    if named is None or named.lower() in ("close", "keep-alive"):
        return HOP_BY_HOP
    names = {name.strip().title() for name in named.split(",")}
    return HOP_BY_HOP | names
