"""Distinguishes faulty workers from jobs that can never run."""

import collections
from collections.abc import Iterable

from baobabdoor import base

# Maximum number of jobs, and of workers, whose failures are kept.
MAX_TRACKED = 10_000


class FailureTracker:
    """Counts the distinct jobs that fail on a worker, and vice versa.

    A worker is quarantined if several jobs failed on it and none has succeeded
    since. A job is considered unable to run if it failed on several workers
    that are not quarantined; failures on a quarantined worker do not count
    against the job.

    Args:
        jobs_to_quarantine: Number of distinct jobs that must fail on a worker
            before it is quarantined. Default: 3.
        workers_to_park: Number of distinct workers on which a job must fail
            before it is parked. Default: 3.
        quarantine_s: Duration of a quarantine in seconds; afterwards one job
            probes the worker. Default: 600.
        max_startup_s: Time after the start of a job, in seconds, within which
            a crash of its worker counts as a failure of the job. It includes
            the delay until the crash is known. Default: 30.
    """

    PARAMETER_CONSTRAINTS = {
        "jobs_to_quarantine": base.Interval(1, integer=True),
        "workers_to_park": base.Interval(1, integer=True),
        "quarantine_s": base.Interval(0),
        "max_startup_s": base.Interval(0),
    }

    def __init__(
        self,
        jobs_to_quarantine: int = 3,
        workers_to_park: int = 3,
        quarantine_s: float = 600.0,
        max_startup_s: float = 30.0,
    ):
        self.jobs_to_quarantine = jobs_to_quarantine
        self.workers_to_park = workers_to_park
        self.quarantine_s = quarantine_s
        self.max_startup_s = max_startup_s
        self.worker_failures_: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self.job_failures_: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self.quarantined_until_s_: dict[str, float] = {}
        self.validated_ = False

    def observe_failure(
        self, job_id: str, worker_id: str, now_s: float
    ) -> None:
        """Records a failed attempt."""
        self._validate()
        worker = self.worker_failures_.setdefault(worker_id, set())
        worker.add(job_id)
        self.job_failures_.setdefault(job_id, set()).add(worker_id)
        # Jobs that fail on every worker do not count, so that they cannot put
        # healthy workers into quarantine.
        counted = [job for job in worker if not self._is_suspect_job(job)]
        if len(counted) >= self.jobs_to_quarantine:
            self._quarantine(worker_id, now_s)
        self._evict_oldest()

    def observe_crash(self, job_id: str, worker_id: str, ran_s: float) -> bool:
        """Records the crash of a worker that ran a job.

        It never counts against the worker.

        Args:
            job_id: The job.
            worker_id: The worker.
            ran_s: Time since the start of the attempt in seconds.

        Returns:
            Whether it counts against the job.
        """
        self._validate()
        if ran_s > self.max_startup_s:
            return False
        self.job_failures_.setdefault(job_id, set()).add(worker_id)
        self._evict_oldest()
        return True

    def load(self, job_id: str, worker_ids: Iterable[str]) -> None:
        """Adds the failures of a job that an earlier process recorded.

        Some may have occurred on workers in quarantine, which is not recorded,
        so they park the job only together with a further failure.
        """
        known = sorted(worker_ids)[: self.workers_to_park - 1]
        if known:
            self.job_failures_.setdefault(job_id, set()).update(known)
            self._evict_oldest()

    def observe_success(self, job_id: str, worker_id: str) -> None:
        """Records a successful attempt, which clears the worker and the job."""
        self.worker_failures_.pop(worker_id, None)
        self.quarantined_until_s_.pop(worker_id, None)
        self.job_failures_.pop(job_id, None)

    def is_quarantined(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker is in quarantine and must not get jobs."""
        return self.quarantined_until_s_.get(worker_id, 0.0) > now_s

    def can_never_run(self, job_id: str) -> bool:
        """Returns whether a job failed on enough healthy workers."""
        self._validate()
        return self._is_suspect_job(job_id)

    def _is_suspect_job(self, job_id: str) -> bool:
        workers = self.job_failures_.get(job_id, set())
        healthy = [
            worker
            for worker in workers
            if worker not in self.quarantined_until_s_
        ]
        return len(healthy) >= self.workers_to_park

    def _quarantine(self, worker_id: str, now_s: float) -> None:
        self.quarantined_until_s_[worker_id] = now_s + self.quarantine_s
        # Failures on a faulty worker do not count against the jobs.
        for job_id in self.worker_failures_.get(worker_id, ()):
            self.job_failures_.get(job_id, set()).discard(worker_id)
        # Keeps one failure fewer than the limit, so that the first new failure
        # after the quarantine starts another quarantine.
        kept = sorted(self.worker_failures_[worker_id])
        self.worker_failures_[worker_id] = set(
            kept[: self.jobs_to_quarantine - 1]
        )

    def _evict_oldest(self) -> None:
        for failures in (self.worker_failures_, self.job_failures_):
            while len(failures) > MAX_TRACKED:
                failures.popitem(last=False)

    def _validate(self) -> None:
        if not self.validated_:
            base.validate(self)
            self.validated_ = True
