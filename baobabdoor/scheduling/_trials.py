"""Chooses where tasks start that may crash their workers.

A suspect starts on a worker that starts nothing else for a moment, so that a
crash after its start is certainly due to it.

Where so many suspects wait that they would start too late one by one, those of
a single crash start in groups. If a group survives, all of its members are
cleared; if not, each of them starts alone next.
"""

import collections
from collections.abc import Container
from collections.abc import Sequence
import math

import attrs

from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_choice

# Maximum time that a task waits for a worker of its own, and within which all
# suspects are to be tried: less than half of the 3 s within which the platform
# requires a start if there is room.
MAX_WAIT_S = 1.4
# Time after which a suspect starts beside any other runs but those of another
# trial. A crash may then prove nothing, but `_crashes` gives it up after a
# limited number in any case.
UNPROVEN_WAIT_S = 2 * MAX_WAIT_S
# Trials one after the other on a worker within MAX_WAIT_S. A worker has to
# become free before each of them.
TRIAL_ROUNDS = MAX_WAIT_S / (2 * _crashes.TRIAL_S)
# Maximum number of machines that a pool gets to try its suspects, so that some
# remain while others restart after a crash.
MAX_TRIAL_MACHINES = 3
# Maximum share of a pool's workers that start nothing but suspects.
MAX_RESERVED_SHARE = 0.5


@attrs.frozen
class _Reservation:
    """A worker that starts nothing else until a suspect fits on it.

    Attributes:
        task: The suspect, or the first task of its gang.
        until_s: Time at which it ends unless the suspect still waits.
    """

    task: _job.Task
    until_s: float


@attrs.define
class _Group:
    """Suspects that start together on a worker.

    Attributes:
        size: Number of its members.
        max_size: Maximum number of members.
    """

    size: int
    max_size: int


@attrs.define
class _Backlog:
    """Suspects of a pool that found no worker and may start in groups.

    Attributes:
        count: Number of them.
        since_s: Time from which the first of them waits.
    """

    count: int = 0
    since_s: float = math.inf


