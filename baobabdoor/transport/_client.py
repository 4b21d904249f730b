"""HTTP/1.1 client with connection pools and a timeout on every call."""

import asyncio
import collections
from collections.abc import Callable
import ipaddress
import re
import socket
import struct

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from baobabdoor import base
from baobabdoor.transport import _response_budget

# Maximum body of a response: holds the store's limit of 1 MB of rows in base64.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 65_536
# Maximum idle connections per peer.
MAX_IDLE_CONNECTIONS = 8
# Maximum idle connections to all peers, unless the client is given another.
MAX_ALL_IDLE_CONNECTIONS = 1000
# Maximum open connections per peer. A worker accepts 64, which a leader and its
# successor share.
MAX_CONNECTIONS = 24
# Maximum time to open a connection, in seconds.
CONNECT_TIMEOUT_S = 0.6
TCP_USER_TIMEOUT_MS = 3000
MAX_PORT = 65_535
# A method, a path with its query, or a header line with a control character
# could end the line and inject others.
_REQUEST_LINE = re.compile(r"[!-~]+ [!-~]+")
_HEADER_LINES = re.compile(r"([!-9;-~]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")


def parse_address(address: str) -> tuple[str, int]:
    """Splits an address into host and port.

    Host names are rejected, because looking one up would block the event loop.

    Args:
        address: IPv4 address and port from 1 to 65535, as `ip:port`.

    Returns:
        Host and port.

    Raises:
        ValueError: If the address has another form.

    Example:
        >>> parse_address("10.0.0.1:80")
        ('10.0.0.1', 80)
    """
    host, _, digits = address.rpartition(":")
    # `isdigit` alone accepts digits of other scripts, and `int` raises for
    # superscripts and for thousands of digits.
    is_number = digits.isascii() and digits.isdigit()
    if is_number and len(digits) <= len(str(MAX_PORT)):
        port = int(digits)
        if 1 <= port <= MAX_PORT:
            return str(ipaddress.IPv4Address(host)), port
    raise ValueError(
        f"expected a port from 1 to {MAX_PORT}, found {address!r:.80}"
    )


