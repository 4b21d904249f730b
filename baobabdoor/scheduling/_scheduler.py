"""The state of all jobs and workers under one tenure, without I/O.

Facts come in by the `observe` methods and calls of callers; `plan` gives the
orders that follow. Times are seconds of the clock that counts suspension.
"""

import attrs

from baobabdoor.scheduling import _admission
from baobabdoor.scheduling import _advice
from baobabdoor.scheduling import _estimates
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _pacing
from baobabdoor.scheduling import _placement
from baobabdoor.scheduling import _relocation
from baobabdoor.scheduling import _stalls
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _upkeep
from baobabdoor.scheduling import _worker

# Run numbers of one tenure; a task is not started so often in one.
RUNS_PER_TENURE = 1000
# Lease that every call to a worker asks for: longer than a change of the
# holder takes, shorter than the platform's longest.
LEASE_S = 3.6
# Time for an order of the tenure before to arrive, and for the report that
# shows its effect.
SETTLE_S = 0.8
# Time after which a stop without an answer is repeated.
STOP_RETRY_S = 0.4
# Pause before a task is tried again where a worker had no room or was ill.
RETRY_DELAY_S = 0.15
# Jobs that are written in one transaction.
COMMIT_JOBS = 45
OUTCOMES = _types.OrderOutcome


@attrs.frozen
class Event:
    """A decision or a change of belief, for the log.

    Attributes:
        name: What happened.
        fields: The inputs that decided it.
    """

    name: str
    fields: dict


@attrs.define
class Options:
    """Limits that come from the platform.

    Attributes:
        stop_timeout_s: Longest time that a stop takes.
        early_s: Time by which a task may start before it is due.
        status_s: Time for which the state of an ended job is kept.
    """

    stop_timeout_s: float = 0.4
    early_s: float = 0.25
    status_s: float = 120.0


@attrs.define
class Snapshot:
    """Rows to write in one transaction.

    Attributes:
        jobs: Jobs with their content.
        change: Number of the newest change that is included.
    """

    jobs: list[tuple[_job.Job, bytes]]
    change: int


