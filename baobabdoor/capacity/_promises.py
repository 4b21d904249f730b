"""Moves that every policy makes to keep the promises of the preset."""

from collections.abc import Mapping

from baobabdoor.capacity import _books
from baobabdoor.capacity import _pool_book


def restore_promises(book: _books.FleetBook, floors: Mapping[str, int]) -> None:
    """Plans moves into pools that hold less than they must.

    Uses the buffer of the spare pool first, because it is held for this, and
    then whatever other pools hold beyond their own floor.

    Args:
        book: The planning step.
        floors: VMs that each pool must hold.
    """
    for target in book.applications:
        missing = floors[target.name] - target.heading
        if missing <= 0:
            continue
        lent = min(missing, book.lendable(keep_buffer=False))
        missing -= book.move(book.spare, target, lent, "restore promise")
        for source in sorted(book.applications, key=lambda pool: -pool.heading):
            if missing <= 0:
                break
            if source is target:
                continue
            surplus = source.serving - floors[source.name]
            wanted = min(missing, max(0, surplus))
            missing -= _restore(book, source, target, wanted)


def _restore(
    book: _books.FleetBook,
    source: _pool_book.PoolBook,
    target: _pool_book.PoolBook,
    count: int,
) -> int:
    # The buffer is held for this, so the next loss need not be covered.
    return book.move(source, target, count, "restore promise", keep_cover=False)


def floors(book: _books.FleetBook) -> dict[str, int]:
    """Returns how many VMs in service each pool must hold, whatever its demand.

    While a roll-out has VMs of a pool to reach, the pool keeps room for what is
    left of its availability budget: at `min_workers` alone none of its VMs
    could be rebooted, and the roll-out would never end.
    """
    result = {}
    rolling_out = book.rolling_out()
    for pool in book.pools_.values():
        floor = pool.promise.min_workers
        if rolling_out is not None and any(
            rolling_out.is_due(vm) for vm in pool.members
        ):
            unavailable = sum(not vm.in_service for vm in pool.members)
            budget = pool.promise.availability_budget
            floor += max(0, budget - unavailable)
        result[pool.name] = min(floor, pool.promise.max_workers)
    return result
