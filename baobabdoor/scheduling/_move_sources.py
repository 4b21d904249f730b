"""Chooses the machines that move, from one look at the list per plan."""

from collections.abc import Callable

import attrs

from baobabdoor.scheduling import _types


@attrs.define
class MoveSources:
    """Machines that may move, by pool.

    Attributes:
        standby: Machines in standby pools, in the order of their use.
        idle: Machines without runs of each other pool.
        busy: The others of each pool.
        refused: Pairs of a machine and a pool that the platform refused.
    """

    standby: list[_types.MachineRecord]
    idle: dict[str, list[_types.MachineRecord]]
    refused: set[tuple[str, str]]
    busy: dict[str, list[_types.MachineRecord]] = attrs.field(factory=dict)

    def take(
        self, target: str, spare: dict[str, int]
    ) -> _types.MachineRecord | None:
        """Removes and returns a machine for a pool; `None` if there is none.

        A machine of another pool that does not need it moves directly, which
        saves the move to standby.

        Args:
            target: Pool that needs a machine.
            spare: Machines that each other pool can do without.
        """
        givers = [pool for pool in self.idle if spare.get(pool, 0) > 0]
        for pool in sorted(givers, key=lambda pool: (-spare[pool], pool)):
            if pool != target:
                record = self._pop(self.idle[pool], target)
                if record is not None:
                    return record
        return self._pop(self.standby, target)

    def take_idle(self, pool: str, target: str) -> _types.MachineRecord | None:
        """Removes and returns an idle machine of a pool for another."""
        return self._pop(self.idle.get(pool, []), target)

    def _pop(
        self, records: list[_types.MachineRecord], target: str
    ) -> _types.MachineRecord | None:
        for index, record in enumerate(records):
            if (record.machine, target) not in self.refused:
                return records.pop(index)
        return None


def collect(
    records: list[_types.MachineRecord],
    standby: set[str],
    refused: set[tuple[str, str]],
    is_idle: Callable[[_types.MachineRecord], bool],
) -> MoveSources:
    """Returns the machines that may move.

    Args:
        records: Machines that are up and not being moved.
        standby: Names of the standby pools.
        refused: Pairs of a machine and a pool that the platform refused.
        is_idle: Whether the worker of a machine may be taken away.
    """
    sources = MoveSources([], {}, refused)
    for record in sorted(records, key=lambda record: record.machine):
        if record.pool in standby:
            sources.standby.append(record)
        elif is_idle(record):
            sources.idle.setdefault(record.pool, []).append(record)
        else:
            sources.busy.setdefault(record.pool, []).append(record)
    return sources
