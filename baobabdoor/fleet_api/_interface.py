"""The interface to the platform's service."""

import abc
from collections.abc import Sequence

from baobabdoor import base
from baobabdoor.fleet_api import _types


class Platform(abc.ABC):
    """The platform's table, object store, VM list, VM and task operations.

    Every method returns a `Refusal` where it certainly had no effect, and an
    `Unknown` where a change was sent and no answer came.
    """

    @abc.abstractmethod
    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, _types.Row] | base.Refusal:
        """Returns the rows of all `keys`, absent ones included."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[_types.Row] | base.Refusal:
        """Returns the present rows whose key starts with `prefix`."""

    @abc.abstractmethod
    async def transact(
        self,
        conditions: Sequence[_types.Condition],
        writes: Sequence[_types.Write],
    ) -> _types.TransactionResult:
        """Applies all writes if all conditions hold, or none."""

    @abc.abstractmethod
    async def put_object(
        self, content: bytes
    ) -> str | _types.Unknown | base.Refusal:
        """Stores content and returns its SHA-256 in hexadecimal."""

    @abc.abstractmethod
    async def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""

    @abc.abstractmethod
    async def list_vms(self) -> list[_types.VmRecord] | base.Refusal:
        """Returns the list of VMs, which lags behind the truth."""

    @abc.abstractmethod
    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Asks the VM to finish its work; no effect for another boot id.

        May be repeated; the record says whether the VM is idle.
        """

    @abc.abstractmethod
    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Lets a drained VM take work again; no effect for another boot id."""

    @abc.abstractmethod
    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts a reboot; no effect for another boot id."""

    @abc.abstractmethod
    async def start_task(
        self, worker_id: str, task_id: str, spec: _types.TaskSpec
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once, on any worker."""

    @abc.abstractmethod
    async def task_state(
        self, task_id: str
    ) -> _types.TaskRecord | base.Refusal:
        """Returns what is known of a task."""

    @abc.abstractmethod
    async def forbid_task(
        self, task_id: str
    ) -> (
        _types.TaskRecord
        | _types.AlreadyStarted
        | _types.Unknown
        | base.Refusal
    ):
        """Makes sure that a task that has not started never will."""

    @abc.abstractmethod
    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[_types.TaskRecord] | _types.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""

    @abc.abstractmethod
    async def throttle_task(
        self, task_id: str, share: float
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Limits a task to a share of its processors, in (0, 1]."""

    @abc.abstractmethod
    async def checkpoint_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Saves a task's progress and ends it; a later task can go on."""

    @abc.abstractmethod
    async def stop_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Ends a task; its progress is lost."""

    @abc.abstractmethod
    async def task_usage(
        self, worker_id: str
    ) -> list[_types.TaskUsage] | base.Refusal:
        """Returns the measured use of a worker's tasks, which lags."""
