"""The caller port: admits or refuses requests by their headers."""

from collections.abc import Callable
import socket

from tornado import httputil

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import requests
from baobabdoor import settings
from baobabdoor import transport
from baobabdoor.entry import _caller_request
from baobabdoor.entry import _idempotency_keys
from baobabdoor.entry import _local_paths
from baobabdoor.entry import _pending_request
from baobabdoor.entry import _request_dispatcher

# Larger headers get 431. Smaller ones that `requests.classify` rejects get an
# error response that names the cause.
MAX_HEADER_BYTES = 65_536
# Bytes that are read at a time. While many connections receive bodies, each of
# them holds as many that are not counted.
CHUNK_BYTES = 4096
# Queued requests up to this size are not refused in favour of larger ones.
SMALL_REQUEST_BYTES = 8192
# Time after which a connection is closed whose body is late and whose caller
# does not read the response that says so.
BODY_TIMEOUT_MARGIN_S = 1.0
# A connection that is idle for less may have a request on its way. A round trip
# between zones takes less.
FRESH_S = 0.25
STEP = "entry.read"


class CallerServer:
    """Receives requests of callers and admits them by their headers.

    Args:
        timers: Timer service.
        dispatcher: Queues admitted requests and sends them to backend servers.
        keys: Resolves idempotency keys.
        local_paths: Handlers of the paths that the entry serves itself.
        pool_exists: Returns whether a pool exists.
        entry_settings: Limits of requests and their times.
        bounds: Bounds of the port.
        memory: Memory that the parts of the entry share.
        metrics: Counts closed connections.
    """

    def __init__(
        self,
        timers: base.TimerService,
        dispatcher: _request_dispatcher.RequestDispatcher,
        keys: _idempotency_keys.IdempotencyKeys,
        local_paths: _local_paths.LocalPaths,
        pool_exists: Callable[[str], bool],
        entry_settings: settings.EntrySettings,
        bounds: transport.Bounds,
        memory: transport.MemoryPool,
        metrics: observability.Metrics,
    ):
        self.timers = timers
        self.dispatcher = dispatcher
        self.keys = keys
        self.local_paths = local_paths
        self.pool_exists = pool_exists
        self.max_body_bytes = entry_settings.max_body_bytes
        self.max_job_bytes = min(
            entry_settings.max_job_bytes, entry_settings.max_body_bytes
        )
        self.body_timeout_s = entry_settings.body_timeout_s
        self.response_timeout_s = entry_settings.response_timeout_s
        # Whether replies close their connection.
        self.stopping = False
        # Whether requests are refused.
        self.draining = False
        # Whether also requests that the entry serves itself are refused.
        self.gave_up = False
        self.open_requests_: set[_caller_request.CallerRequest] = set()
        self.refused_count_ = 0
        self.refusal_delay_s_ = 0.0
        self.budget = transport.MemoryBudget(bounds, memory)
        self.closures = transport.Closures("callers", self.budget, metrics)
        self.listener = transport.Listener(
            self._make_request,
            self.budget,
            transport.RequestLimits(
                header_bytes=MAX_HEADER_BYTES,
                body_bytes=self.max_body_bytes,
                header_timeout_s=entry_settings.header_timeout_s,
                idle_timeout_s=entry_settings.idle_timeout_s,
                body_timeout_s=self.body_timeout_s + BODY_TIMEOUT_MARGIN_S,
                reply_timeout_s=self.response_timeout_s,
            ),
            transport.RECEIVE_BUFFER_BYTES,
            self.closures.observe,
            self._refuse_queued,
            CHUNK_BYTES,
        )
        memory.add_reclaimer(self.listener.reclaim)

    def start(self, address: settings.Address) -> None:
        """Accepts connections on an address."""
        self.listener.start(address.host, address.port)

    @property
    def buffered_bytes_(self) -> int:
        """Memory of requests and of unread responses."""
        return self.budget.unfinished_bytes_ + self.budget.handled_bytes_

    def _make_request(
        self, stream: transport.Stream, connection: httputil.HTTPConnection
    ) -> _caller_request.CallerRequest:
        return _caller_request.CallerRequest(self, stream, connection)

    def admit(
        self, request: _caller_request.CallerRequest, now_s: float
    ) -> requests.Failure | None:
        """Queues a request, or returns why it is refused."""
        self.refusal_delay_s_ = 0.0
        start_line = request.start_line
        request.local_handler = self.local_paths.find_handler(start_line.path)
        if request.local_handler is not None:
            return _not_run(self._check_local(request))
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
        self, request: _caller_request.CallerRequest, added_bytes: int
    ) -> base.Refusal | None:
        """Reserves memory for a chunk of a request's body."""
        limit = self.max_body_bytes
        if request.local_handler is not None:
            limit = self.max_job_bytes
        if request.length > limit:
            return _too_large(request.length, limit)
        if not self.listener.observe_body(request.stream, added_bytes):
            return _out_of_memory()
        return None

    def observe_response(self, stream: transport.Stream, size: int) -> None:
        """Accounts for a response until its caller has read it."""
        self.budget.enter(
            stream, transport.Phase.WRITING, self.listener.now_s()
        )
        self.budget.charge(stream, size)
        self.listener.relieve(stream)

    def _refuse_queued(self) -> bool:
        """Refuses the queued request that holds most memory.

        Returns:
            Whether there was one that is not small.
        """
        queued = [
            request
            for request in self.open_requests_
            if request.is_queued and request.handled_bytes > SMALL_REQUEST_BYTES
        ]
        if not queued:
            return False
        largest = max(queued, key=lambda request: request.handled_bytes)
        largest.refuse(_out_of_memory())
        return True

    def announce_stop(self) -> None:
        """Lets each further reply close its connection."""
        self.stopping = True
        self.listener.draining = True

    def close_idle(self) -> None:
        """Closes the connections on which no request is on its way."""
        now_s = self.listener.now_s()
        for stream, usage in list(self.budget.usages_.items()):
            if (
                usage.phase is transport.Phase.IDLE
                and now_s - usage.since_s >= FRESH_S
                and not _has_received(stream)
            ):
                # Not half-closed: a request that crosses the close is to be
                # reset, which tells its client that it was not read.
                self.listener.close(stream, "stop")

    @property
    def is_flushed(self) -> bool:
        """Whether no connection may still get a reply.

        After `give_up`, a request whose header is incomplete gets none.
        """
        return not self.listener.lingering.unfinished_count and all(
            self.gave_up and usage.phase is transport.Phase.HEADER
            for usage in self.budget.usages_.values()
        )

    def open_requests(self) -> list[transport.OpenRequest]:
        """Returns the requests that have begun and are not answered."""
        now_s = self.listener.now_s()
        records = []
        for stream, usage in self.budget.usages_.items():
            phase = usage.phase
            if phase is transport.Phase.IDLE:
                if not _has_received(stream):
                    continue
                phase = transport.Phase.HEADER
            request = stream.exchange_
            line = request.start_line if request else None
            records.append(
                transport.OpenRequest(
                    "callers",
                    phase.value,
                    line.method if line else "",
                    line.path.partition("?")[0] if line else "",
                    request.headers if line else httputil.HTTPHeaders(),
                    now_s - usage.since_s,
                    stream.peer,
                )
            )
        return records

    def give_up(self, refusal: base.Refusal) -> None:
        """Answers the requests that wait for a body or for the entry itself."""
        self.draining = True
        self.gave_up = True
        for request in list(self.open_requests_):
            request.give_up(refusal)

    def tick(self) -> None:
        """Ends requests that exceed their time limits."""
        now_s = self.timers.now_s()
        for request in list(self.open_requests_):
            if request.finished and not request.connection.stream.writing():
                request.release()
            else:
                request.expire(now_s)

    def _check_request(
        self, info: requests.RequestInfo, now_s: float
    ) -> base.Refusal | None:
        if self.draining:
            return base.Refusal(base.Reason.DRAINING, STEP)
        if not self.pool_exists(info.pool):
            reason = base.Reason.UNKNOWN_POOL
            return base.Refusal(reason, STEP, detail=info.pool)
        if info.body_bytes > self.max_body_bytes:
            return _too_large(info.body_bytes, self.max_body_bytes)
        if info.deadline_s <= now_s:
            return base.Refusal(base.Reason.DEADLINE_EXPIRED, STEP)
        return None

    def _check_local(
        self, request: _caller_request.CallerRequest
    ) -> base.Refusal | None:
        """Checks a request that the entry serves itself.

        Its body is a document, whose objects take many times its size.
        """
        if self.gave_up:
            return base.Refusal(base.Reason.DRAINING, STEP)
        length = request.headers.get("Content-Length", "0")
        if transport.exceeds(length, self.max_job_bytes):
            return _too_large(length, self.max_job_bytes)
        return None


def _has_received(stream: transport.Stream) -> bool:
    """Returns whether bytes have arrived on a connection that are not read."""
    if stream.unread_bytes:
        return True
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return bool(stream.socket.recv(1, flags))
    except OSError:
        return False


def _too_large(length: int | str, limit: int) -> base.Refusal:
    found = f"{length:.20}" if isinstance(length, str) else length
    detail = f"body: expected at most {limit} bytes, found {found}"
    return base.Refusal(base.Reason.TOO_LARGE, STEP, detail=detail)


def _out_of_memory() -> base.Refusal:
    detail = "memory for bodies is in use"
    return base.Refusal(base.Reason.NO_CAPACITY, STEP, detail=detail)


def _not_run(refusal: base.Refusal | None) -> requests.Failure | None:
    if refusal is None:
        return None
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
