"""Model of a worker of the users' platform."""

import math

import attrs

from baobabdoor import scheduling

OUTCOMES = scheduling.OrderOutcome
# Maximum ended runs in one report according to the platform's documentation.
MAX_LISTED_ENDS = 500
DEFAULT_MAX_LEASE_S = scheduling.Options().max_lease_s


@attrs.define(eq=False)
class ModelRun:
    """A run of a task on a worker.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        started_s: Time of its start.
        duration_s: Its duration; infinite for a task without an end.
        fails: Whether it fails at its end.
        checkpoint: Latest checkpoint; at first the one that it was started
            from.
        checkpoint_interval_s: Work after which it produces a checkpoint;
            infinite for a task without checkpoints.
        resumed_work_s: Work that was done at the checkpoint that it was started
            from.
        restore_s: Time at its start in which it restores that checkpoint.
    """

    task: str
    run_id: int
    started_s: float
    duration_s: float
    fails: bool
    checkpoint: str = ""
    checkpoint_interval_s: float = math.inf
    resumed_work_s: float = 0.0
    restore_s: float = 0.0

    @property
    def checkpointing(self) -> bool:
        """Whether it produces checkpoints."""
        return self.checkpoint_interval_s < math.inf

    def work_s(self, now_s: float) -> float:
        """Returns the work that is done, also by the runs it resumes."""
        elapsed_s = min(now_s - self.started_s, self.duration_s)
        return self.resumed_work_s + max(0.0, elapsed_s - self.restore_s)

    def percent(self, now_s: float) -> float:
        """Returns the share of the work that is done."""
        if self.duration_s == math.inf:
            return 100.0
        total_s = self.work_s(self.started_s + self.duration_s)
        return round(100 * self.work_s(now_s) / total_s) if total_s else 100


class Checkpoints:
    """Issues unique checkpoints and knows the task and the work of each.

    Values ascend with the work of a task, as in the platform's documentation.
    """

    def __init__(self):
        self.issued: dict[str, tuple[str, float]] = {}

    def issue(self, task: str, work_s: float) -> str:
        """Returns a new checkpoint of a task."""
        value = f"{round(work_s * 1000):08x}{len(self.issued) + 1:08x}"
        self.issued[value] = (task, work_s)
        return value

    def resume(self, run: ModelRun, checkpoint: str, restore_s: float) -> None:
        """Starts a run from a checkpoint; an empty one has no effect."""
        if checkpoint:
            run.checkpoint = checkpoint
            run.resumed_work_s = self.work_s(checkpoint)
            run.restore_s = restore_s

    def task(self, checkpoint: str) -> str | None:
        """Returns the task that produced a checkpoint; `None` if none did."""
        return self.issued.get(checkpoint, (None, 0.0))[0]

    def work_s(self, checkpoint: str) -> float:
        """Returns the work that a checkpoint saves."""
        return self.issued.get(checkpoint, (None, 0.0))[1]


