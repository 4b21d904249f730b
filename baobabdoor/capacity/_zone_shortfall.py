"""Checks that the spare pool can replace the VMs of any lost zone."""

from collections.abc import Iterable

from baobabdoor.capacity import _pool_state


class ZoneShortfall:
    """Tracks how many VMs would be missing after the loss of each zone.

    The racks of a zone are lost with it, so the loss of a single rack needs no
    separate check.

    Args:
        pools: All pools, in their state before the first move.
        spare: The spare pool among them.
    """

    def __init__(
        self,
        pools: Iterable[_pool_state.PoolState],
        spare: _pool_state.PoolState,
    ):
        self.pools = list(pools)
        self.spare = spare
        zones = {zone for pool in self.pools for zone in pool.zones_}
        self.missing_ = {
            zone: sum(self._pool_missing(pool, zone, 0) for pool in self.pools)
            for zone in zones
        }

    def try_move(
        self,
        source: _pool_state.PoolState,
        target: _pool_state.PoolState,
        zone: str,
        forced: bool,
    ) -> bool:
        """Counts a move unless it increases the worst shortfall.

        If the spare pool can replace any zone, this must stay so; if not, the
        shortfall must not grow. To be called before the pools count the move.

        Args:
            source: Pool that the VM leaves.
            target: Pool that it joins.
            zone: Zone of the VM.
            forced: Whether to count the move in any case.

        Returns:
            Whether the move was counted.
        """
        worst = max(0, *self.missing_.values())
        after = self._missing_after(source, target, zone)
        if not forced and max(after.values()) > worst:
            return False
        self.missing_ = after
        return True

    def _missing_after(
        self,
        source: _pool_state.PoolState,
        target: _pool_state.PoolState,
        moved_zone: str,
    ) -> dict[str, int]:
        result = dict(self.missing_)
        for pool, change in ((source, -1), (target, 1)):
            for zone in result:
                # If the VM's zone fails, the VM is lost in either pool.
                if zone != moved_zone:
                    result[zone] += self._pool_missing(pool, zone, change)
                    result[zone] -= self._pool_missing(pool, zone, 0)
        return result

    def _pool_missing(
        self, pool: _pool_state.PoolState, zone: str, change: int
    ) -> int:
        """Returns how many VMs a pool is short of without a zone.

        Negative for a spare pool that has VMs left over.
        """
        remaining = pool.projected + change - pool.zones_[zone]
        missing = pool.promise.min_workers - remaining
        return missing if pool is self.spare else max(0, missing)
