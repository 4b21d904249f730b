"""Speculative execution: second runs of late tasks whose steps allow them.

The first end `done` of two runs completes the task, and the other run is
stopped at once. A task never has more than two runs that may exist.
"""

from collections.abc import Iterable
import math

import attrs

from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _order_handling
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _placement
from baobabdoor.scheduling import _stalls
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_choice

# Time between two checks, in seconds; reports are hardly more frequent, and a
# check takes a few microseconds for each run of a step that allows duplicates.
CHECK_INTERVAL_S = 0.2
# Maximum share of a pool's cores that duplicates use. If 3% of the tasks need
# one of mean duration, that is 3% of the cores; the rest is for the runs of a
# silent worker.
MAX_SHARE = 0.125
# Minimum ratio of the remaining time of a run to the duration of a new one. The
# duplicate costs a new duration and gains at least half of it.
MIN_RATIO = 1.5
# The same for the time since the start of a run without reported progress.
MIN_ELAPSED_RATIO = 2.0
# Minimum time that a duplicate gains, above what its start takes, in seconds.
MIN_GAIN_S = 0.2
# Runtime from which the progress of a run shows its speed: the larger of a time
# in seconds and a share of the expected duration.
MIN_RUNTIME_S = 0.3
MIN_RUNTIME_SHARE = 0.5
# Time without an answer after which a worker counts as silent: more than a
# single lost order, far less than a lease.
SILENCE_S = 0.4
# Minimum time between two events about withheld duplicates of a pool.
WITHHELD_INTERVAL_S = 1.0
SILENT = "worker silent"


@attrs.frozen
class LateRun:
    """A run whose task is to get a duplicate.

    Attributes:
        run: The run.
        reason: Why it is late.
        gain_s: Time that a duplicate is expected to gain, in seconds.
        expected_s: Expected duration of a new run, in seconds.
        ratio: Ratio that its remaining time had to exceed.
    """

    run: _job.Run
    reason: str
    gain_s: float
    expected_s: float
    ratio: float


@attrs.define
class _PoolState:
    """Late runs and duplicates of a pool.

    Attributes:
        late: Late runs.
        cores_milli: CPU of the workers in service, in thousandths of a core.
        used_milli: CPU of the duplicates.
    """

    late: list[LateRun] = attrs.field(factory=list)
    cores_milli: int = 0
    used_milli: int = 0

    @property
    def bound_milli(self) -> int:
        """CPU that duplicates may use."""
        return int(self.cores_milli * MAX_SHARE)


def assess_progress(
    run: _job.Run, expected_s: float, spread: float, now_s: float
) -> LateRun | None:
    """Returns a run as late if a new run is expected to end well before it.

    Args:
        run: A confirmed run on a worker that reports.
        expected_s: Expected duration of a new run.
        spread: Standard deviation of the logarithms of durations.
        now_s: Current time.
    """
    if now_s - run.progressed_s > _stalls.STALL_S:
        return LateRun(run, "no progress", expected_s, expected_s, 0.0)
    if run.percent <= 0:
        elapsed_s = now_s - run.started_s
        ratio = max(MIN_ELAPSED_RATIO, math.exp(2 * spread))
        late = elapsed_s > max(ratio * expected_s, expected_s + MIN_GAIN_S)
        return LateRun(run, "late", 0.0, expected_s, ratio) if late else None
    # The progress dates from the report that showed it.
    ran_s = run.progressed_s - run.started_s
    if ran_s < max(MIN_RUNTIME_S, MIN_RUNTIME_SHARE * expected_s):
        return None
    remaining_s = ran_s * (100 - run.percent) / run.percent
    remaining_s -= now_s - run.progressed_s
    ratio = max(MIN_RATIO, math.exp(spread))
    late = remaining_s > max(ratio * expected_s, expected_s + MIN_GAIN_S)
    gain_s = remaining_s - expected_s
    return LateRun(run, "slow", gain_s, expected_s, ratio) if late else None


def choose(late: Iterable[LateRun], room_milli: int) -> list[LateRun]:
    """Returns the late runs that get a duplicate, within a bound of CPU.

    Those of timely jobs come first, then those of silent workers, then those
    with the largest gain.
    """
    ranked = sorted(
        late,
        key=lambda entry: (
            not entry.run.task.job.timely,
            entry.reason != SILENT,
            -entry.gain_s,
        ),
    )
    chosen = []
    for entry in ranked:
        cpu_milli = entry.run.task.spec.cpu_milli
        if cpu_milli <= room_milli:
            room_milli -= cpu_milli
            chosen.append(entry)
    return chosen


def may_adopt(task: _job.Task, worker: _worker.Worker) -> bool:
    """Returns whether a task has room for a run that a worker reports."""
    if task.run is None:
        return True
    return (
        task.may_have_duplicate
        and task.duplicate is None
        and task.run.worker_id != worker.worker_id
        and task.name not in worker.runs
    )


