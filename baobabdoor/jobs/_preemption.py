"""Preempts jobs for urgent ones: throttles, then checkpoints, then stops."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor.jobs import _actions
from baobabdoor.jobs import _allocation
from baobabdoor.jobs import _resources
from baobabdoor.jobs import _types

# Only jobs that are this much less urgent are preempted, so that jobs of
# similar urgency do not preempt each other in turn.
MIN_URGENCY_GAP = 2


@attrs.define
class Preemption:
    """Selects the jobs that are preempted for urgent ones.

    Non-idempotent jobs are only throttled, because a job that was ended has to
    be started a second time.

    Attributes:
        stop_after_s: Time in seconds for which an urgent job waits before it
            stops others instead of checkpointing them. Urgent jobs must start
            within 8.2 s, of which a stop and a start need about 3. Default: 4.
        max_attempts: A job that has been started this many times is only
            throttled, so that long jobs finish. Default: 4.
    """

    stop_after_s: float = 4.0
    max_attempts: int = 4

    PARAMETER_CONSTRAINTS = {
        "stop_after_s": base.Interval(0),
        "max_attempts": base.Interval(1, integer=True),
    }

    def plan(
        self,
        unplaced: Sequence[_types.Job],
        jobs: Sequence[_types.Job],
        allocation: _allocation.Allocation,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Returns the actions that free resources for the urgent jobs."""
        base.validate(self)
        urgent = [job for job in unplaced if _allocation.is_urgent(job)]
        if not urgent:
            return []
        running = _by_worker(jobs)
        reserved: dict[str, _resources.Resources] = {}
        actions: list[_actions.Action] = []
        for job in urgent:
            plan = self._cheapest_victims(
                job, running, allocation, reserved, wall_ms
            )
            if plan is None:
                continue
            worker_id, victims = plan
            already_reserved = reserved.get(worker_id, _resources.Resources())
            freed = _total_freed(victims)
            reserved[worker_id] = (
                already_reserved + allocation.required(job) - freed
            )
            actions.extend(victims.values())
            for victim_id in victims:
                _remove(running[worker_id], victim_id)
        return actions

    def _cheapest_victims(
        self,
        job: _types.Job,
        running: dict[str, list[_types.Job]],
        allocation: _allocation.Allocation,
        reserved: dict[str, _resources.Resources],
        wall_ms: int,
    ) -> tuple[str, dict[str, _actions.Action]] | None:
        """Returns the worker that loses the least work, and its victims."""
        best = None
        best_cost = None
        for worker_id in allocation.workers_in_pool(job.spec.pool):
            free = allocation.free(worker_id)
            free = free - reserved.get(worker_id, _resources.Resources())
            others = running.get(worker_id, [])
            if not self._is_overdue(job, wall_ms):
                free = free + _resources_of_ending(others, allocation)
                others = [other for other in others if not _is_ending(other)]
            candidates = _candidates(job, others)
            victims = self._select_victims(
                job, candidates, free, allocation, wall_ms
            )
            if victims is None:
                continue
            cost = _cost(victims.values())
            if best_cost is None or cost < best_cost:
                best, best_cost = (worker_id, victims), cost
        return best

    def _select_victims(
        self,
        job: _types.Job,
        candidates: list[_types.Job],
        free: _resources.Resources,
        allocation: _allocation.Allocation,
        wall_ms: int,
    ) -> "_Victims | None":
        """Returns the actions after which a job fits; None if it cannot."""
        required = allocation.required(job)
        victims = _Victims()
        # Throttling frees cores immediately and loses no work.
        for victim in candidates:
            if required.fits(free):
                return victims
            can_throttle = not victim.throttled and not _is_ending(victim)
            if can_throttle and required.cores > free.cores:
                free = free + victims.throttle(victim, allocation)
        for victim in candidates:
            if required.fits(free):
                return victims
            if self._can_end(victim):
                end_action = self._end_action(job, victim, wall_ms)
                free = free + victims.end(victim, end_action, allocation)
        return victims if required.fits(free) else None

    def _is_overdue(self, job: _types.Job, wall_ms: int) -> bool:
        waited_s = (wall_ms - job.submitted_ms) / 1000
        return waited_s >= self.stop_after_s

    def _can_end(self, victim: _types.Job) -> bool:
        return victim.spec.idempotent and victim.attempt < self.max_attempts

    def _end_action(
        self, job: _types.Job, victim: _types.Job, wall_ms: int
    ) -> _actions.Action:
        if self._is_overdue(job, wall_ms):
            return _actions.Stop(victim.spec.job_id)
        return _actions.Checkpoint(victim.spec.job_id)


