"""Tickets of the service that advises which workers may run a step."""

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _worker

# Workers named in one question; its answer takes longer with each.
WORKERS_ASKED = 30
# Part of a ticket's validity that is used, so that none is late on arrival.
VALID_SHARE = 0.8
# Time after which an unanswered or empty question is asked again.
RETRY_S = 1.0
# Questions that wait for an answer at once; the service takes 32 a caller.
QUESTIONS_AT_ONCE = 16


@attrs.frozen
class Question:
    """Asks which workers may run the tasks of a step.

    Attributes:
        step: Name of the step: job, occurrence and index.
        workers: Workers that are named.
    """

    step: str
    workers: tuple[str, ...]


@attrs.define
class _Tickets:
    valid_until_s: float = -1e9
    by_worker: dict[str, str] = attrs.field(factory=dict)
    asked_s: float = -1e9
    pending: bool = False


class Advice:
    """Asks for tickets ahead of the starts that need them.

    Args:
        scheduler: Scheduler whose steps wait.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.tickets: dict[str, _Tickets] = {}
        self.questions: list[Question] = []

    def ticket(self, task: _job.Task, worker: _worker.Worker, now_s: float):
        """Returns a ticket for a start.

        Returns:
            The ticket; empty if none is needed; `None` if there is none.
        """
        queue = self.scheduler.configuration.queues.get(task.job.spec.queue)
        if queue is None or queue.advice is None:
            return ""
        entry = self.tickets.get(task.step_name)
        if entry is None or now_s > entry.valid_until_s:
            return None
        return entry.by_worker.get(worker.worker_id)

    def allowed(
        self,
        task: _job.Task,
        workers: list[_worker.Worker],
        now_s: float,
    ) -> list[_worker.Worker]:
        """Returns the workers that a task may run on; asks if need be."""
        queue = self.scheduler.configuration.queues.get(task.job.spec.queue)
        if queue is None or queue.advice is None:
            return workers
        allowed = [
            worker
            for worker in workers
            if self.ticket(task, worker, now_s) is not None
        ]
        if not any(worker.fits(task.spec) for worker in allowed):
            self._ask(task, workers, now_s)
        return allowed

    def _ask(
        self, task: _job.Task, workers: list[_worker.Worker], now_s: float
    ) -> None:
        name = task.step_name
        entry = self.tickets.setdefault(name, _Tickets())
        pending = sum(other.pending for other in self.tickets.values())
        if entry.pending or pending >= QUESTIONS_AT_ONCE:
            return
        if now_s - entry.asked_s < RETRY_S and now_s < entry.valid_until_s:
            return
        named = sorted(
            (worker for worker in workers if worker.could_fit(task.spec)),
            key=lambda worker: worker.cpu_used,
        )[:WORKERS_ASKED]
        if named:
            entry.pending = True
            entry.asked_s = now_s
            ids = tuple(worker.worker_id for worker in named)
            self.questions.append(Question(name, ids))

    def take_questions(self) -> list[Question]:
        """Returns the questions to ask now."""
        questions, self.questions = self.questions, []
        return questions

    def observe(
        self,
        question: Question,
        tickets: dict[str, str] | None,
        valid_s: float,
        now_s: float,
    ) -> None:
        """Notes an answer; `None` for tickets if there was none."""
        entry = self.tickets.setdefault(question.step, _Tickets())
        entry.pending = False
        if tickets is None:
            return
        entry.by_worker |= tickets
        entry.valid_until_s = now_s + valid_s * VALID_SHARE