@attrs.frozen
class Response:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: Body in bytes.
        headers: Headers of the response.
    """

    status: int
    body: bytes
    headers: httputil.HTTPHeaders


class _Collector(httputil.HTTPMessageDelegate):

    def __init__(
        self, stream: iostream.IOStream, budget: _response_budget.ResponseBudget
    ):
        self.stream = stream
        self.budget = budget
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        # One buffer: a list of pieces costs up to 40 times their bytes.
        self.body = bytearray()
        self.complete = False

    def headers_received(self, start_line, headers) -> None:
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk
        self.budget.charge(self, len(chunk), self._abort)

    def _abort(self) -> None:
        _abort(self.stream)

    def finish(self) -> None:
        self.complete = True


class _Peer:

    def __init__(self, endpoint: tuple[str, int]):
        self.endpoint = endpoint
        self.idle: list[iostream.IOStream] = []
        self.open_count = 0
        self.waiters: list[asyncio.Future] = []


class Client:
    """Sends requests to peers by IP address and port.

    A call that times out resets its connection, so that a late response cannot
    be taken for that of another call, and bytes that a partition holds up are
    not delivered after it. Requests are never retried.

    Args:
        max_idle_connections: Maximum idle connections to all peers.

    Example:
        >>> client = Client()
        >>> # answer = await client.fetch("10.0.0.1:80", "GET", "/")
    """

    PARAMETERS = http1connection.HTTP1ConnectionParameters(
        max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
    )

    def __init__(self, max_idle_connections: int = MAX_ALL_IDLE_CONNECTIONS):
        self.max_idle_connections = max_idle_connections
        self.peers_: dict[str, _Peer] = {}
        # Idle connections with their peers, the longest idle first.
        self.idle_: collections.OrderedDict[iostream.IOStream, _Peer] = (
            collections.OrderedDict()
        )
        self.calls_ = 0
        self.response_budget = _response_budget.ResponseBudget()

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: str = "",
        timeout_s: float = 1.0,
        permit: Callable[[], bool] | None = None,
    ) -> Response | base.Refusal:
        """Sends one request and waits for the complete response.

        Args:
            address: Peer as `ip:port`.
            method: HTTP method.
            target: Path and query.
            body: Body in bytes.
            headers: Further header lines, each ended by CRLF.
            timeout_s: Timeout of the entire call in seconds.
            permit: Called right before sending; returns `False` if the
                request must no longer be sent.

        Returns:
            The response; a refusal with `CONNECTION_FAILED` if nothing was
            sent, also for an unusable address or header, or with
            `UNKNOWN_RESULT` if the request may have arrived.
        """
        self.calls_ += 1
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            peer = self._find_peer(address)
            request = _encode_request(address, method, target, body, headers)
        except ValueError as error:
            return _not_sent(address, str(error))
        stream = await self._acquire(peer, address, deadline_s)
        if isinstance(stream, base.Refusal):
            return stream
        collector = _Collector(stream, self.response_budget)
        reusable = False
        try:
            if permit is not None and not permit():
                reusable = True
                return _not_sent(address, "the permit expired before sending")
            reusable = await self._exchange(
                stream, request, collector, deadline_s
            )
        finally:
            self.response_budget.release(collector)
            self._release(peer, stream, reusable)
        return _result(address, collector, deadline_s)

    async def _exchange(
        self,
        stream: iostream.IOStream,
        request: bytes,
        collector: _Collector,
        deadline_s: float,
    ) -> bool:
        """Sends a request; returns whether the connection is reusable."""
        loop = asyncio.get_running_loop()
        connection = http1connection.HTTP1Connection(
            stream, True, self.PARAMETERS
        )
        timer = loop.call_later(
            max(0.0, deadline_s - loop.time()), _abort, stream
        )
        try:
            connection.write(request)
            connection.finish()
            keep_alive = await connection.read_response(collector)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False
        finally:
            timer.cancel()
        return (
            keep_alive and collector.complete and not _closes(collector.headers)
        )

    def _find_peer(self, address: str) -> _Peer:
        """Returns the connections to an address.

        Raises:
            ValueError: If the address is unusable.
        """
        peer = self.peers_.get(address)
        if peer is None:
            peer = _Peer(parse_address(address))
            self.peers_[address] = peer
        return peer

    def discard_peer(self, address: str) -> None:
        """Forgets a peer and closes its idle connections."""
        peer = self.peers_.pop(address, None)
        for stream in peer.idle if peer else ():
            del self.idle_[stream]
            stream.close()

    async def _acquire(
        self, peer: _Peer, address: str, deadline_s: float
    ) -> iostream.IOStream | base.Refusal:
        loop = asyncio.get_running_loop()
        while True:
            while peer.idle:
                stream = peer.idle.pop()
                del self.idle_[stream]
                if _usable(stream):
                    peer.open_count += 1
                    return stream
                stream.close()
            if peer.open_count < MAX_CONNECTIONS:
                break
            waiter = loop.create_future()
            peer.waiters.append(waiter)
            try:
                # `wait_for` of Python 3.11 may lose a cancel.
                async with asyncio.timeout_at(deadline_s):
                    await waiter
            except (TimeoutError, asyncio.CancelledError) as error:
                if not waiter.cancelled():
                    # The connection is free for the next call.
                    _wake_waiter(peer)
                if isinstance(error, TimeoutError):
                    return _not_sent(address, "connection limit reached")
                raise
        return await self._connect(peer, address, deadline_s)

    async def _connect(
        self, peer: _Peer, address: str, deadline_s: float
    ) -> iostream.IOStream | base.Refusal:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # No file descriptor is free.
            return _not_sent(address, str(error))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        stream = iostream.IOStream(sock, max_buffer_size=2 * MAX_BODY_BYTES)
        loop = asyncio.get_running_loop()
        timeout_s = min(CONNECT_TIMEOUT_S, deadline_s - loop.time())
        timer = loop.call_later(max(0.0, timeout_s), stream.close)
        peer.open_count += 1
        connected = False
        try:
            await stream.connect(peer.endpoint)
            connected = True
        except OSError as error:
            return _not_sent(address, str(error) or "connect timed out")
        finally:
            timer.cancel()
            # Also if the call is cancelled: the count limits later calls.
            if not connected:
                self._release(peer, stream, False)
        return stream

    def _release(
        self, peer: _Peer, stream: iostream.IOStream, reusable: bool
    ) -> None:
        peer.open_count -= 1
        if (
            reusable
            and len(peer.idle) < MAX_IDLE_CONNECTIONS
            and not stream.closed()
        ):
            peer.idle.append(stream)
            self.idle_[stream] = peer
            if len(self.idle_) > self.max_idle_connections:
                # Peers that are gone are not called again, so theirs go first.
                oldest, owner = self.idle_.popitem(last=False)
                owner.idle.remove(oldest)
                oldest.close()
        else:
            stream.close()
        _wake_waiter(peer)


def _wake_waiter(peer: _Peer) -> None:
    """Lets the call that waits for longest open a connection."""
    while peer.waiters:
        waiter = peer.waiters.pop(0)
        if not waiter.done():
            waiter.set_result(None)
            break


def _encode_request(
    address: str, method: str, target: str, body: bytes, headers: str
) -> bytes:
    """Returns the bytes of a request.

    Raises:
        ValueError: If a text could not be sent, or would end its line.
    """
    if not _REQUEST_LINE.fullmatch(f"{method} {target}"):
        raise ValueError(f"unusable target: {target!r:.80}")
    if not _HEADER_LINES.fullmatch(headers):
        raise ValueError(f"unusable headers: {headers!r:.80}")
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def _closes(headers: httputil.HTTPHeaders) -> bool:
    """Returns whether the peer closes the connection after its response."""
    options = headers.get("Connection", "").lower().split(",")
    return "close" in (option.strip() for option in options)


def _result(
    address: str, collector: _Collector, deadline_s: float
) -> Response | base.Refusal:
    """Returns the result of a request that was sent."""
    if collector.complete:
        return Response(
            collector.status, bytes(collector.body), collector.headers
        )
    timed_out = asyncio.get_running_loop().time() >= deadline_s - 0.001
    detail = (
        "response timed out"
        if timed_out
        else "connection closed before the response was complete"
    )
    return base.Refusal(
        base.Reason.UNKNOWN_RESULT, "transport.fetch", address, detail
    )


def _not_sent(address: str, detail: str) -> base.Refusal:
    return base.Refusal(
        base.Reason.CONNECTION_FAILED, "transport.connect", address, detail
    )


def _abort(stream: iostream.IOStream) -> None:
    """Closes a connection and discards the bytes that were not delivered."""
    if not stream.closed():
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    stream.close()


def _usable(stream: iostream.IOStream) -> bool:
    """Returns whether an idle connection is open and has no unread bytes."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
