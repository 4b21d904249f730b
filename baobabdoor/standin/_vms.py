"""The VMs: boots, drains, reboots and the list that lags behind them."""

from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import fleet_api

# Versions of a record kept for the lagging list; a VM does not change more
# often than this within the lag.
MAX_HISTORY = 16


@attrs.frozen
class VmSpec:
    """A VM to create.

    Attributes:
        vm_id: Identifier of the VM.
        address: IP number and port of its server, as `host:port`.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        pool_hint: Pool that it is created for; empty if it is no worker.
        cores: Processor cores. Default: 16.
        memory_gb: Memory in GB. Default: 32.
        accelerators: Accelerators. Default: 0.
        reboot_s: Time of a reboot in seconds. Default: 90.
        boot_id: Identifier of its first boot. Default: made from the VM id.
    """

    vm_id: str
    address: str
    availability_zone: str
    rack: str
    pool_hint: str = ""
    cores: float = 16.0
    memory_gb: float = 32.0
    accelerators: int = 0
    reboot_s: float = 90.0
    boot_id: str = ""


@attrs.frozen
class Version:
    """A record as it was published.

    Attributes:
        since_s: Time at which it was published.
        number: Position in the order of all publications.
        record: The record.
    """

    since_s: float
    number: int
    record: fleet_api.VmRecord


@attrs.define
class Vm:
    """The true state of a VM.

    Attributes:
        spec: What it was created with.
        record: Its present record.
        boots: Number of boots so far.
        draining_since_s: Time of the first drain call of this boot, or None.
        rebooting: Whether a reboot is under way.
        gone: Whether it was terminated for good.
        history: Past versions of the record, oldest first.
    """

    spec: VmSpec
    record: fleet_api.VmRecord
    boots: int = 1
    draining_since_s: float | None = None
    rebooting: bool = False
    gone: bool = False
    history: list[Version] = attrs.field(factory=list)


