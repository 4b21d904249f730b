"""What one planning step knows of the pools and what it may still move."""

import collections

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
        self.serving_ = [vm for vm in members if vm.in_service]
        # Those that can leave; a VM with an intent belongs to an operation.
        self.movable_ = [vm for vm in self.serving_ if not vm.intent]
        self.allowance_ = maintenance.allowance(members, promise)
        self.zones_ = collections.Counter(
            vm.availability_zone for vm in self.serving_
        )
        self.racks_ = collections.Counter(vm.rack for vm in self.serving_)
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
        self.serving_.remove(vm)
        self.movable_.remove(vm)
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
        candidates = [vm for vm in source.movable_ if vm.vm_id not in barred]
        moved = 0
        while moved < count and candidates:
            vm = min(candidates, key=lambda vm: _spread_key(vm, source, target))
            candidates.remove(vm)
            source.leave(vm)
            target.join(vm)
            self.moves_.append(
                _interface.Move(vm.vm_id, source.name, target.name, reason)
            )
            moved += 1
        return moved


def _arrives(vm: ownership.VmState) -> bool:
    return vm.phase is not ownership.Phase.FAILED and vm.reachable


def _spread_key(
    vm: ownership.VmState, source: PoolBook, target: PoolBook
) -> tuple:
    """Orders VMs so that both pools stay spread over zones and racks."""
    zone, rack = vm.availability_zone, vm.rack
    return (
        target.zones_[zone] - source.zones_[zone],
        target.racks_[rack] - source.racks_[rack],
        vm.vm_id,
    )