class _Victims(dict):
    """Actions by job identifier, with the resources that each frees."""

    def __init__(self):
        super().__init__()
        self.freed: dict[str, _resources.Resources] = {}

    def throttle(
        self, victim: _types.Job, allocation: _allocation.Allocation
    ) -> _resources.Resources:
        """Adds a throttle and returns what it frees."""
        cores = allocation.required(victim).cores * (
            1 - _allocation.THROTTLED_SHARE
        )
        job_id = victim.spec.job_id
        self[job_id] = _actions.Throttle(job_id, _allocation.THROTTLED_SHARE)
        self.freed[job_id] = _resources.Resources(cores=cores)
        return self.freed[job_id]

    def end(
        self,
        victim: _types.Job,
        end_action: _actions.Action,
        allocation: _allocation.Allocation,
    ) -> _resources.Resources:
        """Ends a job instead of throttling it; returns what this adds."""
        job_id = victim.spec.job_id
        previous = self.freed.get(job_id, _resources.Resources())
        self[job_id] = end_action
        self.freed[job_id] = allocation.allocated(victim)
        return self.freed[job_id] - previous


def _is_ending(job: _types.Job) -> bool:
    return job.state is _types.JobState.ENDING


def _resources_of_ending(
    jobs: Iterable[_types.Job], allocation: _allocation.Allocation
) -> _resources.Resources:
    """Returns the resources that jobs being ended will free."""
    total = _resources.Resources()
    for job in jobs:
        if _is_ending(job):
            total = total + allocation.allocated(job)
    return total


def _by_worker(
    jobs: Sequence[_types.Job],
) -> dict[str, list[_types.Job]]:
    running: dict[str, list[_types.Job]] = {}
    for job in jobs:
        is_running = job.state is _types.JobState.RUNNING
        if (is_running or _is_ending(job)) and not job.cancel:
            running.setdefault(job.worker_id, []).append(job)
    return running


def _candidates(
    job: _types.Job, running: Iterable[_types.Job]
) -> list[_types.Job]:
    """Returns the jobs that may be preempted for `job`.

    Sorted by urgency, least urgent first; then those of the same team, then
    those that changed state last.
    """
    level = job.spec.urgency + MIN_URGENCY_GAP
    victims = [other for other in running if other.spec.urgency >= level]

    def key(other: _types.Job) -> tuple:
        is_other_team = other.spec.team != job.spec.team
        return -other.spec.urgency, is_other_team, -other.state_since_ms

    return sorted(victims, key=key)


def _cost(actions: Iterable[_actions.Action]) -> tuple[int, int, int]:
    """Returns a sort key: number of stops, then checkpoints, then throttles."""
    kinds = [type(action) for action in actions]
    return (
        kinds.count(_actions.Stop),
        kinds.count(_actions.Checkpoint),
        kinds.count(_actions.Throttle),
    )


def _total_freed(victims: "_Victims") -> _resources.Resources:
    total = _resources.Resources()
    for freed in victims.freed.values():
        total = total + freed
    return total


def _remove(running: list[_types.Job], job_id: str) -> None:
    running[:] = [job for job in running if job.spec.job_id != job_id]
