"""Queues requests, dispatches them while slots are free, ends them once."""

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
from baobabdoor.entry import _work

# Bounds how late a missed deadline is noticed. A timer for each request costs
# more than looking at the few requests in progress 20 times a second.
TICK_S = 0.05


class RequestPath:
    """The way of a request from its headers to its result.

    Args:
        timers: Timer service.
        admission_policy: Queues requests and picks the next ones.
        slot_policy: Slots of the own zone's workers.
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
        self.numbers_ = itertools.count(1)
        self.queued_: dict[int, _work.Work] = {}
        # Holds only pools with queued requests, so that `pump` is short.
        self.waiting_: dict[str, int] = {}
        self.running_: collections.Counter[str] = collections.Counter()
        self.tasks_: dict[int, asyncio.Task] = {}
        self.ended_: collections.Counter[str] = collections.Counter()

    def item(self, info: requests.RequestInfo) -> admission.WorkItem:
        """Returns what admission is told of a request."""
        return admission.WorkItem(
            request_id=next(self.numbers_),
            pool=info.pool,
            caller=info.caller,
            urgency=info.urgency,
            deadline_s=info.deadline_s,
            body_bytes=max(0, info.body_bytes),
        )

    def admit(self, work: _work.Work) -> base.Refusal | None:
        """Queues a request whose headers have arrived."""
        refusal = self.admission_policy.admit(work.item, self.timers.now_s())
        if refusal is not None:
            return refusal
        work.stage = _work.Stage.QUEUED
        self.queued_[work.item.request_id] = work
        pool = work.item.pool
        self.waiting_[pool] = self.waiting_.get(pool, 0) + 1
        return None

    def refusal_delay_s(self, item: admission.WorkItem) -> float:
        """Returns how long to hold the answer of a refused request."""
        now_s = self.timers.now_s()
        return self.admission_policy.refusal_delay_s(item, now_s)

    def make_ready(self, work: _work.Work) -> None:
        """Notes that nothing but a slot is missing."""
        work.ready = True
        if work.stage is _work.Stage.PARKED:
            refusal = self.admit(work)
            if refusal is not None:
                self.end(work, not_run(refusal))
                return
        self.pump()

    def cancel(self, work: _work.Work) -> None:
        """Drops a request whose caller is gone, unless it is in progress."""
        work.abandoned = True
        if work.stage in (_work.Stage.QUEUED, _work.Stage.PARKED):
            detail = "the caller closed the connection"
            refusal = base.Refusal(
                base.Reason.CANCELLED, "entry.queue", detail=detail
            )
            self.end(work, not_run(refusal))

    def end(self, work: _work.Work, result: _work.Result) -> None:
        """Ends a request with its result."""
        if work.stage is _work.Stage.ENDED:
            return
        if work.stage is _work.Stage.QUEUED:
            self._unqueue(work)
            self.admission_policy.cancel(work.item)
        work.stage = _work.Stage.ENDED
        result = work.truthful(result)
        self.ended_[result.outcome.value] += 1
        if work.settle is not None:
            work.settle(result)
        work.finish(result)

    def abandon_queued(self) -> None:
        """Refuses all queued requests because the process ends."""
        refusal = base.Refusal(base.Reason.DRAINING, "entry.stop")
        for work in list(self.queued_.values()):
            self.end(work, not_run(refusal))

    def load(self) -> dict[str, capacity.PoolDemand]:
        """Returns the requests in progress and waiting for each pool."""
        return {
            pool: capacity.PoolDemand(
                self.running_[pool], self.waiting_.get(pool, 0)
            )
            for pool in self.running_.keys() | self.waiting_.keys()
        }

    @property
    def active(self) -> int:
        """Requests queued or in progress."""
        return len(self.queued_) + len(self.tasks_)

    def tick(self) -> None:
        """Drops expired requests and dispatches what time has made possible."""
        now_s = self.timers.now_s()
        for item in self.admission_policy.expire(now_s):
            work = self.queued_.get(item.request_id)
            if work is not None:
                self._expire(work)
        self.forwarder.client.expire(now_s)
        self.slot_policy.set_demand(dict(self.waiting_))
        self.pump()

    def pump(self) -> None:
        """Dispatches queued requests to free slots."""
        now_s = self.timers.now_s()
        free = {}
        for pool, waiting in self.waiting_.items():
            free_count = self.router.free_slots(pool, waiting, now_s)
            if free_count > 0:
                free[pool] = free_count
        if not free:
            return
        for item in self.admission_policy.dequeue(free, now_s):
            self._dispatch(self.queued_[item.request_id], now_s)

    def _dispatch(self, work: _work.Work, now_s: float) -> None:
        self._unqueue(work)
        if not work.ready:
            # A slow body must not hold a slot; `make_ready` queues it again.
            work.stage = _work.Stage.PARKED
            self.admission_policy.release(work.item, now_s)
            return
        vm = self.router.acquire(work.info.pool, now_s)
        if not vm:
            work.stage = _work.Stage.PARKED
            self.admission_policy.release(work.item, now_s)
            self.end(work, not_run(vm))
            return
        work.stage = _work.Stage.DISPATCHED
        self.running_[work.info.pool] += 1
        self.tasks_[work.item.request_id] = asyncio.ensure_future(
            self._run(work, vm)
        )

    async def _run(self, work: _work.Work, vm: ownership.VmState) -> None:
        try:
            result = await self.forwarder.forward(work, vm)
        except Exception as error:
            observability.get_logger("entry").exception("forward-failed")
            refusal = base.Refusal(
                base.Reason.UNKNOWN_RESULT,
                "entry.forward",
                vm.vm_id,
                str(error),
            )
            result = requests.Failure(requests.Outcome.UNKNOWN, refusal)
        del self.tasks_[work.item.request_id]
        self.running_[work.info.pool] -= 1
        self.admission_policy.release(work.item, self.timers.now_s())
        self.end(work, result)
        if work.info.pool in self.waiting_:
            self.pump()

    def _expire(self, work: _work.Work) -> None:
        self._unqueue(work)
        work.stage = _work.Stage.PARKED
        refusal = base.Refusal(base.Reason.DEADLINE_EXPIRED, "entry.queue")
        self.end(work, not_run(refusal))

    def _unqueue(self, work: _work.Work) -> None:
        del self.queued_[work.item.request_id]
        pool = work.item.pool
        left = self.waiting_[pool] - 1
        if left:
            self.waiting_[pool] = left
        else:
            del self.waiting_[pool]


def not_run(refusal: base.Refusal) -> requests.Failure:
    """Returns the failure of a request that was not sent anywhere."""
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
