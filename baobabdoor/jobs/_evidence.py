"""Tells workers that fail everything from jobs that can never run."""

import collections

from baobabdoor import base

# Bound on the jobs and workers whose failures are kept.
MAX_TRACKED = 10_000


class FailureEvidence:
    """Counts failures by distinct workers and distinct jobs.

    A worker is suspect when several different jobs failed on it and none
    succeeded since; a job can never run when it failed on several different
    workers that other jobs succeed on. A failure on a quarantined worker is
    no evidence against the job.

    Args:
        jobs_to_quarantine: Distinct jobs that must fail on a worker. Default:
            3.
        workers_to_park: Distinct workers a job must fail on. Default: 3.
        quarantine_s: How long a worker is left alone, in seconds; then one job
            probes it. Default: 600.
    """

    PARAMETER_CONSTRAINTS = {
        "jobs_to_quarantine": base.Interval(1, integer=True),
        "workers_to_park": base.Interval(1, integer=True),
        "quarantine_s": base.Interval(0),
    }

    def __init__(
        self,
        jobs_to_quarantine: int = 3,
        workers_to_park: int = 3,
        quarantine_s: float = 600.0,
    ):
        self.jobs_to_quarantine = jobs_to_quarantine
        self.workers_to_park = workers_to_park
        self.quarantine_s = quarantine_s
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
        """Notes that an attempt failed."""
        self._validate()
        worker = self.worker_failures_.setdefault(worker_id, set())
        worker.add(job_id)
        self.job_failures_.setdefault(job_id, set()).add(worker_id)
        # One job that fails on every worker it meets must not quarantine the
        # workers, so only jobs that are not themselves suspect count.
        evidence = [job for job in worker if not self._job_is_suspect(job)]
        if len(evidence) >= self.jobs_to_quarantine:
            self._quarantine(worker_id, now_s)
        self._forget_oldest()

    def observe_success(self, job_id: str, worker_id: str) -> None:
        """Notes that an attempt succeeded: the worker is sound."""
        self.worker_failures_.pop(worker_id, None)
        self.quarantined_until_s_.pop(worker_id, None)
        self.job_failures_.pop(job_id, None)

    def quarantined(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker must not get jobs now."""
        return self.quarantined_until_s_.get(worker_id, 0.0) > now_s

    def can_never_run(self, job_id: str) -> bool:
        """Returns whether a job failed on enough sound workers."""
        self._validate()
        return self._job_is_suspect(job_id)

    def _job_is_suspect(self, job_id: str) -> bool:
        workers = self.job_failures_.get(job_id, set())
        sound = [
            worker
            for worker in workers
            if worker not in self.quarantined_until_s_
        ]
        return len(sound) >= self.workers_to_park

    def _quarantine(self, worker_id: str, now_s: float) -> None:
        self.quarantined_until_s_[worker_id] = now_s + self.quarantine_s
        # The failures that led here say nothing about the jobs.
        for job_id in self.worker_failures_.get(worker_id, ()):
            self.job_failures_.get(job_id, set()).discard(worker_id)
        # After the quarantine the next failure counts in full again.
        kept = sorted(self.worker_failures_[worker_id])
        self.worker_failures_[worker_id] = set(
            kept[: self.jobs_to_quarantine - 1]
        )

    def _forget_oldest(self) -> None:
        for failures in (self.worker_failures_, self.job_failures_):
            while len(failures) > MAX_TRACKED:
                failures.popitem(last=False)

    def _validate(self) -> None:
        if not self.validated_:
            base.validate(self)
            self.validated_ = True