class TrialPlacement:
    """Keeps the starts of suspects apart from other starts.

    Args:
        crashes: Crashes that are held against tasks.
    """

    def __init__(self, crashes: _crashes.CrashTracker):
        self.crashes = crashes
        # Workers that start nothing else, to become free for a suspect.
        self.reservations: dict[str, _Reservation] = {}
        # Workers that start nothing else because they have just started a
        # suspect, and those that run a task that needs a worker of its own.
        self.trial_workers: set[str] = set()
        self.isolated_workers: set[str] = set()
        # Groups that start in the current plan, by worker.
        self.groups: dict[str, _Group] = {}
        # Suspects that waited in the plan before, by pool.
        self.backlogs: dict[str, _Backlog] = {}
        # Number of tasks against whose start each crash is held.
        self.sharers: collections.Counter[str] = collections.Counter()
        # Time from which only workers that are kept for suspects have room for
        # the tasks of a step.
        self.held_back_s: dict[str, float] = {}
        # Until when no trials start in a pool, so that other tasks can start.
        self.paused_until_s: dict[str, float] = {}

    def prepare(self, now_s: float) -> None:
        """Finds the workers that start nothing else because of a suspect."""
        self.reservations = {
            worker_id: reservation
            for worker_id, reservation in self.reservations.items()
            if reservation.until_s > now_s
        }
        self.trial_workers = set()
        self.isolated_workers = set()
        self.groups.clear()
        self.backlogs.clear()
        self.sharers.clear()
        if not self.crashes.accused_tasks:
            self.held_back_s.clear()
            return
        self.crashes.discard_ended()
        for task in self.crashes.accused_tasks:
            self.sharers.update(task.start_crashes)
            if task.run is None:
                self._count_waiting(task)
            if not _crashes.is_suspect(task):
                continue
            for run in task.runs:
                if _crashes.must_isolate(task):
                    self.isolated_workers.add(run.worker_id)
                if now_s - run.started_s < _crashes.TRIAL_S:
                    self.trial_workers.add(run.worker_id)

    def _count_waiting(self, task: _job.Task) -> None:
        queues = self.crashes.scheduler.configuration.queues
        queue = queues.get(task.job.spec.queue)
        if (
            queue is None
            or task.trial_wanted_s is None
            or not _may_join_group(task)
        ):
            return
        backlog = self.backlogs.setdefault(queue.pool, _Backlog())
        backlog.count += 1
        backlog.since_s = min(backlog.since_s, task.trial_wanted_s)

    def required_machines(self, pool: str) -> int:
        """Returns how many machines a pool needs to try its suspects in time.

        Jobs that are late request no machines, but each crash takes one away.
        """
        queues = self.crashes.scheduler.configuration.queues
        waiting = 0
        for task in self.crashes.accused_tasks:
            queue = queues.get(task.job.spec.queue)
            if task.step_name in self.crashes.scheduler.quotas.waiting:
                continue
            if queue is not None and queue.pool == pool and task.run is None:
                waiting += _crashes.is_suspect(task)
        return min(math.ceil(waiting / TRIAL_ROUNDS), MAX_TRIAL_MACHINES)

    def must_wait(self, task: _job.Task) -> bool:
        """Returns whether a task must not start before its job is stored.

        Repeated crashes are stored before the next start, so that the next
        leader knows them.
        """
        return (
            task.accused_revision > task.job.saved_revision
            and len(task.crashes | task.start_crashes) > 1
        )

    def allowed_workers(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> list[_worker.Worker]:
        """Returns the workers on which a task may start now."""
        if not self.crashes.accused_tasks:
            return workers
        if not _crashes.is_suspect(task):
            return self._workers_for_others(task, workers, now_s)
        waited_s = self._observe_wait([task], workers, now_s)
        candidates = self._trial_candidates(workers, waited_s, now_s)
        suitable = [
            worker
            for worker in candidates
            if _worker_choice.may_run(worker, task)
            and _is_suitable(task, worker, waited_s, now_s)
        ]
        if not suitable:
            joined = self._join_group(task, workers)
            if not joined:
                self._reserve([task], candidates, len(workers), now_s)
            return joined
        best = min(suitable, key=lambda worker: self._trial_rank(worker, now_s))
        self._begin_trial(task, best.worker_id)
        if _may_join_group(task):
            max_size = self._max_group_size(task, workers, now_s)
            self.groups[best.worker_id] = _Group(1, max_size)
        return [best]

    def _max_group_size(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> int:
        """Returns the maximum size of a group that begins with a suspect.

        It is what all suspects that wait require to start within MAX_WAIT_S,
        but no more than share its crash: one of these is expected to be the
        cause, and a group with more than one would nearly always crash.
        """
        backlog = self.backlogs.get(workers[0].record.pool)
        if backlog is None or backlog.count <= TRIAL_ROUNDS * len(workers):
            return 1
        # Later suspects have longer, but then the groups would get smaller
        # and smaller, and the last of them would start too late.
        left_s = max(0.0, MAX_WAIT_S - (now_s - backlog.since_s))
        rounds = 1 + int(left_s / (2 * _crashes.TRIAL_S))
        required = math.ceil(backlog.count / (rounds * len(workers)))
        return min(required, self._sharers_of(task))

    def _sharers_of(self, task: _job.Task) -> int:
        """Returns against how many starts its first crash is held."""
        (crash_id,) = task.start_crashes
        return self.sharers[crash_id]

    def _join_group(
        self, task: _job.Task, workers: list[_worker.Worker]
    ) -> list[_worker.Worker]:
        """Adds a suspect to the smallest group that it may join.

        Returns:
            The worker of the group; empty if there is no such group.
        """
        if not self.groups or not _may_join_group(task):
            return []
        sharers = self._sharers_of(task)
        candidates = []
        for worker in workers:
            group = self.groups.get(worker.worker_id)
            if (
                group is not None
                and group.size < min(group.max_size, sharers)
                and _worker_choice.may_run(worker, task)
            ):
                candidates.append(worker)
        if not candidates:
            return []
        best = min(
            candidates, key=lambda worker: self.groups[worker.worker_id].size
        )
        group = self.groups[best.worker_id]
        group.size += 1
        group.max_size = min(group.max_size, sharers)
        self._begin_trial(task, best.worker_id)
        return [best]

    def allowed_gang_workers(
        self,
        tasks: Sequence[_job.Task],
        workers: list[_worker.Worker],
        now_s: float,
    ) -> list[_worker.Worker]:
        """Returns the workers on which the tasks of a gang may start now."""
        if not self.crashes.accused_tasks:
            return workers
        suspects = [task for task in tasks if _crashes.is_suspect(task)]
        if not suspects:
            return self._workers_for_others(tasks[0], workers, now_s)
        waited_s = self._observe_wait(suspects, workers, now_s)
        return [
            worker
            for worker in self._trial_candidates(workers, waited_s, now_s)
            if all(
                _is_suitable(task, worker, waited_s, now_s) for task in suspects
            )
        ]

    def observe_gang_placement(
        self,
        tasks: Sequence[_job.Task],
        workers: list[_worker.Worker],
        now_s: float,
    ) -> None:
        """Records whether the tasks of a gang were placed.

        Workers of a suspected gang start nothing else. If it was not placed,
        one more worker becomes free for it.
        """
        if tasks[0].run is not None:
            self.held_back_s.pop(tasks[0].step_name, None)
        if not any(_crashes.is_suspect(task) for task in tasks):
            return
        if tasks[0].run is None:
            candidates = self._free_workers(workers)
            self._reserve(tasks, candidates, len(workers), now_s)
            return
        for task in tasks:
            self._begin_trial(task, task.run.worker_id)

    def _begin_trial(self, task: _job.Task, worker_id: str) -> None:
        task.trial_wanted_s = None
        self.trial_workers.add(worker_id)
        self.reservations.pop(worker_id, None)

    def _observe_wait(
        self,
        suspects: Sequence[_job.Task],
        workers: list[_worker.Worker],
        now_s: float,
    ) -> float:
        """Returns how long suspects have waited for their start, in seconds.

        Emits one event for each wait that takes too long.
        """
        for task in suspects:
            if task.trial_wanted_s is None:
                task.trial_wanted_s = now_s
                task.trial_delayed = False
        first = min(suspects, key=lambda task: task.trial_wanted_s)
        waited_s = now_s - first.trial_wanted_s
        if waited_s > MAX_WAIT_S and not first.trial_delayed:
            for task in suspects:
                task.trial_delayed = True
            self._emit_delay(first, waited_s, workers)
        return waited_s

    def _emit_delay(
        self,
        task: _job.Task,
        waited_s: float,
        workers: list[_worker.Worker],
    ) -> None:
        names = {worker.worker_id for worker in workers}
        self.crashes.scheduler.emit(
            "trial_delayed",
            task=task.name,
            gang=task.spec.gang,
            waited_ms=round(waited_s * 1000),
            crashes=len(task.crashes),
            start_crashes=len(task.start_crashes),
            workers=len(workers),
            with_room=sum(
                _worker_choice.may_run(worker, task) for worker in workers
            ),
            without_runs=sum(not worker.runs for worker in workers),
            in_trials=len(names & self.trial_workers),
            isolated=len(names & self.isolated_workers),
            reserved=len(names & self.reservations.keys()),
        )

    def _trial_candidates(
        self, workers: list[_worker.Worker], waited_s: float, now_s: float
    ) -> list[_worker.Worker]:
        """Returns the workers that are not used up by another suspect.

        Two suspects with several crashes never start together, however long
        they wait: a crash would prove nothing.
        """
        pool = workers[0].record.pool if workers else ""
        if now_s < self.paused_until_s.get(pool, -math.inf):
            return []
        if waited_s <= MAX_WAIT_S:
            return self._free_workers(workers)
        return [
            worker
            for worker in workers
            if worker.worker_id not in self.trial_workers
        ]

    def _trial_rank(self, worker: _worker.Worker, now_s: float) -> tuple:
        """Returns a sort key: the best worker for a trial comes first.

        A further crash is to prove as much, and to end as few other runs, as
        possible.
        """
        return (
            worker.worker_id in self.isolated_workers,
            _has_young_run(worker, now_s),
            len(worker.runs),
        )

    def unreserved_workers(
        self, workers: list[_worker.Worker]
    ) -> list[_worker.Worker]:
        """Returns the workers that are not kept for suspects."""
        return self._free_workers(workers, self.reservations)

    def _workers_for_others(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> list[_worker.Worker]:
        """Returns the workers on which a task that is no suspect may start.

        Workers that are kept for suspects are left out, but no longer than
        MAX_WAIT_S if only they have room. A member of a gang that finds room
        does not show that the others do.
        """
        free = self._free_workers(workers, self.reservations)
        if len(free) == len(workers):
            return free
        names = {worker.worker_id for worker in free}
        kept = [worker for worker in workers if worker.worker_id not in names]
        has_room = not task.spec.gang and any(
            _worker_choice.may_run(worker, task) for worker in free
        )
        if has_room or not any(
            _worker_choice.may_run(worker, task) for worker in kept
        ):
            self.held_back_s.pop(task.step_name, None)
            return free
        since_s = self.held_back_s.setdefault(task.step_name, now_s)
        if now_s - since_s <= MAX_WAIT_S:
            return free
        # Otherwise one trial could follow another on the only workers with
        # room.
        pool = workers[0].record.pool
        self.paused_until_s[pool] = now_s + 2 * _crashes.TRIAL_S
        return [
            worker
            for worker in workers
            if worker.worker_id not in self.trial_workers
        ]

    def _free_workers(
        self,
        workers: list[_worker.Worker],
        reserved: Container[str] = frozenset(),
    ) -> list[_worker.Worker]:
        """Returns the workers that are not used up by a suspect."""
        return [
            worker
            for worker in workers
            if worker.worker_id not in self.trial_workers
            and worker.worker_id not in self.isolated_workers
            and worker.worker_id not in reserved
        ]

    def _reserve(
        self,
        tasks: Sequence[_job.Task],
        candidates: list[_worker.Worker],
        pool_size: int,
        now_s: float,
    ) -> None:
        """Keeps other starts off workers until they are free for suspects.

        Args:
            tasks: A suspect, or the tasks of a gang with one.
            candidates: Workers that may become free for it.
            pool_size: Number of workers of the pool.
            now_s: Current time.
        """
        reservation = _Reservation(tasks[0], now_s + 2 * _crashes.TRIAL_S)
        reserved = 0
        unreserved = []
        missing = len(tasks)
        for worker in candidates:
            known = self.reservations.get(worker.worker_id)
            if known is None:
                unreserved.append(worker)
                continue
            reserved += 1
            if known.task is tasks[0] and _may_have_room(worker, tasks[0]):
                self.reservations[worker.worker_id] = reservation
                missing -= 1
        allowed = math.ceil(pool_size * MAX_RESERVED_SHARE) - reserved
        if min(missing, allowed) <= 0:
            return
        usable = [
            worker for worker in unreserved if _may_have_room(worker, tasks[0])
        ]
        usable.sort(
            key=lambda worker: (
                not _worker_choice.may_run(worker, tasks[0]),
                len(worker.runs),
            )
        )
        for worker in usable[: min(missing, allowed)]:
            self.reservations[worker.worker_id] = reservation


def _may_join_group(task: _job.Task) -> bool:
    """Returns whether a suspect may start together with others.

    Only after its first crash: the number of crashes after which it is the
    cause in any case has to leave room for trials on its own.
    """
    return (
        bool(task.start_crashes)
        and len(task.crashes | task.start_crashes) == 1
        and not task.spec.gang
    )


def _is_suitable(
    task: _job.Task, worker: _worker.Worker, waited_s: float, now_s: float
) -> bool:
    """Returns whether a worker is isolated enough for a suspect.

    A crash after its start is then due to the suspect. The longer it waits,
    the less isolation it requires, so that the wait ends even if each worker
    has runs that do not end, or starts new ones all the time.
    """
    if waited_s > UNPROVEN_WAIT_S:
        return True
    if waited_s <= MAX_WAIT_S and _crashes.must_isolate(task):
        return all(
            _crashes.has_passed_probation(worker, run)
            for run in worker.runs.values()
        )
    return not _has_young_run(worker, now_s)


def _may_have_room(worker: _worker.Worker, task: _job.Task) -> bool:
    """Returns whether a task fits once the runs that end have ended."""
    lasting = [
        run.task.spec
        for run in worker.runs.values()
        if run.task.spec.long_running
    ]
    return worker.could_fit(task.spec, lasting) and _worker_choice.may_run_more(
        worker, task
    )


def _has_young_run(worker: _worker.Worker, now_s: float) -> bool:
    """Returns whether a crash may be due to a run that has just started."""
    return any(
        now_s - run.started_s < _crashes.TRIAL_S for run in worker.runs.values()
    )