class ModelWorker:
    """Runs tasks under a lease and a fencing token, as the protocol specifies.

    Args:
        record: Its entry in the list of workers.
        now_s: Time of its start.
        clock_rate: Rate of its clock relative to real time.
        make_run: Creates a run from an order.
        observer: Notified of starts, ends and acknowledgements of runs.
        max_lease_s: Maximum duration of a lease, to which it shortens longer
            ones.
        max_listed_ends: Maximum ended runs in one report.
        checkpoints: Issues the checkpoints of runs.
    """

    def __init__(
        self,
        record,
        now_s,
        clock_rate,
        make_run,
        observer,
        max_lease_s=DEFAULT_MAX_LEASE_S,
        max_listed_ends=MAX_LISTED_ENDS,
        checkpoints=None,
    ):
        self.record = record
        self.started_s = now_s
        self.clock_rate = clock_rate
        self.make_run = make_run
        self.observer = observer
        self.max_lease_s = max_lease_s
        self.max_listed_ends = max_listed_ends
        self.checkpoints = checkpoints or Checkpoints()
        self.token = 0
        self.lease_end_ms = 0
        self.runs: dict[str, ModelRun] = {}
        self.ends: list[scheduling.EndEntry] = []
        self.next_end_number = 1
        self.highest_run_ids: dict[str, int] = {}
        self.first_end_since_lapse = 0

    def clock_ms(self, now_s: float) -> int:
        """Returns the time of the worker's clock."""
        return int((now_s - self.started_s) * 1000 * self.clock_rate) + 1000

    def _extend_lease(self, until_ms: int, clock_ms: int) -> None:
        latest_ms = clock_ms + int(self.max_lease_s * 1000)
        self.lease_end_ms = max(self.lease_end_ms, min(until_ms, latest_ms))

    def advance(self, now_s: float) -> None:
        """Ends runs that are finished or whose lease has expired."""
        clock_ms = self.clock_ms(now_s)
        for run in list(self.runs.values()):
            self._save(run, now_s)
            if now_s >= run.started_s + run.duration_s:
                self._end(run, "failed" if run.fails else "done")
        if self.runs and clock_ms > self.lease_end_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        if clock_ms > self.lease_end_ms:
            self.first_end_since_lapse = self.next_end_number

    def _save(self, run: ModelRun, now_s: float) -> None:
        """Produces a checkpoint if a further interval of work is done."""
        if not run.checkpointing:
            return
        work_s = run.work_s(now_s)
        saved_s = self.checkpoints.work_s(run.checkpoint)
        if work_s - saved_s >= run.checkpoint_interval_s:
            run.checkpoint = self.checkpoints.issue(run.task, work_s)

    def _end(self, run: ModelRun, outcome: str) -> None:
        del self.runs[run.task]
        self.highest_run_ids[run.task] = max(
            self.highest_run_ids.get(run.task, 0), run.run_id
        )
        entry = scheduling.EndEntry(
            self.next_end_number,
            run.task,
            run.run_id,
            outcome,
            run.checkpoint,
        )
        self.next_end_number += 1
        self.ends.append(entry)
        self.observer.on_end(self, entry)

    def hold(self, order: scheduling.HoldOrder, now_s: float):
        """Extends the lease and returns the running and the ended runs."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if order.token < self.token:
            return scheduling.OrderResult(OUTCOMES.FENCED, clock_ms)
        self.token = order.token
        self._extend_lease(order.until_ms, clock_ms)
        acknowledged = [
            end for end in self.ends if end.number <= order.last_seen
        ]
        for end in acknowledged:
            if end.number >= self.first_end_since_lapse:
                self.observer.on_acknowledgement(end)
        self.ends = self.ends[len(acknowledged) :]
        running = tuple(
            scheduling.RunEntry(
                run.task,
                run.run_id,
                run.checkpoint,
                run.percent(now_s),
                0.0,
            )
            for run in self.runs.values()
        )
        return scheduling.WorkerReport(
            clock_ms,
            self.record.start_time_ms,
            running,
            tuple(self.ends[: self.max_listed_ends]),
            lists_all_ends=len(self.ends) < self.max_listed_ends,
        )

    def start(self, order: scheduling.StartOrder, now_s: float):
        """Starts a run unless the order is outdated."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if order.token < self.token:
            return scheduling.OrderResult(OUTCOMES.FENCED, clock_ms)
        self.token = order.token
        if order.until_ms <= clock_ms:
            return scheduling.OrderResult(OUTCOMES.EXPIRED, clock_ms)
        current = self.runs.get(order.task)
        if current is not None and current.run_id == order.run_id:
            return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)
        outdated = order.run_id <= self.highest_run_ids.get(order.task, 0)
        if outdated or current is not None:
            return scheduling.OrderResult(OUTCOMES.OUTDATED_RUN, clock_ms)
        self._extend_lease(order.until_ms, clock_ms)
        run = self.make_run(order, now_s)
        self.runs[order.task] = run
        self.observer.on_start(self, run, now_s)
        return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)

    def stop(self, order: scheduling.StopOrder, now_s: float):
        """Stops a run, or prevents its start."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if order.token < self.token:
            return scheduling.OrderResult(OUTCOMES.FENCED, clock_ms)
        self.token = order.token
        self.highest_run_ids[order.task] = max(
            self.highest_run_ids.get(order.task, 0), order.run_id
        )
        run = self.runs.get(order.task)
        if run is not None and run.run_id <= order.run_id:
            if run.checkpointing:
                run.checkpoint = self.checkpoints.issue(
                    run.task, run.work_s(now_s)
                )
            self._end(run, "stopped")
        return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)
