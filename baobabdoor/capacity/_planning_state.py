"""State of all pools during one planning step, and the moves planned in it."""

from collections.abc import Iterable

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface
from baobabdoor.capacity import _pool_state
from baobabdoor.capacity import _zone_shortfall


class PlanningState:
    """State of all pools during one planning step.

    Every planned move updates the pools, so later moves of the step see it.

    Args:
        snapshot: All VMs with their pools and phases.
        deployment: Settings in force.
        preset: Preset in force.
    """

    def __init__(
        self,
        snapshot: ownership.FleetSnapshot,
        deployment: settings.Deployment,
        preset: settings.Preset,
    ):
        self.snapshot = snapshot
        self.deployment = deployment
        self.preset = preset
        self.moves_: list[_interface.Move] = []
        self.zone_shortfall_: _zone_shortfall.ZoneShortfall | None = None
        members = maintenance.members_by_pool(snapshot.vms.values())
        self.pools_ = {
            name: _pool_state.PoolState(name, members.get(name, []), promise)
            for name, promise in preset.pools.items()
        }
        for vm in snapshot.vms.values():
            if vm.target_pool in ("", vm.pool):
                continue
            if vm.target_pool in self.pools_ and _will_join(vm):
                self.pools_[vm.target_pool].add_incoming(vm)

    @property
    def spare(self) -> _pool_state.PoolState:
        """The pool that supplies VMs to the others."""
        return self.pools_[self.deployment.spare_pool]

    @property
    def applications(self) -> list[_pool_state.PoolState]:
        """All pools except the spare pool."""
        spare = self.deployment.spare_pool
        return [pool for pool in self.pools_.values() if pool.name != spare]

    def current_roll_out(self) -> maintenance.RollOut | None:
        """Returns the roll-out of the current period; None if it is stopped.

        Capacity policies get no wall clock. The newest timestamp in the rows
        is close to it while VMs are moved or maintained.
        """
        newest_ms = max(
            (
                max(vm.phase_since_ms, vm.last_maintained_ms)
                for vm in self.snapshot.vms.values()
            ),
            default=0,
        )
        if maintenance.is_stopped(
            self.snapshot, self.deployment, self.preset, newest_ms
        ):
            return None
        return maintenance.RollOut.at(self.preset.maintenance, newest_ms)

    def available_spare(self, keep_buffer: bool = True) -> int:
        """Returns how many VMs may leave the spare pool now.

        Args:
            keep_buffer: Whether the spare pool keeps the buffer for the loss
                of a failure domain. Default: True.
        """
        spare = self.spare
        reserved = spare.promise.min_workers
        if keep_buffer:
            reserved += self.preset.buffer_workers
        return max(0, min(spare.remaining_budget_, spare.serving - reserved))

    def move(
        self,
        source: _pool_state.PoolState,
        target: _pool_state.PoolState,
        count: int,
        reason: str,
        excluded: frozenset[str] | set[str] = frozenset(),
        check_zone_loss: bool = True,
    ) -> int:
        """Plans up to `count` moves and returns how many it planned.

        Args:
            source: Pool that the VMs leave.
            target: Pool that they join.
            count: Number of VMs wanted.
            reason: Reason given in the moves.
            excluded: VMs that must not move. Default: none.
            check_zone_loss: Whether to refuse moves after which the spare pool
                could not replace the VMs of a lost zone. Default: True.
        """
        count = min(count, source.remaining_budget_, target.headroom)
        if count <= 0:
            return 0
        shortfall = self._shortfall()
        # A VM with an intent already takes part in an operation.
        candidates = _Candidates(
            vm
            for vm in source.serving_.values()
            if not vm.intent and vm.vm_id not in excluded
        )
        moved = 0
        while moved < count and candidates:
            vm = candidates.pop(source, target)
            zone = vm.availability_zone
            if not shortfall.try_move(
                source, target, zone, not check_zone_loss
            ):
                candidates.remove_zone(zone)
                continue
            source.remove_outgoing(vm)
            target.add_incoming(vm)
            self.moves_.append(
                _interface.Move(vm.vm_id, source.name, target.name, reason)
            )
            moved += 1
        return moved

    def _shortfall(self) -> _zone_shortfall.ZoneShortfall:
        """Returns the shortfall, computed at the first move as it is slow."""
        if self.zone_shortfall_ is None:
            self.zone_shortfall_ = _zone_shortfall.ZoneShortfall(
                self.pools_.values(), self.spare
            )
        return self.zone_shortfall_


class _Candidates:
    """VMs that may move, grouped by zone and rack.

    Args:
        vms: The VMs.
    """

    def __init__(self, vms: Iterable[ownership.VmState]):
        self.zones_: dict[str, dict[str, list[ownership.VmState]]] = {}
        for vm in sorted(vms, key=_vm_id, reverse=True):
            racks = self.zones_.setdefault(vm.availability_zone, {})
            racks.setdefault(vm.rack, []).append(vm)

    def __bool__(self) -> bool:
        return bool(self.zones_)

    def remove_zone(self, zone: str) -> None:
        """Removes all VMs of a zone."""
        self.zones_.pop(zone, None)

    def pop(
        self, source: _pool_state.PoolState, target: _pool_state.PoolState
    ) -> ownership.VmState:
        """Removes and returns the VM whose move spreads both pools best."""
        zone = min(
            self.zones_,
            key=lambda name: (target.zones_[name] - source.zones_[name], name),
        )
        racks = self.zones_[zone]
        rack = min(
            racks,
            key=lambda name: (target.racks_[name] - source.racks_[name], name),
        )
        vm = racks[rack].pop()
        if not racks[rack]:
            del racks[rack]
        if not racks:
            del self.zones_[zone]
        return vm


def _will_join(vm: ownership.VmState) -> bool:
    return vm.phase is not ownership.Phase.FAILED and vm.reachable


def _vm_id(vm: ownership.VmState) -> str:
    return vm.vm_id
