"""Makes room for urgent jobs: throttle, then checkpoint, then stop."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor.jobs import _actions
from baobabdoor.jobs import _room
from baobabdoor.jobs import _sizes
from baobabdoor.jobs import _types

# Only jobs that are this much less urgent give way, so that jobs of nearly the
# same urgency do not displace each other in turn.
URGENCY_GAP = 2


@attrs.define
class Preemption:
    """Picks the jobs that give way to urgent ones.

    Non-idempotent jobs are only throttled: ending one would need a second
    start.

    Attributes:
        stop_after_s: An urgent job that has waited this long stops others
            instead of checkpointing them, in seconds. Urgent work must start
            within 8.2 s, of which a stop and a start need about 3. Default: 4.
        max_attempts: A job that was started this often is only throttled, so
            that long work finishes. Default: 4.
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
        room: _room.Room,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Returns the actions that make room for the urgent jobs."""
        base.validate(self)
        urgent = [job for job in unplaced if _room.is_urgent(job)]
        if not urgent:
            return []
        running = _by_worker(jobs)
        claimed: dict[str, _sizes.Size] = {}
        actions: list[_actions.Action] = []
        for job in urgent:
            plan = self._cheapest(job, running, room, claimed, wall_ms)
            if plan is None:
                continue
            worker_id, victims = plan
            taken = claimed.get(worker_id, _sizes.Size())
            gained = _gain(victims)
            claimed[worker_id] = taken + room.size(job) - gained
            actions.extend(victims.values())
            for victim_id in victims:
                _remove(running[worker_id], victim_id)
        return actions

    def _cheapest(
        self,
        job: _types.Job,
        running: dict[str, list[_types.Job]],
        room: _room.Room,
        claimed: dict[str, _sizes.Size],
        wall_ms: int,
    ) -> tuple[str, dict[str, _actions.Action]] | None:
        """Returns the worker where the least work is lost, and its victims."""
        best = None
        best_cost = None
        for worker_id in room.workers_of(job.spec.pool):
            free = room.free(worker_id)
            free = free - claimed.get(worker_id, _sizes.Size())
            others = running.get(worker_id, [])
            if not self._is_late(job, wall_ms):
                free = free + _ending_size(others, room)
                others = [other for other in others if not _is_ending(other)]
            candidates = _victims(job, others)
            victims = self._make_room(job, candidates, free, room, wall_ms)
            if victims is None:
                continue
            cost = _cost(victims.values())
            if best_cost is None or cost < best_cost:
                best, best_cost = (worker_id, victims), cost
        return best

    def _make_room(
        self,
        job: _types.Job,
        candidates: list[_types.Job],
        free: _sizes.Size,
        room: _room.Room,
        wall_ms: int,
    ) -> "_Victims | None":
        """Returns the actions after which a job fits; None if none suffice."""
        needed = room.size(job)
        victims = _Victims()
        # Throttling frees processors at once and loses no work.
        for victim in candidates:
            if needed.fits(free):
                return victims
            can_throttle = not victim.throttled and not _is_ending(victim)
            if can_throttle and needed.cores > free.cores:
                free = free + victims.throttle(victim, room)
        for victim in candidates:
            if needed.fits(free):
                return victims
            if self._may_end(victim):
                ending = self._ending(job, victim, wall_ms)
                free = free + victims.end(victim, ending, room)
        return victims if needed.fits(free) else None

    def _is_late(self, job: _types.Job, wall_ms: int) -> bool:
        waited_s = (wall_ms - job.submitted_ms) / 1000
        return waited_s >= self.stop_after_s

    def _may_end(self, victim: _types.Job) -> bool:
        return victim.spec.idempotent and victim.attempt < self.max_attempts

    def _ending(
        self, job: _types.Job, victim: _types.Job, wall_ms: int
    ) -> _actions.Action:
        if self._is_late(job, wall_ms):
            return _actions.Stop(victim.spec.job_id)
        return _actions.Checkpoint(victim.spec.job_id)


class _Victims(dict):
    """Actions by job, with the resources that each gives back."""

    def __init__(self):
        super().__init__()
        self.gains: dict[str, _sizes.Size] = {}

    def throttle(self, victim: _types.Job, room: _room.Room) -> _sizes.Size:
        """Adds a throttle and returns what it frees."""
        cores = room.size(victim).cores * (1 - _room.THROTTLED_SHARE)
        job_id = victim.spec.job_id
        self[job_id] = _actions.Throttle(job_id, _room.THROTTLED_SHARE)
        self.gains[job_id] = _sizes.Size(cores=cores)
        return self.gains[job_id]

    def end(
        self, victim: _types.Job, ending: _actions.Action, room: _room.Room
    ) -> _sizes.Size:
        """Replaces a throttle by an end and returns what that frees more."""
        job_id = victim.spec.job_id
        before = self.gains.get(job_id, _sizes.Size())
        self[job_id] = ending
        self.gains[job_id] = room.held(victim)
        return self.gains[job_id] - before


def _is_ending(job: _types.Job) -> bool:
    return job.state is _types.JobState.ENDING


def _ending_size(jobs: Iterable[_types.Job], room: _room.Room) -> _sizes.Size:
    """Returns what jobs that are being ended will give back."""
    total = _sizes.Size()
    for job in jobs:
        if _is_ending(job):
            total = total + room.held(job)
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


def _victims(
    job: _types.Job, running: Iterable[_types.Job]
) -> list[_types.Job]:
    """Returns the jobs that may give way.

    The least urgent come first, then those of the same team, then the youngest.
    """
    level = job.spec.urgency + URGENCY_GAP
    victims = [other for other in running if other.spec.urgency >= level]

    def key(other: _types.Job) -> tuple:
        is_other_team = other.spec.team != job.spec.team
        return -other.spec.urgency, is_other_team, -other.state_since_ms

    return sorted(victims, key=key)


def _cost(actions: Iterable[_actions.Action]) -> tuple[int, int, int]:
    """Orders plans: stops weigh most, then checkpoints, then throttles."""
    kinds = [type(action) for action in actions]
    return (
        kinds.count(_actions.Stop),
        kinds.count(_actions.Checkpoint),
        kinds.count(_actions.Throttle),
    )


def _gain(victims: "_Victims") -> _sizes.Size:
    total = _sizes.Size()
    for gain in victims.gains.values():
        total = total + gain
    return total


def _remove(running: list[_types.Job], job_id: str) -> None:
    running[:] = [job for job in running if job.spec.job_id != job_id]
