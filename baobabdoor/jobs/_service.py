"""Accepts, shows and cancels jobs on behalf of callers and operators."""

from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.jobs import _types

# Rows under this prefix list the changed jobs for the entry that holds the
# control lease, so that it does not have to read all job rows again.
INBOX_PREFIX = "job-inbox/"
MAX_ATTEMPTS = 4


class JobService:
    """Stores jobs in the platform's table; keeps no state in memory.

    A job is accepted once its row is committed. Submitting the same job again
    returns the accepted one.

    Args:
        platform: Client of the platform.
        recorder: Timeline of the process.
        wall_ms: Returns the wall clock in milliseconds.
        deployment: Returns the settings in force; None until the first are
            known.
    """

    def __init__(
        self,
        platform: platform_lib.Platform,
        recorder: timeline.EventRecorder,
        wall_ms: Callable[[], int],
        deployment: Callable[[], settings.Deployment | None],
    ):
        self.platform = platform
        self.recorder = recorder
        self.wall_ms = wall_ms
        self.deployment = deployment

    async def submit(self, spec: _types.JobSpec) -> _types.Job | base.Refusal:
        """Accepts a job.

        Returns:
            The job, or a refusal. The reason is `UNKNOWN_RESULT` only if the
            job may have been accepted.
        """
        refusal = self._check(spec)
        if refusal is not None:
            return refusal
        now_ms = self.wall_ms()
        job = _types.Job(spec, submitted_ms=now_ms, state_since_ms=now_ms)
        result = await self._commit(job, 0)
        if isinstance(result, platform_lib.Conflict):
            return _existing(job, result.row)
        if isinstance(result, base.Refusal):
            return result
        self.recorder.record("jobs.accepted", cause=spec.job_id)
        return attrs.evolve(job, version=result.versions[job.key])

    async def show(self, job_id: str) -> _types.Job | base.Refusal:
        """Returns a job."""
        key = _types.JOB_PREFIX + job_id
        rows = await self.platform.read([key])
        if isinstance(rows, base.Refusal):
            return rows
        row = rows[key]
        if row.value is None:
            return base.Refusal(
                base.Reason.NOT_FOUND, "jobs.show", detail=f"job {job_id}"
            )
        return _types.Job.from_row(row.value, row.version)

    async def cancel(self, job_id: str) -> _types.Job | base.Refusal:
        """Marks a job as cancelled; the mark survives later placements.

        Returns:
            The marked job, or the job in its final state.
        """
        result = base.Refusal(base.Reason.CONFLICT, "jobs.cancel")
        for _ in range(MAX_ATTEMPTS):
            job = await self.show(job_id)
            if isinstance(job, base.Refusal) or job.cancel or job.state.final:
                return job
            marked = attrs.evolve(job, cancel=True)
            result = await self._commit(marked, job.version)
            if isinstance(result, platform_lib.Committed):
                self.recorder.record("jobs.cancel-requested", cause=job_id)
                return attrs.evolve(marked, version=result.versions[job.key])
            if isinstance(result, base.Refusal):
                return result
        return base.Refusal(
            base.Reason.CONFLICT,
            "jobs.cancel",
            detail=f"the row of job {job_id} kept changing",
        )

    def _check(self, spec: _types.JobSpec) -> base.Refusal | None:
        deployment = self.deployment()
        step = "jobs.submit"
        if deployment is None:
            return base.Refusal(base.Reason.NOT_READY, step)
        if spec.team not in deployment.teams:
            known = ", ".join(sorted(deployment.teams))
            detail = f"team: expected one of {known}, found {spec.team!r}"
            return base.Refusal(base.Reason.BAD_REQUEST, step, detail=detail)
        if spec.pool not in deployment.pools:
            known = ", ".join(sorted(deployment.pools))
            detail = f"pool: expected one of {known}, found {spec.pool!r}"
            return base.Refusal(base.Reason.UNKNOWN_POOL, step, detail=detail)
        return None

    async def _commit(
        self, job: _types.Job, version: int
    ) -> platform_lib.Committed | platform_lib.Conflict | base.Refusal:
        """Writes a job's row and a row that announces the change.

        An unknown result is resolved by retrying the identical conditional
        transaction.
        """
        conditions = [platform_lib.Condition(job.key, version)]
        inbox_key = INBOX_PREFIX + job.spec.job_id
        writes = [
            platform_lib.Write(job.key, job.to_row()),
            platform_lib.Write(inbox_key, {"at_ms": self.wall_ms()}),
        ]
        unknown = None
        for _ in range(MAX_ATTEMPTS):
            result = await self.platform.transact(conditions, writes)
            if isinstance(result, platform_lib.Unknown):
                unknown = result
                continue
            if isinstance(result, base.Refusal) and unknown is not None:
                break
            return result
        detail = str(unknown.refusal)
        return base.Refusal(
            base.Reason.UNKNOWN_RESULT, "jobs.commit", "platform", detail
        )


def _existing(
    job: _types.Job, row: platform_lib.Row
) -> _types.Job | base.Refusal:
    """Returns the job that was accepted earlier under the same identifier."""
    if row.value is not None:
        existing = _types.Job.from_row(row.value, row.version)
        if existing.spec == job.spec:
            return existing
    return base.Refusal(
        base.Reason.FINGERPRINT_MISMATCH,
        "jobs.submit",
        detail=f"job_id {job.spec.job_id} names another job",
    )
