"""State of all jobs and workers during one term, without I/O.

The `observe` methods and callers' requests update the state; `plan` returns the
resulting orders. Times are seconds of a monotonic clock that counts suspension.
"""

from collections.abc import Iterator
import math

from baobabdoor import overload
from baobabdoor.scheduling import _active_jobs
from baobabdoor.scheduling import _admission
from baobabdoor.scheduling import _advice
from baobabdoor.scheduling import _autoscaler
from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _duplicates
from baobabdoor.scheduling import _early_cancels
from baobabdoor.scheduling import _estimates
from baobabdoor.scheduling import _fencing
from baobabdoor.scheduling import _gangs
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _lease_expiry
from baobabdoor.scheduling import _maintenance
from baobabdoor.scheduling import _options
from baobabdoor.scheduling import _order_handling
from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _pacing
from baobabdoor.scheduling import _persistence
from baobabdoor.scheduling import _placement
from baobabdoor.scheduling import _quotas
from baobabdoor.scheduling import _rejection
from baobabdoor.scheduling import _reports
from baobabdoor.scheduling import _retention
from baobabdoor.scheduling import _stalls
from baobabdoor.scheduling import _submission
from baobabdoor.scheduling import _trials
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_events

# Run numbers reserved for one term, more than the starts of a task in one.
MAX_RUNS_PER_TERM = 1000
# Time for an order of the previous term to arrive and for its effect to be
# reported.
SETTLE_S = 0.8


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
        options: _options.Options,
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
        self.active = _active_jobs.ActiveJobs()
        self.early_cancels = _early_cancels.EarlyCancels(self)
        self.workers: dict[str, _worker.Worker] = {}
        # Workers used by earlier terms that have not reported to this one.
        self.unfenced: set[str] = set()
        self.fencing = _fencing.WorkerFencing(token)
        self.durations = _estimates.DurationModel()
        self.admission = _admission.Admission(self)
        self.shedder = overload.LoadShedder()
        self.maintenance = _maintenance.MaintenancePlanner(self)
        self.autoscaler = _autoscaler.PoolAutoscaler(self)
        self.advice = _advice.Advice(self)
        self.crashes = _crashes.CrashTracker(self)
        self.trials = _trials.TrialPlacement(self.crashes)
        self.quotas = _quotas.Quotas(self)
        self.duplicates = _duplicates.Duplicates(self)
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
        self.events: list[_options.Event] = []

    # Jobs.

    def load_job(self, job_id: str, value: bytes, version: int) -> None:
        """Loads a job of an earlier term from its row."""
        job = _job.decode_job(job_id, value, version)
        self.jobs[job_id] = job
        self.early_cancels.load(job)
        if job.final:
            self.quotas.load(job)
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
    ) -> _job.Job | _rejection.Rejection:
        """Accepts a job, which is then to be stored, or rejects it."""
        return _submission.submit(self, spec, now_s)

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
        return _worker_events.witness_state(self, job, now_s)

    def pool_jobs(self, pool: str) -> Iterator[tuple[_job.Job, _types.Queue]]:
        """Yields the active jobs of a pool with their queues."""
        for name, queue in self.configuration.queues.items():
            if queue.pool == pool:
                yield from ((job, queue) for job in self.active.of_queue(name))

    def pending(self, queue: str) -> int:
        """Returns how many stored jobs of a queue have not started."""
        return sum(
            1
            for job in self.active.of_queue(queue)
            if not job.started and job.stored_state is not None
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
        runs = [run for task in job.tasks() for run in task.runs]
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

    def begin_commit(self) -> _persistence.Snapshot | None:
        """Returns the changed jobs to write next; `None` for none."""
        return _persistence.begin_commit(self)

    def withdraw(self, job: _job.Job) -> bool:
        """Drops a job that no write contained; returns whether it did."""
        return _persistence.withdraw(self, job)

    def withdraw_unwritten_jobs(self) -> int:
        """Drops all jobs that no write contained; returns their number."""
        return _persistence.withdraw_unwritten_jobs(self)

    def finish_commit(
        self, snapshot: _persistence.Snapshot, version: int
    ) -> None:
        """Records that a snapshot was stored."""
        _persistence.finish_commit(self, snapshot, version)

    def release_acknowledgements(self) -> None:
        """Allows the acknowledgement of ended runs whose effects are stored."""
        _persistence.release_acknowledgements(self)

    def observe_commit(self, version: int) -> None:
        """Records the version of a transaction of this term."""
        self.fencing.observe_commit(version)

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
        _worker_events.retire_worker(self, worker_id, reason, crashed)

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
        self.duplicates.remove_run(run)
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
            orders += self.duplicates.place(now_s)
        return orders

    def _expire_leases(self, now_s: float) -> None:
        _lease_expiry.expire_leases(self, now_s)

    def report_shortage(self, pool: str, machines: int) -> None:
        """Records how many more machines a pool needs for unplaced tasks."""
        known = self.machine_shortages.get(pool, 0)
        self.machine_shortages[pool] = max(known, machines)

    def inherited_blocked(self) -> bool:
        """Returns whether unreported runs of earlier terms may exist."""
        return bool(self.unfenced)

    def emit(self, name: str, **fields: object) -> None:
        """Appends an event for the log."""
        self.events.append(_options.Event(name, fields))

    def emit_run(self, name: str, run: _job.Run, **fields: object) -> None:
        """Appends an event about a run."""
        self.emit(
            name,
            task=run.task.name,
            run=run.run_id,
            worker=run.worker_id,
            **fields,
        )

    def take_events(self) -> list[_options.Event]:
        """Returns and clears the events since the last call."""
        events, self.events = self.events, []
        return events


def _may_get_runs(worker: _worker.Worker) -> bool:
    """Returns whether a worker may get starts once it is enrolled."""
    return worker.fenced and worker.listed and not worker.retired
