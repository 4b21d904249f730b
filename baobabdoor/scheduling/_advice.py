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


@attrs.frozen
class _Advice:
    """What the service has said about a step and one life of a worker.

    Attributes:
        start_time_ms: Unix time of the worker's start.
        ticket: The ticket; `None` if the step may not run there.
        valid_until_s: Time until which the ticket is used.
    """

    start_time_ms: int
    ticket: str | None
    valid_until_s: float


@attrs.define
class _StepAdvice:
    """What is known about a step.

    Attributes:
        by_worker: Newest advice on each worker.
        requested_s: Time of the newest request.
        pending: Whether it awaits its response.
        failed: Whether it had no useful response.
    """

    by_worker: dict[str, _Advice] = attrs.field(factory=dict)
    requested_s: float = -1e9
    pending: bool = False
    failed: bool = False

    def find(self, worker: _worker.Worker) -> _Advice | None:
        """Returns the advice on the present life of a worker."""
        advice = self.by_worker.get(worker.worker_id)
        if advice is None or advice.start_time_ms != worker.start_time_ms:
            return None
        return advice

    def ticket(self, worker: _worker.Worker, now_s: float) -> str | None:
        """Returns the valid ticket for a worker; `None` if there is none."""
        advice = self.find(worker)
        if advice is None or now_s > advice.valid_until_s:
            return None
        return advice.ticket

    def refuses(self, worker: _worker.Worker) -> bool:
        """Returns whether the step may not run on a worker."""
        advice = self.find(worker)
        return advice is not None and advice.ticket is None


class Advice:
    """Requests tickets before the starts that need them and caches them.

    Args:
        scheduler: Scheduler with the waiting steps.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.steps: dict[str, _StepAdvice] = {}
        self.requests: list[AdviceRequest] = []

    def required(self, task: _job.Task) -> bool:
        """Returns whether the starts of a step need tickets."""
        queue = self.scheduler.configuration.queues.get(task.job.spec.queue)
        return queue is not None and queue.advice is not None

    def ticket(self, task: _job.Task, worker: _worker.Worker, now_s: float):
        """Returns the ticket for a start.

        Returns:
            The ticket; empty if none is required; `None` if it is missing.
        """
        if not self.required(task):
            return ""
        step = self.steps.get(task.step_name)
        return step.ticket(worker, now_s) if step is not None else None

    def eligible_workers(
        self,
        task: _job.Task,
        workers: list[_worker.Worker],
        now_s: float,
    ) -> list[_worker.Worker]:
        """Returns the workers on which a task may run."""
        if not self.required(task):
            return workers
        return [
            worker
            for worker in workers
            if self.ticket(task, worker, now_s) is not None
        ]

    def request_tickets(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> None:
        """Requests tickets for a step that found no room with those it has."""
        if not self.required(task):
            return
        step = self.steps.setdefault(task.step_name, _StepAdvice())
        pending = sum(other.pending for other in self.steps.values())
        if step.pending or pending >= MAX_PENDING_REQUESTS:
            return
        candidates = self._candidates(step, task, workers, now_s)
        # Room that a ticket would open is not left waiting.
        urgent = not step.failed and any(
            worker.fits(task.spec) and not step.refuses(worker)
            for worker in candidates
        )
        if candidates and (urgent or now_s - step.requested_s >= RETRY_S):
            step.pending = True
            step.requested_s = now_s
            ids = tuple(worker.worker_id for worker in candidates)
            self.requests.append(AdviceRequest(task.step_name, ids))

    def _candidates(
        self,
        step: _StepAdvice,
        task: _job.Task,
        workers: list[_worker.Worker],
        now_s: float,
    ) -> list[_worker.Worker]:
        """Returns the workers to name in the next request.

        The answer on a worker does not change, so those that are refused are
        named again only if there is a ticket for none.
        """
        fitting = [worker for worker in workers if worker.could_fit(task.spec)]
        missing = [
            worker for worker in fitting if step.ticket(worker, now_s) is None
        ]
        candidates = [worker for worker in missing if not step.refuses(worker)]
        if not candidates and len(missing) == len(fitting):
            candidates = missing
        ranked = sorted(
            candidates,
            key=lambda worker: (
                not worker.fits(task.spec),
                step.find(worker) is None,
                worker.cpu_used,
            ),
        )
        return ranked[:WORKERS_PER_REQUEST]

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
        step = self.steps.setdefault(request.step, _StepAdvice())
        step.pending = False
        step.failed = tickets is None
        if tickets is None:
            return
        valid_until_s = now_s + valid_s * USABLE_VALIDITY
        for worker_id in {*request.workers, *tickets}:
            worker = self.scheduler.workers.get(worker_id)
            if worker is not None:
                step.by_worker[worker_id] = _Advice(
                    worker.start_time_ms, tickets.get(worker_id), valid_until_s
                )

    def discard(self, task: _job.Task, worker: _worker.Worker) -> None:
        """Drops a ticket that its worker has refused."""
        step = self.steps.get(task.step_name)
        if step is not None:
            step.by_worker.pop(worker.worker_id, None)
            step.failed = True