def is_redundant(scheduler, run: _job.Run, now_s: float) -> bool:
    """Returns whether a run is a duplicate of one that certainly goes on."""
    first = run.task.run
    if run.task.duplicate is not run or first.stopping or not first.confirmed:
        return False
    worker = scheduler.workers.get(first.worker_id)
    return worker is not None and worker.responsive(now_s)


class Duplicates:
    """Starts duplicates of late runs and ends what is left of two runs.

    Args:
        scheduler: Scheduler with the jobs and workers.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        # Pools in which tasks wait for room, as of the current planning pass.
        self.waiting: set[str] = set()
        self.checked_s = -math.inf
        # Time of the last event about withheld duplicates, by pool.
        self.withheld_s: dict[str, float] = {}
        # Expected duration and spread in the current check, by queue and
        # estimate.
        self.expected_: dict[tuple[str, int], tuple[float, float]] = {}

    def prepare(self) -> None:
        """Begins a planning pass."""
        self.waiting.clear()

    def observe_waiting(
        self, tasks: list[_job.Task], workers: list[_worker.Worker]
    ) -> None:
        """Records that tasks of a step found no room in this planning pass.

        Suspects may wait for a trial although there is room, and no room comes
        for tasks that fit on no worker.
        """
        spec = tasks[0].spec
        queues = self.scheduler.configuration.queues
        pool = queues[tasks[0].job.spec.queue].pool
        if pool in self.waiting or all(task.accused for task in tasks):
            return
        if any(worker.could_fit(spec) for worker in workers):
            self.waiting.add(pool)

    # Starts.

    def place(self, now_s: float) -> list[_orders.WorkerOrder]:
        """Returns the starts of duplicates that are due."""
        if now_s - self.checked_s < CHECK_INTERVAL_S:
            return []
        self.checked_s = now_s
        orders = []
        for name, pool in self._find_late(now_s).items():
            if pool.late:
                orders += self._place_pool(name, pool, now_s)
        return orders

    def _find_late(self, now_s: float) -> dict[str, _PoolState]:
        """Returns the late runs of each pool, with its duplicates."""
        self.expected_.clear()
        pools: dict[str, _PoolState] = {}
        for worker in self.scheduler.workers.values():
            pool = pools.setdefault(worker.record.pool, _PoolState())
            if worker.in_service(now_s):
                pool.cores_milli += worker.record.cpu_milli
            for run in worker.runs.values():
                task = run.task
                if not task.may_have_duplicate:
                    continue
                if task.duplicate is run or task.done:
                    pool.used_milli += task.spec.cpu_milli
                elif task.duplicate is None:
                    late = self._assess(worker, run, now_s)
                    if late is not None and self._is_eligible(task, now_s):
                        pool.late.append(late)
        return pools

    def allows(self, task: _job.Task) -> bool:
        """Returns whether a late task gets a duplicate rather than a stop.

        A crash of a worker must show which task caused it. The attempts must
        suffice for both runs to fail, so that a failed duplicate never ends
        the job while the first run goes on.
        """
        if not task.may_have_duplicate or task.accused or task.given_up:
            return False
        job = task.job
        queue = self.scheduler.configuration.queues.get(job.spec.queue)
        return (
            queue is not None
            and job.failed_attempts(task) + 2 <= queue.max_attempts
        )

    def _is_eligible(self, task: _job.Task, now_s: float) -> bool:
        """Returns whether a task with one run may have a second one now."""
        job, scheduler = task.job, self.scheduler
        if job.final or not self.allows(task):
            return False
        if now_s < max(task.retry_at_s, job.suspended_until_s):
            return False
        # Its second run of an earlier term may not have been reported yet.
        return not (task.inherited and scheduler.inherited_blocked())

    def _assess(
        self, worker: _worker.Worker, run: _job.Run, now_s: float
    ) -> LateRun | None:
        """Returns a run if it is late."""
        if now_s - run.started_s < MIN_RUNTIME_S:
            return None
        if _is_silent(worker, now_s):
            if _crashes.is_starting(worker, run):
                # It may have crashed the worker, so its next start is a trial.
                return None
            expected_s, _ = self._expect(run.task)
            return LateRun(run, SILENT, expected_s, expected_s, 0.0)
        if run.stopping or not run.confirmed:
            return None
        if now_s - worker.last_report_s > _stalls.MAX_REPORT_AGE_S:
            return None
        return assess_progress(run, *self._expect(run.task), now_s)

    def _expect(self, task: _job.Task) -> tuple[float, float]:
        """Returns the expected duration of a new run, and the spread."""
        queue, spec = task.job.spec.queue, task.spec
        key = (queue, spec.estimate_ms)
        if key not in self.expected_:
            durations = self.scheduler.durations
            self.expected_[key] = (
                durations.predict_s(queue, spec),
                durations.spread(queue),
            )
        return self.expected_[key]

    def _place_pool(
        self, name: str, pool: _PoolState, now_s: float
    ) -> list[_orders.WorkerOrder]:
        """Starts the duplicates of a pool for which there is room."""
        if name in self.waiting:
            self._emit_withheld(name, pool, "tasks wait for room", now_s)
            return []
        chosen = choose(pool.late, pool.bound_milli - pool.used_milli)
        if len(chosen) < len(pool.late):
            self._emit_withheld(name, pool, "bound reached", now_s)
        workers = self._sound_workers(name, now_s) if chosen else []
        orders = []
        for late in chosen:
            try:
                order = self._start(late, pool, workers, now_s)
            except Exception as error:
                self._release_unsent(late.run.task)
                _placement.suspend(
                    self.scheduler, late.run.task.job, now_s, error
                )
                continue
            if order is not None:
                orders.append(order)
        if len(orders) < len(chosen):
            self._emit_withheld(name, pool, "no room or quota", now_s)
        return orders

    def _sound_workers(self, pool: str, now_s: float) -> list[_worker.Worker]:
        """Returns the workers of a pool that may start duplicates."""
        scheduler = self.scheduler
        workers = [
            worker
            for worker in scheduler.workers.values()
            if worker.record.pool == pool
            and worker.usable(now_s)
            and not worker.capacity_outdated
            and not scheduler.unneeded_runs.get(worker.worker_id)
        ]
        return scheduler.trials.unreserved_workers(workers)

    def _start(
        self,
        late: LateRun,
        pool: _PoolState,
        workers: list[_worker.Worker],
        now_s: float,
    ) -> _orders.StartOrder | None:
        """Starts the duplicate of a late run, if a worker has room for it."""
        scheduler, run, task = self.scheduler, late.run, late.run.task
        if not scheduler.quotas.may_duplicate(task) or self._is_unneeded(task):
            return None
        first = scheduler.workers[run.worker_id]
        excluded = task.avoided_workers | task.refusing_workers
        others = [
            worker
            for worker in workers
            if worker.worker_id != run.worker_id
            and worker.worker_id not in excluded
            and task.name not in worker.runs
        ]
        allowed = scheduler.advice.eligible_workers(task, others, now_s)
        rack = _worker_choice.rack_of(first)
        elsewhere = [
            worker
            for worker in allowed
            if _worker_choice.rack_of(worker) != rack
        ]
        worker = _worker_choice.choose_worker(
            task, elsewhere
        ) or _worker_choice.choose_worker(task, allowed)
        if worker is None:
            scheduler.advice.request_tickets(task, others, now_s)
            return None
        order = _order_handling.start_order(scheduler, worker, task, now_s)
        scheduler.emit_run(
            "duplicate_ordered",
            task.duplicate,
            reason=late.reason,
            first_run=run.run_id,
            first_worker=run.worker_id,
            percent=run.percent,
            ran_ms=round((now_s - run.started_s) * 1000),
            expected_ms=round(late.expected_s * 1000),
            gain_ms=round(late.gain_s * 1000),
            ratio=round(late.ratio, 2),
            used_milli=pool.used_milli,
            bound_milli=pool.bound_milli,
            resumed=task.checkpoint_source if order.checkpoint else "",
        )
        if late.reason == "no progress":
            _stalls.observe_stall(scheduler, first, run, now_s)
        return order

    def _is_unneeded(self, task: _job.Task) -> bool:
        """Returns whether a run that is not the task's is to be stopped."""
        return any(
            name == task.name
            for runs in self.scheduler.unneeded_runs.values()
            for name, _ in runs
        )

    def _release_unsent(self, task: _job.Task) -> None:
        """Releases a duplicate whose start was interrupted by an error."""
        run = task.duplicate
        if run is not None:
            worker = self.scheduler.workers[run.worker_id]
            self.scheduler.release_run(worker, run, "plan failed")

    def _emit_withheld(
        self, name: str, pool: _PoolState, reason: str, now_s: float
    ) -> None:
        last_s = self.withheld_s.get(name, -math.inf)
        if now_s - last_s < WITHHELD_INTERVAL_S:
            return
        self.withheld_s[name] = now_s
        self.scheduler.emit(
            "duplicates_withheld",
            pool=name,
            reason=reason,
            late=len(pool.late),
            used_milli=pool.used_milli,
            bound_milli=pool.bound_milli,
        )

    # Ends.

    def stop_others(self, task: _job.Task, run: _job.Run | None) -> None:
        """Stops the runs of a task that is done, except the one that ended."""
        for other in task.runs:
            if other is run or other.stopping:
                continue
            other.stopping = True
            self.scheduler.emit_run(
                "duplicate_stopped",
                other,
                percent=other.percent,
                was_first=other is task.run,
                done_run=run.run_id if run is not None else 0,
            )

    def remove_run(self, run: _job.Run) -> None:
        """Removes a run that has ended from its task."""
        task = run.task
        replaced = task.run is run and task.duplicate is not None
        task.remove_run(run)
        if replaced and task.accused:
            # The next leader learns from the row whether this run ends in a
            # crash.
            self.scheduler.mark_dirty(task.job)


def _is_silent(worker: _worker.Worker, now_s: float) -> bool:
    """Returns whether a worker has given no sign of life for some time."""
    if worker.report_overdue(now_s):
        return True
    return worker.silent and now_s - worker.silent_from_s > SILENCE_S
