"""Discrete-time simulation of pools, VMs, moves, reboots and failures."""

from collections.abc import Iterator
import random

import attrs

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings

# Time step of the simulation, equal to the period of the controller.
TICK_S = 1.0
# Wall-clock time at the start, far from a change of the maintenance period.
START_WALL_MS = 1_700_000_000_000
# Time since the last maintenance of VMs that are due, beyond any period.
OVERDUE_AGE_MS = 20 * 86_400_000


@attrs.frozen
class Timing:
    """Ranges of the durations of each phase, sampled uniformly.

    Attributes:
        acknowledge_s: Time until all entries of the zone have stopped sending.
        drain_s: Time until no request is in progress.
        join_s: Time until the VM serves in the other pool.
        reboot_spread: Largest relative deviation of a reboot from its expected
            time.
        failed_reboot_factor: Time until a failed reboot is detected, in
            multiples of the expected time.
    """

    acknowledge_s: tuple[float, float] = (1.0, 2.0)
    drain_s: tuple[float, float] = (1.0, 2.0)
    join_s: tuple[float, float] = (1.0, 1.0)
    reboot_spread: float = 0.05
    failed_reboot_factor: float = 2.0


@attrs.frozen
class Reboot:
    """A successful reboot.

    Attributes:
        pool: Pool of the VM during the reboot.
        duration_s: Duration in seconds.
    """

    pool: str
    duration_s: float


