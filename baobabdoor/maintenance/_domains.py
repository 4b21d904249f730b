"""Counts of VMs that are out of service in each failure domain."""

import collections
from collections.abc import Iterable

from baobabdoor import ownership

# A pool with a single VM in a domain loses no more by the loss of the domain
# than by the loss of the VM, so only larger groups count as a domain of it.
MIN_DOMAIN_VMS = 2


class DomainCounts:
    """Total and lost VMs for each rack and zone, of the fleet and of pools.

    Only VMs that are out of service are counted at first; the members of a
    pool follow when VMs of it are to be chosen.

    Args:
        out: All VMs that are out of service; `take` adds further ones.
    """

    def __init__(self, out: Iterable[ownership.VmState]):
        self.total_: collections.Counter = collections.Counter()
        self.lost_: collections.Counter = collections.Counter()
        self.whole_: dict[str, set] = {}
        for vm in out:
            self.lost_.update(_keys(vm))

    def add_pool(self, members: Iterable[ownership.VmState]) -> None:
        """Counts the members of a pool before VMs of it are chosen."""
        keys = set()
        for vm in members:
            for key in _pool_keys(vm):
                self.total_[key] += 1
                keys.add(key)
        for key in keys:
            self._note_whole(key, self.lost_[key])

    def take(self, vm: ownership.VmState) -> None:
        """Counts a VM that is in service as lost from now on."""
        for key in _keys(vm):
            self.lost_[key] += 1
            self._note_whole(key, self.lost_[key])

    def zone_lost(self, vm: ownership.VmState) -> int:
        """Returns the lost VMs of the VM's zone, over all pools."""
        return self.lost_[("zone", vm.availability_zone, "")]

    def crowding(self, vm: ownership.VmState) -> tuple[int, int, int, int]:
        """Returns lost VMs around a VM: rack and zone, of its pool and all."""
        return (
            self.lost_[("rack", vm.rack, vm.pool)],
            self.lost_[("zone", vm.availability_zone, vm.pool)],
            self.lost_[("zone", vm.availability_zone, "")],
            self.lost_[("rack", vm.rack, "")],
        )

    def completes_second_domain(self, vm: ownership.VmState) -> bool:
        """Whether without `vm` its pool would lack two whole domains.

        A rack inside a zone that is wholly lost is the same loss, so racks
        and zones are counted separately.
        """
        whole = self.whole_.get(vm.pool, set())
        for key in _pool_keys(vm):
            if self.total_[key] < MIN_DOMAIN_VMS:
                continue
            completes = self.lost_[key] + 1 == self.total_[key]
            if completes and any(other[0] == key[0] for other in whole):
                return True
        return False

    def _note_whole(self, key: tuple[str, str, str], lost: int) -> None:
        pool = key[2]
        if pool and lost == self.total_[key] >= MIN_DOMAIN_VMS:
            self.whole_.setdefault(pool, set()).add(key)


def _keys(vm: ownership.VmState) -> tuple[tuple[str, str, str], ...]:
    """Returns (kind, domain, pool); an empty pool stands for all pools."""
    return (
        *_pool_keys(vm),
        ("rack", vm.rack, ""),
        ("zone", vm.availability_zone, ""),
    )


def _pool_keys(vm: ownership.VmState) -> tuple[tuple[str, str, str], ...]:
    return (
        ("rack", vm.rack, vm.pool),
        ("zone", vm.availability_zone, vm.pool),
    )
