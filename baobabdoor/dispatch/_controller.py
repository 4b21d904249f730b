"""Runs the scheduler during one term as leader and executes its orders."""

import asyncio
import contextlib
import math
import time

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _commits
from baobabdoor.dispatch import _election
from baobabdoor.dispatch import _faults
from baobabdoor.dispatch import _holds
from baobabdoor.dispatch import _job_requests
from baobabdoor.dispatch import _leader_load
from baobabdoor.dispatch import _load_heartbeats
from baobabdoor.dispatch import _loading
from baobabdoor.dispatch import _order_sender
from baobabdoor.dispatch import _release
from baobabdoor.dispatch import _table_follower
from baobabdoor.dispatch import _transactions
from baobabdoor.dispatch import _waves

# Maximum time between two planning passes without a request for one.
PLAN_INTERVAL_S = 0.1
WORKERS_FEED_WAIT_S = 1.0
WORKERS_FEED_PAUSE_S = 0.25
EXPIRY_INTERVAL_S = 20.0
# Pause between two transactions that remove the rows of expired jobs.
EXPIRY_PAUSE_S = 0.05
LOG = observability.get_logger("controller")


class Controller:
    """Drives workers, runs, jobs and the store while this daemon is leader.

    Args:
        daemon: The daemon that provides clients and configuration.
        leader: Leader record of this term.
        confirmed_s: When the request that won the election was sent.
    """

    def __init__(self, daemon, leader: _election.Leader, confirmed_s: float):
        self.daemon = daemon
        self.leader = leader
        self.faults = _faults.FaultLog(daemon.metrics)
        self.store: platform.StoreClient = daemon.store
        self.worker_client: platform.WorkerClient = daemon.worker_client
        now_s = platform.boot_time_s()
        lease_s = min(scheduling.LEASE_S, daemon.settings.max_lease_s)
        self.scheduler = scheduling.Scheduler(
            leader.token,
            leader.number,
            daemon.configuration,
            scheduling.Options(
                stop_timeout_s=daemon.settings.stop_timeout_s,
                lease_s=lease_s,
                max_lease_s=daemon.settings.max_lease_s,
                status_s=daemon.settings.status_s,
                move_s=daemon.settings.move_s,
                maintenance_s=daemon.settings.maintenance_s,
                max_entry_age_s=daemon.settings.contact_s,
                row_bytes=daemon.settings.row_bytes,
                quota_window_s=daemon.settings.quota_window_s,
                quota_slack=daemon.settings.quota_slack,
                move_rate=daemon.settings.move_rate,
                job_bytes=daemon.bounds.job_bytes,
            ),
            now_s,
            _election.inherited_bound_s(daemon.settings.max_lease_s),
        )
        # Time of the newest answer about the list of workers, on the store's
        # clock.
        self.workers_seen_ms = -math.inf
        self.committer = _commits.Committer(
            self.store,
            leader,
            self.scheduler,
            confirmed_s,
            self.end,
            daemon.metrics,
        )
        self.load = _leader_load.LeaderLoad(daemon.metrics, now_s)
        self.pass_pacing = scheduling.PassPacing()
        self.order_sender = _order_sender.OrderSender(self)
        self.wave_runner = _waves.WaveRunner(daemon, self)
        # Accepted jobs whose row cannot be read.
        self.unreadable_jobs: set[str] = set()
        # Set once the state is loaded, or once the term has ended without it.
        self.loaded = asyncio.Event()
        self.ended = False
        self.plan_requested = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.poller = _holds.WorkerPoller(self)
        self.requests = _job_requests.JobRequests(self)
        self.term_release = _release.TermRelease(self)
        self.background_tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Starts the term."""
        self._supervise(self._take_over())

    def _supervise(self, coroutine) -> asyncio.Task:
        """Runs a background task; an exception in it ends the term."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        task.add_done_callback(self.observe_task_end)
        return task

    def observe_task_end(self, task: asyncio.Task) -> None:
        """Ends the term if a background task has failed."""
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        LOG.error("tenure_failed", error=repr(error), exc_info=error)
        self.end("a background task failed")

    def end(self, reason: str) -> None:
        """Ends the term immediately; planned starts are no longer sent."""
        if self.ended:
            return
        self.ended = True
        LOG.warning(
            "tenure_ended",
            token=self.leader.token,
            reason=reason,
            confirmed_ms_ago=round(self._confirmed_age_s() * 1000),
        )
        for task in [*self.tasks, *self.poller.tasks.values()]:
            task.cancel()
        self.loaded.set()
        self.committer.notify_committed()
        self.daemon.observe_term_end(self)

    async def release(self, timeout_s: float) -> None:
        """Stores pending changes and releases leadership.

        Args:
            timeout_s: Time in seconds after which the term ends here anyway.
        """
        await self.term_release.run(timeout_s)

    # Loading the state of earlier terms.

    async def _take_over(self) -> None:
        started_s = platform.boot_time_s()
        heartbeats = self._supervise(
            _load_heartbeats.write_heartbeats(self.committer)
        )
        jobs, roster, waves, sequence, turns = await asyncio.gather(
            _loading.read_rows(self.store, _commits.JOBS_TABLE),
            _loading.read_rows(self.store, _commits.ROSTER_TABLE),
            _loading.read_rows(self.store, _commits.WAVES_TABLE),
            _loading.read_rows(self.store, _transactions.SEQUENCE_TABLE),
            self.committer.learned_turns.read(),
        )
        self.update_clocks()
        await _loading.load_jobs(self, jobs)
        for row in roster:
            try:
                self._load_roster(row)
            except Exception as error:
                # The workers of this row may have runs of earlier terms, which
                # delays inherited tasks until their leases have expired.
                self.faults.observe_row("roster_unreadable", row, error)
                mark = _commits.unreadable_roster_mark(row.key)
                self.scheduler.unfenced.add(mark)
        for row in waves:
            try:
                self.committer.wave_document(int(row.key)).load(row)
            except ValueError as error:
                self.faults.observe_row("wave_row_ignored", row, error, "wave")
        self._load_turns(turns)
        self.committer.sequence.load(sequence)
        heartbeats.cancel()
        LOG.info(
            "tenure_loaded",
            token=self.leader.token,
            jobs=len(self.scheduler.jobs),
            active=len(self.scheduler.active),
            workers=len(self.scheduler.workers),
            took_ms=round((platform.boot_time_s() - started_s) * 1000),
        )
        follower = _table_follower.TableFollower(
            self.store,
            platform.WORKERS_TABLE,
            "",
            self._observe_workers,
            WORKERS_FEED_WAIT_S,
            WORKERS_FEED_PAUSE_S,
        )
        for coroutine in (
            self.load.run(_leader_load.READING, follower.run()),
            self.load.run(_leader_load.STORING, self.committer.run()),
            self._plan_loop(),
            self._expire_loop(),
            self.wave_runner.run(),
        ):
            self._supervise(coroutine)
        self.poller.start()
        self.loaded.set()

    def _load_turns(self, rows: tuple[platform.StoredRow, ...]) -> None:
        for row in rows:
            try:
                self.committer.learned_turns.load(row, platform.boot_time_s())
            except ValueError as error:
                self.faults.observe_row("turns_row_ignored", row, error)

    def _load_roster(self, row: platform.StoredRow) -> None:
        for worker_id, entry in self.committer.load_roster(row).items():
            address, pool, zone, start_time_ms, machine = entry
            texts = (address, pool, zone, machine)
            if not all(isinstance(text, str) for text in texts):
                raise TypeError(f"{worker_id}: expected texts, found {texts}")
            if not isinstance(start_time_ms, int):
                raise TypeError(f"{worker_id}: found {start_time_ms!r:.80}")
            # Its capacity is unknown until it is listed.
            record = scheduling.WorkerRecord(
                worker_id=worker_id,
                address=address,
                pool=pool,
                zone=zone,
                machine=machine,
                draining=False,
                start_time_ms=start_time_ms,
                cpu_milli=0,
                memory_mb=0,
                gpus=0,
                labels=frozenset(),
            )
            self.scheduler.observe_worker(record, platform.boot_time_s())
            self.scheduler.observe_unlisted(worker_id)
            worker = self.scheduler.workers[worker_id]
            worker.start_time_ms = start_time_ms
            worker.enrolled = True
            self.scheduler.unfenced.add(worker_id)

    # Workers.

    def _observe_workers(self, rows, answer, is_snapshot: bool) -> None:
        now_s = platform.boot_time_s()
        written_ms = self._entries_written_ms(answer, is_snapshot)
        written_s = now_s - (self.store.now_ms() - written_ms) / 1000
        for row in rows:
            self._observe_worker_row(row, now_s, written_s)
        if is_snapshot:
            listed = {row.key for row in rows}
            for worker_id in set(self.scheduler.workers) - listed:
                self.scheduler.observe_unlisted(worker_id)
        self.poller.start()
        self.request_plan()

    def _observe_worker_row(
        self, row: platform.StoredRow, now_s: float, written_s: float
    ) -> None:
        """Applies a row of the list of workers.

        A row that cannot be applied counts as removed: the worker gets no new
        runs, and keeps those that it has.
        """
        if row.removed:
            LOG.info("worker_unlisted", worker=row.key)
            self.scheduler.observe_unlisted(row.key)
            return
        try:
            record = platform.decode_worker(row.key, row.value)
            self.scheduler.observe_worker(record, now_s, written_s)
        except Exception as error:
            # Any program may write rows here, and each leader reads them.
            self.faults.observe_row(
                "worker_entry_ignored", row, error, "worker"
            )
            self.scheduler.observe_unlisted(row.key)

    def _entries_written_ms(
        self, answer: platform.RowSet, is_snapshot: bool
    ) -> float:
        """Returns when the entries in an answer were written at the earliest.

        Returns:
            Time on the store's clock in milliseconds; negative infinity if it
            is unknown since workers could not write during an outage.
        """
        previous_ms = self.workers_seen_ms
        self.workers_seen_ms = answer.store_ms
        if not is_snapshot:
            return previous_ms
        heartbeat_ms = self.daemon.settings.heartbeat_s * 1000
        written_ms = answer.store_ms - heartbeat_ms
        outage_ended_ms = self.daemon.election.outage_ended_ms
        return written_ms if written_ms > outage_ended_ms else -math.inf

    # Orders.

    def request_plan(self) -> None:
        """Requests a planning pass."""
        self.plan_requested.set()

    def update_clocks(self) -> None:
        """Passes the current times to the scheduler."""
        self.scheduler.store_ms = self.store.now_ms()
        self.scheduler.wall_ms = time.time() * 1000

    async def _plan_loop(self) -> None:
        # `wait_for` may return instead of being cancelled at the end.
        while not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.plan_requested.wait(), PLAN_INTERVAL_S
                )
            pause_s = self.pass_pacing.pause_s
            due_s = platform.boot_time_s() + pause_s
            await asyncio.sleep(pause_s)
            started_s = platform.boot_time_s()
            self.load.observe_delay(started_s - due_s)
            self.plan_requested.clear()
            self.load.call(_leader_load.PLANNING, self._plan)
            ended_s = platform.boot_time_s()
            self.pass_pacing.observe(ended_s - started_s)
            delay_s = ended_s - due_s + pause_s
            self.scheduler.shedder.observe(delay_s, ended_s)
            self.load.observe_pass(
                ended_s - started_s, PLAN_INTERVAL_S, self.scheduler
            )
            self.load.report(ended_s, self.scheduler)

    def recently_confirmed(self) -> bool:
        """Returns whether leadership was confirmed recently enough."""
        return self._confirmed_age_s() < _election.START_WINDOW_S

    def knows_all_jobs(self) -> bool:
        """Returns whether no other leader can have accepted a job.

        A release may have been applied before its answer arrives.
        """
        return self.recently_confirmed() and not self.committer.releasing

    def knows_state(self, job: scheduling.Job) -> bool:
        """Returns whether no other leader can have changed a job's state."""
        return self.knows_all_jobs() or self.scheduler.witnesses_state(
            job, platform.boot_time_s()
        )

    def describe_term(self) -> str:
        """Returns the term and the age of its confirmation, for logs."""
        age_ms = round(self._confirmed_age_s() * 1000)
        return f"token={self.leader.token} confirmed_ms_ago={age_ms}"

    def may_send(self) -> bool:
        """Returns whether a planned order may still be sent."""
        return self.recently_confirmed() and not self._may_be_replaced()

    def may_extend(self) -> bool:
        """Returns whether an order that extends a lease may be sent."""
        in_window = self._confirmed_age_s() < _election.EXTEND_WINDOW_S
        return in_window and not self._may_be_replaced()

    def _may_be_replaced(self) -> bool:
        """Returns whether another leader may start before a heartbeat is due.

        The bound on leases of earlier terms counts from the start of the next
        one, which may follow a release at once.
        """
        return self.ended or self.committer.release_possible

    def may_start(self, order: scheduling.StartOrder) -> bool:
        """Returns whether a start may still be sent."""
        return self.may_send() and self.scheduler.is_current_start(order)

    def _confirmed_age_s(self) -> float:
        return platform.boot_time_s() - self.committer.confirmed_s

    def _plan(self) -> None:
        self.scheduler.configuration = self.daemon.configuration
        self.update_clocks()
        now_s = platform.boot_time_s()
        may_start = self.recently_confirmed() and not self.committer.releasing
        if may_start:
            self.wave_runner.plan(now_s)
        for order in self.scheduler.plan(now_s, may_start):
            self.spawn(
                self.load.run(
                    _leader_load.SENDING, self.order_sender.send(order)
                )
            )
        for question in self.scheduler.advice.take_requests():
            self.spawn(self.order_sender.ask_advice(question))
        if self.scheduler.dirty:
            self.committer.write_requested.set()
        for event in self.scheduler.take_events():
            LOG.info(event.name, **event.fields)
            self.daemon.metrics.count("events_total", {"event": event.name})
        counts = self.scheduler.admission.verdict_counts.take()
        for (customer, outcome), count in counts.items():
            self.daemon.metrics.count(
                "verdicts_total",
                {"customer": customer, "outcome": outcome},
                count,
            )
        if self.scheduler.fenced_off:
            self.end("fenced by a worker")

    def spawn(self, coroutine) -> None:
        """Runs a coroutine as a background task; a failure ends the term."""
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        task.add_done_callback(self.observe_task_end)

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            while jobs := self.scheduler.begin_removal():
                if not await self._remove_rows(jobs):
                    break
                # Leaves the store to other writes.
                await asyncio.sleep(EXPIRY_PAUSE_S)

    async def _remove_rows(self, jobs: list[scheduling.Job]) -> bool:
        """Removes the rows of expired jobs; returns whether this is certain."""
        rows = [
            platform.StoredRow(
                _commits.JOBS_TABLE, _election.PART, job.spec.job_id
            )
            for job in jobs
        ]
        answer = await self.store.transact(
            (), rows, [self.committer.leader_row()]
        )
        if not isinstance(answer, platform.Commit):
            LOG.info("rows_not_removed", jobs=len(jobs), reason=str(answer))
            return False
        self.scheduler.finish_removal(jobs)
        return True

    # Requests from callers.

    async def submit(self, spec: scheduling.JobSpec, timeout_s: float):
        """Accepts a job and stores it; see `JobRequests.submit`."""
        repeated = spec.job_id in self.scheduler.admission.first_seen_
        self.load.observe_submission(repeated)
        return await self.load.run(
            _leader_load.ADMITTING, self.requests.submit(spec, timeout_s)
        )

    async def cancel(self, job_id: str, queue: str, timeout_s: float):
        """Cancels a job and stores the cancel; see `JobRequests.cancel`."""
        return await self.requests.cancel(job_id, queue, timeout_s)

    def find_job(self, job_id: str) -> scheduling.Job | None:
        """Returns an accepted job, or `None`."""
        job = self.scheduler.jobs.get(job_id)
        if job is None or not job.submission_stored:
            return None
        return job
