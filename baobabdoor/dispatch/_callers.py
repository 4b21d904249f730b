"""HTTP API for callers: submit, cancel and query jobs."""

import asyncio
from collections.abc import Mapping
import contextlib
import re

from baobabdoor import customers
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor import transport
from baobabdoor.dispatch import _access
from baobabdoor.dispatch import _gateway
from baobabdoor.dispatch import _outcomes

JOB_ID = re.compile(r"[0-9a-f]{16}")
METHODS = frozenset(("POST", "GET", "DELETE"))
# Part of a request's timeout reserved for returning the response, in seconds.
RESPONSE_MARGIN_S = 0.15
# Above this age in seconds, a configuration may lack a queue that was added
# since: longer than one long poll for changes including its grace period.
CONFIGURATION_STALE_S = 2.0
# Time after the start of the process within which queries wait for its first
# configuration. Later, the store is taken to be down, as for readiness.
FIRST_CONFIGURATION_WAIT_S = 2.5
# Timeout of a request whose queue is not known yet: that of a queue for which
# the configuration names none.
DEFAULT_TIMEOUT_MS = 3000.0
# Maximum digits of a caller's timeout in milliseconds: three years.
MAX_DIGITS = 11
LOG = observability.get_logger("callers")
RETRY_AFTER_HEADER = "Retry-After: {}\r\n"
NO_CONFIGURATION = _outcomes.Outcome(
    "unavailable", 1, detail="no configuration yet"
)


