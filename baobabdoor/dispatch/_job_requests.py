"""Submits and cancels jobs on the leader."""

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling

LOG = observability.get_logger("controller")


class JobRequests:
    """Applies callers' requests and waits until their effect is stored.

    Args:
        controller: Controller of the term.
    """

    def __init__(self, controller):
        self.controller = controller

    async def submit(self, spec: scheduling.JobSpec, timeout_s: float):
        """Accepts a job and stores it.

        Returns:
            `None` once the job is stored, a rejection, or a refusal:
            `UNKNOWN_RESULT` if it may still be stored, `NOT_HOLDER` or
            `PLATFORM_UNAVAILABLE` if it will never be.
        """
        self.controller.update_clocks()
        now_s = platform.boot_time_s()
        if self._stopping():
            return base.Refusal(base.Reason.NOT_HOLDER, "controller.submit")
        if not self._may_submit(spec.job_id):
            # Nothing was written, so this submission never runs.
            return base.Refusal(
                base.Reason.PLATFORM_UNAVAILABLE, "controller.submit"
            )
        result = self.controller.scheduler.submit(spec, now_s)
        if isinstance(result, scheduling.Rejection):
            if not self.controller.knows_all_jobs():
                # A later leader may have accepted the job.
                return base.Refusal(base.Reason.NOT_HOLDER, "controller.submit")
            LOG.info(
                "job_rejected",
                job=spec.job_id,
                queue=spec.queue,
                reason=result.reason,
                retry_after_s=result.retry_after_s,
                **result.inputs,
            )
            return result
        refusal = await self._wait_stored(
            lambda: result.submission_stored or result.withdrawn,
            timeout_s,
        )
        withdrawn = result.withdrawn or (
            refusal is not None and self.controller.scheduler.withdraw(result)
        )
        if withdrawn:
            # No write contained the job, so it certainly never runs here. The
            # next leader may reach the store.
            return base.Refusal(
                base.Reason.NOT_HOLDER
                if self._stopping()
                else base.Reason.PLATFORM_UNAVAILABLE,
                "controller.submit",
            )
        return refusal

    def _stopping(self) -> bool:
        """Returns whether the term has ended or is being released."""
        return self.controller.ended or self.controller.committer.releasing

    def _may_submit(self, job_id: str) -> bool:
        """Returns whether a submission can be stored now."""
        job = self.controller.scheduler.jobs.get(job_id)
        if job is not None and job.submitted:
            return True
        removing = job is not None and job.removing
        return self.controller.committer.reachable and not removing

    async def cancel(self, job_id: str, queue: str, timeout_s: float):
        """Cancels a job and stores the cancellation.

        The cancel of an unknown job is stored, too, before it is answered: its
        submission may be delayed between the caller and this leader.

        Returns:
            `None` once stored, or a refusal: `NOT_FOUND` once stored without a
            submission, `NOT_HOLDER` if this leader is stepping down or a later
            leader may have accepted the job, `PLATFORM_UNAVAILABLE` or
            `QUEUE_FULL` if nothing was done, or
            `UNKNOWN_RESULT`.
        """
        self.controller.update_clocks()
        refusal = self._refuse_cancel(job_id)
        if refusal is not None:
            return refusal
        job = self.controller.scheduler.cancel(job_id)
        if job is None:
            job = self.controller.scheduler.cancel_early(job_id, queue)
        if job is None:
            return base.Refusal(
                base.Reason.QUEUE_FULL,
                "controller.cancel",
                detail="too many cancels of unknown jobs",
            )
        self.controller.request_plan()
        refusal = await self._wait_stored(lambda: not job.dirty, timeout_s)
        if refusal is None and not job.submitted:
            return base.Refusal(base.Reason.NOT_FOUND, "controller.cancel")
        return refusal

    def _refuse_cancel(self, job_id: str) -> base.Refusal | None:
        """Returns why a cancel cannot be stored now; `None` if it can."""
        job = self.controller.scheduler.jobs.get(job_id)
        # A change made during a release is not stored before it.
        unsure = job is None and not self.controller.knows_all_jobs()
        if unsure or self._stopping():
            return base.Refusal(base.Reason.NOT_HOLDER, "controller.cancel")
        unreachable = job is None and not self.controller.committer.reachable
        # A row that is being removed does not keep a cancel.
        removing = job is not None and job.removing and not job.submitted
        if unreachable or removing:
            return base.Refusal(
                base.Reason.PLATFORM_UNAVAILABLE, "controller.cancel"
            )
        return None

    async def _wait_stored(self, is_stored, timeout_s: float):
        deadline_s = platform.boot_time_s() + timeout_s
        self.controller.committer.write_requested.set()
        while not is_stored():
            remaining_s = deadline_s - platform.boot_time_s()
            if remaining_s <= 0 or self.controller.ended:
                return base.Refusal(
                    base.Reason.UNKNOWN_RESULT, "controller.store"
                )
            await self.controller.committer.wait_committed(
                min(remaining_s, 0.25)
            )
        self.controller.request_plan()
        return None
