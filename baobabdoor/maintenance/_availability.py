"""Number of VMs of a pool that may be taken out of service."""

from collections.abc import Iterable
from collections.abc import Sequence

from baobabdoor import ownership
from baobabdoor import settings


def members_by_pool(
    vms: Iterable[ownership.VmState],
) -> dict[str, list[ownership.VmState]]:
    """Groups VMs by pool in one pass, keeping their order."""
    members: dict[str, list[ownership.VmState]] = {}
    for vm in vms:
        members.setdefault(vm.pool, []).append(vm)
    return members


def allowed_disruptions(
    members: Sequence[ownership.VmState], promise: settings.PoolPromise
) -> int:
    """Returns how many more VMs of a pool may be taken out of service now.

    Planned and unplanned losses both count against the availability budget,
    and at least the promised number of workers stays in service.

    Args:
        members: All VMs that belong to the pool.
        promise: Promise of the preset in force for the pool.
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
