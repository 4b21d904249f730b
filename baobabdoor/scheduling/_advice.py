"""Tickets of the advice service, which decides where a step may run."""

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _worker

# Workers in one request; each adds to the response time of the service.
WORKERS_PER_REQUEST = 30
# Share of a ticket's validity in which it is used, so that it does not expire
# before its order arrives.
USABLE_VALIDITY = 0.8
# Time after which a request without a useful response is repeated.
RETRY_S = 1.0
# Concurrent requests; the service accepts 32 from one caller.
MAX_PENDING_REQUESTS = 16


@attrs.frozen
class AdviceRequest:
    """Requests tickets to run the tasks of a step on certain workers.

    Attributes:
        step: Name of the step: job, occurrence and index.
        workers: Identifiers of the workers.
    """

    step: str
    workers: tuple[str, ...]


@attrs.define
class _Tickets:
    valid_until_s: float = -1e9
    by_worker: dict[str, str] = attrs.field(factory=dict)
    requested_s: float = -1e9
    pending: bool = False


class Advice:
    """Requests tickets before the starts that need them and caches them.

    Args:
        scheduler: Scheduler with the waiting steps.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.tickets: dict[str, _Tickets] = {}
        self.requests: list[AdviceRequest] = []

    def ticket(self, task: _job.Task, worker: _worker.Worker, now_s: float):
        """Returns the ticket for a start.

        Returns:
            The ticket; empty if none is required; `None` if it is missing.
        """
        queue = self.scheduler.configuration.queues.get(task.job.spec.queue)
        if queue is None or queue.advice is None:
            return ""
        entry = self.tickets.get(task.step_name)
        if entry is None or now_s > entry.valid_until_s:
            return None
        return entry.by_worker.get(worker.worker_id)

    def eligible_workers(
        self,
        task: _job.Task,
        workers: list[_worker.Worker],
        now_s: float,
    ) -> list[_worker.Worker]:
        """Returns the workers on which a task may run.

        Requests tickets if none of these workers has room for the task.
        """
        queue = self.scheduler.configuration.queues.get(task.job.spec.queue)
        if queue is None or queue.advice is None:
            return workers
        eligible = [
            worker
            for worker in workers
            if self.ticket(task, worker, now_s) is not None
        ]
        if not any(worker.fits(task.spec) for worker in eligible):
            self._request_tickets(task, workers, now_s)
        return eligible

    def _request_tickets(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> None:
        name = task.step_name
        entry = self.tickets.setdefault(name, _Tickets())
        pending = sum(other.pending for other in self.tickets.values())
        if entry.pending or pending >= MAX_PENDING_REQUESTS:
            return
        if now_s - entry.requested_s < RETRY_S and now_s < entry.valid_until_s:
            return
        candidates = sorted(
            (worker for worker in workers if worker.could_fit(task.spec)),
            key=lambda worker: worker.cpu_used,
        )[:WORKERS_PER_REQUEST]
        if candidates:
            entry.pending = True
            entry.requested_s = now_s
            ids = tuple(worker.worker_id for worker in candidates)
            self.requests.append(AdviceRequest(name, ids))

    def take_requests(self) -> list[AdviceRequest]:
        """Returns the requests to send and clears them."""
        requests, self.requests = self.requests, []
        return requests

    def observe(
        self,
        request: AdviceRequest,
        tickets: dict[str, str] | None,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Applies a response; `tickets` is `None` if the request failed."""
        entry = self.tickets.setdefault(request.step, _Tickets())
        entry.pending = False
        if tickets is None:
            return
        entry.by_worker |= tickets
        entry.valid_until_s = now_s + valid_s * USABLE_VALIDITY
