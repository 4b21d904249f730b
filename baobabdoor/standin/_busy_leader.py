"""Plays load against a scheduler whose decisions take processor time.

Time is charged for each call that a decision makes, so that a slow processor
is reproduced on any machine. Submissions, reports, commits and planning passes
wait for each other in the order in which they arrive, as on an event loop.
"""

import collections
from collections.abc import Callable
import cProfile
import itertools
import math

import attrs

from baobabdoor import scheduling
from baobabdoor.standin import _load_model

# Processor time of a function call and of a return, in seconds: the mean over
# the decisions of a leader.
EVENT_S = 80e-9
# Time after which a caller gives up waiting for an answer, in seconds.
ANSWER_TIMEOUT_S = 3.0
# Time between two passes of a leader without load, in seconds.
TIME_STEP_S = 0.01


class CallClock:
    """Measures a call by the number of calls that it makes.

    Example:
        >>> clock = CallClock()
        >>> clock.measure(lambda: None) < clock.measure(lambda: sorted("abc"))
        True
    """

    def __init__(self):
        self.events_ = itertools.count()
        self.profile_ = cProfile.Profile(
            self.events_.__next__, 1.0, subcalls=False
        )

    def measure(self, function: Callable[[], object]) -> int:
        """Calls a function; returns the number of calls and returns."""
        before = next(self.events_)
        self.profile_.enable()
        try:
            function()
        finally:
            self.profile_.disable()
        return next(self.events_) - before


@attrs.define(eq=False)
class _Work:
    """Work that waits for the event loop.

    Attributes:
        function: Does the work.
        since_s: Time since which it waits.
        is_pass: Whether it is a planning pass.
    """

    function: Callable[[], object]
    since_s: float
    is_pass: bool = False


class BusyLeaderModel(_load_model.LoadModel):
    """A fleet whose leader has a part of a processor.

    Args:
        processor_share: Processor time per time; infinite for decisions that
            take no time.
        *args: As of `LoadModel`.
        **kwargs: As of `LoadModel`.

    Attributes:
        spent_s: Processor time of all decisions, in seconds.
        longest_wait_s: Longest wait of work for the event loop.
    """

    def __init__(self, processor_share: float, *args, **kwargs):
        self.processor_share = processor_share
        self.clock_ = CallClock()
        self.work_: collections.deque[_Work] = collections.deque()
        self.budget_s_ = 0.0
        self.pass_waits_ = False
        self.pacing_ = scheduling.PassPacing()
        self.next_pass_s_ = 0.0
        self.holds_waiting_: set[str] = set()
        self.spent_s = 0.0
        self.longest_wait_s = 0.0
        super().__init__(*args, time_step_s=TIME_STEP_S, **kwargs)

    def _step(self) -> None:
        self.scheduler.store_ms = self.now_s * 1000
        if self._is_due(_load_model.LIST_INTERVAL_S):
            self._list_vms()
        elif self.worker_delay_s[1]:
            self._start_workers()
        self._submit_jobs()
        for number, worker in enumerate(list(self.scheduler.workers.values())):
            if self._is_due(_load_model.HOLD_INTERVAL_S, number):
                self._request_hold(worker)
        self._request_pass()
        self._refill_move_tokens()
        self._work_off()
        in_pools = sum(vm.pool != _load_model.STANDBY_POOL for vm in self.vms)
        self.vm_seconds += in_pools * self.time_step_s

    def _work_off(self) -> None:
        """Does the work for which there is processor time in this step."""
        # What was not used is lost; what was overdrawn is paid back.
        self.budget_s_ = min(0.0, self.budget_s_) + (
            self.time_step_s * self.processor_share
        )
        while self.work_ and self.budget_s_ > 0:
            work = self.work_.popleft()
            wait_s = self.now_s - work.since_s
            self.longest_wait_s = max(self.longest_wait_s, wait_s)
            cost_s = self.clock_.measure(work.function) * EVENT_S
            self.spent_s += cost_s
            self.budget_s_ -= cost_s
            if work.is_pass:
                duration_s = cost_s / self.processor_share
                delay_s = self.pacing_.pause_s + wait_s + duration_s
                self.scheduler.shedder.observe(delay_s, self.now_s)
                self.pacing_.observe(duration_s)
                self.next_pass_s_ = (
                    self.now_s + duration_s + self.pacing_.pause_s
                )

    def _enqueue(
        self, function: Callable[[], object], is_pass: bool = False
    ) -> None:
        self.work_.append(_Work(function, self.now_s, is_pass))

    def _request_hold(self, worker: scheduling.Worker) -> None:
        # The next hold of a worker follows the report of the one before.
        worker_id = worker.worker_id
        if worker_id in self.holds_waiting_:
            return
        self.holds_waiting_.add(worker_id)

        def hold():
            self.holds_waiting_.discard(worker_id)
            self._hold(worker)

        self._enqueue(hold)

    def _request_pass(self) -> None:
        if self.pass_waits_ or self.now_s < self.next_pass_s_:
            return
        self.pass_waits_ = True

        def run_pass():
            self.pass_waits_ = False
            self._commit()
            self._execute(self.scheduler.plan(self.now_s, True))
            self.scheduler.maintenance.plan(self.now_s)
            for move in self.scheduler.autoscaler.plan(self.now_s):
                self._order_move(move)

        self._enqueue(run_pass, is_pass=True)

    def _submit_jobs(self) -> None:
        for job in self.jobs:
            due = self.now_s >= job.next_try_s
            if job.accepted or not due or job.tries >= _load_model.MAX_TRIES:
                continue
            job.tries += 1
            job.next_try_s = math.inf
            self._enqueue(
                lambda job=job, at_s=self.now_s: self._receive(job, at_s)
            )

    def _receive(self, job: _load_model.CallerJob, sent_s: float) -> None:
        if self.now_s - sent_s > ANSWER_TIMEOUT_S:
            # The caller has left, and its request with it.
            return
        self._submit(job)
