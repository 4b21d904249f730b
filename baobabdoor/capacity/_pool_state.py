"""State of one pool during a planning step."""

import collections

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings


class PoolState:
    """VMs of one pool, and how many may still leave or join it in this step.

    Args:
        name: Name of the pool.
        members: VMs whose row names the pool.
        promise: Promise of the preset in force for the pool.
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
        self.remaining_budget_ = maintenance.allowed_disruptions(
            members, promise
        )
        self.zones_ = collections.Counter(
            vm.availability_zone for vm in self.serving_.values()
        )
        self.racks_ = collections.Counter(
            vm.rack for vm in self.serving_.values()
        )
        self.incoming_ = 0
        self.outgoing_ = sum(
            vm.target_pool not in ("", name)
            and vm.phase is not ownership.Phase.FAILED
            for vm in members
        )

    @property
    def serving(self) -> int:
        """VMs in service that no move of this step removes."""
        return len(self.serving_)

    @property
    def projected(self) -> int:
        """VMs in service once all moves in progress have completed."""
        return len(self.serving_) + self.incoming_

    @property
    def headroom(self) -> int:
        """VMs that may still join before the pool reaches its maximum."""
        staying = len(self.members) - self.outgoing_
        return max(0, self.promise.max_workers - staying - self.incoming_)

    def add_incoming(self, vm: ownership.VmState) -> None:
        """Counts a VM that is moving to this pool."""
        self.incoming_ += 1
        self.zones_[vm.availability_zone] += 1
        self.racks_[vm.rack] += 1

    def remove_outgoing(self, vm: ownership.VmState) -> None:
        """Counts a VM that starts to leave this pool."""
        del self.serving_[vm.vm_id]
        self.zones_[vm.availability_zone] -= 1
        self.racks_[vm.rack] -= 1
        self.remaining_budget_ -= 1
        self.outgoing_ += 1
