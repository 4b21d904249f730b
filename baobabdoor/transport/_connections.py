"""Accepted connections whose number and buffers are bounded."""

import asyncio
from collections.abc import Callable
import contextlib
import socket

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil

from baobabdoor.transport import _chunk_pacer
from baobabdoor.transport import _lingering
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _types

BACKLOG = 512
# Decoding a header of 3,000 lines takes 6 ms, in which nothing else is done.
MAX_HEADER_LINES = 256
# Memory of a header line beside its bytes: two texts and their table entries.
HEADER_LINE_BYTES = 400
# Bytes that are read at a time. A connection buffers at most a header, or twice
# as many.
CHUNK_BYTES = 16_384
# Receive buffer of a callers' connection in the kernel, which doubles it.
RECEIVE_BUFFER_BYTES = 16_384
# A growing buffer reserves an eighth more than it holds.
BUFFER_FACTOR = 1.125
# Interval in which overdue connections are looked for.
SWEEP_INTERVAL_S = 0.25
# Maximum number of connections that linger unless the server drains; others are
# closed at once, which resets those whose client still sends. A crowd could
# otherwise hold twice as many connections as are allowed.
MAX_LINGERING = 16
# Tornado requires a maximum size of bodies; `_exchange` enforces the limit.
UNLIMITED = 2**62

# Phases of connections that a new one may replace, at any time and while the
# server drains. A drain owes a reply to the request of any other connection,
# whereas the client of the new one learns that nothing was read.
ALL_PHASES = frozenset(_memory_budget.Phase)
REPLACEABLE_PHASES = frozenset([_memory_budget.Phase.IDLE])


class Stream(iostream.IOStream):
    """Connection that reports received bytes and answers too large headers.

    Args:
        sock: Accepted socket.
        listener: Server side of the connection.
        address: Address of the client. Default: unknown.
    """

    def __init__(
        self,
        sock: socket.socket,
        listener: "Listener",
        address: tuple = ("", 0),
    ):
        super().__init__(
            sock,
            max_buffer_size=2 * _types.MAX_HEADER_BYTES + 2 * CHUNK_BYTES,
            read_chunk_size=listener.chunk_bytes,
        )
        self.listener = listener
        self.address = address
        self.lingers = False
        # Whether it is closed before its request has been read in whole.
        self.unfinished = False
        self.exchange_ = None
        self.chunks_ = 0
        # Memory of the decoded header of the request, and size of its body as
        # far as it has been read.
        self.header_cost_ = 0
        self.body_bytes_ = 0

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that were received and not yet read."""
        return self._read_buffer_size

    @property
    def peer(self) -> str:
        """Address of the client as `ip:port`."""
        return f"{self.address[0]}:{self.address[1]}"

    def was_reset(self) -> bool:
        """Returns whether the client has reset the connection.

        The event loop notices it only once all received bytes have been read. A
        client that has closed only its own side still reads.
        """
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return False

    def discard(self) -> None:
        """Discards bytes that were received and not yet read.

        The stream is closed, but may be referred to for a while.
        """
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def start_request(self, exchange) -> None:
        """Observes that the next bytes are those of another request."""
        self.exchange_ = exchange
        self.chunks_ = 0
        self.header_cost_ = 0
        self.body_bytes_ = 0

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Reads a header; one over the limits is not decoded."""
        header = await super().read_until_regex(regex, max_bytes)
        lines = header.count(b"\n")
        # The limit may have changed since the start of the read.
        too_large = len(header) > self.listener.limits.header_bytes
        if too_large or lines > MAX_HEADER_LINES:
            error = iostream.UnsatisfiableReadError("header over the limits")
            self.close(exc_info=error)
            raise error
        self.header_cost_ = 2 * len(header) + HEADER_LINE_BYTES * lines
        return header

    def read_until(self, delimiter: bytes, max_bytes: int | None = None):
        """Reads the size of a chunk, at a bounded rate if there are many."""
        self.chunks_ += 1
        if self.chunks_ % _chunk_pacer.BATCH:
            return super().read_until(delimiter, max_bytes)
        return self._read_in_turn(delimiter, max_bytes)

    async def _read_in_turn(self, delimiter, max_bytes) -> bytes:
        await self.listener.pacer.turn(self.closed)
        return await super().read_until(delimiter, max_bytes)

    def read_from_fd(self, buf) -> int | None:
        """Reads from the socket and reports the number of bytes."""
        count = super().read_from_fd(buf)
        if count:
            self.listener.observe_received(self, count)
        return count

    def close(self, exc_info=False) -> None:
        """Closes the connection; a header over the limit gets 431."""
        too_large = isinstance(exc_info, iostream.UnsatisfiableReadError)
        if too_large and not self.closed():
            self.listener.count_closed("header-size")
            self.lingers = True
            self.unfinished = True
            reply = _types.encode_reply(_types.Reply(431), closing=True)
            with contextlib.suppress(OSError):
                self.socket.send(reply)
        super().close(exc_info)

    def close_fd(self) -> None:
        """Closes the socket, at once or after its client has read a reply."""
        if self.lingers and self.listener.linger(self):
            self.socket = None
            return
        super().close_fd()


