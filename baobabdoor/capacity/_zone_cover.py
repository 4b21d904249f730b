"""Whether the spare pool could make up for the loss of a zone."""

from collections.abc import Iterable

from baobabdoor.capacity import _pool_book


class ZoneCover:
    """Follows what each zone's loss would leave missing.

    The loss of a rack is part of the loss of its zone, so it leaves no more
    missing.

    Args:
        pools: All pools, as they are before the first move.
        spare: The spare pool among them.
    """

    def __init__(
        self,
        pools: Iterable[_pool_book.PoolBook],
        spare: _pool_book.PoolBook,
    ):
        self.pools = list(pools)
        self.spare = spare
        zones = {zone for pool in self.pools for zone in pool.zones_}
        self.missing_ = {
            zone: sum(self._missing(pool, zone, 0) for pool in self.pools)
            for zone in zones
        }

    def count(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        zone: str,
        forced: bool,
    ) -> bool:
        """Counts a move unless it would leave a zone's loss uncovered.

        A loss that is not covered anyway must not get worse. To be called
        before the pools count the move.

        Args:
            source: Pool that gives a VM away.
            target: Pool that gets it.
            zone: Zone of the VM.
            forced: Whether to count the move in any case.

        Returns:
            Whether the move was counted.
        """
        worst = max(0, *self.missing_.values())
        after = self._after(source, target, zone)
        if not forced and max(after.values()) > worst:
            return False
        self.missing_ = after
        return True

    def _after(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        moved_zone: str,
    ) -> dict[str, int]:
        result = dict(self.missing_)
        for pool, change in ((source, -1), (target, 1)):
            for zone in result:
                # In its own zone the VM would be lost in either pool.
                if zone != moved_zone:
                    result[zone] += self._missing(pool, zone, change)
                    result[zone] -= self._missing(pool, zone, 0)
        return result

    def _missing(self, pool: _pool_book.PoolBook, zone: str, more: int) -> int:
        """Returns what a pool lacks without a zone, or gives as spare pool."""
        left = pool.heading + more - pool.zones_[zone]
        lacking = pool.promise.min_workers - left
        return lacking if pool is self.spare else max(0, lacking)
