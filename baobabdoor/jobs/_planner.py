"""Plans where jobs run, and who makes room for urgent ones."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.jobs import _actions
from baobabdoor.jobs import _evidence
from baobabdoor.jobs import _preemption
from baobabdoor.jobs import _room
from baobabdoor.jobs import _sizes
from baobabdoor.jobs import _types

Worker = _room.Worker


@attrs.define
class JobPlanner(abc.ABC):
    """Plans the next actions on jobs.

    Attributes:
        estimator: Learned sizes.
        evidence: Failures of workers and jobs.
    """

    estimator: _sizes.SizeEstimator = attrs.field(factory=_sizes.SizeEstimator)
    evidence: _evidence.FailureEvidence = attrs.field(
        factory=_evidence.FailureEvidence
    )

    @abc.abstractmethod
    def plan(
        self,
        jobs: Sequence[_types.Job],
        workers: Sequence[Worker],
        quotas: Mapping[str, settings.TeamQuota],
        now_s: float,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Returns the actions to carry out now.

        Args:
            jobs: All jobs whose state is not final.
            workers: Workers in service.
            quotas: Quota of each team.
            now_s: Monotonic time in seconds.
            wall_ms: Wall-clock time in milliseconds.
        """


@attrs.define
class FirstFitPlanner(JobPlanner):
    """Naive policy: oldest job first, declared sizes, no preemption."""

    def plan(
        self,
        jobs: Sequence[_types.Job],
        workers: Sequence[Worker],
        quotas: Mapping[str, settings.TeamQuota],
        now_s: float,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Starts the oldest jobs on the first workers with room."""
        del quotas, now_s, wall_ms
        actions = _cancellations(jobs)
        room = _room.Room(workers, jobs, _sizes.declared_size)
        for job in sorted(_queued(jobs), key=lambda job: job.submitted_ms):
            for worker in workers:
                if room.fits(job, worker.worker_id):
                    room.place(job, worker.worker_id)
                    start = _actions.Start(job.spec.job_id, worker.worker_id)
                    actions.append(start)
                    break
        return actions


@attrs.define
class PriorityPlanner(JobPlanner):
    """Urgent jobs first, learned sizes, team quotas, preemption.

    Attributes:
        aging_s: A waiting job gains one urgency level in this time, so that
            long background work finishes. Default: 600.
        preemption: How room is made for urgent jobs.
    """

    estimator: _sizes.SizeEstimator = attrs.field(factory=_sizes.SizeEstimator)
    evidence: _evidence.FailureEvidence = attrs.field(
        factory=_evidence.FailureEvidence
    )
    aging_s: float = 600.0
    preemption: _preemption.Preemption = attrs.field(
        factory=_preemption.Preemption
    )

    PARAMETER_CONSTRAINTS = {"aging_s": base.Interval(1)}

    def plan(
        self,
        jobs: Sequence[_types.Job],
        workers: Sequence[Worker],
        quotas: Mapping[str, settings.TeamQuota],
        now_s: float,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Returns cancellations, parkings, starts and preemptions."""
        base.validate(self)
        actions = _cancellations(jobs)
        sound = [
            worker
            for worker in workers
            if not self.evidence.quarantined(worker.worker_id, now_s)
        ]
        room = _room.Room(sound, jobs, self.estimator.estimate)
        usage = _room.TeamUsage(jobs, quotas, self.estimator.estimate)
        waiting = []
        for job in self._by_priority(_queued(jobs), usage, wall_ms):
            park = self._park(job, workers)
            if park is not None:
                actions.append(park)
            elif usage.allows(job):
                waiting.append(job)
                usage.add(job)
        unplaced = self._start(waiting, room, actions)
        preempted = self.preemption.plan(unplaced, jobs, room, wall_ms)
        actions.extend(preempted)
        if not unplaced:
            actions.extend(_unthrottle(jobs, room))
        return actions

    def _by_priority(
        self,
        jobs: list[_types.Job],
        usage: _room.TeamUsage,
        wall_ms: int,
    ) -> list[_types.Job]:
        """Orders by urgency with aging, then the team's share, then age."""

        def key(job: _types.Job) -> tuple:
            level = self._aged_urgency(job, wall_ms)
            return level, usage.share(job.spec.team), job.submitted_ms

        return sorted(jobs, key=key)

    def _aged_urgency(self, job: _types.Job, wall_ms: int) -> int:
        waited_s = max(0, wall_ms - job.submitted_ms) / 1000
        gained = int(waited_s / self.aging_s)
        # Aging never makes a job urgent: it must not stop others.
        lowest = min(job.spec.urgency, _room.URGENT_LEVEL + 1)
        return max(lowest, job.spec.urgency - gained)

    def _park(
        self, job: _types.Job, workers: Sequence[Worker]
    ) -> _actions.Park | None:
        if self.evidence.can_never_run(job.spec.job_id):
            count = len(job.failed_workers)
            reason = f"failed on {count} distinct workers: {job.reason}"
            return _actions.Park(job.spec.job_id, reason)
        in_pool = [worker for worker in workers if worker.pool == job.spec.pool]
        # Declared processors and memory may be far off, accelerators are not.
        most = max((worker.size.accelerators for worker in in_pool), default=0)
        if in_pool and job.spec.accelerators > most:
            reason = (
                f"needs {job.spec.accelerators} accelerators; the largest"
                f" worker of pool {job.spec.pool} has {most:g}"
            )
            return _actions.Park(job.spec.job_id, reason)
        return None

    def _start(
        self,
        waiting: list[_types.Job],
        room: _room.Room,
        actions: list[_actions.Action],
    ) -> list[_types.Job]:
        """Starts jobs where there is room; returns those left."""
        unplaced = []
        for job in waiting:
            worker_id = room.best_fit(job)
            if worker_id is None:
                unplaced.append(job)
                continue
            room.place(job, worker_id)
            actions.append(_actions.Start(job.spec.job_id, worker_id))
        return unplaced


def _queued(jobs: Sequence[_types.Job]) -> list[_types.Job]:
    return [
        job
        for job in jobs
        if job.state is _types.JobState.QUEUED and not job.cancel
    ]


def _cancellations(jobs: Sequence[_types.Job]) -> list[_actions.Action]:
    return [_actions.Cancel(job.spec.job_id) for job in jobs if job.cancel]


def _unthrottle(
    jobs: Sequence[_types.Job], room: _room.Room
) -> list[_actions.Action]:
    """Lifts throttles where the worker has the processors again."""
    actions: list[_actions.Action] = []
    for job in jobs:
        is_running = job.state is _types.JobState.RUNNING
        if job.throttled and is_running and room.can_unthrottle(job):
            room.unthrottle(job)
            actions.append(_actions.Unthrottle(job.spec.job_id))
    return actions
