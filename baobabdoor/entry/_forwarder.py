"""Sends one request to a backend server, and elsewhere if that may be done."""

from baobabdoor import base
from baobabdoor import ownership
from baobabdoor import requests
from baobabdoor import routing
from baobabdoor import timeline
from baobabdoor.entry import _backend_client
from baobabdoor.entry import _work

# Three servers of a pool rarely fail for reasons that a fourth does not share.
MAX_ATTEMPTS = 3
# A deadline shorter than this says nothing about the server that missed it.
MIN_TIMEOUT_FOR_HEALTH_S = 1.0
NOT_FORWARDED = frozenset(
    ("Baobabdoor-Deadline-Ms", "Content-Length", "Expect")
)


class Forwarder:
    """Runs the attempts of a request.

    Args:
        timers: Timer service.
        router: Chooses backend servers.
        client: Sends requests.
        retry_budget: Limits retries of requests that may have run.
        recorder: Time line of the process.
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
        self, work: _work.Work, vm: ownership.VmState
    ) -> _work.Result:
        """Forwards a request; `vm` is a worker whose slot has been taken."""
        self.retry_budget.observe()
        exchange = requests.Exchange()
        outgoing = self._outgoing(work)
        excluded: list[str] = []
        while True:
            result = await self._attempt(work, vm, outgoing, exchange)
            excluded.append(vm.vm_id)
            leaving = self._leaving(result)
            if result and not leaving:
                return result
            following = self._following(work, exchange, excluded, leaving)
            if not following:
                return result if result else exchange.fail(result)
            vm = following

    async def _attempt(
        self,
        work: _work.Work,
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
                    vm.vm_id, self.timers.now_s(), work.info.pool
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
        taken_s: float,
    ) -> None:
        if self._leaving(result):
            self.recorder.record("routing.leaving", peer=vm.vm_id)
            self.router.observe_leaving(vm, now_s)
            self.router.view.observe_leaving(vm.vm_id)
        elif isinstance(result, requests.Response):
            self.router.observe(vm, True, now_s)
        elif self._server_failed(
            result.reason, taken_s
        ) and self.router.observe(vm, False, now_s):
            reason = result.reason.value
            self.recorder.record(
                "routing.ejected", peer=vm.vm_id, reason=reason
            )

    def _server_failed(self, reason: base.Reason, taken_s: float) -> bool:
        if reason is base.Reason.DEADLINE_EXPIRED:
            return taken_s >= MIN_TIMEOUT_FOR_HEALTH_S
        return reason in (
            base.Reason.CONNECTION_FAILED,
            base.Reason.INCOMPLETE_ANSWER,
        )

    def _leaving(self, result: requests.Response | base.Refusal) -> bool:
        return isinstance(result, requests.Response) and result.closing_503

    def _following(
        self,
        work: _work.Work,
        exchange: requests.Exchange,
        excluded: list[str],
        leaving: bool,
    ) -> ownership.VmState | base.Refusal:
        step = "entry.retry"
        now_s = self.timers.now_s()
        if exchange.attempts >= MAX_ATTEMPTS or now_s >= work.info.deadline_s:
            return base.Refusal(base.Reason.TIMEOUT, step)
        allowed = exchange.may_retry(work.info.idempotent) or (
            leaving and work.info.idempotent
        )
        if not allowed or work.abandoned:
            return base.Refusal(base.Reason.UNKNOWN_RESULT, step)
        if exchange.ever_sent and not self.retry_budget.acquire(now_s):
            return base.Refusal(base.Reason.BUDGET_EXHAUSTED, step)
        return self.router.acquire(work.info.pool, now_s, excluded)

    def _outgoing(self, work: _work.Work) -> _backend_client.OutgoingRequest:
        dropped = _backend_client.connection_headers(work.headers)
        headers = [
            pair
            for pair in work.headers.get_all()
            if pair[0] not in NOT_FORWARDED and pair[0] not in dropped
        ]
        left_s = work.info.deadline_s - self.timers.now_s()
        left_ms = max(0, int(left_s * 1000))
        headers.append(("Baobabdoor-Deadline-Ms", str(left_ms)))
        if work.body or work.info.body_bytes:
            headers.append(("Content-Length", str(len(work.body))))
        return _backend_client.OutgoingRequest(
            method=work.method,
            target=work.target,
            headers=headers,
            body=work.body,
            deadline_s=work.info.deadline_s,
        )
