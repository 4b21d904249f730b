"""State of all jobs and workers during one term, without I/O.

The `observe` methods and the requests of callers update the state; `plan`
returns the resulting orders. Times are seconds of a monotonic clock that also
advances while the system is suspended.
"""

from collections.abc import Iterator
import math

import attrs

from baobabdoor.scheduling import _admission
from baobabdoor.scheduling import _advice
from baobabdoor.scheduling import _autoscaler
from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _early_cancels
from baobabdoor.scheduling import _estimates
from baobabdoor.scheduling import _fencing
from baobabdoor.scheduling import _gangs
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _maintenance
from baobabdoor.scheduling import _order_handling
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _pacing
from baobabdoor.scheduling import _placement
from baobabdoor.scheduling import _reports
from baobabdoor.scheduling import _retention
from baobabdoor.scheduling import _stalls
from baobabdoor.scheduling import _trials
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_events

# Run numbers reserved for one term, more than the starts of a task in one.
MAX_RUNS_PER_TERM = 1000
# Time for an order of the previous term to arrive and for its effect to be
# reported.
SETTLE_S = 0.8
# Maximum jobs written in one transaction.
MAX_COMMIT_JOBS = 45
# Maximum bytes of their rows. In base64 they take half of the megabyte that a
# transaction may have; the rest is for other rows.
MAX_COMMIT_BYTES = 375_000
# Maximum share of a row that a new job takes up. The rest is for its progress.
MAX_NEW_JOB_SHARE = 0.5


@attrs.frozen
class Event:
    """A decision or change of state, for the log.

    Attributes:
        name: Name of the event.
        fields: Details, such as the inputs of the decision.
    """

    name: str
    fields: dict


@attrs.define
class Options:
    """Limits set by the platform.

    Attributes:
        stop_timeout_s: Maximum time that a stop takes.
        lease_s: Lease that every order to a worker requests.
        max_lease_s: Longest lease that a worker accepts.
        status_s: Retention time of the state of an ended job.
        move_s: Duration of a machine's move to another pool.
        maintenance_s: Duration of a machine's maintenance.
        max_entry_age_s: Maximum age of a worker's entry in the list for a
            start, since its capacity may have shrunk since.
        row_bytes: Maximum size of a row of the store.
    """

    stop_timeout_s: float = 0.4
    lease_s: float = _order_handling.LEASE_S
    max_lease_s: float = 6.0
    status_s: float = 120.0
    move_s: float = 1.5
    maintenance_s: float = 2.0
    max_entry_age_s: float = math.inf
    row_bytes: int = 65_536


@attrs.define
class Snapshot:
    """Job rows to write in one transaction.

    Attributes:
        jobs: Jobs with their encoded rows.
        revision: Newest revision that is included.
    """

    jobs: list[tuple[_job.Job, bytes]]
    revision: int


