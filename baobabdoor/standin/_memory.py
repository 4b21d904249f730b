"""In-process fake of the platform with fault injection."""

import asyncio
from collections.abc import Sequence
from typing import Any

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.standin import _core
from baobabdoor.standin import _faults


class MemoryPlatform(fleet_api.Platform):
    """Client of a `PlatformCore` with separate faults.

    Several clients can share one core, so that a test can partition a single
    client. Without faults, calls never suspend.

    Args:
        timers: Timer service for delays and timeouts.
        core: Shared state. Default: a new one.
        faults: Faults of this client. Default: none.
        timeout_s: Timeout of a call in seconds. Default: 2.

    Example:
        >>> fake = MemoryPlatform(base.VirtualTimerService())
        >>> asyncio.run(fake.transact([], [fleet_api.Write("a", {"b": 1})]))
        Committed(versions={'a': 1})
    """

    def __init__(
        self,
        timers: base.TimerService,
        core: _core.PlatformCore | None = None,
        faults: _faults.PlatformFaults | None = None,
        timeout_s: float = 2.0,
    ):
        self.timers = timers
        self.core = core or _core.PlatformCore(timers)
        self.faults = faults or _faults.PlatformFaults()
        self.timeout_s = timeout_s
        self.last_list_: fleet_api.VmListChanges | None = None

    def client(self) -> "MemoryPlatform":
        """Returns another client of the same core without faults."""
        return MemoryPlatform(self.timers, self.core, None, self.timeout_s)

    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, fleet_api.Row] | base.Refusal:
        """Returns the rows of all `keys`, including absent ones."""
        return await self.call("read", keys=keys)

    async def scan(self, prefix: str) -> list[fleet_api.Row] | base.Refusal:
        """Returns the existing rows whose key starts with `prefix`."""
        return await self.call("scan", prefix=prefix)

    async def transact(
        self,
        conditions: Sequence[fleet_api.Condition],
        writes: Sequence[fleet_api.Write],
    ) -> fleet_api.TransactionResult:
        """Applies all writes if all conditions hold, or none."""
        return await self.call(
            "transact", conditions=list(conditions), writes=list(writes)
        )

    async def put_object(
        self, content: bytes
    ) -> str | fleet_api.Unknown | base.Refusal:
        """Stores content and returns its SHA-256 in hexadecimal."""
        return await self.call("put_object", content=content)

    async def get_object(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""
        return await self.call("get_object", digest=digest)

    async def list_vms(self) -> list[fleet_api.VmRecord] | base.Refusal:
        """Returns the VM list, which is delayed."""
        changes = await self.call("list_vms", since="")
        if isinstance(changes, base.Refusal):
            return changes
        return changes.records

    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Drains a VM; has no effect if the boot id differs."""
        return await self.call("drain_vm", vm_id=vm_id, boot_id=boot_id)

    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Ends the drain of a VM; has no effect if the boot id differs."""
        return await self.call("undrain_vm", vm_id=vm_id, boot_id=boot_id)

    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Starts a reboot; has no effect if the boot id differs."""
        return await self.call("reboot_vm", vm_id=vm_id, boot_id=boot_id)

    async def start_task(
        self, worker_id: str, task_id: str, spec: fleet_api.TaskSpec
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once across all workers."""
        return await self.call(
            "start_task", worker_id=worker_id, task_id=task_id, spec=spec
        )

    async def task_state(
        self, task_id: str
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Returns the state of a task."""
        return await self.call("task_state", task_id=task_id)

    async def forbid_task(
        self, task_id: str
    ) -> (
        fleet_api.TaskRecord
        | fleet_api.AlreadyStarted
        | fleet_api.Unknown
        | base.Refusal
    ):
        """Prevents a task that has not started from ever starting."""
        return await self.call("forbid_task", task_id=task_id)

    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[fleet_api.TaskRecord] | fleet_api.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""
        return await self.call("renew_tasks", task_ids=list(task_ids))

    async def throttle_task(
        self, task_id: str, share: float
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Limits a task to a fraction of its processors, in (0, 1]."""
        return await self.call("throttle_task", task_id=task_id, share=share)

    async def checkpoint_task(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Saves the progress of a task for a later task and stops it."""
        return await self.call("checkpoint_task", task_id=task_id)

    async def stop_task(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Stops a task; its progress is lost."""
        return await self.call("stop_task", task_id=task_id)

    async def task_usage(
        self, worker_id: str
    ) -> list[fleet_api.TaskUsage] | base.Refusal:
        """Returns the delayed resource usage of a worker's tasks."""
        return await self.call("task_usage", worker_id=worker_id)

    async def call(self, name: str, **arguments: Any) -> Any:
        """Runs an operation of `fleet_api.OPERATIONS` with active faults."""
        if self.faults.down:
            return _refusal(base.Reason.PLATFORM_UNAVAILABLE, name, "down")
        if fleet_api.OPERATIONS[name].changes:
            return await self._change(name, arguments)
        return await self._query(name, arguments)

    async def _query(self, name: str, arguments: dict[str, Any]) -> Any:
        faults = self.faults
        if faults.silent or faults.slow_s > self.timeout_s:
            await self._sleep(self.timeout_s)
            return _refusal(base.Reason.TIMEOUT, name, "response timed out")
        await self._sleep(faults.slow_s)
        if name == "list_vms":
            return self._list_vms(**arguments)
        return self.core.call(name, arguments)

    async def _change(self, name: str, arguments: dict[str, Any]) -> Any:
        faults = self.faults
        if faults.silent:
            return await self._time_out(name)
        if faults.consume("delay_writes"):
            self._apply_later(faults.delay_s, name, arguments)
            return await self._time_out(name)
        if faults.consume("lose_answers"):
            self.core.call(name, arguments)
            return await self._time_out(name)
        one_way_s = faults.slow_s / 2
        if faults.slow_s > self.timeout_s:
            self._apply_later(one_way_s, name, arguments)
            return await self._time_out(name)
        await self._sleep(one_way_s)
        result = self.core.call(name, arguments)
        await self._sleep(one_way_s)
        return result

    def _list_vms(self, since: str) -> fleet_api.VmListChanges:
        if self.faults.stale_list and since:
            return fleet_api.VmListChanges(since, False, [])
        if self.faults.stale_list and self.last_list_ is not None:
            return self.last_list_
        changes = self.core.call("list_vms", {"since": since})
        if changes.complete:
            self.last_list_ = changes
        return changes

    def _apply_later(
        self, delay_s: float, name: str, arguments: dict[str, Any]
    ) -> None:
        self.timers.call_later(delay_s, lambda: self.core.call(name, arguments))

    async def _time_out(self, name: str) -> fleet_api.Unknown:
        await self._sleep(self.timeout_s)
        return fleet_api.Unknown(
            _refusal(base.Reason.TIMEOUT, name, "response timed out")
        )

    async def _sleep(self, duration_s: float) -> None:
        if duration_s <= 0:
            return
        done = asyncio.get_running_loop().create_future()

        def finish() -> None:
            if not done.done():
                done.set_result(None)

        self.timers.call_later(duration_s, finish)
        await done


def _refusal(reason: base.Reason, name: str, detail: str) -> base.Refusal:
    return base.Refusal(reason, f"platform.{name}", "platform", detail)
