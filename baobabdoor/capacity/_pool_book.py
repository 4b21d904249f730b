"""What one planning step knows of one pool."""

import collections

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings


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
