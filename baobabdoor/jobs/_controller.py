"""Executes the planner's actions while its entry holds the control lease."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import functools

import attrs

from baobabdoor import base
from baobabdoor import fleet_api as platform_lib
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.jobs import _actions
from baobabdoor.jobs import _batch
from baobabdoor.jobs import _planner
from baobabdoor.jobs import _resources
from baobabdoor.jobs import _service
from baobabdoor.jobs import _types

LOG = observability.get_logger("jobs")

# Workers whose usage is read in one step, round robin; bounds reads from the
# platform.
USAGE_READS_PER_STEP = 8
STEP = "jobs.step"


class JobController:
    """Places jobs and monitors their tasks.

    All state is a cache of job rows, which a new holder of the control lease
    rebuilds from the table. Every write is conditional on the control epoch and
    the version of the job's row, so that a placement fails if a cancellation
    commits first.

    Args:
        platform: Client of the platform.
        planner: Policy that plans the actions on jobs.
        recorder: Timeline of the process.
        wall_ms: Returns the wall clock in milliseconds.
    """

    def __init__(
        self,
        platform: platform_lib.Platform,
        planner: _planner.JobPlanner,
        recorder: timeline.EventRecorder,
        wall_ms: Callable[[], int],
    ):
        self.platform = platform
        self.planner = planner
        self.recorder = recorder
        self.wall_ms = wall_ms
        self.jobs_: dict[str, _types.Job] | None = None
        self.updates_: dict[str, _types.Job] = {}
        self.usage_cursor_ = 0
        self.in_service_: set[str] = set()
        self.crashed_workers_: frozenset[str] = frozenset()

    def reset(self) -> None:
        """Clears the cache; called when the control lease is lost."""
        self.jobs_ = None
        self.updates_ = {}

    async def step(
        self,
        fence: platform_lib.Condition,
        workers: Sequence[_planner.Worker],
        quotas: Mapping[str, settings.TeamQuota],
        now_s: float,
        crashed_workers: Collection[str] = (),
    ) -> base.Refusal | None:
        """Reads changes, polls tasks, plans actions and executes them.

        Args:
            fence: Condition that holds only while this entry has the control
                lease.
            workers: Workers in service.
            quotas: Quota of each team.
            now_s: Monotonic time in seconds.
            crashed_workers: Workers that are out of service unplanned.
        """
        refusal = await self._refresh(fence)
        if refusal is not None:
            return refusal
        self.in_service_ = {worker.worker_id for worker in workers}
        self.crashed_workers_ = frozenset(crashed_workers)
        # Concurrently, as each call may take a second on a slow platform.
        await asyncio.gather(self._poll_tasks(now_s), self._observe_usage())
        refusal = await self._commit_updates(fence)
        if refusal is not None:
            return refusal
        jobs = list(self.jobs_.values())
        actions = self.planner.plan(
            jobs, workers, quotas, now_s, self.wall_ms()
        )
        await asyncio.gather(*(self._execute(action) for action in actions))
        refusal = await self._commit_updates(fence)
        if refusal is not None:
            return refusal
        await self._start_tasks()
        return await self._commit_updates(fence)

    async def _refresh(
        self, fence: platform_lib.Condition
    ) -> base.Refusal | None:
        if self.jobs_ is None:
            return await self._load_all()
        inbox_rows = await self.platform.scan(_service.INBOX_PREFIX)
        if isinstance(inbox_rows, base.Refusal):
            return inbox_rows
        job_ids = [
            row.key.removeprefix(_service.INBOX_PREFIX) for row in inbox_rows
        ]
        refusal = await self._reload(job_ids)
        if refusal is None and inbox_rows:
            await _batch.clear_inbox(self.platform, fence, inbox_rows)
        return refusal

    async def _load_all(self) -> base.Refusal | None:
        rows = await self.platform.scan(_types.JOB_PREFIX)
        if isinstance(rows, base.Refusal):
            return rows
        self.jobs_ = {}
        for row in rows:
            job = self._decode(row)
            if job is None:
                continue
            self._cache(job)
            if not job.state.final:
                self.planner.failures.load(job.spec.job_id, job.failed_workers)
        return None

    def _decode(self, row: platform_lib.Row) -> _types.Job | None:
        """Returns the job of a row; `None` if it is unreadable."""
        try:
            return _types.Job.from_row(row.value, row.version)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            LOG.error("job_row_ignored", row=row.key, error=repr(error))
            return None

    async def _reload(self, job_ids: Sequence[str]) -> base.Refusal | None:
        if not job_ids:
            return None
        keys = [_types.JOB_PREFIX + job_id for job_id in job_ids]
        rows = await self.platform.read(keys)
        if isinstance(rows, base.Refusal):
            return rows
        for row in rows.values():
            job = self._decode(row) if row.value is not None else None
            if job is not None:
                self._cache(job)
        return None

    def _cache(self, job: _types.Job) -> None:
        job_id = job.spec.job_id
        if job.state.final:
            self.jobs_.pop(job_id, None)
        else:
            self.jobs_[job_id] = job

    async def _poll_tasks(self, now_s: float) -> None:
        """Renews the leases of all tasks and applies their states."""
        placed = [job for job in self.jobs_.values() if job.state.placed]
        if not placed:
            return
        by_task = {job.task_id: job for job in placed}
        records = await self.platform.renew_tasks(sorted(by_task))
        if not isinstance(records, list):
            return
        for record in records:
            job = by_task.get(record.task_id)
            if job is not None:
                self._apply_record(job, record, now_s)

    def _apply_record(
        self, job: _types.Job, record: platform_lib.TaskRecord, now_s: float
    ) -> None:
        """Updates a job from the record of its task."""
        state = record.state
        task = platform_lib.TaskState
        if state is task.RUNNING:
            if job.state is _types.JobState.STARTING:
                self._update(job, state=_types.JobState.RUNNING)
        elif state is task.SUCCEEDED:
            self.planner.failures.observe_success(
                job.spec.job_id, job.worker_id
            )
            self._update(job, state=_types.JobState.SUCCEEDED)
        elif state is task.FAILED and job.worker_id not in self.in_service_:
            # Tasks also fail when their worker leaves service, which does not
            # count against the worker, and against the job only if the worker
            # crashed.
            self._handle_lost_task(
                self._count_crash(job), "its worker went down"
            )
        elif state is task.FAILED:
            self.planner.failures.observe_failure(
                job.spec.job_id, job.worker_id, now_s
            )
            self._handle_failed_task(job, record.detail or "task failed")
        elif state in (task.CHECKPOINTED, task.FORBIDDEN):
            self._requeue(job, state.value)
        elif state is task.STOPPED:
            self._handle_lost_task(job)

    def _handle_failed_task(self, job: _types.Job, detail: str) -> None:
        """Requeues a failed job unless a second run could do harm."""
        workers = {*job.failed_workers, job.worker_id}
        failed = attrs.evolve(job, failed_workers=tuple(sorted(workers)))
        if job.spec.idempotent:
            self._requeue(failed, detail)
        else:
            self._update(failed, state=_types.JobState.FAILED, reason=detail)

    def _count_crash(self, job: _types.Job) -> _types.Job:
        """Returns a job with the crash of its worker, if it is counted."""
        ran_s = (self.wall_ms() - job.state_since_ms) / 1000
        if job.worker_id not in self.crashed_workers_ or (
            not self.planner.failures.observe_crash(
                job.spec.job_id, job.worker_id, ran_s
            )
        ):
            return job
        workers = {*job.failed_workers, job.worker_id}
        return attrs.evolve(job, failed_workers=tuple(sorted(workers)))

    def _handle_lost_task(
        self, job: _types.Job, reason: str = "stopped"
    ) -> None:
        if job.cancel:
            self._update(job, state=_types.JobState.CANCELLED)
        elif job.spec.idempotent:
            self._requeue(job, reason)
        else:
            detail = f"{reason} before its end; it may have run in part"
            self._update(job, state=_types.JobState.FAILED, reason=detail)

    def _requeue(self, job: _types.Job, reason: str) -> None:
        state = _types.JobState.CANCELLED if job.cancel else None
        self._update(
            job,
            state=state or _types.JobState.QUEUED,
            worker_id="",
            throttled=False,
            reason=reason,
        )

    async def _observe_usage(self) -> None:
        """Reads the usage of the next workers that run jobs, round robin."""
        placed = [job for job in self.jobs_.values() if job.state.placed]
        by_task = {job.task_id: job for job in placed}
        busy = sorted({job.worker_id for job in placed} & self.in_service_)
        count = min(USAGE_READS_PER_STEP, len(busy))
        start = self.usage_cursor_ % len(busy) if busy else 0
        self.usage_cursor_ = start + count
        selected = [
            busy[(start + offset) % len(busy)] for offset in range(count)
        ]
        usages = await asyncio.gather(
            *(self.platform.task_usage(worker_id) for worker_id in selected)
        )
        for usage in usages:
            if not isinstance(usage, base.Refusal):
                self._observe_resources(by_task, usage)

    def _observe_resources(
        self,
        by_task: Mapping[str, _types.Job],
        usage: Sequence[platform_lib.TaskUsage],
    ) -> None:
        for item in usage:
            job = by_task.get(item.task_id)
            # The usage of a throttled task is less than what it needs.
            if job is not None and not job.throttled:
                used = _resources.Resources(
                    item.cores, item.memory_gb, item.accelerators
                )
                self.planner.estimator.observe(job.spec, used)

    def _update(self, job: _types.Job, **changes: object) -> None:
        """Changes a cached job; the next commit writes the change."""
        changed = attrs.evolve(job, state_since_ms=self.wall_ms(), **changes)
        self.jobs_[job.spec.job_id] = changed
        self.updates_[job.spec.job_id] = changed

    async def _commit_updates(
        self, fence: platform_lib.Condition
    ) -> base.Refusal | None:
        updates = list(self.updates_.values())
        self.updates_ = {}
        if not updates:
            return None
        result = await _batch.commit_jobs(self.platform, fence, updates)
        for job in result.committed:
            self._record_event(job)
            self._cache(job)
        if result.refusal is not None:
            self.reset()
            return result.refusal
        return await self._reload(result.conflicting)

    def _record_event(self, job: _types.Job) -> None:
        self.recorder.record(
            f"jobs.{job.state.value}",
            job.worker_id,
            job.spec.job_id,
            attempt=job.attempt,
            reason=job.reason,
        )

    async def _start_tasks(self) -> None:
        """Starts the tasks of jobs whose placement is committed.

        The start is retried in every step until the platform answers. This is
        safe because the platform runs each task identifier at most once.
        """
        starting = [
            job
            for job in self.jobs_.values()
            if job.state is _types.JobState.STARTING
        ]
        await asyncio.gather(*(self._start_task(job) for job in starting))

    async def _start_task(self, job: _types.Job) -> None:
        if job.cancel:
            await self._end_task(job, _actions.Cancel(job.spec.job_id))
            return
        spec = platform_lib.TaskSpec(
            job.spec.job_id,
            job.spec.cores,
            job.spec.memory_gb,
            job.spec.accelerators,
            job.spec.run_s,
        )
        record = await self.platform.start_task(
            job.worker_id, job.task_id, spec
        )
        if isinstance(record, platform_lib.TaskRecord):
            if record.state is platform_lib.TaskState.RUNNING:
                self._update(job, state=_types.JobState.RUNNING)
            return
        if isinstance(record, base.Refusal):
            await self._abandon_start(job, record)

    async def _abandon_start(
        self, job: _types.Job, refusal: base.Refusal
    ) -> None:
        """Requeues a job once it is certain that its task never starts."""
        result = await self.platform.forbid_task(job.task_id)
        if isinstance(result, platform_lib.TaskRecord):
            self._requeue(job, str(refusal))

    @functools.singledispatchmethod
    async def _execute(self, action: _actions.Action) -> None:
        raise TypeError(f"not a job action: {action!r}")

    @_execute.register
    async def _(self, action: _actions.Start) -> None:
        job = self.jobs_[action.job_id]
        self._update(
            job,
            state=_types.JobState.STARTING,
            attempt=job.attempt + 1,
            worker_id=action.worker_id,
            reason="",
        )

    @_execute.register
    async def _(self, action: _actions.Park) -> None:
        job = self.jobs_[action.job_id]
        self._update(job, state=_types.JobState.PARKED, reason=action.reason)

    @_execute.register
    async def _(self, action: _actions.Throttle) -> None:
        job = self.jobs_[action.job_id]
        record = await self.platform.throttle_task(job.task_id, action.share)
        if isinstance(record, platform_lib.TaskRecord):
            self._update(job, throttled=True)

    @_execute.register
    async def _(self, action: _actions.Unthrottle) -> None:
        job = self.jobs_[action.job_id]
        record = await self.platform.throttle_task(job.task_id, 1.0)
        if isinstance(record, platform_lib.TaskRecord):
            self._update(job, throttled=False)

    @_execute.register
    async def _(self, action: _actions.Checkpoint) -> None:
        await self._end_task(self.jobs_[action.job_id], action)

    @_execute.register
    async def _(self, action: _actions.Stop) -> None:
        await self._end_task(self.jobs_[action.job_id], action)

    @_execute.register
    async def _(self, action: _actions.Cancel) -> None:
        job = self.jobs_[action.job_id]
        if not job.state.placed:
            self._update(job, state=_types.JobState.CANCELLED)
            return
        await self._end_task(job, action)

    async def _end_task(self, job: _types.Job, action: _actions.Action) -> None:
        """Checkpoints or stops a task and applies the resulting record."""
        if isinstance(action, _actions.Checkpoint):
            record = await self.platform.checkpoint_task(job.task_id)
        else:
            record = await self._stop_or_forbid(job)
        if not isinstance(record, platform_lib.TaskRecord):
            return
        ending = attrs.evolve(job, state=_types.JobState.ENDING)
        self.jobs_[job.spec.job_id] = ending
        self._apply_record(ending, record, 0.0)

    async def _stop_or_forbid(
        self, job: _types.Job
    ) -> platform_lib.TaskRecord | platform_lib.Unknown | base.Refusal:
        """Forbids a task that has not started; stops it otherwise."""
        if job.state is _types.JobState.STARTING:
            result = await self.platform.forbid_task(job.task_id)
            if not isinstance(result, platform_lib.AlreadyStarted):
                return result
        return await self.platform.stop_task(job.task_id)
