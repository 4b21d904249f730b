"""Rows of jobs to write, and the state that depends on their storage."""

import attrs

from baobabdoor.scheduling import _early_cancels
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _types

# Maximum jobs written in one transaction.
MAX_COMMIT_JOBS = 45
# Maximum bytes of their rows. In base64 they take half of the megabyte that a
# transaction may have; the rest is for other rows.
MAX_COMMIT_BYTES = 375_000


@attrs.define
class Snapshot:
    """Job rows to write in one transaction.

    Attributes:
        jobs: Jobs with their encoded rows.
        revision: Newest revision that is included.
    """

    jobs: list[tuple[_job.Job, bytes]]
    revision: int


def begin_commit(scheduler) -> Snapshot | None:
    """Returns the changed jobs to write next; `None` for none."""
    if not scheduler.dirty:
        return None
    rows = []
    left_bytes = MAX_COMMIT_BYTES
    for job in _early_cancels.write_order(scheduler.dirty.values()):
        row = _encode_row(scheduler, job)
        left_bytes -= len(row)
        if rows and (left_bytes < 0 or len(rows) == MAX_COMMIT_JOBS):
            break
        rows.append((job, row))
    for job, _ in rows:
        job.write_attempted = True
    return Snapshot(rows, scheduler.revision)


def _encode_row(scheduler, job: _job.Job) -> bytes:
    """Returns a job's row, which the store refuses if it is too large."""
    row = job.encode()
    if len(row) <= scheduler.options.row_bytes:
        return row
    if not job.oversized:
        job.oversized = True
        scheduler.emit("job_row_shortened", job=job.spec.job_id, bytes=len(row))
    return job.encode(with_attempts=False)


def withdraw(scheduler, job: _job.Job) -> bool:
    """Drops a job that no write contained.

    Returns:
        Whether it was dropped. If so, it certainly never runs; if not, it
        may be stored.
    """
    if job.write_attempted or scheduler.active.get(job.spec.job_id) is not job:
        return False
    job.withdrawn = True
    for jobs in (scheduler.jobs, scheduler.active, scheduler.dirty):
        jobs.pop(job.spec.job_id, None)
    scheduler.emit("job_withdrawn", job=job.spec.job_id, queue=job.spec.queue)
    return True


def withdraw_unwritten_jobs(scheduler) -> int:
    """Drops all jobs that no write contained; returns their number."""
    return sum(
        withdraw(scheduler, job) for job in list(scheduler.active.values())
    )


def finish_commit(scheduler, snapshot: Snapshot, version: int) -> None:
    """Records that a snapshot was stored."""
    for job, _ in snapshot.jobs:
        job.row_version = version
        job.saved_revision = snapshot.revision
        job.first_unsaved_revision = snapshot.revision + 1
        # A job that changed again stays dirty for the next transaction.
        if not job.dirty:
            job.stored_state = job.state
            scheduler.dirty.pop(job.spec.job_id, None)
        elif job.stored_state is None:
            job.stored_state = _types.JobState.QUEUED
    release_acknowledgements(scheduler)


def release_acknowledgements(scheduler) -> None:
    """Allows the acknowledgement of ended runs whose effects are stored."""
    unsaved = [
        job.first_unsaved_revision
        for job in scheduler.dirty.values()
        if not job.cancelled_early
    ]
    limit = min(unsaved, default=scheduler.revision + 1)
    for worker in scheduler.workers.values():
        ends = worker.unsaved_ends
        while ends and ends[0][1] < limit:
            worker.acknowledged = ends.pop(0)[0]
