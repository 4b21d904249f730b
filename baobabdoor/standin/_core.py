"""State of the simulated platform behind the operations of its API."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.standin import _objects
from baobabdoor.standin import _table
from baobabdoor.standin import _tasks
from baobabdoor.standin import _vms


class PlatformCore:
    """Table, objects, VMs and tasks, without I/O and without faults.

    Its methods have the names and arguments of `fleet_api.Platform`.

    Args:
        timers: Timer service.
        list_lag_s: Delay of the VM list in seconds. Default: 1.
        usage_lag_s: Delay of task usage in seconds. Default: 5.
        drain_s: Minimum time of a drain in seconds. Default: 0.
        needs: Returns the actual needs of a task. Default: as declared.

    Attributes:
        in_progress: Returns the number of requests in progress on a VM, which
            is idle only without any; None if no requests are simulated.
        calls: Number of calls by operation.
    """

    def __init__(
        self,
        timers: base.TimerService,
        list_lag_s: float = 1.0,
        usage_lag_s: float = 5.0,
        drain_s: float = 0.0,
        needs: Callable[[fleet_api.TaskSpec], _tasks.TaskNeeds] | None = None,
    ):
        self.timers = timers
        self.table = _table.Table()
        self.objects = _objects.ObjectStore()
        self.vms = _vms.VmService(
            timers, list_lag_s, drain_s, self._is_busy, f"{timers.wall_ms()}"
        )
        self.tasks = _tasks.TaskService(timers, self.vms, usage_lag_s, needs)
        self.in_progress: Callable[[str], int] | None = None
        self.calls: collections.Counter[str] = collections.Counter()

    def call(self, operation: str, arguments: dict[str, Any]) -> Any:
        """Runs an operation of `fleet_api.OPERATIONS` and counts it."""
        if operation not in fleet_api.OPERATIONS:
            raise ValueError(f"unknown operation {operation!r}")
        self.calls[operation] += 1
        return getattr(self, operation)(**arguments)

    def read(self, keys: Sequence[str]) -> dict[str, fleet_api.Row]:
        """Returns the rows of all `keys`, including absent ones."""
        return self.table.read(keys)

    def scan(self, prefix: str) -> list[fleet_api.Row]:
        """Returns the existing rows whose key starts with `prefix`."""
        return self.table.scan(prefix)

    def transact(
        self,
        conditions: Sequence[fleet_api.Condition],
        writes: Sequence[fleet_api.Write],
    ) -> fleet_api.TransactionResult:
        """Applies all writes if all conditions hold, or none."""
        return self.table.transact(conditions, writes)

    def put_object(self, content: bytes) -> str:
        """Stores content and returns its SHA-256 in hexadecimal."""
        return self.objects.put(content)

    def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""
        return self.objects.get(digest)

    def list_vms(self, since: str = "") -> fleet_api.VmListChanges:
        """Returns the changes of the VM list since one of its versions."""
        return self.vms.changes(since)

    def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Drains a VM: it finishes its work and takes no new work."""
        return self.vms.drain(vm_id, boot_id)

    def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Ends the drain of a VM, which then takes new work."""
        return self.vms.undrain(vm_id, boot_id)

    def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Starts a reboot."""
        return self.vms.reboot(vm_id, boot_id)

    def start_task(
        self, worker_id: str, task_id: str, spec: fleet_api.TaskSpec
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Starts a task; a task id runs at most once across all workers."""
        return self.tasks.start(worker_id, task_id, spec)

    def task_state(self, task_id: str) -> fleet_api.TaskRecord:
        """Returns the state of a task."""
        return self.tasks.state(task_id)

    def forbid_task(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.AlreadyStarted:
        """Prevents a task that has not started from ever starting."""
        return self.tasks.forbid(task_id)

    def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[fleet_api.TaskRecord]:
        """Renews the leases of tasks and returns their states."""
        return self.tasks.renew(task_ids)

    def throttle_task(
        self, task_id: str, share: float
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Limits a task to a fraction of its processors, in (0, 1]."""
        return self.tasks.throttle(task_id, share)

    def checkpoint_task(self, task_id: str) -> fleet_api.TaskRecord:
        """Saves the progress of a task and stops it."""
        return self.tasks.checkpoint(task_id)

    def stop_task(self, task_id: str) -> fleet_api.TaskRecord:
        """Stops a task; its progress is lost."""
        return self.tasks.stop(task_id)

    def task_usage(self, worker_id: str) -> list[fleet_api.TaskUsage]:
        """Returns the delayed resource usage of a worker's tasks."""
        return self.tasks.usage(worker_id)

    def _is_busy(self, vm_id: str) -> bool:
        requests = self.in_progress(vm_id) if self.in_progress else 0
        return requests > 0 or self.tasks.is_busy(vm_id)
