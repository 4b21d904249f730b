"""What one planning step knows of the pools and what it may still move."""

import collections
from collections.abc import Iterable

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.capacity import _interface


class PoolBook:
    """VMs of one pool and what may still leave or join it in this step.

    Args:
        name: Name of the pool.
        members: VMs whose row names the pool.
        promise: What the preset in force promises for the pool.
    """

    def __init__(
        self,
        name: str,
        members: list[ownership.VmState],
        promise: settings.PoolPromise,
    ):
        self.name = name
        self.members = members
        self.promise = promise
        self.serving_ = {vm.vm_id: vm for vm in members if vm.in_service}
        self.allowance_ = maintenance.allowance(members, promise)
        self.zones_ = collections.Counter(
            vm.availability_zone for vm in self.serving_.values()
        )
        self.racks_ = collections.Counter(
            vm.rack for vm in self.serving_.values()
        )
        self.incoming_ = 0
        self.away_ = sum(
            vm.target_pool not in ("", name)
            and vm.phase is not ownership.Phase.FAILED
            for vm in members
        )

    @property
    def serving(self) -> int:
        """VMs in service that no move of this step takes away."""
        return len(self.serving_)

    @property
    def heading(self) -> int:
        """VMs in service once the moves under way are done."""
        return len(self.serving_) + self.incoming_

    @property
    def room(self) -> int:
        """VMs that may still join under the pool's maximum."""
        staying = len(self.members) - self.away_
        return max(0, self.promise.max_workers - staying - self.incoming_)

    def join(self, vm: ownership.VmState) -> None:
        """Counts a VM that is on its way to this pool."""
        self.incoming_ += 1
        self.zones_[vm.availability_zone] += 1
        self.racks_[vm.rack] += 1

    def leave(self, vm: ownership.VmState) -> None:
        """Counts a VM that starts to leave."""
        del self.serving_[vm.vm_id]
        self.zones_[vm.availability_zone] -= 1
        self.racks_[vm.rack] -= 1
        self.allowance_ -= 1
        self.away_ += 1


class FleetBook:
    """All pools in one planning step; collects the step's moves.

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
        members = maintenance.members_by_pool(snapshot.vms.values())
        self.pools_ = {
            name: PoolBook(name, members.get(name, []), promise)
            for name, promise in preset.pools.items()
        }
        for vm in snapshot.vms.values():
            if vm.target_pool in ("", vm.pool):
                continue
            if vm.target_pool in self.pools_ and _arrives(vm):
                self.pools_[vm.target_pool].join(vm)

    @property
    def spare(self) -> PoolBook:
        """The pool that lends VMs to the others."""
        return self.pools_[self.deployment.spare_pool]

    @property
    def applications(self) -> list[PoolBook]:
        """All pools but the spare one."""
        spare = self.deployment.spare_pool
        return [book for book in self.pools_.values() if book.name != spare]

    def rolling_out(self) -> maintenance.RollOut | None:
        """Returns the roll-out of the present period; None if there is none.

        Planners get no wall clock here; the newest time in the rows is close
        to it while VMs are moved or maintained.
        """
        policy = self.preset.maintenance
        if not policy.enabled:
            return None
        vms = self.snapshot.vms.values()
        newest_ms = max(
            (max(vm.phase_since_ms, vm.last_maintained_ms) for vm in vms),
            default=0,
        )
        return maintenance.RollOut.at(policy, newest_ms)

    def lendable(self, keep_buffer: bool = True) -> int:
        """Returns how many VMs the spare pool may give away now.

        Args:
            keep_buffer: Whether to leave the buffer for the loss of a failure
                domain in the spare pool. Default: True.
        """
        spare = self.spare
        kept = spare.promise.min_workers
        if keep_buffer:
            kept += self.preset.buffer_workers
        return max(0, min(spare.allowance_, spare.serving - kept))

    def move(
        self,
        source: PoolBook,
        target: PoolBook,
        count: int,
        reason: str,
        barred: frozenset[str] | set[str] = frozenset(),
    ) -> int:
        """Plans up to `count` moves and returns how many were possible.

        Args:
            source: Pool that gives VMs away.
            target: Pool that gets them.
            count: Number of VMs wanted.
            reason: Why, for the time line.
            barred: VMs that must stay. Default: none.
        """
        count = min(count, source.allowance_, target.room)
        if count <= 0:
            return 0
        # A VM with an intent belongs to an operation already.
        candidates = _Candidates(
            vm
            for vm in source.serving_.values()
            if not vm.intent and vm.vm_id not in barred
        )
        moved = 0
        while moved < count and candidates:
            vm = candidates.take(source, target)
            source.leave(vm)
            target.join(vm)
            self.moves_.append(
                _interface.Move(vm.vm_id, source.name, target.name, reason)
            )
            moved += 1
        return moved


class _Candidates:
    """VMs that may move, by zone and rack.

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

    def take(self, source: PoolBook, target: PoolBook) -> ownership.VmState:
        """Removes the VM that keeps both pools best spread."""
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


def _arrives(vm: ownership.VmState) -> bool:
    return vm.phase is not ownership.Phase.FAILED and vm.reachable


def _vm_id(vm: ownership.VmState) -> str:
    return vm.vm_id
