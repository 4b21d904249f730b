"""Policies that place jobs on workers."""

import abc
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.jobs import _actions
from baobabdoor.jobs import _allocation
from baobabdoor.jobs import _failure_tracker
from baobabdoor.jobs import _preemption
from baobabdoor.jobs import _resources
from baobabdoor.jobs import _types

Worker = _allocation.Worker


@attrs.define
class JobPlanner(abc.ABC):
    """Base class of policies that plan the next actions on jobs.

    Attributes:
        estimator: Estimates the resources that jobs need.
        failures: Tracks failures of workers and jobs.
    """

    estimator: _resources.ResourceEstimator = attrs.field(
        factory=_resources.ResourceEstimator
    )
    failures: _failure_tracker.FailureTracker = attrs.field(
        factory=_failure_tracker.FailureTracker
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
        """Returns the actions to execute now.

        Args:
            jobs: All jobs whose state is not final.
            workers: Workers in service.
            quotas: Quota of each team.
            now_s: Monotonic time in seconds.
            wall_ms: Wall-clock time in milliseconds.
        """


@attrs.define
class FirstFitPlanner(JobPlanner):
    """Baseline: oldest job first, declared resources, no preemption."""

    def plan(
        self,
        jobs: Sequence[_types.Job],
        workers: Sequence[Worker],
        quotas: Mapping[str, settings.TeamQuota],
        now_s: float,
        wall_ms: int,
    ) -> list[_actions.Action]:
        """Starts the oldest jobs on the first workers where they fit."""
        del quotas, now_s, wall_ms
        actions = _cancellations(jobs)
        allocation = _allocation.Allocation(
            workers, jobs, _resources.declared_resources
        )
        for job in sorted(_queued(jobs), key=lambda job: job.submitted_ms):
            for worker in workers:
                if allocation.fits(job, worker.worker_id):
                    allocation.place(job, worker.worker_id)
                    start = _actions.Start(job.spec.job_id, worker.worker_id)
                    actions.append(start)
                    break
        return actions


@attrs.define
class PriorityPlanner(JobPlanner):
    """Urgent jobs first, estimated resources, team quotas, preemption.

    Attributes:
        aging_s: Time in seconds after which a waiting job gains one urgency
            level, so that background jobs are not starved. Default: 600.
        preemption: Selects running jobs to preempt for urgent ones.
    """

    estimator: _resources.ResourceEstimator = attrs.field(
        factory=_resources.ResourceEstimator
    )
    failures: _failure_tracker.FailureTracker = attrs.field(
        factory=_failure_tracker.FailureTracker
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
        """Returns the cancel, park, start, preempt and unthrottle actions."""
        base.validate(self)
        actions = _cancellations(jobs)
        healthy = [
            worker
            for worker in workers
            if not self.failures.is_quarantined(worker.worker_id, now_s)
        ]
        allocation = _allocation.Allocation(
            healthy, jobs, self.estimator.estimate
        )
        usage = _allocation.TeamUsage(jobs, quotas, self.estimator.estimate)
        waiting = []
        for job in self._by_priority(_queued(jobs), usage, wall_ms):
            park = self._park(job, workers)
            if park is not None:
                actions.append(park)
            elif usage.allows(job):
                waiting.append(job)
                usage.add(job)
        unplaced = self._place(waiting, allocation, actions)
        preempted = self.preemption.plan(unplaced, jobs, allocation, wall_ms)
        actions.extend(preempted)
        if not unplaced:
            actions.extend(_unthrottle(jobs, allocation))
        return actions

    def _by_priority(
        self,
        jobs: list[_types.Job],
        usage: _allocation.TeamUsage,
        wall_ms: int,
    ) -> list[_types.Job]:
        """Sorts by aged urgency, then the team's dominant share, then age."""

        def key(job: _types.Job) -> tuple:
            level = self._aged_urgency(job, wall_ms)
            return level, usage.dominant_share(job.spec.team), job.submitted_ms

        return sorted(jobs, key=key)

    def _aged_urgency(self, job: _types.Job, wall_ms: int) -> int:
        waited_s = max(0, wall_ms - job.submitted_ms) / 1000
        gained = int(waited_s / self.aging_s)
        # Aging never makes a job urgent, since urgent jobs preempt others.
        most_urgent = min(job.spec.urgency, _allocation.URGENT_LEVEL + 1)
        return max(most_urgent, job.spec.urgency - gained)

    def _park(
        self, job: _types.Job, workers: Sequence[Worker]
    ) -> _actions.Park | None:
        if self.failures.can_never_run(job.spec.job_id):
            count = len(job.failed_workers)
            reason = f"failed on {count} distinct workers: {job.reason}"
            return _actions.Park(job.spec.job_id, reason)
        in_pool = [worker for worker in workers if worker.pool == job.spec.pool]
        # Declared cores and memory may be far from the real use, so only the
        # accelerators, which are exact, can rule out every worker.
        largest = max(
            (worker.resources.accelerators for worker in in_pool), default=0
        )
        if in_pool and job.spec.accelerators > largest:
            reason = (
                f"needs {job.spec.accelerators} accelerators; the largest"
                f" worker of pool {job.spec.pool} has {largest:g}"
            )
            return _actions.Park(job.spec.job_id, reason)
        return None

    def _place(
        self,
        waiting: list[_types.Job],
        allocation: _allocation.Allocation,
        actions: list[_actions.Action],
    ) -> list[_types.Job]:
        """Starts jobs on workers where they fit; returns the others."""
        unplaced = []
        for job in waiting:
            worker_id = allocation.best_fit(job)
            if worker_id is None:
                unplaced.append(job)
                continue
            allocation.place(job, worker_id)
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
    jobs: Sequence[_types.Job], allocation: _allocation.Allocation
) -> list[_actions.Action]:
    """Unthrottles jobs whose worker has enough free cores again."""
    actions: list[_actions.Action] = []
    for job in jobs:
        is_running = job.state is _types.JobState.RUNNING
        if job.throttled and is_running and allocation.can_unthrottle(job):
            allocation.unthrottle(job)
            actions.append(_actions.Unthrottle(job.spec.job_id))
    return actions