class Listener(httputil.HTTPServerConnectionDelegate):
    """Accepts connections, evicts them at the bounds and closes overdue ones.

    Args:
        make_exchange: Returns the delegate of a request.
        budget: Accounts for connections.
        limits: Limits of requests.
        receive_buffer_bytes: Receive buffer of a connection in the kernel;
            0 for that of the system.
        count_closed: Counts a connection that the server closes, by reason.
        refuse_waiting: Refuses one of the complete requests that wait for
            their turn; returns whether there was one.
        chunk_bytes: Bytes that are read at a time. Default: 16 KiB.
    """

    def __init__(
        self,
        make_exchange: Callable,
        budget: _memory_budget.MemoryBudget,
        limits: _types.RequestLimits,
        receive_buffer_bytes: int,
        count_closed: Callable[[str], None],
        refuse_waiting: Callable[[], bool],
        chunk_bytes: int = CHUNK_BYTES,
    ):
        self.make_exchange = make_exchange
        self.budget = budget
        self.limits = limits
        self.receive_buffer_bytes = receive_buffer_bytes
        self.count_closed = count_closed
        self.refuse_waiting = refuse_waiting
        self.chunk_bytes = chunk_bytes
        self.pacer = _chunk_pacer.ChunkPacer()
        self.parameters = http1connection.HTTP1ConnectionParameters(
            chunk_size=chunk_bytes,
            max_header_size=limits.header_bytes,
            max_body_size=UNLIMITED,
        )
        self.loop_: asyncio.AbstractEventLoop | None = None
        self.sockets_: list[socket.socket] = []
        self.remove_handlers_: list[Callable[[], None]] = []
        self.lingering = _lingering.Lingering()
        # Whether connections are closed since the process is about to end.
        self.draining = False
        self.sweeps_ = False

    def start(self, host: str, port: int) -> None:
        """Binds an address and accepts connections."""
        self.loop_ = asyncio.get_running_loop()
        self.sockets_ = netutil.bind_sockets(port, host, backlog=BACKLOG)
        for listening in self.sockets_:
            if self.receive_buffer_bytes:
                # Accepted sockets inherit it.
                listening.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self.receive_buffer_bytes,
                )
            self.remove_handlers_.append(
                netutil.add_accept_handler(listening, self._accept)
            )

    def stop(self) -> None:
        """Stops accepting connections; open ones remain.

        Those that are established are accepted, because closing the listening
        socket would reset them.
        """
        for remove_handler in self.remove_handlers_:
            remove_handler()
        for listening in self.sockets_:
            with contextlib.suppress(OSError):
                while True:
                    self._accept(*listening.accept())
            listening.close()
        self.remove_handlers_ = []
        self.sockets_ = []

    def set_limits(self, limits: _types.RequestLimits) -> None:
        """Applies limits, also to open connections."""
        self.limits = limits
        self.parameters.max_header_size = limits.header_bytes

    # Connections.

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        while self.budget.is_full():
            phases = REPLACEABLE_PHASES if self.draining else ALL_PHASES
            stream = self.budget.longest_waiting(phases)
            if stream is None:
                self.count_closed("connections")
                sock.close()
                return
            self.close(stream, "connections")
        stream = Stream(sock, self, address)
        self.budget.open(stream, self.now_s())
        self.lingering.end_oldest(self._max_lingering())
        self._schedule_sweep()
        connection = http1connection.HTTP1ServerConnection(
            stream, self.parameters, address
        )
        connection.start_serving(self)

    def close_all(self) -> None:
        """Closes all connections."""
        for stream in list(self.budget.usages_):
            self.close(stream, "stop")

    def close(self, stream: Stream, reason: str) -> None:
        """Closes a connection without a reply."""
        self.count_closed(reason)
        self.budget.close(stream)
        stream.close()
        stream.discard()
        if stream.exchange_ is not None:
            # Tornado tells it only in the next iteration of the event loop,
            # before which many more connections may be read.
            stream.exchange_.on_connection_close()

    def start_request(self, server_conn, request_conn):
        """Returns the delegate of the next request of a connection."""
        stream = server_conn.stream
        self.budget.enter(stream, _memory_budget.Phase.IDLE, self.now_s())
        exchange = self.make_exchange(stream, request_conn)
        stream.start_request(exchange)
        # The reply to the request before has been written. The client may have
        # sent the next request already.
        self._charge(stream)
        return exchange

    def on_close(self, server_conn) -> None:
        """Observes that a connection has been closed."""
        self.budget.forget(server_conn.stream)
        # Ends cycles of references, which would outlive the connection. The
        # traceback of an error refers to the stream.
        server_conn.stream.exchange_ = None
        server_conn.stream.error = None

    def observe_received(self, stream: Stream, count: int) -> None:
        """Accounts for bytes that were received and are not read yet."""
        if stream.lingers:
            # They are discarded.
            return
        phase = self.budget.phase(stream)
        if phase is _memory_budget.Phase.IDLE:
            phase = _memory_budget.Phase.HEADER
            self.budget.enter(stream, phase, self.now_s())
        self.budget.charge(stream, count)
        self.relieve(stream)

    def observe_header(self, stream: Stream) -> None:
        """Accounts for a header that has been decoded."""
        self._charge(stream)
        self.relieve(stream)

    def observe_body(self, stream: Stream, count: int) -> bool:
        """Accounts for bytes of a body that have been read.

        Returns:
            Whether the memory suffices for them.
        """
        stream.body_bytes_ += count
        self._charge(stream)
        return self.relieve(stream)

    def discard_body(self, stream: Stream) -> None:
        """Observes that the bytes of a body are not kept."""
        stream.body_bytes_ = 0
        self._charge(stream)

    def start_handling(self, stream: Stream) -> int:
        """Observes that a request is complete and its body has its final size.

        Returns:
            The memory of the request, which counts until `end_handling` of the
            budget.
        """
        self._charge(stream, 1.0)
        return self.budget.start_handling(stream, self.now_s())

    def _charge(self, stream: Stream, factor: float = BUFFER_FACTOR) -> None:
        """Charges a connection what it holds now."""
        usage = self.budget.usages_.get(stream)
        if usage is not None:
            held_bytes = (
                stream.header_cost_
                + int(factor * stream.body_bytes_)
                + stream.unread_bytes
            )
            self.budget.charge(stream, held_bytes - usage.held_bytes)

    def now_s(self) -> float:
        """Returns the time of the event loop."""
        return self.loop_.time()

    # Memory.

    def relieve(self, current: Stream) -> bool:
        """Frees memory if more is held than may be.

        Args:
            current: Connection that has just received or been sent bytes.

        Returns:
            Whether the memory suffices for it.
        """
        while self.budget.overdrawn():
            if self._close_one(current):
                continue
            # The memory of a refused request is released right after this.
            return self.refuse_waiting() or self.budget.pool.reclaim(
                self.reclaim
            )
        return True

    def reclaim(self) -> bool:
        """Frees memory for another server; returns whether it did."""
        return self._close_one(None) or self.refuse_waiting()

    def _close_one(self, current: Stream | None) -> bool:
        """Closes a connection that waits for its client, if there is one."""
        stream = self.budget.longest_idle()
        if stream is None:
            stream = self.budget.longest_unfinished(current)
        if stream is None:
            return False
        self.close(stream, "memory")
        return True

    # Timeouts.

    def _schedule_sweep(self) -> None:
        if not self.sweeps_:
            self.sweeps_ = True
            self.loop_.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self.sweeps_ = False
        limits = self.limits
        idle_timeout_s = limits.idle_timeout_s
        timeouts_s = {
            _memory_budget.Phase.IDLE: idle_timeout_s,
            _memory_budget.Phase.HEADER: limits.header_timeout_s,
            _memory_budget.Phase.BODY: limits.body_timeout_s or idle_timeout_s,
            _memory_budget.Phase.WRITING: (
                limits.reply_timeout_s or idle_timeout_s
            ),
        }
        for stream, phase in self.budget.overdue(self.now_s(), timeouts_s):
            self.close(stream, f"{phase.value}-timeout")
        if self.budget.usages_:
            self._schedule_sweep()

    def linger(self, stream: Stream) -> bool:
        """Closes the socket of a stream later; returns whether it is.

        A server that drains replaces open connections by lingering ones, which
        hold less memory, so that both stay within the bound of connections.
        """
        # The stream may still count as open.
        max_count = self._max_lingering() + (stream in self.budget.usages_)
        return self.lingering.add(stream.socket, stream.unfinished, max_count)

    def _max_lingering(self) -> int:
        """Returns the maximum number of lingering connections."""
        if not self.draining:
            return MAX_LINGERING
        open_count = len(self.budget.usages_)
        return max(MAX_LINGERING, self.budget.bounds.connections - open_count)
