"""The caller port: decides on requests from their headers."""

from collections.abc import Callable
import contextlib

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.entry import _caller_request
from baobabdoor.entry import _keys
from baobabdoor.entry import _local_paths
from baobabdoor.entry import _request_path
from baobabdoor.entry import _work

# All bodies held in memory, a third of the process's 64 MB.
MAX_BUFFERED_BYTES = 20 * 1024 * 1024
# Answers that callers have not read yet; above it, the slowest readers lose
# their connections.
MAX_UNREAD_BYTES = 16 * 1024 * 1024
STEP = "entry.read"


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads requests of callers and decides on their headers.

    Args:
        timers: Timer service.
        path: Way of a request to its result.
        keys: Idempotency keys.
        local: Handlers of the entry's own paths; see `_local_paths`.
        known_pool: Returns whether a pool exists.
        max_body_bytes: Largest body of a request in bytes.
    """

    def __init__(
        self,
        timers: base.TimerService,
        path: _request_path.RequestPath,
        keys: _keys.Keys,
        local: _local_paths.LocalPaths,
        known_pool: Callable[[str], bool],
        max_body_bytes: int,
    ):
        self.timers = timers
        self.path = path
        self.keys = keys
        self.local = local
        self.known_pool = known_pool
        self.max_body_bytes = max_body_bytes
        self.draining = False
        self.open_: set[_caller_request.CallerRequest] = set()
        self.connections_: dict[object, _caller_request.CallerRequest] = {}
        self.buffered_ = 0
        self.unread_ = 0
        self.refused_ = 0
        self.hold_s_ = 0.0

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> _caller_request.CallerRequest:
        """Returns the receiver of one request."""
        request = _caller_request.CallerRequest(self, request_conn)
        self.connections_[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection."""
        self.connections_.pop(server_conn, None)

    def accept(
        self, request: _caller_request.CallerRequest, now_s: float
    ) -> requests.Failure | None:
        """Queues a request, or returns why it does not."""
        self.hold_s_ = 0.0
        start_line = request.start_line
        request.local = self.local.find(start_line.path)
        if request.local is not None:
            length = request.headers.get("Content-Length", "")
            return _failure(self._check_size(length))
        work = self.make_work(
            start_line.method,
            start_line.path,
            request.headers,
            request.answer,
            now_s,
        )
        if isinstance(work, requests.Failure):
            return work
        request.work = work
        return None

    def make_work(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        finish: Callable[[_work.Result], None],
        now_s: float,
    ) -> _work.Work | requests.Failure:
        """Queues what the headers describe, unless another entry runs it."""
        try:
            info = requests.classify(method, headers, now_s)
        except requests.HeaderError as error:
            return _failure(error.refusal)
        item = self.path.item(info)
        work = _work.Work(method, target, headers, info, item, finish)
        failure = self.keys.check_headers(work, now_s)
        if failure is not None:
            return failure
        refusal = self._refuse_early(info, now_s)
        if refusal is None and not self.keys.needs_no_slot(work):
            refusal = self.path.admit(work)
            if refusal is not None:
                self.hold_s_ = self.path.refusal_delay_s(item)
        return work if refusal is None else work.truthful(_failure(refusal))

    def body_arrived(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        """Passes a request with its whole body on."""
        if request.local is not None:
            request.local(request, body)
            return
        request.work.body = body
        self.keys.settle(request.work)

    def reserve(self, added: int, length: int) -> base.Refusal | None:
        """Takes memory for a part of a body."""
        if length > self.max_body_bytes:
            return self._too_large(length)
        if self.buffered_ + added > MAX_BUFFERED_BYTES:
            return self._no_memory()
        self.buffered_ += added
        return None

    def unreserve(self, removed: int) -> None:
        """Gives the memory of a body back."""
        self.buffered_ -= removed

    def tick(self) -> None:
        """Ends requests whose body or answer takes too long."""
        now_s = self.timers.now_s()
        for request in list(self.open_):
            if request.finished and not request.connection.stream.writing():
                request.forget()
            else:
                request.expire(now_s)
        if self.unread_ > MAX_UNREAD_BYTES:
            self._close_slow_readers()

    def _close_slow_readers(self) -> None:
        unread = [request for request in self.open_ if request.unread]
        # The one that has had the most time to read its answer goes first.
        for request in sorted(unread, key=lambda request: request.limit_s):
            if self.unread_ <= MAX_UNREAD_BYTES:
                return
            request.connection.close()
            request.forget()

    def close_idle(self) -> None:
        """Closes connections that have brought no headers for long."""
        now_s = self.timers.now_s()
        for request in list(self.connections_.values()):
            if request.start_line is None and now_s >= request.idle_limit_s:
                request.connection.close()

    def _refuse_early(
        self, info: requests.RequestInfo, now_s: float
    ) -> base.Refusal | None:
        if self.draining:
            return base.Refusal(base.Reason.DRAINING, STEP)
        if not self.known_pool(info.pool):
            reason = base.Reason.UNKNOWN_POOL
            return base.Refusal(reason, STEP, detail=info.pool)
        if info.body_bytes > self.max_body_bytes:
            return self._too_large(info.body_bytes)
        if info.body_bytes + self.buffered_ > MAX_BUFFERED_BYTES:
            return self._no_memory()
        if info.deadline_s <= now_s:
            return base.Refusal(base.Reason.DEADLINE_EXPIRED, STEP)
        return None

    def _check_size(self, length: str) -> base.Refusal | None:
        if length.isdigit() and int(length) > self.max_body_bytes:
            return self._too_large(int(length))
        return None

    def _too_large(self, length: int) -> base.Refusal:
        detail = (
            f"body: expected at most {self.max_body_bytes} bytes,"
            f" found {length}"
        )
        return base.Refusal(base.Reason.TOO_LARGE, STEP, detail=detail)

    def _no_memory(self) -> base.Refusal:
        detail = "memory for bodies is in use"
        return base.Refusal(base.Reason.NO_CAPACITY, STEP, detail=detail)


class CallerHttpServer(httpserver.HTTPServer):
    """Tells the `CallerServer` of closed connections; tornado does not."""

    def listen_on(self, port: int, host: str) -> None:
        """Listens, and keeps the sockets for `stop_accepting`."""
        self.sockets_ = netutil.bind_sockets(port, host)
        self.add_sockets(self.sockets_)

    def stop_accepting(self) -> None:
        """Accepts what is already connected, then closes the sockets.

        Connections that wait to be accepted would be reset by the close.
        """
        listeners, self.sockets_ = self.sockets_, []
        for listener in listeners:
            with contextlib.suppress(OSError):
                while True:
                    connection, address = listener.accept()
                    connection.setblocking(False)
                    stream = iostream.IOStream(connection)
                    self.handle_stream(stream, address)
        self.stop()

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


def _failure(refusal: base.Refusal | None) -> requests.Failure | None:
    if refusal is None:
        return None
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
