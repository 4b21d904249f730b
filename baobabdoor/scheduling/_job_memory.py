"""Bounds the memory of accepted jobs.

A short text describes a job of thousands of tasks, and a job is kept until the
retention time after its end, so the number of submissions bounds nothing.
"""

import math

from baobabdoor.scheduling import _rejection
from baobabdoor.scheduling import _types

# Memory of a job, of each of its steps, of each step of an occurrence, and of
# each task, with the tables that refer to them. Measured without runs: 1,200,
# 500, 220 and 280 bytes.
JOB_BYTES = 1500
STEP_BYTES = 600
GROUP_BYTES = 300
TASK_BYTES = 350
# Jobs of more memory than this are large: those that callers usually submit
# take 3 to 10 KB.
LARGE_JOB_BYTES = 65_536
# Shares of the memory that large jobs, and jobs that may wait or run without an
# end, may fill. The rest is left for other callers.
LARGE_JOB_SHARE = 0.75
LASTING_JOB_SHARE = 0.5
# Interval in which the memory of all jobs is added up.
REFRESH_S = 0.5


def job_bytes(spec: _types.JobSpec) -> int:
    """Returns the memory that a job takes, in bytes."""
    occurrences = max(1, spec.repeat_count)
    tasks = sum(step.task_count for step in spec.steps)
    steps = len(spec.steps)
    return (
        JOB_BYTES
        + len(spec.payload)
        + STEP_BYTES * steps
        + occurrences * (GROUP_BYTES * steps + TASK_BYTES * tasks)
    )


class JobMemory:
    """Rejects jobs for which there is no memory.

    Args:
        scheduler: Scheduler with the jobs.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.used_bytes = 0
        self.sizes_: dict[str, int] = {}
        self.refreshed_s_ = -math.inf

    def check(
        self, spec: _types.JobSpec, now_s: float
    ) -> _rejection.Rejection | None:
        """Returns the rejection of a job; `None` if there is memory for it.

        A single job of any size is accepted.
        """
        if now_s - self.refreshed_s_ >= REFRESH_S:
            self.refreshed_s_ = now_s
            self._refresh()
        added_bytes = job_bytes(spec)
        limit = self.scheduler.options.job_bytes * _share(spec, added_bytes)
        total_bytes = self.used_bytes + added_bytes
        if total_bytes > limit and self.scheduler.jobs:
            inputs = {"bytes": added_bytes, "used_bytes": self.used_bytes}
            return _rejection.Rejection("memory", self._retry_after_s(), inputs)
        self.used_bytes = total_bytes
        return None

    def _refresh(self) -> None:
        jobs = self.scheduler.jobs
        sizes = self.sizes_
        self.sizes_ = {
            job_id: sizes.get(job_id) or job_bytes(job.spec)
            for job_id, job in jobs.items()
        }
        self.used_bytes = sum(self.sizes_.values())

    def _retry_after_s(self) -> int:
        """Returns when the state of the next ended job is dropped."""
        scheduler = self.scheduler
        ended_ms = [
            job.ended_ms for job in scheduler.jobs.values() if job.final
        ]
        kept_s = (scheduler.store_ms - min(ended_ms, default=math.inf)) / 1000
        left_s = scheduler.options.status_s - max(0.0, kept_s)
        return max(1, math.ceil(left_s))


def _share(spec: _types.JobSpec, added_bytes: int) -> float:
    if spec.repeat_count or spec.long_running:
        return LASTING_JOB_SHARE
    return LARGE_JOB_SHARE if added_bytes > LARGE_JOB_BYTES else 1.0
