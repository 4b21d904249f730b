"""Free resources of workers, and what teams hold."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from baobabdoor import settings
from baobabdoor.jobs import _sizes
from baobabdoor.jobs import _types

# Jobs up to this urgency may make others give way.
URGENT_LEVEL = 1
# Part of its processors that a throttled job keeps.
THROTTLED_SHARE = 0.25

Estimate = Callable[[_types.JobSpec], _sizes.Size]


def is_urgent(job: _types.Job) -> bool:
    """Returns whether others may have to give way to a job."""
    return job.spec.urgency <= URGENT_LEVEL


@attrs.frozen
class Worker:
    """A worker as the job planner sees it.

    Attributes:
        worker_id: Identifier of the VM.
        pool: Pool that it belongs to.
        size: Resources that jobs may use on it.
    """

    worker_id: str
    pool: str
    size: _sizes.Size


class Room:
    """Keeps the free resources of workers while a plan is made.

    Args:
        workers: Workers that may get jobs.
        jobs: All jobs; the placed ones use resources.
        estimate: Gives the expected size of a job.
    """

    def __init__(
        self,
        workers: Sequence[Worker],
        jobs: Sequence[_types.Job],
        estimate: Estimate,
    ):
        self.estimate = estimate
        self.workers_ = {worker.worker_id: worker for worker in workers}
        self.free_ = {worker.worker_id: worker.size for worker in workers}
        self.by_pool_: dict[str, list[str]] = {}
        for worker in workers:
            members = self.by_pool_.setdefault(worker.pool, [])
            members.append(worker.worker_id)
        for job in jobs:
            if job.state.placed:
                self._take(job.worker_id, self.held(job))

    def size(self, job: _types.Job) -> _sizes.Size:
        """Returns the expected size, at most that of its pool's workers.

        A declared size may be several times too large, so a job that asks for
        more than a whole worker is tried alone on one.
        """
        size = self.estimate(job.spec)
        members = self.by_pool_.get(job.spec.pool)
        if not members:
            return size
        whole = self.workers_[members[0]].size
        return _sizes.Size(
            min(size.cores, whole.cores),
            min(size.memory_gb, whole.memory_gb),
            size.accelerators,
        )

    def held(self, job: _types.Job) -> _sizes.Size:
        """Returns what a placed job holds now."""
        size = self.size(job)
        if not job.throttled:
            return size
        return attrs.evolve(size, cores=size.cores * THROTTLED_SHARE)

    def fits(self, job: _types.Job, worker_id: str) -> bool:
        """Returns whether a job fits on a worker of its pool."""
        worker = self.workers_[worker_id]
        return worker.pool == job.spec.pool and self.size(job).fits(
            self.free_[worker_id]
        )

    def best_fit(self, job: _types.Job) -> str | None:
        """Returns the fitting worker with the fewest cores to spare.

        Workers on which the job failed before come last.
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
        """Takes a job's resources on a worker."""
        self._take(worker_id, self.size(job))

    def free(self, worker_id: str) -> _sizes.Size:
        """Returns the free resources of a worker."""
        return self.free_[worker_id]

    def workers_of(self, pool: str) -> list[str]:
        """Returns the workers of a pool that may get jobs."""
        return self.by_pool_.get(pool, [])

    def can_unthrottle(self, job: _types.Job) -> bool:
        """Returns whether a throttled job's worker can give its cores back."""
        free = self.free_.get(job.worker_id)
        missing = self.size(job) - self.held(job)
        return free is not None and missing.fits(free)

    def unthrottle(self, job: _types.Job) -> None:
        """Takes the cores that a throttled job gets back."""
        self._take(job.worker_id, self.size(job) - self.held(job))

    def _take(self, worker_id: str, size: _sizes.Size) -> None:
        free = self.free_.get(worker_id)
        if free is not None:
            self.free_[worker_id] = free - size


class TeamUsage:
    """What each team holds, against its quota.

    An urgent job is only counted against the team's urgent jobs: otherwise a
    team's own background work would keep its urgent work from starting in time.
    A team can thus hold at most twice its quota for a short time, and its less
    urgent jobs start again only when it is below the quota.

    Args:
        jobs: All jobs; the placed ones count.
        quotas: Quota of each team.
        estimate: Gives the expected size of a job.
    """

    def __init__(
        self,
        jobs: Sequence[_types.Job],
        quotas: Mapping[str, settings.TeamQuota],
        estimate: Estimate,
    ):
        self.estimate = estimate
        self.quotas_ = {
            team: _sizes.Size(quota.cores, quota.memory_gb, quota.accelerators)
            for team, quota in quotas.items()
        }
        self.used_: dict[str, _sizes.Size] = {}
        self.urgent_: dict[str, _sizes.Size] = {}
        for job in jobs:
            if job.state.placed:
                self.add(job)

    def add(self, job: _types.Job) -> None:
        """Counts a job against its team's quota."""
        counters = [self.used_]
        if is_urgent(job):
            counters.append(self.urgent_)
        for counter in counters:
            used = counter.get(job.spec.team, _sizes.Size())
            counter[job.spec.team] = used + self._size(job)

    def allows(self, job: _types.Job) -> bool:
        """Returns whether the team's quota has room for a job."""
        quota = self.quotas_.get(job.spec.team)
        if quota is None:
            return False
        counter = self.urgent_ if is_urgent(job) else self.used_
        used = counter.get(job.spec.team, _sizes.Size())
        return (used + self._size(job)).fits(quota)

    def share(self, team: str) -> float:
        """Returns the largest share that a team uses of its quota."""
        quota = self.quotas_.get(team)
        used = self.used_.get(team)
        return used.share_of(quota) if quota and used else 0.0

    def _size(self, job: _types.Job) -> _sizes.Size:
        """Returns a job's size, at most the quota.

        A job that alone is larger than the quota may run when its team runs
        nothing else.
        """
        size = self.estimate(job.spec)
        quota = self.quotas_.get(job.spec.team)
        if quota is None:
            return size
        return _sizes.Size(
            min(size.cores, quota.cores),
            min(size.memory_gb, quota.memory_gb),
            min(size.accelerators, quota.accelerators),
        )
