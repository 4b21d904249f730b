"""Retention of ended jobs, whose state callers may still ask for."""

from baobabdoor.scheduling import _job

# Maximum rows removed in one transaction, which also names the leader's row.
MAX_REMOVED_JOBS = 90


def is_over(scheduler, job: _job.Job) -> bool:
    """Returns whether a job's state need not be kept any longer."""
    retained_from_ms = scheduler.store_ms - scheduler.options.status_s * 1000
    return job.final and job.ended_ms < retained_from_ms


def begin_removal(scheduler) -> list[_job.Job]:
    """Returns ended jobs whose rows are to be removed next, and marks them.

    The cancel of a job without a submission is no longer kept by such a row,
    also if it is not known whether the row was removed.
    """
    expired = [
        job
        for job in scheduler.jobs.values()
        if job.removing or (is_over(scheduler, job) and not job.dirty)
    ]
    del expired[MAX_REMOVED_JOBS:]
    for job in expired:
        job.removing = True
    return expired


def finish_removal(scheduler, jobs: list[_job.Job]) -> None:
    """Drops jobs whose rows were removed."""
    for job in jobs:
        job_id = job.spec.job_id
        scheduler.jobs.pop(job_id, None)
        scheduler.dirty.pop(job_id, None)
        scheduler.early_cancels.forget(job_id)