class Scheduler:
    """Decides which worker runs which task.

    Args:
        token: Fencing token of the tenure.
        tenure: Number of the tenure; the first is 0.
        configuration: Configuration in force.
        options: Limits.
        now_s: Start of the tenure.
        inherited_bound_s: Time after the start of the tenure until which a
            worker that does not answer may run tasks of earlier ones.
    """

    def __init__(
        self,
        token: int,
        tenure: int,
        configuration: _types.Configuration,
        options: Options,
        now_s: float,
        inherited_bound_s: float,
    ):
        self.token = token
        self.run_base = tenure * RUNS_PER_TENURE
        self.configuration = configuration
        self.options = options
        self.inherited_until_s = now_s + inherited_bound_s
        # Until then a stop of an earlier tenure may be at work unseen.
        self.settled_s = now_s + options.stop_timeout_s + SETTLE_S
        self.jobs: dict[str, _job.Job] = {}
        self.active: dict[str, _job.Job] = {}
        self.workers: dict[str, _worker.Worker] = {}
        # Workers that earlier tenures used and that have not answered.
        self.unfenced: set[str] = set()
        self.durations = _estimates.DurationModel()
        self.admission = _admission.Admission(self)
        self.upkeep = _upkeep.Upkeep(self)
        self.relocation = _relocation.Relocation(self)
        self.advice = _advice.Advice(self)
        # Pools in which a lasting task found no place.
        self.crowded_pools: set[str] = set()
        self.strays: dict[str, dict[tuple[str, int], float]] = {}
        self.change = 0
        self.dirty: dict[str, _job.Job] = {}
        self.fenced_off = False
        self.wall_ms = 0.0
        self.store_ms = 0.0
        self.events: list[Event] = []

    # Jobs.

    def load_job(self, job_id: str, value: bytes, version: int) -> None:
        """Takes over a job from its row."""
        job = _job.decode_job(job_id, value, version)
        self.jobs[job_id] = job
        if job.final:
            return
        self.active[job_id] = job
        for task in job.tasks():
            task.inherited = True
            task.last_run = self.run_base

    def submit(
        self, spec: _types.JobSpec, now_s: float
    ) -> _job.Job | _admission.Rejection:
        """Accepts a job, to be stored, or rejects it."""
        job = self.jobs.get(spec.job_id)
        if job is not None:
            return job
        queue = self.configuration.queues.get(spec.queue)
        new = spec.job_id not in self.admission.first_seen_
        verdict = self.admission.check(spec, now_s)
        if queue is not None and new and not spec.long_running:
            work = self.admission.measure(spec)[1]
            self.relocation.observe_arrival(queue.pool, work, now_s)
        if verdict.rejection is not None:
            return verdict.rejection
        first_ms = self.admission.first_seen_ms(spec.job_id, self.store_ms)
        job = _job.Job(spec, first_ms)
        job.timely = verdict.timely
        self.note(
            "job_accepted",
            job=spec.job_id,
            queue=spec.queue,
            timely=verdict.timely,
            **verdict.inputs,
        )
        for task in job.tasks():
            task.last_run = self.run_base
        self.jobs[spec.job_id] = job
        self.active[spec.job_id] = job
        self._touch(job)
        return job

    def adopt_row(self, job_id: str, value: bytes, version: int) -> None:
        """Replaces an unsaved job by the row that was found for it."""
        self.jobs.pop(job_id, None)
        self.active.pop(job_id, None)
        self.load_job(job_id, value, version)

    def cancel(self, job_id: str) -> _job.Job | None:
        """Cancels a job; its runs are stopped by the next plan."""
        job = self.jobs.get(job_id)
        if job is not None and not job.final:
            self._finish(job, _types.JobState.CANCELLED, "caller")
        return job

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""
        return sum(
            1
            for job in self.active.values()
            if job.spec.queue == queue
            and not job.begun
            and job.stored_state is not None
        )

    def shown_state(self, job: _job.Job) -> _types.JobState:
        """Returns the state for callers, which is never ahead of the store."""
        if job.stored_state in _types.FINAL_STATES:
            return job.stored_state
        if job.begun:
            return _types.JobState.RUNNING
        return _types.JobState.QUEUED

    def _touch(self, job: _job.Job) -> None:
        self.change += 1
        if not job.dirty:
            job.first_unsaved = self.change
        job.changed_at = self.change
        self.dirty[job.spec.job_id] = job

    def _finish(
        self, job: _job.Job, state: _types.JobState, reason: str
    ) -> None:
        job.state = state
        job.reason = reason
        job.ended_ms = self.store_ms
        self.active.pop(job.spec.job_id, None)
        for task in job.tasks():
            if task.run is not None:
                task.run.stopping = True
        self._touch(job)
        self.note(
            "job_ended", job=job.spec.job_id, state=state.value, reason=reason
        )

    def expire_jobs(self) -> list[_job.Job]:
        """Returns ended jobs whose state need not be kept any more."""
        limit_ms = self.store_ms - self.options.status_s * 1000
        old = [
            job
            for job in self.jobs.values()
            if job.final and not job.dirty and job.ended_ms < limit_ms
        ]
        return old[:COMMIT_JOBS]

    # The store.

    def begin_commit(self) -> Snapshot | None:
        """Returns the changed jobs to write next; `None` if there are none."""
        if not self.dirty:
            return None
        dirty = sorted(self.dirty.values(), key=lambda job: job.first_unsaved)
        chosen = dirty[:COMMIT_JOBS]
        return Snapshot([(job, job.encode()) for job in chosen], self.change)

    def finish_commit(self, snapshot: Snapshot, version: int) -> None:
        """Notes that a snapshot was stored."""
        for job, _ in snapshot.jobs:
            job.row_version = version
            job.saved_at = snapshot.change
            job.first_unsaved = snapshot.change + 1
            # Later changes wait for the next transaction.
            if not job.dirty:
                job.stored_state = job.state
                self.dirty.pop(job.spec.job_id, None)
            elif job.stored_state is None:
                job.stored_state = _types.JobState.QUEUED
        self.release_acknowledgements()

    def release_acknowledgements(self) -> None:
        """Lets ends be acknowledged whose effect is stored."""
        unsaved = [job.first_unsaved for job in self.dirty.values()]
        limit = min(unsaved, default=self.change + 1)
        for worker in self.workers.values():
            ends = worker.unsaved_ends
            while ends and ends[0][1] < limit:
                worker.acknowledged = ends.pop(0)[0]

    # Workers.

    def observe_worker(self, record: _types.WorkerRecord, now_s: float) -> None:
        """Notes a worker's entry in the platform's list."""
        worker = self.workers.get(record.worker_id)
        if worker is None:
            worker = _worker.Worker(record)
            worker.known_s = now_s
            self.workers[record.worker_id] = worker
            return
        moved = (
            worker.record.address != record.address
            or worker.record.pool != record.pool
        )
        if moved or record.born_ms > max(worker.born_ms, 1):
            self._restart(worker, record.born_ms, "list")
            worker.gone = False
            worker.fenced = False
            worker.known_s = now_s
        if record.draining and not worker.record.draining:
            self.note("worker_draining", worker=record.worker_id)
        worker.record = record
        worker.listed = True

    def observe_unlisted(self, worker_id: str) -> None:
        """Notes that a worker is no longer in the list."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False

    def observe_report(
        self, worker_id: str, report: _types.WorkerReport, now_s: float
    ) -> None:
        """Notes what a worker says of its runs."""
        worker = self.workers.get(worker_id)
        if worker is None or not self._accept_report(worker, report):
            return
        # Ends that it lists after its lease was over do not count.
        worker.lapsed = 0 < worker.lease_end_s < now_s
        if worker.lapsed:
            self._lose_runs(worker, "lease over")
        worker.observe_clock(report.clock_ms, now_s)
        worker.heard_s = now_s
        worker.fenced = True
        self.unfenced.discard(worker_id)
        lapsed = max(
            (end.number for end in report.ended if end.how == "lapsed"),
            default=0,
        )
        for end in report.ended:
            if end.number > worker.processed:
                self._observe_end(worker, end, lapsed, now_s)
        listed = {entry.task for entry in report.running}
        self._observe_strays(worker, report)
        for entry in report.running:
            self._observe_running(worker, entry, report.clock_ms, now_s)
        for name, run in list(worker.runs.items()):
            if name not in listed:
                self._observe_missing(worker, run, report.clock_ms, now_s)

    def _accept_report(
        self, worker: _worker.Worker, report: _types.WorkerReport
    ) -> bool:
        """Returns whether a report is of the newest life and not overtaken."""
        if report.born_ms < worker.born_ms:
            return False
        if report.born_ms != worker.born_ms:
            if worker.born_ms:
                self._restart(worker, report.born_ms, "report")
            worker.born_ms = report.born_ms
        elif report.clock_ms < worker.reported_ms:
            # Answers on different connections may overtake each other.
            return False
        worker.reported_ms = report.clock_ms
        return True

    def observe_silence(self, worker_id: str, now_s: float) -> None:
        """Notes that a worker did not answer."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.doubted_s = now_s

    def observe_wrong_worker(self, worker_id: str) -> None:
        """Notes that another worker answers at a worker's address."""
        self.retire_worker(worker_id, "replaced")

    def retire_worker(self, worker_id: str, reason: str) -> None:
        """Notes that the life of a worker is certainly over."""
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.gone:
            self.note("worker_retired", worker=worker_id, reason=reason)
            worker.gone = True
            self.unfenced.discard(worker_id)
            self._lose_runs(worker, f"worker {reason}")

    def _restart(
        self, worker: _worker.Worker, born_ms: int, source: str
    ) -> None:
        self.note(
            "worker_restarted",
            worker=worker.worker_id,
            born_ms=born_ms,
            source=source,
        )
        self._lose_runs(worker, "worker restarted")
        self.strays.pop(worker.worker_id, None)
        worker.born_ms = born_ms
        worker.clock_ms = 0
        worker.reported_ms = 0
        worker.lease_end_s = 0.0
        worker.processed = 0
        worker.acknowledged = 0
        worker.unsaved_ends = []

    def _lose_runs(self, worker: _worker.Worker, reason: str) -> None:
        for run in list(worker.runs.values()):
            self._release(worker, run, reason)

    def _release(
        self, worker: _worker.Worker, run: _job.Run, reason: str
    ) -> None:
        """Frees a run that certainly does not exist any more."""
        worker.remove_run(run)
        if run.task.run is run:
            run.task.run = None
        if not run.task.job.final:
            self.note(
                "run_lost",
                task=run.task.name,
                run=run.run_id,
                worker=worker.worker_id,
                reason=reason,
            )

    def _find_task(self, name: str) -> _job.Task | None:
        parts = _job.parse_task_name(name)
        job = self.jobs.get(parts[0]) if parts else None
        return job.find_task(*parts[1:]) if job else None

    def _observe_end(
        self,
        worker: _worker.Worker,
        end: _types.EndEntry,
        lapsed: int,
        now_s: float,
    ) -> None:
        worker.processed = end.number
        task = self._find_task(end.task)
        run = worker.runs.get(end.task)
        if run is not None and run.run_id == end.run_id:
            worker.remove_run(run)
            if task.run is run:
                task.run = None
            self._apply_end(worker, task, run, end, lapsed, now_s)
        elif task is not None and not worker.lapsed:
            # A run of an earlier tenure, or one that was given up here.
            open_task = task.inherited and task.run is None
            if open_task or end.how == "failed":
                self._apply_end(worker, task, None, end, lapsed, now_s)
        worker.unsaved_ends.append((end.number, self.change))

    def _apply_end(
        self,
        worker: _worker.Worker,
        task: _job.Task,
        run: _job.Run | None,
        end: _types.EndEntry,
        lapsed: int,
        now_s: float,
    ) -> None:
        job = task.job
        task.ended_s = now_s
        if end.how != "done" or end.run_id % 100 == 0:
            self.note(
                "run_ended",
                task=end.task,
                run=end.run_id,
                worker=worker.worker_id,
                how=end.how,
            )
        if job.final or task.done:
            return
        if end.checkpoint and task.spec.checkpointing:
            task.checkpoint = end.checkpoint
        if end.how == "done" and end.number > lapsed:
            worker.observe_success()
            self._apply_done(task, run, now_s)
        elif end.how == "failed" and end.run_id not in task.failed_runs:
            task.failed_runs |= {end.run_id}
            self._apply_failure(worker, task, now_s)

    def _apply_done(
        self, task: _job.Task, run: _job.Run | None, now_s: float
    ) -> None:
        job = task.job
        if task.spec.long_running:
            return
        if run is not None:
            self.durations.observe(
                job.spec.queue, task.spec, now_s - run.started_s
            )
        job.begun = True
        if task.spec.gang:
            for member in job.steps[task.occurrence, task.step]:
                job.complete_task(member)
        else:
            job.complete_task(task)
        if job.state is _types.JobState.COMPLETED:
            self._finish(job, _types.JobState.COMPLETED, "done")
        else:
            self._touch(job)

    def _apply_failure(
        self, worker: _worker.Worker, task: _job.Task, now_s: float
    ) -> None:
        job = task.job
        task.avoided |= {worker.worker_id}
        if worker.observe_failure(job.spec.job_id, now_s):
            self.note("worker_quarantined", worker=worker.worker_id)
        if task.spec.long_running:
            return
        failures = task.failures
        if task.spec.gang:
            members = job.steps[task.occurrence, task.step]
            failures = sum(member.failures for member in members)
        queue = self.configuration.queues.get(job.spec.queue)
        if queue is not None and failures >= queue.max_attempts:
            self._finish(job, _types.JobState.FAILED, "attempts used up")
        else:
            self._touch(job)

    def _observe_running(
        self,
        worker: _worker.Worker,
        entry: _types.RunEntry,
        clock_ms: int,
        now_s: float,
    ) -> None:
        run = worker.runs.get(entry.task)
        if run is None or run.run_id != entry.run_id:
            run = self._adopt(worker, entry, clock_ms, now_s)
            if run is None:
                return
        if not run.confirmed:
            run.confirmed = True
            run.clock_ms = clock_ms
        if entry.percent != run.percent:
            run.progressed_s = now_s
        run.percent = entry.percent
        run.gauge = entry.gauge
        if entry.checkpoint and run.task.spec.checkpointing:
            run.task.checkpoint = entry.checkpoint

    def _adopt(
        self,
        worker: _worker.Worker,
        entry: _types.RunEntry,
        clock_ms: int,
        now_s: float,
    ) -> _job.Run | None:
        task = self._find_task(entry.task)
        wanted = (
            task is not None
            and task.run is None
            and not task.done
            and not task.job.final
            and task.inherited
        )
        if not wanted:
            strays = self.strays.setdefault(worker.worker_id, {})
            strays.setdefault((entry.task, entry.run_id), -1e9)
            return None
        run = _job.Run(
            task,
            entry.run_id,
            worker.worker_id,
            now_s,
            confirmed=True,
            clock_ms=clock_ms,
            order_pending=False,
            progressed_s=now_s,
        )
        task.run = run
        task.last_run = max(task.last_run, entry.run_id)
        task.job.begun = True
        worker.add_run(run)
        return run

    def _observe_strays(
        self, worker: _worker.Worker, report: _types.WorkerReport
    ) -> None:
        strays = self.strays.get(worker.worker_id)
        if not strays:
            return
        running = {(entry.task, entry.run_id) for entry in report.running}
        for key in list(strays):
            if key not in running:
                del strays[key]

    def _observe_missing(
        self,
        worker: _worker.Worker,
        run: _job.Run,
        clock_ms: int,
        now_s: float,
    ) -> None:
        if run.confirmed and clock_ms > run.clock_ms:
            self._release(worker, run, "not listed")
        elif run.stop_clock_ms and clock_ms > run.stop_clock_ms:
            # Forbidden before it arrived.
            self._release(worker, run, "stopped before its start")

    # Orders.

    def hold_order(
        self,
        worker: _worker.Worker,
        wait_ms: int,
        now_s: float,
        may_extend: bool = True,
    ) -> _orders.HoldOrder:
        """Returns the next hold of a worker.

        Args:
            worker: The worker.
            wait_ms: How long the answer waits for an end.
            now_s: Current time.
            may_extend: Whether the tenure is certain enough to keep runs
                alive that a successor must know to end.
        """
        until_ms = 0
        # A worker that does not answer gets no longer lease, so that the end
        # of its runs becomes certain.
        silent = now_s - worker.heard_s > _worker.SILENCE_LIMIT_S
        silent |= worker.heard_s <= worker.doubted_s
        known = worker.fenced and worker.clock_ms
        if may_extend and known and not silent:
            until_ms = worker.lease_until_ms(now_s, LEASE_S)
        return _orders.HoldOrder(
            worker_id=worker.worker_id,
            address=worker.record.address,
            token=self.token,
            last_seen=worker.acknowledged,
            until_ms=until_ms,
            wait_ms=wait_ms if worker.fenced else 0,
        )

    def plan(self, now_s: float, may_start: bool) -> list[_orders.WorkerOrder]:
        """Returns the orders that are due.

        Args:
            now_s: Current time.
            may_start: Whether the tenure is certain enough to start runs.
        """
        self._expire_leases(now_s)
        if may_start:
            _stalls.give_up_stalled(self, now_s)
        orders = self._plan_stops(now_s)
        orders += _pacing.plan_paces(self, now_s)
        if may_start:
            orders += _placement.place(self, now_s)
        return orders

    def start_order(
        self, worker: _worker.Worker, task: _job.Task, now_s: float
    ) -> _orders.StartOrder:
        """Reserves room for a task and returns the order to start it."""
        task.last_run += 1
        run = _job.Run(
            task, task.last_run, worker.worker_id, now_s, progressed_s=now_s
        )
        task.run = run
        self.note(
            "run_ordered",
            task=task.name,
            run=run.run_id,
            worker=worker.worker_id,
            heard_ms=round((now_s - worker.heard_s) * 1000),
        )
        task.inherited = False
        task.job.begun = True
        worker.add_run(run)
        return _orders.StartOrder(
            worker_id=worker.worker_id,
            address=worker.record.address,
            token=self.token,
            task=task.name,
            run_id=run.run_id,
            payload=task.job.spec.payload,
            until_ms=worker.lease_until_ms(now_s, LEASE_S),
            checkpoint=task.checkpoint,
            ticket=self.advice.ticket(task, worker, now_s) or "",
        )

    def observe_start(
        self,
        order: _orders.StartOrder,
        result: _types.OrderResult,
        now_s: float,
    ) -> None:
        """Notes what became of a start."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get(order.task) if worker else None
        if run is None or run.run_id != order.run_id:
            return
        run.order_pending = False
        worker.observe_clock(result.clock_ms, now_s)
        outcome = result.outcome
        if outcome is OUTCOMES.ACCEPTED:
            run.confirmed = True
            run.clock_ms = result.clock_ms or worker.clock_ms
            return
        self.note(
            "start_refused",
            task=order.task,
            run=order.run_id,
            worker=order.worker_id,
            outcome=outcome.value,
            detail=result.detail,
        )
        if outcome in (OUTCOMES.UNKNOWN, OUTCOMES.NOT_SENT):
            worker.doubted_s = now_s
        if outcome is OUTCOMES.UNKNOWN:
            run.doubtful = True
            run.stopping = True
            return
        if outcome is OUTCOMES.WRONG_WORKER:
            self.observe_wrong_worker(order.worker_id)
            return
        self._release(worker, run, outcome.value)
        run.task.retry_at_s = now_s + RETRY_DELAY_S
        if outcome is OUTCOMES.FENCED:
            self.fenced_off = True
        elif outcome is OUTCOMES.OUTDATED_RUN:
            run.task.last_run += 10
        elif outcome is OUTCOMES.UNHEALTHY:
            worker.quarantined_until_s = now_s + 1.0

    def observe_pace(
        self, order: _orders.PaceOrder, result: _types.OrderResult
    ) -> None:
        """Notes what became of a change of pace."""
        worker = self.workers.get(order.worker_id)
        run = worker.runs.get(order.task) if worker else None
        if run is None or run.run_id != order.run_id:
            return
        if result.outcome is OUTCOMES.ACCEPTED:
            run.pace = order.percent
        elif result.outcome is OUTCOMES.FENCED:
            self.fenced_off = True

    def observe_stop(
        self, order: _orders.StopOrder, result: _types.OrderResult, now_s: float
    ) -> None:
        """Notes what became of a stop."""
        worker = self.workers.get(order.worker_id)
        if worker is None:
            return
        worker.observe_clock(result.clock_ms, now_s)
        if result.outcome is OUTCOMES.FENCED:
            self.fenced_off = True
        elif result.outcome is OUTCOMES.WRONG_WORKER:
            self.observe_wrong_worker(order.worker_id)
        run = worker.runs.get(order.task)
        if run is None or run.run_id != order.run_id:
            return
        run.order_pending = False
        if result.outcome is OUTCOMES.ACCEPTED:
            run.stop_clock_ms = result.clock_ms or worker.clock_ms

    def _expire_leases(self, now_s: float) -> None:
        if self.unfenced and now_s > self.inherited_until_s:
            self.note("workers_given_up", workers=sorted(self.unfenced))
            self.unfenced.clear()
        for worker_id, worker in list(self.workers.items()):
            over = now_s > worker.lease_end_s
            silent = now_s - worker.heard_s > _worker.SILENCE_LIMIT_S
            if worker.runs and over and silent:
                self._lose_runs(worker, "lease over")
            if worker.fenced and over and silent:
                # It may be another life; nothing is sent before it answers.
                worker.fenced = False
            unused = not worker.listed and not worker.runs
            if unused and silent and worker_id not in self.unfenced:
                del self.workers[worker_id]
                self.strays.pop(worker_id, None)

    def _plan_stops(self, now_s: float) -> list[_orders.WorkerOrder]:
        orders: list[_orders.WorkerOrder] = []
        for worker in self.workers.values():
            if worker.gone:
                continue
            for run in worker.runs.values():
                waiting = run.order_pending or run.stop_clock_ms
                if not run.stopping or waiting:
                    continue
                if now_s - run.stop_sent_s >= STOP_RETRY_S:
                    run.stop_sent_s = now_s
                    run.order_pending = True
                    orders.append(
                        self._stop_order(worker, run.task.name, run.run_id)
                    )
            for key, sent_s in self.strays.get(worker.worker_id, {}).items():
                if now_s - sent_s >= 2 * STOP_RETRY_S:
                    self.strays[worker.worker_id][key] = now_s
                    orders.append(self._stop_order(worker, *key))
        return orders

    def _stop_order(
        self, worker: _worker.Worker, task: str, run_id: int
    ) -> _orders.StopOrder:
        return _orders.StopOrder(
            worker_id=worker.worker_id,
            address=worker.record.address,
            token=self.token,
            task=task,
            run_id=run_id,
        )

    def inherited_blocked(self) -> bool:
        """Returns whether unseen runs of earlier tenures may exist."""
        return bool(self.unfenced)

    def note(self, name: str, **fields: object) -> None:
        """Adds an event for the log."""
        self.events.append(Event(name, fields))

    def take_events(self) -> list[Event]:
        """Returns the events since the last call."""
        events, self.events = self.events, []
        return events
