"""The in-process fake of the platform, with faults."""

import asyncio
from collections.abc import Sequence
from typing import Any

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.standin import _core
from baobabdoor.standin import _faults


class MemoryPlatform(fleet_api.Platform):
    """One client's connection to a `PlatformCore`, with its own faults.

    Several clients can share one core, so that a test can cut off one of them.
    Without faults no call suspends.

    Args:
        timers: Timer service that drives slow answers and deadlines.
        core: Shared state. Default: a new one.
        faults: Faults of this client. Default: none.
        timeout_s: Deadline of a call in seconds. Default: 2.

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
        """Returns another client of the same core, without faults."""
        return MemoryPlatform(self.timers, self.core, None, self.timeout_s)

    async def read(
        self, keys: Sequence[str]
    ) -> dict[str, fleet_api.Row] | base.Refusal:
        """Returns the rows of all `keys`, absent ones included."""
        return await self.call("read", keys=keys)

    async def scan(self, prefix: str) -> list[fleet_api.Row] | base.Refusal:
        """Returns the present rows whose key starts with `prefix`."""
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
        """Returns the list of VMs, which lags behind the truth."""
        changes = await self.call("list_vms", since="")
        if isinstance(changes, base.Refusal):
            return changes
        return changes.records

    async def drain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Asks the VM to finish its work; no effect for another boot id."""
        return await self.call("drain_vm", vm_id=vm_id, boot_id=boot_id)

    async def undrain_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Lets a drained VM take work again; no effect for another boot id."""
        return await self.call("undrain_vm", vm_id=vm_id, boot_id=boot_id)

    async def reboot_vm(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | fleet_api.Unknown | base.Refusal:
        """Starts a reboot; no effect for another boot id."""
        return await self.call("reboot_vm", vm_id=vm_id, boot_id=boot_id)

    async def start_task(
        self, worker_id: str, task_id: str, spec: fleet_api.TaskSpec
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Starts a task; a task id runs at most once, on any worker."""
        return await self.call(
            "start_task", worker_id=worker_id, task_id=task_id, spec=spec
        )

    async def task_state(
        self, task_id: str
    ) -> fleet_api.TaskRecord | base.Refusal:
        """Returns what is known of a task."""
        return await self.call("task_state", task_id=task_id)

    async def forbid_task(
        self, task_id: str
    ) -> (
        fleet_api.TaskRecord
        | fleet_api.AlreadyStarted
        | fleet_api.Unknown
        | base.Refusal
    ):
        """Makes sure that a task that has not started never will."""
        return await self.call("forbid_task", task_id=task_id)

    async def renew_tasks(
        self, task_ids: Sequence[str]
    ) -> list[fleet_api.TaskRecord] | fleet_api.Unknown | base.Refusal:
        """Renews the leases of tasks and returns their states."""
        return await self.call("renew_tasks", task_ids=list(task_ids))

    async def throttle_task(
        self, task_id: str, share: float
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Limits a task to a share of its processors, in (0, 1]."""
        return await self.call("throttle_task", task_id=task_id, share=share)

    async def checkpoint_task(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Saves a task's progress and ends it; a later task can go on."""
        return await self.call("checkpoint_task", task_id=task_id)

    async def stop_task(
        self, task_id: str
    ) -> fleet_api.TaskRecord | fleet_api.Unknown | base.Refusal:
        """Ends a task; its progress is lost."""
        return await self.call("stop_task", task_id=task_id)

    async def task_usage(
        self, worker_id: str
    ) -> list[fleet_api.TaskUsage] | base.Refusal:
        """Returns the measured use of a worker's tasks, which lags."""
        return await self.call("task_usage", worker_id=worker_id)

    async def call(self, name: str, **arguments: Any) -> Any:
        """Runs any operation of `fleet_api.OPERATIONS` under the faults."""
        if self.faults.down:
            return _refusal(base.Reason.PLATFORM_UNAVAILABLE, name, "down")
        if fleet_api.OPERATIONS[name].changes:
            return await self._change(name, arguments)
        return await self._query(name, arguments)

    async def _query(self, name: str, arguments: dict[str, Any]) -> Any:
        faults = self.faults
        if faults.silent or faults.slow_s > self.timeout_s:
            await self._sleep(self.timeout_s)
            return _refusal(base.Reason.TIMEOUT, name, "no answer in time")
        await self._sleep(faults.slow_s)
        if name == "list_vms":
            return self._list_vms(**arguments)
        return self.core.call(name, arguments)

    async def _change(self, name: str, arguments: dict[str, Any]) -> Any:
        faults = self.faults
        if faults.silent:
            return await self._no_answer(name)
        if faults.take("delay_writes"):
            self._apply_later(faults.delay_s, name, arguments)
            return await self._no_answer(name)
        if faults.take("lose_answers"):
            self.core.call(name, arguments)
            return await self._no_answer(name)
        half_s = faults.slow_s / 2
        if faults.slow_s > self.timeout_s:
            self._apply_later(half_s, name, arguments)
            return await self._no_answer(name)
        await self._sleep(half_s)
        result = self.core.call(name, arguments)
        await self._sleep(half_s)
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

    async def _no_answer(self, name: str) -> fleet_api.Unknown:
        await self._sleep(self.timeout_s)
        return fleet_api.Unknown(
            _refusal(base.Reason.TIMEOUT, name, "no answer in time")
        )

    async def _sleep(self, duration_s: float) -> None:
        if duration_s <= 0:
            return
        woken = asyncio.get_running_loop().create_future()

        def wake() -> None:
            if not woken.done():
                woken.set_result(None)

        self.timers.call_later(duration_s, wake)
        await woken


def _refusal(reason: base.Reason, name: str, detail: str) -> base.Refusal:
    return base.Refusal(reason, f"platform.{name}", "platform", detail)