class VmService:
    """Creates, drains, reboots and ends VMs.

    Args:
        timers: Timer service.
        list_lag_s: Age of the list in seconds. Default: 1.
        drain_s: Least time from the first drain call to idle, in seconds.
            Default: 0.
        is_busy: Says whether a VM has work in progress. Default: never.
        list_id: Tells versions of this list from those of an earlier process.
            Default: `list`.

    Attributes:
        failing_reboots: VMs that do not come back from their next reboot.
    """

    def __init__(
        self,
        timers: base.TimerService,
        list_lag_s: float = 1.0,
        drain_s: float = 0.0,
        is_busy: Callable[[str], bool] | None = None,
        list_id: str = "list",
    ):
        self.timers = timers
        self.list_lag_s = list_lag_s
        self.drain_s = drain_s
        self.is_busy = is_busy
        self.list_id = list_id
        self.failing_reboots: set[str] = set()
        self.vms_: dict[str, Vm] = {}
        self.published_ = 0
        self.down_callbacks_: list[Callable[[str], None]] = []
        self.up_callbacks_: list[Callable[[str], None]] = []

    def subscribe(
        self,
        on_down: Callable[[str], None],
        on_up: Callable[[str], None] | None = None,
    ) -> None:
        """Calls `on_down` and `on_up` with the VM id when a boot ends, begins.

        Called before the list shows it.
        """
        self.down_callbacks_.append(on_down)
        if on_up is not None:
            self.up_callbacks_.append(on_up)

    def add(self, spec: VmSpec, listed_at_once: bool = False) -> None:
        """Creates a VM, or replaces a terminated one of the same id."""
        record = fleet_api.VmRecord(
            vm_id=spec.vm_id,
            address=spec.address,
            state=fleet_api.VmListState.LIVE,
            boot_id=spec.boot_id or f"{spec.vm_id}.1",
            availability_zone=spec.availability_zone,
            rack=spec.rack,
            pool_hint=spec.pool_hint,
        )
        vm = Vm(spec, record)
        self.vms_[spec.vm_id] = vm
        self._publish(vm, -self.list_lag_s if listed_at_once else 0.0)

    def get(self, vm_id: str) -> Vm | None:
        """Returns the true state of a VM."""
        return self.vms_.get(vm_id)

    def changes(self, since: str = "") -> fleet_api.VmListChanges:
        """Returns what the list, as of `list_lag_s` ago, shows since then.

        Args:
            since: Version of an earlier result. Default: the whole list.
        """
        as_of_s = self.timers.now_s() - self.list_lag_s
        found = (_version_at(vm, as_of_s) for vm in self.vms_.values())
        versions = [version for version in found if version is not None]
        last = max((version.number for version in versions), default=0)
        known = self._known_number(since)
        return fleet_api.VmListChanges(
            version=f"{self.list_id}.{last}",
            complete=known == 0,
            records=[v.record for v in versions if v.number > known],
        )

    def drain(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Starts or continues a drain; the record says whether it is idle."""
        vm = self._of_boot(vm_id, boot_id, "platform.drain_vm")
        if isinstance(vm, base.Refusal):
            return vm
        if vm.draining_since_s is None:
            vm.draining_since_s = self.timers.now_s()
        drained_s = self.timers.now_s() - vm.draining_since_s
        busy = self.is_busy is not None and self.is_busy(vm_id)
        idle = drained_s >= self.drain_s and not busy
        if idle != vm.record.idle:
            self._publish(vm, idle=idle)
        return vm.record

    def undrain(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Lets a drained VM take work again."""
        vm = self._of_boot(vm_id, boot_id, "platform.undrain_vm")
        if isinstance(vm, base.Refusal):
            return vm
        vm.draining_since_s = None
        if vm.record.idle:
            self._publish(vm, idle=False)
        return vm.record

    def reboot(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Ends the boot at once and starts the next after the reboot time."""
        vm = self._of_boot(vm_id, boot_id, "platform.reboot_vm")
        if isinstance(vm, base.Refusal):
            return vm
        if not vm.rebooting:
            self._begin_reboot(vm)
        return vm.record

    def restart(self, vm_id: str) -> None:
        """Restarts a VM without being asked, as after a fault."""
        vm = self.vms_[vm_id]
        if not vm.rebooting:
            self._begin_reboot(vm)

    def leave(self, vm_id: str) -> None:
        """Announces that a VM will be taken away."""
        self._publish(self.vms_[vm_id], state=fleet_api.VmListState.LEAVING)

    def terminate(self, vm_id: str) -> None:
        """Ends a VM for good."""
        vm = self.vms_[vm_id]
        vm.rebooting = False
        vm.gone = True
        self._end_boot(vm)

    def _begin_reboot(self, vm: Vm) -> None:
        vm.rebooting = True
        self._end_boot(vm)
        boots = vm.boots
        self.timers.call_later(
            vm.spec.reboot_s, lambda: self._end_reboot(vm, boots)
        )

    def _end_reboot(self, vm: Vm, boots: int) -> None:
        superseded = not vm.rebooting or vm.boots != boots
        if superseded or self.vms_.get(vm.spec.vm_id) is not vm:
            return
        if vm.spec.vm_id in self.failing_reboots:
            self.failing_reboots.discard(vm.spec.vm_id)
            vm.rebooting = False
            return
        vm.rebooting = False
        vm.boots += 1
        vm.draining_since_s = None
        first_boot_id = vm.spec.boot_id or vm.spec.vm_id
        self._publish(
            vm,
            state=fleet_api.VmListState.LIVE,
            boot_id=f"{first_boot_id}.{vm.boots}",
            idle=False,
        )
        for callback in self.up_callbacks_:
            callback(vm.spec.vm_id)

    def _end_boot(self, vm: Vm) -> None:
        self._publish(vm, state=fleet_api.VmListState.TERMINATED, idle=True)
        for callback in self.down_callbacks_:
            callback(vm.spec.vm_id)

    def _of_boot(
        self, vm_id: str, boot_id: str, step: str
    ) -> Vm | base.Refusal:
        vm = self.vms_.get(vm_id)
        if vm is None:
            return base.Refusal(base.Reason.NOT_FOUND, step, vm_id)
        if vm.record.boot_id != boot_id:
            detail = f"the boot is {vm.record.boot_id}, not {boot_id}"
            return base.Refusal(base.Reason.CONFLICT, step, vm_id, detail)
        if vm.gone:
            return base.Refusal(
                base.Reason.NOT_FOUND, step, vm_id, "the VM is terminated"
            )
        return vm

    def _known_number(self, since: str) -> int:
        list_id, _, number = since.rpartition(".")
        if list_id != self.list_id or not number.isdecimal():
            return 0
        return int(number)

    def _publish(self, vm: Vm, delay_s: float = 0.0, **changes: object) -> None:
        vm.record = attrs.evolve(vm.record, **changes)
        self.published_ += 1
        since_s = self.timers.now_s() + delay_s
        vm.history.append(Version(since_s, self.published_, vm.record))
        del vm.history[:-MAX_HISTORY]


def _version_at(vm: Vm, as_of_s: float) -> Version | None:
    for version in reversed(vm.history):
        if version.since_s <= as_of_s:
            return version
    return None
