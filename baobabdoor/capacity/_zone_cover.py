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
            zone: sum(self._missing(pool, zone, 0, 0) for pool in self.pools)
            for zone in zones
        }

    def allows(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        zone: str,
    ) -> bool:
        """Whether a move of a VM of `zone` leaves every zone's loss covered.

        A loss that is not covered anyway must not get worse.
        """
        worst = max(0, *self.missing_.values())
        after = self._after(source, target, zone)
        return max(after.values()) <= worst

    def note(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        zone: str,
    ) -> None:
        """Counts a move; to be called before the pools count it."""
        self.missing_ = self._after(source, target, zone)

    def _after(
        self,
        source: _pool_book.PoolBook,
        target: _pool_book.PoolBook,
        moved_zone: str,
    ) -> dict[str, int]:
        result = {}
        for zone, missing in self.missing_.items():
            lost = int(zone == moved_zone)
            for pool, change in ((source, -1), (target, 1)):
                missing -= self._missing(pool, zone, 0, 0)
                missing += self._missing(pool, zone, change, change * lost)
            result[zone] = missing
        return result

    def _missing(
        self, pool: _pool_book.PoolBook, zone: str, more: int, more_lost: int
    ) -> int:
        """Returns what a pool lacks without a zone, or gives as spare pool."""
        left = pool.heading + more - pool.zones_[zone] - more_lost
        lacking = pool.promise.min_workers - left
        return lacking if pool is self.spare else max(0, lacking)
