"""Resources allocated on workers and to teams."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import settings
from baobabdoor.jobs import _resources
from baobabdoor.jobs import _types

# Jobs of this urgency or a more urgent one may preempt others.
URGENT_LEVEL = 1
# Fraction of its cores that a throttled job keeps.
THROTTLED_SHARE = 0.25

Estimate = Callable[[_types.JobSpec], _resources.Resources]


def is_urgent(job: _types.Job) -> bool:
    """Returns whether a job may preempt others."""
    return job.spec.urgency <= URGENT_LEVEL


@attrs.frozen
class Worker:
    """A worker as the job planner sees it.

    Attributes:
        worker_id: Identifier of the VM.
        pool: Pool that it belongs to.
        resources: Resources that jobs may use on it.
    """

    worker_id: str
    pool: str
    resources: _resources.Resources


class Allocation:
    """Tracks the free resources of workers while a plan is made.

    Args:
        workers: Workers that may get jobs.
        jobs: All jobs; placed ones use resources.
        estimate: Returns the expected resources of a job.
    """

    def __init__(
        self,
        workers: Sequence[Worker],
        jobs: Sequence[_types.Job],
        estimate: Estimate,
    ):
        self.estimate = estimate
        self.workers_ = {worker.worker_id: worker for worker in workers}
        self.free_ = {worker.worker_id: worker.resources for worker in workers}
        self.by_pool_: dict[str, list[str]] = {}
        for worker in workers:
            members = self.by_pool_.setdefault(worker.pool, [])
            members.append(worker.worker_id)
        for job in jobs:
            if job.state.placed:
                self._reserve(job.worker_id, self.allocated(job))

    def required(self, job: _types.Job) -> _resources.Resources:
        """Returns a job's expected resources, at most those of a worker.

        Declared resources may be several times too large, so a job that
        declares more than a whole worker is tried alone on one.
        """
        required = self.estimate(job.spec)
        members = self.by_pool_.get(job.spec.pool)
        if not members:
            return required
        worker_resources = self.workers_[members[0]].resources
        return _resources.Resources(
            min(required.cores, worker_resources.cores),
            min(required.memory_gb, worker_resources.memory_gb),
            required.accelerators,
        )

    def allocated(self, job: _types.Job) -> _resources.Resources:
        """Returns the resources that are allocated to a placed job."""
        required = self.required(job)
        if not job.throttled:
            return required
        return attrs.evolve(required, cores=required.cores * THROTTLED_SHARE)

    def fits(self, job: _types.Job, worker_id: str) -> bool:
        """Returns whether a job fits on a worker of its pool."""
        worker = self.workers_[worker_id]
        return worker.pool == job.spec.pool and self.required(job).fits(
            self.free_[worker_id]
        )

    def best_fit(self, job: _types.Job) -> str | None:
        """Returns the worker with the fewest free cores where a job fits.

        Workers on which the job has failed come last.
        """
        candidates = [
            worker_id
            for worker_id in self.by_pool_.get(job.spec.pool, ())
            if self.fits(job, worker_id)
        ]
        if not candidates:
            return None

        def key(worker_id: str) -> tuple:
            failed = worker_id in job.failed_workers
            return failed, self.free_[worker_id].cores, worker_id

        return min(candidates, key=key)

    def place(self, job: _types.Job, worker_id: str) -> None:
        """Allocates a job's resources on a worker."""
        self._reserve(worker_id, self.required(job))

    def free(self, worker_id: str) -> _resources.Resources:
        """Returns the free resources of a worker."""
        return self.free_[worker_id]

    def workers_in_pool(self, pool: str) -> list[str]:
        """Returns the workers of a pool that may get jobs."""
        return self.by_pool_.get(pool, [])

    def can_unthrottle(self, job: _types.Job) -> bool:
        """Returns whether a throttled job's worker has its cores free again."""
        free = self.free_.get(job.worker_id)
        missing = self.required(job) - self.allocated(job)
        return free is not None and missing.fits(free)

    def unthrottle(self, job: _types.Job) -> None:
        """Allocates the cores that a throttled job gets back."""
        self._reserve(job.worker_id, self.required(job) - self.allocated(job))

    def _reserve(self, worker_id: str, resources: _resources.Resources) -> None:
        free = self.free_.get(worker_id)
        if free is not None:
            self.free_[worker_id] = free - resources


class TeamUsage:
    """Resource usage of each team and its quota.

    An urgent job is checked against the usage of the team's urgent jobs only.
    Otherwise the background jobs of a team could delay its urgent ones. A team
    can thus use up to twice its quota for a short time, and its other jobs
    start again only once it is below the quota.

    Args:
        jobs: All jobs; placed ones count.
        quotas: Quota of each team.
        estimate: Returns the expected resources of a job.
    """

    def __init__(
        self,
        jobs: Sequence[_types.Job],
        quotas: Mapping[str, settings.TeamQuota],
        estimate: Estimate,
    ):
        self.estimate = estimate
        self.quotas_ = {
            team: _resources.Resources(
                quota.cores, quota.memory_gb, quota.accelerators
            )
            for team, quota in quotas.items()
        }
        self.used_: dict[str, _resources.Resources] = {}
        self.urgent_used_: dict[str, _resources.Resources] = {}
        for job in jobs:
            if job.state.placed:
                self.add(job)

    def add(self, job: _types.Job) -> None:
        """Adds a job to the usage of its team."""
        counters = [self.used_]
        if is_urgent(job):
            counters.append(self.urgent_used_)
        for counter in counters:
            used = counter.get(job.spec.team, _resources.Resources())
            counter[job.spec.team] = used + self._required(job)

    def allows(self, job: _types.Job) -> bool:
        """Returns whether a job fits into its team's quota."""
        quota = self.quotas_.get(job.spec.team)
        if quota is None:
            return False
        counter = self.urgent_used_ if is_urgent(job) else self.used_
        used = counter.get(job.spec.team, _resources.Resources())
        return (used + self._required(job)).fits(quota)

    def dominant_share(self, team: str) -> float:
        """Returns the largest share of any resource of a team's quota."""
        quota = self.quotas_.get(team)
        used = self.used_.get(team)
        return used.dominant_share(quota) if quota and used else 0.0

    def _required(self, job: _types.Job) -> _resources.Resources:
        """Returns a job's expected resources, at most the quota.

        A job that exceeds the quota by itself may run while its team runs no
        other job.
        """
        required = self.estimate(job.spec)
        quota = self.quotas_.get(job.spec.team)
        if quota is None:
            return required
        return _resources.Resources(
            min(required.cores, quota.cores),
            min(required.memory_gb, quota.memory_gb),
            min(required.accelerators, quota.accelerators),
        )
