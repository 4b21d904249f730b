"""State of the current roll-out, derived from the VM rows."""

from collections.abc import Iterable

import attrs

from baobabdoor import ownership
from baobabdoor import settings

DAY_MS = 86_400_000
# A reboot that exceeds its expected time by this factor counts as failed even
# if no controller has marked the row as failed. The duration of reboots usually
# varies by less than half.
OVERDUE_FACTOR = 3.0


@attrs.frozen
class RollOut:
    """A period in which every VM is maintained once.

    Periods are counted from the epoch of the wall clock, so that all
    controllers derive the same roll-out without storing it.

    Attributes:
        number: Index of the period.
        start_ms: Wall time at which the period began.
        period_ms: Length of the period.
    """

    number: int
    start_ms: int
    period_ms: int

    @classmethod
    def at(cls, policy: settings.MaintenancePolicy, wall_ms: int) -> "RollOut":
        """Returns the roll-out of the period that contains `wall_ms`."""
        period_ms = max(1, int(policy.period_days * DAY_MS))
        number = wall_ms // period_ms
        return cls(number, number * period_ms, period_ms)

    @property
    def roll_out_id(self) -> str:
        """Identifier of the roll-out; the same on every controller."""
        return f"maintenance-{self.period_ms}-{self.number}"

    def is_due(self, vm: ownership.VmState) -> bool:
        """Returns whether the VM has not been maintained in this period."""
        return vm.last_maintained_ms < self.start_ms

    def periods_missed(self, vm: ownership.VmState) -> int:
        """Returns the number of earlier periods without maintenance."""
        late_ms = self.start_ms - 1 - vm.last_maintained_ms
        return max(0, late_ms // self.period_ms)


def consecutive_failures(
    vms: Iterable[ownership.VmState],
    deployment: settings.Deployment,
    wall_ms: int,
) -> int:
    """Returns the number of failed reboots since the last successful one.

    Derived from the VM rows only: after a failed maintenance reboot, the VM
    stays failed or rebooting with its intent; a successful one sets
    `last_maintained_ms`.

    Args:
        vms: All VMs.
        deployment: Settings in force, for the expected reboot times.
        wall_ms: Wall-clock time in milliseconds.
    """
    last_success_ms = 0
    failures_ms = []
    for vm in vms:
        last_success_ms = max(last_success_ms, vm.last_maintained_ms)
        failed_ms = _failure_time_ms(vm, deployment, wall_ms)
        if failed_ms is not None:
            failures_ms.append(failed_ms)
    return sum(failed_ms > last_success_ms for failed_ms in failures_ms)


def _failure_time_ms(
    vm: ownership.VmState, deployment: settings.Deployment, wall_ms: int
) -> float | None:
    """Returns when the VM's maintenance reboot failed; None if it did not."""
    if not vm.intent or vm.target_pool != vm.pool:
        return None
    if vm.phase is ownership.Phase.FAILED:
        return vm.phase_since_ms
    if vm.phase is not ownership.Phase.REBOOTING:
        return None
    pool = deployment.pools.get(vm.pool)
    if pool is None:
        return None
    overdue_ms = vm.phase_since_ms + OVERDUE_FACTOR * pool.reboot_s * 1000
    return overdue_ms if wall_ms > overdue_ms else None
