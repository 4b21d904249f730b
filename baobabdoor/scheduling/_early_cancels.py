"""Cancels of jobs whose submission has not arrived.

A submission may be delayed between its caller and the leader. Its cancel is
kept as a cancelled job that nobody has submitted, so that submission and cancel
have the same result in either order.
"""

from collections.abc import Iterable

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _retention

# Maximum cancels that are kept without a submission: about 7 MB.
MAX_EARLY_CANCELS = 10_000
# Early cancels that are written before other changes in each transaction.
RESERVED_EARLY_CANCELS = 5


class EarlyCancels:
    """Jobs that were cancelled and not submitted.

    Args:
        scheduler: Scheduler with all jobs.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        # By identifier, the latest cancel last.
        self.kept: dict[str, _job.Job] = {}

    def load(self, job: _job.Job) -> None:
        """Adds a job of an earlier term, if nobody has submitted it."""
        if not job.submitted:
            self.kept[job.spec.job_id] = job

    def finish_loading(self) -> None:
        """Puts the cancels of earlier terms in the order of their age."""
        by_age = sorted(self.kept.items(), key=lambda item: item[1].ended_ms)
        self.kept = dict(by_age)

    def keep(self, job_id: str, queue: str) -> _job.Job | None:
        """Keeps the cancel of a job that is not known.

        Args:
            job_id: The job.
            queue: Queue that the cancel names.

        Returns:
            The cancelled job; `None` if too many such cancels are kept.
        """
        self._drop_expired()
        count = len(self.kept)
        scheduler = self.scheduler
        scheduler.emit(
            "cancel_without_job", job=job_id, queue=queue, kept=count
        )
        if count >= MAX_EARLY_CANCELS:
            return None
        job = _job.cancelled_job(job_id, queue, scheduler.store_ms)
        scheduler.jobs[job_id] = job
        self.kept[job_id] = job
        scheduler.mark_dirty(job)
        return job

    def renew(self, job: _job.Job) -> None:
        """Restarts the retention time, since the cancel was repeated."""
        job.ended_ms = self.scheduler.store_ms
        self.kept.pop(job.spec.job_id, None)
        self.kept[job.spec.job_id] = job
        self.scheduler.mark_dirty(job)

    def observe_submission(self, job: _job.Job) -> None:
        """Records the submission of a job whose cancel arrived before it."""
        scheduler = self.scheduler
        scheduler.emit(
            "job_submitted_after_cancel",
            job=job.spec.job_id,
            queue=job.spec.queue,
            cancelled_ms_ago=round(scheduler.store_ms - job.ended_ms),
        )
        self.forget(job.spec.job_id)
        job.submitted = True
        # Its state is retained from now on, like that of any ended job.
        job.ended_ms = scheduler.store_ms
        scheduler.mark_dirty(job)

    def forget(self, job_id: str) -> None:
        """Drops a job that was submitted or whose row was removed."""
        self.kept.pop(job_id, None)

    def _drop_expired(self) -> None:
        """Stops counting cancels whose rows are only still to be removed."""
        while self.kept:
            job_id, job = next(iter(self.kept.items()))
            if not _retention.is_over(self.scheduler, job):
                return
            del self.kept[job_id]


def write_order(dirty: Iterable[_job.Job]) -> list[_job.Job]:
    """Returns changed jobs in the order in which they are written.

    The oldest change comes first. A wave of early cancels must not delay the
    jobs that run, so only a few of them come before those.
    """
    by_age = sorted(dirty, key=lambda job: job.first_unsaved_revision)
    early = [job for job in by_age if job.cancelled_early]
    others = [job for job in by_age if not job.cancelled_early]
    first = early[:RESERVED_EARLY_CANCELS]
    return first + others + early[RESERVED_EARLY_CANCELS:]
