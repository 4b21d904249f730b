"""A worker of the users' platform in virtual time."""

import attrs

from baobabdoor import scheduling

OUTCOMES = scheduling.OrderOutcome


@attrs.define(eq=False)
class ModelRun:
    """A run on a worker.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        started_s: When it began.
        duration_s: How long it takes; infinite for a lasting task.
        fails: Whether it ends as failed.
        checkpoint: Progress that it was started with.
    """

    task: str
    run_id: int
    started_s: float
    duration_s: float
    fails: bool
    checkpoint: str = ""


class ModelWorker:
    """Runs tasks under a lease and a fencing token, as published.

    Args:
        record: Its entry in the list of workers.
        now_s: When it starts.
        clock_rate: Speed of its clock.
        make_run: Builds a run from an order.
        observe: Told each start and end, for the oracle.
    """

    def __init__(self, record, now_s, clock_rate, make_run, observe):
        self.record = record
        self.started_s = now_s
        self.clock_rate = clock_rate
        self.make_run = make_run
        self.observe = observe
        self.token = 0
        self.until_ms = 0
        self.runs: dict[str, ModelRun] = {}
        self.ends: list[scheduling.EndEntry] = []
        self.next_end = 1
        self.highest: dict[str, int] = {}
        self.lapsed_at = 0

    def clock_ms(self, now_s: float) -> int:
        """Returns the worker's clock."""
        return int((now_s - self.started_s) * 1000 * self.clock_rate) + 1000

    def advance(self, now_s: float) -> None:
        """Ends what is over."""
        clock_ms = self.clock_ms(now_s)
        for run in list(self.runs.values()):
            if now_s >= run.started_s + run.duration_s:
                self._end(run, "failed" if run.fails else "done")
        if self.runs and clock_ms > self.until_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        if clock_ms > self.until_ms:
            self.lapsed_at = self.next_end

    def _end(self, run: ModelRun, how: str) -> None:
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run_id)
        entry = scheduling.EndEntry(
            self.next_end, run.task, run.run_id, how, ""
        )
        self.next_end += 1
        self.ends.append(entry)
        self.observe.end(self, entry)

    def hold(self, order: scheduling.HoldOrder, now_s: float):
        """Extends the lease and returns both lists."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if order.token < self.token:
            return scheduling.OrderResult(OUTCOMES.FENCED, clock_ms)
        self.token = order.token
        self.until_ms = max(self.until_ms, order.until_ms)
        noted = [end for end in self.ends if end.number <= order.last_seen]
        for end in noted:
            if end.number >= self.lapsed_at:
                self.observe.note(end)
        self.ends = self.ends[len(noted) :]
        running = tuple(
            scheduling.RunEntry(
                run.task,
                run.run_id,
                "",
                100.0
                if run.duration_s == float("inf")
                else round(100 * (now_s - run.started_s) / run.duration_s),
                0.0,
            )
            for run in self.runs.values()
        )
        return scheduling.WorkerReport(
            clock_ms, self.record.start_time_ms, running, tuple(self.ends)
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
        present = self.runs.get(order.task)
        if present is not None and present.run_id == order.run_id:
            return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)
        outdated = order.run_id <= self.highest.get(order.task, 0)
        if outdated or present is not None:
            return scheduling.OrderResult(OUTCOMES.OUTDATED_RUN, clock_ms)
        self.until_ms = max(self.until_ms, order.until_ms)
        run = self.make_run(order, now_s)
        self.runs[order.task] = run
        self.observe.start(self, run, now_s)
        return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)

    def stop(self, order: scheduling.StopOrder, now_s: float):
        """Stops a run, or forbids it."""
        self.advance(now_s)
        clock_ms = self.clock_ms(now_s)
        if order.token < self.token:
            return scheduling.OrderResult(OUTCOMES.FENCED, clock_ms)
        self.token = order.token
        self.highest[order.task] = max(
            self.highest.get(order.task, 0), order.run_id
        )
        run = self.runs.get(order.task)
        if run is not None and run.run_id <= order.run_id:
            self._end(run, "stopped")
        return scheduling.OrderResult(OUTCOMES.ACCEPTED, clock_ms)
