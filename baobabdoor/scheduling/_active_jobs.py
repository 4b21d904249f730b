"""Jobs that have not ended, indexed by their queues."""

from collections.abc import Iterator

from baobabdoor.scheduling import _job


class ActiveJobs(dict[str, _job.Job]):
    """Jobs by their identifiers, in the order of their acceptance.

    Example:
        >>> len(ActiveJobs())
        0
    """

    def __init__(self):
        super().__init__()
        self.by_queue_: dict[str, dict[str, _job.Job]] = {}

    def __setitem__(self, job_id: str, job: _job.Job) -> None:
        self.pop(job_id, None)
        super().__setitem__(job_id, job)
        self.by_queue_.setdefault(job.spec.queue, {})[job_id] = job

    def __delitem__(self, job_id: str) -> None:
        self.pop(job_id)

    def pop(self, job_id: str, *default):
        """Removes and returns a job, or the default."""
        job = self.get(job_id)
        if job is not None:
            del self.by_queue_[job.spec.queue][job_id]
        return super().pop(job_id, *default)

    def of_queue(self, queue: str) -> Iterator[_job.Job]:
        """Yields the jobs of a queue in the order of their acceptance."""
        yield from self.by_queue_.get(queue, {}).values()
