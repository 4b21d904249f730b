"""How many VMs of a pool planned work may take out of service."""

from collections.abc import Iterable
from collections.abc import Sequence

from baobabdoor import ownership
from baobabdoor import settings


def members_by_pool(
    vms: Iterable[ownership.VmState],
) -> dict[str, list[ownership.VmState]]:
    """Returns the VMs of each pool in the given order, in one pass."""
    members: dict[str, list[ownership.VmState]] = {}
    for vm in vms:
        members.setdefault(vm.pool, []).append(vm)
    return members


def allowance(
    members: Sequence[ownership.VmState], promise: settings.PoolPromise
) -> int:
    """Returns how many more VMs of a pool may be taken out of service now.

    Planned and unplanned losses count together against the availability
    budget, and the promised workers stay in service.

    Args:
        members: All VMs whose row names the pool.
        promise: What the preset in force promises for the pool.
    """
    in_service = sum(vm.in_service for vm in members)
    unavailable = len(members) - in_service
    return max(
        0,
        min(
            promise.availability_budget - unavailable,
            in_service - promise.min_workers,
        ),
    )
