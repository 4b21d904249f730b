"""VMs: boots, drains, reboots and the delayed VM list."""

from collections.abc import Callable

import attrs

from baobabdoor import base
from baobabdoor import fleet_api

# Number of past versions of a record kept for the delayed list. A VM changes
# less often than this within the delay.
MAX_HISTORY = 16


@attrs.frozen
class VmSpec:
    """Specification of a VM to create.

    Attributes:
        vm_id: Identifier of the VM.
        address: Address of its server as `host:port`.
        availability_zone: Zone of the VM.
        rack: Rack of the VM.
        pool_hint: Pool that it is created for; empty if it is not a worker.
        cores: Processor cores. Default: 16.
        memory_gb: Memory in GB. Default: 32.
        accelerators: Accelerators. Default: 0.
        reboot_s: Duration of a reboot in seconds. Default: 90.
        boot_id: Identifier of its first boot. Default: derived from the VM id.
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
    """A published version of a record.

    Attributes:
        published_s: Time of publication.
        number: Sequence number of the publication.
        record: The record.
    """

    published_s: float
    number: int
    record: fleet_api.VmRecord


@attrs.define
class Vm:
    """Actual state of a VM.

    Attributes:
        spec: Specification that it was created from.
        record: Current record.
        boots: Number of boots so far.
        draining_since_s: Time of the first drain call of this boot, or None.
        rebooting: Whether a reboot is in progress.
        terminated: Whether it was terminated permanently.
        history: Published versions of the record, oldest first.
    """

    spec: VmSpec
    record: fleet_api.VmRecord
    boots: int = 1
    draining_since_s: float | None = None
    rebooting: bool = False
    terminated: bool = False
    history: list[Version] = attrs.field(factory=list)


class VmService:
    """Creates, drains, reboots and terminates VMs.

    Args:
        timers: Timer service.
        list_lag_s: Delay of the list in seconds. Default: 1.
        drain_s: Minimum time from the first drain call to idle, in seconds.
            Default: 0.
        is_busy: Returns whether a VM has work in progress. Default: never.
        list_id: Distinguishes versions of this list from those of an earlier
            process. Default: `list`.

    Attributes:
        failing_reboots: VMs that stay down after their next reboot.
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
        self.publication_count_ = 0
        self.down_callbacks_: list[Callable[[str], None]] = []
        self.up_callbacks_: list[Callable[[str], None]] = []

    def subscribe(
        self,
        on_down: Callable[[str], None],
        on_up: Callable[[str], None] | None = None,
    ) -> None:
        """Subscribes to ends and starts of boots.

        Callbacks get the VM id before the list shows the change.

        Args:
            on_down: Called when a boot ends.
            on_up: Called when a boot starts.
        """
        self.down_callbacks_.append(on_down)
        if on_up is not None:
            self.up_callbacks_.append(on_up)

    def add(self, spec: VmSpec, listed_at_once: bool = False) -> None:
        """Creates a VM, or replaces a terminated VM with the same id."""
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
        """Returns the actual state of a VM."""
        return self.vms_.get(vm_id)

    def changes(self, since: str = "") -> fleet_api.VmListChanges:
        """Returns the changes of the delayed list since a version.

        Args:
            since: Version of an earlier result. Default: the complete list.
        """
        cutoff_s = self.timers.now_s() - self.list_lag_s
        found = (_version_at(vm, cutoff_s) for vm in self.vms_.values())
        versions = [version for version in found if version is not None]
        last_number = max((version.number for version in versions), default=0)
        known_number = self._parse_version(since)
        return fleet_api.VmListChanges(
            version=f"{self.list_id}.{last_number}",
            complete=known_number == 0,
            records=[v.record for v in versions if v.number > known_number],
        )

    def drain(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Starts or continues a drain; the record shows whether it is idle."""
        vm = self._find_boot(vm_id, boot_id, "platform.drain_vm")
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
        """Ends the drain of a VM, which then takes new work."""
        vm = self._find_boot(vm_id, boot_id, "platform.undrain_vm")
        if isinstance(vm, base.Refusal):
            return vm
        vm.draining_since_s = None
        if vm.record.idle:
            self._publish(vm, idle=False)
        return vm.record

    def reboot(
        self, vm_id: str, boot_id: str
    ) -> fleet_api.VmRecord | base.Refusal:
        """Ends the boot; the next one starts after the reboot time."""
        vm = self._find_boot(vm_id, boot_id, "platform.reboot_vm")
        if isinstance(vm, base.Refusal):
            return vm
        if not vm.rebooting:
            self._start_reboot(vm)
        return vm.record

    def restart(self, vm_id: str) -> None:
        """Restarts a VM without a request, as after a fault."""
        vm = self.vms_[vm_id]
        if not vm.rebooting:
            self._start_reboot(vm)

    def leave(self, vm_id: str) -> None:
        """Announces the removal of a VM."""
        self._publish(self.vms_[vm_id], state=fleet_api.VmListState.LEAVING)

    def terminate(self, vm_id: str) -> None:
        """Terminates a VM permanently."""
        vm = self.vms_[vm_id]
        vm.rebooting = False
        vm.terminated = True
        self._end_boot(vm)

    def _start_reboot(self, vm: Vm) -> None:
        vm.rebooting = True
        self._end_boot(vm)
        boots = vm.boots
        self.timers.call_later(
            vm.spec.reboot_s, lambda: self._finish_reboot(vm, boots)
        )

    def _finish_reboot(self, vm: Vm, boots: int) -> None:
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

    def _find_boot(
        self, vm_id: str, boot_id: str, step: str
    ) -> Vm | base.Refusal:
        vm = self.vms_.get(vm_id)
        if vm is None:
            return base.Refusal(base.Reason.NOT_FOUND, step, vm_id)
        if vm.record.boot_id != boot_id:
            detail = f"the boot is {vm.record.boot_id}, not {boot_id}"
            return base.Refusal(base.Reason.CONFLICT, step, vm_id, detail)
        if vm.terminated:
            return base.Refusal(
                base.Reason.NOT_FOUND, step, vm_id, "the VM is terminated"
            )
        return vm

    def _parse_version(self, since: str) -> int:
        list_id, _, number = since.rpartition(".")
        if list_id != self.list_id or not number.isdecimal():
            return 0
        return int(number)

    def _publish(self, vm: Vm, delay_s: float = 0.0, **changes: object) -> None:
        vm.record = attrs.evolve(vm.record, **changes)
        self.publication_count_ += 1
        published_s = self.timers.now_s() + delay_s
        vm.history.append(
            Version(published_s, self.publication_count_, vm.record)
        )
        del vm.history[:-MAX_HISTORY]


def _version_at(vm: Vm, cutoff_s: float) -> Version | None:
    for version in reversed(vm.history):
        if version.published_s <= cutoff_s:
            return version
    return None