class FleetModel:
    """Simulates the VMs of a fleet and the checks of the controller.

    Args:
        deployment: Sizes of the pools; VMs are spread over zones and racks.
        preset: Preset in force; may be replaced during a run.
        timing: Durations of the phases. Default: `Timing()`.
        seed: Seed of the durations. Default: 0.
    """

    def __init__(
        self,
        deployment: settings.Deployment,
        preset: settings.Preset,
        timing: Timing | None = None,
        seed: int = 0,
    ):
        self.deployment = deployment
        self.preset = preset
        self.timing = timing or Timing()
        self.seed = seed
        self.random_ = random.Random(seed)
        self.now_s_ = 0.0
        self.vms_ = {vm.vm_id: vm for vm in lay_out(deployment)}
        self.phase_end_s_: dict[str, float] = {}
        self.failing_reboots_: set[str] = set()
        self.recovery_s_: dict[str, float] = {}
        self.reboots_: dict[str, Reboot] = {}
        self.moves_ = 0
        self.refused_: list[str] = []

    @property
    def wall_ms(self) -> int:
        """Wall-clock time in milliseconds."""
        return START_WALL_MS + int(self.now_s_ * 1000)

    def snapshot(self) -> ownership.FleetSnapshot:
        """Returns the snapshot of all VMs that a planner receives."""
        return ownership.FleetSnapshot(dict(self.vms_))

    def mark_maintained(self) -> None:
        """Marks all VMs as maintained, so that no roll-out is in progress."""
        for vm_id in self.vms_:
            self._update(vm_id, last_maintained_ms=self.wall_ms)

    def mark_due(self) -> None:
        """Marks all VMs as due for maintenance, so that a roll-out starts."""
        for vm_id in self.vms_:
            self._update(
                vm_id, last_maintained_ms=START_WALL_MS - OVERDUE_AGE_MS
            )

    def move(self, vm_id: str, to_pool: str) -> bool:
        """Starts a move unless it violates an invariant."""
        promise = self.preset.pools[to_pool]
        projected = sum(
            to_pool in (vm.pool, vm.target_pool) for vm in self.vms_.values()
        )
        if projected >= promise.max_workers:
            self.refused_.append(f"{vm_id} to {to_pool}: pool is full")
            return False
        started = self._start(vm_id, to_pool)
        self.moves_ += started
        return started

    def maintain(self, vm_id: str) -> bool:
        """Starts maintenance unless it violates an invariant."""
        return self._start(vm_id, self.vms_[vm_id].pool)

    def fail(self, vm_id: str, duration_s: float) -> None:
        """Makes a VM unreachable for `duration_s`."""
        self._update(vm_id, reachable=False)
        self.recovery_s_[vm_id] = self.now_s_ + duration_s

    def step(self) -> None:
        """Advances by one tick."""
        self.now_s_ += TICK_S
        for vm_id, recovery_s in list(self.recovery_s_.items()):
            if recovery_s <= self.now_s_:
                del self.recovery_s_[vm_id]
                self._update(vm_id, reachable=True)
        for vm_id, end_s in list(self.phase_end_s_.items()):
            if end_s <= self.now_s_:
                self._advance(self.vms_[vm_id])

    def _start(self, vm_id: str, target_pool: str) -> bool:
        vm = self.vms_[vm_id]
        members = self.snapshot().of_pool(vm.pool)
        promise = self.preset.pools[vm.pool]
        if not vm.in_service or not maintenance.allowed_disruptions(
            members, promise
        ):
            self.refused_.append(f"{vm_id} to {target_pool}: no budget")
            return False
        self._enter_phase(
            vm,
            ownership.Phase.LEAVING,
            self._sample(self.timing.acknowledge_s),
            target_pool=target_pool,
            intent=f"operation-{vm_id}-{self.now_s_:g}",
        )
        return True

    def _advance(self, vm: ownership.VmState) -> None:
        maintained = vm.target_pool == vm.pool
        if vm.phase is ownership.Phase.LEAVING:
            drain_s = self._sample(self.timing.drain_s)
            self._enter_phase(vm, ownership.Phase.DRAINING, drain_s)
        elif vm.phase is ownership.Phase.DRAINING and maintained:
            self._enter_phase(vm, ownership.Phase.REBOOTING, self._reboot_s(vm))
        elif vm.phase is ownership.Phase.DRAINING:
            join_s = self._sample(self.timing.join_s)
            self._enter_phase(vm, ownership.Phase.JOINING, join_s)
        elif vm.vm_id in self.failing_reboots_:
            del self.phase_end_s_[vm.vm_id]
            self._set_phase(vm, ownership.Phase.FAILED)
        else:
            self._finish(vm)

    def _reboot_s(self, vm: ownership.VmState) -> float:
        expected_s = self.deployment.pools[vm.pool].reboot_s
        if vm.vm_id in self.failing_reboots_:
            return expected_s * self.timing.failed_reboot_factor
        spread = self.timing.reboot_spread
        reboot_s = expected_s * self.random_.uniform(1 - spread, 1 + spread)
        self.reboots_[vm.vm_id] = Reboot(vm.pool, reboot_s)
        return reboot_s

    def _finish(self, vm: ownership.VmState) -> None:
        del self.phase_end_s_[vm.vm_id]
        maintained_ms = vm.last_maintained_ms
        if vm.phase is ownership.Phase.REBOOTING:
            maintained_ms = self.wall_ms
        self._set_phase(
            vm,
            ownership.Phase.SERVING,
            pool=vm.target_pool,
            target_pool="",
            intent="",
            last_maintained_ms=maintained_ms,
        )

    def _enter_phase(self, vm, phase, duration_s: float, **fields) -> None:
        self.phase_end_s_[vm.vm_id] = self.now_s_ + duration_s
        self._set_phase(vm, phase, **fields)

    def _set_phase(self, vm, phase, **fields) -> None:
        fields["phase"] = phase
        fields["phase_since_ms"] = self.wall_ms
        self._update(vm.vm_id, **fields)

    def _update(self, vm_id: str, **fields) -> None:
        vm = self.vms_[vm_id]
        self.vms_[vm_id] = attrs.evolve(vm, version=vm.version + 1, **fields)

    def _sample(self, bounds: tuple[float, float]) -> float:
        return self.random_.uniform(*bounds)


def lay_out(deployment: settings.Deployment) -> Iterator[ownership.VmState]:
    """Returns the deployment's VMs, each pool spread evenly over the zones."""
    zones = [zone.name for zone in deployment.availability_zones]
    zone_sizes = dict.fromkeys(zones, 0)
    position = 0
    for pool_name, pool in deployment.pools.items():
        for index in range(pool.workers):
            zone = zones[position % len(zones)]
            rack = zone_sizes[zone] // deployment.workers_per_rack
            zone_sizes[zone] += 1
            position += 1
            yield ownership.VmState(
                vm_id=f"{pool_name}-{index}",
                availability_zone=zone,
                rack=f"{zone}-rack-{rack}",
                address="127.0.0.1:1",
                pool=pool_name,
                phase=ownership.Phase.SERVING,
                boot_id=f"{pool_name}-{index}-boot-0",
                last_maintained_ms=START_WALL_MS - OVERDUE_AGE_MS + position,
            )
