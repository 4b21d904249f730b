"""HTTP handlers of jobs, for callers and operators."""

from baobabdoor import base
from baobabdoor import operator_api
from baobabdoor.jobs import _service
from baobabdoor.jobs import _types

_STATUS = {
    base.Reason.BAD_REQUEST: 400,
    base.Reason.FINGERPRINT_MISMATCH: 422,
    base.Reason.NOT_FOUND: 404,
    base.Reason.UNKNOWN_POOL: 400,
    base.Reason.UNKNOWN_RESULT: 504,
}
UNAVAILABLE_STATUS = 503


class JobsHandler(operator_api.OperatorHandler):
    """Handles submissions."""

    service: _service.JobService

    async def post(self) -> None:
        """Accepts the job in the request body."""
        body = self.read_json()
        if body is None:
            return
        spec = _types.parse_spec(body)
        if isinstance(spec, base.Refusal):
            self.send_refusal(400, spec)
            return
        self.send_job(await self.service.submit(spec))

    def send_job(self, job: _types.Job | base.Refusal) -> None:
        """Sends a job, or a refusal with the matching status code."""
        if isinstance(job, base.Refusal):
            status = _STATUS.get(job.reason, UNAVAILABLE_STATUS)
            self.send_refusal(status, job)
            return
        self.finish(job.describe())


class JobHandler(JobsHandler):
    """Handles requests for a single job."""

    async def get(self, job_id: str) -> None:
        """Returns the job."""
        self.send_job(await self.service.show(job_id))

    async def delete(self, job_id: str) -> None:
        """Cancels the job."""
        self.send_job(await self.service.cancel(job_id))


def make_routes(service: _service.JobService, token: str | None) -> list[tuple]:
    """Returns the tornado routes.

    Args:
        service: Service that stores the jobs.
        token: Bearer token; None for the port that is open to callers.
    """
    arguments = {"service": service, "token": token}
    return [
        (r"/v1/jobs", JobsHandler, arguments),
        (r"/v1/jobs/([A-Za-z0-9-]{8,64})", JobHandler, arguments),
    ]
