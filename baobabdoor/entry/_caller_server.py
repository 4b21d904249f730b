"""The caller port: admits or refuses requests by their headers."""

from collections.abc import Callable
import contextlib

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from baobabdoor import base
from baobabdoor import requests
from baobabdoor.entry import _caller_request
from baobabdoor.entry import _idempotency_keys
from baobabdoor.entry import _local_paths
from baobabdoor.entry import _pending_request
from baobabdoor.entry import _request_dispatcher

# Limit for all request bodies in memory, a third of the 64 MB that the process
# may use.
MAX_BUFFERED_BYTES = 20 * 1024 * 1024
# Limit for all responses that callers have not read yet. Above it, connections
# are closed, those of the slowest readers first.
MAX_UNREAD_BYTES = 16 * 1024 * 1024
STEP = "entry.read"


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Receives requests of callers and admits them by their headers.

    Args:
        timers: Timer service.
        dispatcher: Queues admitted requests and sends them to backend servers.
        keys: Resolves idempotency keys.
        local_paths: Handlers of the paths that the entry serves itself.
        pool_exists: Returns whether a pool exists.
        max_body_bytes: Maximum size of a request body in bytes.
    """

    def __init__(
        self,
        timers: base.TimerService,
        dispatcher: _request_dispatcher.RequestDispatcher,
        keys: _idempotency_keys.IdempotencyKeys,
        local_paths: _local_paths.LocalPaths,
        pool_exists: Callable[[str], bool],
        max_body_bytes: int,
    ):
        self.timers = timers
        self.dispatcher = dispatcher
        self.keys = keys
        self.local_paths = local_paths
        self.pool_exists = pool_exists
        self.max_body_bytes = max_body_bytes
        self.draining = False
        self.open_requests_: set[_caller_request.CallerRequest] = set()
        self.requests_by_connection_: dict[
            object, _caller_request.CallerRequest
        ] = {}
        self.buffered_bytes_ = 0
        self.unread_bytes_ = 0
        self.refused_count_ = 0
        self.refusal_delay_s_ = 0.0

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> _caller_request.CallerRequest:
        """Returns the delegate that receives the next request."""
        request = _caller_request.CallerRequest(self, request_conn)
        self.requests_by_connection_[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection."""
        self.requests_by_connection_.pop(server_conn, None)

    def admit(
        self, request: _caller_request.CallerRequest, now_s: float
    ) -> requests.Failure | None:
        """Queues a request, or returns why it is refused."""
        self.refusal_delay_s_ = 0.0
        start_line = request.start_line
        request.local_handler = self.local_paths.find_handler(start_line.path)
        if request.local_handler is not None:
            length = request.headers.get("Content-Length", "")
            return _not_run(self._check_size(length))
        pending = self.queue_request(
            start_line.method,
            start_line.path,
            request.headers,
            request.respond,
            now_s,
        )
        if isinstance(pending, requests.Failure):
            return pending
        request.pending = pending
        return None

    def queue_request(
        self,
        method: str,
        target: str,
        headers: httputil.HTTPHeaders,
        on_result: Callable[[_pending_request.Result], None],
        now_s: float,
    ) -> _pending_request.PendingRequest | requests.Failure:
        """Creates a request and queues it if it needs a slot of this entry."""
        try:
            info = requests.classify(method, headers, now_s)
        except requests.HeaderError as error:
            return _not_run(error.refusal)
        item = self.dispatcher.make_item(info)
        pending = _pending_request.PendingRequest(
            method, target, headers, info, item, on_result
        )
        failure = self.keys.check_headers(pending, now_s)
        if failure is not None:
            return failure
        refusal = self._check_request(info, now_s)
        if refusal is None and not self.keys.bypasses_queue(pending):
            refusal = self.dispatcher.admit(pending)
            if refusal is not None:
                self.refusal_delay_s_ = self.dispatcher.refusal_delay_s(item)
        return (
            pending
            if refusal is None
            else pending.provable_result(_not_run(refusal))
        )

    def on_body_complete(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        """Handles a request whose body is complete."""
        if request.local_handler is not None:
            request.local_handler(request, body)
            return
        request.pending.body = body
        self.keys.resolve(request.pending)

    def reserve_memory(
        self, added_bytes: int, length: int
    ) -> base.Refusal | None:
        """Reserves memory for a chunk of a body."""
        if length > self.max_body_bytes:
            return self._too_large(length)
        if self.buffered_bytes_ + added_bytes > MAX_BUFFERED_BYTES:
            return self._out_of_memory()
        self.buffered_bytes_ += added_bytes
        return None

    def release_memory(self, removed_bytes: int) -> None:
        """Releases the memory of a body."""
        self.buffered_bytes_ -= removed_bytes

    def tick(self) -> None:
        """Ends requests that exceed their time limits."""
        now_s = self.timers.now_s()
        for request in list(self.open_requests_):
            if request.finished and not request.connection.stream.writing():
                request.release()
            else:
                request.expire(now_s)
        if self.unread_bytes_ > MAX_UNREAD_BYTES:
            self._close_slow_readers()

    def _close_slow_readers(self) -> None:
        unread = [
            request for request in self.open_requests_ if request.unread_bytes
        ]
        # Starts with the caller that has had the most time to read.
        for request in sorted(unread, key=lambda request: request.timeout_at_s):
            if self.unread_bytes_ <= MAX_UNREAD_BYTES:
                return
            request.connection.close()
            request.release()

    def close_idle(self) -> None:
        """Closes connections without request headers for `IDLE_TIMEOUT_S`."""
        now_s = self.timers.now_s()
        for request in list(self.requests_by_connection_.values()):
            if (
                request.start_line is None
                and now_s >= request.idle_timeout_at_s
            ):
                request.connection.close()

    def _check_request(
        self, info: requests.RequestInfo, now_s: float
    ) -> base.Refusal | None:
        if self.draining:
            return base.Refusal(base.Reason.DRAINING, STEP)
        if not self.pool_exists(info.pool):
            reason = base.Reason.UNKNOWN_POOL
            return base.Refusal(reason, STEP, detail=info.pool)
        if info.body_bytes > self.max_body_bytes:
            return self._too_large(info.body_bytes)
        if info.body_bytes + self.buffered_bytes_ > MAX_BUFFERED_BYTES:
            return self._out_of_memory()
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

    def _out_of_memory(self) -> base.Refusal:
        detail = "memory for bodies is in use"
        return base.Refusal(base.Reason.NO_CAPACITY, STEP, detail=detail)


class CallerHttpServer(httpserver.HTTPServer):
    """HTTP server that reports closed connections, unlike its base class."""

    def listen_on(self, port: int, host: str) -> None:
        """Starts listening and stores the sockets for `stop_accepting`."""
        self.sockets_ = netutil.bind_sockets(port, host)
        self.add_sockets(self.sockets_)

    def stop_accepting(self) -> None:
        """Accepts established connections, then closes the sockets.

        Closing a listening socket resets connections that are not accepted yet.
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
        """Notifies `CallerServer` of a closed connection."""
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


def _not_run(refusal: base.Refusal | None) -> requests.Failure | None:
    if refusal is None:
        return None
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
