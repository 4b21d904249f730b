"""Queues requests and dispatches them to workers with free slots."""

import asyncio
import collections
import itertools

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import requests
from baobabdoor import routing
from baobabdoor import slots
from baobabdoor.entry import _forwarder
from baobabdoor.entry import _pending_request

# Maximum delay in detecting an expired deadline. Polling the few requests in
# progress 20 times a second is cheaper than a timer for each request.
TICK_INTERVAL_S = 0.05


class RequestDispatcher:
    """Processes requests from admission to completion.

    Args:
        timers: Timer service.
        admission_policy: Queues requests and selects those to dispatch.
        slot_policy: Manages the slots of workers in the entry's zone.
        router: Chooses backend servers.
        forwarder: Sends requests.
    """

    def __init__(
        self,
        timers: base.TimerService,
        admission_policy: admission.AdmissionPolicy,
        slot_policy: slots.SlotPolicy,
        router: routing.Router,
        forwarder: _forwarder.Forwarder,
    ):
        self.timers = timers
        self.admission_policy = admission_policy
        self.slot_policy = slot_policy
        self.router = router
        self.forwarder = forwarder
        self.request_ids_ = itertools.count(1)
        self.queued_: dict[int, _pending_request.PendingRequest] = {}
        # Contains only pools with queued requests, so that `dispatch_queued`
        # does not iterate over all pools.
        self.queued_counts_: dict[str, int] = {}
        self.in_progress_: collections.Counter[str] = collections.Counter()
        self.tasks_: dict[int, asyncio.Task] = {}
        self.outcome_counts_: collections.Counter[str] = collections.Counter()

    def make_item(self, info: requests.RequestInfo) -> admission.WorkItem:
        """Creates the item that represents a request in the queue."""
        return admission.WorkItem(
            request_id=next(self.request_ids_),
            pool=info.pool,
            caller=info.caller,
            urgency=info.urgency,
            deadline_s=info.deadline_s,
            body_bytes=max(0, info.body_bytes),
        )

    def admit(
        self, request: _pending_request.PendingRequest
    ) -> base.Refusal | None:
        """Queues a request whose headers have been received."""
        refusal = self.admission_policy.admit(request.item, self.timers.now_s())
        if refusal is not None:
            return refusal
        request.state = _pending_request.RequestState.QUEUED
        self.queued_[request.item.request_id] = request
        pool = request.item.pool
        self.queued_counts_[pool] = self.queued_counts_.get(pool, 0) + 1
        return None

    def refusal_delay_s(self, item: admission.WorkItem) -> float:
        """Returns how long to delay the response to a refused request."""
        now_s = self.timers.now_s()
        return self.admission_policy.refusal_delay_s(item, now_s)

    def mark_ready(self, request: _pending_request.PendingRequest) -> None:
        """Marks a request as ready and queues it if it is not queued."""
        request.ready = True
        if request.state is _pending_request.RequestState.UNQUEUED:
            refusal = self.admit(request)
            if refusal is not None:
                self.complete(request, not_run(refusal))
                return
        self.dispatch_queued()

    def cancel(self, request: _pending_request.PendingRequest) -> None:
        """Cancels a request of a disconnected caller unless in progress."""
        request.abandoned = True
        if request.state in (
            _pending_request.RequestState.QUEUED,
            _pending_request.RequestState.UNQUEUED,
        ):
            detail = "the caller closed the connection"
            refusal = base.Refusal(
                base.Reason.CANCELLED, "entry.queue", detail=detail
            )
            self.complete(request, not_run(refusal))

    def complete(
        self,
        request: _pending_request.PendingRequest,
        result: _pending_request.Result,
    ) -> None:
        """Completes a request with its result, once."""
        if request.state is _pending_request.RequestState.ENDED:
            return
        if request.state is _pending_request.RequestState.QUEUED:
            self._dequeue(request)
            self.admission_policy.cancel(request.item)
        request.state = _pending_request.RequestState.ENDED
        result = request.provable_result(result)
        self.outcome_counts_[result.outcome.value] += 1
        if request.record_result is not None:
            request.record_result(result)
        request.on_result(result)

    def refuse_queued(self, refusal: base.Refusal) -> None:
        """Refuses all queued requests."""
        for request in list(self.queued_.values()):
            self.complete(request, not_run(refusal))

    def load(self) -> dict[str, capacity.PoolDemand]:
        """Returns the number of requests in progress and queued by pool."""
        return {
            pool: capacity.PoolDemand(
                self.in_progress_[pool], self.queued_counts_.get(pool, 0)
            )
            for pool in self.in_progress_.keys() | self.queued_counts_.keys()
        }

    @property
    def active(self) -> int:
        """Number of requests queued or in progress."""
        return len(self.queued_) + len(self.tasks_)

    def tick(self) -> None:
        """Expires requests and dispatches queued ones."""
        now_s = self.timers.now_s()
        for item in self.admission_policy.expire(now_s):
            request = self.queued_.get(item.request_id)
            if request is not None:
                self._expire(request)
        self.forwarder.client.expire(now_s)
        self.slot_policy.set_demand(dict(self.queued_counts_))
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Dispatches queued requests while slots are free."""
        now_s = self.timers.now_s()
        free = {}
        for pool, queued_count in self.queued_counts_.items():
            free_count = self.router.free_slots(pool, queued_count, now_s)
            if free_count > 0:
                free[pool] = free_count
        if not free:
            return
        for item in self.admission_policy.dequeue(free, now_s):
            self._dispatch(self.queued_[item.request_id], now_s)

    def _dispatch(
        self, request: _pending_request.PendingRequest, now_s: float
    ) -> None:
        self._dequeue(request)
        if not request.ready:
            # A slow body must not occupy a slot; `mark_ready` queues it again.
            request.state = _pending_request.RequestState.UNQUEUED
            self.admission_policy.release(request.item, now_s)
            return
        vm = self.router.acquire(request.info.pool, now_s)
        if not vm:
            request.state = _pending_request.RequestState.UNQUEUED
            self.admission_policy.release(request.item, now_s)
            self.complete(request, not_run(vm))
            return
        request.state = _pending_request.RequestState.DISPATCHED
        self.in_progress_[request.info.pool] += 1
        self.tasks_[request.item.request_id] = asyncio.ensure_future(
            self._run(request, vm)
        )

    async def _run(
        self, request: _pending_request.PendingRequest, vm: ownership.VmState
    ) -> None:
        try:
            result = await self.forwarder.forward(request, vm)
        except Exception as error:
            observability.get_logger("entry").exception("forward-failed")
            refusal = base.Refusal(
                base.Reason.UNKNOWN_RESULT,
                "entry.forward",
                vm.vm_id,
                str(error),
            )
            result = requests.Failure(requests.Outcome.UNKNOWN, refusal)
        del self.tasks_[request.item.request_id]
        self.in_progress_[request.info.pool] -= 1
        self.admission_policy.release(request.item, self.timers.now_s())
        self.complete(request, result)
        if request.info.pool in self.queued_counts_:
            self.dispatch_queued()

    def _expire(self, request: _pending_request.PendingRequest) -> None:
        self._dequeue(request)
        request.state = _pending_request.RequestState.UNQUEUED
        refusal = base.Refusal(base.Reason.DEADLINE_EXPIRED, "entry.queue")
        self.complete(request, not_run(refusal))

    def _dequeue(self, request: _pending_request.PendingRequest) -> None:
        del self.queued_[request.item.request_id]
        pool = request.item.pool
        remaining = self.queued_counts_[pool] - 1
        if remaining:
            self.queued_counts_[pool] = remaining
        else:
            del self.queued_counts_[pool]


def not_run(refusal: base.Refusal) -> requests.Failure:
    """Returns the failure of a request that was not sent."""
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