class Scheduler:
    """Decides which worker runs which task.

    Args:
        token: Fencing token of the term.
        term: Number of the term; the first is 0.
        configuration: Active configuration.
        options: Limits.
        now_s: Start of the term.
        inherited_bound_s: Time after the start of the term until which an
            unresponsive worker may run tasks of earlier terms.
    """

    def __init__(
        self,
        token: int,
        term: int,
        configuration: _types.Configuration,
        options: Options,
        now_s: float,
        inherited_bound_s: float,
    ):
        self.token = token
        self.run_base = term * MAX_RUNS_PER_TERM
        self.configuration = configuration
        self.options = options
        self.started_s = now_s
        self.inherited_until_s = now_s + inherited_bound_s
        # Until then a stop of an earlier term may take effect unnoticed.
        self.settled_s = now_s + options.stop_timeout_s + SETTLE_S
        self.jobs: dict[str, _job.Job] = {}
        self.active: dict[str, _job.Job] = {}
        self.early_cancels = _early_cancels.EarlyCancels(self)
        self.workers: dict[str, _worker.Worker] = {}
        # Workers used by earlier terms that have not reported to this one.
        self.unfenced: set[str] = set()
        self.fencing = _fencing.WorkerFencing(token)
        self.durations = _estimates.DurationModel()
        self.admission = _admission.Admission(self)
        self.maintenance = _maintenance.MaintenancePlanner(self)
        self.autoscaler = _autoscaler.PoolAutoscaler(self)
        self.advice = _advice.Advice(self)
        self.crashes = _crashes.CrashTracker(self)
        self.trials = _trials.TrialPlacement(self.crashes)
        # Additional machines for unplaced `long_running` tasks, by pool.
        self.machine_shortages: dict[str, int] = {}
        # Reported runs that are not needed, for example of unknown or ended
        # tasks, by worker, with the time at which their stop was last sent.
        self.unneeded_runs: dict[str, dict[tuple[str, int], float]] = {}
        # When runs were last checked for stalls.
        self.stalls_checked_s = -1e9
        self.revision = 0
        self.dirty: dict[str, _job.Job] = {}
        self.wall_ms = 0.0
        self.store_ms = 0.0
        self.events: list[Event] = []

    # Jobs.

    def load_job(self, job_id: str, value: bytes, version: int) -> None:
        """Loads a job of an earlier term from its row."""
        job = _job.decode_job(job_id, value, version)
        self.jobs[job_id] = job
        self.early_cancels.load(job)
        if job.final:
            return
        self.active[job_id] = job
        for task in job.tasks():
            task.inherited = True
            task.last_run = self.run_base
        self.crashes.load(job)

    def finish_loading(self) -> None:
        """Records that all jobs of earlier terms were loaded."""
        self.early_cancels.finish_loading()

    def submit(
        self, spec: _types.JobSpec, now_s: float
    ) -> _job.Job | _admission.Rejection:
        """Accepts a job, which is then to be stored, or rejects it."""
        job = self.jobs.get(spec.job_id)
        if job is not None:
            if not job.submitted:
                self.early_cancels.observe_submission(job)
            return job
        queue = self.configuration.queues.get(spec.queue)
        first_submission = spec.job_id not in self.admission.first_seen_
        decision = self.admission.check(spec, now_s)
        if queue is not None and first_submission and not spec.long_running:
            work = self.admission.estimate(spec)[1]
            accepted = decision.rejection is None
            self.autoscaler.observe_arrival(queue.pool, work, now_s, accepted)
        if decision.rejection is not None:
            return decision.rejection
        first_ms = self.admission.first_seen_ms(spec.job_id, self.store_ms)
        job = _job.Job(spec, first_ms)
        row_bytes = len(job.encode())
        if row_bytes > self.options.row_bytes * MAX_NEW_JOB_SHARE:
            return _admission.Rejection("too large", 0, {"bytes": row_bytes})
        job.timely = decision.timely
        self.emit(
            "job_accepted",
            job=spec.job_id,
            queue=spec.queue,
            timely=decision.timely,
            **decision.inputs,
        )
        for task in job.tasks():
            task.last_run = self.run_base
        self.jobs[spec.job_id] = job
        self.active[spec.job_id] = job
        self.mark_dirty(job)
        return job

    def cancel(self, job_id: str) -> _job.Job | None:
        """Cancels a job, if it is known; the next plan stops its runs."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if not job.final:
            self.finish_job(job, _types.JobState.CANCELLED, "caller")
        elif not job.submitted:
            # Each acknowledgement is followed by the whole retention time.
            self.early_cancels.renew(job)
        return job

    def cancel_early(self, job_id: str, queue: str) -> _job.Job | None:
        """Keeps the cancel of a job that is not known.

        Its submission may still be on its way.

        Args:
            job_id: The job.
            queue: Queue that the cancel names.

        Returns:
            The cancelled job; `None` if too many such cancels are kept.
        """
        return self.early_cancels.keep(job_id, queue)

    def witnesses_state(self, job: _job.Job, now_s: float) -> bool:
        """Returns whether workers show that no later leader has ended a job.

        A later leader fences the workers of the stored roster before it starts
        or ends a task on them, and a fenced worker does not report here.
        """
        for task in job.tasks():
            worker = self.workers.get(task.run.worker_id) if task.run else None
            if worker is not None and worker.responsive(now_s):
                return True
        listed = [
            worker
            for worker in self.workers.values()
            if worker.maybe_enrolled and worker.listed and not worker.retired
        ]
        return any(worker.enrolled for worker in listed) and all(
            worker.responsive(now_s) for worker in listed
        )

    def pool_jobs(self, pool: str) -> Iterator[tuple[_job.Job, _types.Queue]]:
        """Yields the active jobs of a pool with their queues."""
        for job in self.active.values():
            queue = self.configuration.queues.get(job.spec.queue)
            if queue is not None and queue.pool == pool:
                yield job, queue

    def pending(self, queue: str) -> int:
        """Returns how many stored jobs of a queue have not started."""
        return sum(
            1
            for job in self.active.values()
            if job.spec.queue == queue
            and not job.started
            and job.stored_state is not None
        )

    def visible_state(self, job: _job.Job) -> _types.JobState:
        """Returns the state for callers.

        An end is visible only after it is stored.
        """
        if job.stored_state in _types.FINAL_STATES:
            return job.stored_state
        if job.started:
            return _types.JobState.RUNNING
        return _types.JobState.QUEUED

    def mark_dirty(self, job: _job.Job) -> None:
        """Marks a job as changed, to be stored."""
        self.revision += 1
        if not job.dirty:
            job.first_unsaved_revision = self.revision
        job.changed_revision = self.revision
        self.dirty[job.spec.job_id] = job

    def finish_job(
        self, job: _job.Job, state: _types.JobState, reason: str
    ) -> None:
        """Ends a job; the next plan stops its runs."""
        job.state = state
        job.reason = reason
        job.ended_ms = self.store_ms
        self.active.pop(job.spec.job_id, None)
        runs = [task.run for task in job.tasks() if task.run is not None]
        for run in runs:
            run.stopping = True
        self.mark_dirty(job)
        self.emit(
            "job_ended",
            job=job.spec.job_id,
            state=state.value,
            reason=reason,
            runs_to_stop=len(runs),
        )

    def begin_removal(self) -> list[_job.Job]:
        """Returns ended jobs whose rows are to be removed next."""
        return _retention.begin_removal(self)

    def finish_removal(self, jobs: list[_job.Job]) -> None:
        """Drops jobs whose rows were removed."""
        _retention.finish_removal(self, jobs)

    # Persistence.

    def begin_commit(self) -> Snapshot | None:
        """Returns the changed jobs to write next; `None` for none."""
        if not self.dirty:
            return None
        rows = []
        left_bytes = MAX_COMMIT_BYTES
        for job in _early_cancels.write_order(self.dirty.values()):
            row = self._encode_row(job)
            left_bytes -= len(row)
            if rows and (left_bytes < 0 or len(rows) == MAX_COMMIT_JOBS):
                break
            rows.append((job, row))
        for job, _ in rows:
            job.write_attempted = True
        return Snapshot(rows, self.revision)

    def _encode_row(self, job: _job.Job) -> bytes:
        """Returns a job's row, which the store refuses if it is too large."""
        row = job.encode()
        if len(row) <= self.options.row_bytes:
            return row
        if not job.oversized:
            job.oversized = True
            self.emit("job_row_shortened", job=job.spec.job_id, bytes=len(row))
        return job.encode(with_attempts=False)

    def withdraw(self, job: _job.Job) -> bool:
        """Drops a job that no write contained.

        Returns:
            Whether it was dropped. If so, it certainly never runs; if not, it
            may be stored.
        """
        if job.write_attempted or self.active.get(job.spec.job_id) is not job:
            return False
        job.withdrawn = True
        for jobs in (self.jobs, self.active, self.dirty):
            jobs.pop(job.spec.job_id, None)
        self.emit("job_withdrawn", job=job.spec.job_id, queue=job.spec.queue)
        return True

    def withdraw_unwritten_jobs(self) -> int:
        """Drops all jobs that no write contained; returns their number."""
        return sum(self.withdraw(job) for job in list(self.active.values()))

    def finish_commit(self, snapshot: Snapshot, version: int) -> None:
        """Records that a snapshot was stored."""
        for job, _ in snapshot.jobs:
            job.row_version = version
            job.saved_revision = snapshot.revision
            job.first_unsaved_revision = snapshot.revision + 1
            # A job that changed again stays dirty for the next transaction.
            if not job.dirty:
                job.stored_state = job.state
                self.dirty.pop(job.spec.job_id, None)
            elif job.stored_state is None:
                job.stored_state = _types.JobState.QUEUED
        self.release_acknowledgements()

    def observe_commit(self, version: int) -> None:
        """Records the version of a transaction of this term."""
        self.fencing.observe_commit(version)

    def release_acknowledgements(self) -> None:
        """Allows the acknowledgement of ended runs whose effects are stored."""
        unsaved = [
            job.first_unsaved_revision
            for job in self.dirty.values()
            if not job.cancelled_early
        ]
        limit = min(unsaved, default=self.revision + 1)
        for worker in self.workers.values():
            ends = worker.unsaved_ends
            while ends and ends[0][1] < limit:
                worker.acknowledged = ends.pop(0)[0]

    # Workers.

    def workers_to_enroll(self) -> Iterator[_worker.Worker]:
        """Yields the workers that the next leader has to ask for their runs.

        They may get or have runs, or list ends whose effect is not stored.
        """
        for worker in self.workers.values():
            if (
                _may_get_runs(worker)
                or worker.runs
                or worker.unsaved_ends
                or worker.worker_id in self.unfenced
            ):
                yield worker

    def awaits_enrollment(self, worker: _worker.Worker) -> bool:
        """Returns whether a worker gets starts after a write of the roster."""
        return _may_get_runs(worker) and not worker.enrolled

    def observe_worker(
        self,
        record: _types.WorkerRecord,
        now_s: float,
        written_s: float = -math.inf,
    ) -> None:
        """Applies a worker's entry in the platform's list.

        Args:
            record: The entry.
            now_s: Current time.
            written_s: Earliest time at which the worker can have written it.
        """
        _worker_events.observe_worker(self, record, now_s, written_s)

    def observe_unlisted(self, worker_id: str) -> None:
        """Records that a worker is no longer in the list."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.listed = False
            worker.refused_record = None

    def observe_report(
        self,
        worker_id: str,
        report: _types.WorkerReport,
        token: int,
        now_s: float,
    ) -> None:
        """Applies a worker's report.

        Args:
            worker_id: The worker.
            report: The report.
            token: Fencing token of the hold that it answers.
            now_s: Current time.
        """
        _reports.observe_report(self, worker_id, report, token, now_s)

    def observe_fenced(self, order: _orders.WorkerOrder) -> None:
        """Applies the refusal of an order for its fencing token."""
        worker = self.workers.get(order.worker_id)
        self.fencing.observe_refusal(worker, order)

    @property
    def fenced_off(self) -> bool:
        """Whether a worker has shown that there is a later leader."""
        return self.fencing.fenced_off

    def observe_no_response(self, worker_id: str, now_s: float) -> None:
        """Records that a worker did not respond."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.observe_no_response(now_s)

    def observe_wrong_worker(self, worker_id: str, address: str) -> None:
        """Retires a worker at whose address another worker responds.

        Args:
            worker_id: The worker.
            address: Address that the order was sent to. What responds at a
                former address says nothing of it.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and address == worker.record.address:
            self.retire_worker(worker_id, "replaced", crashed=True)

    def retire_worker(
        self, worker_id: str, reason: str, crashed: bool = False
    ) -> None:
        """Releases the runs of a life of a worker that has certainly ended.

        The worker is retired, unless the list shows a later life of it
        elsewhere: that the known life has ended says nothing of that one. A
        start that is under way has a result of its own.

        Args:
            worker_id: The worker.
            reason: Reason, for the log.
            crashed: Whether it has crashed unless its end was planned.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.retired:
            self.emit(
                "worker_retired",
                worker=worker_id,
                reason=reason,
                address=worker.record.address,
                born_ms=worker.start_time_ms,
                runs=len(worker.runs),
                unfenced=worker_id in self.unfenced,
            )
            if crashed:
                self.crashes.observe_crash(worker)
            _worker_events.emit_lost_runs(self, worker, f"worker {reason}")
            for run in list(worker.runs.values()):
                if not run.start_pending:
                    self.release_run(worker, run, f"worker {reason}")
            if worker.refused_record is not None:
                _worker_events.follow_refused_entry(self, worker)
            else:
                worker.retired = True
                self.unfenced.discard(worker_id)

    def revive_worker(self, worker_id: str) -> None:
        """Reverses the retirement of a worker that still runs."""
        worker = self.workers.get(worker_id)
        if worker is not None and worker.retired:
            self.emit("worker_revived", worker=worker_id)
            worker.retired = False
            worker.fenced = False
            self.fencing.renew(worker)

    def restart_worker(
        self,
        worker: _worker.Worker,
        start_time_ms: int,
        source: str,
        now_s: float,
        listed_runs: frozenset[tuple[str, int]] = frozenset(),
    ) -> None:
        """Applies a restart of a worker, which ended its earlier runs.

        Args:
            worker: The worker.
            start_time_ms: Unix time of the start of the new incarnation.
            source: Source of the information, for the log.
            now_s: Current time.
            listed_runs: Task and number of each run that the new incarnation
                lists.
        """
        _worker_events.apply_restart(
            self, worker, start_time_ms, source, now_s, listed_runs
        )

    def release_all_runs(self, worker: _worker.Worker, reason: str) -> None:
        """Releases all runs of a worker, which certainly do not exist."""
        _worker_events.emit_lost_runs(self, worker, reason)
        for run in list(worker.runs.values()):
            self.release_run(worker, run, reason)

    def release_run(
        self, worker: _worker.Worker, run: _job.Run, reason: str
    ) -> None:
        """Releases the resources and task of a run that certainly has ended."""
        worker.remove_run(run)
        if run.task.run is run:
            run.task.run = None
        if run.confirmed:
            run.task.lost_runs += 1
        if not run.task.job.final:
            self.emit_run("run_lost", run, reason=reason)

    def find_task(self, name: str) -> _job.Task | None:
        """Returns a task by its name; `None` if it is unknown."""
        parts = _job.parse_task_name(name)
        job = self.jobs.get(parts[0]) if parts else None
        return job.find_task(*parts[1:]) if job else None

    # Orders.

    def hold_order(
        self,
        worker: _worker.Worker,
        wait_ms: int,
        now_s: float,
        may_extend: bool = True,
    ) -> _orders.HoldOrder:
        """Returns the next hold order for a worker."""
        return _order_handling.hold_order(
            self, worker, wait_ms, now_s, may_extend
        )

    def is_current_start(self, order: _orders.StartOrder) -> bool:
        """Returns whether a start may still be sent.

        It may have waited for its turn. If its worker has fallen silent or has
        restarted since, it could reach a life with another clock, to which its
        expiry means nothing.
        """
        worker = self.workers.get(order.worker_id)
        run = worker.find_run(order.task, order.run_id) if worker else None
        return (
            run is not None
            and not run.stopping
            and run.worker_start_ms == worker.start_time_ms
            and worker.last_report_s > worker.unanswered_s
        )

    def observe_start(
        self,
        order: _orders.StartOrder,
        result: _types.OrderResult,
        now_s: float,
    ) -> None:
        """Applies the result of a start."""
        _order_handling.observe_start(self, order, result, now_s)

    def observe_stop(
        self, order: _orders.StopOrder, result: _types.OrderResult
    ) -> None:
        """Applies the result of a stop."""
        _order_handling.observe_stop(self, order, result)

    def observe_pace(
        self, order: _orders.PaceOrder, result: _types.OrderResult
    ) -> None:
        """Applies the result of a change of pace."""
        _order_handling.observe_pace(self, order, result)

    def plan(self, now_s: float, may_start: bool) -> list[_orders.WorkerOrder]:
        """Returns the orders that are due.

        Args:
            now_s: Current time.
            may_start: Whether the term is certain to be current, as starts
                require.
        """
        self.crashes.now_s = now_s
        self._expire_leases(now_s)
        if (
            may_start
            and now_s - self.stalls_checked_s >= _stalls.CHECK_INTERVAL_S
        ):
            self.stalls_checked_s = now_s
            _stalls.stop_stalled_runs(self, now_s)
            _gangs.stop_incomplete_gangs(self)
        orders = _order_handling.plan_stops(self, now_s)
        orders += _pacing.plan_paces(self, now_s)
        if may_start:
            orders += _placement.place_tasks(self, now_s)
        return orders

    def _expire_leases(self, now_s: float) -> None:
        if self.unfenced and now_s > self.inherited_until_s:
            self._give_up_workers(now_s)
        for worker_id, worker in list(self.workers.items()):
            expired = worker.lease.has_ended(now_s)
            overdue = worker.report_overdue(now_s)
            if worker.runs and expired and overdue:
                self._release_expired_runs(worker, now_s)
            if worker.fenced and expired and overdue:
                # It may have restarted; it gets no starts before it reports.
                worker.fenced = False
            unused = not (worker.listed or worker.runs or worker.unsaved_ends)
            if unused and overdue and worker_id not in self.unfenced:
                del self.workers[worker_id]
                self.fencing.remove(worker)
                self.unneeded_runs.pop(worker_id, None)

    def _release_expired_runs(
        self, worker: _worker.Worker, now_s: float
    ) -> None:
        """Releases the runs of a silent worker that ended with their lease."""
        ended = [
            run
            for run in worker.runs.values()
            if worker.run_has_ended(run, now_s)
        ]
        if not ended:
            return
        self.crashes.observe_lapse(worker, now_s)
        _worker_events.emit_lost_runs(self, worker, "lease expired")
        for run in ended:
            self.release_run(worker, run, "lease expired")

    def _give_up_workers(self, now_s: float) -> None:
        """Stops waiting for workers whose runs of earlier terms have ended."""
        given_up = []
        for worker_id in sorted(self.unfenced):
            worker = self.workers.get(worker_id)
            # Leases that this term has extended have not expired, so the ends
            # that are still to be listed count.
            if worker is None or not worker.ends_outstanding(now_s):
                given_up.append(worker_id)
        if given_up:
            self.emit(
                "workers_given_up",
                workers=given_up,
                after_ms=round((now_s - self.started_s) * 1000),
            )
            self.unfenced.difference_update(given_up)

    def report_shortage(self, pool: str, machines: int) -> None:
        """Records how many more machines a pool needs for unplaced tasks."""
        known = self.machine_shortages.get(pool, 0)
        self.machine_shortages[pool] = max(known, machines)

    def inherited_blocked(self) -> bool:
        """Returns whether unreported runs of earlier terms may exist."""
        return bool(self.unfenced)

    def emit(self, name: str, **fields: object) -> None:
        """Appends an event for the log."""
        self.events.append(Event(name, fields))

    def emit_run(self, name: str, run: _job.Run, **fields: object) -> None:
        """Appends an event about a run."""
        self.emit(
            name,
            task=run.task.name,
            run=run.run_id,
            worker=run.worker_id,
            **fields,
        )

    def take_events(self) -> list[Event]:
        """Returns and clears the events since the last call."""
        events, self.events = self.events, []
        return events


def _may_get_runs(worker: _worker.Worker) -> bool:
    """Returns whether a worker may get starts once it is enrolled."""
    return worker.fenced and worker.listed and not worker.retired
