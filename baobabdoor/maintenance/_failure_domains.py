"""Numbers of VMs that are out of service by failure domain."""

import collections
from collections.abc import Iterable

from baobabdoor import ownership

# If a pool has a single VM in a domain, losing the domain costs it no more than
# losing the VM, so only domains with at least this many of its VMs count.
MIN_DOMAIN_VMS = 2


class FailureDomainCounts:
    """Total and lost VMs by rack and zone, for each pool and the whole fleet.

    A VM is lost while it is out of service. Initially only lost VMs are
    counted; `add_pool` adds the totals of a pool when its VMs are considered.

    Args:
        out_of_service: All VMs that are out of service; `mark_lost` adds more.
    """

    def __init__(self, out_of_service: Iterable[ownership.VmState]):
        self.total_: collections.Counter = collections.Counter()
        self.lost_: collections.Counter = collections.Counter()
        self.fully_lost_: dict[str, set] = {}
        for vm in out_of_service:
            self.lost_.update(_domain_keys(vm))

    def add_pool(self, members: Iterable[ownership.VmState]) -> None:
        """Adds the totals of a pool; called before its VMs are selected."""
        keys = set()
        for vm in members:
            for key in _pool_domain_keys(vm):
                self.total_[key] += 1
                keys.add(key)
        for key in keys:
            self._update_fully_lost(key, self.lost_[key])

    def mark_lost(self, vm: ownership.VmState) -> None:
        """Counts a VM in service as lost from now on."""
        for key in _domain_keys(vm):
            self.lost_[key] += 1
            self._update_fully_lost(key, self.lost_[key])

    def lost_in_zone(self, vm: ownership.VmState) -> int:
        """Returns the number of lost VMs in the VM's zone, over all pools."""
        return self.lost_[("zone", vm.availability_zone, "")]

    def lost_nearby(self, vm: ownership.VmState) -> tuple[int, int, int, int]:
        """Returns the numbers of lost VMs in the same domains as a VM.

        Returns:
            The lost VMs of its pool in its rack and in its zone, and those of
            all pools in its zone and in its rack.
        """
        return (
            self.lost_[("rack", vm.rack, vm.pool)],
            self.lost_[("zone", vm.availability_zone, vm.pool)],
            self.lost_[("zone", vm.availability_zone, "")],
            self.lost_[("rack", vm.rack, "")],
        )

    def would_lose_second_domain(self, vm: ownership.VmState) -> bool:
        """Returns whether taking `vm` would fully lose a second domain.

        Only VMs of its pool count. Racks and zones are counted separately,
        because a rack in a fully lost zone is part of the same loss.
        """
        fully_lost = self.fully_lost_.get(vm.pool, set())
        for key in _pool_domain_keys(vm):
            if self.total_[key] < MIN_DOMAIN_VMS:
                continue
            is_last = self.lost_[key] + 1 == self.total_[key]
            if is_last and any(other[0] == key[0] for other in fully_lost):
                return True
        return False

    def _update_fully_lost(self, key: tuple[str, str, str], lost: int) -> None:
        pool = key[2]
        if pool and lost == self.total_[key] >= MIN_DOMAIN_VMS:
            self.fully_lost_.setdefault(pool, set()).add(key)


def _domain_keys(vm: ownership.VmState) -> tuple[tuple[str, str, str], ...]:
    """Returns (kind, domain, pool) keys; an empty pool stands for all pools."""
    return (
        *_pool_domain_keys(vm),
        ("rack", vm.rack, ""),
        ("zone", vm.availability_zone, ""),
    )


def _pool_domain_keys(
    vm: ownership.VmState,
) -> tuple[tuple[str, str, str], ...]:
    return (
        ("rack", vm.rack, vm.pool),
        ("zone", vm.availability_zone, vm.pool),
    )
