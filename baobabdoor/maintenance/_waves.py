"""Maintenance policies: waves within the budget, and one VM at a time."""

from collections.abc import Sequence

from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.maintenance import _availability
from baobabdoor.maintenance import _failure_domains
from baobabdoor.maintenance import _interface
from baobabdoor.maintenance import _roll_out


class WavePlanner(_interface.MaintenancePolicy):
    """Takes as many VMs at once as the budget and promise of each pool allow.

    The planner is stateless: which VMs are due, which are out of service and
    how many consecutive reboots failed is read from the rows at each call, so
    that another controller can continue a roll-out. The next VM of a pool
    starts as soon as one is back instead of after the whole wave, which keeps
    the roll-out near its lower bound, VMs x reboot time / VMs at once.

    Example:
        >>> planner = WavePlanner()
        >>> starts = planner.plan(snapshot, deployment, preset, wall_ms)
    """

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        deployment: settings.Deployment,
        preset: settings.Preset,
        wall_ms: int,
    ) -> list[_interface.StartMaintenance]:
        """Returns the VMs to take out of service now; see the base class."""
        if is_stopped(snapshot, deployment, preset, wall_ms):
            return []
        roll_out = _roll_out.RollOut.at(preset.maintenance, wall_ms)
        vms = list(snapshot.vms.values())
        if not any(roll_out.is_due(vm) for vm in vms):
            return []
        wave = _Wave(
            _failure_domains.FailureDomainCounts(
                vm for vm in vms if not vm.in_service
            ),
            roll_out,
            deployment.workers_per_rack,
        )
        starts = []
        members_by_pool = _availability.members_by_pool(vms)
        for pool, promise in sorted(preset.pools.items()):
            members = members_by_pool.get(pool, [])
            count = _availability.allowed_disruptions(members, promise)
            starts.extend(wave.select(members, count))
        return starts


class OneAtATimePlanner(_interface.MaintenancePolicy):
    """Baseline that reboots one VM of the whole deployment at a time."""

    def plan(
        self,
        snapshot: ownership.FleetSnapshot,
        deployment: settings.Deployment,
        preset: settings.Preset,
        wall_ms: int,
    ) -> list[_interface.StartMaintenance]:
        """Returns the next VM if no VM is under maintenance."""
        if is_stopped(snapshot, deployment, preset, wall_ms):
            return []
        vms = list(snapshot.vms.values())
        if any(_in_progress(vm) for vm in vms):
            return []
        roll_out = _roll_out.RollOut.at(preset.maintenance, wall_ms)
        members_by_pool = _availability.members_by_pool(vms)
        for vm in sorted(vms, key=_age_key):
            promise = preset.pools.get(vm.pool)
            if promise is None or not _eligible(vm, roll_out):
                continue
            if _availability.allowed_disruptions(
                members_by_pool[vm.pool], promise
            ):
                return [_start(vm, roll_out)]
        return []


class _Wave:
    """The VMs selected in one call over all pools."""

    def __init__(
        self,
        domains: _failure_domains.FailureDomainCounts,
        roll_out: _roll_out.RollOut,
        workers_per_rack: int,
    ):
        self.domains = domains
        self.roll_out = roll_out
        self.workers_per_rack = workers_per_rack

    def select(
        self, members: Sequence[ownership.VmState], count: int
    ) -> list[_interface.StartMaintenance]:
        """Selects up to `count` VMs of a pool, spread over failure domains."""
        if not count:
            return []
        candidates = [vm for vm in members if _eligible(vm, self.roll_out)]
        if candidates:
            self.domains.add_pool(members)
        starts = []
        while candidates and len(starts) < count:
            vm = min(candidates, key=self._preference)
            candidates.remove(vm)
            if self.domains.would_lose_second_domain(vm):
                continue
            self.domains.mark_lost(vm)
            starts.append(_start(vm, self.roll_out))
        return starts

    def _preference(self, vm: ownership.VmState) -> tuple:
        # VMs that missed whole periods come first, whatever their domain. Among
        # the others, spreading takes precedence over age, because their ages
        # differ by less than one roll-out.
        is_zone_limit_reached = (
            self.domains.lost_in_zone(vm) >= self.workers_per_rack
        )
        return (
            -self.roll_out.periods_missed(vm),
            is_zone_limit_reached,
            self.domains.lost_nearby(vm),
            _age_key(vm),
        )


def is_stopped(
    snapshot: ownership.FleetSnapshot,
    deployment: settings.Deployment,
    preset: settings.Preset,
    wall_ms: int,
) -> bool:
    """Returns whether maintenance is disabled or stopped by failed reboots.

    Args:
        snapshot: All VMs.
        deployment: Settings in force.
        preset: Preset in force.
        wall_ms: Wall-clock time in milliseconds.
    """
    policy = preset.maintenance
    if not policy.enabled:
        return True
    failed = _roll_out.consecutive_failures(
        snapshot.vms.values(), deployment, wall_ms
    )
    return failed >= policy.max_failed_reboots


def _eligible(vm: ownership.VmState, roll_out: _roll_out.RollOut) -> bool:
    return vm.in_service and not vm.intent and roll_out.is_due(vm)


def _in_progress(vm: ownership.VmState) -> bool:
    maintained = bool(vm.intent) and vm.target_pool == vm.pool
    return maintained and vm.phase is not ownership.Phase.FAILED


def _age_key(vm: ownership.VmState) -> tuple[int, str]:
    return (vm.last_maintained_ms, vm.vm_id)


def _start(
    vm: ownership.VmState, roll_out: _roll_out.RollOut
) -> _interface.StartMaintenance:
    return _interface.StartMaintenance(vm.vm_id, vm.pool, roll_out.roll_out_id)
