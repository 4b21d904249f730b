"""Sends a request to a backend server and retries it on others if allowed."""

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import requests
from baobabdoor import routing
from baobabdoor import timeline
from baobabdoor.entry import _backend_client
from baobabdoor.entry import _messages
from baobabdoor.entry import _pending_request

# If three servers of a pool fail, a fourth probably fails for the same reason.
MAX_ATTEMPTS = 3
# Missing a shorter deadline does not indicate an unhealthy server.
MIN_TIMEOUT_FOR_HEALTH_S = 1.0
NOT_FORWARDED = frozenset(
    ("Baobabdoor-Deadline-Ms", "Content-Length", "Expect")
)


class Forwarder:
    """Forwards requests and retries them.

    Args:
        timers: Timer service.
        router: Chooses backend servers.
        client: Sends requests.
        retry_budget: Limits the retries of requests that may have run.
        recorder: Records timeline events.
    """

    def __init__(
        self,
        timers: base.TimerService,
        router: routing.Router,
        client: _backend_client.BackendClient,
        retry_budget: requests.RetryBudget,
        recorder: timeline.EventRecorder,
    ):
        self.timers = timers
        self.router = router
        self.client = client
        self.retry_budget = retry_budget
        self.recorder = recorder

    async def forward(
        self, request: _pending_request.PendingRequest, vm: ownership.VmState
    ) -> _pending_request.Result:
        """Forwards a request to `vm`, whose slot is already acquired."""
        self.retry_budget.observe()
        exchange = requests.Exchange()
        outgoing = self._make_outgoing(request)
        excluded: list[str] = []
        while True:
            result = await self._attempt(request, vm, outgoing, exchange)
            excluded.append(vm.vm_id)
            leaving = self._is_leaving(result)
            if result and not leaving:
                return result
            next_vm = self._choose_next(request, exchange, excluded, leaving)
            if not next_vm:
                return result if result else exchange.fail(result)
            vm = next_vm

    async def _attempt(
        self,
        request: _pending_request.PendingRequest,
        vm: ownership.VmState,
        outgoing: _backend_client.OutgoingRequest,
        exchange: requests.Exchange,
    ) -> requests.Response | base.Refusal:
        exchange.begin()
        started_s = self.timers.now_s()
        try:
            result = await self.client.send(
                vm.vm_id,
                vm.address,
                outgoing,
                exchange,
                lambda: self.router.view.permit(
                    vm.vm_id, self.timers.now_s(), request.info.pool
                ),
            )
        finally:
            now_s = self.timers.now_s()
            self.router.release(vm.vm_id, now_s)
        self._observe(vm, result, now_s, now_s - started_s)
        return result

    def _observe(
        self,
        vm: ownership.VmState,
        result: requests.Response | base.Refusal,
        now_s: float,
        duration_s: float,
    ) -> None:
        if self._is_leaving(result):
            self.recorder.record("routing.leaving", peer=vm.vm_id)
            self.router.observe_leaving(vm, now_s)
            self.router.view.observe_leaving(vm.vm_id)
        elif isinstance(result, requests.Response):
            self.router.observe(vm, True, now_s)
        elif self._server_failed(
            result.reason, duration_s
        ) and self.router.observe(vm, False, now_s):
            reason = result.reason.value
            self.recorder.record(
                "routing.ejected", peer=vm.vm_id, reason=reason
            )

    def _server_failed(self, reason: base.Reason, duration_s: float) -> bool:
        if reason is base.Reason.DEADLINE_EXPIRED:
            return duration_s >= MIN_TIMEOUT_FOR_HEALTH_S
        return reason in (
            base.Reason.CONNECTION_FAILED,
            base.Reason.INCOMPLETE_ANSWER,
        )

    def _is_leaving(self, result: requests.Response | base.Refusal) -> bool:
        return isinstance(result, requests.Response) and result.closing_503

    def _choose_next(
        self,
        request: _pending_request.PendingRequest,
        exchange: requests.Exchange,
        excluded: list[str],
        leaving: bool,
    ) -> ownership.VmState | base.Refusal:
        step = "entry.retry"
        if self.client.closing:
            return base.Refusal(base.Reason.DRAINING, step)
        now_s = self.timers.now_s()
        if (
            exchange.attempts >= MAX_ATTEMPTS
            or now_s >= request.info.deadline_s
        ):
            return base.Refusal(base.Reason.TIMEOUT, step)
        allowed = exchange.may_retry(request.info.idempotent) or (
            leaving and request.info.idempotent
        )
        if not allowed or request.abandoned:
            return base.Refusal(base.Reason.UNKNOWN_RESULT, step)
        if exchange.ever_sent and not self.retry_budget.acquire(now_s):
            return base.Refusal(base.Reason.BUDGET_EXHAUSTED, step)
        return self.router.acquire(request.info.pool, now_s, excluded)

    def _make_outgoing(
        self, request: _pending_request.PendingRequest
    ) -> _backend_client.OutgoingRequest:
        hop_by_hop = _messages.hop_by_hop_headers(request.headers)
        headers = [
            pair
            for pair in request.headers.get_all()
            if pair[0] not in NOT_FORWARDED and pair[0] not in hop_by_hop
        ]
        remaining_s = request.info.deadline_s - self.timers.now_s()
        remaining_ms = max(0, int(remaining_s * 1000))
        headers.append(("Baobabdoor-Deadline-Ms", str(remaining_ms)))
        if request.body or request.info.body_bytes:
            headers.append(("Content-Length", str(len(request.body))))
        return _backend_client.OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
            deadline_s=request.info.deadline_s,
        )