class CallerHandler:
    """Translates callers' HTTP requests into gateway calls.

    Args:
        daemon: The daemon.
        gateway: Forwards requests to the leader.
    """

    def __init__(self, daemon, gateway: _gateway.Gateway):
        self.daemon = daemon
        self.gateway = gateway

    async def serve(self, request: transport.Request) -> transport.Reply:
        """Handles one request and records its latency."""
        started_s = platform.boot_time_s()
        reply = await self._serve(request)
        self.daemon.metrics.observe(
            "caller_request_seconds",
            platform.boot_time_s() - started_s,
            {"method": request.method},
        )
        return reply

    async def _serve(self, request: transport.Request) -> transport.Reply:
        started_s = platform.boot_time_s()
        if self.daemon.configuration is None:
            await self._wait_for_configuration(request)
        reply = self.check_header(request, may_wait=False)
        if reply is not None:
            return reply
        configuration = self.daemon.configuration
        queue = configuration.find_queue(request.host, request.path)
        job_id = request.path[len(queue.path_prefix) :]
        caller = self.identify(queue, request.headers)
        waited_s = platform.boot_time_s() - started_s
        timeout_s = self._timeout_s(request, queue) - waited_s
        if not job_id:
            outcome = await self.gateway.pending(queue, timeout_s, caller)
        elif request.method == "POST":
            outcome = await self.gateway.submit(
                job_id, queue, request.body, timeout_s, caller
            )
        elif request.method == "GET":
            outcome = await self.gateway.state(job_id, queue, timeout_s, caller)
        else:
            outcome = await self.gateway.cancel(
                job_id, queue, timeout_s, caller
            )
        return self._reply(request, job_id, outcome, caller.decision.customer)

    async def _wait_for_configuration(self, request: transport.Request) -> None:
        """Waits for the first configuration, until the answer is due."""
        timeout_s = min(
            self._timeout_s(request, None),
            self._configuration_wait_s(),
        )
        with contextlib.suppress(TimeoutError):
            async with self.gateway.shutdown.limit():
                async with asyncio.timeout(timeout_s):
                    await self.daemon.configured.wait()

    def _configuration_wait_s(self) -> float:
        """Returns how long queries still wait for the first configuration."""
        running_s = platform.boot_time_s() - self.daemon.created_s
        return max(0.0, FIRST_CONFIGURATION_WAIT_S - running_s)

    def check_header(
        self, request: transport.Request, may_wait: bool = True
    ) -> transport.Reply | None:
        """Returns the reply to a request that its header already decides.

        Args:
            request: The request, of which the body may not be known yet.
            may_wait: Whether a query may be handled before there is a
                configuration.

        Returns:
            The reply; `None` if the request is to be handled.
        """
        configuration = self.daemon.configuration
        if configuration is None:
            # A query has no effect and no body that would be held meanwhile.
            is_query = request.method == "GET"
            if may_wait and is_query and self._configuration_wait_s():
                return None
            return self._reply(request, "", NO_CONFIGURATION)
        queue = configuration.find_queue(request.host, request.path)
        if queue is None:
            return self._unknown_queue(request)
        job_id = request.path[len(queue.path_prefix) :]
        if "/" in job_id:
            # Part of the rest may be the prefix of a queue that this daemon
            # does not know.
            return self._unknown_queue(request)
        if request.method not in METHODS:
            return self._reject(request, "bad-method", 405)
        caller = self.identify(queue, request.headers)
        names_job = JOB_ID.fullmatch(job_id)
        # Another process may be able to check the key of a query.
        is_open = (
            names_job
            and request.method == "GET"
            and caller.decision.kind is customers.Kind.UNCERTAIN
        )
        if not caller.decision.allowed and not is_open:
            return self._refuse(request, job_id, caller)
        if names_job or (not job_id and request.method == "GET"):
            return None
        status = 400 if request.method == "POST" else 410
        return self._reject(request, "bad-identifier", status)

    def identify(
        self, queue: scheduling.Queue, headers: Mapping[str, str]
    ) -> _access.Caller:
        """Returns who sends a call and whether it is accepted.

        Args:
            queue: Queue that the call names.
            headers: Headers of the call.
        """
        digest = platform.digest_of_caller(headers)
        decision = self.gateway.access.check_caller(queue, digest)
        return _access.Caller(digest, decision)

    def _refuse(
        self, request: transport.Request, job_id: str, caller: _access.Caller
    ) -> transport.Reply:
        outcome = self.gateway.refuse_access(caller.decision, "entry")
        # Anybody can send such a call, so other texts are not logged.
        job_id = job_id if JOB_ID.fullmatch(job_id) else ""
        return self._reply(request, job_id, outcome)

    def _unknown_queue(self, request: transport.Request) -> transport.Reply:
        if self.daemon.configuration_silence_s() <= CONFIGURATION_STALE_S:
            return self._reject(request, "no-queue", 404)
        outcome = _outcomes.Outcome(
            "unavailable", 1, detail="the configuration may be outdated"
        )
        return self._reply(request, "", outcome)

    def _reject(
        self, request: transport.Request, outcome: str, status: int
    ) -> transport.Reply:
        """Counts a request that names nothing here; anybody can send many."""
        self.daemon.metrics.count(
            "caller_requests_total",
            {"method": _method_label(request.method), "outcome": outcome},
        )
        return transport.Reply(status)

    def _timeout_s(
        self, request: transport.Request, queue: scheduling.Queue | None
    ) -> float:
        timeout_ms = queue.timeout_ms if queue else DEFAULT_TIMEOUT_MS
        text = request.headers.get(platform.DEADLINE_HEADER, "")
        # Digits of other scripts and very long numbers are not usable.
        if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
            timeout_ms = min(timeout_ms, int(text))
        return max(0.05, timeout_ms / 1000 - RESPONSE_MARGIN_S)

    def _reply(
        self,
        request: transport.Request,
        job_id: str,
        outcome: _outcomes.Outcome,
        customer: str = "",
    ) -> transport.Reply:
        self.daemon.metrics.count(
            "caller_requests_total",
            {
                "method": _method_label(request.method),
                "outcome": outcome.kind,
            },
        )
        if outcome.kind == "state":
            state = scheduling.JobState(outcome.value)
            return transport.Reply(200, platform.encode_job_state(state))
        if outcome.kind == "pending":
            return transport.Reply(200, platform.encode_pending(outcome.value))
        status = {
            "accepted": 200,
            "rejected": 429,
            "refused": 503,
            "unavailable": 503,
            "unknown": 504,
            "invalid": 400,
            "unauthenticated": 401,
            "uncertain": 503,
            "forbidden": 403,
            "no-queue": 404,
            "no-job": 410,
        }.get(outcome.kind, 503)
        LOG.info(
            "request_answered",
            request=request.headers.get(platform.REQUEST_ID_HEADER, ""),
            job=job_id or _job_in_path(request.path),
            customer=customer,
            method=_method_label(request.method),
            status=status,
            outcome=outcome.kind,
            detail=outcome.detail,
            version=self.daemon.version,
        )
        headers = ""
        if outcome.retry_after_s:
            headers = RETRY_AFTER_HEADER.format(outcome.retry_after_s)
        if status == 401:
            headers += platform.CHALLENGE_HEADER
        return transport.Reply(status, b"{}", headers)


def _method_label(method: str) -> str:
    """Returns a method for metrics; a caller can send any other text."""
    return method if method in METHODS else "other"


def _job_in_path(path: str) -> str:
    """Returns the identifier that ends a path, where its queue is unknown."""
    last = path.rpartition("/")[2]
    return last if JOB_ID.fullmatch(last) else ""
