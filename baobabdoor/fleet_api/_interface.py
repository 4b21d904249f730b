"""Abstract interface of the platform API."""

import abc
from collections.abc import Sequence

from baobabdoor import base
from baobabdoor.fleet_api import _types


class Platform(abc.ABC):
    """Operations on the table, object store, VMs and tasks of the platform.

    A method returns a `Refusal` if the call certainly had no effect, and an
    `Unknown` if a change was sent and no response was received.
    """

    @abc.abstractmethod
    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, _types.Row] | base.Refusal:
        """Returns the rows of all `keys`, including absent rows."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[_types.Row] | base.Refusal:
        """Returns the existing rows whose key starts with `prefix`."""

    @abc.abstractmethod
    async def transact(
        self,
        conditions: Sequence[_types.Condition],
        writes: Sequence[_types.Write],
    ) -> _types.TransactionResult:
        """Applies all writes atomically if all conditions hold."""

    @abc.abstractmethod
    async def put_object(
        self, content: bytes
    ) -> str | _types.Unknown | base.Refusal:
        """Stores content and returns its hexadecimal SHA-256."""

    @abc.abstractmethod
    async def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""

    @abc.abstractmethod
    async def list_vms(self) -> list[_types.VmRecord] | base.Refusal:
        """Returns the eventually consistent list of VMs."""

    @abc.abstractmethod
    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts draining a VM; no effect if the boot id differs.

        The call is idempotent; the record shows whether the VM is idle.
        """

    @abc.abstractmethod
    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Cancels the draining of a VM; no effect if the boot id differs."""

    @abc.abstractmethod
    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> _types.VmRecord | _types.Unknown | base.Refusal:
        """Starts a reboot; no effect if the boot id differs."""

    @abc.abstractmethod
    async def start_task(
        self, worker_id: str, task_id: str, spec: _types.TaskSpec
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once across all workers."""

    @abc.abstractmethod
    async def task_state(
        self, task_id: str
    ) -> _types.TaskRecord | base.Refusal:
        """Returns the record of a task."""

    @abc.abstractmethod
    async def forbid_task(
        self, task_id: str
    ) -> (
        _types.TaskRecord
        | _types.AlreadyStarted
        | _types.Unknown
        | base.Refusal
    ):
        """Guarantees that a task that has not started never starts."""

    @abc.abstractmethod
    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[_types.TaskRecord] | _types.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""

    @abc.abstractmethod
    async def throttle_task(
        self, task_id: str, share: float
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Limits a task to a share of its processor cores, in (0, 1]."""

    @abc.abstractmethod
    async def checkpoint_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Checkpoints and stops a task; a later task can resume from there."""

    @abc.abstractmethod
    async def stop_task(
        self, task_id: str
    ) -> _types.TaskRecord | _types.Unknown | base.Refusal:
        """Stops a task; its progress is lost."""

    @abc.abstractmethod
    async def task_usage(
        self, worker_id: str
    ) -> list[_types.TaskUsage] | base.Refusal:
        """Returns the measured usage of a worker's tasks, with a delay."""
