"""Tasks on workers: at most one run per task id, leases and delayed usage."""

from collections.abc import Callable
from collections.abc import Sequence
import math

import attrs

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.standin import _vms

# Time until a task on a faulty worker or of a faulty job fails.
FAILURE_DELAY_S = 0.5
# Number of past usage records kept per worker.
MAX_HISTORY = 64

_State = fleet_api.TaskState


@attrs.frozen
class TaskNeeds:
    """Actual resource needs of a task, which may differ from the declared.

    Attributes:
        cores: Processor cores.
        memory_gb: Memory in GB.
        accelerators: Accelerators.
        run_s: Run time in seconds if it gets all its cores.
    """

    cores: float
    memory_gb: float
    accelerators: int
    run_s: float


@attrs.define
class _Task:
    record: fleet_api.TaskRecord
    spec: fleet_api.TaskSpec
    needs: TaskNeeds
    remaining_s: float
    share: float = 1.0
    rate: float = 0.0
    updated_s: float = 0.0
    lease_end_s: float = 0.0
    failure_s: float = math.inf
    timer: base.Subscription | None = None


class TaskService:
    """Runs simulated tasks on the VMs of a `VmService`.

    Tasks that need more processors than the worker has share them and run
    slower. If memory is exceeded, the newest tasks fail. Accelerators are
    exclusive.

    Args:
        timers: Timer service.
        vms: The VMs.
        usage_lag_s: Delay of the usage in seconds. Default: 5.
        needs: Returns the actual needs of a task. Default: as declared.

    Attributes:
        failing_workers: Workers on which every new task fails.
        failing_jobs: Jobs whose tasks fail on every worker.
        starts: Number of starts by task id.
    """

    def __init__(
        self,
        timers: base.TimerService,
        vms: _vms.VmService,
        usage_lag_s: float = 5.0,
        needs: Callable[[fleet_api.TaskSpec], TaskNeeds] | None = None,
    ):
        self.timers = timers
        self.vms = vms
        self.usage_lag_s = usage_lag_s
        self.needs = needs
        self.failing_workers: set[str] = set()
        self.failing_jobs: set[str] = set()
        self.starts: dict[str, int] = {}
        self.records_: dict[str, fleet_api.TaskRecord] = {}
        self.running_: dict[str, dict[str, _Task]] = {}
        self.checkpoints_: dict[str, float] = {}
        self.usage_: dict[str, list[tuple[float, list]]] = {}
        vms.subscribe(self._fail_tasks)

    def is_busy(self, worker_id: str) -> bool:
        """Returns whether a worker runs any task."""
        return bool(self.running_.get(worker_id))

    def start(
        self, worker_id: str, task_id: str, spec: fleet_api.TaskSpec
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Starts a task unless its id was started or forbidden before."""
        record = self.records_.get(task_id)
        if record is not None:
            return record
        refusal = self._check_start(worker_id, spec)
        if refusal is not None:
            return refusal
        task = self._create_task(worker_id, task_id, spec)
        self.running_.setdefault(worker_id, {})[task_id] = task
        self.records_[task_id] = task.record
        self.starts[task_id] = self.starts.get(task_id, 0) + 1
        self._enforce_memory_limit(worker_id)
        self._update_rates(worker_id)
        return self.records_[task_id]

    def state(self, task_id: str) -> fleet_api.TaskRecord:
        """Returns the state of a task."""
        record = self.records_.get(task_id)
        return record or fleet_api.TaskRecord(task_id, "", _State.NEVER_STARTED)

    def forbid(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.AlreadyStarted:
        """Prevents a task that has not started from ever starting."""
        record = self.state(task_id)
        if record.state is _State.NEVER_STARTED:
            record = fleet_api.TaskRecord(task_id, "", _State.FORBIDDEN)
            self.records_[task_id] = record
        if record.state is not _State.FORBIDDEN:
            return fleet_api.AlreadyStarted(record)
        return record

    def renew(self, task_ids: Sequence[str]) -> list[fleet_api.TaskRecord]:
        """Renews the leases of running tasks; returns the states of all."""
        for task_id in task_ids:
            task = self._find_running(task_id)
            if task is not None:
                self._renew(task)
        return [self.state(task_id) for task_id in task_ids]

    def throttle(
        self, task_id: str, share: float
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Limits a task to a fraction of its processors, in (0, 1]."""
        if not 0 < share <= 1:
            return base.Refusal(
                base.Reason.BAD_REQUEST,
                "platform.throttle_task",
                detail=f"expected a share in (0, 1], found {share}",
            )
        task = self._find_running(task_id)
        if task is not None:
            task.share = share
            self._update_rates(task.record.worker_id)
        return self.state(task_id)

    def checkpoint(self, task_id: str) -> fleet_api.TaskRecord:
        """Saves the progress of a task for its job and stops it."""
        task = self._find_running(task_id)
        if task is not None:
            self._update_progress(task)
            self.checkpoints_[task.spec.job_id] = task.remaining_s
            self._finish(task, _State.CHECKPOINTED)
        return self.state(task_id)

    def stop(self, task_id: str) -> fleet_api.TaskRecord:
        """Stops a task; its progress is lost."""
        task = self._find_running(task_id)
        if task is not None:
            self._finish(task, _State.STOPPED)
        return self.state(task_id)

    def usage(self, worker_id: str) -> list[fleet_api.TaskUsage]:
        """Returns the usage `usage_lag_s` ago."""
        cutoff_s = self.timers.now_s() - self.usage_lag_s
        for since_s, usages in reversed(self.usage_.get(worker_id, [])):
            if since_s <= cutoff_s:
                return usages
        return []

    def _check_start(
        self, worker_id: str, spec: fleet_api.TaskSpec
    ) -> base.Refusal | None:
        vm = self.vms.get(worker_id)
        step = "platform.start_task"
        if vm is None or vm.record.state is fleet_api.VmListState.TERMINATED:
            return base.Refusal(base.Reason.NOT_FOUND, step, worker_id)
        if vm.draining_since_s is not None:
            return base.Refusal(base.Reason.DRAINING, step, worker_id)
        in_use = sum(
            task.needs.accelerators
            for task in self.running_.get(worker_id, {}).values()
        )
        if in_use + spec.accelerators > vm.spec.accelerators:
            detail = f"{in_use} of {vm.spec.accelerators} accelerators in use"
            return base.Refusal(
                base.Reason.NO_CAPACITY, step, worker_id, detail
            )
        return None

    def _create_task(
        self, worker_id: str, task_id: str, spec: fleet_api.TaskSpec
    ) -> _Task:
        now_s = self.timers.now_s()
        needs = self._actual_needs(spec)
        remaining_s = self.checkpoints_.pop(spec.job_id, needs.run_s)
        task = _Task(
            record=fleet_api.TaskRecord(task_id, worker_id, _State.RUNNING),
            spec=spec,
            needs=needs,
            remaining_s=remaining_s,
            updated_s=now_s,
            lease_end_s=now_s + spec.lease_s,
        )
        faulty_worker = worker_id in self.failing_workers
        if faulty_worker or spec.job_id in self.failing_jobs:
            task.failure_s = now_s + FAILURE_DELAY_S
        return task

    def _actual_needs(self, spec: fleet_api.TaskSpec) -> TaskNeeds:
        if self.needs is not None:
            return self.needs(spec)
        return TaskNeeds(
            spec.cores, spec.memory_gb, spec.accelerators, spec.run_s
        )

    def _find_running(self, task_id: str) -> _Task | None:
        worker_id = self.state(task_id).worker_id
        return self.running_.get(worker_id, {}).get(task_id)

    def _renew(self, task: _Task) -> None:
        task.lease_end_s = self.timers.now_s() + task.spec.lease_s
        self._schedule(task)

    def _enforce_memory_limit(self, worker_id: str) -> None:
        """Fails the newest tasks until the others fit into memory."""
        vm = self.vms.get(worker_id)
        running = self.running_[worker_id]
        while running and vm is not None:
            used_gb = sum(task.needs.memory_gb for task in running.values())
            if used_gb <= vm.spec.memory_gb:
                return
            newest = list(running.values())[-1]
            self._finish(newest, _State.FAILED, "out of memory")

    def _update_rates(self, worker_id: str) -> None:
        """Recomputes the execution rate of each task of a worker."""
        vm = self.vms.get(worker_id)
        tasks = list(self.running_.get(worker_id, {}).values())
        demand_cores = sum(task.needs.cores * task.share for task in tasks)
        cores = vm.spec.cores if vm is not None else 0.0
        scale = min(1.0, cores / demand_cores) if demand_cores > 0 else 1.0
        for task in tasks:
            self._update_progress(task)
            task.rate = task.share * scale
            self._schedule(task)
        self._record_usage(worker_id, tasks)

    def _update_progress(self, task: _Task) -> None:
        """Adds the progress since the last update."""
        now_s = self.timers.now_s()
        done_s = (now_s - task.updated_s) * task.rate
        task.remaining_s = max(0.0, task.remaining_s - done_s)
        task.updated_s = now_s

    def _schedule(self, task: _Task) -> None:
        """Sets the timer of the next event of a task."""
        if task.timer is not None:
            task.timer.cancel()
        self._update_progress(task)
        now_s = self.timers.now_s()
        finish_s = math.inf
        if task.rate > 0:
            finish_s = now_s + task.remaining_s / task.rate
        events = [
            (task.failure_s, _State.FAILED, "failed at its start"),
            (finish_s, _State.SUCCEEDED, ""),
            (task.lease_end_s, _State.STOPPED, "lease expired"),
        ]
        due_s, state, detail = min(events, key=lambda event: event[0])
        task.timer = self.timers.call_later(
            due_s - now_s, lambda: self._finish(task, state, detail)
        )

    def _finish(self, task: _Task, state: _State, detail: str = "") -> None:
        if task.timer is not None:
            task.timer.cancel()
        record = attrs.evolve(task.record, state=state, detail=detail)
        self.records_[record.task_id] = record
        self.running_[record.worker_id].pop(record.task_id, None)
        self._update_rates(record.worker_id)

    def _fail_tasks(self, worker_id: str) -> None:
        for task in list(self.running_.get(worker_id, {}).values()):
            self._finish(task, _State.FAILED, "the worker was restarted")

    def _record_usage(self, worker_id: str, tasks: list[_Task]) -> None:
        usages = [
            fleet_api.TaskUsage(
                task.record.task_id,
                task.needs.cores * task.rate,
                task.needs.memory_gb,
                float(task.needs.accelerators),
            )
            for task in tasks
        ]
        history = self.usage_.setdefault(worker_id, [])
        history.append((self.timers.now_s(), usages))
        del history[:-MAX_HISTORY]
