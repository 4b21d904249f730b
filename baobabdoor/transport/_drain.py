"""End of the connections of a server before its process ends."""

import socket

import attrs
from tornado import httputil

from baobabdoor.transport import _connections
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _types

# A connection that is idle for less may have a request on its way: it is read
# and answered. A round trip between zones takes less.
FRESH_S = 0.25
# Interval in which connections that have fallen idle are looked for.
CHECK_INTERVAL_S = 0.05
STOPPING = _types.Reply(503, headers=_types.RETRY_AFTER_HEADER)


@attrs.frozen
class OpenRequest:
    """A request that is owed an answer.

    Attributes:
        server: Name of the server.
        phase: `header`, `body`, `handling` or `writing`.
        method: HTTP method; empty before the header is complete, as the path.
        path: Path without the query.
        headers: Headers of the request.
        age_s: Time since the phase began, in seconds.
        connection: Address of the client as `ip:port`.
    """

    server: str
    phase: str
    method: str
    path: str
    headers: httputil.HTTPHeaders
    age_s: float
    connection: str


class Drain:
    """Lets the clients of a server know of its stop and counts what is owed.

    Args:
        name: Name of the server.
        listener: Holds the connections of the server.
    """

    def __init__(self, name: str, listener: _connections.Listener):
        self.name = name
        self.listener = listener
        self.budget = listener.budget
        # Whether replies close their connections.
        self.started = False
        self.accepts = True
        # Reply to requests that are not read.
        self.refusal: _types.Reply | None = None
        self.checks_ = False

    def start(self) -> None:
        """Lets each further reply close its connection."""
        self.started = True
        self.listener.draining = True

    def stop_accepting(self) -> None:
        """Closes the listening sockets and idle connections."""
        self.accepts = False
        # Makes room for those that wait to be accepted.
        self._close_idle()
        self.listener.stop()
        self._schedule_check()

    def refuse_unfinished(self, reply: _types.Reply) -> None:
        """Refuses requests that have not been read in whole, and new ones.

        Args:
            reply: Reply to them.
        """
        self.start()
        self.refusal = reply
        for stream, usage in list(self.budget.usages_.items()):
            if usage.phase is _memory_budget.Phase.BODY:
                stream.exchange_.refuse(reply, "stop")
        self._close_headers()
        self._schedule_check()

    @property
    def pending_requests(self) -> int:
        """Number of connections that owe or may owe an answer."""
        streams = list(self.budget.usages_)
        return self.listener.lingering.unfinished_count + sum(
            bool(self._open_phase(stream)) or self._is_fresh(stream)
            for stream in streams
        )

    def open_requests(self) -> list[OpenRequest]:
        """Returns the requests that have begun and are not answered."""
        requests = []
        for stream, usage in self.budget.usages_.items():
            phase = self._open_phase(stream)
            if phase is None:
                continue
            request = stream.exchange_.request_ if stream.exchange_ else None
            requests.append(
                OpenRequest(
                    self.name,
                    phase.value,
                    request.method if request else "",
                    request.path if request else "",
                    request.headers if request else httputil.HTTPHeaders(),
                    self.listener.now_s() - usage.since_s,
                    stream.peer,
                )
            )
        return requests

    def _open_phase(
        self, stream: _connections.Stream
    ) -> _memory_budget.Phase | None:
        """Returns how far the request of a connection is; `None` if idle."""
        if stream.closed():
            return None
        phase = self.budget.phase(stream)
        if phase is not _memory_budget.Phase.IDLE:
            return phase
        if stream.unread_bytes or _received_bytes(stream):
            return _memory_budget.Phase.HEADER
        return None

    def _is_fresh(self, stream: _connections.Stream) -> bool:
        """Returns whether a connection is kept for a request on its way."""
        if self.accepts or stream.closed():
            return False
        return self._age_s(stream) < FRESH_S

    def _age_s(self, stream: _connections.Stream) -> float:
        return self.listener.now_s() - self.budget.usages_[stream].since_s

    # Checks.

    def _schedule_check(self) -> None:
        if not self.checks_ and self.budget.usages_:
            self.checks_ = True
            self.listener.loop_.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.checks_ = False
        if not self.accepts:
            self._close_idle()
        if self.refusal is not None:
            self._close_headers()
        self._schedule_check()

    def _close_idle(self) -> None:
        for stream in list(self.budget.usages_):
            if (
                not stream.closed()
                and self._open_phase(stream) is None
                and self._age_s(stream) >= FRESH_S
            ):
                self._close(stream)

    def _close_headers(self) -> None:
        """Closes connections whose header has been incomplete for long."""
        for stream in list(self.budget.usages_):
            if (
                self._open_phase(stream) is _memory_budget.Phase.HEADER
                and self._age_s(stream) >= FRESH_S
                and not _received_bytes(stream)
            ):
                stream.unfinished = True
                self._close(stream)

    def _close(self, stream: _connections.Stream) -> None:
        stream.lingers = True
        self.listener.close(stream, "stop")


def _received_bytes(stream: _connections.Stream) -> bool:
    """Returns whether the kernel has bytes for a connection."""
    try:
        return bool(
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        )
    except OSError:
        return False
